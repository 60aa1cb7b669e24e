"""Connection pools and statement slots of the targets."""

from cassiaseam.messages import Request
from cassiaseam.owner.breaker import record_connection, record_failure
from cassiaseam.owner.state import (
    Connection,
    ConnectionPhase,
    EventContext,
    PendingRequest,
    RequestPhase,
    TargetPool,
    TimerKind,
    Transaction,
    schedule_timer,
)
from cassiaseam.reducer.target_io import (
    CloseConnection,
    ConnectionOpened,
    ExecutionMode,
    OpenConnection,
    ResetConnection,
    RunStatement,
)

MAX_CONCURRENT_CONNECTS = 4
CONNECTION_IDLE_TIMEOUT_S = 60.0
CONNECT_TIMEOUT_S = 3.0
RESET_TIMEOUT_S = 2.0
# The adapter reports the end of a statement on a closed connection; this timeout only keeps a lost
# report from occupying a slot forever.
CLOSE_TIMEOUT_S = 10.0
TRANSACTION_CONNECTION_SHARE = 0.5
KEYED_MODES = frozenset((ExecutionMode.KEYED_WRITE, ExecutionMode.KEYED_BEGIN))


def find_connection_limit(pool: TargetPool) -> int:
    """Return half of the target's connections; the rest is left to a second owner."""
    return max(1, pool.config.connections // 2)


def find_transaction_limit(pool: TargetPool) -> int:
    """Return how many connections transactions may hold; the rest is for autocommit requests."""
    return max(1, int(find_connection_limit(pool) * TRANSACTION_CONNECTION_SHARE))


def find_write_limit(pool: TargetPool) -> int:
    """Return how many slots writes may use; one is reserved for reads if there are several."""
    return max(1, pool.config.slots - 1)


def has_free_slot(pool: TargetPool) -> bool:
    """Return whether the target may run another statement."""
    return pool.running < pool.config.slots


def has_write_slot(pool: TargetPool) -> bool:
    """Return whether the target may run another write."""
    return has_free_slot(pool) and pool.running_writes < find_write_limit(pool)


def accepts_statements(pool: TargetPool) -> bool:
    """Return whether new statements may be sent to the target."""
    return pool.breaker.closed and pool.drain_started_at is None


def request_connections(context: EventContext, pool: TargetPool, wanted: int) -> None:
    """Open connections until `wanted` are being opened, within the limits of the target."""
    free_slots = pool.config.slots - pool.running
    allowed = min(MAX_CONCURRENT_CONNECTS, wanted, free_slots)
    while pool.opening < allowed and len(pool.connections) < find_connection_limit(pool):
        open_connection(context, pool)


def open_connection(context: EventContext, pool: TargetPool) -> None:
    """Start opening one connection."""
    connection_id = f'{context.node.vm}-{next(context.owner.sequence)}'
    connection = Connection(connection_id, pool, ConnectionPhase.OPENING, context.now)
    pool.connections[connection_id] = connection
    pool.opening += 1
    effect = OpenConnection(context.database.name, pool.config.name, connection_id)
    context.effects.append(effect)
    schedule_timer(
        context, context.now + CONNECT_TIMEOUT_S, TimerKind.CONNECTION_PHASE, connection
    )


def accept_connection(
    context: EventContext, connection: Connection, event: ConnectionOpened
) -> None:
    """Add an opened connection to the pool."""
    pool = connection.pool
    if connection.phase is not ConnectionPhase.OPENING:
        return
    pool.opening -= 1
    connection.opened_at = context.now
    connection.incarnation = event.incarnation
    record_connection(pool.breaker)
    return_to_pool(context, connection)


def return_to_pool(context: EventContext, connection: Connection) -> None:
    """Make a connection idle; close it if its target is draining or has too many."""
    pool = connection.pool
    connection.phase = ConnectionPhase.HELD
    if pool.drain_started_at is not None or len(pool.connections) > find_connection_limit(pool):
        close_connection(context, connection)
        return
    connection.phase = ConnectionPhase.IDLE
    connection.phase_started_at = context.now
    pool.idle.append(connection)
    if not pool.idle_timer_due:
        pool.idle_timer_due = True
        schedule_timer(context, context.now + CONNECTION_IDLE_TIMEOUT_S, TimerKind.POOL_IDLE, pool)


def close_idle_connections(context: EventContext, pool: TargetPool, idle_s: float = 0) -> None:
    """Close connections that have been idle for `idle_s` seconds or longer."""
    while pool.idle and pool.idle[0].phase_started_at + idle_s <= context.now:
        close_connection(context, pool.idle[0])


def close_connection(context: EventContext, connection: Connection) -> None:
    """Close a connection; a running statement keeps its slot until its end is reported."""
    phase = connection.phase
    if phase is ConnectionPhase.CLOSING:
        return
    pool = connection.pool
    effect = CloseConnection(context.database.name, pool.config.name, connection.connection_id)
    context.effects.append(effect)
    if phase is ConnectionPhase.RUNNING:
        release_transaction_hold(connection)
        connection.pending = None
        connection.phase = ConnectionPhase.CLOSING
        schedule_timer(
            context, context.now + CLOSE_TIMEOUT_S, TimerKind.CONNECTION_PHASE, connection
        )
        connection.phase_started_at = context.now
    else:
        remove_connection(connection)


def remove_connection(connection: Connection) -> None:
    """Remove a closed connection and release its resources."""
    pool = connection.pool
    phase = connection.phase
    if phase is ConnectionPhase.OPENING:
        pool.opening -= 1
    elif phase is ConnectionPhase.IDLE:
        pool.idle.remove(connection)
    elif phase in {ConnectionPhase.RUNNING, ConnectionPhase.CLOSING}:
        release_slot(connection)
    release_transaction_hold(connection)
    connection.phase = ConnectionPhase.CLOSING
    connection.pending = None
    pool.connections.pop(connection.connection_id, None)


def release_transaction_hold(connection: Connection) -> None:
    """Stop counting a connection as held by a transaction."""
    if connection.transaction is not None:
        connection.transaction = None
        connection.pool.transaction_connections -= 1


def release_slot(connection: Connection) -> None:
    """Release the slot of the statement on a connection."""
    pool = connection.pool
    pool.running -= 1
    pool.running_writes -= connection.writes
    connection.writes = False


def reset_connection(context: EventContext, connection: Connection) -> None:
    """Reset the session of a connection before it is reused."""
    release_transaction_hold(connection)
    connection.phase = ConnectionPhase.RESETTING
    connection.phase_started_at = context.now
    connection.pending = None
    effect = ResetConnection(
        context.database.name, connection.pool.config.name, connection.connection_id
    )
    context.effects.append(effect)
    schedule_timer(context, context.now + RESET_TIMEOUT_S, TimerKind.CONNECTION_PHASE, connection)


def finish_reset(context: EventContext, connection: Connection, succeeded: bool) -> None:
    """Return a connection to the pool after its reset, or close it if the reset failed."""
    if connection.phase is not ConnectionPhase.RESETTING:
        return
    if succeeded:
        return_to_pool(context, connection)
    else:
        close_connection(context, connection)


def acquire_idle_connection(
    pool: TargetPool, transaction: Transaction | None
) -> Connection | None:
    """Take the most recently used idle connection, optionally for a transaction."""
    if not pool.idle:
        return None
    connection = pool.idle.pop()
    connection.phase = ConnectionPhase.HELD
    if transaction is not None:
        connection.transaction = transaction
        pool.transaction_connections += 1
    return connection


def send_statement(
    context: EventContext, connection: Connection, pending: PendingRequest, mode: ExecutionMode
) -> None:
    """Send the statement of a request on a connection reserved for it."""
    pool = connection.pool
    request = pending.request
    connection.phase = ConnectionPhase.RUNNING
    connection.phase_started_at = context.now
    connection.pending = pending
    connection.writes = mode is not ExecutionMode.READ
    pool.running += 1
    pool.running_writes += connection.writes
    pool.last_statement_was_read = not connection.writes
    pending.phase = RequestPhase.RUNNING
    pending.connection = connection
    pending.target = pool.config.name
    pending.started_at = context.now
    pending.attempts += 1
    context.effects.append(
        RunStatement(
            context.database.name,
            pool.config.name,
            connection.connection_id,
            request.request_id,
            mode,
            request.sql,
            request.deadline - context.now,
            qualify_idempotency_key(request) if mode in KEYED_MODES else None,
        )
    )


def qualify_idempotency_key(request: Request) -> str | None:
    """Return the idempotency key in its stored form, qualified by the login name.

    Two callers may choose the same key; without the login name, the second would receive the
    outcome of the first caller's request.
    """
    if request.idempotency_key is None:
        return None
    return f'{request.caller}/{request.idempotency_key}'


def count_target_failure(context: EventContext, pool: TargetPool) -> None:
    """Count a failure of a target; if its breaker opens, close its idle connections."""
    if not record_failure(pool.breaker, context.node.rng, context.now):
        return
    schedule_timer(context, pool.breaker.open_until, TimerKind.BREAKER, pool)
    close_idle_connections(context, pool)


def probe_target(context: EventContext, pool: TargetPool) -> None:
    """Open the single connection that probes whether the target has recovered."""
    breaker = pool.breaker
    due = breaker.open_until is not None and breaker.open_until <= context.now
    if not due or breaker.probing or pool.drain_started_at is not None:
        return
    if len(pool.connections) >= find_connection_limit(pool):
        schedule_timer(context, context.now + CONNECT_TIMEOUT_S, TimerKind.BREAKER, pool)
        return
    breaker.probing = True
    open_connection(context, pool)
