"""What replies and statuses of targets prove about a group.

The statuses feed the monitoring state of `cassiaseam.group`, whose functions decide on
acknowledgement and floors. A majority counts over the largest number of targets that was known
for `SHRINK_DELAY_S`, so that records that lapse while the store is away prove nothing. A VM that
has not yet seen as many targets as are recorded in the store counts over the recorded number.
"""

from collections.abc import Iterable

from cassiaseam.configuration.model import DatabaseConfig, TargetConfig
from cassiaseam.group.quorum import count_majority, has_confirmed_primary
from cassiaseam.group.samples import add_quorum_samples
from cassiaseam.group.state import GroupState, TargetView
from cassiaseam.group.view import find_quorum_floor, is_committed
from cassiaseam.messages import TargetRole, TargetStatus
from cassiaseam.pooler.commands import ReportedStatus
from cassiaseam.pooler.state import GroupView, Operation, TargetState
from cassiaseam.positions import ZERO_POSITION, LogPosition

# Records of live targets are back two seconds after the store is; a multiple of that.
SHRINK_DELAY_S = 10.0
# Time in seconds that a commit may wait for a majority before further writes are held back.
CONFIRMATION_LIMIT_S = 0.25
# Time that a restarted replica does not vouch for a primary: a fence ends with a restart, and a
# promotion that counted on the fence has taken effect 3.5 s after its claim (`pooler.duty`). The
# rest is for the record of the restart, which arrives late.
RESTART_DISTRUST_S = 4.0


def build_monitor(name: str) -> GroupState:
    """Return the monitoring state of a group without targets."""
    return GroupState(DatabaseConfig(name, ()))


def refresh_members(group: GroupView, now: float) -> None:
    """Bring the monitored targets and the size of the group up to date."""
    monitor = group.monitor
    for gone in set(monitor.targets) - set(group.targets):
        del monitor.targets[gone]
    for name in group.targets:
        monitor.targets.setdefault(name, TargetView())
    staying = count_staying(group)
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
    if len(monitor.config.targets) != group.size:
        slots = tuple(TargetConfig(f'{slot}', '', 0, '') for slot in range(group.size))
        monitor.config = DatabaseConfig(group.name, slots)


def count_staying(group: GroupView) -> int:
    """Return how many targets have not announced that they leave."""
    return sum(not target.record.leaving for target in group.targets.values())


def note_newcomers(group: GroupView, recorded: int, now: float) -> None:
    """Take the youngest targets beyond the recorded number for ones that have just joined.

    A VM that starts during a planned replacement finds all of them in its first list, and other
    VMs may not know the new one yet.
    """
    joined = sum(target.joined_at is not None for target in group.targets.values())
    excess = len(group.targets) - recorded - joined if recorded else 0
    others = [
        target
        for target in group.targets.values()
        if target.joined_at is None and not target.record.leaving
    ]
    # Starts are numbers without leading zeros: the longer one is the later one.
    others.sort(key=lambda it: (len(it.record.incarnation), it.record.incarnation))
    for target in others[len(others) - excess :] if excess > 0 else []:
        target.joined_at = now


def count_missing(group: GroupView) -> int:
    """Return how many targets that have not announced that they leave have no record."""
    return sum(
        target.missing_since is not None and not target.record.leaving
        for target in group.targets.values()
    )


def note_status(
    group: GroupView, name: str, started_at: float, reported: ReportedStatus, now: float
) -> None:
    """Take over a status that a target reported for a poll sent at `started_at`."""
    view = group.monitor.targets.get(name)
    target = group.targets.get(name)
    if view is None or target is None:
        return
    target.reported_connections = reported.connections
    if now < target.distrusted_until and not reported.is_primary:
        return
    status = TargetStatus(
        instance=name,
        incarnation=target.record.incarnation,
        term=reported.term,
        # A fence ends with a promotion; the newer term then excludes older primaries.
        fenced_term=max(reported.fenced_term, reported.term),
        last=reported.last,
        applied=ZERO_POSITION,
        role=TargetRole.PRIMARY if reported.is_primary else TargetRole.REPLICA,
        primary_contact_age_s=reported.lag_s,
        leaving=target.record.leaving,
    )
    if view.status is not None and started_at < view.status_started_at:
        return
    view.status = status
    view.status_started_at = started_at
    view.answered_at = now
    group.monitor.known_term = max(group.monitor.known_term, reported.term)
    if reported.is_primary:
        adopt_primary(group, name, reported.term)
    elif name == group.monitor.primary and reported.term >= group.monitor.term:
        group.monitor.primary = ''
    add_quorum_samples(group.monitor, members_are_fixed=False)


def adopt_primary(group: GroupView, name: str, term: int) -> None:
    """Take a target as the primary in charge when no newer term is known."""
    monitor = group.monitor
    if term < monitor.term or (term == monitor.term and name == monitor.primary):
        return
    if monitor.primary and monitor.primary != name:
        group.former_primary = monitor.primary
    monitor.primary = name
    monitor.term = term
    group.without_primary_since = None


def note_primary_position(
    group: GroupView, name: str, started_at: float, position: LogPosition, now: float
) -> None:
    """Take the position in a reply of the primary as its status.

    The reply belongs to a command that was sent at `started_at`.
    """
    monitor = group.monitor
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
    add_quorum_samples(monitor, members_are_fixed=False)


def is_fenced(status: TargetStatus) -> bool:
    """Return whether a target waits behind a fence for a newer term."""
    return status.fenced_term > status.term


def forget_status(group: GroupView, name: str) -> None:
    """Drop what a target said before it restarted."""
    group.monitor.targets[name] = TargetView()
    if group.monitor.primary == name:
        group.monitor.primary = ''


def is_primary_confirmed(group: GroupView, name: str, since: float) -> bool:
    """Return whether a majority saw a target in charge as the primary at or after `since`.

    A promotion fences a majority first. A commit that a newer primary acknowledged before `since`
    would therefore show in one of the statuses.
    """
    return name == group.monitor.primary and has_confirmed_primary(
        group.monitor, polled_after=since
    )


def is_commit_held(group: GroupView, position: LogPosition) -> bool:
    """Return whether a majority holds a commit that the primary reported."""
    return is_committed(group.monitor, position, position.term)


def can_acknowledge(group: GroupView, now: float) -> bool:
    """Return whether a commit that is sent now may be expected to reach a majority.

    After a promotion the replicas take a moment to follow the new primary, and some may receive
    nothing at all. A write that waits has not run; one that was sent would end in doubt.
    """
    monitor = group.monitor
    following = sum(
        view.status is not None
        and view.status.term == monitor.term
        and view.status.fenced_term <= monitor.term
        for view in monitor.targets.values()
    )
    if following < count_majority(monitor):
        return False
    missing = group.unconfirmed
    if missing is not None and missing.term == monitor.term:
        if not is_commit_held(group, missing):
            return False
        group.unconfirmed = None
    return not any(
        operation.commit is not None and now - operation.replied_at > CONFIRMATION_LIMIT_S
        for operation in group.operations
    )


def find_since(operation: Operation) -> float:
    """Return the time as of which a read has to see all acknowledged commits."""
    return operation.started_at - operation.route.max_age_s


def find_floor(group: GroupView, operation: Operation, session_commit: LogPosition | None):
    """Return the position that a read has to cover, or None while it is unknown.

    Returns:
        Highest of the session's own latest commit and a sample that covers every commit
        acknowledged more than the accepted age before the operation.
    """
    floor = find_quorum_floor(group.monitor, find_since(operation))
    if floor is None:
        return None
    return max(floor, session_commit) if session_commit is not None else floor


def are_fences_enough(group: GroupView, fenced: Iterable[str], now: float) -> bool:
    """Return whether fences meet every majority that another VM may count.

    Another VM may not know a target that has just joined, and may have dropped one that leaves or
    whose record is missing. The fence of such a target is left out, and the target is not counted:
    the others then meet the majorities of VMs that do not count it, and its fence keeps it out of
    the majorities of VMs that do.
    """
    known = [group.targets[name] for name in fenced if name in group.targets]
    certain = sum(is_counted_everywhere(target, now) for target in known)
    return bool(known) and certain >= count_needed_grants(group, len(known) - certain)


def is_counted_everywhere(target: TargetState, now: float) -> bool:
    """Return whether all VMs count a target among those of its group."""
    if target.record.leaving or target.missing_since is not None:
        return False
    return target.joined_at is None or now - target.joined_at > SHRINK_DELAY_S


def count_needed_grants(group: GroupView, left_out: int = 0) -> int:
    """Return how many fences meet every majority of the targets that are not left out.

    None are needed when all targets are left out: each of them is fenced.
    """
    size = group.size - left_out
    majority = size // 2 + 1
    return size - majority + 1
