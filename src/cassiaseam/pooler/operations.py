"""Processing of callers' statements, from arrival to final answer.

A read goes to the target with the least expected wait that has reached its floor. It is retried
when it has not run or its connection was lost. A write is retried only when the target reports
that it has not run. Writes and commits are acknowledged once a majority holds them.
"""

from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.pooler import (
    completion,
    detection,
    quorum,
    replies,
    routing,
    sample_sharing,
    sending,
    sessions,
)
from cassiaseam.pooler.accounts import revocation
from cassiaseam.pooler.admission import ordering, placement, target_load
from cassiaseam.pooler.commands import (
    SessionState,
    Statement,
    StatementKind,
)
from cassiaseam.pooler.events import StatementArrived
from cassiaseam.pooler.model import Consistency, Route
from cassiaseam.pooler.quotas import tokens
from cassiaseam.pooler.relay import versions
from cassiaseam.pooler.state import (
    CallerSession,
    GroupView,
    Operation,
    PoolerState,
    TransactionState,
)
from cassiaseam.reducer.registry import handles

# Delay in seconds before a hedged request is sent to a second target for an unanswered read.
HEDGE_DELAY_S = 0.3
# Limit of operations in progress per group on one VM.
MAX_GROUP_OPERATIONS = 500
# Part of the statement timeout that is reserved for delivering the final answer.
ANSWER_MARGIN_S = 0.05


@handles(StatementArrived)
def accept_statement(state: PoolerState, event: StatementArrived, now: float) -> list:
    """Run a statement, or queue it behind the current one of its session."""
    session = state.sessions.get(event.session_id)
    if session is None or not session.accepted:
        return []
    if session.current is not None:
        if len(session.waiting) < sessions.MAX_WAITING_STATEMENTS:
            session.waiting.append(event.statement)
        return []
    effects = revocation.refuse_statement(state, session)
    if effects is None:
        effects = versions.refuse_statement(state, session, event.statement)
    if effects is None:
        effects = run_statement(state, session, event.statement, now)
    effects += revocation.end_if_idle(state, session)
    return effects + versions.end_if_idle(state, session)


def run_statement(
    state: PoolerState, session: CallerSession, statement: Statement, now: float
) -> list:
    """Run a statement on a session without a current operation."""
    error = sessions.check_statement(session, statement)
    if error is not None:
        return sessions.answer_error(session, error)
    if session.state is SessionState.FAILED_TRANSACTION:
        return completion.end_failed_transaction(state, session, statement, now)
    kind = statement.kind
    if kind in {StatementKind.SET, StatementKind.PREPARE, StatementKind.DEALLOCATE}:
        return sessions.run_session_statement(session, statement)
    if kind is StatementKind.ROLLBACK:
        effects = completion.abandon_transaction(state, session, now)
        return effects + sessions.answer_success(session)
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
    """Open a transaction; its first statement pins a connection."""
    session.transaction = TransactionState(statement, route, now, last_used_at=now)
    session.state = SessionState.IN_TRANSACTION
    return sessions.answer_success(session)


def start_operation(
    state: PoolerState, session: CallerSession, statement: Statement, route: Route, now: float
) -> list:
    """Create and start the operation for a statement that requires a target."""
    transaction = session.transaction
    writes = sessions.is_write(session, statement)
    is_read_write = transaction is not None and not transaction.statement.read_only
    on_primary = route.consistency is Consistency.PRIMARY
    operation = Operation(
        session_id=session.session_id,
        statement=statement,
        route=route,
        arrived_at=now,
        deadline=find_deadline(state, route, now),
        started_at=transaction.started_at if transaction else now,
        is_write=writes,
        needs_primary=writes or is_read_write or on_primary,
        needs_confirmation=on_primary
        and not writes
        and not (transaction is not None and transaction.confirmed),
    )
    session.current = operation
    if now >= state.answer_by:
        return completion.fail_operation(
            state, operation, ErrorKind.OVERLOADED, 'the daemon stops', now
        )
    group = state.groups.get(route.group)
    if group is None:
        return completion.fail_operation(
            state, operation, ErrorKind.NO_TARGET, 'the group has no targets', now
        )
    if routing.is_majority_unreachable(group, now) and not sending.is_pinned(transaction):
        text = 'this VM does not reach a majority of the targets'
        return completion.fail_operation(state, operation, ErrorKind.NO_TARGET, text, now)
    if len(group.operations) >= MAX_GROUP_OPERATIONS and not sending.is_pinned(transaction):
        return completion.fail_operation(
            state, operation, ErrorKind.OVERLOADED, 'too many statements wait', now
        )
    group.operations.append(operation)
    effects = sending.advance(state, group, operation, now)
    if operation.needs_primary and not group.monitor.primary:
        effects += detection.survey_targets(state, group, now)
    return effects


def find_deadline(state: PoolerState, route: Route, now: float) -> float:
    """Return the time by which the final answer to a statement that arrives now is due."""
    timeout_s = max(route.statement_timeout_s - ANSWER_MARGIN_S, ANSWER_MARGIN_S)
    return min(now + timeout_s, state.answer_by)


def expire_operations(state: PoolerState, group: GroupView, now: float) -> list:
    """Expire overdue operations, retry waiting ones, and hedge slow reads."""
    effects: list = []
    for operation in ordering.order_operations(state, group, now):
        if operation.done:
            continue
        if now >= operation.deadline:
            effects += expire_operation(state, operation, now)
        elif operation.reply is not None:
            effects += replies.deliver_when_confirmed(state, group, operation, now)
        elif not operation.jobs:
            if operation.retry_at is None or now >= operation.retry_at:
                effects += sending.advance(state, group, operation, now)
        else:
            effects += hedge_read(state, group, operation, now)
    return effects


def expire_operation(state: PoolerState, operation: Operation, now: float) -> list:
    """Fail an operation that has reached its deadline."""
    session = state.sessions[operation.session_id]
    transaction = session.transaction
    is_commit = operation.statement.kind is StatementKind.COMMIT
    if is_commit:
        outcome_unknown = transaction.has_written and is_sent(operation)
    else:
        outcome_unknown = operation.is_write and transaction is None and is_sent(operation)
    if outcome_unknown:
        group = state.groups.get(operation.route.group)
        if group is not None and operation.commit is not None:
            group.unconfirmed = operation.commit
        return completion.fail_operation(
            state, operation, ErrorKind.OUTCOME_UNKNOWN, 'no confirmation in time', now
        )
    if transaction is not None:
        return completion.fail_operation(
            state, operation, ErrorKind.TRANSACTION_ABORTED, 'no answer in time', now
        )
    if is_sent(operation):
        return completion.fail_operation(
            state, operation, ErrorKind.STATEMENT_TIMEOUT, 'no answer in time', now
        )
    # Every target that received it has reported that it has not run.
    return completion.fail_operation(
        state, operation, ErrorKind.OVERLOADED, 'no target in time', now
    )


def is_sent(operation: Operation) -> bool:
    """Return whether the statement may have reached a target."""
    if operation.reply is not None:
        return True
    return any(job.sent_at is not None for job in operation.jobs)


def hedge_read(state: PoolerState, group: GroupView, operation: Operation, now: float) -> list:
    """Send a hedged request for a slow read to a second target."""
    if operation.needs_primary or len(operation.jobs) > 1:
        return []
    job = operation.jobs[0]
    if now - job.created_at < HEDGE_DELAY_S:
        return []
    session = state.sessions[operation.session_id]
    if session.transaction is not None:
        return []
    floor = quorum.find_required_position(group, operation, session.last_commit)
    if floor is None:
        return sample_sharing.obtain_sample(
            state, group, quorum.find_freshness_bound(operation), now
        )
    decision = tokens.take_token(state, operation, now)
    if decision.outcome is not tokens.TokenOutcome.GRANTED:
        return list(decision.effects)
    operation.tried[job.target] = now
    name = placement.find_read_target(state, group, operation, floor, now)
    if not name:
        return []
    target_load.record_hedge(group.targets[job.target], job, now)
    return sending.send_to_target(state, group, operation, name, floor, now)
