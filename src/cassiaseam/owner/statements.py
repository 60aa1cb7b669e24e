"""Start, completion, retry and loss of autocommit statements."""

from cassiaseam.errors import OWNER_CUT_OFF, ErrorKind, RequestError
from cassiaseam.group.view import is_owner_cut_off
from cassiaseam.messages import RequestKind
from cassiaseam.owner.acknowledgement import answer_unknown, await_majority, reset_poll_interval
from cassiaseam.owner.answers import (
    answer_error,
    answer_error_kind,
    answer_result,
    build_refusal,
    unregister_request,
)
from cassiaseam.owner.breaker import record_success
from cassiaseam.owner.pool import (
    close_connection,
    count_target_failure,
    release_slot,
    remove_connection,
    reset_connection,
    return_to_pool,
    send_statement,
)
from cassiaseam.owner.routing import (
    choose_read_route,
    estimate_blocked_s,
    is_any_target_reachable,
)
from cassiaseam.owner.state import (
    Connection,
    ConnectionPhase,
    EventContext,
    PendingRequest,
    RequestPhase,
    TargetPool,
    TimerKind,
    read_applied_position,
    schedule_timer,
)
from cassiaseam.owner.transactions import (
    CONNECTION_FAILURES,
    abort_transaction,
    build_sql_error,
    finish_transaction_statement,
)
from cassiaseam.reducer.target_io import ExecutionMode, StatementFailure, StatementFinished

MAX_ATTEMPTS = 3
READ_WAIT_TIMEOUT_S = 3.0
READ_RETRY_AFTER_S = 0.5


def start_read(
    context: EventContext, pending: PendingRequest, contended_primary: TargetPool | None
) -> bool:
    """Send a read or park it until the next poll; return False if it must wait for a slot."""
    route = choose_read_route(context, pending, contended_primary)
    if not route.eligible:
        park_read(context, pending)
        return True
    pool = route.pool
    if pool is None:
        return False
    if pending.queue is not None:
        pending.queue.remove_request(pending)
    connection = pool.idle.pop()
    pending.position = read_applied_position(context, pool.config.name)
    pending.replica = pool.config.name != context.group.primary
    send_statement(context, connection, pending, ExecutionMode.READ)
    return True


def park_read(context: EventContext, pending: PendingRequest) -> None:
    """Park a read until a poll shows a target that may serve it."""
    if pending.queue is not None:
        pending.queue.remove_request(pending)
    request = pending.request
    if pending.phase is not RequestPhase.PARKED:
        pending.phase = RequestPhase.PARKED
        context.database.parked[request.request_id] = pending
        reset_poll_interval(context)
    if not pending.parked:
        pending.parked = True
        due = min(context.now + READ_WAIT_TIMEOUT_S, request.deadline)
        schedule_timer(context, due, TimerKind.READ_WAIT, pending)


def queue_read(context: EventContext, pending: PendingRequest, first: bool = False) -> None:
    """Add a read to the queue for the age that it accepts."""
    context.database.parked.pop(pending.request.request_id, None)
    pending.phase = RequestPhase.QUEUED
    database = context.database
    queue = database.primary_reads if pending.max_age_s is None else database.replica_reads
    queue.enqueue_request(pending, first=first)


def refuse_unserved_read(context: EventContext, pending: PendingRequest) -> None:
    """Answer a read that no target could serve in time."""
    kind, message = ErrorKind.NO_TARGET, 'no target can serve reads'
    if is_any_target_reachable(context):
        kind = ErrorKind.TOO_OLD
        message = f'no target covers floor {pending.request.floor} at age {pending.max_age_s}'
    error = build_refusal(kind, message, READ_RETRY_AFTER_S)
    if is_owner_cut_off(context.group, context.now):
        error.detail['cause'] = OWNER_CUT_OFF
    answer_error(context, pending, error)


def start_write(context: EventContext, connection: Connection, pending: PendingRequest) -> None:
    """Send an autocommit write to the primary."""
    pending.queue.remove_request(pending)
    pending.term = context.group.term
    keyed = pending.request.idempotency_key is not None
    mode = ExecutionMode.KEYED_WRITE if keyed else ExecutionMode.WRITE
    send_statement(context, connection, pending, mode)


def finish_statement(context: EventContext, event: StatementFinished) -> None:
    """Handle the end of a statement; ignore reports about other requests."""
    pool = context.database.targets.get(event.target)
    connection = pool.connections.get(event.connection_id) if pool is not None else None
    if connection is None:
        return
    if connection.phase is ConnectionPhase.CLOSING:
        remove_connection(connection)
        return
    pending = connection.pending
    if pending is None or pending.request.request_id != event.request_id:
        return
    release_slot(connection)
    if event.failure not in CONNECTION_FAILURES:
        record_success(pool.breaker)
    if pending.transaction is not None:
        finish_transaction_statement(context, connection, pending, event)
        return
    connection.pending = None
    connection.phase = ConnectionPhase.HELD
    pending.connection = None
    if pending.request.kind is RequestKind.READ:
        finish_read(context, connection, pending, event)
    else:
        finish_write(context, connection, pending, event)


def finish_read(
    context: EventContext,
    connection: Connection,
    pending: PendingRequest,
    event: StatementFinished,
) -> None:
    """Answer a read, or retry it on another target when its connection was lost."""
    failure = event.failure
    if failure is None:
        context.database.read_time.add_sample(context.now - pending.started_at, context.now)
        return_to_pool(context, connection)
        position = pending.position
        if event.position is not None and event.position > position:
            position = event.position
        answer_result(context, pending, event.result_set, position)
    elif failure in CONNECTION_FAILURES:
        close_connection(context, connection)
        count_target_failure(context, connection.pool)
        retry_read(context, pending, failure)
    else:
        reset_connection(context, connection)
        answer_refused_statement(context, pending, event)


def answer_refused_statement(
    context: EventContext, pending: PendingRequest, event: StatementFinished
) -> None:
    """Answer a statement that the target refused without running it."""
    if event.failure is StatementFailure.KEY_REUSED:
        answer_error_kind(context, pending, ErrorKind.KEY_REUSED, event.message)
    else:
        answer_error(context, pending, build_sql_error(event))


def retry_read(context: EventContext, pending: PendingRequest, failure: StatementFailure) -> None:
    """Requeue a lost read if it is repeatable and the retry budget allows it."""
    if pending.cancelled:
        unregister_request(context, pending)
        return
    sent = failure is not StatementFailure.NOT_SENT
    if sent and not pending.request.repeatable:
        answer_unknown(context, pending, f'lost on target {pending.target}; not repeatable')
    elif pending.attempts < MAX_ATTEMPTS and context.database.retry_budget.take_token():
        queue_read(context, pending, first=True)
    else:
        message = f'lost on target {pending.target} after {pending.attempts} runs'
        answer_error_kind(context, pending, ErrorKind.NO_TARGET, message)


def finish_write(
    context: EventContext,
    connection: Connection,
    pending: PendingRequest,
    event: StatementFinished,
) -> None:
    """Wait for a majority, requeue the write if it did not run, or answer its failure."""
    failure = event.failure
    if failure is None:
        context.database.write_time.add_sample(context.now - pending.started_at, context.now)
        return_to_pool(context, connection)
        await_majority(context, pending, event)
    elif failure in CONNECTION_FAILURES:
        close_connection(context, connection)
        count_target_failure(context, connection.pool)
        if failure is StatementFailure.NOT_SENT:
            requeue_unsent_write(context, pending)
        else:
            retry_lost_write(context, pending, failure.value)
    else:
        reset_connection(context, connection)
        if failure is StatementFailure.READ_ONLY:
            connection.pool.writes_refused_at = context.now
            requeue_unsent_write(context, pending)
        else:
            answer_refused_statement(context, pending, event)


def requeue_unsent_write(context: EventContext, pending: PendingRequest) -> None:
    """Requeue a write that is known not to have run."""
    pending.attempts -= 1
    requeue_write(context, pending)


def retry_lost_write(context: EventContext, pending: PendingRequest, reason: str) -> None:
    """Retry a write that has an idempotency key; without one its outcome stays unknown."""
    pending.may_have_run = True
    if pending.request.idempotency_key is None or pending.attempts >= MAX_ATTEMPTS:
        answer_unknown(context, pending, f'{reason} after the write was sent to {pending.target}')
    else:
        requeue_write(context, pending)


def requeue_write(context: EventContext, pending: PendingRequest) -> None:
    """Put a write back at the front of its caller's queue if its deadline allows the wait."""
    if pending.cancelled:
        unregister_request(context, pending)
        return
    wait_s = estimate_blocked_s(context)
    if wait_s is None or context.now + wait_s >= pending.request.deadline:
        answer_error_kind(context, pending, ErrorKind.NO_PRIMARY, 'the primary is gone', wait_s)
        return
    pending.phase = RequestPhase.QUEUED
    context.database.writes.enqueue_request(pending, first=True)


def handle_connection_loss(context: EventContext, connection: Connection, reason: str) -> None:
    """Treat a connection as lost before the end of its statement is reported."""
    pending = connection.pending
    if pending is None:
        close_connection(context, connection)
        return
    event = StatementFinished(
        context.database.name,
        connection.pool.config.name,
        connection.connection_id,
        pending.request.request_id,
        failure=StatementFailure.LOST,
        message=reason,
    )
    finish_statement(context, event)


def drop_connection(context: EventContext, connection: Connection, reason: str) -> None:
    """Close a connection whose target is gone, and end its statement or transaction."""
    transaction = connection.transaction
    if connection.phase is ConnectionPhase.RUNNING:
        handle_connection_loss(context, connection, reason)
    elif transaction is not None:
        abort_transaction(context, transaction, reason, close=True)
    else:
        close_connection(context, connection)


def build_deadline_error(pending: PendingRequest) -> RequestError:
    """Return the error of a request whose deadline passed."""
    return RequestError(
        ErrorKind.DEADLINE_EXCEEDED, f'{pending.phase.value} at the deadline', retry_after_s=0
    )
