"""Handlers of the owner role, registered with the reducer."""

from typing import Any

from cassiaseam.configuration.model import (
    DatabaseConfigured,
    DatabaseRemoved,
    OwnershipChanged,
)
from cassiaseam.errors import ErrorKind

# The owner role decides on the state that the group role has updated for the same event, so the
# handlers of the group role are registered first.
from cassiaseam.group import handlers as _group_handlers  # noqa: F401
from cassiaseam.group.monitoring import request_poll
from cassiaseam.messages import RequestKind
from cassiaseam.owner.acknowledgement import check_commits

# Its handler adopts a database before the handler below accepts the request.
from cassiaseam.owner.adoption import confirm_ownership, end_adoption, take_ownership
from cassiaseam.owner.answers import build_refusal, forget_work, refuse_request
from cassiaseam.owner.arrival import accept_request
from cassiaseam.owner.cut_off import refuse_held_writes
from cassiaseam.owner.dispatch import dispatch_work, retry_parked_reads
from cassiaseam.owner.drain import (
    apply_configuration,
    finish_release,
    release_ownership,
    start_shutdown,
)
from cassiaseam.owner.events import ShutdownStarted
from cassiaseam.owner.expiry import run_due_timers
from cassiaseam.owner.incarnations import observe_status
from cassiaseam.owner.pool import (
    accept_connection,
    count_target_failure,
    finish_reset,
    remove_connection,
)
from cassiaseam.owner.state import (
    Connection,
    ConnectionPhase,
    TimerKind,
    Turn,
    Work,
    WorkPhase,
    ensure_owner_state,
    is_monitored,
    schedule_timer,
    start_turn,
)
from cassiaseam.owner.statements import finish_statement, lose_connection
from cassiaseam.owner.terms import observe_term
from cassiaseam.owner.transactions import leave_transaction, withdraw_statement
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


def begin_turn(node: NodeState, name: str, now: float, effects: Effects) -> Turn | None:
    """Handle what is due and return the turn of one database, or None when it is unknown."""
    owner = ensure_owner_state(node)
    if owner.timers and owner.timers[0][0] <= now:
        run_due_timers(node, owner, now, effects)
    database = node.databases.get(name)
    if database is None:
        return None
    turn = start_turn(node, database, now, effects)
    if turn.group.term != database.term:
        observe_term(turn)
    return turn


def end_turn(turn: Turn) -> Effects:
    """Start what the event made possible and return all effects."""
    dispatch_work(turn)
    turn.group.open_writes = count_open_writes(turn)
    if turn.group.taken_over_at is not None:
        watch_inherited_locks(turn)
    if not turn.database.owns:
        finish_release(turn)
    return turn.effects


def count_open_writes(turn: Turn) -> int:
    """Return how many writes and transactions a planned promotion should wait for."""
    database = turn.database
    primary = database.targets.get(turn.group.primary)
    if primary is None:
        return len(database.committing)
    return len(database.committing) + primary.held + primary.running_writes


def watch_inherited_locks(turn: Turn) -> None:
    """Tell the group role since when a write runs after a takeover.

    A write that waits for a lock asks for no poll, and a group without polls is examined only at
    its long interval.
    """
    group = turn.group
    known = group.oldest_write_at
    group.oldest_write_at = find_oldest_write(turn)
    if known is None and group.oldest_write_at is not None and is_monitored(turn):
        turn.effects.extend(request_poll(group, turn.now))


def find_oldest_write(turn: Turn) -> float | None:
    """Return the start in seconds of the oldest write that runs at the primary, or None."""
    primary = turn.database.targets.get(turn.group.primary)
    if primary is None:
        return None
    writing = (found.since for found in primary.connections.values() if found.writes)
    return min(writing, default=None)


@handles(Tick)
def handle_tick(node: NodeState, _event: Tick, now: float) -> Effects:
    """Handle everything that is due."""
    effects: Effects = []
    run_due_timers(node, ensure_owner_state(node), now, effects)
    return effects


@handles(RequestArrived)
def handle_request(node: NodeState, event: RequestArrived, now: float) -> Effects:
    """Accept or refuse a request."""
    effects: Effects = []
    request = event.request
    turn = begin_turn(node, request.database, now, effects)
    if turn is None:
        message = f'{node.vm} does not own database {request.database!r}'
        error = build_refusal(ErrorKind.NOT_OWNER, message)
        effects.append(refuse_request(request, error))
        return effects
    accept_request(turn, request)
    return end_turn(turn)


@handles(RequestCancelled)
def handle_cancel(node: NodeState, event: RequestCancelled, now: float) -> Effects:
    """Drop a request that nobody waits for; a statement that was sent runs to its end."""
    effects: Effects = []
    turn = begin_turn(node, event.database, now, effects)
    work = turn.database.works.get(event.request_id) if turn is not None else None
    if work is None:
        return effects
    cancel_work(turn, work)
    return end_turn(turn)


def cancel_work(turn: Turn, work: Work) -> None:
    """Withdraw a request, or suppress its answer when its statement runs."""
    work.cancelled = True
    if work.phase is WorkPhase.RUNNING:
        return
    forget_work(turn, work)
    if work.transaction is not None and work.request.kind is not RequestKind.COMMIT:
        withdraw_statement(turn, work)


@handles(SessionClosed)
def handle_session_closed(node: NodeState, event: SessionClosed, now: float) -> Effects:
    """Roll back the transactions of a session."""
    effects: Effects = []
    turn = begin_turn(node, event.database, now, effects)
    if turn is None:
        return effects
    for transaction in tuple(turn.database.transactions.values()):
        if transaction.session_id == event.session_id:
            leave_transaction(turn, transaction, 'the session was closed')
    return end_turn(turn)


@handles(EntryLost)
def handle_entry_lost(node: NodeState, event: EntryLost, now: float) -> Effects:
    """Drop the requests of an entry daemon and roll back its transactions."""
    effects: Effects = []
    owner = ensure_owner_state(node)
    run_due_timers(node, owner, now, effects)
    requests = owner.requests_by_entry.get(event.entry, {})
    transactions = owner.transactions_by_entry.get(event.entry, {})
    names = {*requests.values(), *transactions.values()}
    for name in sorted(names):
        turn = begin_turn(node, name, now, effects)
        if turn is not None:
            drop_entry(turn, event.entry)
            end_turn(turn)
    return effects


def drop_entry(turn: Turn, entry: str) -> None:
    """Drop the requests and transactions of an entry daemon in one database."""
    database = turn.database
    works = [work for work in database.works.values() if work.request.entry == entry]
    # All are marked before the first is withdrawn, because BEGIN takes its statements with it.
    for lost in works:
        lost.cancelled = True
    for lost in works:
        cancel_work(turn, lost)
    for transaction in tuple(database.transactions.values()):
        if transaction.entry == entry:
            leave_transaction(turn, transaction, 'the entry daemon was lost')


def find_connection(turn: Turn, target: str, connection_id: str) -> Connection | None:
    """Return a connection that is not forgotten, or None."""
    pool = turn.database.targets.get(target)
    return pool.connections.get(connection_id) if pool is not None else None


@handles(ConnectionOpened)
def handle_connection_opened(node: NodeState, event: ConnectionOpened, now: float) -> Effects:
    """Use a connection that is ready."""
    turn = begin_turn(node, event.database, now, [])
    connection = find_connection(turn, event.target, event.connection_id) if turn else None
    if connection is None:
        return turn.effects if turn else []
    accept_connection(turn, connection, event)
    return end_turn(turn)


@handles(ConnectionFailed)
def handle_connection_failed(node: NodeState, event: ConnectionFailed, now: float) -> Effects:
    """Forget a connection that failed, and end what it was used for."""
    effects: Effects = []
    turn = begin_turn(node, event.database, now, effects)
    connection = find_connection(turn, event.target, event.connection_id) if turn else None
    if connection is None:
        return effects
    phase = connection.phase
    if phase is ConnectionPhase.RUNNING:
        lose_connection(turn, connection, event.reason)
        return end_turn(turn)
    transaction = connection.transaction
    remove_connection(connection)
    if transaction is not None:
        leave_transaction(turn, transaction, f'connection failed: {event.reason}')
    if phase is ConnectionPhase.OPENING:
        count_target_failure(turn, connection.pool)
    return end_turn(turn)


@handles(ConnectionReset)
def handle_connection_reset(node: NodeState, event: ConnectionReset, now: float) -> Effects:
    """Return a connection to the pool after a successful reset."""
    effects: Effects = []
    turn = begin_turn(node, event.database, now, effects)
    connection = find_connection(turn, event.target, event.connection_id) if turn else None
    if connection is None:
        return effects
    finish_reset(turn, connection, event.succeeded)
    return end_turn(turn)


@handles(StatementFinished)
def handle_statement_finished(node: NodeState, event: StatementFinished, now: float) -> Effects:
    """Answer a request, or wait for a majority."""
    effects: Effects = []
    turn = begin_turn(node, event.database, now, effects)
    if turn is None:
        return effects
    finish_statement(turn, event)
    return end_turn(turn)


@handles(TargetStatusReceived)
def handle_status(node: NodeState, event: TargetStatusReceived, now: float) -> Effects:
    """Use a new status of a target for drains, incarnations and waiting requests."""
    effects: Effects = []
    turn = begin_turn(node, event.database, now, effects)
    if turn is None:
        return effects
    observe_status(turn, event)
    return use_group_change(turn)


@handles(TargetStatusFailed)
@handles(FenceAnswered)
@handles(PromoteAnswered)
def handle_group_event(node: NodeState, event: Any, now: float) -> Effects:
    """Use a change of the group that its own handlers made."""
    effects: Effects = []
    turn = begin_turn(node, event.database, now, effects)
    if turn is None:
        return effects
    return use_group_change(turn)


def use_group_change(turn: Turn) -> Effects:
    """Answer and start what a change of the group makes possible."""
    database = turn.database
    refuse_held_writes(turn)
    if database.committing:
        check_commits(turn, list(database.committing.values()))
    if database.parked:
        retry_parked_reads(turn)
    return end_turn(turn)


@handles(DatabaseConfigured)
def handle_configured(node: NodeState, event: DatabaseConfigured, now: float) -> Effects:
    """Apply a configuration to a database that has state here."""
    effects: Effects = []
    turn = begin_turn(node, event.config.name, now, effects)
    if turn is None:
        return effects
    # The group role ignores a configuration that is older than the one in force.
    config = turn.group.config if is_monitored(turn) else event.config
    apply_configuration(turn, config)
    return end_turn(turn)


@handles(OwnershipChanged)
def handle_ownership(node: NodeState, event: OwnershipChanged, now: float) -> Effects:
    """Create the state of a database, or let it finish its work."""
    effects: Effects = []
    turn = begin_turn(node, event.database, now, effects)
    if event.owns:
        turn = take_ownership(node, event.database, now, effects)
    if turn is None:
        return effects
    if event.owns:
        confirm_ownership(turn)
    else:
        end_adoption(turn, 'membership ranks another daemon first')
        release_ownership(turn)
    return end_turn(turn)


@handles(DatabaseRemoved)
def handle_removed(node: NodeState, event: DatabaseRemoved, now: float) -> Effects:
    """Let a database that is no longer configured finish its work."""
    effects: Effects = []
    turn = begin_turn(node, event.database, now, effects)
    if turn is None:
        return effects
    end_adoption(turn, 'the database is no longer configured')
    release_ownership(turn)
    return end_turn(turn)


@handles(ShutdownStarted)
def handle_shutdown(node: NodeState, _event: ShutdownStarted, now: float) -> Effects:
    """Refuse new work and limit the time of open transactions."""
    effects: Effects = []
    owner = ensure_owner_state(node)
    for database in start_shutdown(node, owner):
        turn = start_turn(node, database, now, effects)
        due = now + database.config.drain_limit_s
        schedule_timer(turn, due, TimerKind.OWNERSHIP)
    return effects
