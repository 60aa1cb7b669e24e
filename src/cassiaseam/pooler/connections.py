"""Connections to targets: opening, choosing one for a job, preparing it, closing.

Every VM holds a few connections to each target. A job takes an idle one, or waits while another
is opened. A target reports how many connections it has from all VMs. The fuller it is, the fewer a
VM opens and the sooner it closes idle ones, so that more VMs than a target has connections share
them by turns.
"""

import random

from cassiaseam.pooler.commands import (
    ClearSession,
    Command,
    Forward,
    Prepare,
    ReadStatus,
    SessionState,
    SetVariable,
    StatementKind,
    TargetReply,
)
from cassiaseam.pooler.events import CloseConnection, OpenConnection, SendCommands
from cassiaseam.pooler.state import (
    CallerSession,
    Connection,
    GroupView,
    Job,
    PoolerState,
    Purpose,
    TargetState,
)

# Connections to one target without a transaction that a VM may open however many the other VMs
# have.
GUARANTEED_CONNECTIONS = 1
# Further steps: the number of connections that a VM may have while the target has less than a
# share of its limit in use. The numbers are reported late, and after a promotion all VMs open
# connections to one target at the same time, so the large step needs much room.
CONNECTION_LIMIT_STEPS = ((2, 0.9), (4, 0.7), (10, 0.45))
# Shortest pause in seconds after a target refused a connection because it has too many; the
# longest is twice that, so that the VMs do not come back together.
FULL_TARGET_BACKOFF_S = 0.2
# Seconds that statements wait for a connection to a full target; another VM may have one.
FULL_TARGET_WAIT_S = 0.15
# Pause in seconds between attempts to reach a target that cannot be connected to.
RECONNECT_BACKOFF_S = 0.2
# Time in seconds after which an idle connection is closed, by the share of the connections of the
# target that are in use: a new connection costs a slot of the target for a moment, and a full
# target refuses the VMs that come last.
IDLE_TIMEOUT_STEPS = ((0.5, 20.0), (0.7, 5.0), (0.85, 1.0))
MIN_IDLE_TIMEOUT_S = 0.3
# Stands for the number of connections of a target that has too many.
FULL_TARGET_CONNECTIONS = 10**6


def submit_job(state: PoolerState, group: GroupView, job: Job, now: float) -> list:
    """Queue a job for its target and start it when a connection is free."""
    target = group.targets[job.target]
    if job.purpose is Purpose.CONTROL:
        target.queue.appendleft(job)
    else:
        target.queue.append(job)
    return start_jobs(state, target, now)


def start_jobs(state: PoolerState, target: TargetState, now: float) -> list:
    """Start waiting jobs on idle connections and open connections for the rest."""
    effects: list = []
    while target.queue:
        job = target.queue[0]
        if job.cancelled:
            target.queue.popleft()
            continue
        connection = find_idle_connection(state, target, job)
        if connection is None:
            break
        target.queue.popleft()
        effects += start_job(state, target, connection, job, now)
    opening = sum(not connection.ready for connection in target.connections.values())
    for _ in range(len(target.queue) - opening):
        if not may_open_connection(state, target, now):
            break
        effects += open_connection(state, target, now)
    return effects


def may_open_connection(state: PoolerState, target: TargetState, now: float) -> bool:
    """Return whether this VM may open another connection to a target."""
    if now < target.connect_backoff_until:
        return False
    count = len(target.connections)
    pinned = sum(connection.pinned_to > 0 for connection in target.connections.values())
    if count - pinned < GUARANTEED_CONNECTIONS:
        return True
    used = find_used_share(state, target)
    return any(count < max_count and used < share for max_count, share in CONNECTION_LIMIT_STEPS)


def find_used_share(state: PoolerState, target: TargetState) -> float:
    """Return the share of the connections of a target that all VMs use, as last reported."""
    limits = state.config.groups.get(target.record.group) if state.config else None
    if limits is None:
        return 1
    return target.reported_connections / max(limits.max_connections, 1)


def record_connection_limit(target: TargetState, rng: random.Random, now: float) -> None:
    """Remember that a target has no connection left."""
    target.connect_backoff_until = now + FULL_TARGET_BACKOFF_S * (1 + rng.random())
    if target.full_since is None:
        target.full_since = now
    target.reported_connections = max(target.reported_connections, FULL_TARGET_CONNECTIONS)


def open_connection(state: PoolerState, target: TargetState, now: float) -> list:
    """Ask for one more connection to a target."""
    connection = Connection(state.next_connection_id, target.record.name, now)
    state.next_connection_id += 1
    state.connections[connection.connection_id] = connection
    target.connections[connection.connection_id] = connection
    target.reported_connections += 1
    return [OpenConnection(connection.connection_id, target.record)]


def find_idle_connection(state: PoolerState, target: TargetState, job: Job) -> Connection | None:
    """Return an idle connection, best one whose session variables fit the job."""
    idle = [
        connection
        for connection in target.connections.values()
        if connection.ready
        and connection.job is None
        and not connection.pinned_to
        and not connection.closing
    ]
    if not idle:
        return None
    session = find_job_session(state, job)
    if session is None:
        return idle[0]
    return min(idle, key=lambda connection: rank_by_variables(connection, session))


def rank_by_variables(connection: Connection, session: CallerSession) -> int:
    """Return 0 for equal variables, 1 when some have to be set, 2 when some have to go."""
    if connection.variables == session.variables:
        return 0
    return 1 if connection.variables.keys() <= session.variables.keys() else 2


def find_job_session(state: PoolerState, job: Job) -> CallerSession | None:
    """Return the session that a job works for, or None."""
    return state.sessions.get(job.operation.session_id) if job.operation else None


def start_job(
    state: PoolerState, target: TargetState, connection: Connection, job: Job, now: float
) -> list:
    """Run a job on an idle connection, after the commands that prepare the connection."""
    connection.job = job
    job.connection_id = connection.connection_id
    setup = plan_setup(state, connection, job)
    if setup:
        connection.setup.extend(setup)
        mark_command_sent(target, now)
        return [send(state, connection, tuple(setup))]
    return send_command(state, target, connection, now)


def send_command(
    state: PoolerState, target: TargetState, connection: Connection, now: float
) -> list:
    """Send the command of the job that a connection runs."""
    job = connection.job
    job.sent_at = now
    mark_command_sent(target, now)
    command = job.command
    if isinstance(command, Forward):
        command = Forward(command.statement, command.floor, find_prepared_name(state, job))
        if job.operation.sent_at is None:
            job.operation.sent_at = now
        job.operation.attempts += 1
        job.operation.last_target = job.target
    return [send(state, connection, (command,))]


def send(
    state: PoolerState, connection: Connection, commands: tuple[Command, ...]
) -> SendCommands:
    """Return the effect that sends commands, and count them."""
    for command in commands:
        kind = type(command).__name__
        state.commands_sent[kind] = state.commands_sent.get(kind, 0) + 1
    return SendCommands(connection.connection_id, commands)


def plan_setup(state: PoolerState, connection: Connection, job: Job) -> list[Command]:
    """Return the commands that give a connection the session of the caller."""
    session = find_job_session(state, job)
    if session is None:
        return []
    commands: list[Command] = []
    if connection.variables.keys() - session.variables.keys():
        commands.append(ClearSession())
        connection.variables = {}
        connection.prepared = set()
    for variable, setting in session.variables.items():
        if connection.variables.get(variable) != setting:
            commands.append(SetVariable(variable, setting))
            connection.variables[variable] = setting
    name = find_prepared_name(state, job)
    if name and name not in connection.prepared:
        prepared = session.prepared[job.operation.statement.name]
        commands.append(Prepare(name, prepared.argument, prepared.writes))
        connection.prepared.add(name)
    return commands


def find_prepared_name(state: PoolerState, job: Job) -> str:
    """Return the name on the targets of the statement that a job executes, or ''."""
    statement = job.operation.statement if job.operation else None
    if statement is None or statement.kind is not StatementKind.EXECUTE:
        return ''
    if not isinstance(job.command, Forward):
        return ''
    prepared = state.sessions[job.operation.session_id].prepared[statement.name]
    return assign_prepared_name(state, prepared.argument, prepared.writes)


def assign_prepared_name(state: PoolerState, template: str, writes: bool) -> str:
    """Return the name under which a shape is prepared on all connections."""
    return state.prepared_names.setdefault((template, writes), f'p{len(state.prepared_names) + 1}')


def mark_command_sent(target: TargetState, now: float) -> None:
    """Remember since when a target owes a reply."""
    if target.silent_since is None:
        target.silent_since = now


def mark_reply_received(target: TargetState, now: float) -> None:
    """Remember that a target replied."""
    target.unreachable_since = None
    busy = any(
        connection.job is not None or connection.setup
        for connection in target.connections.values()
    )
    target.silent_since = now if busy else None


def release_connection(
    state: PoolerState, target: TargetState, connection: Connection, now: float
) -> list:
    """Make a connection available to waiting jobs."""
    connection.job = None
    connection.pinned_to = 0
    connection.idle_since = now
    if connection.closing:
        return close_connection(state, target, connection)
    return start_jobs(state, target, now)


def reuse_connection(
    state: PoolerState,
    target: TargetState,
    connection: Connection,
    reply: TargetReply,
    now: float,
) -> list:
    """Make a connection available again, or close it when the reply leaves a transaction open."""
    if reply.session_state is not SessionState.IDLE:
        return close_connection(state, target, connection)
    return release_connection(state, target, connection, now)


def close_connection(state: PoolerState, target: TargetState, connection: Connection) -> list:
    """Close a connection; a target rolls its transaction back."""
    remove_connection(state, target, connection)
    return [CloseConnection(connection.connection_id)]


def remove_connection(state: PoolerState, target: TargetState, connection: Connection) -> None:
    """Forget a connection that has ended."""
    state.connections.pop(connection.connection_id, None)
    target.connections.pop(connection.connection_id, None)
    target.reported_connections = max(target.reported_connections - 1, 0)


def is_at_connection_limit(target: TargetState, now: float) -> bool:
    """Return whether this VM gets no connection to a target because other VMs have them all."""
    if target.connections or target.full_since is None:
        return False
    return now - target.full_since > FULL_TARGET_WAIT_S


def close_idle_connections(state: PoolerState, target: TargetState, now: float) -> list:
    """Close connections that were idle for long, sooner the fuller the target is."""
    idle = [
        connection
        for connection in target.connections.values()
        if connection.ready and connection.job is None and not connection.pinned_to
    ]
    if not idle:
        return []
    timeout_s = find_idle_timeout_s(find_used_share(state, target))
    effects: list = []
    for connection in idle:
        if now - connection.idle_since > timeout_s:
            effects.extend(close_connection(state, target, connection))
    return effects


def find_idle_timeout_s(used_share: float) -> float:
    """Return after how many seconds an idle connection is closed.

    Load pattern: more VMs than a target has connections, each with a statement in a few seconds.
    """
    for share, timeout_s in IDLE_TIMEOUT_STEPS:
        if used_share < share:
            return timeout_s
    return MIN_IDLE_TIMEOUT_S


def submit_status_poll(state: PoolerState, group: GroupView, name: str, now: float) -> list:
    """Poll the status of a target unless a poll is waiting to be sent."""
    target = group.targets[name]
    if target.status_job is not None:
        target.poll_again = target.status_job.sent_at is not None
        return []
    job = Job(name, ReadStatus(), Purpose.CONTROL, now)
    target.status_job = job
    return submit_job(state, group, job, now)
