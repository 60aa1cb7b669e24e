"""Odd values in records and in answers of targets are refused without an exception."""

import pytest
from result import Err, Ok
from store_calls import Transport
from test_platform_records import CONFIG, DECODERS, TARGET

from cassiaseam.platform import line_protocol, records
from cassiaseam.platform.targets import TargetConnector, TargetProtocol
from cassiaseam.pooler.commands import ReadStatus
from cassiaseam.pooler.events import CommandAnswered, ConnectionLost, OpenConnection


def nest(levels):
    nested = []
    for _ in range(levels):
        nested = [nested]
    return nested


# What JSON can hold, and a number that only a decoder without a limit would build.
ODD_VALUES = [
    None, True, False, 0, -1, 1.5, -0.5, 1e300, float('inf'), float('-inf'), float('nan'),
    10**18, -(10**18), 10**400, 10**5000, '', ' ', 'a b', 'a\r\nb', '\0', '\ud800', '\u4e2d',
    '9' * 5000, 'x' * 10**6, [], [None], nest(900), {}, {'': 1}, {'\ud800': 1}, {'a': nest(900)},
]  # fmt: skip
TARGET_DECODER = (TARGET, lambda spec: records.decode_target('i-1', spec))
CONFIG_ENTRIES = {
    'routes': CONFIG['routes'][0],
    'services': CONFIG['services'][0],
    'tenants': {'name': 'a', 'apiKeys': ['k'], 'priority': 1, 'ratePerS': 5, 'burst': 1},
}


def list_odd_specs():
    """Return pairs of a decoder and the specs that it is tested with."""
    for good, decode in (*DECODERS.values(), TARGET_DECODER):
        specs = [{**good, field: odd} for field in (*good, 'more') for odd in ODD_VALUES]
        yield decode, [*ODD_VALUES, *specs]
    for section, entry in CONFIG_ENTRIES.items():
        entries = [{**entry, field: odd} for field in entry for odd in ODD_VALUES]
        decode = DECODERS['config'][1]
        yield decode, [{**CONFIG, section: [entry]} for entry in (*ODD_VALUES, *entries)]


@pytest.mark.parametrize(
    ('decode', 'specs'), list(list_odd_specs()), ids=[*DECODERS, 'target', *CONFIG_ENTRIES]
)
def test_decoder_returns_a_record_or_a_short_reason(decode, specs):
    # An exception ended the watch of the kind, again with each list.
    for spec in specs:
        decoded = decode(spec)
        assert isinstance(decoded, Ok) or 0 < len(decoded.err_value) < 1000
    assert any(isinstance(decode(spec), Err) for spec in specs)


LONG = '9' * 5000
STATUS = ['replica', '3', '3.1209', '0', '12', '2', '17']
ODD_WORDS = [
    LONG,
    '9' * 19,
    '-1',
    '1.5',
    'inf',
    'nan',
    '1e400',
    '',
    '.',
    '1.',
    '\xb2',
    'x' * 10**6,
]
ODD_ROWS = [
    [*STATUS[:place], odd, *STATUS[place + 1 :]]
    for place in range(len(STATUS))
    for odd in (*ODD_WORDS, f'{LONG}.1', f'1.{LONG}', f'{"9" * 19}.1')
    # The lag may have decimals.
    if (place, odd) not in {(4, '1.5'), (4, '1.'), (2, '1.5')}
]


def connect_target():
    """Return the protocol of a connection to a target, and its events."""
    events = []
    record = TARGET_DECODER[1](TARGET).ok_value
    connector = TargetConnector(None, 'vm', events.append)
    protocol = TargetProtocol(connector, OpenConnection(1, record))
    protocol.makeConnection(Transport())
    protocol.dataReceived(b'READY I -\r\n')
    protocol.send_commands((ReadStatus(),))
    events.clear()
    return protocol, events


@pytest.mark.parametrize('row', ODD_ROWS, ids=range(len(ODD_ROWS)))
def test_odd_status_counts_as_none(row):
    # A number of too many digits, or a fraction for an integer, ended the reading of the answer.
    protocol, events = connect_target()
    answer = f'ROW {" ".join(row)}\r\nDONE -\r\nREADY I {row[2]}\r\n'
    protocol.dataReceived(answer.encode(line_protocol.ENCODING))
    assert [type(event) for event in events] == [CommandAnswered]
    assert events[0].reply.status is None


@pytest.mark.parametrize(
    'position', [f'{LONG}.1', f'1.{LONG}', '-1.1', '1', '1.1.1', '.', 'x' * 10**6, '1.\xb2']
)
def test_odd_position_counts_as_none(position):
    protocol, events = connect_target()
    protocol.dataReceived(f'DONE -\r\nREADY I {position}\r\n'.encode(line_protocol.ENCODING))
    assert events[0].reply.position is None


@pytest.mark.parametrize(
    'answer', [b'\xff\xfe\r\n', b'READY\r\n', b'READY I -\r\n', b'x' * (2 << 20)], ids=range(4)
)
def test_answer_that_cannot_be_read_ends_only_its_connection(answer):
    # Without a limit, a message that never ends used up the memory.
    protocol, events = connect_target()
    protocol.dataReceived(answer)
    assert [type(event) for event in events] == [ConnectionLost]
    assert len(events[0].reason) < 100
