"""Metrics of the pooler role in the Prometheus text format.

The text is rendered here without the client library of the other roles, which would double the
memory use of a daemon in this role.
"""

from bisect import bisect_left
from dataclasses import dataclass, field
from typing import Any

from cassiaseam.observability.labels import quote_label
from cassiaseam.pooler.accounts.metrics import render_account_metrics
from cassiaseam.pooler.admission import metrics as admission_metrics
from cassiaseam.pooler.pacing.pace_metrics import render_group_paces
from cassiaseam.pooler.quotas.metrics import render_quota_metrics
from cassiaseam.pooler.relay.metrics import render_relay_metrics
from cassiaseam.pooler.target_use.metrics import render_target_use, render_used_shares

# Upper bounds of the latency buckets.
LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
BUCKET_LABELS = (*(f'{bound:g}' for bound in LATENCY_BUCKETS_S), '+Inf')


@dataclass(slots=True)
class Histogram:
    """Counts per bucket; the last bucket has no upper bound."""

    counts: list[int] = field(default_factory=lambda: [0 for _ in BUCKET_LABELS])
    total_s: float = 0


def record_latency(histograms: dict[str, Histogram], route: str, seconds: float) -> None:
    """Record the latency of one answer."""
    histogram = histograms.setdefault(route, Histogram())
    histogram.counts[bisect_left(LATENCY_BUCKETS_S, seconds)] += 1
    histogram.total_s += seconds


def render_metrics(state: Any) -> bytes:
    """Return the counters, gauges and histograms of a `PoolerState`."""
    lines = [
        f'cassiaseam_sessions {len(state.sessions)}',
        f'cassiaseam_target_connections {len(state.connections)}',
        f'cassiaseam_configuration_version {state.config.version if state.config else 0}',
        f'cassiaseam_store_reachable {int(state.store_reachable)}',
        f'cassiaseam_store_era {state.store_era or 0}',
    ]
    lines += render_relay_metrics(state.relay)
    for (route, outcome), count in sorted(state.counters.items()):
        labels = f'route={quote_label(route)},outcome="{outcome}"'
        lines.append(f'cassiaseam_statements_total{{{labels}}} {count}')
    for route, count in sorted(state.shed.items()):
        lines.append(f'cassiaseam_statements_shed_total{{route={quote_label(route)}}} {count}')
    for kind, count in sorted(state.commands_sent.items()):
        lines.append(f'cassiaseam_target_commands_total{{command="{kind}"}} {count}')
    lines += render_target_use(state)
    for group in state.groups.values():
        labels = f'group={quote_label(group.name)}'
        lines.append(f'cassiaseam_group_term{{{labels}}} {group.monitor.term}')
        lines.append(f'cassiaseam_group_operations{{{labels}}} {len(group.operations)}')
        lines.extend(render_group_paces(group))
        lines.extend(render_used_shares(state, group))
        if state.adaptive_admission:
            lines.extend(admission_metrics.render_group(group))
    lines += render_account_metrics(state)
    for route, histogram in sorted(state.latencies.items()):
        lines.extend(render_histogram(route, histogram))
    lines.extend(render_quota_metrics(state.quotas))
    lines.append('')
    return '\n'.join(lines).encode()


def render_histogram(route: str, histogram: Histogram) -> list[str]:
    """Return the cumulative buckets, the sum and the count of one route."""
    name = 'cassiaseam_statement_seconds'
    label = f'route={quote_label(route)}'
    lines = []
    total = 0
    for bound, count in zip(BUCKET_LABELS, histogram.counts, strict=True):
        total += count
        lines.append(f'{name}_bucket{{{label},le="{bound}"}} {total}')
    lines.append(f'{name}_sum{{{label}}} {histogram.total_s:.6f}')
    lines.append(f'{name}_count{{{label}}} {total}')
    return lines
