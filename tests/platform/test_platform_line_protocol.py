"""Line protocol: decoding, rejection and framing of messages."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.platform import line_protocol
from cassiaseam.platform.callers import CallerFactory
from cassiaseam.pooler.commands import (
    Begin,
    Demote,
    Fence,
    Forward,
    Prepare,
    ReadStatus,
    ReportedStatus,
    SessionState,
    SetVariable,
    Statement,
    StatementKind,
    TargetFailure,
)
from cassiaseam.pooler.events import (
    AnswerCaller,
    CallerConnected,
    CallerDisconnected,
    StatementArrived,
    StatementMalformed,
)
from cassiaseam.positions import LogPosition

KIND = StatementKind
QUERIES = {
    'QUERY 1f BEGIN': Statement('1f', KIND.BEGIN, 'BEGIN'),
    'QUERY 1f BEGIN READ': Statement('1f', KIND.BEGIN, 'BEGIN READ', read_only=True),
    'QUERY 1f COMMIT': Statement('1f', KIND.COMMIT, 'COMMIT'),
    'QUERY 1f ROLLBACK': Statement('1f', KIND.ROLLBACK, 'ROLLBACK'),
    'QUERY 1f READ 1a4': Statement('1f', KIND.READ, 'READ 1a4'),
    'QUERY 1f WRITE 1a4 a b': Statement('1f', KIND.WRITE, 'WRITE 1a4 a b'),
    'QUERY 1f SET zone a b': Statement('1f', KIND.SET, 'SET zone a b', 'zone', 'a b'),
    'QUERY 1f PREPARE s1 WRITE q2 x': Statement(
        '1f', KIND.PREPARE, 'PREPARE s1 WRITE q2 x', 's1', 'q2 x', writes=True
    ),
    'QUERY 1f EXECUTE s1 1a4 d e': Statement(
        '1f', KIND.EXECUTE, 'EXECUTE s1 1a4 d e', 's1', '1a4 d e'
    ),
    'QUERY 1f DEALLOCATE s1': Statement('1f', KIND.DEALLOCATE, 'DEALLOCATE s1', 's1'),
}


@pytest.mark.parametrize('line', QUERIES)
def test_statement_keeps_its_id_and_text(line):
    assert line_protocol.decode_query(line) == Ok(QUERIES[line])


@pytest.mark.parametrize(
    'line',
    [
        'QUERY',
        'QUERY 1f',
        'READ 1a4',
        'QUERY 1f STATUS',
        'QUERY 1f PAUSE 4',
        'QUERY 1f RESET',
        'QUERY 1f AFTER 1.2 READ 1a4',
        'QUERY 1f BEGIN WRITE',
        'QUERY 1f COMMIT now',
        'QUERY 1f WRITE 1a4',
        'QUERY 1f PREPARE s1 DROP q2',
        'QUERY 1f EXECUTE s1',
        'QUERY 1f DEALLOCATE s1 s2',
    ],
)
def test_target_command_from_a_caller_is_rejected(line):
    # A target command that is forwarded would run on behalf of no caller.
    assert isinstance(line_protocol.decode_query(line), Err)


@given(st.text(alphabet=st.characters(max_codepoint=255), max_size=80))
def test_random_text_is_decoded_or_rejected(text):
    decoded = line_protocol.decode_query(text)
    if isinstance(decoded, Ok):
        assert text == f'QUERY {decoded.ok_value.request_id} {decoded.ok_value.text}'


FLOOR = LogPosition(3, 1207)
READ = Statement('1f', KIND.READ, 'READ 1a4')
EXECUTE = Statement('1f', KIND.EXECUTE, 'EXECUTE s1 1a4 d', 's1', '1a4 d')
COMMANDS = [
    (Forward(READ), b'QUERY 1f READ 1a4\r\n'),
    (Forward(READ, FLOOR), b'QUERY 1f AFTER 3.1207 READ 1a4\r\n'),
    (Forward(EXECUTE, None, 'p7'), b'QUERY 1f EXECUTE p7 1a4 d\r\n'),
    (Begin(read_only=True, floor=FLOOR), b'QUERY - AFTER 3.1207 BEGIN READ\r\n'),
    (Begin(read_only=False), b'QUERY - BEGIN\r\n'),
    (SetVariable('zone', 'a b'), b'QUERY - SET zone a b\r\n'),
    (Prepare('p7', 'q2', writes=True), b'QUERY - PREPARE p7 WRITE q2\r\n'),
    (ReadStatus(), b'QUERY - STATUS\r\n'),
    (Fence(4), b'QUERY - PAUSE 4\r\n'),
    (Demote(4), b'QUERY - DEMOTE 4\r\n'),
]


@pytest.mark.parametrize(('command', 'expected'), COMMANDS)
def test_command_is_encoded_for_the_target(command, expected):
    assert line_protocol.encode_command(command) == expected


@pytest.mark.parametrize(
    ('row', 'expected'),
    [
        (
            'replica 3 3.1209 0 12 2 17',
            ReportedStatus(False, 3, LogPosition(3, 1209), 0, 0.012, 2, 17),
        ),
        (
            'primary 4 3.9 5 0 0 1',
            ReportedStatus(True, 4, LogPosition(3, 9), 5, 0, 0, 1),
        ),
        ('replica 3 - 0 12 2 17', None),
        ('observer 3 3.1 0 12 2 17', None),
        ('replica 3 3.1 x 12 2 17', None),
        ('replica 3', None),
        ('', None),
    ],
)
def test_malformed_status_is_rejected(row, expected):
    assert line_protocol.decode_status(row) == expected


@pytest.mark.parametrize(
    ('line', 'expected'),
    [
        ('ERROR BUSY', (TargetFailure.BUSY, 'BUSY')),
        ('ERROR LAGGING i-1', (TargetFailure.BEHIND, 'LAGGING i-1')),
        ('ERROR SOMETHING new', (TargetFailure.REJECTED, 'SOMETHING new')),
        ('ERROR', (TargetFailure.REJECTED, '')),
    ],
)
def test_unknown_failure_is_not_treated_as_not_run(line, expected):
    assert line_protocol.decode_failure(line) == expected


NOT_EXECUTED_WORDS = {'BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MISROUTED', 'TOOMANY'}


@pytest.mark.parametrize('kind', list(ErrorKind))
def test_error_with_unknown_outcome_does_not_claim_not_run(kind):
    # A word that means 'not run' must be true: errors with an unknown outcome must not use one.
    word = line_protocol.encode_error(RequestError(kind)).split(b' ')[1].decode()
    unknown = {ErrorKind.OUTCOME_UNKNOWN, ErrorKind.STATEMENT_TIMEOUT, ErrorKind.INTERNAL}
    assert not (kind in unknown and word in NOT_EXECUTED_WORDS), word


class FakeTransport:
    """Transport that records the written data."""

    def __init__(self):
        self.written = b''
        self.closed = False

    def write(self, data):
        self.written += data

    def loseConnection(self):  # noqa: N802
        self.closed = True

    def setTcpNoDelay(self, enabled):  # noqa: N802
        """Accept the option."""

    setTcpKeepAlive = setTcpNoDelay  # noqa: N815

    def getHandle(self):  # noqa: N802
        return self

    def setsockopt(self, *option):
        """Accept the option."""


def feed(chunks):
    """Feed chunks from a caller; return the events and the protocol."""
    events = []
    protocol = CallerFactory(events.append).buildProtocol(None)
    protocol.makeConnection(FakeTransport())
    for chunk in chunks:
        protocol.dataReceived(chunk)
    return events, protocol


SESSION = b'START shop u1\r\nQUERY 1f READ 1a4\r\nQUERY 20 WRITE 1a4 x y\r\n'


@given(st.lists(st.integers(0, len(SESSION)), max_size=8))
def test_messages_may_be_split_at_any_byte(cuts):
    borders = [0, *sorted(cuts), len(SESSION)]
    pairs = zip(borders, borders[1:], strict=False)
    events, _ = feed([SESSION[start:end] for start, end in pairs])
    assert events == feed([SESSION])[0]
    assert [type(event) for event in events] == [
        CallerConnected,
        StatementArrived,
        StatementArrived,
    ]


@given(st.lists(st.binary(max_size=60), max_size=6))
def test_random_bytes_never_raise(chunks):
    events, protocol = feed([b'START shop u1\r\n', *chunks])
    allowed = (CallerConnected, StatementArrived, StatementMalformed, CallerDisconnected)
    assert all(isinstance(event, allowed) for event in events)
    assert protocol.transport.written == b'' or protocol.closing


@pytest.mark.parametrize(
    'line',
    [b'QUERY 1f WRITE a x\ny\r\n', b'QUERY 1f WRITE a x\ry\r\n', b'QUERY 1f READ a\0\r\n'],
)
def test_line_break_inside_a_statement_ends_the_session(line):
    # If it were forwarded, a target could parse the rest as a separate statement.
    events, protocol = feed([b'START shop u1\r\n', line, b'QUERY 2 READ b\r\n'])
    assert len(events) == 1
    assert protocol.transport.written.startswith(b'ERROR MALFORMED')
    assert protocol.transport.closed


@pytest.mark.parametrize('first', [b'QUERY 1 READ a\r\n', b'START\r\n', b'START a\r\n', b'\r\n'])
def test_session_must_begin_with_start(first):
    events, protocol = feed([first])
    assert not events
    assert protocol.transport.closed


def test_unterminated_message_is_limited_in_size():
    events, protocol = feed([b'START shop u1\r\n', b'x' * (line_protocol.MAX_MESSAGE_BYTES + 1)])
    assert protocol.transport.written.startswith(b'ERROR TOOBIG')


def test_answer_carries_rows_and_signature_unchanged():
    answer = AnswerCaller(1, SessionState.IN_TRANSACTION, ('a b', ''), '7.1f')
    assert line_protocol.encode_answer(answer) == b'ROW a b\r\nROW \r\nDONE 7.1f\r\nREADY T -\r\n'
