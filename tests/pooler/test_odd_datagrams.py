"""Odd datagrams and odd addresses of peers cost one datagram and one log line."""

import pytest
from twisted.internet.error import InvalidAddressError

from cassiaseam.pooler.datagrams import PeerProtocol, decode_datagram
from cassiaseam.pooler.events import PeerRecord, SendSampleRequest
from cassiaseam.pooler.peer_state import PeerState
from cassiaseam.pooler.peers import mark_unresponsive


class BrokenTransport:
    """UDP transport on which every send fails."""

    def __init__(self, error):
        self.error = error

    def write(self, datagram, address):
        raise self.error


REQUEST = SendSampleRequest('10.0.0.2', 70000, 5, 'g', 1.25)


@pytest.mark.parametrize(
    'error',
    [
        OverflowError('port must be 0-65535'),
        InvalidAddressError('x', 'no name'),
        OSError(22, 'no'),
    ],
)
def test_datagram_that_cannot_be_sent_is_logged_once(error):
    # A port out of range or a name for an address raised in the middle of an event or tick.
    lines = []
    protocol = PeerProtocol(None, lambda event, **fields: lines.append(event))
    protocol.transport = BrokenTransport(error)
    for _ in range(3):
        protocol.send(REQUEST)
    assert lines == ['datagram_not_sent']


SAMPLE = b'{"kind":"sample","nonce":1,"group":"g","samples":[[1,1,1,1]],"group_size":3}'
TOKENS = b'{"kind":"tokens","nonce":1,"count":1,"life_ms":1}'
ODD_NUMBERS = [
    b'9' * 5000,
    b'9' * 30,
    b'-1',
    b'NaN',
    b'Infinity',
    b'1e400',
    b'true',
    b'"1"',
    b'[]',
]


@pytest.mark.parametrize('odd', [*ODD_NUMBERS, b'[' * 30_000, b'"\\ud800"', b'"\xff"'])
@pytest.mark.parametrize(
    ('message', 'part'),
    [
        (SAMPLE, b'"nonce":1'),
        (SAMPLE, b'"group_size":3'),
        (SAMPLE, b'[1,1,1,1]'),
        (TOKENS, b'"nonce":1'),
        (TOKENS, b'"count":1'),
        (TOKENS, b'"life_ms":1'),
    ],
)
def test_odd_number_in_a_datagram_is_refused_and_logged_once(message, part, odd):
    events, lines = [], []
    protocol = PeerProtocol(events.append, lambda event, **fields: lines.append(event))
    replaced = b'[1,%s,1,1]' % odd if part.startswith(b'[') else part[:-1] + odd
    for _ in range(3):
        protocol.datagramReceived(message.replace(part, replaced), ('10.0.0.9', 1))
    assert not events
    assert lines == ['datagram_refused']
    assert decode_datagram(message, '10.0.0.9', 1)


@pytest.mark.parametrize(
    ('failures', 'backoff_s'), [(0, 2), (3, 16), (4, 30), (1023, 30), (1024, 30), (10**6, 30)]
)
def test_peer_that_never_responds_keeps_the_longest_backoff(failures, backoff_s):
    # The record of a VM that nobody can delete raised OverflowError after 1,024 failures.
    peer = PeerState(PeerRecord('vm-b', 'p0', '10.0.0.9', 1))
    peer.failures = failures
    mark_unresponsive(peer, 100)
    assert (peer.failures, peer.backoff_until) == (failures + 1, 100 + backoff_s)
