"""Events of connections to targets."""

from cassiaseam.pooler import connections, failover, quorum, replies
from cassiaseam.pooler.commands import (
    CONTROL_COMMANDS,
    ReadStatus,
    Rollback,
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
from cassiaseam.pooler.state import (
    Connection,
    GroupView,
    Job,
    PoolerState,
    Purpose,
    TargetState,
)
from cassiaseam.reducer.registry import handles

# Weight of the latest statement in the moving averages of a target.
AVERAGE_WEIGHT = 0.1
# Time in seconds after which a connection is closed whose reply nobody waits for any longer.
ABANDONED_REPLY_LIMIT_S = 1.0
# Time in seconds that opening a connection may take.
CONNECT_LIMIT_S = 1.5
# Time in seconds that the reply to a command of our own may take.
CONTROL_LIMIT_S = 1.0


def find_connection(
    state: PoolerState, connection_id: int
) -> tuple[Connection, GroupView, TargetState] | None:
    """Return a connection with the group and the state of its target, or None if one is gone."""
    connection = state.connections.get(connection_id)
    if connection is None:
        return None
    group = state.groups.get(state.target_groups.get(connection.target, ''))
    if group is None or connection.target not in group.targets:
        return None
    return connection, group, group.targets[connection.target]


@handles(ConnectionReady)
def use_connection(state: PoolerState, event: ConnectionReady, now: float) -> list:
    """Start a job that waited for a connection."""
    found = find_connection(state, event.connection_id)
    if found is None:
        return []
    connection, group, target = found
    connection.ready = True
    connection.idle_since = now
    target.full_since = None
    target.lost_at = None
    connections.note_heard(target, now)
    return connections.start_jobs(state, target, now)


@handles(ConnectionRefused)
def handle_refused_connection(state: PoolerState, event: ConnectionRefused, now: float) -> list:
    """Give up on jobs that no connection can serve."""
    found = find_connection(state, event.connection_id)
    if found is None:
        return []
    connection, group, target = found
    connections.drop_connection(state, target, connection)
    log = WriteLog(
        'target_connection_refused',
        {'target': target.record.name, 'group': group.name, 'cause': event.reason},
    )
    failure = event.reply.failure if event.reply else None
    if failure is TargetFailure.TOO_MANY_CONNECTIONS:
        connections.note_heard(target, now)
        connections.note_too_many(target, state.rng, now)
        if target.connections:
            return [log]
        return [log, *fail_queue(state, group, target, event.reason, now)]
    if target.failing_since is None:
        target.failing_since = now
    target.refused_until = now + connections.RECONNECT_PAUSE_S
    return [log, *fail_queue(state, group, target, event.reason, now)]


def fail_queue(
    state: PoolerState, group: GroupView, target: TargetState, reason: str, now: float
) -> list:
    """Take the jobs that wait for a target away from it."""
    effects: list = []
    queue = list(target.queue)
    target.queue.clear()
    for job in queue:
        effects.extend(fail_job(state, group, job, reason, now))
    return effects


def fail_job(state: PoolerState, group: GroupView, job: Job, reason: str, now: float) -> list:
    """Handle a job that gets no reply."""
    target = group.targets.get(job.target)
    if target is not None and target.status_job is job:
        target.status_job = None
        target.poll_again = False
    return replies.handle_job_loss(state, group, job, reason, now)


@handles(ConnectionLost)
def handle_lost_connection(state: PoolerState, event: ConnectionLost, now: float) -> list:
    """Decide on the job of a connection that ended."""
    found = find_connection(state, event.connection_id)
    if found is None:
        return []
    connection, group, target = found
    connections.drop_connection(state, target, connection)
    if not target.connections:
        target.lost_at = now
    if connection.job is not None:
        effects = fail_job(state, group, connection.job, event.reason, now)
    elif connection.pinned_to:
        effects = note_lost_transaction(state, connection, now)
    else:
        effects = []
    return effects + connections.start_jobs(state, target, now)


def note_lost_transaction(state: PoolerState, connection: Connection, now: float) -> list:
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
    """Take the reply to the oldest command on a connection."""
    found = find_connection(state, event.connection_id)
    if found is None:
        return []
    connection, group, target = found
    job = connection.job
    if job is None:
        return connections.close_connection(state, target, connection)
    if connection.setup:
        return handle_setup_reply(state, group, target, connection, event.reply, now)
    connection.job = None
    connections.note_heard(target, now)
    reply = event.reply
    if reply.position is not None and job.sent_at is not None:
        quorum.record_primary_position(group, target.record.name, job.sent_at, reply.position, now)
    if isinstance(job.command, CONTROL_COMMANDS):
        return handle_control_reply(state, group, target, connection, job, reply, now)
    if isinstance(job.command, Rollback):
        return end_rollback(state, target, connection, reply, now)
    note_statement(target, job, reply, now)
    return replies.handle_job_reply(state, group, connection, job, reply, now)


def handle_setup_reply(
    state: PoolerState,
    group: GroupView,
    target: TargetState,
    connection: Connection,
    reply: TargetReply,
    now: float,
) -> list:
    """Run the job of a connection once the commands ahead of it have succeeded."""
    connections.note_heard(target, now)
    if reply.failure is not None:
        job = connection.job
        connection.job = None
        effects = connections.close_connection(state, target, connection)
        return effects + fail_job(state, group, job, f'setup failed: {reply.message}', now)
    connection.setup.popleft()
    if connection.setup:
        return []
    if connection.job.cancelled:
        return replies.handle_job_reply(state, group, connection, take_job(connection), reply, now)
    return connections.send_command(state, target, connection, now)


def take_job(connection: Connection) -> Job:
    """Return the job of a connection and free the connection."""
    job = connection.job
    connection.job = None
    return job


def end_rollback(
    state: PoolerState,
    target: TargetState,
    connection: Connection,
    reply: TargetReply,
    now: float,
) -> list:
    """Make the connection of a transaction that was rolled back available."""
    if reply.failure is not None:
        return connections.close_connection(state, target, connection)
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
    """Take a status; every command that steers a target returns one."""
    name = target.record.name
    effects = connections.release_connection(state, target, connection, now)
    if target.status_job is job:
        target.status_job = None
    target.next_poll_at = now + replies.POLL_PAUSE_S
    if reply.status is not None:
        quorum.record_status(group, name, job.sent_at, reply.status, now)
    effects += failover.handle_control_reply(state, group, name, job, reply, now)
    if target.poll_again and isinstance(job.command, ReadStatus):
        target.poll_again = False
        effects += connections.submit_status_poll(state, group, name, now)
    return effects + replies.use_evidence(state, group, now)


def note_statement(target: TargetState, job: Job, reply: TargetReply, now: float) -> None:
    """Update the moving averages of a target."""
    if job.purpose is not Purpose.STATEMENT:
        return
    took = now - job.sent_at
    target.service_time_s += (took - target.service_time_s) * AVERAGE_WEIGHT
    failed = reply.failure in {TargetFailure.FAILED, TargetFailure.TIMED_OUT}
    target.failure_rate += (failed - target.failure_rate) * AVERAGE_WEIGHT


def close_stuck_connections(
    state: PoolerState, group: GroupView, target: TargetState, now: float
) -> list:
    """Close connections whose reply nobody waits for or that do not open."""
    effects: list = []
    for connection in list(target.connections.values()):
        job = connection.job
        if not connection.ready:
            if now - connection.opened_at > CONNECT_LIMIT_S:
                effects += connections.close_connection(state, target, connection)
                effects += handle_open_timeout(state, group, target, now)
        elif job is not None and is_overdue(job, now):
            connection.job = None
            effects += connections.close_connection(state, target, connection)
            effects += fail_job(state, group, job, 'no reply in time', now)
            effects += connections.start_jobs(state, target, now)
    return effects


def is_overdue(job: Job, now: float) -> bool:
    """Return whether the reply to a job will not be waited for any longer."""
    if job.operation is None:
        return now - (job.sent_at or job.created_at) > CONTROL_LIMIT_S
    since = max(job.operation.deadline, job.sent_at or job.created_at)
    if job.cancelled or job.operation.done:
        return now - (job.sent_at or job.created_at) > ABANDONED_REPLY_LIMIT_S
    return now - since > ABANDONED_REPLY_LIMIT_S


def handle_open_timeout(
    state: PoolerState, group: GroupView, target: TargetState, now: float
) -> list:
    """Treat a target that does not answer to a new connection as unreachable."""
    if target.failing_since is None:
        target.failing_since = now
    target.refused_until = now + connections.RECONNECT_PAUSE_S
    if target.connections:
        return []
    return fail_queue(state, group, target, 'connection timed out', now)
