"""Detection of conditions in which a group needs another primary."""

from cassiaseam.group.quorum import (
    count_majority,
    has_confirmed_primary,
    is_leaving,
    is_reachable,
    is_trusted,
)
from cassiaseam.group.state import GroupState, TargetView
from cassiaseam.messages import TargetRole

# A replica that heard from the primary within this time shows that the primary is alive when only
# the owner is partitioned from it.
PRIMARY_CONTACT_TIMEOUT_S = 0.5
PRIMARY_LOST_TIMEOUT_S = 1.0
# Another promoter usually finishes within this time; waiting avoids competing promotions.
UNCONFIRMED_PRIMARY_GRACE_S = 0.3
UNKNOWN_PRIMARY_GRACE_S = 0.7
# A follow request needs this long to take effect; until then the contact age is meaningless.
FOLLOW_GRACE_S = 1.0
# A failed daemon that is frozen, or whose VM vanished without closing its connections, keeps the
# locks of its open transactions until a fence ends them. After a takeover, a write that runs this
# long indicates such locks.
STALLED_WRITE_TIMEOUT_S = 0.6
INHERITED_LOCK_WINDOW_S = 60.0
# No promotion helps while all replicas are partitioned from each other; this limits the attempts.
MIN_PROMOTION_INTERVAL_S = 2.0


def update_health(group: GroupState, now: float) -> None:
    """Update how long the group has had no confirmed primary and whether to poll faster."""
    view = group.targets.get(group.primary)
    is_confirmed = view is not None and has_confirmed_primary(group)
    # Without a confirmed primary the gap starts now. A planned promotion starts with a confirmed
    # primary; its gap starts when the promotion does.
    if not is_confirmed or not is_reachable(view, now):
        if group.no_primary_since is None:
            group.no_primary_since = now
        group.suspicious = True
        return
    group.no_primary_since = None
    cut = is_cut_from_replicas(group, PRIMARY_CONTACT_TIMEOUT_S, now)
    group.suspicious = cut or view.failures > 0
    if group.failover is not None:
        return
    if not cut:
        group.primary_contact_at = view.status_started_at
    elif group.primary_contact_at is not None:
        # Writes cannot have been acknowledged since the replicas lost contact.
        group.primary_contact_at = min(group.primary_contact_at, now - PRIMARY_CONTACT_TIMEOUT_S)


def is_healthy(group: GroupState) -> bool:
    """Return whether every instance follows the current primary and none needs a repair.

    A healthy group skips the detailed checks after each event.
    """
    if group.suspicious or group.no_primary_since is not None or group.fenced_above_since:
        return False
    if group.taken_over_at is not None:
        return False
    for name, view in group.targets.items():
        status = view.status
        if status is None or status.term != group.term or status.fenced_term > group.term:
            return False
        if name == group.primary:
            if status.leaving or name in group.draining or status.last.term < group.term:
                return False
        elif status.follows != group.primary or status.role is not TargetRole.REPLICA:
            return False
    return True


def detect_failure(group: GroupState, now: float) -> str:
    """Return why another primary has to be promoted, or '' when there is no reason.

    A daemon that does not reach a majority never has a reason, because it could fence only the
    instances that it reaches.
    """
    if group.no_primary_since is None and not group.suspicious:
        return ''
    reachable = [
        view
        for name, view in group.targets.items()
        if is_reachable(view, now) and is_trusted(group, name)
    ]
    if len(reachable) < count_majority(group):
        return ''
    if group.no_primary_since is None:
        recent = group.last_failover_at is not None and (
            now - group.last_failover_at < MIN_PROMOTION_INTERVAL_S
        )
        cut = not recent and is_cut_from_replicas(group, PRIMARY_LOST_TIMEOUT_S, now)
        return 'a majority of replicas lost the primary' if cut else ''
    missing_s = now - group.no_primary_since
    view = group.targets.get(group.primary)
    if view is None:
        return _detect_unknown_primary(group, reachable, missing_s, now)
    if is_reachable(view, now):
        return (
            'the primary is no longer in charge'
            if missing_s >= UNCONFIRMED_PRIMARY_GRACE_S
            else ''
        )
    if _is_heard_by_replica(group, reachable, now):
        return ''
    return f'the primary failed {view.failures} polls'


def detect_leaving_primary(group: GroupState, now: float) -> str:
    """Return why a planned promotion should replace the current primary, or ''."""
    if group.no_primary_since is not None or not is_leaving(group, group.primary):
        return ''
    for name, view in group.targets.items():
        if name == group.primary or is_leaving(group, name):
            continue
        if is_reachable(view, now) and view.status.follows == group.primary:
            return 'the primary is draining or leaving'
    return ''


def detect_inherited_locks(group: GroupState, now: float) -> str:
    """Return why to promote the current primary again after a takeover, or ''.

    The promotion fences the primary, which releases locks of the previous owner.
    """
    if group.taken_over_at is None or group.no_primary_since is not None:
        return ''
    if now - group.taken_over_at >= INHERITED_LOCK_WINDOW_S:
        group.taken_over_at = None
        return ''
    oldest = group.oldest_write_at
    if oldest is None or now - oldest < STALLED_WRITE_TIMEOUT_S:
        return ''
    return f'a write has waited for {now - oldest:.3f} s after a takeover'


def is_cut_from_replicas(group: GroupState, limit_s: float, now: float) -> bool:
    """Return whether too few replicas heard from the primary for it to reach a majority."""
    lost = 0
    for name, view in group.targets.items():
        if name != group.primary and _has_lost_primary(group, view, limit_s, now):
            lost += 1
    return lost > len(group.targets) - count_majority(group)


def _has_lost_primary(group: GroupState, view: TargetView, limit_s: float, now: float) -> bool:
    status = view.status
    if status is None or status.primary_contact_age_s < limit_s:
        return False
    if status.follows != group.primary or status.term != group.term:
        return False
    if not _is_recent(view, now):
        return False
    return view.follow_sent_at is None or now - view.follow_sent_at >= FOLLOW_GRACE_S


def _is_recent(view: TargetView, now: float) -> bool:
    return now - view.status_started_at < PRIMARY_CONTACT_TIMEOUT_S


def _is_heard_by_replica(group: GroupState, reachable: list[TargetView], now: float) -> bool:
    """Return whether a reachable replica may still hear from the primary.

    A replica without a recent status counts until the next poll.
    """
    for view in reachable:
        status = view.status
        if status.role is not TargetRole.REPLICA or not status.follows:
            continue
        if group.primary and status.follows != group.primary:
            continue
        if status.fenced_term > max(status.term, group.term):
            continue
        if not _is_recent(view, now) or status.primary_contact_age_s < PRIMARY_CONTACT_TIMEOUT_S:
            return True
    return False


def _detect_unknown_primary(
    group: GroupState,
    reachable: list[TargetView],
    missing_s: float,
    now: float,
) -> str:
    if len(reachable) == len(group.targets) and not any(
        view.status.term or view.status.fenced_term for view in reachable
    ):
        return 'the group has no primary yet'
    if missing_s < UNKNOWN_PRIMARY_GRACE_S or _is_heard_by_replica(group, reachable, now):
        return ''
    return 'no primary is known'


def find_fenced_above(group: GroupState, now: float) -> list[str]:
    """Return reachable instances that cannot follow because they are fenced above the term."""
    return [
        name
        for name, view in group.targets.items()
        if view.status is not None
        and view.status.fenced_term > group.term
        and is_reachable(view, now)
        and is_trusted(group, name)
    ]
