"""Detection of primaries that have to be replaced."""

from cassiaseam.group.quorum import count_majority
from cassiaseam.messages import TargetRole
from cassiaseam.pooler import connections, quorum, routing, sampling
from cassiaseam.pooler.admission import failure_streaks
from cassiaseam.pooler.evidence import log_loss
from cassiaseam.pooler.state import GroupView, PoolerState, TargetState
from cassiaseam.pooler.target_use.causes import PollCause

# Seconds without a reply, or of refused connections, after which a target counts as failed.
SILENCE_TIMEOUT_S = 0.7
REFUSED_TIMEOUT_S = 0.35
# Seconds without a primary after which a target is promoted.
NO_PRIMARY_TIMEOUT_S = 0.9
# Seconds that a replica may stay fenced above the current term before the fence is lifted.
ABANDONED_FENCE_TIMEOUT_S = 2.5
# Seconds between polls of all targets while the primary is unknown.
SURVEY_INTERVAL_S = 0.15
# The same while the known primary is unreachable; most VMs learn of its successor from the store.
LOST_PRIMARY_SURVEY_INTERVAL_S = 0.3


def survey_targets(state: PoolerState, group: GroupView, now: float) -> list:
    """Poll all targets while the primary is unknown or unreachable, or a newer term is known."""
    monitor = group.monitor
    primary = group.targets.get(monitor.primary)
    track_fences(group, now)
    interval_s = SURVEY_INTERVAL_S
    if primary is not None and monitor.known_term <= monitor.term:
        group.without_primary_since = None
        if group.fenced_since is None:
            interval_s = LOST_PRIMARY_SURVEY_INTERVAL_S
            if not routing.is_unavailable(primary, now):
                return []
    elif not is_in_use(group):
        group.without_primary_since = None
        return []
    elif group.without_primary_since is None and primary is None:
        group.without_primary_since = now
    if now - group.last_survey_at < interval_s:
        return []
    group.last_survey_at = now
    effects: list = []
    unknown = primary is None
    names = sampling.list_discovery_targets(state, group, now) if unknown else group.targets
    lost = primary is not None and routing.is_unavailable(primary, now)
    cause = PollCause.LOST_PRIMARY if lost else PollCause.PRIMARY_DISCOVERY
    for name in names:
        effects.extend(connections.submit_status_poll(state, group, name, cause, now))
    return effects


def is_in_use(group: GroupView) -> bool:
    """Return whether this VM needs to know the primary of a group.

    Load pattern: many VMs start at the same time. If each of them polled all targets of all
    groups, they would open more connections than the targets accept.
    """
    if group.operations or group.sample_waiters or group.promotion is not None:
        return True
    return any(target.connections for target in group.targets.values())


def track_fences(group: GroupView, now: float) -> None:
    """Track since when any target is fenced above the current term."""
    monitor = group.monitor
    fenced = any(
        view.status is not None
        and quorum.is_fenced(view.status)
        and view.status.fenced_term > monitor.term
        for view in monitor.targets.values()
    )
    if not fenced:
        group.fenced_since = None
    elif group.fenced_since is None:
        group.fenced_since = now


def find_promotion_cause(group: GroupView, now: float) -> tuple[str, bool]:
    """Return why the primary has to be replaced, or '', and whether the handover is planned."""
    primary = group.targets.get(group.monitor.primary)
    if primary is None:
        return ('no_primary', False) if is_leaderless(group, now) else ('', False)
    if has_failed(primary, now):
        return 'primary_failed', False
    if failure_streaks.is_failing(primary.failure_streak, now):
        # It may fail the commands of a planned handover as well.
        return 'primary_failing_statements', False
    if primary.record.leaving or routing.is_record_expired(primary, now):
        return 'primary_leaving', True
    if group.fenced_since is not None and now - group.fenced_since > ABANDONED_FENCE_TIMEOUT_S:
        return 'abandoned_fence', True
    return '', False


def is_leaderless(group: GroupView, now: float) -> bool:
    """Return whether a majority reports that it does not lead, and all others have failed."""
    since = group.without_primary_since
    if since is None or now - since < NO_PRIMARY_TIMEOUT_S:
        return False
    followers = 0
    for name, target in group.targets.items():
        view = group.monitor.targets.get(name)
        if log_loss.has_lost_log(target):
            continue
        if view is not None and view.status is not None and view.status_started_at >= since:
            followers += view.status.role is not TargetRole.PRIMARY
        elif not has_failed(target, now):
            # It may lead and only refuse this VM, for example because of too many connections.
            return False
    return followers >= count_majority(group.monitor)


def has_failed(target: TargetState, now: float) -> bool:
    """Return whether a target has been unreachable for so long that it counts as failed."""
    if target.unreachable_since is not None and now - target.unreachable_since > REFUSED_TIMEOUT_S:
        return True
    return target.silent_since is not None and now - target.silent_since > SILENCE_TIMEOUT_S
