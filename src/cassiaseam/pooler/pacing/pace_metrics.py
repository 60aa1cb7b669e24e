"""Metrics of the pace of each target in the Prometheus text format."""

from typing import Any

from cassiaseam.observability.labels import quote_label
from cassiaseam.pooler.pacing.pace import CutCause, Stage


def render_group_paces(group: Any) -> list[str]:
    """Return the lines about the targets of a `GroupView` that are in use with a pace."""
    lines: list[str] = []
    for name, target in sorted(group.targets.items()):
        pace = target.pace
        if pace.stage is Stage.UNUSED:
            continue
        labels = f'group={quote_label(group.name)},target={quote_label(name)}'
        in_flight = sum(it.job is not None for it in target.connections.values())
        lines.append(f'cassiaseam_target_pace_limit{{{labels}}} {int(pace.limit)}')
        lines.append(f'cassiaseam_target_pace_full{{{labels}}} {int(pace.stage is Stage.FULL)}')
        lines.append(f'cassiaseam_target_statements_in_flight{{{labels}}} {in_flight}')
        lines.append(f'cassiaseam_target_statements_queued{{{labels}}} {len(target.queue)}')
        for cause in CutCause:
            count = pace.cuts.get(cause, 0)
            cause_labels = f'{labels},cause="{cause.value}"'
            lines.append(f'cassiaseam_target_pace_cuts_total{{{cause_labels}}} {count}')
    return lines
