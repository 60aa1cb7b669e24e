"""When the primary of a group has to be replaced."""

from cassiaseam.group.quorum import count_majority
from cassiaseam.messages import TargetRole
from cassiaseam.pooler import connections, evidence, routing, sampling
from cassiaseam.pooler.state import GroupView, PoolerState, TargetState

# Seconds without a reply, or of refused connections, after which a primary counts as failed.
SILENCE_LIMIT_S = 0.7
REFUSED_LIMIT_S = 0.35
# Seconds without a primary after which one is promoted.
NO_PRIMARY_LIMIT_S = 0.9
# Seconds that a replica may be fenced above the term in charge before the fence is lifted.
ABANDONED_FENCE_S = 2.5
# Pause in seconds between polls of all targets while the primary is not known.
SURVEY_PAUSE_S = 0.15
# The same while the known primary is out of reach; most VMs learn of the new one from the store.
LOST_PRIMARY_PAUSE_S = 0.3


def survey_targets(state: PoolerState, group: GroupView, now: float) -> list:
    """Poll all targets while the primary is unknown or lost, or a newer term shows."""
    monitor = group.monitor
    primary = group.targets.get(monitor.primary)
    note_fences(group, now)
    pause_s = SURVEY_PAUSE_S
    if primary is not None and monitor.known_term <= monitor.term:
        group.without_primary_since = None
        if group.fenced_since is None:
            pause_s = LOST_PRIMARY_PAUSE_S
            if not routing.is_out_of_reach(primary, now):
                return []
    elif not is_in_use(group):
        group.without_primary_since = None
        return []
    elif group.without_primary_since is None and primary is None:
        group.without_primary_since = now
    if now - group.survey_at < pause_s:
        return []
    group.survey_at = now
    effects: list = []
    unknown = primary is None
    names = sampling.list_without_primary(state, group, now) if unknown else group.targets
    for name in names:
        effects.extend(connections.submit_status_poll(state, group, name, now))
    return effects


def is_in_use(group: GroupView) -> bool:
    """Return whether this VM needs to know the primary of a group.

    Load pattern: many VMs that start together. A VM that polled all targets of all groups at its
    start would take a connection of each of them, more than they have.
    """
    if group.operations or group.waiting_vms or group.promotion is not None:
        return True
    return any(target.connections for target in group.targets.values())


def note_fences(group: GroupView, now: float) -> None:
    """Remember since when some target is fenced above the term in charge."""
    monitor = group.monitor
    fenced = any(
        view.status is not None
        and evidence.is_fenced(view.status)
        and view.status.fenced_term > monitor.term
        for view in monitor.targets.values()
    )
    if not fenced:
        group.fenced_since = None
    elif group.fenced_since is None:
        group.fenced_since = now


def find_cause(group: GroupView, now: float) -> tuple[str, bool]:
    """Return why the primary has to be replaced, or '', and whether it can hand over."""
    primary = group.targets.get(group.monitor.primary)
    if primary is None:
        return ('no_primary', False) if is_leaderless(group, now) else ('', False)
    if has_failed(primary, now):
        return 'primary_failed', False
    if primary.record.leaving or routing.is_gone(primary, now):
        return 'primary_leaving', True
    if group.fenced_since is not None and now - group.fenced_since > ABANDONED_FENCE_S:
        return 'abandoned_fence', True
    return '', False


def is_leaderless(group: GroupView, now: float) -> bool:
    """Return whether a majority says that it does not lead, and no other target may lead."""
    since = group.without_primary_since
    if since is None or now - since < NO_PRIMARY_LIMIT_S:
        return False
    followers = 0
    for name, target in group.targets.items():
        view = group.monitor.targets.get(name)
        if view is not None and view.status is not None and view.status_started_at >= since:
            followers += view.status.role is not TargetRole.PRIMARY
        elif not has_failed(target, now):
            # It may lead and only have refused this VM, for too many connections say.
            return False
    return followers >= count_majority(group.monitor)


def has_failed(target: TargetState, now: float) -> bool:
    """Return whether a target is out of reach for so long that it counts as failed."""
    if target.failing_since is not None and now - target.failing_since > REFUSED_LIMIT_S:
        return True
    return target.silent_since is not None and now - target.silent_since > SILENCE_LIMIT_S
