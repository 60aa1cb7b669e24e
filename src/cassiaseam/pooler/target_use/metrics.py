"""Metrics of status polls and connections to targets in the Prometheus text format."""

from typing import Any

from cassiaseam.observability.labels import quote_label


def render_target_use(state: Any) -> list[str]:
    """Return the counters of the status polls and connections of a `PoolerState`."""
    use = state.target_use
    polls = sorted((cause.value, outcome.value, n) for (cause, outcome), n in use.polls.items())
    lines = [
        f'cassiaseam_status_polls_total{{cause="{cause}",outcome="{outcome}"}} {count}'
        for cause, outcome, count in polls
    ]
    for name, counts in (
        ('cassiaseam_target_connections_opened_total', use.opened),
        ('cassiaseam_target_connections_closed_total', use.closed),
    ):
        by_cause = sorted((cause.value, count) for cause, count in counts.items())
        lines.extend(f'{name}{{cause="{cause}"}} {count}' for cause, count in by_cause)
    return lines


def render_used_shares(state: Any, group: Any) -> list[str]:
    """Return the share of the connection limit in use at each target, as decisions see it.

    It is 1 while the count is not known and after the target refused a connection as too many.
    Without adaptive admission only targets with connections are listed, so that a VM does not list
    the targets of groups that it does not serve.
    """
    limits = state.config.groups.get(group.name) if state.config else None
    if limits is None:
        return []
    lines = []
    for name, target in sorted(group.targets.items()):
        if not (target.connections or state.adaptive_admission):
            continue
        share = min(target.reported_connections / max(limits.max_connections, 1), 1)
        labels = f'group={quote_label(group.name)},target={quote_label(name)}'
        lines.append(f'cassiaseam_target_connection_share{{{labels}}} {share:.3f}')
    return lines
