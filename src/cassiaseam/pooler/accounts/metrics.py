"""Metrics of client accounts in the Prometheus text format."""

from typing import Any


def render_account_metrics(state: Any) -> list[str]:
    """Return the metrics of a `PoolerState`, or none on a deployment without accounts."""
    if state.config is None or state.config.accounts is None:
        return []
    accounts = state.accounts
    lines = [
        f'cassiaseam_accounts {len(state.config.accounts.accounts)}',
        f'cassiaseam_sessions_with_changed_account {len(accounts.changed_since)}',
    ]
    for name, label, counts in (
        ('cassiaseam_sessions_refused_total', 'cause', accounts.sessions_refused),
        ('cassiaseam_sessions_closed_total', 'cause', accounts.sessions_closed),
        ('cassiaseam_connection_changes_total', 'change', accounts.connections),
    ):
        lines.extend(f'{name}{{{label}="{key}"}} {counts[key]}' for key in sorted(counts))
    return lines
