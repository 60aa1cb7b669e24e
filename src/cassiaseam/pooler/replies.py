"""Handling of replies to statements, and of statements whose reply is lost."""

from cassiaseam.errors import ErrorKind
from cassiaseam.pooler import (
    completion,
    connections,
    metrics,
    quorum,
    routing,
    sample_sharing,
    sampling,
    sending,
    sessions,
)
from cassiaseam.pooler.admission import lagging, ordering, placement, retries
from cassiaseam.pooler.commands import (
    NOT_RUN,
    SessionState,
    StatementKind,
    TargetFailure,
    TargetReply,
)
from cassiaseam.pooler.events import AnswerCaller, SampleReceived, WriteLog
from cassiaseam.pooler.quotas import tokens
from cassiaseam.pooler.state import Connection, GroupView, Job, Operation, PoolerState, Purpose
from cassiaseam.pooler.target_use.causes import PollCause
from cassiaseam.positions import LogPosition
from cassiaseam.reducer.registry import handles

# Seconds that a commit waits for the nearest replicas before all replicas are polled.
POLL_ALL_REPLICAS_AFTER_S = 0.04
# Minimum interval in seconds between status polls of a replica that does not hold a commit yet.
STATUS_POLL_INTERVAL_S = 0.008


def handle_job_reply(
    state: PoolerState,
    group: GroupView,
    connection: Connection,
    job: Job,
    reply: TargetReply,
    now: float,
) -> list:
    """Handle the reply to a statement or to the BEGIN of a transaction."""
    operation = job.operation
    if job in operation.jobs:
        operation.jobs.remove(job)
    if reply.failure in NOT_RUN or job.sent_at is None:
        tokens.recover_token(state, job)
    elif reply.failure is not None and job.purpose is Purpose.STATEMENT:
        operation.may_have_run = True
    if job.cancelled or operation.done:
        target = group.targets[connection.target]
        return connections.reuse_connection(state, target, connection, reply, now)
    if job.purpose is Purpose.BEGIN:
        return handle_begin_reply(state, group, connection, job, reply, now)
    if reply.failure is None:
        return handle_success(state, group, connection, operation, reply, now)
    return handle_failure(state, group, connection, job, reply, now)


def handle_begin_reply(
    state: PoolerState,
    group: GroupView,
    connection: Connection,
    job: Job,
    reply: TargetReply,
    now: float,
) -> list:
    """Pin the connection to a transaction that has begun and run its first statement."""
    operation = job.operation
    if reply.failure is not None:
        return handle_failure(state, group, connection, job, reply, now)
    transaction = state.sessions[operation.session_id].transaction
    transaction.connection_id = connection.connection_id
    transaction.target = connection.target
    connection.job = None
    connection.pinned_to = operation.session_id
    if not tokens.ensure_fresh_token(state, job, now):
        text = 'the quota token expired before the first statement of the transaction'
        return completion.fail_operation(state, operation, ErrorKind.QUOTA_EXCEEDED, text, now)
    return sending.send_in_transaction(state, operation, transaction, now)


def handle_success(
    state: PoolerState,
    group: GroupView,
    connection: Connection,
    operation: Operation,
    reply: TargetReply,
    now: float,
) -> list:
    """Handle a successful reply; its delivery may have to wait for a majority."""
    session = state.sessions[operation.session_id]
    transaction = session.transaction
    target = group.targets[connection.target]
    effects: list = []
    if transaction is None or operation.statement.kind is StatementKind.COMMIT:
        if transaction is not None:
            transaction.connection_id = completion.RELEASED_CONNECTION_ID
        effects = connections.release_connection(state, target, connection, now)
    else:
        connection.job = None
    if operation.floor is not None:
        target.lag_refusals = 0
    operation.reply = reply
    operation.replied_at = now
    operation.reply_target = connection.target
    committed = operation.statement.kind is StatementKind.COMMIT and transaction.has_written
    if committed or (transaction is None and operation.is_write):
        operation.commit = reply.position
        if reply.position is None:
            text = 'the target gave no position of the commit'
            return effects + completion.fail_operation(
                state, operation, ErrorKind.OUTCOME_UNKNOWN, text, now
            )
    completion.cancel_jobs(operation)
    return effects + deliver_when_confirmed(state, group, operation, now)


def deliver_when_confirmed(
    state: PoolerState, group: GroupView, operation: Operation, now: float
) -> list:
    """Deliver a successful reply once its commit or the primary is confirmed by a majority."""
    session = state.sessions[operation.session_id]
    if operation.commit is not None:
        if not quorum.has_commit_quorum(group, operation.commit, now):
            if quorum.is_term_over(group, operation.commit.term):
                # No majority can confirm it any more.
                text = 'the primary was replaced before a majority held the commit'
                return completion.fail_operation(
                    state, operation, ErrorKind.OUTCOME_UNKNOWN, text, now
                )
            return request_commit_evidence(state, group, operation, now)
        session.last_commit = operation.commit
    elif operation.needs_confirmation:
        if not quorum.is_read_confirmed(group, operation):
            return rerun_or_wait(state, group, operation, now)
        if session.transaction is not None:
            session.transaction.confirmed = True
    return deliver(state, group, operation, now)


def rerun_or_wait(state: PoolerState, group: GroupView, operation: Operation, now: float) -> list:
    """Rerun a read whose primary was replaced, or request confirmation of the primary."""
    replaced = quorum.is_replaced(group, operation)
    if replaced and state.sessions[operation.session_id].transaction is None:
        operation.reply = None
        operation.may_have_run = True
        return sending.advance(state, group, operation, now)
    if replaced:
        return completion.fail_operation(
            state, operation, ErrorKind.TRANSACTION_ABORTED, 'primary replaced', now
        )
    cause = PollCause.PRIMARY_CONFIRMATION
    return sampling.poll_majority_with_primary(state, group, operation.started_at, cause, now)


def request_commit_evidence(
    state: PoolerState, group: GroupView, operation: Operation, now: float
) -> list:
    """Poll the nearest replicas, and later all, until a majority holds a commit."""
    effects: list = []
    names = routing.list_replicas_by_access_cost(state, group, now)
    if now - operation.replied_at < POLL_ALL_REPLICAS_AFTER_S:
        names = names[: max(group.size // 2, 1)]
    for name in names:
        target = group.targets[name]
        if target.status_job is None and now >= target.next_poll_at:
            cause = PollCause.COMMIT_CONFIRMATION
            effects += connections.submit_status_poll(state, group, name, cause, now)
    return effects


@handles(SampleReceived)
def handle_sample_offer(state: PoolerState, event: SampleReceived, now: float) -> list:
    """Resume the reads that wait for a sample from another VM."""
    group = state.groups.get(event.group)
    if group is None or not sample_sharing.apply_sample_response(state, group, event, now):
        return []
    return resume_waiting_operations(state, group, now)


def resume_waiting_operations(state: PoolerState, group: GroupView, now: float) -> list:
    """Resume operations and answer sample requests that wait for a status."""
    effects = sample_sharing.answer_sample_waiters(state, group, now)
    for operation in ordering.order_operations(state, group, now):
        if operation.done or operation.jobs:
            continue
        if operation.reply is not None:
            effects += deliver_when_confirmed(state, group, operation, now)
        elif not operation.tried:
            effects += sending.advance(state, group, operation, now)
    return effects


def deliver(state: PoolerState, group: GroupView, operation: Operation, now: float) -> list:
    """Send the reply of a target to the caller and complete the operation."""
    session = state.sessions[operation.session_id]
    reply = operation.reply
    if operation.statement.kind is StatementKind.COMMIT:
        session.transaction = None
        session.state = SessionState.IDLE
    if session.transaction is not None:
        session.transaction.last_used_at = now
    completion.finish_operation(state, operation)
    completion.count_outcome(state, operation, 'served')
    metrics.record_latency(state.latencies, operation.route.name, now - operation.arrived_at)
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
    return [answer, log, *completion.continue_session(state, session, now)]


def handle_failure(
    state: PoolerState,
    group: GroupView,
    connection: Connection,
    job: Job,
    reply: TargetReply,
    now: float,
) -> list:
    """Retry a statement if that is safe, or answer with its failure."""
    operation = job.operation
    target = group.targets[connection.target]
    session = state.sessions[operation.session_id]
    transaction = session.transaction
    record_failure(state, group, job, reply, now)
    operation.may_have_run = operation.may_have_run or reply.failure not in NOT_RUN
    if transaction is not None and transaction.connection_id == connection.connection_id:
        return handle_transaction_failure(state, connection, operation, reply, now)
    effects = connections.reuse_connection(state, target, connection, reply, now)
    if operation.jobs or operation.reply is not None:
        return effects
    repeatable = not operation.is_write
    if reply.failure in NOT_RUN or (repeatable and reply.failure is not TargetFailure.REJECTED):
        operation.tried[connection.target] = retries.find_refusal_time(
            state, sending.REFUSAL_TTL_S, now
        )
        effects.append(
            completion.describe_retry(operation, connection.target, reply.failure.value, now)
        )
        return effects + retry(state, group, operation, reply, now)
    return effects + answer_failure(state, operation, reply, now)


def record_failure(
    state: PoolerState, group: GroupView, job: Job, reply: TargetReply, now: float
) -> None:
    """Update the state of a target from a failed command."""
    target = group.targets[job.target]
    if reply.failure is TargetFailure.BEHIND:
        target.lag_refusals += 1
        target.lagging_until = now + lagging.find_backoff_s(
            target.lag_refusals, state.adaptive_admission
        )
        target.missing_position = job.command.floor
        session = state.sessions[job.operation.session_id]
        if proves_loss(group, job, session.last_commit):
            session.last_commit = None
    if reply.failure is TargetFailure.READ_ONLY and job.target == group.monitor.primary:
        group.monitor.primary = ''


def proves_loss(group: GroupView, job: Job, commit: LogPosition | None) -> bool:
    """Return whether a target that is behind proves that a failover lost a commit.

    Only the primary of a later term proves it, if it was asked for that position, and after this
    VM knew that it leads: before that, it may have been a replica that had yet to catch up.
    """
    if commit is None or commit.term >= group.monitor.term:
        return False
    asked_as_primary = (
        job.target == group.monitor.primary and job.sent_at >= group.primary_adopted_at
    )
    return asked_as_primary and job.command.floor == commit


def retry(
    state: PoolerState, group: GroupView, operation: Operation, reply: TargetReply, now: float
) -> list:
    """Send a statement to another target, or again after a backoff if it is busy."""
    if reply.failure is not TargetFailure.BUSY:
        return sending.advance(state, group, operation, now)
    if placement.can_move_at_once(state, group, operation, now):
        return sending.advance(state, group, operation, now)
    backoff_s = sending.find_busy_backoff_s(state, operation.attempts)
    if not retries.take_retry(state, group, operation, backoff_s, now):
        kind = retries.find_refusal_kind(operation)
        return completion.fail_operation(state, operation, kind, 'no retry left', now)
    operation.retry_at = now + backoff_s
    return []


def handle_transaction_failure(
    state: PoolerState,
    connection: Connection,
    operation: Operation,
    reply: TargetReply,
    now: float,
) -> list:
    """Retry a statement in a transaction if its target was busy, or abort the transaction."""
    session = state.sessions[operation.session_id]
    connection.job = None
    still_open = reply.session_state is SessionState.IN_TRANSACTION
    if still_open and reply.failure is TargetFailure.BUSY:
        group = state.groups[operation.route.group]
        backoff_s = sending.find_busy_backoff_s(state, operation.attempts)
        if retries.take_retry(state, group, operation, backoff_s, now):
            operation.retry_at = now + backoff_s
            busy = reply.failure.value
            return [completion.describe_retry(operation, connection.target, busy, now)]
    is_commit = operation.statement.kind is StatementKind.COMMIT
    if is_commit and session.transaction.has_written and reply.failure not in NOT_RUN:
        kind, text = ErrorKind.OUTCOME_UNKNOWN, f'commit failed: {reply.message}'
    elif reply.failure is TargetFailure.FAILED:
        kind, text = ErrorKind.STATEMENT_FAILED, reply.message
    else:
        kind, text = ErrorKind.TRANSACTION_ABORTED, f'{reply.failure.value}: {reply.message}'
    return completion.fail_operation(state, operation, kind, text, now)


def answer_failure(
    state: PoolerState, operation: Operation, reply: TargetReply, now: float
) -> list:
    """Answer the failure of a statement outside of a transaction."""
    if reply.failure is TargetFailure.FAILED:
        return completion.fail_operation(
            state, operation, ErrorKind.STATEMENT_FAILED, reply.message, now
        )
    if reply.failure is TargetFailure.REJECTED:
        return completion.fail_operation(
            state, operation, ErrorKind.BAD_REQUEST, reply.message, now
        )
    return completion.fail_operation(
        state, operation, ErrorKind.OUTCOME_UNKNOWN, reply.message, now
    )


def handle_job_loss(
    state: PoolerState, group: GroupView, job: Job, reason: str, now: float
) -> list:
    """Retry or fail a statement whose connection was lost."""
    operation = job.operation
    if operation is None:
        return []
    if job in operation.jobs:
        operation.jobs.remove(job)
    if job.sent_at is None:
        tokens.recover_token(state, job)
    elif job.purpose is Purpose.STATEMENT:
        operation.may_have_run = True
    if job.cancelled or operation.done or operation.jobs or operation.reply is not None:
        return []
    session = state.sessions[operation.session_id]
    transaction = session.transaction
    pinned = sending.is_pinned(transaction) and transaction.connection_id == job.connection_id
    if pinned:
        commits_writes = (
            operation.statement.kind is StatementKind.COMMIT and transaction.has_written
        )
        kind = ErrorKind.OUTCOME_UNKNOWN if commits_writes else ErrorKind.TRANSACTION_ABORTED
        return completion.fail_operation(state, operation, kind, f'connection lost: {reason}', now)
    if operation.is_write and job.sent_at is not None and job.purpose is Purpose.STATEMENT:
        text = f'connection lost: {reason}'
        return completion.fail_operation(state, operation, ErrorKind.OUTCOME_UNKNOWN, text, now)
    operation.may_have_run = operation.may_have_run or job.sent_at is not None
    operation.tried[job.target] = now
    log = completion.describe_retry(operation, job.target, reason, now)
    return [log, *sending.advance(state, group, operation, now)]
