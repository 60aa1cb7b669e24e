"""Acknowledgement of writes that a majority holds, and the polls that confirm it."""

from cassiaseam.errors import ErrorKind
from cassiaseam.group import view as group_view
from cassiaseam.group.monitoring import request_poll
from cassiaseam.group.state import GroupState
from cassiaseam.owner.answers import answer_error_kind, answer_result
from cassiaseam.owner.state import (
    EventContext,
    PendingRequest,
    RequestPhase,
    TimerKind,
    is_monitored,
    schedule_timer,
)
from cassiaseam.positions import ZERO_POSITION, LogPosition
from cassiaseam.reducer.target_io import PollTarget, StatementFinished

# The group role does not poll a target more often than this.
MIN_POLL_INTERVAL_S = 0.005
MAX_POLL_INTERVAL_S = 0.05
POLL_INTERVAL_FACTOR = 1.5


def await_majority(
    context: EventContext, pending: PendingRequest, event: StatementFinished
) -> None:
    """Delay the answer to a write until a majority holds its commit."""
    pending.phase = RequestPhase.COMMITTING
    pending.connection = None
    pending.finished_at = context.now
    pending.result_set = event.result_set
    # A replayed outcome and a write without changes have no commit of their own: they are
    # durable once the whole log of the primary after the statement is.
    pending.position = None
    if event.position is not None and not event.replayed:
        pending.position = event.position
        pending.term = event.position.term
    context.database.committing[pending.request.request_id] = pending
    check_commits(context, [pending])
    reset_poll_interval(context)


def find_commit_position(context: EventContext, pending: PendingRequest) -> LogPosition | None:
    """Return the position that a majority has to hold, or None if only a later poll shows it."""
    if pending.position is not None:
        return pending.position
    view = context.group.targets.get(pending.target)
    if view is None or view.status is None or view.status_started_at <= pending.finished_at:
        return None
    return view.status.last if view.status.term == pending.term else None


def check_commits(context: EventContext, pending_requests: list[PendingRequest]) -> None:
    """Answer the writes that a majority holds and those that a new term leaves undecided."""
    committed: LogPosition | None = None
    uncommitted: LogPosition | None = None
    for pending in pending_requests:
        if context.group.term > pending.term:
            answer_unknown(
                context, pending, f'term {pending.term} ended before a majority held the write'
            )
            continue
        position = find_commit_position(context, pending)
        if position is None or (uncommitted is not None and position >= uncommitted):
            continue
        # A majority that holds a position holds all earlier ones of the same term.
        covered = committed is not None and committed.covers(position)
        if covered and committed.term == pending.term:
            answer_result(context, pending, pending.result_set, position)
        elif is_durable(context.group, position, pending.term):
            committed = position
            answer_result(context, pending, pending.result_set, position)
        else:
            uncommitted = position


def is_durable(group: GroupState, position: LogPosition, term: int) -> bool:
    """Return whether every promotion keeps the log of the primary of `term` up to a position.

    A log that ends in an earlier term is durable only after the primary committed an entry of its
    own term (`MarkTerm`): an instance that was unreachable may hold an entry of a term in between
    and win the next promotion, however many instances hold the inherited log. An empty log is
    always durable.
    """
    return position == ZERO_POSITION or group_view.is_committed(group, position, term)


def answer_unknown(context: EventContext, pending: PendingRequest, message: str) -> None:
    """Answer a request whose outcome cannot be determined in time."""
    answer_error_kind(context, pending, ErrorKind.OUTCOME_UNKNOWN, message)


def reset_poll_interval(context: EventContext) -> None:
    """Reset the poll interval to its minimum, because a new request waits for a poll."""
    context.database.poll_interval_s = MIN_POLL_INTERVAL_S


def schedule_polls(context: EventContext) -> None:
    """Request polls at growing intervals while requests wait for them."""
    database = context.database
    if not (database.committing or database.parked):
        return
    due = database.poll_requested_at + database.poll_interval_s
    if due <= context.now:
        database.poll_requested_at = context.now
        longer_s = max(database.poll_interval_s, MIN_POLL_INTERVAL_S) * POLL_INTERVAL_FACTOR
        database.poll_interval_s = min(longer_s, MAX_POLL_INTERVAL_S)
        context.effects.extend(request_status_polls(context))
        due = context.now + database.poll_interval_s
    if not database.poll_timer_due:
        database.poll_timer_due = True
        schedule_timer(context, due, TimerKind.POLL)


def request_status_polls(context: EventContext) -> list[PollTarget]:
    """Return polls of all targets, also while the group role does not monitor them."""
    if is_monitored(context):
        return request_poll(context.group, context.now)
    return [PollTarget(context.database.name, name) for name in context.group.targets]
