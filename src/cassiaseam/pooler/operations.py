"""Statements of callers from their arrival to their final answer.

A read goes to the target with the least expected wait that holds its floor. It is sent again when
it has not run, or when the connection was lost. A write is sent again only when the target said
that it has not run. What changes data is acknowledged when a majority holds it.
"""

from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.pooler import connections, evidence, metrics, routing, sessions
from cassiaseam.pooler.commands import (
    NOT_RUN,
    Begin,
    Forward,
    Rollback,
    SessionState,
    Statement,
    StatementKind,
    TargetFailure,
    TargetReply,
)
from cassiaseam.pooler.events import AnswerCaller, CallerLost, StatementArrived, WriteLog
from cassiaseam.pooler.model import Consistency, Route
from cassiaseam.pooler.state import (
    CallerSession,
    Connection,
    GroupView,
    Job,
    Operation,
    PoolerState,
    Purpose,
    TransactionState,
)
from cassiaseam.reducer.registry import handles

# Pause in seconds before a statement that did not run is tried again.
RETRY_PAUSE_S = 0.03
# Age in seconds after which a read that waits for its answer is sent to a second target.
HEDGE_AFTER_S = 0.3
# Time in seconds that a refusal by a target keeps an operation from going there again.
REFUSAL_MEMORY_S = 0.15
# Statements on one group that may be under way on one VM.
MAX_OPERATIONS = 500
# Part of the statement time limit kept for the way of the final answer.
ANSWER_MARGIN_S = 0.05
# Age of the latest sample, as a part of the accepted age, above which it is renewed, and the age
# of statuses that the new sample may be made of.
REFRESH_SHARE = 0.7
REUSE_SHARE = 0.2
# Seconds that a commit waits for the nearest replicas before all are polled for it.
WIDEN_AFTER_S = 0.04
# Age in seconds of statuses that are polled again while writes are held back.
EVIDENCE_AGE_S = 0.05
# Pause in seconds between two status polls of a replica that does not hold a commit yet.
POLL_PAUSE_S = 0.008
# Stands in a transaction for a connection that was taken away from it.
RELEASED = -1
# Pause in seconds that a refused caller is told to wait.
RETRY_AFTER_S = 0.3


@handles(StatementArrived)
def accept_statement(state: PoolerState, event: StatementArrived, now: float) -> list:
    """Run a statement, or queue it behind the one under way on its session."""
    session = state.sessions.get(event.session_id)
    if session is None or not session.accepted:
        return []
    if session.current is not None:
        if len(session.waiting) < sessions.MAX_WAITING_STATEMENTS:
            session.waiting.append(event.statement)
        return []
    return run_statement(state, session, event.statement, now)


def run_statement(
    state: PoolerState, session: CallerSession, statement: Statement, now: float
) -> list:
    """Start one statement of a session that has none under way."""
    error = sessions.check_statement(session, statement)
    if error is not None:
        return sessions.answer_error(session, error)
    if session.state is SessionState.FAILED_TRANSACTION:
        return end_failed_transaction(state, session, statement, now)
    kind = statement.kind
    if kind in {StatementKind.SET, StatementKind.PREPARE, StatementKind.DEALLOCATE}:
        return sessions.run_session_statement(session, statement)
    if kind is StatementKind.ROLLBACK:
        effects = abandon_transaction(state, session, now)
        return effects + sessions.answer_local(session)
    transaction = session.transaction
    route = transaction.route if transaction else sessions.find_route(state, session)
    if route is None:
        error = RequestError(ErrorKind.UNKNOWN_DATABASE, f'no database {session.database!r}')
        return sessions.answer_error(session, error)
    if kind is StatementKind.BEGIN:
        return begin_transaction(state, session, statement, route, now)
    return start_operation(state, session, statement, route, now)


def begin_transaction(
    state: PoolerState, session: CallerSession, statement: Statement, route: Route, now: float
) -> list:
    """Open a transaction; it gets a connection with its first statement."""
    session.transaction = TransactionState(statement, route, now, last_used_at=now)
    session.state = SessionState.IN_TRANSACTION
    return sessions.answer_local(session)


def start_operation(
    state: PoolerState, session: CallerSession, statement: Statement, route: Route, now: float
) -> list:
    """Create the operation of a statement that a target has to run, and start it."""
    transaction = session.transaction
    writes = sessions.is_write(session, statement)
    plain = transaction is not None and not transaction.statement.read_only
    on_primary = route.consistency is Consistency.PRIMARY
    operation = Operation(
        session_id=session.session_id,
        statement=statement,
        route=route,
        arrived_at=now,
        deadline=now + max(route.statement_timeout_s - ANSWER_MARGIN_S, ANSWER_MARGIN_S),
        started_at=transaction.started_at if transaction else now,
        is_write=writes,
        needs_primary=writes or plain or on_primary,
        needs_confirmation=on_primary
        and not writes
        and not (transaction is not None and transaction.confirmed),
    )
    session.current = operation
    group = state.groups.get(route.group)
    if group is None:
        return refuse(state, operation, ErrorKind.NO_TARGET, 'the group has no targets', now)
    if routing.is_cut_off(group, now) and not is_pinned(transaction):
        text = 'this VM does not reach a majority of the targets'
        return refuse(state, operation, ErrorKind.NO_TARGET, text, now)
    if len(group.operations) >= MAX_OPERATIONS and not is_pinned(transaction):
        return refuse(state, operation, ErrorKind.OVERLOADED, 'too many statements wait', now)
    group.operations.append(operation)
    return advance(state, group, operation, now)


def is_pinned(transaction: TransactionState | None) -> bool:
    """Return whether a transaction has a connection."""
    return transaction is not None and transaction.connection_id > 0


def advance(state: PoolerState, group: GroupView, operation: Operation, now: float) -> list:
    """Take the next step of an operation that has nothing under way."""
    if operation.done or operation.jobs:
        return []
    if operation.reply is not None:
        return conclude(state, group, operation, now)
    operation.retry_at = now + RETRY_PAUSE_S
    session = state.sessions[operation.session_id]
    transaction = session.transaction
    if is_commit_of_writes(operation, transaction) and not evidence.can_acknowledge(group, now):
        return request_evidence(state, group, now - EVIDENCE_AGE_S, now)
    if transaction is not None and transaction.connection_id:
        return send_in_transaction(state, operation, transaction, now)
    floor = None
    if operation.route.consistency is not Consistency.PRIMARY and not operation.is_write:
        floor = evidence.find_floor(group, operation, session.last_commit)
        if floor is None:
            return request_evidence(state, group, operation.started_at, now)
    operation.floor = floor
    name = choose_target(state, group, operation, floor, now)
    if not name:
        return []
    effects = refresh_evidence(state, group, operation, now)
    return effects + send_to_target(state, group, operation, name, floor, now)


def is_commit_of_writes(operation: Operation, transaction: TransactionState | None) -> bool:
    """Return whether a statement commits writes, alone or of its transaction."""
    if transaction is None:
        return operation.is_write
    is_commit = operation.statement.kind is StatementKind.COMMIT
    return is_commit and transaction.has_written


def choose_target(
    state: PoolerState, group: GroupView, operation: Operation, floor, now: float
) -> str:
    """Return the target for an operation, or '' while there is none."""
    for tried, refused_at in list(operation.tried.items()):
        if now - refused_at > REFUSAL_MEMORY_S:
            del operation.tried[tried]
    if not operation.needs_primary:
        return routing.find_read_target(state, group, operation, floor, now)
    name = routing.find_write_target(group, now)
    return '' if name in operation.tried else name


def send_to_target(
    state: PoolerState, group: GroupView, operation: Operation, name: str, floor, now: float
) -> list:
    """Send a statement, or the beginning of its transaction, to a target."""
    transaction = state.sessions[operation.session_id].transaction
    if transaction is None:
        job = Job(name, Forward(operation.statement, floor), Purpose.STATEMENT, now, operation)
    else:
        command = Begin(transaction.statement.read_only, floor)
        job = Job(name, command, Purpose.BEGIN, now, operation)
    operation.jobs.append(job)
    operation.retry_at = None
    return connections.submit_job(state, group, job, now)


def send_in_transaction(
    state: PoolerState, operation: Operation, transaction: TransactionState, now: float
) -> list:
    """Send a statement on the connection that its transaction is pinned to."""
    connection = state.connections.get(transaction.connection_id)
    if connection is None:
        return refuse(state, operation, ErrorKind.TRANSACTION_ABORTED, 'connection lost', now)
    group = state.groups[operation.route.group]
    target = group.targets[connection.target]
    transaction.has_written = transaction.has_written or operation.is_write
    job = Job(connection.target, Forward(operation.statement), Purpose.STATEMENT, now, operation)
    operation.jobs.append(job)
    operation.retry_at = None
    return connections.start_job(state, target, connection, job, now)


def refresh_evidence(
    state: PoolerState, group: GroupView, operation: Operation, now: float
) -> list:
    """Poll what the answer needs, and what later reads are going to need."""
    if operation.needs_confirmation:
        return request_evidence(state, group, operation.started_at, now)
    samples = group.monitor.samples
    if operation.floor is None or not samples:
        return []
    accepted_s = operation.route.max_age_s
    if now - samples[-1].started_at < accepted_s * REFRESH_SHARE:
        return []
    return request_evidence(state, group, now - accepted_s * REUSE_SHARE, now)


def request_evidence(state: PoolerState, group: GroupView, since: float, now: float) -> list:
    """Make sure that a majority is polled at or after `since`."""
    effects: list = []
    needed = max(group.size // 2, 1)
    if not group.monitor.primary:
        needed = len(group.targets)
    names = routing.list_by_distance(state, group, now)
    for name in names[:needed]:
        view = group.monitor.targets.get(name)
        if view is not None and view.status is not None and view.status_started_at >= since:
            continue
        effects += connections.submit_status_poll(state, group, name, now)
    primary = group.targets.get(group.monitor.primary)
    if primary is not None:
        view = group.monitor.targets[group.monitor.primary]
        if view.status_started_at < since:
            effects += connections.submit_status_poll(state, group, primary.record.name, now)
    return effects


# replies


def handle_job_reply(
    state: PoolerState,
    group: GroupView,
    connection: Connection,
    job: Job,
    reply: TargetReply,
    now: float,
) -> list:
    """Take the reply to a statement or to the beginning of a transaction."""
    operation = job.operation
    if job in operation.jobs:
        operation.jobs.remove(job)
    if job.cancelled or operation.done:
        return drop_stale_reply(state, group, connection, job, reply, now)
    if job.purpose is Purpose.BEGIN:
        return handle_begin_reply(state, group, connection, job, reply, now)
    if reply.failure is None:
        return handle_success(state, group, connection, operation, reply, now)
    return handle_failure(state, group, connection, operation, reply, now)


def drop_stale_reply(
    state: PoolerState,
    group: GroupView,
    connection: Connection,
    job: Job,
    reply: TargetReply,
    now: float,
) -> list:
    """Make the connection of a reply that nobody waits for available again."""
    target = group.targets[connection.target]
    if reply.session_state is not SessionState.IDLE:
        return connections.close_connection(state, target, connection)
    return connections.release_connection(state, target, connection, now)


def handle_begin_reply(
    state: PoolerState,
    group: GroupView,
    connection: Connection,
    job: Job,
    reply: TargetReply,
    now: float,
) -> list:
    """Pin the connection of a transaction that has begun and run its first statement."""
    operation = job.operation
    if reply.failure is not None:
        return handle_failure(state, group, connection, operation, reply, now)
    transaction = state.sessions[operation.session_id].transaction
    transaction.connection_id = connection.connection_id
    transaction.target = connection.target
    connection.job = None
    connection.pinned_to = operation.session_id
    return send_in_transaction(state, operation, transaction, now)


def handle_success(
    state: PoolerState,
    group: GroupView,
    connection: Connection,
    operation: Operation,
    reply: TargetReply,
    now: float,
) -> list:
    """Take a successful reply; the answer may have to wait for a majority."""
    session = state.sessions[operation.session_id]
    transaction = session.transaction
    target = group.targets[connection.target]
    effects: list = []
    if transaction is None or operation.statement.kind is StatementKind.COMMIT:
        connection.pinned_to = 0
        effects = connections.release_connection(state, target, connection, now)
    else:
        connection.job = None
    operation.reply = reply
    operation.replied_at = now
    operation.reply_target = connection.target
    committed = operation.statement.kind is StatementKind.COMMIT and transaction.has_written
    if committed or (transaction is None and operation.is_write):
        operation.commit = reply.position
    cancel_jobs(state, operation)
    return effects + conclude(state, group, operation, now)


def conclude(state: PoolerState, group: GroupView, operation: Operation, now: float) -> list:
    """Deliver a successful reply as soon as it may be delivered."""
    session = state.sessions[operation.session_id]
    if operation.commit is not None:
        if not evidence.is_commit_held(group, operation.commit):
            return request_commit_evidence(state, group, operation, now)
        session.last_commit = operation.commit
    elif operation.needs_confirmation:
        target = operation.reply_target
        if not evidence.is_primary_confirmed(group, target, operation.started_at):
            return rerun_or_wait(state, group, operation, now)
        if session.transaction is not None:
            session.transaction.confirmed = True
    return deliver(state, group, operation, now)


def rerun_or_wait(state: PoolerState, group: GroupView, operation: Operation, now: float) -> list:
    """Drop a read of a primary that was replaced, or wait for its confirmation."""
    replaced = group.monitor.primary not in {'', operation.reply_target}
    if replaced and state.sessions[operation.session_id].transaction is None:
        operation.reply = None
        return advance(state, group, operation, now)
    if replaced:
        return refuse(state, operation, ErrorKind.TRANSACTION_ABORTED, 'primary replaced', now)
    return request_evidence(state, group, operation.started_at, now)


def request_commit_evidence(
    state: PoolerState, group: GroupView, operation: Operation, now: float
) -> list:
    """Poll the nearest replicas, and later all, until enough of them hold a commit."""
    effects: list = []
    names = routing.list_by_distance(state, group, now)
    if now - operation.replied_at < WIDEN_AFTER_S:
        names = names[: max(group.size // 2, 1)]
    for name in names:
        target = group.targets[name]
        if target.status_job is None and now >= target.next_poll_at:
            effects += connections.submit_status_poll(state, group, name, now)
    return effects


def use_evidence(state: PoolerState, group: GroupView, now: float) -> list:
    """Go on with the operations that waited for a status."""
    effects: list = []
    for operation in list(group.operations):
        if operation.done or operation.jobs:
            continue
        if operation.reply is not None:
            effects += conclude(state, group, operation, now)
        elif not operation.tried:
            effects += advance(state, group, operation, now)
    return effects


def deliver(state: PoolerState, group: GroupView, operation: Operation, now: float) -> list:
    """Send the reply of a target to the caller."""
    session = state.sessions[operation.session_id]
    reply = operation.reply
    if operation.statement.kind is StatementKind.COMMIT:
        session.transaction = None
        session.state = SessionState.IDLE
    if session.transaction is not None:
        session.transaction.last_used_at = now
    finish(state, operation)
    count(state, operation, 'served')
    metrics.note_latency(state.latencies, operation.route.name, now - operation.arrived_at)
    answer = AnswerCaller(session.session_id, session.state, reply.rows, reply.signature)
    log = WriteLog(
        'request_served',
        {
            **sessions.describe_operation(operation, now),
            'target': operation.reply_target,
            'term': group.monitor.term,
            'commit': operation.commit,
            'waited_for_evidence_ms': round((now - operation.replied_at) * 1000),
        },
    )
    return [answer, log, *continue_session(state, session, now)]


def handle_failure(
    state: PoolerState,
    group: GroupView,
    connection: Connection,
    operation: Operation,
    reply: TargetReply,
    now: float,
) -> list:
    """Try a statement again that has not run, or answer its failure."""
    target = group.targets[connection.target]
    session = state.sessions[operation.session_id]
    transaction = session.transaction
    note_failure(state, group, operation, connection.target, reply, now)
    if transaction is not None and transaction.connection_id == connection.connection_id:
        return handle_transaction_failure(state, group, connection, operation, reply, now)
    if reply.session_state is SessionState.IDLE:
        effects = connections.release_connection(state, target, connection, now)
    else:
        effects = connections.close_connection(state, target, connection)
    if operation.jobs or operation.reply is not None:
        return effects
    repeatable = not operation.is_write
    if reply.failure in NOT_RUN or (repeatable and reply.failure is not TargetFailure.REJECTED):
        operation.tried[connection.target] = now
        effects.append(describe_retry(operation, connection.target, reply.failure.value, now))
        return effects + retry(state, group, operation, reply, now)
    return effects + answer_failure(state, operation, reply, now)


def note_failure(
    state: PoolerState,
    group: GroupView,
    operation: Operation,
    name: str,
    reply: TargetReply,
    now: float,
) -> None:
    """Remember what a failure says about its target."""
    target = group.targets[name]
    if reply.failure is TargetFailure.BEHIND:
        target.lagging_until = now + REFUSAL_MEMORY_S
        target.lag_floor = operation.floor
        session = state.sessions[operation.session_id]
        # A commit of an earlier term that the primary lacks was lost with its term.
        known = session.last_commit
        outdated = known is not None and known.term < group.monitor.term
        if outdated and name == group.monitor.primary:
            session.last_commit = None
    if reply.failure is TargetFailure.READ_ONLY and name == group.monitor.primary:
        group.monitor.primary = ''


def retry(
    state: PoolerState, group: GroupView, operation: Operation, reply: TargetReply, now: float
) -> list:
    """Send a statement that has not run to another target, or again after a pause."""
    if reply.failure is TargetFailure.BUSY and operation.needs_primary:
        operation.retry_at = now + RETRY_PAUSE_S
        return []
    return advance(state, group, operation, now)


def handle_transaction_failure(
    state: PoolerState,
    group: GroupView,
    connection: Connection,
    operation: Operation,
    reply: TargetReply,
    now: float,
) -> list:
    """Answer the failure of a statement inside a transaction and end the transaction."""
    session = state.sessions[operation.session_id]
    connection.job = None
    still_open = reply.session_state is SessionState.IN_TRANSACTION
    if still_open and reply.failure is TargetFailure.BUSY:
        operation.retry_at = now + RETRY_PAUSE_S
        return [describe_retry(operation, connection.target, reply.failure.value, now)]
    is_commit = operation.statement.kind is StatementKind.COMMIT
    if is_commit and session.transaction.has_written and reply.failure not in NOT_RUN:
        kind, text = ErrorKind.OUTCOME_UNKNOWN, f'commit failed: {reply.message}'
    elif reply.failure is TargetFailure.FAILED:
        kind, text = ErrorKind.STATEMENT_FAILED, reply.message
    else:
        kind, text = ErrorKind.TRANSACTION_ABORTED, f'{reply.failure.value}: {reply.message}'
    return refuse(state, operation, kind, text, now)


def answer_failure(
    state: PoolerState, operation: Operation, reply: TargetReply, now: float
) -> list:
    """Pass the failure of a single statement on."""
    if reply.failure is TargetFailure.FAILED:
        return refuse(state, operation, ErrorKind.STATEMENT_FAILED, reply.message, now)
    if reply.failure is TargetFailure.REJECTED:
        return refuse(state, operation, ErrorKind.BAD_REQUEST, reply.message, now)
    return refuse(state, operation, ErrorKind.OUTCOME_UNKNOWN, reply.message, now)


def handle_job_loss(
    state: PoolerState, group: GroupView, job: Job, reason: str, now: float
) -> list:
    """Decide on a statement whose connection was lost."""
    operation = job.operation
    if operation is None:
        return []
    if job in operation.jobs:
        operation.jobs.remove(job)
    if job.cancelled or operation.done or operation.jobs or operation.reply is not None:
        return []
    session = state.sessions[operation.session_id]
    transaction = session.transaction
    pinned = is_pinned(transaction) and transaction.connection_id == job.connection_id
    if pinned:
        commits = operation.statement.kind is StatementKind.COMMIT and transaction.has_written
        kind = ErrorKind.OUTCOME_UNKNOWN if commits else ErrorKind.TRANSACTION_ABORTED
        return refuse(state, operation, kind, f'connection lost: {reason}', now)
    if operation.is_write and job.sent_at is not None and job.purpose is Purpose.STATEMENT:
        text = f'connection lost: {reason}'
        return refuse(state, operation, ErrorKind.OUTCOME_UNKNOWN, text, now)
    operation.tried[job.target] = now
    log = describe_retry(operation, job.target, reason, now)
    return [log, *advance(state, group, operation, now)]


def describe_retry(operation: Operation, target: str, cause: str, now: float) -> WriteLog:
    """Return the log line of an attempt that did not run or whose answer was lost."""
    fields = sessions.describe_operation(operation, now)
    return WriteLog('request_retried', {**fields, 'target': target, 'cause': cause})


# endings


def refuse(
    state: PoolerState, operation: Operation, kind: ErrorKind, text: str, now: float
) -> list:
    """Give an operation up with an error and end its transaction."""
    session = state.sessions[operation.session_id]
    error = RequestError(kind, text, retry_after_s=RETRY_AFTER_S)
    effects: list = [
        WriteLog(
            'request_failed',
            {
                **sessions.describe_operation(operation, now),
                'kind': kind.value,
                'cause': text,
                'version': state.config.version if state.config else 0,
            },
        )
    ]
    cancel_jobs(state, operation)
    finish(state, operation)
    count(state, operation, kind.value)
    if session.transaction is not None:
        effects += abandon_transaction(state, session, now, running=operation)
        if operation.statement.kind is not StatementKind.COMMIT:
            session.state = SessionState.FAILED_TRANSACTION
    effects += sessions.answer_error(session, error)
    return effects + continue_session(state, session, now)


def finish(state: PoolerState, operation: Operation) -> None:
    """Forget an operation that has its final answer."""
    operation.done = True
    session = state.sessions.get(operation.session_id)
    if session is not None and session.current is operation:
        session.current = None
    group = state.groups.get(operation.route.group)
    if group is not None and operation in group.operations:
        group.operations.remove(operation)


def cancel_jobs(state: PoolerState, operation: Operation) -> None:
    """Drop what still waits or runs for an operation."""
    for job in operation.jobs:
        job.cancelled = True


def count(state: PoolerState, operation: Operation, outcome: str) -> None:
    """Count an outcome for the metrics."""
    key = (operation.route.name, outcome)
    state.counters[key] = state.counters.get(key, 0) + 1


def continue_session(state: PoolerState, session: CallerSession, now: float) -> list:
    """Run the next statement that waited on a session."""
    effects: list = []
    while session.waiting and session.current is None:
        effects += run_statement(state, session, session.waiting.popleft(), now)
    # A caller that gets the end of the session together with an answer has sent nothing since.
    idle = session.current is None and session.state is SessionState.IDLE
    if idle and sessions.is_closing(state, now) and session.session_id in state.sessions:
        effects += sessions.close_session(state, session)
    return effects


def abandon_transaction(
    state: PoolerState, session: CallerSession, now: float, running: Operation | None = None
) -> list:
    """End the transaction of a session without a commit and free its connection."""
    transaction = session.transaction
    session.transaction = None
    session.state = SessionState.IDLE
    if transaction is None:
        return []
    connection = state.connections.get(transaction.connection_id)
    if connection is None:
        return []
    group = state.groups[transaction.route.group]
    target = group.targets[connection.target]
    if connection.job is not None:
        # The statement still runs; closing the connection rolls the transaction back.
        return connections.close_connection(state, target, connection)
    connection.pinned_to = 0
    job = Job(connection.target, Rollback(), Purpose.CONTROL, now)
    return connections.start_job(state, target, connection, job, now)


def release_transaction(
    state: PoolerState, session: CallerSession, cause: str, now: float
) -> list:
    """Roll the transaction of a caller that rests back; its next statement is refused."""
    transaction = session.transaction
    if transaction.connection_id not in state.connections:
        return []
    effects = abandon_transaction(state, session, now)
    session.transaction = transaction
    session.state = SessionState.IN_TRANSACTION
    transaction.connection_id = RELEASED
    log = WriteLog('transaction_ended', {'session': session.session_id, 'cause': cause})
    return [*effects, log]


def end_failed_transaction(
    state: PoolerState, session: CallerSession, statement: Statement, now: float
) -> list:
    """Answer the COMMIT or ROLLBACK that ends a failed transaction."""
    effects = abandon_transaction(state, session, now)
    session.state = SessionState.IDLE
    if statement.kind is StatementKind.ROLLBACK:
        return effects + sessions.answer_local(session)
    error = RequestError(ErrorKind.TRANSACTION_ABORTED, 'the transaction was rolled back')
    return effects + sessions.answer_error(session, error)


@handles(CallerLost)
def end_session(state: PoolerState, event: CallerLost, now: float) -> list:
    """Roll back what a caller left open."""
    session = state.sessions.get(event.session_id)
    if session is None:
        return []
    effects: list = []
    if session.current is not None:
        operation = session.current
        effects.append(WriteLog('caller_left', sessions.describe_operation(operation, now)))
        cancel_jobs(state, operation)
        finish(state, operation)
    effects += abandon_transaction(state, session, now)
    state.sessions.pop(event.session_id, None)
    return effects


def expire_operations(state: PoolerState, group: GroupView, now: float) -> list:
    """Answer operations whose time is over, retry those that wait, hedge slow reads."""
    effects: list = []
    for operation in list(group.operations):
        if operation.done:
            continue
        if now >= operation.deadline:
            effects += expire_operation(state, operation, now)
        elif operation.reply is not None:
            effects += conclude(state, group, operation, now)
        elif not operation.jobs:
            if operation.retry_at is None or now >= operation.retry_at:
                effects += advance(state, group, operation, now)
        else:
            effects += hedge_read(state, group, operation, now)
    return effects


def expire_operation(state: PoolerState, operation: Operation, now: float) -> list:
    """Give an operation up at its deadline."""
    session = state.sessions[operation.session_id]
    transaction = session.transaction
    commits = operation.statement.kind is StatementKind.COMMIT
    if commits:
        unsure = transaction.has_written and is_sent(operation)
    else:
        unsure = operation.is_write and transaction is None and is_sent(operation)
    if unsure:
        group = state.groups.get(operation.route.group)
        if group is not None and operation.commit is not None:
            group.unconfirmed = operation.commit
        return refuse(state, operation, ErrorKind.OUTCOME_UNKNOWN, 'no confirmation in time', now)
    if transaction is not None:
        return refuse(state, operation, ErrorKind.TRANSACTION_ABORTED, 'no answer in time', now)
    if operation.sent_at is not None:
        return refuse(state, operation, ErrorKind.STATEMENT_TIMEOUT, 'no answer in time', now)
    return refuse(state, operation, ErrorKind.OVERLOADED, 'no target in time', now)


def is_sent(operation: Operation) -> bool:
    """Return whether the statement may have reached a target."""
    if operation.reply is not None:
        return True
    return any(job.sent_at is not None for job in operation.jobs)


def hedge_read(state: PoolerState, group: GroupView, operation: Operation, now: float) -> list:
    """Send a read that waits long for its answer to a second target."""
    if operation.needs_primary or len(operation.jobs) > 1:
        return []
    job = operation.jobs[0]
    if now - job.created_at < HEDGE_AFTER_S:
        return []
    session = state.sessions[operation.session_id]
    if session.transaction is not None:
        return []
    floor = evidence.find_floor(group, operation, session.last_commit)
    if floor is None:
        return request_evidence(state, group, operation.started_at, now)
    operation.tried[job.target] = now
    name = routing.find_read_target(state, group, operation, floor, now)
    if not name:
        return []
    return send_to_target(state, group, operation, name, floor, now)
