"""Consequences of a status for the connections to its target."""

from cassiaseam.owner.breaker import record_success
from cassiaseam.owner.drain import update_drain
from cassiaseam.owner.state import ConnectionPhase, TargetPool, Turn, is_monitored
from cassiaseam.owner.statements import drop_connection
from cassiaseam.reducer.target_io import TargetStatusReceived


def observe_status(turn: Turn, event: TargetStatusReceived) -> None:
    """Take a status into account unless a later poll was answered before."""
    pool = turn.database.targets.get(event.target)
    if pool is None or event.started_at < pool.status_started_at:
        return
    pool.status_started_at = event.started_at
    if not is_monitored(turn):
        enter_status(turn, event)
    if pool.writes_refused_at is not None and event.started_at > pool.writes_refused_at:
        pool.writes_refused_at = None
    if event.status.incarnation != pool.incarnation:
        pool.incarnation = event.status.incarnation
        record_success(pool.breaker)
    drop_earlier_incarnations(turn, pool, event)
    update_drain(turn, pool)


def enter_status(turn: Turn, event: TargetStatusReceived) -> None:
    """Enter a status into the group state of a database that is being given up.

    Its writes in flight still need evidence that a majority holds them.
    """
    view = turn.group.targets.get(event.target)
    if view is not None and event.started_at >= view.status_started_at:
        view.status = event.status
        view.status_started_at = event.started_at


def drop_earlier_incarnations(turn: Turn, pool: TargetPool, event: TargetStatusReceived) -> None:
    """Forget the connections that an earlier incarnation of the target accepted."""
    incarnation = event.status.incarnation
    for connection in tuple(pool.connections.values()):
        opening = connection.phase is ConnectionPhase.OPENING
        if opening or connection.incarnation == incarnation:
            continue
        # A connection opened after the poll started may belong to a still later incarnation.
        if connection.opened_at <= event.started_at:
            drop_connection(turn, connection, 'the target has restarted')
