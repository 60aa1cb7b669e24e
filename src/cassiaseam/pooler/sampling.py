"""Status polls of a majority of a group, for samples and confirmations."""

from cassiaseam.group.quorum import count_majority
from cassiaseam.pooler import connections, routing
from cassiaseam.pooler.evidence import log_loss
from cassiaseam.pooler.state import GroupView, PoolerState

# Seconds without a primary after which all targets are polled instead of a majority.
POLL_ALL_TARGETS_AFTER_S = 0.1


def poll_majority(state: PoolerState, group: GroupView, since: float, now: float) -> list:
    """Poll any majority at or after `since`, preferring targets with open connections."""
    needed = count_majority(group.monitor) if group.monitor.primary else len(group.targets)
    needed += log_loss.count_lost_logs(group)
    names = routing.list_by_access_cost(state, group, now)
    names.sort(key=lambda name: not has_status_since(group, name, since))
    effects: list = []
    for name in names[:needed]:
        effects.extend(poll_unless_known(state, group, name, since, now))
    return effects


def poll_majority_with_primary(
    state: PoolerState, group: GroupView, since: float, now: float
) -> list:
    """Poll a majority, including the primary if one is known, at or after `since`."""
    effects = poll_replicas(state, group, since, now)
    if group.monitor.primary in group.targets:
        effects += poll_unless_known(state, group, group.monitor.primary, since, now)
    return effects


def list_discovery_targets(state: PoolerState, group: GroupView, now: float) -> list[str]:
    """Return the targets to poll for a primary: a majority with the announced one, then all."""
    since = group.without_primary_since
    if since is not None and now - since > POLL_ALL_TARGETS_AFTER_S:
        return list(group.targets)
    names = routing.list_by_access_cost(state, group, now)
    names.sort(key=lambda name: not group.targets[name].record.is_primary)
    return names[: count_majority(group.monitor)]


def poll_replicas(state: PoolerState, group: GroupView, since: float, now: float) -> list:
    """Poll the nearest targets that form a majority together with the primary."""
    if group.monitor.primary:
        needed = max(group.size // 2, 1) + log_loss.count_lost_logs(group)
        names = routing.list_replicas_by_access_cost(state, group, now)[:needed]
    else:
        names = list_discovery_targets(state, group, now)
    effects: list = []
    for name in names:
        effects.extend(poll_unless_known(state, group, name, since, now))
    return effects


def has_status_since(group: GroupView, name: str, since: float) -> bool:
    """Return whether a status of a target as of `since` or later is known."""
    view = group.monitor.targets.get(name)
    return view is not None and view.status is not None and view.status_started_at >= since


def poll_unless_known(
    state: PoolerState, group: GroupView, name: str, since: float, now: float
) -> list:
    """Poll a target unless a status as of `since` or later is known or in flight."""
    if has_status_since(group, name, since):
        return []
    job = group.targets[name].status_job
    if job is not None and job.sent_at is not None and job.sent_at >= since:
        return []
    return connections.submit_status_poll(state, group, name, now)
