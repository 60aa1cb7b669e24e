"""Executors of effects on targets."""

from collections.abc import Callable
from typing import Any

from result import Err, Ok

from cassiaseam.configuration.model import TargetConfig
from cassiaseam.daemon.node import Node, executes
from cassiaseam.daemon.target_service import TargetService
from cassiaseam.messages import TargetStatus
from cassiaseam.reducer.target_io import (
    CloseConnection,
    ConnectionFailed,
    ConnectionOpened,
    ConnectionReset,
    FenceAnswered,
    FenceTarget,
    FollowAnswered,
    FollowPrimary,
    MarkTerm,
    OpenConnection,
    PollTarget,
    PromoteAnswered,
    PromoteTarget,
    ResetConnection,
    RunStatement,
    StatementFailure,
    TargetStatusFailed,
    TargetStatusReceived,
)
from cassiaseam.targets import adapter

OPEN_TIMEOUT_S = 2.0
RESET_TIMEOUT_S = 1.5
POLL_TIMEOUT_S = 0.3
FENCE_TIMEOUT_S = 1.0
PROMOTE_TIMEOUT_S = 2.0
FOLLOW_TIMEOUT_S = 5.0
MARK_TERM_TIMEOUT_S = 1.0
NOT_CONFIGURED = 'target is not configured'


@executes(OpenConnection)
def open_connection(node: Node, effect: OpenConnection) -> None:
    """Open a connection for statements."""
    service = find_service(node)
    service.opening.add(effect.connection_id)
    service.run_in_background(_open_connection(node, effect))


async def _open_connection(node: Node, effect: OpenConnection) -> None:
    service = find_service(node)
    names = (effect.database, effect.target, effect.connection_id)
    target = service.find_target(effect.database, effect.target)
    if target is None:
        service.opening.discard(effect.connection_id)
        node.dispatch(ConnectionFailed(*names, reason=NOT_CONFIGURED))
        return
    credentials = service.credentials
    opened = await adapter.open_connection(
        target, credentials.user, credentials.password, OPEN_TIMEOUT_S
    )
    is_wanted = effect.connection_id in service.opening
    service.opening.discard(effect.connection_id)
    if isinstance(opened, Err):
        node.dispatch(ConnectionFailed(*names, reason=opened.err_value.message))
        return
    connection = opened.ok_value
    if not is_wanted:
        connection.close()
        return
    service.connections[effect.connection_id] = connection
    connection.call_when_lost(lambda: report_lost_connection(node, effect))
    node.dispatch(ConnectionOpened(*names, incarnation=connection.incarnation))


def report_lost_connection(node: Node, effect: OpenConnection) -> None:
    """Report the loss of an idle connection; a running statement reports its own failure."""
    service = find_service(node)
    connection_id = effect.connection_id
    if connection_id in service.running or connection_id not in service.connections:
        return
    service.connections.pop(connection_id).close()
    reason = 'lost while idle'
    node.dispatch(ConnectionFailed(effect.database, effect.target, connection_id, reason))


@executes(CloseConnection)
def close_connection(node: Node, effect: CloseConnection) -> None:
    """Close a connection; a statement running on it fails as lost."""
    service = find_service(node)
    service.opening.discard(effect.connection_id)
    connection = service.connections.pop(effect.connection_id, None)
    if connection is not None:
        connection.close()


@executes(RunStatement)
def run_statement(node: Node, effect: RunStatement) -> None:
    """Run a statement on its connection."""
    service = find_service(node)
    service.running.add(effect.connection_id)
    service.run_in_background(_run_statement(node, effect))


async def _run_statement(node: Node, effect: RunStatement) -> None:
    service = find_service(node)
    connection = service.connections.get(effect.connection_id)
    if connection is None:
        event = adapter.build_finished_event(
            effect, failure=StatementFailure.NOT_SENT, message='connection is closed'
        )
    else:
        event = await adapter.run_statement(connection, effect)
    service.running.discard(effect.connection_id)
    if connection is not None and connection.is_closed:
        service.connections.pop(effect.connection_id, None)
    node.dispatch(event)


@executes(ResetConnection)
def reset_connection(node: Node, effect: ResetConnection) -> None:
    """Reset the session of a connection."""
    service = find_service(node)
    service.running.add(effect.connection_id)
    service.run_in_background(_reset_connection(node, effect))


async def _reset_connection(node: Node, effect: ResetConnection) -> None:
    service = find_service(node)
    connection = service.connections.get(effect.connection_id)
    succeeded = False
    if connection is not None:
        succeeded = await adapter.reset_connection(connection, RESET_TIMEOUT_S)
    service.running.discard(effect.connection_id)
    if not succeeded:
        service.connections.pop(effect.connection_id, None)
    node.dispatch(ConnectionReset(effect.database, effect.target, effect.connection_id, succeeded))


@executes(PollTarget)
def poll_target(node: Node, effect: PollTarget) -> None:
    """Read the status of a target over a dedicated connection."""
    find_service(node).run_in_background(_poll_target(node, effect, node.clock()))


async def _poll_target(node: Node, effect: PollTarget, started_at: float) -> None:
    channel = find_service(node).obtain_channel('status', effect.database, effect.target)
    names = (effect.database, effect.target, started_at)
    if channel is None:
        node.dispatch(TargetStatusFailed(*names, reason=NOT_CONFIGURED))
        return
    status = await channel.run(adapter.read_status, POLL_TIMEOUT_S)
    error = status.err_value if isinstance(status, Err) else None
    find_service(node).poll_refusals.record_poll_result((effect.database, effect.target), error)
    if isinstance(status, Ok):
        node.dispatch(TargetStatusReceived(*names, status=status.ok_value))
    else:
        node.dispatch(TargetStatusFailed(*names, reason=status.err_value.message))


@executes(FenceTarget)
def fence_target(node: Node, effect: FenceTarget) -> None:
    """Fence a target: ask it to grant a term."""
    find_service(node).run_in_background(_fence_target(node, effect))


async def _fence_target(node: Node, effect: FenceTarget) -> None:
    outcome = await _run_control_operation(
        node,
        effect,
        FENCE_TIMEOUT_S,
        lambda connection, timeout_s: adapter.fence(
            connection, effect.term, effect.promoter, timeout_s
        ),
    )
    granted = outcome is not None and outcome.granted
    status: TargetStatus | None = None if outcome is None else outcome.status
    node.dispatch(FenceAnswered(effect.database, effect.target, effect.term, granted, status))


@executes(PromoteTarget)
def promote_target(node: Node, effect: PromoteTarget) -> None:
    """Promote a target to primary in a term that it granted."""
    find_service(node).run_in_background(_promote_target(node, effect))


async def _promote_target(node: Node, effect: PromoteTarget) -> None:
    outcome = await _run_control_operation(
        node,
        effect,
        PROMOTE_TIMEOUT_S,
        lambda connection, timeout_s: adapter.promote(
            connection, effect.term, effect.promoter, timeout_s
        ),
    )
    succeeded = outcome is not None
    node.dispatch(PromoteAnswered(effect.database, effect.target, effect.term, succeeded))


@executes(MarkTerm)
def mark_term(node: Node, effect: MarkTerm) -> None:
    """Commit the first log entry in the term of a new primary."""
    find_service(node).run_in_background(_mark_term(node, effect))


async def _mark_term(node: Node, effect: MarkTerm) -> None:
    await _run_control_operation(
        node,
        effect,
        MARK_TERM_TIMEOUT_S,
        lambda connection, timeout_s: adapter.mark_term(connection, effect.term, timeout_s),
    )


@executes(FollowPrimary)
def follow_primary(node: Node, effect: FollowPrimary) -> None:
    """Make a target replicate from a primary."""
    find_service(node).run_in_background(_follow_primary(node, effect))


async def _follow_primary(node: Node, effect: FollowPrimary) -> None:
    primary = find_service(node).find_target(effect.database, effect.primary)
    outcome = None
    if primary is not None:
        outcome = await _run_follow(node, effect, primary)
    names = (effect.database, effect.target, effect.primary, effect.term)
    node.dispatch(FollowAnswered(*names, succeeded=outcome is not None))


async def _run_follow(node: Node, effect: FollowPrimary, primary: TargetConfig) -> Any:
    # Dropping diverged log entries may take long; fences must not queue behind it.
    return await _run_control_operation(
        node,
        effect,
        FOLLOW_TIMEOUT_S,
        lambda connection, timeout_s: adapter.follow(connection, primary, effect.term, timeout_s),
        purpose='follow',
    )


async def _run_control_operation(
    node: Node, effect: Any, timeout_s: float, operation: Callable, purpose: str = 'control'
) -> Any:
    channel = find_service(node).obtain_channel(purpose, effect.database, effect.target)
    if channel is None:
        return None
    outcome = await channel.run(operation, timeout_s)
    return outcome.ok_value if isinstance(outcome, Ok) else None


def find_service(node: Node) -> TargetService:
    """Return the service that holds the connections to targets."""
    return node.services[TargetService]
