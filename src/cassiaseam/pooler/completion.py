"""Failure of operations, and the end of transactions and sessions."""

from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.pooler import connections, sessions
from cassiaseam.pooler.accounts import revocation
from cassiaseam.pooler.admission import retries
from cassiaseam.pooler.commands import Rollback, SessionState, Statement, StatementKind
from cassiaseam.pooler.events import CallerDisconnected, StatementArrived, WriteLog
from cassiaseam.pooler.quotas import tokens
from cassiaseam.pooler.relay import versions
from cassiaseam.pooler.state import CallerSession, Job, Operation, PoolerState, Purpose
from cassiaseam.pooler.target_use.causes import CloseCause
from cassiaseam.reducer.registry import handles, reduce_event

# Connection id of a transaction whose connection was released.
RELEASED_CONNECTION_ID = -1
# Retry-after time in seconds that is sent to callers with an error.
RETRY_AFTER_S = 0.3


def fail_operation(
    state: PoolerState,
    operation: Operation,
    kind: ErrorKind,
    text: str,
    now: float,
    retry_after_s: float = RETRY_AFTER_S,
) -> list:
    """Answer an operation with an error and abort its transaction."""
    session = state.sessions[operation.session_id]
    retry_after_s = retries.find_retry_after_s(state, operation, kind, retry_after_s, now)
    error = RequestError(kind, text, retry_after_s=retry_after_s)
    effects: list = [
        WriteLog(
            'request_failed',
            {
                **sessions.describe_operation(operation, now),
                'kind': kind.value,
                'cause': text,
                'target': operation.last_target or None,
                'version': state.config.version if state.config else 0,
            },
        )
    ]
    cancel_jobs(operation)
    finish_operation(state, operation)
    count_outcome(state, operation, kind.value)
    if session.transaction is not None:
        effects += abandon_transaction(state, session, now)
        if operation.statement.kind is not StatementKind.COMMIT:
            session.state = SessionState.FAILED_TRANSACTION
    effects += sessions.answer_error(session, error)
    return effects + continue_session(state, session, now)


def finish_operation(state: PoolerState, operation: Operation) -> None:
    """Remove an operation that has its final answer."""
    operation.done = True
    session = state.sessions.get(operation.session_id)
    if session is not None and session.current is operation:
        session.current = None
    if session is not None:
        tokens.release_token(state, operation, session.account)
    group = state.groups.get(operation.route.group)
    if group is not None and operation in group.operations:
        group.operations.remove(operation)


def cancel_jobs(operation: Operation) -> None:
    """Cancel the queued and running jobs of an operation."""
    for job in operation.jobs:
        job.cancelled = True


def count_outcome(state: PoolerState, operation: Operation, outcome: str) -> None:
    """Count the outcome of an operation for the metrics."""
    key = (operation.route.name, outcome)
    state.counters[key] = state.counters.get(key, 0) + 1


def continue_session(state: PoolerState, session: CallerSession, now: float) -> list:
    """Run the queued statements of a session, or close it if it has to end."""
    effects: list = []
    while session.waiting and session.current is None:
        event = StatementArrived(session.session_id, session.waiting.popleft())
        effects.extend(reduce_event(state, event, now))
    # A caller that receives the answer and the end of the session together has no statement in
    # flight.
    idle = session.current is None and session.state is SessionState.IDLE
    ends = sessions.is_closing_sessions(state, now)
    if idle and ends and session.session_id in state.sessions:
        effects += sessions.close_session(state, session)
    effects += revocation.end_if_idle(state, session)
    return effects + versions.end_if_idle(state, session)


def abandon_transaction(state: PoolerState, session: CallerSession, now: float) -> list:
    """Roll back the transaction of a session and release its connection."""
    transaction = session.transaction
    session.transaction = None
    session.state = SessionState.IDLE
    if transaction is None:
        return []
    connection = state.connections.get(transaction.connection_id)
    # After a COMMIT, the connection may already be in use by another session.
    if connection is None or connection.pinned_to != session.session_id:
        return []
    group = state.groups[transaction.route.group]
    target = group.targets[connection.target]
    if connection.job is not None:
        # A statement is still running; closing the connection rolls back the transaction.
        cause = CloseCause.OPEN_TRANSACTION
        return connections.close_connection(state, target, connection, cause)
    connection.pinned_to = 0
    job = Job(connection.target, Rollback(), Purpose.CONTROL, now)
    return connections.start_job(state, target, connection, job, now)


def release_transaction(
    state: PoolerState, session: CallerSession, cause: str, now: float
) -> list:
    """Roll back an idle transaction; the next statement of the caller is refused."""
    transaction = session.transaction
    if transaction.connection_id not in state.connections:
        return []
    effects = abandon_transaction(state, session, now)
    session.transaction = transaction
    session.state = SessionState.IN_TRANSACTION
    transaction.connection_id = RELEASED_CONNECTION_ID
    log = WriteLog('transaction_ended', {'session': session.session_id, 'cause': cause})
    return [*effects, log]


def end_failed_transaction(
    state: PoolerState, session: CallerSession, statement: Statement, now: float
) -> list:
    """Answer the COMMIT or ROLLBACK that ends a failed transaction."""
    effects = abandon_transaction(state, session, now)
    session.state = SessionState.IDLE
    if statement.kind is StatementKind.ROLLBACK:
        return effects + sessions.answer_success(session)
    error = RequestError(ErrorKind.TRANSACTION_ABORTED, 'the transaction was rolled back')
    return effects + sessions.answer_error(session, error)


@handles(CallerDisconnected)
def end_session(state: PoolerState, event: CallerDisconnected, now: float) -> list:
    """Remove the session of a disconnected caller and roll back its transaction."""
    session = state.sessions.get(event.session_id)
    if session is None:
        return []
    effects: list = []
    if session.current is not None:
        operation = session.current
        effects.append(WriteLog('caller_left', sessions.describe_operation(operation, now)))
        cancel_jobs(operation)
        finish_operation(state, operation)
    effects += abandon_transaction(state, session, now)
    state.sessions.pop(event.session_id, None)
    return effects


def describe_retry(operation: Operation, target: str, cause: str, now: float) -> WriteLog:
    """Return the log line of an attempt that has not run or whose reply was lost."""
    fields = sessions.describe_operation(operation, now)
    return WriteLog('request_retried', {**fields, 'target': target, 'cause': cause})
