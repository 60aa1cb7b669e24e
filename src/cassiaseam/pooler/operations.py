"""Statements of callers from their arrival to their final answer.

A read goes to the target with the least expected wait that holds its floor. It is sent again when
it has not run, or when the connection was lost. A write is sent again only when the target said
that it has not run. What changes data is acknowledged when a majority holds it.
"""

from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.pooler import (
    detection,
    endings,
    quorum,
    replies,
    routing,
    sending,
    sessions,
    sharing,
)
from cassiaseam.pooler.commands import (
    SessionState,
    Statement,
    StatementKind,
)
from cassiaseam.pooler.events import StatementArrived
from cassiaseam.pooler.model import Consistency, Route
from cassiaseam.pooler.state import (
    CallerSession,
    GroupView,
    Operation,
    PoolerState,
    TransactionState,
)
from cassiaseam.reducer.registry import handles

# Age in seconds after which a read that waits for its answer is sent to a second target.
HEDGE_AFTER_S = 0.3
# Statements on one group that may be under way on one VM.
MAX_OPERATIONS = 500
# Part of the statement time limit kept for the way of the final answer.
ANSWER_MARGIN_S = 0.05


@handles(StatementArrived)
def accept_statement(state: PoolerState, event: StatementArrived, now: float) -> list:
    """Run a statement, or queue it behind the one under way on its session."""
    session = state.sessions.get(event.session_id)
    if session is None or not session.accepted:
        return []
    if session.current is not None:
        if len(session.waiting) < sessions.MAX_WAITING_STATEMENTS:
            session.waiting.append(event.statement)
        return []
    return run_statement(state, session, event.statement, now)


def run_statement(
    state: PoolerState, session: CallerSession, statement: Statement, now: float
) -> list:
    """Start one statement of a session that has none under way."""
    error = sessions.check_statement(session, statement)
    if error is not None:
        return sessions.answer_error(session, error)
    if session.state is SessionState.FAILED_TRANSACTION:
        return endings.end_failed_transaction(state, session, statement, now)
    kind = statement.kind
    if kind in {StatementKind.SET, StatementKind.PREPARE, StatementKind.DEALLOCATE}:
        return sessions.run_session_statement(session, statement)
    if kind is StatementKind.ROLLBACK:
        effects = endings.abandon_transaction(state, session, now)
        return effects + sessions.answer_local(session)
    transaction = session.transaction
    route = transaction.route if transaction else sessions.find_route(state, session)
    if route is None:
        error = RequestError(ErrorKind.UNKNOWN_DATABASE, f'no database {session.database!r}')
        return sessions.answer_error(session, error)
    if kind is StatementKind.BEGIN:
        return begin_transaction(session, statement, route, now)
    return start_operation(state, session, statement, route, now)


def begin_transaction(
    session: CallerSession, statement: Statement, route: Route, now: float
) -> list:
    """Open a transaction; it gets a connection with its first statement."""
    session.transaction = TransactionState(statement, route, now, last_used_at=now)
    session.state = SessionState.IN_TRANSACTION
    return sessions.answer_local(session)


def start_operation(
    state: PoolerState, session: CallerSession, statement: Statement, route: Route, now: float
) -> list:
    """Create the operation of a statement that a target has to run, and start it."""
    transaction = session.transaction
    writes = sessions.is_write(session, statement)
    plain = transaction is not None and not transaction.statement.read_only
    on_primary = route.consistency is Consistency.PRIMARY
    operation = Operation(
        session_id=session.session_id,
        statement=statement,
        route=route,
        arrived_at=now,
        deadline=now + max(route.statement_timeout_s - ANSWER_MARGIN_S, ANSWER_MARGIN_S),
        started_at=transaction.started_at if transaction else now,
        is_write=writes,
        needs_primary=writes or plain or on_primary,
        needs_confirmation=on_primary
        and not writes
        and not (transaction is not None and transaction.confirmed),
    )
    session.current = operation
    group = state.groups.get(route.group)
    if group is None:
        return endings.refuse(
            state, operation, ErrorKind.NO_TARGET, 'the group has no targets', now
        )
    if routing.is_cut_off(group, now) and not sending.is_pinned(transaction):
        text = 'this VM does not reach a majority of the targets'
        return endings.refuse(state, operation, ErrorKind.NO_TARGET, text, now)
    if len(group.operations) >= MAX_OPERATIONS and not sending.is_pinned(transaction):
        return endings.refuse(
            state, operation, ErrorKind.OVERLOADED, 'too many statements wait', now
        )
    group.operations.append(operation)
    effects = sending.advance(state, group, operation, now)
    if operation.needs_primary and not group.monitor.primary:
        effects += detection.survey_targets(state, group, now)
    return effects


def expire_operations(state: PoolerState, group: GroupView, now: float) -> list:
    """Answer operations whose time is over, retry those that wait, hedge slow reads."""
    effects: list = []
    for operation in list(group.operations):
        if operation.done:
            continue
        if now >= operation.deadline:
            effects += expire_operation(state, operation, now)
        elif operation.reply is not None:
            effects += replies.conclude(state, group, operation, now)
        elif not operation.jobs:
            if operation.retry_at is None or now >= operation.retry_at:
                effects += sending.advance(state, group, operation, now)
        else:
            effects += hedge_read(state, group, operation, now)
    return effects


def expire_operation(state: PoolerState, operation: Operation, now: float) -> list:
    """Give an operation up at its deadline."""
    session = state.sessions[operation.session_id]
    transaction = session.transaction
    commits = operation.statement.kind is StatementKind.COMMIT
    if commits:
        unsure = transaction.has_written and is_sent(operation)
    else:
        unsure = operation.is_write and transaction is None and is_sent(operation)
    if unsure:
        group = state.groups.get(operation.route.group)
        if group is not None and operation.commit is not None:
            group.unconfirmed = operation.commit
        return endings.refuse(
            state, operation, ErrorKind.OUTCOME_UNKNOWN, 'no confirmation in time', now
        )
    if transaction is not None:
        return endings.refuse(
            state, operation, ErrorKind.TRANSACTION_ABORTED, 'no answer in time', now
        )
    if is_sent(operation):
        return endings.refuse(
            state, operation, ErrorKind.STATEMENT_TIMEOUT, 'no answer in time', now
        )
    # Every target that it was sent to has said that it has not run.
    return endings.refuse(state, operation, ErrorKind.OVERLOADED, 'no target in time', now)


def is_sent(operation: Operation) -> bool:
    """Return whether the statement may have reached a target."""
    if operation.reply is not None:
        return True
    return any(job.sent_at is not None for job in operation.jobs)


def hedge_read(state: PoolerState, group: GroupView, operation: Operation, now: float) -> list:
    """Send a read that waits long for its answer to a second target."""
    if operation.needs_primary or len(operation.jobs) > 1:
        return []
    job = operation.jobs[0]
    if now - job.created_at < HEDGE_AFTER_S:
        return []
    session = state.sessions[operation.session_id]
    if session.transaction is not None:
        return []
    floor = quorum.find_required_position(group, operation, session.last_commit)
    if floor is None:
        return sharing.obtain_sample(state, group, quorum.find_freshness_bound(operation), now)
    operation.tried[job.target] = now
    name = routing.find_read_target(state, group, operation, floor, now)
    if not name:
        return []
    return sending.send_to_target(state, group, operation, name, floor, now)
