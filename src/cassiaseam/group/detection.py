"""Detects that a group needs another primary."""

from cassiaseam.group.quorum import (
    count_majority,
    is_in_charge,
    is_leaving,
    is_reachable,
    is_trusted,
)
from cassiaseam.group.state import GroupState, TargetView
from cassiaseam.messages import TargetRole

# Replicas that heard from the primary within this time vouch for it when only the owner is cut.
HEARD_LIMIT_S = 0.5
LOST_LIMIT_S = 1.0
# Another promoter usually finishes within this time, so that both do not compete.
UNCLEAR_GRACE_S = 0.3
UNKNOWN_PRIMARY_GRACE_S = 0.7
# A follow needs time to take effect before the age of the contact means anything.
FOLLOW_GRACE_S = 1.0
# A failed daemon that is only frozen, or whose VM vanished without closing its connections, keeps
# the locks of its open transactions. A fence ends them. After a takeover a write that runs this
# long is taken as a sign of such locks.
STALLED_WRITE_TIMEOUT_S = 0.6
INHERITED_LOCK_WINDOW_S = 60.0
# When all replicas are cut from each other, no promotion helps; this bounds the attempts.
PROMOTION_INTERVAL_S = 2.0


def update_health(group: GroupState, now: float) -> None:
    """Note since when no primary is in charge and whether polls should hasten."""
    view = group.targets.get(group.primary)
    charged = view is not None and is_in_charge(group)
    # A planned promotion starts from a primary in charge; its gap starts when it starts.
    if not charged or not is_reachable(view, now):
        if group.no_primary_since is None:
            group.no_primary_since = now
        group.suspicious = True
        return
    group.no_primary_since = None
    cut = is_cut_from_replicas(group, HEARD_LIMIT_S, now)
    group.suspicious = cut or view.failures > 0
    if group.failover is not None:
        return
    if not cut:
        group.primary_contact_at = view.status_started_at
    elif group.primary_contact_at is not None:
        # Writes could not be acknowledged from the time on at which the replicas lost contact.
        group.primary_contact_at = min(group.primary_contact_at, now - HEARD_LIMIT_S)


def is_settled(group: GroupState) -> bool:
    """Return whether every instance follows the primary in charge and none needs attention.

    This spares a healthy group the detailed checks after each event.
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

    A daemon that does not reach a majority never has a reason, because it could only fence the
    instances that it does reach.
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
            now - group.last_failover_at < PROMOTION_INTERVAL_S
        )
        cut = not recent and is_cut_from_replicas(group, LOST_LIMIT_S, now)
        return 'a majority of replicas lost the primary' if cut else ''
    missing_s = now - group.no_primary_since
    view = group.targets.get(group.primary)
    if view is None:
        return _detect_unknown(group, reachable, missing_s, now)
    if is_reachable(view, now):
        return 'the primary is no longer in charge' if missing_s >= UNCLEAR_GRACE_S else ''
    if _is_vouched_for(group, reachable, now):
        return ''
    return f'the primary failed {view.failures} polls'


def detect_departure(group: GroupState, now: float) -> str:
    """Return why the primary in charge should be replaced on purpose, or ''."""
    if group.no_primary_since is not None or not is_leaving(group, group.primary):
        return ''
    for name, view in group.targets.items():
        if name == group.primary or is_leaving(group, name):
            continue
        if is_reachable(view, now) and view.status.follows == group.primary:
            return 'the primary is draining or leaving'
    return ''


def detect_inherited_locks(group: GroupState, now: float) -> str:
    """Return why the primary in charge should be promoted again after a takeover, or ''."""
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
    return now - view.status_started_at < HEARD_LIMIT_S


def _is_vouched_for(group: GroupState, reachable: list[TargetView], now: float) -> bool:
    """Return whether a reachable replica may still hear from the primary.

    A replica whose status is not recent may do so; the next poll tells.
    """
    for view in reachable:
        status = view.status
        if status.role is not TargetRole.REPLICA or not status.follows:
            continue
        if group.primary and status.follows != group.primary:
            continue
        if status.fenced_term > max(status.term, group.term):
            continue
        if not _is_recent(view, now) or status.primary_contact_age_s < HEARD_LIMIT_S:
            return True
    return False


def _detect_unknown(
    group: GroupState,
    reachable: list[TargetView],
    missing_s: float,
    now: float,
) -> str:
    if len(reachable) == len(group.targets) and not any(
        view.status.term or view.status.fenced_term for view in reachable
    ):
        return 'the group has no primary yet'
    if missing_s < UNKNOWN_PRIMARY_GRACE_S or _is_vouched_for(group, reachable, now):
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
