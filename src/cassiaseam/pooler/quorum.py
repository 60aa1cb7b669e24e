"""Quorum decisions from the replies and statuses of targets.

The statuses feed the monitoring state of `cassiaseam.group`, whose functions decide which commits
are acknowledged and which position a read needs. The group size is the largest number of targets
that was known within `SHRINK_DELAY_S`, so that records that expire while the store is unreachable
do not shrink the majority. A VM that has not yet seen as many targets as are recorded in the store
uses the recorded number.
"""

from collections.abc import Iterable

from cassiaseam.configuration.model import DatabaseConfig, TargetConfig
from cassiaseam.group.quorum import count_majority, has_confirmed_primary
from cassiaseam.group.samples import add_quorum_samples
from cassiaseam.group.state import GroupState, TargetView
from cassiaseam.group.view import find_quorum_floor, is_committed
from cassiaseam.messages import TargetRole, TargetStatus
from cassiaseam.pooler.commands import ReportedStatus
from cassiaseam.pooler.evidence import fence_history, log_loss
from cassiaseam.pooler.state import GroupView, Operation, TargetState
from cassiaseam.positions import ZERO_POSITION, LogPosition

# Seconds before fewer targets reduce the group size. Live targets write their records again within
# two seconds after the store recovers; the delay is a multiple of that.
SHRINK_DELAY_S = 10.0
# Seconds that a commit may wait for a majority before further writes are held back.
CONFIRMATION_TIMEOUT_S = 0.25
# Seconds for which replica statuses of a restarted target are ignored. A restart ends a fence, and
# a promotion that relies on the fence takes effect up to 3.5 s after its claim (`pooler.duty`).
# The rest covers the delay of the record that announces the restart.
RESTART_DISTRUST_S = 4.0


def build_monitor(name: str) -> GroupState:
    """Return the monitoring state of a group without targets."""
    return GroupState(DatabaseConfig(name, ()))


def refresh_members(group: GroupView, now: float) -> None:
    """Update the monitored targets and the size of the group."""
    monitor = group.monitor
    for gone in set(monitor.targets) - set(group.targets):
        del monitor.targets[gone]
    for name in group.targets:
        monitor.targets.setdefault(name, TargetView())
    staying = count_not_leaving(group)
    if staying >= group.floor:
        group.floor = 0
    count = len(group.targets)
    if group.floor:
        count += group.floor - staying
    if count >= group.size:
        group.size = count
        group.shrunk_at = None
    elif group.shrunk_at is None:
        group.shrunk_at = now
    elif now - group.shrunk_at > SHRINK_DELAY_S:
        group.size = max(count, 1)
        group.shrunk_at = None
    known_size = len(monitor.config.targets)
    if known_size != group.size:
        slots = tuple(TargetConfig(f'{slot}', '', 0, '') for slot in range(group.size))
        monitor.config = DatabaseConfig(group.name, slots)
    if known_size < group.size:
        rebuild_samples(monitor)


def rebuild_samples(monitor: GroupState) -> None:
    """Discard the samples of a group that has grown, and derive one from the latest statuses.

    A majority of fewer targets need not meet the majorities that other VMs count.
    """
    monitor.samples.clear()
    monitor.sampled_at.clear()
    add_quorum_samples(monitor, members_are_fixed=False)


def count_not_leaving(group: GroupView) -> int:
    """Return the number of targets that are not leaving."""
    return sum(not target.record.leaving for target in group.targets.values())


def mark_new_targets(group: GroupView, recorded: int, now: float) -> None:
    """Mark the youngest targets beyond the recorded number as just joined.

    A VM that starts during a planned replacement finds all targets in its first list, but other
    VMs may not know the new one yet.
    """
    joined = sum(target.joined_at is not None for target in group.targets.values())
    excess = len(group.targets) - recorded - joined if recorded else 0
    others = [
        target
        for target in group.targets.values()
        if target.joined_at is None and not target.record.leaving
    ]
    # Incarnations are numbers without leading zeros: a longer one is later.
    others.sort(key=lambda entry: (len(entry.record.incarnation), entry.record.incarnation))
    for target in others[max(len(others) - excess, 0) :] if excess > 0 else []:
        target.joined_at = now


def count_missing(group: GroupView) -> int:
    """Return the number of targets that are not leaving and have no record."""
    return sum(
        target.missing_since is not None and not target.record.leaving
        for target in group.targets.values()
    )


def record_status(
    group: GroupView, name: str, started_at: float, reported: ReportedStatus, now: float
) -> None:
    """Record the status that a target reported for a poll sent at `started_at`."""
    view = group.monitor.targets.get(name)
    target = group.targets.get(name)
    if view is None or target is None:
        return
    target.reported_connections = reported.connections
    target.connections_known_at = started_at
    log_loss.track_report(group, name, started_at, reported, now)
    track_fence(group, target, started_at, reported, now)
    if now < target.distrusted_until and not reported.is_primary:
        return
    if view.status is not None and started_at < view.status_started_at:
        has_lost_lead = reported.term > group.monitor.term and not reported.is_primary
        if has_lost_lead and name == group.monitor.primary:
            group.monitor.known_term = max(group.monitor.known_term, reported.term)
            group.monitor.primary = ''
        return
    if not log_loss.counts_as_evidence(group, name, reported):
        reset_status(group, name)
        return
    status = TargetStatus(
        instance=name,
        incarnation=target.record.incarnation,
        term=reported.term,
        # A promotion ends the fence; the newer term then excludes older primaries, also after a
        # restart in which the target forgot it.
        fenced_term=max(reported.fenced_term, target.history.term),
        last=reported.last,
        applied=ZERO_POSITION,
        role=TargetRole.PRIMARY if reported.is_primary else TargetRole.REPLICA,
        primary_contact_age_s=reported.lag_s,
        leaving=target.record.leaving,
    )
    view.status = status
    view.status_started_at = started_at
    view.answered_at = now
    group.monitor.known_term = max(group.monitor.known_term, reported.term)
    if reported.is_primary:
        adopt_primary(group, name, reported.term, now)
    elif name == group.monitor.primary and reported.term >= group.monitor.term:
        group.monitor.primary = ''
    discard_blank_statuses(group)
    add_quorum_samples(group.monitor, members_are_fixed=False)


def track_fence(
    group: GroupView, target: TargetState, started_at: float, reported: ReportedStatus, now: float
) -> None:
    """Note the fence of a target, and end the promises of fences that a promotion has used.

    The promises of the other targets end with that of the target that leads now: a promotion that
    takes effect ends all fences up to its own.
    """
    used_term = find_used_fence_term(group, target, reported)
    if used_term:
        for other in group.targets.values():
            if other.fence.term <= used_term:
                other.fence.forget()
        return
    view = group.monitor.targets[target.record.name]
    if view.status is None or started_at >= view.status_started_at:
        fence_history.track_fence(target.fence, reported, now)


def find_used_fence_term(group: GroupView, target: TargetState, reported: ReportedStatus) -> int:
    """Return the term of the fences that the promotion of a target has used, or 0.

    This VM has seen the target fenced, or was told of the promotion.
    """
    used_term = 0
    if fence_history.is_promoted_after(target.fence, reported):
        used_term = target.fence.term
    pending = group.pending_promotion
    if pending is None or pending.target != target.record.name or not reported.is_primary:
        return used_term
    return max(used_term, pending.term) if reported.term > pending.base_term else used_term


def discard_blank_statuses(group: GroupView) -> None:
    """Discard statuses of blank targets from before the group was known to have entries.

    The targets may be polled in any order after the start of a VM.
    """
    for name, view in list(group.monitor.targets.items()):
        status = view.status
        if status is None or status.term:
            continue
        if not log_loss.counts_as_evidence(group, name, status):
            reset_status(group, name)


def adopt_primary(group: GroupView, name: str, term: int, now: float) -> None:
    """Adopt a target as the current primary unless a newer term is known."""
    monitor = group.monitor
    if term < monitor.term or (term == monitor.term and name == monitor.primary):
        return
    if monitor.primary and monitor.primary != name:
        group.former_primary = monitor.primary
    monitor.primary = name
    monitor.term = term
    group.primary_adopted_at = now
    group.without_primary_since = None


def record_primary_position(
    group: GroupView, name: str, started_at: float, position: LogPosition, now: float
) -> None:
    """Update the status of the primary by the position in a reply that proves its lead.

    The reply belongs to a command that was sent at `started_at`. A position of a newer term shows
    that the target leads again after promotions that this VM missed. The reply then tells nothing
    about the known term, and the targets are polled.
    """
    monitor = group.monitor
    if position.term > monitor.term:
        monitor.known_term = max(monitor.known_term, position.term)
        return
    view = monitor.targets.get(name)
    if name != monitor.primary or view is None or view.status is None:
        return
    known = view.status
    if known.role is not TargetRole.PRIMARY or started_at < view.status_started_at:
        return
    view.status = TargetStatus(
        instance=name,
        incarnation=known.incarnation,
        term=known.term,
        fenced_term=known.fenced_term,
        last=max(position, known.last),
        applied=position,
        role=TargetRole.PRIMARY,
        leaving=known.leaving,
    )
    view.status_started_at = started_at
    view.answered_at = now
    log_loss.track_primary_position(group, name, view.status.last, now)
    discard_blank_statuses(group)
    add_quorum_samples(monitor, members_are_fixed=False)


def is_fenced(status: TargetStatus) -> bool:
    """Return whether a target is fenced for a newer term than its own."""
    return status.fenced_term > status.term


def reset_status(group: GroupView, name: str) -> None:
    """Discard the status and the fence of a target that restarted or lost its log."""
    group.monitor.targets[name] = TargetView()
    if group.promotion is not None:
        group.promotion.fenced_positions.pop(name, None)
    if group.monitor.primary == name:
        group.monitor.primary = ''


def is_primary_confirmed(group: GroupView, name: str, since: float) -> bool:
    """Return whether a majority confirmed a target as the current primary at or after `since`.

    A promotion first fences enough targets to meet every majority. A newer primary that
    acknowledged a commit before `since` would therefore show in one of the statuses. So would a
    former primary: a target that has not heard of the newer term may still hold what the former
    primary acknowledges, if its fence has ended, and does not count.
    """
    return name == group.monitor.primary and has_confirmed_primary(
        group.monitor, polled_after=since, in_term=True
    )


def is_read_confirmed(group: GroupView, operation: Operation) -> bool:
    """Return whether a majority confirmed that a read ran on the current primary.

    A target that leads again in a later term may have been a lagging replica in between.
    """
    return operation.sent_term == group.monitor.term and is_primary_confirmed(
        group, operation.reply_target, operation.started_at
    )


def is_replaced(group: GroupView, operation: Operation) -> bool:
    """Return whether the primary that answered a read has been replaced, perhaps by itself."""
    if group.monitor.primary not in {'', operation.reply_target}:
        return True
    return operation.sent_term != group.monitor.term


def has_commit_quorum(group: GroupView, position: LogPosition, now: float) -> bool:
    """Return whether a majority holds a commit that the primary reported.

    A target that was fenced above the term of the commit does not count, even if it holds it now.
    Once a newer term is known, its promotion has ended the fences of all targets, so that no
    status of the term of the commit counts.
    """
    if is_term_over(group, position.term) or position.term < find_promised_term(group, now):
        return False
    excluded = list_bound_targets(group, position.term, now)
    return is_committed(group.monitor, position, position.term, excluded)


def is_term_over(group: GroupView, term: int) -> bool:
    """Return whether a newer term is known, so that no commit of `term` is acknowledged."""
    return group.monitor.known_term > term


def find_promised_term(group: GroupView, now: float) -> int:
    """Return the term below which a promotion that may take effect forbids acknowledgements."""
    pending = group.pending_promotion
    if pending is None or now > pending.until:
        return 0
    monitor = group.monitor
    has_taken_effect = monitor.primary == pending.target and monitor.term > pending.base_term
    return 0 if has_taken_effect else pending.term


def list_bound_targets(group: GroupView, term: int, now: float) -> list[str]:
    """Return the targets that the promise of a fence keeps from acknowledging in `term`."""
    return [
        name
        for name, target in group.targets.items()
        if fence_history.is_promise_in_force(target.fence, term, now)
    ]


def can_acknowledge(group: GroupView, now: float) -> bool:
    """Return whether a commit that is sent now is likely to reach a majority.

    After a promotion the replicas need some time to follow the new primary, and some may receive
    nothing at all. A write that waits has not run, whereas one that was sent would have an unknown
    outcome.
    """
    monitor = group.monitor
    if is_term_over(group, monitor.term) or monitor.term < find_promised_term(group, now):
        return False
    excluded = list_bound_targets(group, monitor.term, now)
    following = sum(
        name not in excluded
        and view.status is not None
        and view.status.term == monitor.term
        and view.status.fenced_term <= monitor.term
        for name, view in monitor.targets.items()
    )
    if following < count_majority(monitor):
        return False
    missing = group.unconfirmed
    if missing is not None and missing.term == monitor.term:
        if not has_commit_quorum(group, missing, now):
            return False
        group.unconfirmed = None
    return not any(
        operation.commit is not None and now - operation.replied_at > CONFIRMATION_TIMEOUT_S
        for operation in group.operations
    )


def find_freshness_bound(operation: Operation) -> float:
    """Return the time up to which a read has to see all acknowledged commits."""
    return operation.started_at - operation.route.max_age_s


def find_required_position(
    group: GroupView, operation: Operation, session_commit: LogPosition | None
):
    """Return the position that a target needs to serve a read, or None while it is unknown.

    Returns:
        The higher of the latest commit of the session and a sample that covers every commit
        acknowledged more than the accepted age before the operation.
    """
    floor = find_quorum_floor(group.monitor, find_freshness_bound(operation))
    if floor is None:
        return None
    return max(floor, session_commit) if session_commit is not None else floor


def has_fence_quorum(group: GroupView, fenced: Iterable[str], now: float) -> bool:
    """Return whether the fenced targets intersect every majority that another VM may use.

    Another VM may not know a target that has just joined, and may have removed one that is leaving
    or has no record. Such a fenced target counts neither as a fence nor in the group size: the
    other fences then intersect the majorities of VMs that do not know it, and its own fence keeps
    it out of the majorities of VMs that do.
    """
    known = [group.targets[name] for name in fenced if name in group.targets]
    certain = sum(is_known_to_all_vms(target, now) for target in known)
    return bool(known) and certain >= count_required_fences(group, len(known) - certain)


def is_known_to_all_vms(target: TargetState, now: float) -> bool:
    """Return whether all VMs count a target as a member of its group."""
    if target.record.leaving or target.missing_since is not None:
        return False
    return target.joined_at is None or now - target.joined_at > SHRINK_DELAY_S


def count_required_fences(group: GroupView, left_out: int = 0) -> int:
    """Return how many fences intersect every majority of the targets that are not left out.

    No further fence is needed when all targets are left out: each of them is fenced.
    """
    size = group.size - left_out
    majority = size // 2 + 1
    return size - majority + 1
