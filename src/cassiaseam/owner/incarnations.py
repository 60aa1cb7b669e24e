"""Effects of a target status on the connections to the target."""

from cassiaseam.owner.breaker import record_success
from cassiaseam.owner.drain import update_drain
from cassiaseam.owner.state import ConnectionPhase, EventContext, TargetPool, is_monitored
from cassiaseam.owner.statements import drop_connection
from cassiaseam.reducer.target_io import TargetStatusReceived


def apply_status(context: EventContext, event: TargetStatusReceived) -> None:
    """Apply a status unless the status of a later poll was applied already."""
    pool = context.database.targets.get(event.target)
    if pool is None or event.started_at < pool.status_started_at:
        return
    pool.status_started_at = event.started_at
    if not is_monitored(context):
        store_status(context, event)
    if pool.writes_refused_at is not None and event.started_at > pool.writes_refused_at:
        pool.writes_refused_at = None
    if event.status.incarnation != pool.incarnation:
        pool.incarnation = event.status.incarnation
        record_success(pool.breaker)
    drop_earlier_incarnations(context, pool, event)
    update_drain(context, pool)


def store_status(context: EventContext, event: TargetStatusReceived) -> None:
    """Store a status in the group state of a database that is being released.

    Its writes in flight still need confirmation that a majority holds them.
    """
    view = context.group.targets.get(event.target)
    if view is not None and event.started_at >= view.status_started_at:
        view.status = event.status
        view.status_started_at = event.started_at


def drop_earlier_incarnations(
    context: EventContext, pool: TargetPool, event: TargetStatusReceived
) -> None:
    """Drop the connections that an earlier incarnation of the target accepted."""
    incarnation = event.status.incarnation
    for connection in tuple(pool.connections.values()):
        opening = connection.phase is ConnectionPhase.OPENING
        if opening or connection.incarnation == incarnation:
            continue
        # A connection opened after the poll started may belong to a later incarnation.
        if connection.opened_at <= event.started_at:
            drop_connection(context, connection, 'the target has restarted')
