"""Sessions that peers relay to this VM, when the version of the configuration in force changes.

A relayed session is served under the version that both VMs had when it began. After this VM has
applied another one, a session ends as soon as it is idle. An open transaction keeps its route and
may finish.
"""

from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.pooler import sessions
from cassiaseam.pooler.commands import SessionState, Statement
from cassiaseam.pooler.events import WriteLog
from cassiaseam.pooler.state import CallerSession, PoolerState


def apply_version(state: PoolerState) -> list:
    """Forget which peers accept sessions, and end idle sessions of another version.

    The acceptances were given for the former version; peers that still have it refuse the new one.
    """
    state.relay.accepting_until.clear()
    effects: list = []
    for session in list(state.sessions.values()):
        if session.accepted:
            effects += end_if_idle(state, session)
    return effects


def refuse_statement(
    state: PoolerState, session: CallerSession, statement: Statement
) -> list | None:
    """Refuse a new statement of a session of another version; None lets it run.

    The refusal says that the statement has not run, and nothing of it is kept.
    """
    if session.state is not SessionState.IDLE or not sessions.is_relay_outdated(state, session):
        return None
    error = RequestError(ErrorKind.NO_TARGET, 'the configuration changed')
    fields = {
        'request_id': statement.request_id,
        'verb': statement.kind.value,
        'kind': error.kind.value,
        'cause': error.message,
        **describe_versions(state, session),
    }
    return [WriteLog('request_failed', fields), *sessions.answer_error(session, error)]


def end_if_idle(state: PoolerState, session: CallerSession) -> list:
    """Close a session of another version if it is idle."""
    if session.session_id not in state.sessions or not sessions.is_relay_outdated(state, session):
        return []
    if session.current is not None or session.waiting or session.state is not SessionState.IDLE:
        return []
    fields = {'cause': 'other_version', **describe_versions(state, session)}
    return [WriteLog('session_closed', fields), *sessions.close_session(state, session)]


def describe_versions(state: PoolerState, session: CallerSession) -> dict[str, object]:
    """Return the log fields for a session whose version is not the one in force."""
    return {
        'session': session.session_id,
        'relayed_version': session.relayed_version,
        'version': state.config.version,
    }
