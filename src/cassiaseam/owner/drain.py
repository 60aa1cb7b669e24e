"""Drain of targets, loss of ownership and shutdown of the daemon."""

from cassiaseam.configuration.model import DatabaseConfig, TargetConfig, TargetState
from cassiaseam.owner.breaker import Breaker
from cassiaseam.owner.pool import close_connection, close_idle_connections
from cassiaseam.owner.state import (
    DatabaseState,
    OwnerState,
    TargetPool,
    TimerKind,
    Turn,
    schedule_timer,
)
from cassiaseam.owner.statements import drop_connection
from cassiaseam.owner.transactions import abort_transaction
from cassiaseam.reducer.node_state import NodeState


def apply_configuration(turn: Turn, config: DatabaseConfig) -> None:
    """Bring the pools in line with a configuration."""
    database = turn.database
    database.config = config
    names = set()
    for target in config.targets:
        names.add(target.name)
        pool = database.targets.get(target.name)
        if pool is None:
            database.targets[target.name] = TargetPool(target)
        else:
            replace_target(turn, pool, target)
    for pool in list(database.targets.values()):
        pool.removed = pool.config.name not in names
        update_drain(turn, pool)


def replace_target(turn: Turn, pool: TargetPool, target: TargetConfig) -> None:
    """Apply the configuration of a target; a new address makes its connections useless."""
    moved = (pool.config.host, pool.config.port) != (target.host, target.port)
    pool.config = target
    if not moved:
        return
    pool.breaker = Breaker()
    for connection in tuple(pool.connections.values()):
        drop_connection(turn, connection, 'the target has a new address')


def update_drain(turn: Turn, pool: TargetPool) -> None:
    """Start or end the drain of a target after a change of its state or status."""
    wanted = pool.removed or pool.config.state is TargetState.DRAINING or is_leaving(turn, pool)
    if wanted == (pool.drain_started_at is not None):
        return
    if not wanted:
        pool.drain_started_at = None
        schedule_timer(turn, turn.now, TimerKind.BREAKER, pool)
        return
    pool.drain_started_at = turn.now
    close_idle_connections(turn, pool)
    due = turn.now + turn.database.config.drain_limit_s
    schedule_timer(turn, due, TimerKind.DRAIN, pool)


def is_leaving(turn: Turn, pool: TargetPool) -> bool:
    """Return whether the vendor announced that a target is going away."""
    view = turn.group.targets.get(pool.config.name)
    return view is not None and view.status is not None and view.status.leaving


def finish_drain(turn: Turn, pool: TargetPool) -> None:
    """Abort what still runs on a target at its drain limit."""
    if pool.drain_started_at is None:
        return
    due = pool.drain_started_at + turn.database.config.drain_limit_s
    if due > turn.now:
        schedule_timer(turn, due, TimerKind.DRAIN, pool)
        return
    for transaction in list(turn.database.transactions.values()):
        connection = transaction.connection
        if connection is not None and connection.pool is pool:
            abort_transaction(turn, transaction, 'the target is drained', close=True)
    forget_removed_target(turn, pool)


def forget_removed_target(turn: Turn, pool: TargetPool) -> None:
    """Forget a target that is no longer configured once nothing runs on it."""
    if not pool.removed:
        return
    if pool.connections:
        schedule_timer(turn, turn.now + 1.0, TimerKind.DRAIN, pool)
    elif turn.database.targets.get(pool.config.name) is pool:
        del turn.database.targets[pool.config.name]


def release_ownership(turn: Turn) -> None:
    """Refuse new work; what was accepted finishes within the drain limit."""
    turn.database.owns = False
    due = turn.now + turn.database.config.drain_limit_s
    schedule_timer(turn, due, TimerKind.OWNERSHIP)
    finish_release(turn)


def abort_transactions_at_limit(turn: Turn) -> None:
    """Abort the transactions that are still open at the limit after ownership was lost."""
    if turn.database.owns and not turn.owner.shutting_down:
        return
    for transaction in list(turn.database.transactions.values()):
        abort_transaction(turn, transaction, 'the daemon no longer owns the database')


def finish_release(turn: Turn) -> None:
    """Close the connections and forget a database that is not owned and has no work."""
    database = turn.database
    if database.owns or is_database_busy(database):
        return
    for pool in database.targets.values():
        for connection in list(pool.connections.values()):
            close_connection(turn, connection)
    turn.node.databases.pop(database.name, None)


def is_database_busy(database: DatabaseState) -> bool:
    """Return whether a request or a transaction is in flight."""
    return bool(database.works or database.transactions)


def start_shutdown(node: NodeState, owner: OwnerState) -> list[DatabaseState]:
    """Refuse new work and return the databases whose transactions get a time limit."""
    owner.shutting_down = True
    return [database for database in node.databases.values() if database.transactions]


def has_work_in_flight(node: NodeState) -> bool:
    """Return whether any owned database has a request or a transaction in flight."""
    return any(is_database_busy(database) for database in node.databases.values())
