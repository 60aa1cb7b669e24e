"""Acknowledgement of writes after a majority holds them, and the polls that this needs."""

from cassiaseam.errors import ErrorKind
from cassiaseam.group import view as group_view
from cassiaseam.group.monitoring import request_poll
from cassiaseam.group.state import GroupState
from cassiaseam.owner.answers import answer_kind, answer_result
from cassiaseam.owner.state import (
    TimerKind,
    Turn,
    Work,
    WorkPhase,
    is_monitored,
    schedule_timer,
)
from cassiaseam.positions import ZERO_POSITION, LogPosition
from cassiaseam.reducer.target_io import PollTarget, StatementFinished

# The group role does not poll a target more often than this.
SHORTEST_POLL_GAP_S = 0.005
LONGEST_POLL_GAP_S = 0.05
POLL_GAP_GROWTH = 1.5


def await_majority(turn: Turn, work: Work, event: StatementFinished) -> None:
    """Hold back the answer to a write until a majority holds its commit."""
    work.phase = WorkPhase.COMMITTING
    work.connection = None
    work.finished_at = turn.now
    work.result_set = event.result_set
    # A replayed outcome and a write without changes have no commit of their own: they are
    # durable once everything that the primary holds after the statement is.
    work.position = None
    if event.position is not None and not event.replayed:
        work.position = event.position
        work.term = event.position.term
    turn.database.committing[work.request.request_id] = work
    check_commits(turn, [work])
    expect_poll_soon(turn)


def find_commit_position(turn: Turn, work: Work) -> LogPosition | None:
    """Return the position that a majority has to hold, or None before the next poll."""
    if work.position is not None:
        return work.position
    view = turn.group.targets.get(work.target)
    if view is None or view.status is None or view.status_started_at <= work.finished_at:
        return None
    return view.status.last if view.status.term == work.term else None


def check_commits(turn: Turn, works: list[Work]) -> None:
    """Answer those writes that a majority holds, and those that a new term leaves undecided."""
    committed: LogPosition | None = None
    pending: LogPosition | None = None
    for work in works:
        if turn.group.term > work.term:
            answer_unknown(turn, work, f'term {work.term} ended before a majority held the write')
            continue
        position = find_commit_position(turn, work)
        if position is None or (pending is not None and position >= pending):
            continue
        # A majority that holds a position holds all earlier ones of the same term.
        covered = committed is not None and committed.covers(position)
        if covered and committed.term == work.term:
            answer_result(turn, work, work.result_set, position)
        elif is_durable(turn.group, position, work.term):
            committed = position
            answer_result(turn, work, work.result_set, position)
        else:
            pending = position


def is_durable(group: GroupState, position: LogPosition, term: int) -> bool:
    """Return whether no promotion can lose the log up to a position of the primary of `term`.

    A log that ends in an earlier term is durable only after the primary committed an entry of its
    own term (`MarkTerm`): an instance that was away may hold an entry of a term in between and
    win the next promotion, however many instances hold the inherited log. An empty log has
    nothing to lose.
    """
    return position == ZERO_POSITION or group_view.is_committed(group, position, term)


def answer_unknown(turn: Turn, work: Work, message: str) -> None:
    """Answer a request whose outcome cannot be learnt in time."""
    answer_kind(turn, work, ErrorKind.OUTCOME_UNKNOWN, message)


def expect_poll_soon(turn: Turn) -> None:
    """Shorten the gap until the next poll, because a new request waits for it."""
    turn.database.poll_gap_s = SHORTEST_POLL_GAP_S


def keep_polling(turn: Turn) -> None:
    """Ask for polls as long as requests wait for them, at growing intervals."""
    database = turn.database
    if not (database.committing or database.parked):
        return
    due = database.poll_requested_at + database.poll_gap_s
    if due <= turn.now:
        database.poll_requested_at = turn.now
        longer_s = max(database.poll_gap_s, SHORTEST_POLL_GAP_S) * POLL_GAP_GROWTH
        database.poll_gap_s = min(longer_s, LONGEST_POLL_GAP_S)
        turn.effects.extend(ask_for_statuses(turn))
        due = turn.now + database.poll_gap_s
    if not database.poll_timer_due:
        database.poll_timer_due = True
        schedule_timer(turn, due, TimerKind.POLL)


def ask_for_statuses(turn: Turn) -> list[PollTarget]:
    """Return the polls of all targets, also while the group role does not monitor them."""
    if is_monitored(turn):
        return request_poll(turn.group, turn.now)
    return [PollTarget(turn.database.name, name) for name in turn.group.targets]
