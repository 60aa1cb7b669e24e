"""Drain of targets, loss of ownership and shutdown of the daemon."""

from cassiaseam.configuration.model import DatabaseConfig, TargetConfig, TargetState
from cassiaseam.owner.breaker import CircuitBreaker
from cassiaseam.owner.pool import close_connection, close_idle_connections
from cassiaseam.owner.state import (
    DatabaseState,
    EventContext,
    OwnerState,
    TargetPool,
    TimerKind,
    schedule_timer,
)
from cassiaseam.owner.statements import drop_connection
from cassiaseam.owner.transactions import abort_transaction
from cassiaseam.reducer.node_state import NodeState


def apply_configuration(context: EventContext, config: DatabaseConfig) -> None:
    """Update the target pools to a configuration."""
    database = context.database
    database.config = config
    names = set()
    for target in config.targets:
        names.add(target.name)
        pool = database.targets.get(target.name)
        if pool is None:
            database.targets[target.name] = TargetPool(target)
        else:
            replace_target(context, pool, target)
    for pool in list(database.targets.values()):
        pool.removed = pool.config.name not in names
        update_drain(context, pool)


def replace_target(context: EventContext, pool: TargetPool, target: TargetConfig) -> None:
    """Apply the configuration of a target; drop its connections if its address changed."""
    address_changed = (pool.config.host, pool.config.port) != (target.host, target.port)
    pool.config = target
    if not address_changed:
        return
    pool.breaker = CircuitBreaker()
    for connection in tuple(pool.connections.values()):
        drop_connection(context, connection, 'the target has a new address')


def update_drain(context: EventContext, pool: TargetPool) -> None:
    """Start or end the drain of a target after its state or status changed."""
    should_drain = (
        pool.removed or pool.config.state is TargetState.DRAINING or is_leaving(context, pool)
    )
    if should_drain == (pool.drain_started_at is not None):
        return
    if not should_drain:
        pool.drain_started_at = None
        schedule_timer(context, context.now, TimerKind.BREAKER, pool)
        return
    pool.drain_started_at = context.now
    close_idle_connections(context, pool)
    due = context.now + context.database.config.drain_limit_s
    schedule_timer(context, due, TimerKind.DRAIN, pool)


def is_leaving(context: EventContext, pool: TargetPool) -> bool:
    """Return whether the vendor announced that a target is leaving."""
    view = context.group.targets.get(pool.config.name)
    return view is not None and view.status is not None and view.status.leaving


def finish_drain(context: EventContext, pool: TargetPool) -> None:
    """Abort the transactions that are open on a target at its drain limit."""
    if pool.drain_started_at is None:
        return
    due = pool.drain_started_at + context.database.config.drain_limit_s
    if due > context.now:
        schedule_timer(context, due, TimerKind.DRAIN, pool)
        return
    for transaction in list(context.database.transactions.values()):
        connection = transaction.connection
        if connection is not None and connection.pool is pool:
            abort_transaction(context, transaction, 'the target is drained', close=True)
    remove_deconfigured_target(context, pool)


def remove_deconfigured_target(context: EventContext, pool: TargetPool) -> None:
    """Remove a target that is no longer configured once it has no connections."""
    if not pool.removed:
        return
    if pool.connections:
        schedule_timer(context, context.now + 1.0, TimerKind.DRAIN, pool)
    elif context.database.targets.get(pool.config.name) is pool:
        del context.database.targets[pool.config.name]


def release_ownership(context: EventContext) -> None:
    """Refuse new requests; accepted ones may finish within the drain limit."""
    context.database.owns = False
    due = context.now + context.database.config.drain_limit_s
    schedule_timer(context, due, TimerKind.OWNERSHIP)
    finish_release(context)


def abort_transactions_at_limit(context: EventContext) -> None:
    """Abort the transactions that are still open at the limit after ownership was lost."""
    if context.database.owns and not context.owner.shutting_down:
        return
    for transaction in list(context.database.transactions.values()):
        abort_transaction(context, transaction, 'the daemon no longer owns the database')


def finish_release(context: EventContext) -> None:
    """Close the connections of a database that is not owned and has no requests; remove it."""
    database = context.database
    if database.owns or is_database_busy(database):
        return
    for pool in database.targets.values():
        for connection in list(pool.connections.values()):
            close_connection(context, connection)
    context.node.databases.pop(database.name, None)


def is_database_busy(database: DatabaseState) -> bool:
    """Return whether a database has a request or a transaction in flight."""
    return bool(database.pending_requests or database.transactions)


def start_shutdown(node: NodeState, owner: OwnerState) -> list[DatabaseState]:
    """Refuse new requests and return the databases with open transactions."""
    owner.shutting_down = True
    return [database for database in node.databases.values() if database.transactions]


def has_requests_in_flight(node: NodeState) -> bool:
    """Return whether any owned database has a request or a transaction in flight."""
    return any(is_database_busy(database) for database in node.databases.values())
