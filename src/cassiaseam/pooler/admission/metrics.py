"""Metrics of placement and retries in the Prometheus text format."""

from typing import Any

from cassiaseam.observability.labels import quote_label


def render_group(group: Any) -> list[str]:
    """Return the counters of the retry budget of a `GroupView`, and which targets are avoided."""
    labels = f'group={quote_label(group.name)}'
    budget = group.retry_budget
    lines = [
        f'cassiaseam_first_attempts_total{{{labels}}} {budget.attempts}',
        f'cassiaseam_busy_retries_total{{{labels}}} {budget.retries}',
        f'cassiaseam_busy_retries_refused_total{{{labels}}} {budget.refused}',
    ]
    for name, target in sorted(group.targets.items()):
        avoided = int(target.load.avoided)
        lines.append(f'cassiaseam_target_avoided{{{labels},target={quote_label(name)}}} {avoided}')
    return lines
