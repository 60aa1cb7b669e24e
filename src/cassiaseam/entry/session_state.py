"""State of a caller session and the requests built from it."""

import enum
from dataclasses import dataclass, field

from result import Err, Ok, Result

from cassiaseam.entry.options import RequestOptions
from cassiaseam.errors import RequestError
from cassiaseam.messages import Answer, Request, RequestKind
from cassiaseam.positions import LogPosition, decode_session_token, encode_session_token


class TransactionPhase(enum.Enum):
    """Phase of a transaction as seen by the entry."""

    OPEN = 'open'
    COMMIT_SENT = 'commit_sent'


@dataclass(slots=True)
class OpenTransaction:
    """Open transaction of a session.

    Attributes:
        transaction_id: Id that is unique across all daemons.
        database: Database of the transaction.
        owner: VM of the daemon that holds the target connection.
        phase: Whether COMMIT was sent.
    """

    transaction_id: str
    database: str
    owner: str
    phase: TransactionPhase = TransactionPhase.OPEN


@dataclass(slots=True)
class SessionState:
    """State of a caller session.

    Attributes:
        session_id: Id that is unique across all daemons.
        entry: VM of this daemon.
        opened_at: Time in seconds at which the session opened; an unknown floor is derived from
            status polls that started after it.
        caller: Login name, or '' before the login.
        database: Selected database, or ''.
        option_texts: Options set by connection attributes and session variables.
        floors: Minimum log position that reads have to cover, by database.
        autocommit: Whether each statement outside a transaction commits implicitly.
        transaction: Open transaction, or None.
        last_target: Target that served the most recent statement, or ''.
        last_replica: Whether `last_target` was a replica.
        last_insert_id: Most recently generated AUTO_INCREMENT value, or 0.
        request_count: Number of requests built; part of the request id.
    """

    session_id: str
    entry: str
    opened_at: float
    caller: str = ''
    database: str = ''
    option_texts: dict[str, str] = field(default_factory=dict)
    floors: dict[str, LogPosition] = field(default_factory=dict)
    autocommit: bool = True
    transaction: OpenTransaction | None = None
    last_target: str = ''
    last_replica: bool = False
    last_insert_id: int = 0
    request_count: int = 0


def raise_floor(state: SessionState, database: str, position: LogPosition) -> None:
    """Raise the floor of a database to cover `position`; a floor never decreases.

    Term and offset are raised independently, because a log covers a position only if it has
    reached both.
    """
    floor = state.floors.get(database)
    if floor is None:
        state.floors[database] = position
    elif not floor.covers(position):
        state.floors[database] = LogPosition(
            max(floor.term, position.term), max(floor.offset, position.offset)
        )


def apply_token(state: SessionState, token: str) -> Result[None, RequestError]:
    """Raise the floor of the selected database to the position in a session token."""
    decoded = decode_session_token(token, state.database)
    if isinstance(decoded, Err):
        return decoded
    raise_floor(state, state.database, decoded.ok_value)
    return Ok(None)


def read_token(state: SessionState) -> str | None:
    """Return the session token of the selected database, or None while the floor is unknown."""
    floor = state.floors.get(state.database)
    return None if floor is None else encode_session_token(state.database, floor)


def apply_answer(state: SessionState, request: Request, answer: Answer) -> None:
    """Update the session with the position, target and insert id of an answer."""
    if answer.target:
        state.last_target = answer.target
        state.last_replica = answer.replica
    if answer.position.offset or answer.position.term:
        raise_floor(state, request.database, answer.position)
    if answer.result_set is not None and answer.result_set.last_insert_id:
        state.last_insert_id = answer.result_set.last_insert_id


def build_request(
    state: SessionState,
    kind: RequestKind,
    sql: str,
    options: RequestOptions,
    now: float,
) -> Request:
    """Return the request for one statement of a session.

    Args:
        state: State of the session.
        kind: Kind of the request.
        sql: Statement text; empty for BEGIN, COMMIT and ROLLBACK.
        options: Options of the statement.
        now: Monotonic time in seconds.
    """
    state.request_count += 1
    transaction = state.transaction
    database = transaction.database if transaction else state.database
    return Request(
        request_id=f'{state.session_id}.{state.request_count}',
        entry=state.entry,
        caller=state.caller,
        session_id=state.session_id,
        database=database,
        kind=kind,
        sql=sql,
        deadline=now + options.deadline_s,
        floor=state.floors.get(database),
        session_opened_at=state.opened_at,
        max_age_s=options.max_age_s,
        idempotency_key=options.key,
        repeatable=options.repeatable,
        transaction_id=transaction.transaction_id if transaction else None,
    )


def reset_session(state: SessionState, now: float) -> None:
    """Reset a session after COM_RESET_CONNECTION or COM_CHANGE_USER.

    The floors are kept, so that reads after the reset still see earlier writes of the same
    connection.
    """
    state.option_texts = {}
    state.autocommit = True
    state.transaction = None
    state.last_target = ''
    state.last_replica = False
    state.last_insert_id = 0
