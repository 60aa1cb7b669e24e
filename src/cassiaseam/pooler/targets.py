"""Handling of the events of connections to targets."""

from cassiaseam.pooler import connections, failover, quorum, replies
from cassiaseam.pooler.accounts.state import count_event
from cassiaseam.pooler.admission import failure_streaks, headroom, poll_backoff, target_load
from cassiaseam.pooler.commands import (
    CONTROL_COMMANDS,
    Begin,
    ReadStatus,
    Rollback,
    StatementKind,
    TargetFailure,
    TargetReply,
)
from cassiaseam.pooler.events import (
    CommandAnswered,
    ConnectionLost,
    ConnectionReady,
    ConnectionRefused,
    WriteLog,
)
from cassiaseam.pooler.evidence import log_loss
from cassiaseam.pooler.pacing import concurrency
from cassiaseam.pooler.state import (
    Connection,
    GroupView,
    Job,
    PoolerState,
    Purpose,
    TargetState,
)
from cassiaseam.pooler.target_use import polls
from cassiaseam.pooler.target_use.causes import CloseCause
from cassiaseam.reducer.registry import handles

# Weight of the latest statement in the moving averages of a target.
MOVING_AVERAGE_WEIGHT = 0.1
# Seconds to wait for a reply that is no longer needed before the connection is closed.
ABANDONED_REPLY_TIMEOUT_S = 1.0
# Timeout in seconds for opening a connection.
CONNECT_TIMEOUT_S = 1.5
# Timeout in seconds for the reply to a command that belongs to no statement.
CONTROL_TIMEOUT_S = 1.0


def find_connection(
    state: PoolerState, connection_id: int
) -> tuple[Connection, GroupView, TargetState] | None:
    """Return a connection with its group and target, or None if one of them no longer exists."""
    connection = state.connections.get(connection_id)
    if connection is None:
        return None
    group = state.groups.get(state.target_groups.get(connection.target, ''))
    if group is None or connection.target not in group.targets:
        return None
    return connection, group, group.targets[connection.target]


@handles(ConnectionReady)
def handle_connection_ready(state: PoolerState, event: ConnectionReady, now: float) -> list:
    """Mark a connection as ready and start queued jobs."""
    found = find_connection(state, event.connection_id)
    if found is None:
        return []
    connection, group, target = found
    connection.ready = True
    connection.ready_at = now
    connection.idle_since = now
    target.full_since = None
    target.full_refusals = 0
    target.disconnected_at = None
    connections.mark_reply_received(target, now)
    return connections.start_jobs(state, target, now)


@handles(ConnectionRefused)
def handle_refused_connection(state: PoolerState, event: ConnectionRefused, now: float) -> list:
    """Back off from a target that refused a connection, and fail jobs that wait in vain."""
    found = find_connection(state, event.connection_id)
    if found is None:
        return []
    connection, group, target = found
    connections.remove_connection(state, target, connection, CloseCause.REFUSED)
    log = WriteLog(
        'target_connection_refused',
        {'target': target.record.name, 'group': group.name, 'cause': event.reason},
    )
    failure = event.reply.failure if event.reply else None
    if failure is TargetFailure.TOO_MANY_CONNECTIONS:
        connections.mark_reply_received(target, now)
        backoff_s = headroom.find_full_target_backoff_s(
            state, connections.find_max_connections(state, target)
        )
        connections.record_connection_limit(target, state.rng, now, backoff_s)
        count_event(state.accounts.connections, 'refused')
        if target.connections:
            return [log]
        return [log, *fail_queued_jobs(state, group, target, event.reason, now)]
    if target.unreachable_since is None:
        target.unreachable_since = now
    target.connect_backoff_until = now + connections.RECONNECT_BACKOFF_S
    return [log, *fail_queued_jobs(state, group, target, event.reason, now)]


def fail_queued_jobs(
    state: PoolerState, group: GroupView, target: TargetState, reason: str, now: float
) -> list:
    """Fail all jobs that are queued for a target."""
    effects: list = []
    queue = list(target.queue)
    target.queue.clear()
    for job in queue:
        effects.extend(fail_job(state, group, job, reason, now))
    return effects


def fail_job(state: PoolerState, group: GroupView, job: Job, reason: str, now: float) -> list:
    """Handle a job whose reply will not arrive."""
    polls.count_poll_loss(state, job)
    target = group.targets.get(job.target)
    if target is not None and target.status_job is job:
        target.status_job = None
        target.poll_again = None
    if target is not None:
        concurrency.record_loss(state, target, job, now)
    return replies.handle_job_loss(state, group, job, reason, now)


@handles(ConnectionLost)
def handle_lost_connection(state: PoolerState, event: ConnectionLost, now: float) -> list:
    """Remove a lost connection and fail its job."""
    found = find_connection(state, event.connection_id)
    if found is None:
        return []
    connection, group, target = found
    connections.remove_connection(state, target, connection, CloseCause.LOST)
    failover.forget_lost_fence(group, target.record.name)
    if not target.connections:
        target.disconnected_at = now
        concurrency.restart(target, now)
    if connection.job is not None:
        effects = fail_job(state, group, connection.job, event.reason, now)
    elif connection.pinned_to:
        effects = log_lost_transaction(state, connection, now)
    else:
        effects = []
    return effects + connections.start_jobs(state, target, now)


def log_lost_transaction(state: PoolerState, connection: Connection, now: float) -> list:
    """Fail a transaction between two statements; its next statement is refused."""
    session = state.sessions.get(connection.pinned_to)
    if session is None or session.transaction is None:
        return []
    return [
        WriteLog(
            'transaction_lost',
            {'session': session.session_id, 'target': connection.target},
        )
    ]


@handles(CommandAnswered)
def handle_reply(state: PoolerState, event: CommandAnswered, now: float) -> list:
    """Handle the reply to the oldest command on a connection."""
    found = find_connection(state, event.connection_id)
    if found is None:
        return []
    connection, group, target = found
    job = connection.job
    if job is None:
        cause = CloseCause.UNEXPECTED_REPLY
        return connections.close_connection(state, target, connection, cause)
    if connection.setup:
        return handle_setup_reply(state, group, target, connection, event.reply, now)
    connection.job = None
    connections.mark_reply_received(target, now)
    reply = event.reply
    if reply.position is not None and proves_lead(state, job, reply):
        quorum.record_primary_position(group, target.record.name, job.sent_at, reply.position, now)
    if isinstance(job.command, CONTROL_COMMANDS):
        return handle_control_reply(state, group, target, connection, job, reply, now)
    if isinstance(job.command, Rollback):
        return handle_rollback_reply(state, target, connection, reply, now)
    update_averages(target, job, reply, now)
    if state.adaptive_admission and job.operation is not None:
        record_statement_outcome(target, job, reply, now)
    concurrency.record_answer(state, target, job, reply, now)
    target_load.record_answer(state, target, job, reply, now)
    return replies.handle_job_reply(state, group, connection, job, reply, now)


def proves_lead(state: PoolerState, job: Job, reply: TargetReply) -> bool:
    """Return whether a reply shows that the target led when it ran the command.

    Replicas refuse writes, and whatever belongs to a transaction that may write. A former primary
    that follows its successor answers other reads like a primary.
    """
    operation = job.operation
    if reply.failure is not None or operation is None:
        return False
    if isinstance(job.command, Begin):
        return not job.command.read_only
    if operation.is_write:
        return True
    if operation.done:
        # An open transaction of the session is a later one.
        return False
    session = state.sessions.get(operation.session_id)
    transaction = session.transaction if session is not None else None
    if transaction is None or transaction.statement.read_only:
        return False
    return operation.statement.kind is not StatementKind.COMMIT or transaction.has_written


def handle_setup_reply(
    state: PoolerState,
    group: GroupView,
    target: TargetState,
    connection: Connection,
    reply: TargetReply,
    now: float,
) -> list:
    """Send the command of a job once its setup commands have succeeded."""
    connections.mark_reply_received(target, now)
    if reply.failure is not None:
        job = connection.job
        connection.job = None
        cause = CloseCause.SETUP_FAILED
        effects = connections.close_connection(state, target, connection, cause)
        return effects + fail_job(state, group, job, f'setup failed: {reply.message}', now)
    connection.setup.popleft()
    if connection.setup:
        return []
    if connection.job.cancelled:
        return replies.handle_job_reply(
            state, group, connection, detach_job(connection), reply, now
        )
    return connections.send_command(state, target, connection, now)


def detach_job(connection: Connection) -> Job:
    """Remove the job from a connection and return it."""
    job = connection.job
    connection.job = None
    return job


def handle_rollback_reply(
    state: PoolerState,
    target: TargetState,
    connection: Connection,
    reply: TargetReply,
    now: float,
) -> list:
    """Return the connection of a rolled-back transaction to the pool."""
    if reply.failure is not None:
        cause = CloseCause.OPEN_TRANSACTION
        return connections.close_connection(state, target, connection, cause)
    return connections.reuse_connection(state, target, connection, reply, now)


def handle_control_reply(
    state: PoolerState,
    group: GroupView,
    target: TargetState,
    connection: Connection,
    job: Job,
    reply: TargetReply,
    now: float,
) -> list:
    """Handle the reply to a control command; every control command returns a status."""
    name = target.record.name
    polls.count_poll_reply(state, job, reply)
    effects = connections.release_connection(state, target, connection, now)
    if target.status_job is job:
        target.status_job = None
    target.next_poll_at = now + replies.STATUS_POLL_INTERVAL_S
    poll_backoff.record_poll_reply(state, target, reply, now)
    concurrency.record_status(target, job, reply, now)
    if reply.status is not None:
        had_lost_log = log_loss.has_lost_log(target)
        quorum.record_status(group, name, job.sent_at, reply.status, now)
        if log_loss.has_lost_log(target) != had_lost_log:
            effects.append(log_loss.build_log(group, target))
        target_load.record_running(target, reply.status.running, now)
    effects += failover.handle_control_reply(state, group, name, job, reply, now)
    if target.poll_again is not None and isinstance(job.command, ReadStatus):
        cause, target.poll_again = target.poll_again, None
        if not poll_backoff.is_backing_off(target, now):
            effects += connections.submit_status_poll(state, group, name, cause, now)
    return effects + replies.resume_waiting_operations(state, group, now)


def update_averages(target: TargetState, job: Job, reply: TargetReply, now: float) -> None:
    """Update the moving averages of a target."""
    if job.purpose is not Purpose.STATEMENT:
        return
    elapsed_s = now - job.sent_at
    target.service_time_s += (elapsed_s - target.service_time_s) * MOVING_AVERAGE_WEIGHT
    failed = reply.failure in {TargetFailure.FAILED, TargetFailure.TIMED_OUT}
    target.failure_rate += (failed - target.failure_rate) * MOVING_AVERAGE_WEIGHT


def record_statement_outcome(
    target: TargetState, job: Job, reply: TargetReply, now: float
) -> None:
    """Record whether a statement failed; a refusal without a run tells nothing about that."""
    if reply.failure is None or reply.failure is TargetFailure.FAILED:
        failed = reply.failure is TargetFailure.FAILED
        session_id = job.operation.session_id
        failure_streaks.record_outcome(target.failure_streak, session_id, failed, now)


def close_stuck_connections(
    state: PoolerState, group: GroupView, target: TargetState, now: float
) -> list:
    """Close connections whose reply or opening has timed out."""
    effects: list = []
    for connection in list(target.connections.values()):
        job = connection.job
        if not connection.ready:
            if now - connection.opened_at > CONNECT_TIMEOUT_S:
                cause = CloseCause.OPENING_TIMED_OUT
                effects += connections.close_connection(state, target, connection, cause)
                effects += handle_open_timeout(state, group, target, now)
        elif job is not None and is_overdue(job, now):
            connection.job = None
            cause = CloseCause.REPLY_TIMED_OUT
            effects += connections.close_connection(state, target, connection, cause)
            effects += fail_job(state, group, job, 'no reply in time', now)
            effects += connections.start_jobs(state, target, now)
    return effects


def is_overdue(job: Job, now: float) -> bool:
    """Return whether the reply to a job has timed out."""
    if job.operation is None:
        return now - (job.sent_at or job.created_at) > CONTROL_TIMEOUT_S
    since = max(job.operation.deadline, job.sent_at or job.created_at)
    if job.cancelled or job.operation.done:
        return now - (job.sent_at or job.created_at) > ABANDONED_REPLY_TIMEOUT_S
    return now - since > ABANDONED_REPLY_TIMEOUT_S


def handle_open_timeout(
    state: PoolerState, group: GroupView, target: TargetState, now: float
) -> list:
    """Treat a target as unreachable after a connection attempt has timed out."""
    if target.unreachable_since is None:
        target.unreachable_since = now
    target.connect_backoff_until = now + connections.RECONNECT_BACKOFF_S
    if target.connections:
        return []
    return fail_queued_jobs(state, group, target, 'connection timed out', now)
