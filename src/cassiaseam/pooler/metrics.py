"""Metrics of the pooler role in the text form of Prometheus."""

from cassiaseam.pooler.state import PoolerState


def render_metrics(state: PoolerState) -> bytes:
    """Return the counters and gauges of a daemon."""
    lines = [
        f'cassiaseam_sessions {len(state.sessions)}',
        f'cassiaseam_target_connections {len(state.connections)}',
        f'cassiaseam_configuration_version {state.config.version if state.config else 0}',
        f'cassiaseam_store_reachable {int(state.store_reachable)}',
    ]
    for (route, outcome), number in sorted(state.counters.items()):
        lines.append(
            f'cassiaseam_statements_total{{route="{route}",outcome="{outcome}"}} {number}'
        )
    for kind, number in sorted(state.commands_sent.items()):
        lines.append(f'cassiaseam_target_commands_total{{command="{kind}"}} {number}')
    for group in state.groups.values():
        labels = f'group="{group.name}"'
        lines.append(f'cassiaseam_group_term{{{labels}}} {group.monitor.term}')
        lines.append(f'cassiaseam_group_operations{{{labels}}} {len(group.operations)}')
    return ('\n'.join(lines) + '\n').encode()
