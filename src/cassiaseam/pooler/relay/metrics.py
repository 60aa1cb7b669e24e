"""Metrics of the relay in the Prometheus text format."""

from cassiaseam.pooler.relay.state import RelayState


def render_relay_metrics(relay: RelayState) -> list[str]:
    """Return the lines of the relay, or none while it is disabled."""
    if not relay.enabled:
        return []
    name = 'cassiaseam_relayed_sessions'
    lines = [
        f'{name}{{direction="out"}} {len(relay.outgoing)}',
        f'{name}{{direction="in"}} {len(relay.incoming)}',
    ]
    for (outcome, cause), count in sorted(relay.counters.items()):
        labels = f'outcome="{outcome}",cause="{cause}"'
        lines.append(f'cassiaseam_relay_events_total{{{labels}}} {count}')
    return lines
