"""Transactions: each is pinned to one connection and runs one statement at a time."""

from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.messages import RequestKind
from cassiaseam.owner.acknowledgement import answer_unknown, await_majority
from cassiaseam.owner.answers import answer_error, answer_kind, answer_result, register_work
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
    TargetPool,
    TimerKind,
    Transaction,
    Turn,
    Work,
    read_applied_position,
    schedule_timer,
)
from cassiaseam.reducer.target_io import ExecutionMode, StatementFailure, StatementFinished

IDLE_LIMIT_S = 30.0
WAITING_LIMIT = 32
# MySQL rolls the whole transaction back on a deadlock; later statements would autocommit.
DEADLOCK_MYSQL_CODE = 1213

CONNECTION_LOSSES = frozenset(
    (StatementFailure.NOT_SENT, StatementFailure.LOST, StatementFailure.TIMEOUT),
)
MODES = {
    RequestKind.READ: ExecutionMode.IN_TRANSACTION,
    RequestKind.WRITE: ExecutionMode.IN_TRANSACTION,
    RequestKind.COMMIT: ExecutionMode.COMMIT,
    RequestKind.ROLLBACK: ExecutionMode.ROLLBACK,
}


def accept_begin(turn: Turn, work: Work) -> None:
    """Queue a BEGIN."""
    request = work.request
    transaction = Transaction(
        request.transaction_id, request.session_id, request.entry, turn.now, begin=work
    )
    work.transaction = transaction
    turn.database.transactions[request.transaction_id] = transaction
    by_entry = turn.owner.transactions_by_entry.setdefault(request.entry, {})
    by_entry[request.transaction_id] = turn.database.name
    register_work(turn, work)
    turn.database.begins.add_work(work)


def accept_statement(turn: Turn, work: Work) -> None:
    """Queue a statement of an open transaction, or refuse it when there is none."""
    request = work.request
    register_work(turn, work)
    transaction = turn.database.transactions.get(request.transaction_id)
    if transaction is None or transaction.session_id != request.session_id:
        message = f'transaction {request.transaction_id!r} is not open'
        answer_kind(turn, work, ErrorKind.TRANSACTION_ABORTED, message)
        return
    if len(transaction.waiting) >= WAITING_LIMIT:
        message = f'transaction has {len(transaction.waiting)} waiting statements'
        answer_kind(turn, work, ErrorKind.OVERLOADED, message)
        return
    work.transaction = transaction
    transaction.waiting.append(work)
    make_ready(transaction)


def make_ready(transaction: Transaction) -> None:
    """Let the next statement of a transaction wait for a slot."""
    open_and_free = transaction.begin is None and transaction.running is None
    if open_and_free and transaction.waiting and transaction.connection is not None:
        transaction.connection.pool.ready.append(transaction)


def run_ready_statements(turn: Turn, pool: TargetPool) -> None:
    """Run waiting statements of open transactions.

    A transaction that may hold locks needs no free slot: autocommit writes that wait for its locks
    could occupy all slots, and its COMMIT would never run. The number of these statements is
    bounded by the connections that transactions may hold.
    """
    blocked = []
    while pool.ready:
        transaction = pool.ready.popleft()
        connection = transaction.connection
        # Entries become stale when a transaction ends or its statement is withdrawn.
        stale = connection is None or connection.transaction is not transaction
        if stale or transaction.running is not None or not transaction.waiting:
            continue
        if transaction.may_hold_locks or has_write_slot(pool):
            run_next_statement(turn, transaction)
        else:
            blocked.append(transaction)
    pool.ready.extend(blocked)


def run_next_statement(turn: Turn, transaction: Transaction) -> None:
    """Send the first waiting statement of a transaction."""
    connection = transaction.connection
    work = transaction.waiting.popleft()
    transaction.running = work
    transaction.may_hold_locks = True
    work.position = read_applied_position(turn, connection.pool.config.name)
    work.term = transaction.term
    send_statement(turn, connection, work, MODES[work.request.kind])


def start_begin(turn: Turn, connection: Connection, work: Work) -> None:
    """Send BEGIN on a connection that was taken for its transaction."""
    transaction = work.transaction
    transaction.connection = connection
    transaction.running = work
    transaction.term = turn.group.term
    work.term = turn.group.term
    keyed = work.request.idempotency_key is not None
    transaction.may_hold_locks = keyed
    mode = ExecutionMode.KEYED_BEGIN if keyed else ExecutionMode.BEGIN
    send_statement(turn, connection, work, mode)


def finish_transaction_statement(
    turn: Turn, connection: Connection, work: Work, event: StatementFinished
) -> None:
    """Handle the end of BEGIN or of a statement of an open transaction."""
    transaction = work.transaction
    transaction.running = None
    transaction.idle_since = turn.now
    connection.phase = ConnectionPhase.HELD
    connection.work = None
    if event.failure is not None:
        finish_failed_statement(turn, transaction, work, event)
        return
    kind = work.request.kind
    if kind is RequestKind.BEGIN:
        finish_begin(turn, transaction, work, event)
    elif kind is RequestKind.COMMIT:
        end_transaction(turn, transaction)
        reset_connection(turn, connection)
        await_majority(turn, work, event)
    elif kind is RequestKind.ROLLBACK:
        end_transaction(turn, transaction)
        reset_connection(turn, connection)
        answer_result(turn, work, event.result_set, work.position)
    else:
        answer_result(turn, work, event.result_set, work.position)
        make_ready(transaction)


def finish_begin(
    turn: Turn, transaction: Transaction, work: Work, event: StatementFinished
) -> None:
    """Open the transaction, unless its key belongs to one that was committed before."""
    transaction.begin = None
    if event.replayed:
        message = f'key {work.request.idempotency_key!r} belongs to a committed transaction'
        answer_kind(turn, work, ErrorKind.KEY_REUSED, message)
        abort_transaction(turn, transaction, message)
        return
    if work.cancelled:
        answer_result(turn, work, event.result_set, None)
        abort_transaction(turn, transaction, 'BEGIN was cancelled')
        return
    answer_result(turn, work, event.result_set, read_applied_position(turn, work.target))
    due = turn.now + IDLE_LIMIT_S
    schedule_timer(turn, due, TimerKind.TRANSACTION_IDLE, transaction)
    make_ready(transaction)


def finish_failed_statement(
    turn: Turn, transaction: Transaction, work: Work, event: StatementFinished
) -> None:
    """Answer a failed statement and end the transaction unless it can go on."""
    failure = event.failure
    kind = work.request.kind
    if failure in CONNECTION_LOSSES:
        count_target_failure(turn, transaction.connection.pool)
        if kind is RequestKind.COMMIT and failure is not StatementFailure.NOT_SENT:
            answer_unknown(turn, work, f'connection failed during COMMIT: {event.message}')
        abort_transaction(turn, transaction, f'{failure.value}: {event.message}', close=True)
        answer_kind(turn, work, ErrorKind.TRANSACTION_ABORTED, event.message)
        return
    deadlock = event.mysql_code == DEADLOCK_MYSQL_CODE
    in_transaction = kind in {RequestKind.READ, RequestKind.WRITE}
    if failure is StatementFailure.SQL_ERROR and in_transaction and not deadlock:
        answer_error(turn, work, build_sql_error(event))
        make_ready(transaction)
        return
    if failure is StatementFailure.READ_ONLY:
        transaction.connection.pool.writes_refused_at = turn.now
    if failure is StatementFailure.KEY_REUSED:
        answer_kind(turn, work, ErrorKind.KEY_REUSED, event.message)
    elif failure is StatementFailure.SQL_ERROR and kind is RequestKind.BEGIN:
        answer_error(turn, work, build_sql_error(event))
    else:
        code = event.mysql_code or None
        error = RequestError(
            ErrorKind.TRANSACTION_ABORTED, event.message, retry_after_s=0, mysql_code=code
        )
        answer_error(turn, work, error)
    abort_transaction(turn, transaction, f'{failure.value}: {event.message}')


def build_sql_error(event: StatementFinished) -> RequestError:
    """Return the error for a statement that the target refused."""
    return RequestError(
        ErrorKind.STATEMENT_FAILED, event.message, mysql_code=event.mysql_code or None
    )


def end_transaction(turn: Turn, transaction: Transaction) -> None:
    """Forget a transaction; statements that still wait were never sent."""
    transaction_id = transaction.transaction_id
    database = turn.database
    if database.transactions.get(transaction_id) is not transaction:
        return
    del database.transactions[transaction_id]
    by_entry = turn.owner.transactions_by_entry.get(transaction.entry, {})
    by_entry.pop(transaction_id, None)
    if not by_entry:
        turn.owner.transactions_by_entry.pop(transaction.entry, None)
    database.transaction_time.add_sample(turn.now - transaction.begun_at, turn.now)
    for work in tuple(transaction.waiting):
        answer_kind(turn, work, ErrorKind.TRANSACTION_ABORTED, 'the transaction has ended')
    transaction.waiting.clear()


def abort_transaction(
    turn: Turn, transaction: Transaction, reason: str, close: bool = False
) -> None:
    """End a transaction without commit.

    Args:
        turn: Event being handled.
        transaction: Transaction to end.
        reason: Text for the answers to its statements.
        close: Whether to close the connection instead of resetting it.
    """
    end_transaction(turn, transaction)
    running = transaction.running
    for work in (transaction.begin, running):
        if work is None:
            continue
        if work.request.kind is RequestKind.COMMIT:
            answer_unknown(turn, work, f'{reason} during COMMIT')
        else:
            answer_kind(turn, work, ErrorKind.TRANSACTION_ABORTED, reason)
    connection = transaction.connection
    transaction.connection = None
    transaction.running = None
    if connection is None or connection.transaction is not transaction:
        return
    if close or running is not None:
        close_connection(turn, connection)
    else:
        reset_connection(turn, connection)


def leave_transaction(turn: Turn, transaction: Transaction, reason: str) -> None:
    """Roll back a transaction whose caller is gone; a running COMMIT is left to finish."""
    running = transaction.running
    if running is not None and running.request.kind is RequestKind.COMMIT:
        running.cancelled = True
        return
    abort_transaction(turn, transaction, reason)


def withdraw_statement(turn: Turn, work: Work) -> None:
    """Take a statement that was not sent out of its transaction; BEGIN takes all with it."""
    transaction = work.transaction
    if work.request.kind is RequestKind.BEGIN:
        abort_transaction(turn, transaction, 'BEGIN was withdrawn')
    elif work in transaction.waiting:
        transaction.waiting.remove(work)


def expire_idle_transaction(turn: Turn, transaction: Transaction) -> None:
    """Abort a transaction that has been idle over the limit, or check again later."""
    database = turn.database
    if database.transactions.get(transaction.transaction_id) is not transaction:
        return
    due = transaction.idle_since + IDLE_LIMIT_S
    if transaction.running is not None or transaction.waiting:
        due = turn.now + IDLE_LIMIT_S
    if due <= turn.now:
        abort_transaction(turn, transaction, f'idle for over {IDLE_LIMIT_S} s')
        return
    schedule_timer(turn, due, TimerKind.TRANSACTION_IDLE, transaction)
