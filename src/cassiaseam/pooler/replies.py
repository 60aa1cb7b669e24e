"""Replies of targets to statements, and what becomes of statements without a reply."""

from cassiaseam.errors import ErrorKind
from cassiaseam.pooler import (
    connections,
    endings,
    metrics,
    quorum,
    routing,
    sampling,
    sending,
    sessions,
    sharing,
)
from cassiaseam.pooler.commands import (
    NOT_RUN,
    SessionState,
    StatementKind,
    TargetFailure,
    TargetReply,
)
from cassiaseam.pooler.events import AnswerCaller, SampleOffered, WriteLog
from cassiaseam.pooler.state import Connection, GroupView, Job, Operation, PoolerState, Purpose
from cassiaseam.reducer.registry import handles

# Seconds that a commit waits for the nearest replicas before all are polled for it.
WIDEN_AFTER_S = 0.04
# Pause in seconds between two status polls of a replica that does not hold a commit yet.
POLL_PAUSE_S = 0.008


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
        target = group.targets[connection.target]
        return connections.reuse_connection(state, target, connection, reply, now)
    if job.purpose is Purpose.BEGIN:
        return handle_begin_reply(state, group, connection, job, reply, now)
    if reply.failure is None:
        return handle_success(state, group, connection, operation, reply, now)
    return handle_failure(state, group, connection, operation, reply, now)


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
    return sending.send_in_transaction(state, operation, transaction, now)


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
        if transaction is not None:
            transaction.connection_id = endings.RELEASED
        effects = connections.release_connection(state, target, connection, now)
    else:
        connection.job = None
    operation.reply = reply
    operation.replied_at = now
    operation.reply_target = connection.target
    committed = operation.statement.kind is StatementKind.COMMIT and transaction.has_written
    if committed or (transaction is None and operation.is_write):
        operation.commit = reply.position
    endings.cancel_jobs(operation)
    return effects + conclude(state, group, operation, now)


def conclude(state: PoolerState, group: GroupView, operation: Operation, now: float) -> list:
    """Deliver a successful reply as soon as it may be delivered."""
    session = state.sessions[operation.session_id]
    if operation.commit is not None:
        if not quorum.has_commit_quorum(group, operation.commit):
            return request_commit_evidence(state, group, operation, now)
        session.last_commit = operation.commit
    elif operation.needs_confirmation:
        target = operation.reply_target
        if not quorum.is_primary_confirmed(group, target, operation.started_at):
            return rerun_or_wait(state, group, operation, now)
        if session.transaction is not None:
            session.transaction.confirmed = True
    return deliver(state, group, operation, now)


def rerun_or_wait(state: PoolerState, group: GroupView, operation: Operation, now: float) -> list:
    """Drop a read of a primary that was replaced, or wait for its confirmation."""
    replaced = group.monitor.primary not in {'', operation.reply_target}
    if replaced and state.sessions[operation.session_id].transaction is None:
        operation.reply = None
        return sending.advance(state, group, operation, now)
    if replaced:
        return endings.refuse(
            state, operation, ErrorKind.TRANSACTION_ABORTED, 'primary replaced', now
        )
    return sampling.request_evidence(state, group, operation.started_at, now)


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


@handles(SampleOffered)
def use_offer(state: PoolerState, event: SampleOffered, now: float) -> list:
    """Go on with the reads that waited for the sample of another VM."""
    group = state.groups.get(event.group)
    if group is None or not sharing.take_offer(state, group, event, now):
        return []
    return use_evidence(state, group, now)


def use_evidence(state: PoolerState, group: GroupView, now: float) -> list:
    """Go on with what waited for a status: operations of this VM and questions of others."""
    effects = sharing.answer_waiting_vms(group, now)
    for operation in list(group.operations):
        if operation.done or operation.jobs:
            continue
        if operation.reply is not None:
            effects += conclude(state, group, operation, now)
        elif not operation.tried:
            effects += sending.advance(state, group, operation, now)
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
    endings.finish(state, operation)
    endings.count(state, operation, 'served')
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
    return [answer, log, *endings.continue_session(state, session, now)]


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
        return handle_transaction_failure(state, connection, operation, reply, now)
    effects = connections.reuse_connection(state, target, connection, reply, now)
    if operation.jobs or operation.reply is not None:
        return effects
    repeatable = not operation.is_write
    if reply.failure in NOT_RUN or (repeatable and reply.failure is not TargetFailure.REJECTED):
        operation.tried[connection.target] = now
        effects.append(
            endings.describe_retry(operation, connection.target, reply.failure.value, now)
        )
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
        target.lagging_until = now + sending.REFUSAL_MEMORY_S
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
        operation.retry_at = now + sending.find_busy_pause_s(state, operation.attempts)
        return []
    return sending.advance(state, group, operation, now)


def handle_transaction_failure(
    state: PoolerState,
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
        operation.retry_at = now + sending.find_busy_pause_s(state, operation.attempts)
        return [endings.describe_retry(operation, connection.target, reply.failure.value, now)]
    is_commit = operation.statement.kind is StatementKind.COMMIT
    if is_commit and session.transaction.has_written and reply.failure not in NOT_RUN:
        kind, text = ErrorKind.OUTCOME_UNKNOWN, f'commit failed: {reply.message}'
    elif reply.failure is TargetFailure.FAILED:
        kind, text = ErrorKind.STATEMENT_FAILED, reply.message
    else:
        kind, text = ErrorKind.TRANSACTION_ABORTED, f'{reply.failure.value}: {reply.message}'
    return endings.refuse(state, operation, kind, text, now)


def answer_failure(
    state: PoolerState, operation: Operation, reply: TargetReply, now: float
) -> list:
    """Pass the failure of a single statement on."""
    if reply.failure is TargetFailure.FAILED:
        return endings.refuse(state, operation, ErrorKind.STATEMENT_FAILED, reply.message, now)
    if reply.failure is TargetFailure.REJECTED:
        return endings.refuse(state, operation, ErrorKind.BAD_REQUEST, reply.message, now)
    return endings.refuse(state, operation, ErrorKind.OUTCOME_UNKNOWN, reply.message, now)


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
    pinned = sending.is_pinned(transaction) and transaction.connection_id == job.connection_id
    if pinned:
        commits = operation.statement.kind is StatementKind.COMMIT and transaction.has_written
        kind = ErrorKind.OUTCOME_UNKNOWN if commits else ErrorKind.TRANSACTION_ABORTED
        return endings.refuse(state, operation, kind, f'connection lost: {reason}', now)
    if operation.is_write and job.sent_at is not None and job.purpose is Purpose.STATEMENT:
        text = f'connection lost: {reason}'
        return endings.refuse(state, operation, ErrorKind.OUTCOME_UNKNOWN, text, now)
    operation.tried[job.target] = now
    log = endings.describe_retry(operation, job.target, reason, now)
    return [log, *sending.advance(state, group, operation, now)]
