"""Connection pools to targets: opening, assigning, preparing and closing connections.

Each VM pools a few connections per target. A job takes an idle one, or waits while another is
opened. A target reports how many connections it has from all VMs. As its usage grows, a VM opens
fewer connections and closes idle ones sooner, so that more VMs than a target has connections can
share them in turn.
"""

import random
from itertools import chain

from cassiaseam.pooler.accounts import pool, usage
from cassiaseam.pooler.accounts.state import count_event
from cassiaseam.pooler.admission import headroom, ordering, retries
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
from cassiaseam.pooler.events import CloseConnection, OpenConnection, SendCommands, WriteLog
from cassiaseam.pooler.pacing import concurrency
from cassiaseam.pooler.quotas import tokens
from cassiaseam.pooler.state import (
    CallerSession,
    Connection,
    GroupView,
    Job,
    PoolerState,
    Purpose,
    TargetState,
)
from cassiaseam.pooler.target_use import polls
from cassiaseam.pooler.target_use.causes import CloseCause, OpenCause, PollCause

# Connections without a transaction that a VM may open to a target regardless of its usage.
GUARANTEED_CONNECTIONS = 1
# Pairs of a connection limit per VM and the share of the target's limit below which it applies.
# Usage is reported late, and after a promotion all VMs open connections to one target at the same
# time, so the largest limit requires much headroom.
CONNECTION_LIMIT_STEPS = ((2, 0.9), (4, 0.7), (10, 0.45))
# Exponent up to which the backoff from a full target doubles with each further refusal. Jitter of
# up to the same time keeps the VMs from reconnecting at once.
MAX_FULL_TARGET_BACKOFF_EXPONENT = 2
# Seconds that statements wait for a connection to a full target before they are refused, because
# another VM may have one.
FULL_TARGET_WAIT_S = 0.15
# Seconds after which the reply to a status poll is probably lost. A full queue drains in 0.07 s,
# and reads on the primary would wait for the poll until its connection is closed after 1 s.
LATE_POLL_S = 0.2
# Backoff in seconds between failed attempts to connect to a target.
RECONNECT_BACKOFF_S = 0.2


def submit_job(state: PoolerState, group: GroupView, job: Job, now: float) -> list:
    """Queue a job for its target and start it as soon as a connection is idle."""
    target = group.targets[job.target]
    if job.purpose is Purpose.CONTROL:
        target.queue.appendleft(job)
    else:
        target.queue.append(job)
        usage.record_use(state, job.target, job.account, now)
    return start_jobs(state, target, now)


def start_jobs(state: PoolerState, target: TargetState, now: float) -> list:
    """Start queued jobs on idle connections and open connections for the rest."""
    effects = hand_over_connections(state, target, now)
    for job in ordering.order_waiting_jobs(state, target, now):
        if job.cancelled:
            target.queue.remove(job)
            tokens.recover_token(state, job)
            continue
        connection = find_idle_connection(state, target, job)
        if connection is None or not concurrency.may_start(state, target, job, now):
            continue
        target.queue.remove(job)
        if not tokens.ensure_fresh_token(state, job, now):
            withdraw_job(job, now)
            continue
        ordering.record_start(state, job, now)
        effects += start_job(state, target, connection, job, now)
    effects += open_missing_connections(state, target, now)
    return effects + concurrency.log_changes(state, target)


def open_missing_connections(state: PoolerState, target: TargetState, now: float) -> list:
    """Open a connection for each queued job that no available connection can serve."""
    available = pool.count_available(target)
    effects: list = []
    jobs = ordering.order_waiting_jobs(state, target, now)
    for job in concurrency.select_startable(state, target, jobs, now):
        if pool.is_served(state, job, available):
            continue
        if may_open_connection(state, target, now):
            account = pool.choose_account(state, target, job, now)
            cause = polls.find_open_cause(job)
            effects += open_connection(state, target, account, cause, now)
        elif job.purpose is not Purpose.CONTROL and pool.may_replace(target, now):
            victim = pool.find_replaceable(state, target, job.account, now)
            if victim is not None:
                effects += replace_connection(state, target, victim, job.account, now)
    return effects


def hand_over_connections(state: PoolerState, target: TargetState, now: float) -> list:
    """Replace idle connections for accounts that wait without any and may not open one."""
    if may_open_connection(state, target, now) or not pool.may_replace(target, now):
        return []
    plan = pool.plan_handovers(state, target, now)
    return list(chain(*(replace_connection(state, target, *change, now) for change in plan)))


def replace_connection(
    state: PoolerState, target: TargetState, victim: Connection, account: str, now: float
) -> list:
    """Close an idle connection of one account and open one for another account."""
    fields = {'target': victim.target, 'account': account, 'replaced': victim.account}
    effects = [WriteLog('connection_replaced', fields)]
    pool.record_replacement(state, target, now)
    effects += close_connection(state, target, victim, CloseCause.REPLACED)
    return effects + open_connection(state, target, account, OpenCause.REPLACEMENT, now)


def may_open_connection(state: PoolerState, target: TargetState, now: float) -> bool:
    """Return whether this VM may open another connection to a target."""
    if now < target.connect_backoff_until:
        return False
    open_count = len(target.connections)
    pinned = sum(connection.pinned_to > 0 for connection in target.connections.values())
    if open_count - pinned < GUARANTEED_CONNECTIONS:
        return True
    used = find_used_share(state, target)
    return any(
        open_count < max_count and used < share for max_count, share in CONNECTION_LIMIT_STEPS
    )


def find_used_share(state: PoolerState, target: TargetState) -> float:
    """Return the share of the connections of a target that all VMs use, as last reported."""
    max_connections = find_max_connections(state, target)
    return target.reported_connections / max_connections if max_connections else 1


def find_max_connections(state: PoolerState, target: TargetState) -> int:
    """Return the connection limit of a target, or 0 without a configuration of its group."""
    limits = state.config.groups.get(target.record.group) if state.config else None
    return max(limits.max_connections, 1) if limits is not None else 0


def record_connection_limit(
    target: TargetState,
    rng: random.Random,
    now: float,
    min_backoff_s: float = headroom.FULL_TARGET_BACKOFF_S,
) -> None:
    """Record that a target has reached its connection limit.

    Args:
        target: The target.
        rng: Source of the jitter.
        now: Monotonic time in seconds.
        min_backoff_s: Backoff in seconds after the first refusal.
    """
    backoff_s = min_backoff_s * 2 ** min(target.full_refusals, MAX_FULL_TARGET_BACKOFF_EXPONENT)
    target.connect_backoff_until = now + backoff_s * (1 + rng.random())
    target.full_refusals += 1
    if target.full_since is None:
        target.full_since = now
    target.reported_connections = max(
        target.reported_connections, headroom.FULL_TARGET_CONNECTIONS
    )
    target.connections_known_at = now


def is_usage_unknown(target: TargetState, now: float) -> bool:
    """Return whether the connection count of a target is assumed and a poll can correct it."""
    connected = any(connection.ready for connection in target.connections.values())
    is_due = connected and now >= target.connect_backoff_until
    return is_due and headroom.is_count_assumed(target)


def reconnect_to_full_targets(
    state: PoolerState, group: GroupView, account: str, now: float
) -> list:
    """Open a connection to each full target of a group whose backoff has passed.

    Load pattern: after a power loss of all VMs, lingering connections fill every target for
    seconds. Statements are refused before they are queued, so without these attempts nothing
    would ever open a connection again.
    """
    effects: list = []
    for target in group.targets.values():
        if is_at_connection_limit(target, now) and now >= target.connect_backoff_until:
            cause = OpenCause.FULL_TARGET_RETRY
            effects += open_connection(state, target, account, cause, now)
    return effects


def open_connection(
    state: PoolerState, target: TargetState, account: str, cause: OpenCause, now: float
) -> list:
    """Open another connection to a target for the statements of a client account."""
    connection = Connection(state.next_connection_id, target.record.name, now, account)
    state.next_connection_id += 1
    state.connections[connection.connection_id] = connection
    target.connections[connection.connection_id] = connection
    target.reported_connections += 1
    count_event(state.accounts.connections, 'opened')
    state.target_use.opened[cause] += 1
    return [OpenConnection(connection.connection_id, target.record, account)]


def find_idle_connection(state: PoolerState, target: TargetState, job: Job) -> Connection | None:
    """Return an idle connection of the account, preferably with the session variables of the job.

    Control commands belong to no account and run on any connection.
    """
    idle = [
        connection
        for connection in target.connections.values()
        if pool.is_idle(connection)
        and (job.purpose is Purpose.CONTROL or connection.account == job.account)
    ]
    if not idle:
        return None
    session = find_job_session(state, job)
    if session is None:
        return idle[0]
    return min(idle, key=lambda connection: rank_by_variables(connection, session))


def rank_by_variables(connection: Connection, session: CallerSession) -> int:
    """Return 0 for equal variables, 1 when some must be set, 2 when some must be cleared."""
    if connection.variables == session.variables:
        return 0
    return 1 if connection.variables.keys() <= session.variables.keys() else 2


def find_job_session(state: PoolerState, job: Job) -> CallerSession | None:
    """Return the session that a job belongs to, or None."""
    return state.sessions.get(job.operation.session_id) if job.operation else None


def start_job(
    state: PoolerState, target: TargetState, connection: Connection, job: Job, now: float
) -> list:
    """Run a job on an idle connection, after its setup commands."""
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
    """Send the command of the current job of a connection."""
    job = connection.job
    if not tokens.ensure_fresh_token(state, job, now):
        withdraw_job(job, now)
        return release_connection(state, target, connection, now)
    tokens.record_spending(state, job)
    job.sent_at = now
    mark_command_sent(target, now)
    command = job.command
    if isinstance(command, Forward):
        command = Forward(command.statement, command.floor, find_prepared_name(state, job))
        if job.operation.sent_at is None:
            job.operation.sent_at = now
        retries.count_first_attempt(state, job.operation, now)
        job.operation.attempts += 1
        job.operation.last_target = job.target
    return [send(state, connection, (command,))]


def withdraw_job(job: Job, now: float) -> None:
    """Return an operation whose quota token has expired, so that it takes another one."""
    job.token = None
    job.operation.jobs.remove(job)
    job.operation.retry_at = now


def send(
    state: PoolerState, connection: Connection, commands: tuple[Command, ...]
) -> SendCommands:
    """Count commands and return the effect that sends them."""
    for command in commands:
        kind = type(command).__name__
        state.commands_sent[kind] = state.commands_sent.get(kind, 0) + 1
    return SendCommands(connection.connection_id, commands)


def plan_setup(state: PoolerState, connection: Connection, job: Job) -> list[Command]:
    """Return the commands that set up a connection for the session of a job."""
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
    """Return the name on the targets of the prepared statement of a job, or ''."""
    statement = job.operation.statement if job.operation else None
    if statement is None or statement.kind is not StatementKind.EXECUTE:
        return ''
    if not isinstance(job.command, Forward):
        return ''
    prepared = state.sessions[job.operation.session_id].prepared[statement.name]
    return assign_prepared_name(state, prepared.argument, prepared.writes)


def assign_prepared_name(state: PoolerState, template: str, writes: bool) -> str:
    """Return the name under which a statement template is prepared on all connections."""
    return state.prepared_names.setdefault((template, writes), f'p{len(state.prepared_names) + 1}')


def mark_command_sent(target: TargetState, now: float) -> None:
    """Start measuring the silence of a target, unless it is measured already."""
    if target.silent_since is None:
        target.silent_since = now


def mark_reply_received(target: TargetState, now: float) -> None:
    """Reset the silence of a target that has replied."""
    concurrency.record_contact(target, now)
    target.unreachable_since = None
    busy = any(
        connection.job is not None or connection.setup
        for connection in target.connections.values()
    )
    target.silent_since = now if busy else None


def release_connection(
    state: PoolerState, target: TargetState, connection: Connection, now: float
) -> list:
    """Return a connection to the pool and start queued jobs."""
    connection.job = None
    connection.pinned_to = 0
    connection.idle_since = now
    if connection.closing:
        return close_connection(state, target, connection, CloseCause.ACCOUNT_REMOVED)
    return start_jobs(state, target, now)


def reuse_connection(
    state: PoolerState,
    target: TargetState,
    connection: Connection,
    reply: TargetReply,
    now: float,
) -> list:
    """Return a connection to the pool, or close it if the reply leaves a transaction open."""
    if reply.session_state is not SessionState.IDLE:
        return close_connection(state, target, connection, CloseCause.OPEN_TRANSACTION)
    return release_connection(state, target, connection, now)


def close_connection(
    state: PoolerState, target: TargetState, connection: Connection, cause: CloseCause
) -> list:
    """Close a connection; the target rolls back its transaction."""
    remove_connection(state, target, connection, cause)
    return [CloseConnection(connection.connection_id)]


def remove_connection(
    state: PoolerState, target: TargetState, connection: Connection, cause: CloseCause
) -> None:
    """Remove a connection that is closed."""
    state.target_use.closed[cause] += 1
    state.connections.pop(connection.connection_id, None)
    target.connections.pop(connection.connection_id, None)
    target.reported_connections = max(target.reported_connections - 1, 0)


def is_at_connection_limit(target: TargetState, now: float) -> bool:
    """Return whether this VM has no connection to a target and is refused because it is full."""
    if target.connections or target.full_since is None:
        return False
    return now - target.full_since > FULL_TARGET_WAIT_S


def close_idle_connections(state: PoolerState, target: TargetState, now: float) -> list:
    """Close connections that exceed the idle timeout for the usage of the target."""
    idle = [
        connection
        for connection in target.connections.values()
        if connection.ready and connection.job is None and not connection.pinned_to
    ]
    if not idle:
        return []
    used_share = find_used_share(state, target)
    reopening_s = None
    if headroom.keeps_headroom(state, find_max_connections(state, target)):
        reopening_s = headroom.find_reopening_time_s(state, target)
    timeout_s = headroom.find_idle_timeout_s(used_share, reopening_s)
    effects: list = []
    for connection in idle:
        if now - connection.idle_since > timeout_s:
            effects.extend(close_connection(state, target, connection, CloseCause.IDLE))
    return effects


def is_poll_late(job: Job, now: float) -> bool:
    """Return whether the reply to a status poll is probably lost, so that another one is sent."""
    return job.sent_at is not None and now - job.sent_at > LATE_POLL_S


def submit_status_poll(
    state: PoolerState, group: GroupView, name: str, cause: PollCause, now: float
) -> list:
    """Poll the status of a target; if a poll is in flight and not late, poll again after it."""
    target = group.targets[name]
    if target.status_job is not None and not is_poll_late(target.status_job, now):
        target.poll_again = cause if target.status_job.sent_at is not None else None
        return []
    job = Job(name, ReadStatus(), Purpose.CONTROL, now, poll_cause=cause)
    target.status_job = job
    return submit_job(state, group, job, now)
