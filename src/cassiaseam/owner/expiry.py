"""Handlers of expired timers: deadlines, timeouts, probes and polls."""

import heapq
from collections.abc import Callable
from typing import Any, TypeVar

from cassiaseam.errors import ErrorKind
from cassiaseam.messages import RequestKind
from cassiaseam.owner.acknowledgement import answer_unknown
from cassiaseam.owner.adoption import expire_adoption
from cassiaseam.owner.answers import answer_error, answer_error_kind
from cassiaseam.owner.dispatch import dispatch_requests, refuse_all_writes
from cassiaseam.owner.drain import (
    abort_transactions_at_limit,
    finish_drain,
    finish_release,
)
from cassiaseam.owner.pool import (
    CLOSE_TIMEOUT_S,
    CONNECT_TIMEOUT_S,
    CONNECTION_IDLE_TIMEOUT_S,
    RESET_TIMEOUT_S,
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
    EventContext,
    OwnerState,
    PendingRequest,
    RequestPhase,
    TargetPool,
    TimerKind,
    Transaction,
    create_context,
    schedule_timer,
)
from cassiaseam.owner.statements import build_deadline_error, refuse_unserved_read
from cassiaseam.owner.transactions import (
    abort_transaction,
    expire_idle_transaction,
    withdraw_statement,
)
from cassiaseam.reducer.node_state import NodeState

ExpiryHandler = Callable[[EventContext, Any], None]
ExpiryHandlerT = TypeVar('ExpiryHandlerT', bound=ExpiryHandler)

EXPIRY_HANDLERS: dict[TimerKind, ExpiryHandler] = {}
# Callers choose deadlines, so that an expired short deadline says nothing about the target. Only
# a statement that runs much longer than usual counts as a failure of its target.
MIN_STUCK_STATEMENT_S = 0.25
STUCK_FACTOR = 4
PHASE_TIMEOUTS_S = {
    ConnectionPhase.OPENING: CONNECT_TIMEOUT_S,
    ConnectionPhase.RESETTING: RESET_TIMEOUT_S,
    ConnectionPhase.CLOSING: CLOSE_TIMEOUT_S,
}


def handles_timer(kind: TimerKind) -> Callable[[ExpiryHandlerT], ExpiryHandlerT]:
    """Register the function `(context, subject)` that handles one kind of timer."""

    def register(handler: ExpiryHandlerT) -> ExpiryHandlerT:
        EXPIRY_HANDLERS[kind] = handler
        return handler

    return register


def find_next_due(node: NodeState) -> float | None:
    """Return the time in seconds at which the next `Tick` should be sent, or None."""
    owner = node.owner
    if owner is None or not owner.timers:
        return None
    return owner.timers[0][0]


def run_due_timers(node: NodeState, owner: OwnerState, now: float, effects: list[Any]) -> None:
    """Run all due timers; the cost depends only on the number of due timers."""
    timers = owner.timers
    while timers and timers[0][0] <= now:
        _, _, kind, name, subject = heapq.heappop(timers)
        if kind is TimerKind.DEADLINE and is_done(subject):
            continue
        database = node.databases.get(name)
        if database is None:
            continue
        context = create_context(node, database, now, effects)
        EXPIRY_HANDLERS[kind](context, subject)
        dispatch_requests(context)
        finish_release(context)


def is_done(pending: PendingRequest) -> bool:
    """Return whether a request is done, so that its deadline has no effect."""
    return pending.phase is RequestPhase.DONE


@handles_timer(TimerKind.DEADLINE)
def expire_request(context: EventContext, pending: PendingRequest) -> None:
    """Give the final answer to a request at its deadline."""
    phase = pending.phase
    if phase is RequestPhase.COMMITTING:
        answer_unknown(context, pending, 'no majority held the write at the deadline')
    elif phase is RequestPhase.PARKED:
        refuse_unserved_read(context, pending)
    elif phase is RequestPhase.RUNNING:
        expire_running_request(context, pending)
    elif phase is RequestPhase.QUEUED:
        blocked = context.database.writes_blocked_at is not None and pending.transaction is None
        if blocked and pending.request.kind is RequestKind.WRITE:
            answer_error_kind(
                context, pending, ErrorKind.NO_PRIMARY, 'no primary until the deadline'
            )
        answer_error(context, pending, build_deadline_error(pending))
        if pending.transaction is not None:
            withdraw_statement(context, pending)


def expire_running_request(context: EventContext, pending: PendingRequest) -> None:
    """Answer a request whose statement is still running, and close its connection."""
    connection = pending.connection
    kind = pending.request.kind
    if is_stuck(context, pending):
        count_target_failure(context, connection.pool)
    if pending.transaction is not None:
        if kind is RequestKind.BEGIN:
            answer_error(context, pending, build_deadline_error(pending))
        abort_transaction(
            context, pending.transaction, 'statement ran until its deadline', close=True
        )
        return
    close_connection(context, connection)
    if kind is RequestKind.READ and pending.request.repeatable:
        answer_error(context, pending, build_deadline_error(pending))
    else:
        answer_unknown(context, pending, f'running on {pending.target} at the deadline')


def is_stuck(context: EventContext, pending: PendingRequest) -> bool:
    """Return whether a running statement has taken much longer than usual."""
    is_read = pending.request.kind is RequestKind.READ
    usual = context.database.read_time if is_read else context.database.write_time
    limit_s = max(MIN_STUCK_STATEMENT_S, STUCK_FACTOR * usual.estimate_s(pending.started_at))
    return context.now - pending.started_at >= limit_s


@handles_timer(TimerKind.READ_WAIT)
def expire_read_wait(context: EventContext, pending: PendingRequest) -> None:
    """Refuse a read that has waited too long for a target that may serve it."""
    if pending.phase is RequestPhase.PARKED:
        refuse_unserved_read(context, pending)


@handles_timer(TimerKind.WRITE_WAIT)
def expire_write_wait(context: EventContext, blocked_at: float) -> None:
    """Refuse the waiting writes after writes were blocked for the maximum time."""
    if context.database.writes_blocked_at == blocked_at:
        refuse_all_writes(context)


@handles_timer(TimerKind.TRANSACTION_IDLE)
def expire_transaction(context: EventContext, transaction: Transaction) -> None:
    """Check the idle timeout of a transaction."""
    expire_idle_transaction(context, transaction)


@handles_timer(TimerKind.CONNECTION_PHASE)
def expire_connection_phase(context: EventContext, connection: Connection) -> None:
    """Close or remove a connection that takes too long to open, reset or close."""
    limit_s = PHASE_TIMEOUTS_S.get(connection.phase)
    if limit_s is None or connection.connection_id not in connection.pool.connections:
        return
    if connection.phase_started_at + limit_s > context.now:
        return
    if connection.phase is ConnectionPhase.CLOSING:
        remove_connection(connection)
        return
    close_connection(context, connection)
    count_target_failure(context, connection.pool)


@handles_timer(TimerKind.POOL_IDLE)
def expire_idle_connections(context: EventContext, pool: TargetPool) -> None:
    """Close connections that exceeded the idle timeout."""
    pool.idle_timer_due = False
    close_idle_connections(context, pool, CONNECTION_IDLE_TIMEOUT_S)
    if pool.idle:
        pool.idle_timer_due = True
        due = pool.idle[0].phase_started_at + CONNECTION_IDLE_TIMEOUT_S
        schedule_timer(context, due, TimerKind.POOL_IDLE, pool)


@handles_timer(TimerKind.BREAKER)
def expire_breaker(context: EventContext, pool: TargetPool) -> None:
    """Probe a target after the backoff of its breaker."""
    probe_target(context, pool)


@handles_timer(TimerKind.DRAIN)
def expire_drain(context: EventContext, pool: TargetPool) -> None:
    """End the drain of a target."""
    finish_drain(context, pool)


@handles_timer(TimerKind.OWNERSHIP)
def expire_ownership(context: EventContext, _subject: None) -> None:
    """Abort the transactions still open at the limit after ownership was lost or a shutdown."""
    abort_transactions_at_limit(context)


@handles_timer(TimerKind.POLL)
def expire_poll_interval(context: EventContext, _subject: None) -> None:
    """Allow the dispatch that follows every timer to request the next polls."""
    context.database.poll_timer_due = False


@handles_timer(TimerKind.ADOPTION)
def expire_adopted_database(context: EventContext, adopted: DatabaseState) -> None:
    """Release an adopted database whose adoption was not renewed in time."""
    expire_adoption(context, adopted)
