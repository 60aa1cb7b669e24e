"""Event handlers of the owner role, registered with the reducer."""

from typing import Any

from cassiaseam.configuration.model import (
    DatabaseConfigured,
    DatabaseRemoved,
    OwnershipChanged,
)
from cassiaseam.errors import ErrorKind

# The owner role reads the state that the group role has updated for the same event, so the
# handlers of the group role are registered first.
from cassiaseam.group import handlers as _group_handlers  # noqa: F401
from cassiaseam.group.monitoring import request_poll
from cassiaseam.messages import RequestKind
from cassiaseam.owner.acknowledgement import check_commits
from cassiaseam.owner.admission import accept_request

# Imported before the handlers below are registered, so that its handler adopts a database before
# `handle_request` accepts the request.
from cassiaseam.owner.adoption import acquire_ownership, confirm_ownership, end_adoption
from cassiaseam.owner.answers import build_refusal, refuse_request, unregister_request
from cassiaseam.owner.cut_off import refuse_held_writes
from cassiaseam.owner.dispatch import dispatch_requests, retry_parked_reads
from cassiaseam.owner.drain import (
    apply_configuration,
    finish_release,
    release_ownership,
    start_shutdown,
)
from cassiaseam.owner.events import ShutdownStarted
from cassiaseam.owner.expiry import run_due_timers
from cassiaseam.owner.incarnations import apply_status
from cassiaseam.owner.pool import (
    accept_connection,
    count_target_failure,
    finish_reset,
    remove_connection,
)
from cassiaseam.owner.state import (
    Connection,
    ConnectionPhase,
    EventContext,
    PendingRequest,
    RequestPhase,
    TimerKind,
    create_context,
    ensure_owner_state,
    is_monitored,
    schedule_timer,
)
from cassiaseam.owner.statements import finish_statement, handle_connection_loss
from cassiaseam.owner.terms import apply_term
from cassiaseam.owner.transactions import abandon_transaction, withdraw_statement
from cassiaseam.reducer.common import (
    EntryLost,
    RequestArrived,
    RequestCancelled,
    SessionClosed,
    Tick,
)
from cassiaseam.reducer.node_state import NodeState
from cassiaseam.reducer.registry import handles
from cassiaseam.reducer.target_io import (
    ConnectionFailed,
    ConnectionOpened,
    ConnectionReset,
    FenceAnswered,
    PromoteAnswered,
    StatementFinished,
    TargetStatusFailed,
    TargetStatusReceived,
)

Effects = list[Any]


def begin_event(node: NodeState, name: str, now: float, effects: Effects) -> EventContext | None:
    """Run due timers and return the context of one database, or None when it is unknown."""
    owner = ensure_owner_state(node)
    if owner.timers and owner.timers[0][0] <= now:
        run_due_timers(node, owner, now, effects)
    database = node.databases.get(name)
    if database is None:
        return None
    context = create_context(node, database, now, effects)
    if context.group.term != database.term:
        apply_term(context)
    return context


def complete_event(context: EventContext) -> Effects:
    """Start the requests that the event made runnable and return all effects."""
    dispatch_requests(context)
    context.group.open_writes = count_open_writes(context)
    if context.group.taken_over_at is not None:
        watch_inherited_locks(context)
    if not context.database.owns:
        finish_release(context)
    return context.effects


def count_open_writes(context: EventContext) -> int:
    """Return how many writes and transactions a planned promotion should wait for."""
    database = context.database
    primary = database.targets.get(context.group.primary)
    if primary is None:
        return len(database.committing)
    return len(database.committing) + primary.transaction_connections + primary.running_writes


def watch_inherited_locks(context: EventContext) -> None:
    """Report the start of the oldest running write to the group role after a takeover.

    A write that waits for a lock requests no poll, and a group without polls is checked only at
    its long interval.
    """
    group = context.group
    previous = group.oldest_write_at
    group.oldest_write_at = find_oldest_write_start(context)
    if previous is None and group.oldest_write_at is not None and is_monitored(context):
        context.effects.extend(request_poll(group, context.now))


def find_oldest_write_start(context: EventContext) -> float | None:
    """Return the start in seconds of the oldest running write on the primary, or None."""
    primary = context.database.targets.get(context.group.primary)
    if primary is None:
        return None
    writing = (
        connection.phase_started_at
        for connection in primary.connections.values()
        if connection.writes
    )
    return min(writing, default=None)


@handles(Tick)
def handle_tick(node: NodeState, _event: Tick, now: float) -> Effects:
    """Run all due timers."""
    effects: Effects = []
    run_due_timers(node, ensure_owner_state(node), now, effects)
    return effects


@handles(RequestArrived)
def handle_request(node: NodeState, event: RequestArrived, now: float) -> Effects:
    """Accept or refuse a request."""
    effects: Effects = []
    request = event.request
    context = begin_event(node, request.database, now, effects)
    if context is None:
        message = f'{node.vm} does not own database {request.database!r}'
        error = build_refusal(ErrorKind.NOT_OWNER, message)
        effects.append(refuse_request(request, error))
        return effects
    accept_request(context, request)
    return complete_event(context)


@handles(RequestCancelled)
def handle_cancel(node: NodeState, event: RequestCancelled, now: float) -> Effects:
    """Drop a cancelled request; a statement that was sent runs to its end."""
    effects: Effects = []
    context = begin_event(node, event.database, now, effects)
    pending = (
        context.database.pending_requests.get(event.request_id) if context is not None else None
    )
    if pending is None:
        return effects
    cancel_request(context, pending)
    return complete_event(context)


def cancel_request(context: EventContext, pending: PendingRequest) -> None:
    """Withdraw a request, or suppress its answer if its statement is running."""
    pending.cancelled = True
    if pending.phase is RequestPhase.RUNNING:
        return
    unregister_request(context, pending)
    if pending.transaction is not None and pending.request.kind is not RequestKind.COMMIT:
        withdraw_statement(context, pending)


@handles(SessionClosed)
def handle_session_closed(node: NodeState, event: SessionClosed, now: float) -> Effects:
    """Roll back the transactions of a session."""
    effects: Effects = []
    context = begin_event(node, event.database, now, effects)
    if context is None:
        return effects
    for transaction in tuple(context.database.transactions.values()):
        if transaction.session_id == event.session_id:
            abandon_transaction(context, transaction, 'the session was closed')
    return complete_event(context)


@handles(EntryLost)
def handle_entry_lost(node: NodeState, event: EntryLost, now: float) -> Effects:
    """Drop the requests of a lost entry daemon and roll back its transactions."""
    effects: Effects = []
    owner = ensure_owner_state(node)
    run_due_timers(node, owner, now, effects)
    requests = owner.requests_by_entry.get(event.entry, {})
    transactions = owner.transactions_by_entry.get(event.entry, {})
    names = {*requests.values(), *transactions.values()}
    for name in sorted(names):
        context = begin_event(node, name, now, effects)
        if context is not None:
            drop_entry_requests(context, event.entry)
            complete_event(context)
    return effects


def drop_entry_requests(context: EventContext, entry: str) -> None:
    """Drop the requests and transactions of an entry daemon in one database."""
    database = context.database
    pending_requests = [
        pending for pending in database.pending_requests.values() if pending.request.entry == entry
    ]
    # All are marked before the first is withdrawn: withdrawing BEGIN answers the statements of its
    # transaction unless they are marked.
    for lost in pending_requests:
        lost.cancelled = True
    for lost in pending_requests:
        cancel_request(context, lost)
    for transaction in tuple(database.transactions.values()):
        if transaction.entry == entry:
            abandon_transaction(context, transaction, 'the entry daemon was lost')


def find_connection(context: EventContext, target: str, connection_id: str) -> Connection | None:
    """Return a known connection, or None."""
    pool = context.database.targets.get(target)
    return pool.connections.get(connection_id) if pool is not None else None


@handles(ConnectionOpened)
def handle_connection_opened(node: NodeState, event: ConnectionOpened, now: float) -> Effects:
    """Add an opened connection to its pool."""
    context = begin_event(node, event.database, now, [])
    connection = find_connection(context, event.target, event.connection_id) if context else None
    if connection is None:
        return context.effects if context else []
    accept_connection(context, connection, event)
    return complete_event(context)


@handles(ConnectionFailed)
def handle_connection_failed(node: NodeState, event: ConnectionFailed, now: float) -> Effects:
    """Remove a failed connection, and end its statement or transaction."""
    effects: Effects = []
    context = begin_event(node, event.database, now, effects)
    connection = find_connection(context, event.target, event.connection_id) if context else None
    if connection is None:
        return effects
    phase = connection.phase
    if phase is ConnectionPhase.RUNNING:
        handle_connection_loss(context, connection, event.reason)
        return complete_event(context)
    transaction = connection.transaction
    remove_connection(connection)
    if transaction is not None:
        abandon_transaction(context, transaction, f'connection failed: {event.reason}')
    if phase is ConnectionPhase.OPENING:
        count_target_failure(context, connection.pool)
    return complete_event(context)


@handles(ConnectionReset)
def handle_connection_reset(node: NodeState, event: ConnectionReset, now: float) -> Effects:
    """Return a connection to the pool after a successful reset."""
    effects: Effects = []
    context = begin_event(node, event.database, now, effects)
    connection = find_connection(context, event.target, event.connection_id) if context else None
    if connection is None:
        return effects
    finish_reset(context, connection, event.succeeded)
    return complete_event(context)


@handles(StatementFinished)
def handle_statement_finished(node: NodeState, event: StatementFinished, now: float) -> Effects:
    """Answer the request of a finished statement, or wait for a majority."""
    effects: Effects = []
    context = begin_event(node, event.database, now, effects)
    if context is None:
        return effects
    finish_statement(context, event)
    return complete_event(context)


@handles(TargetStatusReceived)
def handle_status(node: NodeState, event: TargetStatusReceived, now: float) -> Effects:
    """Apply a new target status to drains, connections and waiting requests."""
    effects: Effects = []
    context = begin_event(node, event.database, now, effects)
    if context is None:
        return effects
    apply_status(context, event)
    return apply_group_change(context)


@handles(TargetStatusFailed)
@handles(FenceAnswered)
@handles(PromoteAnswered)
def handle_group_event(node: NodeState, event: Any, now: float) -> Effects:
    """Apply a change of the group made by the handlers of the group role."""
    effects: Effects = []
    context = begin_event(node, event.database, now, effects)
    if context is None:
        return effects
    return apply_group_change(context)


def apply_group_change(context: EventContext) -> Effects:
    """Answer and start the requests that a change of the group affects."""
    database = context.database
    refuse_held_writes(context)
    if database.committing:
        check_commits(context, list(database.committing.values()))
    if database.parked:
        retry_parked_reads(context)
    return complete_event(context)


@handles(DatabaseConfigured)
def handle_configured(node: NodeState, event: DatabaseConfigured, now: float) -> Effects:
    """Apply a configuration to a database that this daemon has state of."""
    effects: Effects = []
    context = begin_event(node, event.config.name, now, effects)
    if context is None:
        return effects
    # The group role ignores a configuration that is older than the one in force.
    config = context.group.config if is_monitored(context) else event.config
    apply_configuration(context, config)
    return complete_event(context)


@handles(OwnershipChanged)
def handle_ownership(node: NodeState, event: OwnershipChanged, now: float) -> Effects:
    """Acquire a database, or release it once its requests have finished."""
    effects: Effects = []
    context = begin_event(node, event.database, now, effects)
    if event.owns:
        context = acquire_ownership(node, event.database, now, effects)
    if context is None:
        return effects
    if event.owns:
        confirm_ownership(context)
    else:
        end_adoption(context, 'membership ranks another daemon first')
        release_ownership(context)
    return complete_event(context)


@handles(DatabaseRemoved)
def handle_removed(node: NodeState, event: DatabaseRemoved, now: float) -> Effects:
    """Release a database that is no longer configured once its requests have finished."""
    effects: Effects = []
    context = begin_event(node, event.database, now, effects)
    if context is None:
        return effects
    end_adoption(context, 'the database is no longer configured')
    release_ownership(context)
    return complete_event(context)


@handles(ShutdownStarted)
def handle_shutdown(node: NodeState, _event: ShutdownStarted, now: float) -> Effects:
    """Refuse new requests and limit the time of open transactions."""
    effects: Effects = []
    owner = ensure_owner_state(node)
    for database in start_shutdown(node, owner):
        context = create_context(node, database, now, effects)
        due = now + database.config.drain_limit_s
        schedule_timer(context, due, TimerKind.OWNERSHIP)
    return effects
