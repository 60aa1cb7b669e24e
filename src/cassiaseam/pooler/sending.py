"""Dispatch of statements to targets.

A read goes to the target with the least expected wait that has reached its floor. A statement that
commits writes is held back until a majority can confirm it.
"""

from cassiaseam.errors import ErrorKind
from cassiaseam.pooler import completion, connections, quorum, routing, sample_sharing, sampling
from cassiaseam.pooler.admission import placement
from cassiaseam.pooler.commands import Begin, Forward, StatementKind
from cassiaseam.pooler.model import Consistency
from cassiaseam.pooler.quotas import refusals, tokens
from cassiaseam.pooler.state import (
    GroupView,
    Job,
    Operation,
    PoolerState,
    Purpose,
    TransactionState,
)
from cassiaseam.pooler.target_use.causes import PollCause

# Backoff in seconds before a statement that has not run is retried.
RETRY_BACKOFF_S = 0.03
# Growth factor of the backoff per refusal by a busy target, and its maximum in seconds: a quarter
# of the shortest latency objective of the deployments.
BUSY_BACKOFF_FACTOR = 1.5
MAX_BUSY_BACKOFF_S = 0.1
# Seconds for which an operation avoids a target that has refused it.
REFUSAL_TTL_S = 0.15
# Maximum age in seconds of statuses while writes are held back; older ones are polled again.
MAX_STATUS_AGE_S = 0.05


def advance(state: PoolerState, group: GroupView, operation: Operation, now: float) -> list:
    """Take the next step of an operation without jobs."""
    if operation.done or operation.jobs:
        return []
    operation.retry_at = now + RETRY_BACKOFF_S
    session = state.sessions[operation.session_id]
    transaction = session.transaction
    refusal = None if is_pinned(transaction) else find_refusal(group, operation, now)
    if refusal is not None:
        effects = connections.reconnect_to_full_targets(state, group, session.account, now)
        return effects + completion.fail_operation(state, operation, *refusal, now)
    if is_commit_of_writes(operation, transaction) and not quorum.can_acknowledge(group, now):
        since = now - MAX_STATUS_AGE_S
        cause = PollCause.HELD_WRITE
        return sampling.poll_majority_with_primary(state, group, since, cause, now)
    if transaction is not None and transaction.connection_id:
        return send_in_transaction(state, operation, transaction, now)
    decision = tokens.take_token(state, operation, now)
    if decision.outcome in tokens.REFUSALS:
        return refusals.refuse_operation(state, operation, decision, now)
    has_token = decision.outcome is tokens.TokenOutcome.GRANTED
    return list(decision.effects) + approach_target(state, group, operation, has_token, now)


def approach_target(
    state: PoolerState, group: GroupView, operation: Operation, has_token: bool, now: float
) -> list:
    """Send an operation to a target, or obtain what it needs for that.

    The evidence for a read is obtained while its quota token is on the way. A transaction may read
    after its first statement, so that its BEGIN carries a floor also when that one writes.
    """
    floor = None
    session = state.sessions[operation.session_id]
    may_read = session.transaction is not None or not operation.is_write
    if operation.route.consistency is not Consistency.PRIMARY and may_read:
        floor = quorum.find_required_position(group, operation, session.last_commit)
        if floor is None:
            return sample_sharing.obtain_sample(
                state, group, quorum.find_freshness_bound(operation), now
            )
    operation.floor = floor
    name = choose_target(state, group, operation, floor, now) if has_token else ''
    if not name:
        return []
    effects = refresh_evidence(state, group, operation, now)
    effects += send_to_target(state, group, operation, name, floor, now)
    if operation.needs_confirmation:
        effects += sampling.poll_idle_primary(state, group, operation.started_at, now)
    return effects


def find_busy_backoff_s(state: PoolerState, attempts: int) -> float:
    """Return the backoff in seconds before a statement is retried on a busy primary.

    Load pattern: a burst, or a primary that has become slow. Retries at a fixed short interval
    arrive many times each and keep every VM busy with refusals. Jitter keeps statements that were
    refused together from being retried together.
    """
    backoff_s = RETRY_BACKOFF_S * BUSY_BACKOFF_FACTOR ** min(max(attempts - 1, 0), 10)
    return min(backoff_s, MAX_BUSY_BACKOFF_S) * (0.75 + state.rng.random() / 2)


def find_refusal(
    group: GroupView, operation: Operation, now: float
) -> tuple[ErrorKind, str] | None:
    """Return why this VM cannot serve an operation at present, or None.

    Callers are refused at once, because another VM may have the connections that this one lacks.
    """
    if operation.needs_primary and routing.is_primary_at_connection_limit(group, now):
        return ErrorKind.OVERLOADED, 'the primary has no connection left'
    if operation.sent_at is not None:
        return None
    if routing.is_majority_unreachable(group, now):
        return ErrorKind.NO_TARGET, 'fewer targets than a majority are in reach'
    if operation.needs_primary and routing.is_majority_unavailable(group, now):
        return ErrorKind.OVERLOADED, 'a majority has no connection left'
    if routing.are_all_targets_unavailable(group, now):
        return ErrorKind.OVERLOADED, 'no target has a connection left'
    return None


def is_commit_of_writes(operation: Operation, transaction: TransactionState | None) -> bool:
    """Return whether a statement commits writes, its own or those of its transaction."""
    if transaction is None:
        return operation.is_write
    is_commit = operation.statement.kind is StatementKind.COMMIT
    return is_commit and transaction.has_written


def is_pinned(transaction: TransactionState | None) -> bool:
    """Return whether a transaction is pinned to a connection."""
    return transaction is not None and transaction.connection_id > 0


def choose_target(
    state: PoolerState, group: GroupView, operation: Operation, floor, now: float
) -> str:
    """Return the target for an operation, or '' while there is none."""
    for tried, refused_at in list(operation.tried.items()):
        if now - refused_at > REFUSAL_TTL_S:
            del operation.tried[tried]
    if not operation.needs_primary:
        return placement.find_read_target(state, group, operation, floor, now)
    name = routing.find_write_target(group, now)
    return '' if name in operation.tried else name


def send_to_target(
    state: PoolerState, group: GroupView, operation: Operation, name: str, floor, now: float
) -> list:
    """Send a statement, or the BEGIN of its transaction, to a target."""
    transaction = state.sessions[operation.session_id].transaction
    operation.sent_term = group.monitor.term
    if transaction is None:
        job = build_job(state, operation, name, Forward(operation.statement, floor), now)
    else:
        command = Begin(transaction.statement.read_only, floor)
        job = build_job(state, operation, name, command, now)
    tokens.assign_token(operation, job)
    operation.jobs.append(job)
    operation.retry_at = None
    return connections.submit_job(state, group, job, now)


def build_job(
    state: PoolerState, operation: Operation, target: str, command: Begin | Forward, now: float
) -> Job:
    """Return the job that sends a command of an operation to a target."""
    purpose = Purpose.BEGIN if isinstance(command, Begin) else Purpose.STATEMENT
    account = state.sessions[operation.session_id].account
    return Job(target, command, purpose, now, operation, account)


def send_in_transaction(
    state: PoolerState, operation: Operation, transaction: TransactionState, now: float
) -> list:
    """Send a statement on the connection that its transaction is pinned to."""
    connection = state.connections.get(transaction.connection_id)
    if connection is None:
        return completion.fail_operation(
            state, operation, ErrorKind.TRANSACTION_ABORTED, 'connection lost', now
        )
    group = state.groups[operation.route.group]
    target = group.targets[connection.target]
    operation.sent_term = group.monitor.term
    transaction.has_written = transaction.has_written or operation.is_write
    command = Forward(operation.statement)
    job = build_job(state, operation, connection.target, command, now)
    operation.jobs.append(job)
    operation.retry_at = None
    return connections.start_job(state, target, connection, job, now)


def refresh_evidence(
    state: PoolerState, group: GroupView, operation: Operation, now: float
) -> list:
    """Poll the statuses that this answer needs, or renew the sample for later reads."""
    if operation.needs_confirmation:
        # The primary is polled after the read, on the same connection; see `poll_idle_primary`.
        cause = PollCause.PRIMARY_CONFIRMATION
        return sampling.poll_replicas(state, group, operation.started_at, cause, now)
    samples = group.monitor.samples
    if operation.floor is None or not samples:
        return []
    return sample_sharing.refresh_sample(state, group, operation.route.max_age_s, now)
