"""Line protocol of callers and targets.

A message is one line that ends in CR LF: a keyword and its fields, separated by spaces. The last
field extends to the end of the line.
"""

from result import Err, Ok, Result

from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.pooler.commands import (
    Begin,
    ClearSession,
    Command,
    Demote,
    Fence,
    Forward,
    LiftFence,
    Prepare,
    ReadStatus,
    ReportedStatus,
    Rollback,
    SessionState,
    SetVariable,
    Statement,
    StatementKind,
    TargetFailure,
)
from cassiaseam.pooler.events import AnswerCaller
from cassiaseam.positions import LogPosition

LINE_END = b'\r\n'
# Maximum message length that both sides accept.
MAX_MESSAGE_BYTES = 1 << 20
# Maps bytes to characters one to one, so that statements are forwarded unchanged.
ENCODING = 'latin-1'
# Maximum number of digits of a number from a target, so that it fits into 63 bits.
MAX_DIGITS = 18
NO_REQUEST_ID = '-'
EMPTY_FIELD = '-'

_STATES = {
    'I': SessionState.IDLE,
    'T': SessionState.IN_TRANSACTION,
    'E': SessionState.FAILED_TRANSACTION,
}
_STATE_LETTERS = {state: letter for letter, state in _STATES.items()}

_FAILURES = {
    'BUSY': TargetFailure.BUSY,
    'LAGGING': TargetFailure.BEHIND,
    'READONLY': TargetFailure.READ_ONLY,
    'MISROUTED': TargetFailure.WRONG_TARGET,
    'TOOMANY': TargetFailure.TOO_MANY_CONNECTIONS,
    'UNKNOWN': TargetFailure.UNKNOWN_NAME,
    'FAILED': TargetFailure.FAILED,
    'TIMEOUT': TargetFailure.TIMED_OUT,
}

# Error word per error kind. All other kinds mean that the statement was not executed.
_ERROR_WORDS = {
    ErrorKind.ACCESS_DENIED: 'DENIED',
    ErrorKind.BAD_REQUEST: 'MALFORMED',
    ErrorKind.UNKNOWN_DATABASE: 'NODATABASE',
    ErrorKind.UNKNOWN_OBJECT: 'UNKNOWN',
    ErrorKind.TOO_LARGE: 'TOOBIG',
    ErrorKind.STATEMENT_FAILED: 'FAILED',
    ErrorKind.STATEMENT_TIMEOUT: 'TIMEOUT',
    ErrorKind.OUTCOME_UNKNOWN: 'INDOUBT',
    ErrorKind.TRANSACTION_ABORTED: 'ABORTED',
    ErrorKind.REPLICAS_BEHIND: 'LAGGING',
    ErrorKind.QUOTA_EXCEEDED: 'TOOMANY',
    ErrorKind.INTERNAL: 'INDOUBT',
}
_NOT_EXECUTED_WORD = 'BUSY'


def is_single_line(line: bytes) -> bool:
    """Return whether a line contains no byte that another parser may treat as a line end."""
    return not (b'\r' in line or b'\n' in line or b'\0' in line)


# from callers


def decode_start(line: str) -> tuple[str, str] | None:
    """Return the database and the key in a START message, or None if it is malformed."""
    words = line.split(' ', 2)
    if words[0] != 'START' or len(words) < 3 or not words[1] or not words[2]:
        return None
    return words[1], words[2]


def is_session_end(line: str) -> bool:
    """Return whether a message closes the session."""
    return line == 'BYE'


def decode_query(line: str) -> Result[Statement, tuple[str, str]]:
    """Return the statement in a message.

    Returns:
        The statement, or the request id and the reason why it is malformed.
    """
    words = line.split(' ', 2)
    if words[0] != 'QUERY' or len(words) < 3 or not words[1]:
        # The line is left out, because it may be a second START with a key.
        return Err(('', 'not a message'))
    request_id, text = words[1], words[2]
    verb, _, rest = text.partition(' ')
    decoder = _DECODERS.get(verb)
    statement = decoder(request_id, text, rest) if decoder else None
    if statement is None:
        return Err((request_id, 'not a statement'))
    return Ok(statement)


def _decode_begin(request_id: str, text: str, rest: str) -> Statement | None:
    if rest not in {'', 'READ'} or text.endswith(' '):
        return None
    return Statement(request_id, StatementKind.BEGIN, text, read_only=rest == 'READ')


def _make_bare_decoder(kind: StatementKind):
    def decode(request_id: str, text: str, rest: str) -> Statement | None:
        return Statement(request_id, kind, text) if ' ' not in text else None

    return decode


def _decode_read(request_id: str, text: str, rest: str) -> Statement | None:
    return Statement(request_id, StatementKind.READ, text) if rest else None


def _decode_write(request_id: str, text: str, rest: str) -> Statement | None:
    item, _, written = rest.partition(' ')
    return Statement(request_id, StatementKind.WRITE, text) if item and written else None


def _decode_set(request_id: str, text: str, rest: str) -> Statement | None:
    name, blank, setting = rest.partition(' ')
    if not name or not blank:
        return None
    return Statement(request_id, StatementKind.SET, text, name, setting)


def _decode_prepare(request_id: str, text: str, rest: str) -> Statement | None:
    words = rest.split(' ', 2)
    if len(words) < 3 or words[1] not in {'READ', 'WRITE'} or not words[0] or not words[2]:
        return None
    writes = words[1] == 'WRITE'
    return Statement(request_id, StatementKind.PREPARE, text, words[0], words[2], writes=writes)


def _decode_execute(request_id: str, text: str, rest: str) -> Statement | None:
    name, _, arguments = rest.partition(' ')
    if not name or not arguments:
        return None
    return Statement(request_id, StatementKind.EXECUTE, text, name, arguments)


def _decode_deallocate(request_id: str, text: str, rest: str) -> Statement | None:
    if not rest or ' ' in rest:
        return None
    return Statement(request_id, StatementKind.DEALLOCATE, text, rest)


_DECODERS = {
    'BEGIN': _decode_begin,
    'COMMIT': _make_bare_decoder(StatementKind.COMMIT),
    'ROLLBACK': _make_bare_decoder(StatementKind.ROLLBACK),
    'READ': _decode_read,
    'WRITE': _decode_write,
    'SET': _decode_set,
    'PREPARE': _decode_prepare,
    'EXECUTE': _decode_execute,
    'DEALLOCATE': _decode_deallocate,
}


# to callers


def encode_ready(state: SessionState) -> bytes:
    """Return the message that ends every answer."""
    return f'READY {_STATE_LETTERS[state]} {EMPTY_FIELD}\r\n'.encode(ENCODING)


def encode_error(error: RequestError) -> bytes:
    """Return the error message for a failed statement."""
    word = _ERROR_WORDS.get(error.kind, _NOT_EXECUTED_WORD)
    return f'ERROR {word} {error.format_for_caller()}\r\n'.encode(ENCODING, 'replace')


def encode_answer(answer: AnswerCaller) -> bytes:
    """Return the messages of a final answer."""
    if answer.error is not None:
        return encode_error(answer.error) + encode_ready(answer.session_state)
    lines = [f'ROW {row}' for row in answer.rows]
    lines.append(f'DONE {answer.signature or EMPTY_FIELD}')
    lines.append(f'READY {_STATE_LETTERS[answer.session_state]} {EMPTY_FIELD}\r\n')
    return '\r\n'.join(lines).encode(ENCODING)


# to targets


def encode_target_start(group: str, caller: str, target: str) -> bytes:
    """Return the first message on a connection to a target."""
    # Names of accounts are from the configuration, whose text is UTF-8.
    start, end = f'START {group} '.encode(ENCODING), f' {target}\r\n'.encode(ENCODING)
    return start + caller.encode() + end


def encode_command(command: Command) -> bytes:
    """Return the message of a command to a target."""
    request_id, text = _ENCODERS[type(command)](command)
    return f'QUERY {request_id} {text}\r\n'.encode(ENCODING)


def encode_position(position: LogPosition) -> str:
    """Return the text of a log position."""
    return f'{position.term}.{position.offset}'


def _prefix_position(text: str, floor: LogPosition | None) -> str:
    return f'AFTER {encode_position(floor)} {text}' if floor is not None else text


def _encode_forward(command: Forward) -> tuple[str, str]:
    statement = command.statement
    text = statement.text
    if command.prepared_name:
        text = f'EXECUTE {command.prepared_name} {statement.argument}'
    return statement.request_id, _prefix_position(text, command.floor)


def _encode_prepare(command: Prepare) -> tuple[str, str]:
    kind = 'WRITE' if command.writes else 'READ'
    return NO_REQUEST_ID, f'PREPARE {command.name} {kind} {command.template}'


_ENCODERS = {
    Forward: _encode_forward,
    Begin: lambda command: (
        NO_REQUEST_ID,
        _prefix_position('BEGIN READ' if command.read_only else 'BEGIN', command.floor),
    ),
    Rollback: lambda command: (NO_REQUEST_ID, 'ROLLBACK'),
    SetVariable: lambda command: (NO_REQUEST_ID, f'SET {command.name} {command.setting}'),
    Prepare: _encode_prepare,
    ClearSession: lambda command: (NO_REQUEST_ID, 'RESET'),
    ReadStatus: lambda command: (NO_REQUEST_ID, 'STATUS'),
    Fence: lambda command: (NO_REQUEST_ID, f'PAUSE {command.term}'),
    LiftFence: lambda command: (NO_REQUEST_ID, 'RESUME'),
    Demote: lambda command: (NO_REQUEST_ID, f'DEMOTE {command.term}'),
}


# from targets


def decode_position(text: str) -> LogPosition | None:
    """Return the log position in a text, or None if it is malformed."""
    term, _, offset = text.partition('.')
    if not (_is_integer(term) and _is_integer(offset)):
        return None
    return LogPosition(int(term), int(offset))


def decode_ready(line: str) -> tuple[SessionState, LogPosition | None] | None:
    """Return the state and position in a READY message, or None if it is malformed."""
    words = line.split(' ')
    if len(words) != 3 or words[0] != 'READY' or words[1] not in _STATES:
        return None
    return _STATES[words[1]], decode_position(words[2])


def decode_failure(line: str) -> tuple[TargetFailure, str]:
    """Return the kind and the text of an error message."""
    _, _, rest = line.partition(' ')
    word, _, text = rest.partition(' ')
    return _FAILURES.get(word, TargetFailure.REJECTED), f'{word} {text}'.strip()


def decode_status(row: str) -> ReportedStatus | None:
    """Return the status in a row, or None if it is malformed."""
    words = row.split(' ')
    if len(words) < 7 or words[0] not in {'primary', 'replica'}:
        return None
    last = decode_position(words[2])
    integers = [words[1], words[3], words[5], words[6]]
    if last is None or not all(_is_integer(word) for word in integers):
        return None
    if not _is_number(words[4]):
        return None
    return ReportedStatus(
        is_primary=words[0] == 'primary',
        term=int(words[1]),
        last=last,
        fenced_term=int(words[3]),
        lag_s=float(words[4]) / 1000,
        running=int(words[5]),
        connections=int(words[6]),
    )


def _is_integer(word: str) -> bool:
    return word.isdecimal() and len(word) <= MAX_DIGITS


def _is_number(word: str) -> bool:
    return _is_integer(word.replace('.', '', 1))
