"""Autocommit statements: start, end, retry and loss."""

from cassiaseam.errors import OWNER_CUT_OFF, ErrorKind, RequestError
from cassiaseam.group.view import is_owner_cut_off
from cassiaseam.messages import RequestKind
from cassiaseam.owner.acknowledgement import answer_unknown, await_majority, expect_poll_soon
from cassiaseam.owner.answers import (
    answer_error,
    answer_kind,
    answer_result,
    build_refusal,
    forget_work,
)
from cassiaseam.owner.breaker import record_success
from cassiaseam.owner.pool import (
    close_connection,
    count_target_failure,
    free_slot,
    put_idle,
    remove_connection,
    reset_connection,
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
    TargetPool,
    TimerKind,
    Turn,
    Work,
    WorkPhase,
    read_applied_position,
    schedule_timer,
)
from cassiaseam.owner.transactions import (
    CONNECTION_LOSSES,
    abort_transaction,
    build_sql_error,
    finish_transaction_statement,
)
from cassiaseam.reducer.target_io import ExecutionMode, StatementFailure, StatementFinished

MAX_RUNS = 3
READ_WAIT_LIMIT_S = 3.0
READ_RETRY_AFTER_S = 0.5


def start_read(turn: Turn, work: Work, contended: TargetPool | None) -> bool:
    """Send a read or park it until the next poll; return False when it has to wait for a slot."""
    route = choose_read_route(turn, work, contended)
    if not route.eligible:
        park_read(turn, work)
        return True
    pool = route.pool
    if pool is None:
        return False
    if work.queue is not None:
        work.queue.remove_work(work)
    connection = pool.idle.pop()
    work.position = read_applied_position(turn, pool.config.name)
    work.replica = pool.config.name != turn.group.primary
    send_statement(turn, connection, work, ExecutionMode.READ)
    return True


def park_read(turn: Turn, work: Work) -> None:
    """Let a read wait until a poll shows a target that may serve it."""
    if work.queue is not None:
        work.queue.remove_work(work)
    request = work.request
    if work.phase is not WorkPhase.PARKED:
        work.phase = WorkPhase.PARKED
        turn.database.parked[request.request_id] = work
        expect_poll_soon(turn)
    if not work.parked:
        work.parked = True
        due = min(turn.now + READ_WAIT_LIMIT_S, request.deadline)
        schedule_timer(turn, due, TimerKind.READ_WAIT, work)


def queue_read(turn: Turn, work: Work, first: bool = False) -> None:
    """Put a read into the queue that fits the age it accepts."""
    turn.database.parked.pop(work.request.request_id, None)
    work.phase = WorkPhase.QUEUED
    database = turn.database
    queue = database.primary_reads if work.max_age_s is None else database.replica_reads
    queue.add_work(work, first=first)


def refuse_unserved_read(turn: Turn, work: Work) -> None:
    """Answer a read that no target could serve in time."""
    kind, message = ErrorKind.NO_TARGET, 'no target can serve reads'
    if is_any_target_reachable(turn):
        kind = ErrorKind.TOO_OLD
        message = f'no target covers floor {work.request.floor} at age {work.max_age_s}'
    error = build_refusal(kind, message, READ_RETRY_AFTER_S)
    if is_owner_cut_off(turn.group, turn.now):
        error.detail['cause'] = OWNER_CUT_OFF
    answer_error(turn, work, error)


def start_write(turn: Turn, connection: Connection, work: Work) -> None:
    """Send an autocommit write to the primary."""
    work.queue.remove_work(work)
    work.term = turn.group.term
    keyed = work.request.idempotency_key is not None
    mode = ExecutionMode.KEYED_WRITE if keyed else ExecutionMode.WRITE
    send_statement(turn, connection, work, mode)


def finish_statement(turn: Turn, event: StatementFinished) -> None:
    """Handle the end of a statement; reports about other requests are ignored."""
    pool = turn.database.targets.get(event.target)
    connection = pool.connections.get(event.connection_id) if pool is not None else None
    if connection is None:
        return
    if connection.phase is ConnectionPhase.CLOSING:
        remove_connection(connection)
        return
    work = connection.work
    if work is None or work.request.request_id != event.request_id:
        return
    free_slot(connection)
    if event.failure not in CONNECTION_LOSSES:
        record_success(pool.breaker)
    if work.transaction is not None:
        finish_transaction_statement(turn, connection, work, event)
        return
    connection.work = None
    connection.phase = ConnectionPhase.HELD
    work.connection = None
    if work.request.kind is RequestKind.READ:
        finish_read(turn, connection, work, event)
    else:
        finish_write(turn, connection, work, event)


def finish_read(turn: Turn, connection: Connection, work: Work, event: StatementFinished) -> None:
    """Answer a read, or retry it elsewhere when its connection was lost."""
    failure = event.failure
    if failure is None:
        turn.database.read_time.add_sample(turn.now - work.started_at, turn.now)
        put_idle(turn, connection)
        position = work.position
        if event.position is not None and event.position > position:
            position = event.position
        answer_result(turn, work, event.result_set, position)
    elif failure in CONNECTION_LOSSES:
        close_connection(turn, connection)
        count_target_failure(turn, connection.pool)
        retry_read(turn, work, failure)
    else:
        reset_connection(turn, connection)
        answer_refused_statement(turn, work, event)


def answer_refused_statement(turn: Turn, work: Work, event: StatementFinished) -> None:
    """Answer a statement that the target refused without running it."""
    if event.failure is StatementFailure.KEY_REUSED:
        answer_kind(turn, work, ErrorKind.KEY_REUSED, event.message)
    else:
        answer_error(turn, work, build_sql_error(event))


def retry_read(turn: Turn, work: Work, failure: StatementFailure) -> None:
    """Queue a lost read again if it may be repeated and the budget allows it."""
    if work.cancelled:
        forget_work(turn, work)
        return
    sent = failure is not StatementFailure.NOT_SENT
    if sent and not work.request.repeatable:
        answer_unknown(turn, work, f'lost on target {work.target}; not repeatable')
    elif work.runs < MAX_RUNS and turn.database.budget.take_token():
        queue_read(turn, work, first=True)
    else:
        message = f'lost on target {work.target} after {work.runs} runs'
        answer_kind(turn, work, ErrorKind.NO_TARGET, message)


def finish_write(turn: Turn, connection: Connection, work: Work, event: StatementFinished) -> None:
    """Wait for a majority, queue the write again if it did not run, or answer its failure."""
    failure = event.failure
    if failure is None:
        turn.database.write_time.add_sample(turn.now - work.started_at, turn.now)
        put_idle(turn, connection)
        await_majority(turn, work, event)
    elif failure in CONNECTION_LOSSES:
        close_connection(turn, connection)
        count_target_failure(turn, connection.pool)
        if failure is StatementFailure.NOT_SENT:
            requeue_unsent_write(turn, work)
        else:
            rerun_lost_write(turn, work, failure.value)
    else:
        reset_connection(turn, connection)
        if failure is StatementFailure.READ_ONLY:
            connection.pool.writes_refused_at = turn.now
            requeue_unsent_write(turn, work)
        else:
            answer_refused_statement(turn, work, event)


def requeue_unsent_write(turn: Turn, work: Work) -> None:
    """Queue a write again that certainly did not run."""
    work.runs -= 1
    requeue_write(turn, work)


def rerun_lost_write(turn: Turn, work: Work, reason: str) -> None:
    """Run a write with an idempotency key again; without one its outcome stays unknown."""
    work.may_have_run = True
    if work.request.idempotency_key is None or work.runs >= MAX_RUNS:
        answer_unknown(turn, work, f'{reason} after the write was sent to {work.target}')
    else:
        requeue_write(turn, work)


def requeue_write(turn: Turn, work: Work) -> None:
    """Put a write back to the front of its lane if its deadline allows another wait."""
    if work.cancelled:
        forget_work(turn, work)
        return
    wait_s = estimate_blocked_s(turn)
    if wait_s is None or turn.now + wait_s >= work.request.deadline:
        answer_kind(turn, work, ErrorKind.NO_PRIMARY, 'the primary is gone', wait_s)
        return
    work.phase = WorkPhase.QUEUED
    turn.database.writes.add_work(work, first=True)


def lose_connection(turn: Turn, connection: Connection, reason: str) -> None:
    """Treat a connection as lost although the end of its statement was not reported."""
    work = connection.work
    if work is None:
        close_connection(turn, connection)
        return
    event = StatementFinished(
        turn.database.name,
        connection.pool.config.name,
        connection.connection_id,
        work.request.request_id,
        failure=StatementFailure.LOST,
        message=reason,
    )
    finish_statement(turn, event)


def drop_connection(turn: Turn, connection: Connection, reason: str) -> None:
    """Close a connection whose target is gone, and end what it was used for."""
    transaction = connection.transaction
    if connection.phase is ConnectionPhase.RUNNING:
        lose_connection(turn, connection, reason)
    elif transaction is not None:
        abort_transaction(turn, transaction, reason, close=True)
    else:
        close_connection(turn, connection)


def build_deadline_error(work: Work) -> RequestError:
    """Return the error for a request whose deadline passed."""
    return RequestError(
        ErrorKind.DEADLINE_EXCEEDED, f'{work.phase.value} at the deadline', retry_after_s=0
    )
