"""Sessions of callers: opening, closing, and statements that require no target."""

from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.pooler.accounts.identity import identify_account
from cassiaseam.pooler.accounts.state import count_event
from cassiaseam.pooler.commands import SessionState, Statement, StatementKind
from cassiaseam.pooler.events import (
    AcceptCaller,
    AnswerCaller,
    CallerConnected,
    CloseCaller,
    RefuseCaller,
    StatementMalformed,
    WriteLog,
)
from cassiaseam.pooler.model import Route
from cassiaseam.pooler.relay.decisions import choose_relay_peers
from cassiaseam.pooler.relay.events import RelaySession
from cassiaseam.pooler.state import CallerSession, Operation, PoolerState
from cassiaseam.reducer.registry import handles

# Seconds after the start of the daemon for which callers wait for the first configuration. Callers
# time out after 2 s; those that connect later are refused at once.
CONFIGURATION_TIMEOUT_S = 1.5
# Seconds after the stop request for which idle sessions stay open, so that the load balancer has
# removed the VM before callers reconnect.
STOP_GRACE_S = 1.6
# Limit of statements that are queued behind the current one on a session.
MAX_WAITING_STATEMENTS = 64


@handles(CallerConnected)
def open_session(state: PoolerState, event: CallerConnected, now: float) -> list:
    """Open a session, or keep it pending until the first configuration is known."""
    session = CallerSession(
        event.session_id,
        event.database,
        event.key_digest,
        relayable=event.relayable,
        relayed_version=event.relayed_version,
    )
    state.sessions[event.session_id] = session
    if not is_configured(state):
        return []
    return admit_session(state, session, now)


def is_configured(state: PoolerState) -> bool:
    """Return whether the configuration, targets and recorded group sizes are known."""
    return state.config is not None and state.targets_known and state.sizes.known


def admit_session(state: PoolerState, session: CallerSession, now: float) -> list:
    """Accept or relay a session if its database has a route and its key is known.

    Any other session is refused.
    """
    if is_relay_outdated(state, session):
        error = RequestError(ErrorKind.NO_TARGET, 'the configuration changed')
        return refuse_session(state, session, error, 'other_version')
    route = find_route(state, session)
    if route is None:
        error = RequestError(ErrorKind.UNKNOWN_DATABASE, describe_unknown_database(state, session))
        return refuse_session(state, session, error, 'no_route')
    account = identify_account(state.config, route, session.key_digest)
    if account is None:
        error = RequestError(ErrorKind.ACCESS_DENIED, 'unknown key')
        return refuse_session(state, session, error, 'unknown_key')
    group = state.groups.get(route.group)
    peers = choose_relay_peers(state, group, session.session_id, now) if session.relayable else ()
    if peers:
        del state.sessions[session.session_id]
        state.relay.outgoing.add(session.session_id)
        return [RelaySession(session.session_id, route.group, peers, state.config.version)]
    session.account = account
    session.accepted = True
    return [AcceptCaller(session.session_id)]


def refuse_session(
    state: PoolerState, session: CallerSession, error: RequestError, cause: str
) -> list:
    """Remove a session and refuse its caller."""
    del state.sessions[session.session_id]
    count_event(state.accounts.sessions_refused, cause)
    fields = {'version': state.config.version, 'cause': cause}
    # Without a route, the name may be a key that the caller sent in the place of the database.
    if state.config.accounts is None or find_route(state, session) is not None:
        fields = {'database': session.database, **fields}
    return [WriteLog('session_refused', fields), RefuseCaller(session.session_id, error)]


def describe_unknown_database(state: PoolerState, session: CallerSession) -> str:
    """Return an error text, without the name if the caller may have sent a key in its place."""
    if state.config.accounts is not None:
        return 'no such database'
    return f'no database {session.database!r}'


def resolve_pending_sessions(state: PoolerState, now: float) -> list:
    """Accept or refuse pending sessions once configured, and refuse those that time out."""
    effects: list = []
    for session in list(state.sessions.values()):
        if session.accepted:
            continue
        if is_configured(state):
            effects += admit_session(state, session, now)
        elif now - state.started_at > CONFIGURATION_TIMEOUT_S:
            del state.sessions[session.session_id]
            count_event(state.accounts.sessions_refused, 'no_configuration')
            error = RequestError(ErrorKind.NO_TARGET, 'no configuration yet')
            effects.append(RefuseCaller(session.session_id, error))
    return effects


def find_route(state: PoolerState, session: CallerSession) -> Route | None:
    """Return the route for the database of a session, or None."""
    return state.config.routes.get(session.database) if state.config else None


@handles(StatementMalformed)
def answer_malformed(state: PoolerState, event: StatementMalformed, now: float) -> list:
    """Answer a malformed statement with an error and keep the session open."""
    session = state.sessions.get(event.session_id)
    if session is None:
        return []
    error = RequestError(ErrorKind.BAD_REQUEST, event.reason)
    return [AnswerCaller(session.session_id, session.state, error=error)]


def answer_success(session: CallerSession) -> list:
    """Acknowledge a statement that requires no target."""
    return [AnswerCaller(session.session_id, session.state)]


def answer_error(session: CallerSession, error: RequestError) -> list:
    """Answer a statement with an error."""
    return [AnswerCaller(session.session_id, session.state, error=error)]


def run_session_statement(session: CallerSession, statement: Statement) -> list:
    """Run SET, PREPARE or DEALLOCATE, which only change the session."""
    if statement.kind is StatementKind.SET:
        session.variables[statement.name] = statement.argument
        return answer_success(session)
    if statement.kind is StatementKind.PREPARE:
        session.prepared[statement.name] = statement
        return answer_success(session)
    if session.prepared.pop(statement.name, None) is None:
        error = RequestError(ErrorKind.UNKNOWN_OBJECT, f'no statement {statement.name!r}')
        return answer_error(session, error)
    return answer_success(session)


def check_statement(session: CallerSession, statement: Statement) -> RequestError | None:
    """Return the error for a statement that is invalid in the state of its session, or None."""
    kind = statement.kind
    if session.state is SessionState.FAILED_TRANSACTION:
        if kind not in {StatementKind.COMMIT, StatementKind.ROLLBACK}:
            return RequestError(ErrorKind.BAD_REQUEST, 'the transaction has failed')
        return None
    in_transaction = session.transaction is not None
    if kind is StatementKind.BEGIN and in_transaction:
        return RequestError(ErrorKind.BAD_REQUEST, 'a transaction is open')
    if kind in {StatementKind.COMMIT, StatementKind.ROLLBACK} and not in_transaction:
        return RequestError(ErrorKind.BAD_REQUEST, 'no transaction is open')
    if kind is StatementKind.EXECUTE and statement.name not in session.prepared:
        return RequestError(ErrorKind.UNKNOWN_OBJECT, f'no statement {statement.name!r}')
    return None


def is_write(session: CallerSession, statement: Statement) -> bool:
    """Return whether a statement may change data."""
    if statement.kind is StatementKind.EXECUTE:
        return session.prepared[statement.name].writes
    return statement.kind is StatementKind.WRITE


def close_session(state: PoolerState, session: CallerSession) -> list:
    """Close an idle session."""
    state.sessions.pop(session.session_id, None)
    return [CloseCaller(session.session_id)]


def is_closing_sessions(state: PoolerState, now: float) -> bool:
    """Return whether the daemon is stopping and closes sessions as soon as they are idle."""
    return state.stopping_since is not None and now - state.stopping_since >= STOP_GRACE_S


def get_version(state: PoolerState) -> int:
    """Return the version of the configuration in force, or 0 without one."""
    return state.config.version if state.config is not None else 0


def is_relay_outdated(state: PoolerState, session: CallerSession) -> bool:
    """Return whether a peer relays a session under another version than the one in force here.

    The caller would see another version on the session than on those that the peer serves itself.
    """
    version = session.relayed_version
    return version is not None and state.config is not None and version != state.config.version


def describe_operation(operation: Operation, now: float) -> dict[str, object]:
    """Return the log fields that identify an operation."""
    return {
        'request_id': operation.statement.request_id,
        'session': operation.session_id,
        'verb': operation.statement.kind.value,
        'route': operation.route.name,
        'group': operation.route.group,
        'age_ms': round((now - operation.arrived_at) * 1000),
        'attempts': operation.attempts,
        'floor': operation.floor,
    }
