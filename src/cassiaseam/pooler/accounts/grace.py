"""End of the transactions and statements that outlast the key of their session."""

from cassiaseam.errors import ErrorKind
from cassiaseam.pooler import completion, operations
from cassiaseam.pooler.accounts import revocation
from cassiaseam.pooler.commands import StatementKind
from cassiaseam.pooler.state import CallerSession, PoolerState

# Seconds after the change of an account for which an open transaction continues.
TRANSACTION_GRACE_S = 2.0
# Seconds after the change after which a session is closed although its caller has not asked for
# the outcome of its aborted transaction. A dropped key must have no effect after 5 s.
CLOSE_AFTER_S = 4.0
_CAUSE = 'the key is no longer valid'


def end_changed_sessions(state: PoolerState, now: float) -> list:
    """Abort the transactions whose grace period is over, and close their sessions."""
    changed = state.accounts.changed_since
    effects: list = []
    for session_id, since in list(changed.items()):
        session = state.sessions.get(session_id)
        if session is None:
            del changed[session_id]
            continue
        if now - since >= TRANSACTION_GRACE_S:
            effects += end_work(state, session, now)
        if now - since >= CLOSE_AFTER_S and may_close(state, session):
            effects += completion.abandon_transaction(state, session, now)
            effects += revocation.close_session(state, session)
        else:
            effects += revocation.end_if_idle(state, session)
    return effects


def may_close(state: PoolerState, session: CallerSession) -> bool:
    """Return whether a session may be closed although its caller has an aborted transaction."""
    has_work = session.current is not None or bool(session.waiting)
    return not has_work and not revocation.may_move(state, session)


def end_work(state: PoolerState, session: CallerSession, now: float) -> list:
    """Abort the transaction of a session, or refuse its statement if no target received it.

    A COMMIT or a single statement that a target may have received gets its true answer instead.
    """
    operation = session.current
    transaction = session.transaction
    if operation is None:
        return abort_idle_transaction(state, session, now) if transaction is not None else []
    commits = operation.statement.kind is StatementKind.COMMIT
    if operations.is_sent(operation) and (transaction is None or commits):
        return []
    kind = ErrorKind.ACCESS_DENIED if transaction is None else ErrorKind.TRANSACTION_ABORTED
    return completion.fail_operation(state, operation, kind, _CAUSE, now)


def abort_idle_transaction(state: PoolerState, session: CallerSession, now: float) -> list:
    """Roll back a transaction between two statements; the next one is answered as aborted."""
    effects = completion.release_transaction(state, session, 'key_dropped', now)
    if session.transaction is not None:
        session.transaction.connection_id = completion.RELEASED_CONNECTION_ID
    return effects
