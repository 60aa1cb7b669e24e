"""Status polls of a majority of a group, for samples and confirmations."""

from cassiaseam.group.quorum import count_majority
from cassiaseam.pooler import connections, routing
from cassiaseam.pooler.accounts import pool
from cassiaseam.pooler.admission import poll_backoff
from cassiaseam.pooler.evidence import log_loss
from cassiaseam.pooler.state import GroupView, PoolerState
from cassiaseam.pooler.target_use.causes import PollCause

# Seconds without a primary after which all targets are polled instead of a majority.
POLL_ALL_TARGETS_AFTER_S = 0.1


def poll_majority(
    state: PoolerState, group: GroupView, since: float, cause: PollCause, now: float
) -> list:
    """Poll any majority at or after `since`, preferring idle targets with open connections."""
    needed = count_majority(group.monitor) if group.monitor.primary else len(group.targets)
    needed += log_loss.count_lost_logs(group)
    names = routing.list_by_access_cost(state, group, now)
    names.sort(
        key=lambda name: (
            not has_status_since(group, name, since),
            poll_backoff.is_backing_off(group.targets[name], now),
        )
    )
    effects: list = []
    for name in names[:needed]:
        effects.extend(poll_unless_known(state, group, name, since, cause, now))
    return effects


def poll_majority_with_primary(
    state: PoolerState, group: GroupView, since: float, cause: PollCause, now: float
) -> list:
    """Poll a majority, including the primary if one is known, at or after `since`."""
    effects = poll_replicas(state, group, since, cause, now)
    if group.monitor.primary in group.targets:
        effects += poll_unless_known(state, group, group.monitor.primary, since, cause, now)
    return effects


def poll_idle_primary(state: PoolerState, group: GroupView, since: float, now: float) -> list:
    """Poll the primary at or after `since` if this needs no further connection to it.

    Otherwise it is polled once the statement in progress has returned its connection.
    """
    name = group.monitor.primary
    primary = group.targets.get(name)
    if primary is None or not any(pool.is_idle(it) for it in primary.connections.values()):
        return []
    cause = PollCause.PRIMARY_CONFIRMATION
    return poll_unless_known(state, group, name, since, cause, now)


def list_discovery_targets(state: PoolerState, group: GroupView, now: float) -> list[str]:
    """Return the targets to poll for a primary: a majority with the announced one, then all."""
    since = group.without_primary_since
    if since is not None and now - since > POLL_ALL_TARGETS_AFTER_S:
        return list(group.targets)
    names = routing.list_by_access_cost(state, group, now)
    names.sort(key=lambda name: not group.targets[name].record.is_primary)
    return names[: count_majority(group.monitor)]


def poll_replicas(
    state: PoolerState, group: GroupView, since: float, cause: PollCause, now: float
) -> list:
    """Poll the nearest targets that form a majority together with the primary.

    A replica that is known not to be in the term of the primary is passed over for a farther one.
    """
    if group.monitor.primary:
        needed = max(group.size // 2, 1) + log_loss.count_lost_logs(group)
        names = routing.list_replicas_by_access_cost(state, group, now)
        names.sort(
            key=lambda name: (
                is_outside_term(group, name, since),
                poll_backoff.is_backing_off(group.targets[name], now),
            )
        )
        names = names[:needed]
    else:
        names = list_discovery_targets(state, group, now)
    effects: list = []
    for name in names:
        effects.extend(poll_unless_known(state, group, name, since, cause, now))
    return effects


def has_status_since(group: GroupView, name: str, since: float) -> bool:
    """Return whether a status of a target as of `since` or later is known."""
    view = group.monitor.targets.get(name)
    return view is not None and view.status is not None and view.status_started_at >= since


def is_outside_term(group: GroupView, name: str, since: float) -> bool:
    """Return whether a status as of `since` or later shows another term than the primary's."""
    if not has_status_since(group, name, since):
        return False
    status = group.monitor.targets[name].status
    return status.term != group.monitor.term or status.fenced_term > group.monitor.term


def poll_unless_known(
    state: PoolerState,
    group: GroupView,
    name: str,
    since: float,
    cause: PollCause,
    now: float,
) -> list:
    """Poll a target unless it is too busy or a status as of `since` is known or in flight."""
    target = group.targets[name]
    if has_status_since(group, name, since) or poll_backoff.is_backing_off(target, now):
        return []
    job = target.status_job
    is_sent = job is not None and job.sent_at is not None and job.sent_at >= since
    if is_sent and not connections.is_poll_late(job, now):
        return []
    return connections.submit_status_poll(state, group, name, cause, now)
