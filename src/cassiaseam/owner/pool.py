"""Connections and slots of the targets."""

from cassiaseam.messages import Request
from cassiaseam.owner.breaker import record_connection, record_failure
from cassiaseam.owner.state import (
    Connection,
    ConnectionPhase,
    TargetPool,
    TimerKind,
    Transaction,
    Turn,
    Work,
    WorkPhase,
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

MAX_OPENING = 4
IDLE_LIMIT_S = 60.0
OPEN_LIMIT_S = 3.0
RESET_LIMIT_S = 2.0
# The adapter reports the end of a statement on a closed connection; this limit only prevents a
# lost report from occupying a slot for ever.
CLOSE_LIMIT_S = 10.0
TRANSACTION_SHARE = 0.5
KEYED_MODES = frozenset((ExecutionMode.KEYED_WRITE, ExecutionMode.KEYED_BEGIN))


def find_connection_limit(pool: TargetPool) -> int:
    """Return half of the target's connections; a second owner may use the other half."""
    return max(1, pool.config.connections // 2)


def find_transaction_limit(pool: TargetPool) -> int:
    """Return how many connections transactions may hold, so that autocommit work has some."""
    return max(1, int(find_connection_limit(pool) * TRANSACTION_SHARE))


def find_write_limit(pool: TargetPool) -> int:
    """Return how many slots writes may use; reads keep one when there are several."""
    return max(1, pool.config.slots - 1)


def has_free_slot(pool: TargetPool) -> bool:
    """Return whether the target may run another statement."""
    return pool.running < pool.config.slots


def has_write_slot(pool: TargetPool) -> bool:
    """Return whether the target may run another write."""
    return has_free_slot(pool) and pool.running_writes < find_write_limit(pool)


def accepts_new_work(pool: TargetPool) -> bool:
    """Return whether new statements may be sent to the target."""
    return pool.breaker.closed and pool.drain_started_at is None


def request_connections(turn: Turn, pool: TargetPool, wanted: int) -> None:
    """Open connections until `wanted` are on the way, within the limits of the target."""
    free_slots = pool.config.slots - pool.running
    allowed = min(MAX_OPENING, wanted, free_slots)
    while pool.opening < allowed and len(pool.connections) < find_connection_limit(pool):
        open_connection(turn, pool)


def open_connection(turn: Turn, pool: TargetPool) -> None:
    """Start to open one connection."""
    connection_id = f'{turn.node.vm}-{next(turn.owner.sequence)}'
    connection = Connection(connection_id, pool, ConnectionPhase.OPENING, turn.now)
    pool.connections[connection_id] = connection
    pool.opening += 1
    effect = OpenConnection(turn.database.name, pool.config.name, connection_id)
    turn.effects.append(effect)
    schedule_timer(turn, turn.now + OPEN_LIMIT_S, TimerKind.CONNECTION_PHASE, connection)


def accept_connection(turn: Turn, connection: Connection, event: ConnectionOpened) -> None:
    """Put a connection that is ready into the pool."""
    pool = connection.pool
    if connection.phase is not ConnectionPhase.OPENING:
        return
    pool.opening -= 1
    connection.opened_at = turn.now
    connection.incarnation = event.incarnation
    record_connection(pool.breaker)
    put_idle(turn, connection)


def put_idle(turn: Turn, connection: Connection) -> None:
    """Make a connection available, or close it when its target gets no new work."""
    pool = connection.pool
    connection.phase = ConnectionPhase.HELD
    if pool.drain_started_at is not None or len(pool.connections) > find_connection_limit(pool):
        close_connection(turn, connection)
        return
    connection.phase = ConnectionPhase.IDLE
    connection.since = turn.now
    pool.idle.append(connection)
    if not pool.idle_timer_due:
        pool.idle_timer_due = True
        schedule_timer(turn, turn.now + IDLE_LIMIT_S, TimerKind.POOL_IDLE, pool)


def close_idle_connections(turn: Turn, pool: TargetPool, idle_s: float = 0) -> None:
    """Close connections that have been idle for `idle_s` seconds or longer."""
    while pool.idle and pool.idle[0].since + idle_s <= turn.now:
        close_connection(turn, pool.idle[0])


def close_connection(turn: Turn, connection: Connection) -> None:
    """Close a connection; a running statement occupies its slot until its end is reported."""
    phase = connection.phase
    if phase is ConnectionPhase.CLOSING:
        return
    pool = connection.pool
    effect = CloseConnection(turn.database.name, pool.config.name, connection.connection_id)
    turn.effects.append(effect)
    if phase is ConnectionPhase.RUNNING:
        release_transaction_hold(connection)
        connection.work = None
        connection.phase = ConnectionPhase.CLOSING
        schedule_timer(turn, turn.now + CLOSE_LIMIT_S, TimerKind.CONNECTION_PHASE, connection)
        connection.since = turn.now
    else:
        remove_connection(connection)


def remove_connection(connection: Connection) -> None:
    """Forget a connection that is closed and free what it occupied."""
    pool = connection.pool
    phase = connection.phase
    if phase is ConnectionPhase.OPENING:
        pool.opening -= 1
    elif phase is ConnectionPhase.IDLE:
        pool.idle.remove(connection)
    elif phase in {ConnectionPhase.RUNNING, ConnectionPhase.CLOSING}:
        free_slot(connection)
    release_transaction_hold(connection)
    connection.phase = ConnectionPhase.CLOSING
    connection.work = None
    pool.connections.pop(connection.connection_id, None)


def release_transaction_hold(connection: Connection) -> None:
    """Stop counting a connection as held by a transaction."""
    if connection.transaction is not None:
        connection.transaction = None
        connection.pool.held -= 1


def free_slot(connection: Connection) -> None:
    """Free the slot of the statement on a connection."""
    pool = connection.pool
    pool.running -= 1
    pool.running_writes -= connection.writes
    connection.writes = False


def reset_connection(turn: Turn, connection: Connection) -> None:
    """Clear the session of a connection before it is used for other work."""
    release_transaction_hold(connection)
    connection.phase = ConnectionPhase.RESETTING
    connection.since = turn.now
    connection.work = None
    effect = ResetConnection(
        turn.database.name, connection.pool.config.name, connection.connection_id
    )
    turn.effects.append(effect)
    schedule_timer(turn, turn.now + RESET_LIMIT_S, TimerKind.CONNECTION_PHASE, connection)


def finish_reset(turn: Turn, connection: Connection, succeeded: bool) -> None:
    """Return a cleared connection to the pool, or close it."""
    if connection.phase is not ConnectionPhase.RESETTING:
        return
    if succeeded:
        put_idle(turn, connection)
    else:
        close_connection(turn, connection)


def take_idle_connection(pool: TargetPool, transaction: Transaction | None) -> Connection | None:
    """Take the most recently used idle connection, on behalf of a transaction or not."""
    if not pool.idle:
        return None
    connection = pool.idle.pop()
    connection.phase = ConnectionPhase.HELD
    if transaction is not None:
        connection.transaction = transaction
        pool.held += 1
    return connection


def send_statement(turn: Turn, connection: Connection, work: Work, mode: ExecutionMode) -> None:
    """Run the statement of a request on a connection that it has to itself."""
    pool = connection.pool
    request = work.request
    connection.phase = ConnectionPhase.RUNNING
    connection.since = turn.now
    connection.work = work
    connection.writes = mode is not ExecutionMode.READ
    pool.running += 1
    pool.running_writes += connection.writes
    pool.last_was_read = not connection.writes
    work.phase = WorkPhase.RUNNING
    work.connection = connection
    work.target = pool.config.name
    work.started_at = turn.now
    work.runs += 1
    turn.effects.append(
        RunStatement(
            turn.database.name,
            pool.config.name,
            connection.connection_id,
            request.request_id,
            mode,
            request.sql,
            request.deadline - turn.now,
            scope_key(request) if mode in KEYED_MODES else None,
        )
    )


def scope_key(request: Request) -> str | None:
    """Return the idempotency key as it is stored.

    Two callers may choose the same key; without the login name the second one would get the
    outcome of the first one's request.
    """
    if request.idempotency_key is None:
        return None
    return f'{request.caller}/{request.idempotency_key}'


def count_target_failure(turn: Turn, pool: TargetPool) -> None:
    """Count a failure of a target; an open breaker also closes its idle connections."""
    if not record_failure(pool.breaker, turn.node.rng, turn.now):
        return
    schedule_timer(turn, pool.breaker.open_until, TimerKind.BREAKER, pool)
    close_idle_connections(turn, pool)


def probe_target(turn: Turn, pool: TargetPool) -> None:
    """Open the one connection that tells whether the target works again."""
    breaker = pool.breaker
    due = breaker.open_until is not None and breaker.open_until <= turn.now
    if not due or breaker.probing or pool.drain_started_at is not None:
        return
    if len(pool.connections) >= find_connection_limit(pool):
        schedule_timer(turn, turn.now + OPEN_LIMIT_S, TimerKind.BREAKER, pool)
        return
    breaker.probing = True
    open_connection(turn, pool)
