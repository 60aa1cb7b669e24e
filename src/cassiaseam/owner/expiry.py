"""Handling of due times: deadlines, waits, limits and probes."""

import heapq
from collections.abc import Callable
from typing import Any, TypeVar

from cassiaseam.errors import ErrorKind
from cassiaseam.messages import RequestKind
from cassiaseam.owner.acknowledgement import answer_unknown
from cassiaseam.owner.adoption import expire_adoption
from cassiaseam.owner.answers import answer_error, answer_kind
from cassiaseam.owner.dispatch import dispatch_work, refuse_all_writes
from cassiaseam.owner.drain import (
    abort_transactions_at_limit,
    finish_drain,
    finish_release,
)
from cassiaseam.owner.pool import (
    CLOSE_LIMIT_S,
    IDLE_LIMIT_S,
    OPEN_LIMIT_S,
    RESET_LIMIT_S,
    close_connection,
    close_idle_connections,
    count_target_failure,
    probe_target,
    remove_connection,
)
from cassiaseam.owner.state import (
    Connection,
    ConnectionPhase,
    DatabaseState,
    OwnerState,
    TargetPool,
    TimerKind,
    Transaction,
    Turn,
    Work,
    WorkPhase,
    schedule_timer,
    start_turn,
)
from cassiaseam.owner.statements import build_deadline_error, refuse_unserved_read
from cassiaseam.owner.transactions import (
    abort_transaction,
    expire_idle_transaction,
    withdraw_statement,
)
from cassiaseam.reducer.node_state import NodeState

ExpiryHandler = Callable[[Turn, Any], None]
ExpiryHandlerT = TypeVar('ExpiryHandlerT', bound=ExpiryHandler)

EXPIRY_HANDLERS: dict[TimerKind, ExpiryHandler] = {}
# Callers choose deadlines, and a short one that passes says nothing about the target. Only a
# statement that ran for much longer than usual counts as a failure of its target.
STUCK_STATEMENT_S = 0.25
STUCK_FACTOR = 4
PHASE_LIMITS_S = {
    ConnectionPhase.OPENING: OPEN_LIMIT_S,
    ConnectionPhase.RESETTING: RESET_LIMIT_S,
    ConnectionPhase.CLOSING: CLOSE_LIMIT_S,
}


def expires(kind: TimerKind) -> Callable[[ExpiryHandlerT], ExpiryHandlerT]:
    """Register the function `(turn, subject)` that handles one kind of due time."""

    def register(handler: ExpiryHandlerT) -> ExpiryHandlerT:
        EXPIRY_HANDLERS[kind] = handler
        return handler

    return register


def find_next_due(node: NodeState) -> float | None:
    """Return the time in seconds at which the shell should send the next `Tick`, or None."""
    owner = node.owner
    if owner is None or not owner.timers:
        return None
    return owner.timers[0][0]


def run_due_timers(node: NodeState, owner: OwnerState, now: float, effects: list[Any]) -> None:
    """Handle everything that is due; the cost depends only on the number of due times."""
    timers = owner.timers
    while timers and timers[0][0] <= now:
        _, _, kind, name, subject = heapq.heappop(timers)
        if kind is TimerKind.DEADLINE and is_settled(subject):
            continue
        database = node.databases.get(name)
        if database is None:
            continue
        turn = start_turn(node, database, now, effects)
        EXPIRY_HANDLERS[kind](turn, subject)
        dispatch_work(turn)
        finish_release(turn)


def is_settled(work: Work) -> bool:
    """Return whether nothing has to happen at the deadline of a request."""
    return work.phase is WorkPhase.DONE


@expires(TimerKind.DEADLINE)
def expire_request(turn: Turn, work: Work) -> None:
    """Give the final answer to a request at its deadline."""
    phase = work.phase
    if phase is WorkPhase.COMMITTING:
        answer_unknown(turn, work, 'no majority held the write at the deadline')
    elif phase is WorkPhase.PARKED:
        refuse_unserved_read(turn, work)
    elif phase is WorkPhase.RUNNING:
        expire_running_request(turn, work)
    elif phase is WorkPhase.QUEUED:
        blocked = turn.database.writes_blocked_at is not None and work.transaction is None
        if blocked and work.request.kind is RequestKind.WRITE:
            answer_kind(turn, work, ErrorKind.NO_PRIMARY, 'no primary until the deadline')
        answer_error(turn, work, build_deadline_error(work))
        if work.transaction is not None:
            withdraw_statement(turn, work)


def expire_running_request(turn: Turn, work: Work) -> None:
    """Answer a request whose statement still runs, and close the connection."""
    connection = work.connection
    kind = work.request.kind
    if is_stuck(turn, work):
        count_target_failure(turn, connection.pool)
    if work.transaction is not None:
        if kind is RequestKind.BEGIN:
            answer_error(turn, work, build_deadline_error(work))
        abort_transaction(turn, work.transaction, 'statement ran until its deadline', close=True)
        return
    close_connection(turn, connection)
    if kind is RequestKind.READ and work.request.repeatable:
        answer_error(turn, work, build_deadline_error(work))
    else:
        answer_unknown(turn, work, f'running on {work.target} at the deadline')


def is_stuck(turn: Turn, work: Work) -> bool:
    """Return whether a running statement has taken much longer than such statements do."""
    is_read = work.request.kind is RequestKind.READ
    usual = turn.database.read_time if is_read else turn.database.write_time
    limit_s = max(STUCK_STATEMENT_S, STUCK_FACTOR * usual.estimate_s(work.started_at))
    return turn.now - work.started_at >= limit_s


@expires(TimerKind.READ_WAIT)
def expire_read_wait(turn: Turn, work: Work) -> None:
    """Refuse a read that has waited too long for a target that may serve it."""
    if work.phase is WorkPhase.PARKED:
        refuse_unserved_read(turn, work)


@expires(TimerKind.WRITE_WAIT)
def expire_write_wait(turn: Turn, blocked_at: float) -> None:
    """Refuse the waiting writes after writes have been blocked for the longest time."""
    if turn.database.writes_blocked_at == blocked_at:
        refuse_all_writes(turn)


@expires(TimerKind.TRANSACTION_IDLE)
def expire_transaction(turn: Turn, transaction: Transaction) -> None:
    """Abort a transaction that its caller has left idle."""
    expire_idle_transaction(turn, transaction)


@expires(TimerKind.CONNECTION_PHASE)
def expire_connection_phase(turn: Turn, connection: Connection) -> None:
    """Close a connection that takes too long to open, to reset or to close."""
    limit_s = PHASE_LIMITS_S.get(connection.phase)
    if limit_s is None or connection.connection_id not in connection.pool.connections:
        return
    if connection.since + limit_s > turn.now:
        return
    if connection.phase is ConnectionPhase.CLOSING:
        remove_connection(connection)
        return
    close_connection(turn, connection)
    count_target_failure(turn, connection.pool)


@expires(TimerKind.POOL_IDLE)
def expire_idle_connections(turn: Turn, pool: TargetPool) -> None:
    """Close connections that have been idle over the limit."""
    pool.idle_timer_due = False
    close_idle_connections(turn, pool, IDLE_LIMIT_S)
    if pool.idle:
        pool.idle_timer_due = True
        due = pool.idle[0].since + IDLE_LIMIT_S
        schedule_timer(turn, due, TimerKind.POOL_IDLE, pool)


@expires(TimerKind.BREAKER)
def expire_breaker(turn: Turn, pool: TargetPool) -> None:
    """Probe a target after the backoff of its breaker."""
    probe_target(turn, pool)


@expires(TimerKind.DRAIN)
def expire_drain(turn: Turn, pool: TargetPool) -> None:
    """End the drain of a target."""
    finish_drain(turn, pool)


@expires(TimerKind.OWNERSHIP)
def expire_ownership(turn: Turn, _subject: None) -> None:
    """Abort the transactions that outlived the loss of ownership or the shutdown."""
    abort_transactions_at_limit(turn)


@expires(TimerKind.POLL)
def expire_poll_gap(turn: Turn, _subject: None) -> None:
    """Let the dispatch that follows every due time ask for the next polls."""
    turn.database.poll_timer_due = False


@expires(TimerKind.ADOPTION)
def expire_adopted_database(turn: Turn, adopted: DatabaseState) -> None:
    """Give up an adopted database that no entry has asked for in time."""
    expire_adoption(turn, adopted)
