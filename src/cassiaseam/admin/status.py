"""Status section of the owned database groups; importing this module registers it."""

from typing import Any

from cassiaseam.admin.backend import register_status_section
from cassiaseam.configuration.model import DatabaseConfig, TargetConfig
from cassiaseam.daemon.node import Node
from cassiaseam.group.state import GroupState, TargetView


@register_status_section('databases')
def read_databases(node: Node, now: float) -> dict[str, Any]:
    """Return the status of the owned databases by name."""
    return {name: _read_group(group, now) for name, group in node.state.groups.items()}


def _read_group(group: GroupState, now: float) -> dict[str, Any]:
    config: DatabaseConfig = group.config
    return {
        'primary': group.primary,
        'term': group.term,
        'version': config.version,
        'failover': group.failover is not None,
        'last_failover_gap_s': group.last_failover_gap_s,
        'targets': {
            target.name: _read_target(target, group.targets.get(target.name), now)
            for target in config.targets
        },
    }


def _read_target(config: TargetConfig, view: TargetView | None, now: float) -> dict[str, Any]:
    shown: dict[str, Any] = {'place': config.place, 'state': config.state.value}
    if view is None or view.status is None:
        return {**shown, 'role': 'unknown', 'failures': view.failures if view else 0}
    status = view.status
    age = None if view.fresh_as_of is None else round(max(0, now - view.fresh_as_of), 3)
    return {
        **shown,
        'role': status.role.value,
        'term': status.term,
        'last': [status.last.term, status.last.offset],
        'applied': [status.applied.term, status.applied.offset],
        'age_s': age,
        'leaving': status.leaving,
        'failures': view.failures,
    }
