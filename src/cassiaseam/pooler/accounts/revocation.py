"""Sessions whose account a new configuration has changed.

A session whose key was dropped or given to another account is closed as soon as it is idle. A
session on a route that began or ceased to need a key continues under its new account.
"""

from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.pooler import connections, sessions
from cassiaseam.pooler.accounts import pool
from cassiaseam.pooler.accounts.identity import ANONYMOUS, identify_account
from cassiaseam.pooler.accounts.state import count_event
from cassiaseam.pooler.commands import SessionState
from cassiaseam.pooler.events import WriteLog
from cassiaseam.pooler.state import CallerSession, PoolerState
from cassiaseam.pooler.target_use.causes import CloseCause


def find_account(state: PoolerState, session: CallerSession) -> str | None:
    """Return the account of a session under the configuration in force, or None."""
    route = sessions.find_route(state, session)
    if route is None and session.account == ANONYMOUS:
        return ANONYMOUS
    return identify_account(state.config, route, session.key_digest)


def apply_accounts(state: PoolerState, now: float) -> list:
    """End or move the sessions whose account a new configuration has changed."""
    changed = state.accounts.changed_since
    effects: list = []
    for session in list(state.sessions.values()):
        if not session.accepted:
            continue
        if find_account(state, session) == session.account:
            changed.pop(session.session_id, None)
            continue
        changed.setdefault(session.session_id, now)
        effects += end_if_idle(state, session)
    return effects


def is_changed(state: PoolerState, session: CallerSession) -> bool:
    """Return whether the account of a session has changed and the session has yet to end."""
    return session.session_id in state.accounts.changed_since


def end_if_idle(state: PoolerState, session: CallerSession) -> list:
    """Close a session whose account has changed, or move it to its account, if it is idle."""
    if not is_changed(state, session) or session.session_id not in state.sessions:
        return []
    if session.current is not None or session.waiting or session.state is not SessionState.IDLE:
        return []
    if may_move(state, session):
        move_session(state, session)
        return []
    return close_session(state, session)


def may_move(state: PoolerState, session: CallerSession) -> bool:
    """Return whether a session continues under its new account instead of being closed."""
    account = find_account(state, session)
    return account is not None and ANONYMOUS in {account, session.account}


def move_session(state: PoolerState, session: CallerSession) -> None:
    """Move a session without a transaction to its new account."""
    session.account = find_account(state, session)
    state.accounts.changed_since.pop(session.session_id, None)


def close_session(state: PoolerState, session: CallerSession) -> list:
    """Close a session whose key is no longer that of its account."""
    cause = 'key_dropped' if find_account(state, session) is None else 'key_moved'
    state.accounts.changed_since.pop(session.session_id, None)
    count_event(state.accounts.sessions_closed, cause)
    fields = {
        'session': session.session_id,
        'account': session.account,
        'cause': cause,
        'version': state.config.version,
    }
    return [WriteLog('session_closed', fields), *sessions.close_session(state, session)]


def refuse_statement(state: PoolerState, session: CallerSession) -> list | None:
    """Refuse a new statement of a session whose account has changed; None lets it run.

    Statements of an open transaction run until `grace.end_changed_sessions` aborts it.
    """
    if not is_changed(state, session) or session.state is not SessionState.IDLE:
        return None
    if may_move(state, session):
        move_session(state, session)
        return None
    error = RequestError(ErrorKind.ACCESS_DENIED, 'the key is no longer valid')
    return sessions.answer_error(session, error)


def close_unused_connections(state: PoolerState) -> list:
    """Close the connections of accounts that the configuration in force no longer has."""
    if not pool.has_accounts(state):
        return []
    names = {ANONYMOUS, *state.config.accounts.accounts}
    effects: list = []
    for group in state.groups.values():
        for target in group.targets.values():
            for connection in list(target.connections.values()):
                if connection.account in names:
                    continue
                if pool.is_idle(connection):
                    cause = CloseCause.ACCOUNT_REMOVED
                    effects += connections.close_connection(state, target, connection, cause)
                else:
                    connection.closing = True
    return effects
