"""Transactions, each pinned to one connection and running one statement at a time."""

from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.messages import RequestKind
from cassiaseam.owner.acknowledgement import answer_unknown, await_majority
from cassiaseam.owner.answers import (
    answer_error,
    answer_error_kind,
    answer_result,
    register_request,
)
from cassiaseam.owner.pool import (
    close_connection,
    count_target_failure,
    has_write_slot,
    reset_connection,
    send_statement,
)
from cassiaseam.owner.state import (
    Connection,
    ConnectionPhase,
    EventContext,
    PendingRequest,
    TargetPool,
    TimerKind,
    Transaction,
    read_applied_position,
    schedule_timer,
)
from cassiaseam.reducer.target_io import ExecutionMode, StatementFailure, StatementFinished

TRANSACTION_IDLE_TIMEOUT_S = 30.0
MAX_WAITING_STATEMENTS = 32
# MySQL rolls back the whole transaction on a deadlock; later statements would autocommit.
DEADLOCK_MYSQL_CODE = 1213

CONNECTION_FAILURES = frozenset(
    (StatementFailure.NOT_SENT, StatementFailure.LOST, StatementFailure.TIMEOUT),
)
EXECUTION_MODES = {
    RequestKind.READ: ExecutionMode.IN_TRANSACTION,
    RequestKind.WRITE: ExecutionMode.IN_TRANSACTION,
    RequestKind.COMMIT: ExecutionMode.COMMIT,
    RequestKind.ROLLBACK: ExecutionMode.ROLLBACK,
}


def accept_begin(context: EventContext, pending: PendingRequest) -> None:
    """Queue a BEGIN."""
    request = pending.request
    transaction = Transaction(
        request.transaction_id, request.session_id, request.entry, context.now, begin=pending
    )
    pending.transaction = transaction
    context.database.transactions[request.transaction_id] = transaction
    by_entry = context.owner.transactions_by_entry.setdefault(request.entry, {})
    by_entry[request.transaction_id] = context.database.name
    register_request(context, pending)
    context.database.begins.enqueue_request(pending)


def accept_statement(context: EventContext, pending: PendingRequest) -> None:
    """Queue a statement of an open transaction; refuse it if the transaction is not open."""
    request = pending.request
    register_request(context, pending)
    transaction = context.database.transactions.get(request.transaction_id)
    if transaction is None or transaction.session_id != request.session_id:
        message = f'transaction {request.transaction_id!r} is not open'
        answer_error_kind(context, pending, ErrorKind.TRANSACTION_ABORTED, message)
        return
    if len(transaction.waiting) >= MAX_WAITING_STATEMENTS:
        message = f'transaction has {len(transaction.waiting)} waiting statements'
        answer_error_kind(context, pending, ErrorKind.OVERLOADED, message)
        return
    pending.transaction = transaction
    transaction.waiting.append(pending)
    mark_ready(transaction)


def mark_ready(transaction: Transaction) -> None:
    """Queue a transaction for a slot if its next statement can run."""
    open_and_free = transaction.begin is None and transaction.running is None
    if open_and_free and transaction.waiting and transaction.connection is not None:
        transaction.connection.pool.ready_transactions.append(transaction)


def run_ready_statements(context: EventContext, pool: TargetPool) -> None:
    """Run waiting statements of open transactions.

    A transaction that may hold locks needs no free slot: autocommit writes that wait for its locks
    could occupy all slots, so that its COMMIT would never run. The connection limit of
    transactions bounds the number of these statements.
    """
    blocked = []
    while pool.ready_transactions:
        transaction = pool.ready_transactions.popleft()
        connection = transaction.connection
        # Entries become stale when a transaction ends or its statement is withdrawn.
        stale = connection is None or connection.transaction is not transaction
        if stale or transaction.running is not None or not transaction.waiting:
            continue
        if transaction.may_hold_locks or has_write_slot(pool):
            run_next_statement(context, transaction)
        else:
            blocked.append(transaction)
    pool.ready_transactions.extend(blocked)


def run_next_statement(context: EventContext, transaction: Transaction) -> None:
    """Send the first waiting statement of a transaction."""
    connection = transaction.connection
    pending = transaction.waiting.popleft()
    transaction.running = pending
    transaction.may_hold_locks = True
    pending.position = read_applied_position(context, connection.pool.config.name)
    pending.term = transaction.term
    send_statement(context, connection, pending, EXECUTION_MODES[pending.request.kind])


def start_begin(context: EventContext, connection: Connection, pending: PendingRequest) -> None:
    """Send BEGIN on the connection acquired for its transaction."""
    transaction = pending.transaction
    transaction.connection = connection
    transaction.running = pending
    transaction.term = context.group.term
    pending.term = context.group.term
    keyed = pending.request.idempotency_key is not None
    transaction.may_hold_locks = keyed
    mode = ExecutionMode.KEYED_BEGIN if keyed else ExecutionMode.BEGIN
    send_statement(context, connection, pending, mode)


def finish_transaction_statement(
    context: EventContext,
    connection: Connection,
    pending: PendingRequest,
    event: StatementFinished,
) -> None:
    """Handle the end of BEGIN or of a statement of an open transaction."""
    transaction = pending.transaction
    transaction.running = None
    transaction.idle_since = context.now
    connection.phase = ConnectionPhase.HELD
    connection.pending = None
    if event.failure is not None:
        finish_failed_statement(context, transaction, pending, event)
        return
    kind = pending.request.kind
    if kind is RequestKind.BEGIN:
        finish_begin(context, transaction, pending, event)
    elif kind is RequestKind.COMMIT:
        end_transaction(context, transaction)
        reset_connection(context, connection)
        await_majority(context, pending, event)
    elif kind is RequestKind.ROLLBACK:
        end_transaction(context, transaction)
        reset_connection(context, connection)
        answer_result(context, pending, event.result_set, pending.position)
    else:
        answer_result(context, pending, event.result_set, pending.position)
        mark_ready(transaction)


def finish_begin(
    context: EventContext,
    transaction: Transaction,
    pending: PendingRequest,
    event: StatementFinished,
) -> None:
    """Open the transaction unless its idempotency key belongs to a committed one."""
    transaction.begin = None
    if event.replayed:
        message = f'key {pending.request.idempotency_key!r} belongs to a committed transaction'
        answer_error_kind(context, pending, ErrorKind.KEY_REUSED, message)
        abort_transaction(context, transaction, message)
        return
    if pending.cancelled:
        answer_result(context, pending, event.result_set, None)
        abort_transaction(context, transaction, 'BEGIN was cancelled')
        return
    answer_result(
        context, pending, event.result_set, read_applied_position(context, pending.target)
    )
    due = context.now + TRANSACTION_IDLE_TIMEOUT_S
    schedule_timer(context, due, TimerKind.TRANSACTION_IDLE, transaction)
    mark_ready(transaction)


def finish_failed_statement(
    context: EventContext,
    transaction: Transaction,
    pending: PendingRequest,
    event: StatementFinished,
) -> None:
    """Answer a failed statement and end the transaction unless it can continue."""
    failure = event.failure
    kind = pending.request.kind
    if failure in CONNECTION_FAILURES:
        count_target_failure(context, transaction.connection.pool)
        if kind is RequestKind.COMMIT and failure is not StatementFailure.NOT_SENT:
            answer_unknown(context, pending, f'connection failed during COMMIT: {event.message}')
        abort_transaction(context, transaction, f'{failure.value}: {event.message}', close=True)
        answer_error_kind(context, pending, ErrorKind.TRANSACTION_ABORTED, event.message)
        return
    deadlock = event.mysql_code == DEADLOCK_MYSQL_CODE
    in_transaction = kind in {RequestKind.READ, RequestKind.WRITE}
    if failure is StatementFailure.SQL_ERROR and in_transaction and not deadlock:
        answer_error(context, pending, build_sql_error(event))
        mark_ready(transaction)
        return
    if failure is StatementFailure.READ_ONLY:
        transaction.connection.pool.writes_refused_at = context.now
    if failure is StatementFailure.KEY_REUSED:
        answer_error_kind(context, pending, ErrorKind.KEY_REUSED, event.message)
    elif failure is StatementFailure.SQL_ERROR and kind is RequestKind.BEGIN:
        answer_error(context, pending, build_sql_error(event))
    else:
        code = event.mysql_code or None
        error = RequestError(
            ErrorKind.TRANSACTION_ABORTED, event.message, retry_after_s=0, mysql_code=code
        )
        answer_error(context, pending, error)
    abort_transaction(context, transaction, f'{failure.value}: {event.message}')


def build_sql_error(event: StatementFinished) -> RequestError:
    """Return the error of a statement that the target refused."""
    return RequestError(
        ErrorKind.STATEMENT_FAILED, event.message, mysql_code=event.mysql_code or None
    )


def end_transaction(context: EventContext, transaction: Transaction) -> None:
    """Remove a transaction; its waiting statements were never sent and are refused."""
    transaction_id = transaction.transaction_id
    database = context.database
    if database.transactions.get(transaction_id) is not transaction:
        return
    del database.transactions[transaction_id]
    by_entry = context.owner.transactions_by_entry.get(transaction.entry, {})
    by_entry.pop(transaction_id, None)
    if not by_entry:
        context.owner.transactions_by_entry.pop(transaction.entry, None)
    database.transaction_time.add_sample(context.now - transaction.begun_at, context.now)
    for pending in tuple(transaction.waiting):
        answer_error_kind(
            context, pending, ErrorKind.TRANSACTION_ABORTED, 'the transaction has ended'
        )
    transaction.waiting.clear()


def abort_transaction(
    context: EventContext, transaction: Transaction, reason: str, close: bool = False
) -> None:
    """End a transaction without a commit.

    Args:
        context: Context of the event.
        transaction: Transaction to end.
        reason: Text for the answers to its statements.
        close: Whether to close the connection instead of resetting it.
    """
    end_transaction(context, transaction)
    running = transaction.running
    for pending in (transaction.begin, running):
        if pending is None:
            continue
        if pending.request.kind is RequestKind.COMMIT:
            answer_unknown(context, pending, f'{reason} during COMMIT')
        else:
            answer_error_kind(context, pending, ErrorKind.TRANSACTION_ABORTED, reason)
    connection = transaction.connection
    transaction.connection = None
    transaction.running = None
    if connection is None or connection.transaction is not transaction:
        return
    if close or running is not None:
        close_connection(context, connection)
    else:
        reset_connection(context, connection)


def abandon_transaction(context: EventContext, transaction: Transaction, reason: str) -> None:
    """Roll back a transaction whose caller disconnected; a running COMMIT may finish."""
    running = transaction.running
    if running is not None and running.request.kind is RequestKind.COMMIT:
        running.cancelled = True
        return
    abort_transaction(context, transaction, reason)


def withdraw_statement(context: EventContext, pending: PendingRequest) -> None:
    """Remove an unsent statement from its transaction; removing BEGIN aborts the transaction."""
    transaction = pending.transaction
    if pending.request.kind is RequestKind.BEGIN:
        abort_transaction(context, transaction, 'BEGIN was withdrawn')
    elif pending in transaction.waiting:
        transaction.waiting.remove(pending)


def expire_idle_transaction(context: EventContext, transaction: Transaction) -> None:
    """Abort a transaction that exceeded the idle timeout, or schedule the next check."""
    database = context.database
    if database.transactions.get(transaction.transaction_id) is not transaction:
        return
    due = transaction.idle_since + TRANSACTION_IDLE_TIMEOUT_S
    if transaction.running is not None or transaction.waiting:
        due = context.now + TRANSACTION_IDLE_TIMEOUT_S
    if due <= context.now:
        abort_transaction(context, transaction, f'idle for over {TRANSACTION_IDLE_TIMEOUT_S} s')
        return
    schedule_timer(context, due, TimerKind.TRANSACTION_IDLE, transaction)
