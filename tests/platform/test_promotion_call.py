"""Promotion call: when it is sent, and when it can no longer arrive."""

import socket
from types import SimpleNamespace

import pytest
from result import Err, Ok
from twisted.internet.defer import ensureDeferred
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from cassiaseam.daemon.node import Node
from cassiaseam.platform.store import (
    PROMOTION_TCP_USER_TIMEOUT_MS,
    PROMOTION_TIMEOUT_S,
    PromotionClient,
)
from cassiaseam.pooler import duty, runtime
from cassiaseam.pooler.environments import Environment
from cassiaseam.pooler.events import CallPromotion


class Transport:
    """Transport that records the data passed to the kernel and whether it is aborted."""

    def __init__(self, writable_bytes=10**6):
        self.writable_bytes = writable_bytes
        self.socket_data = b''
        self.buffered = b''
        self.options = {}
        self.aborted = False

    def writeSomeData(self, data):  # noqa: N802
        taken = data[: self.writable_bytes]
        self.socket_data += taken
        return len(taken)

    def write(self, data):
        self.buffered += data

    def abortConnection(self):  # noqa: N802
        self.aborted = True

    def setTcpNoDelay(self, enabled):  # noqa: N802
        """Accept the option."""

    def setTcpKeepAlive(self, enabled):  # noqa: N802
        """Accept the option."""

    def getHandle(self):  # noqa: N802
        return self

    def setsockopt(self, level, option, setting):
        self.options[option] = setting


class PromotionCall:
    """A call whose claim expires at `send_by`, before its connection is established."""

    def __init__(self, send_by):
        self.reactor = MemoryReactorClock()
        caller = PromotionClient(self.reactor, '127.0.0.1', 1)
        self.results = []
        waiting = ensureDeferred(
            caller.promote('g', 'g1', 'vm0', 6, lambda: self.reactor.seconds() <= send_by)
        )
        waiting.addBoth(self.results.append)

    def connect(self, after_s, transport):
        self.reactor.advance(after_s)
        factory = self.reactor.tcpClients[0][2]
        self.protocol = factory.buildProtocol(None)
        self.protocol.transport = transport
        self.protocol.connectionMade()


@pytest.mark.parametrize(
    ('connected_after_s', 'writable_bytes', 'sent'),
    [(0.1, 10**6, True), (0.6, 10**6, False), (0.1, 10, False)],
    ids=['in time', 'after claim expiry', 'partial write'],
)
def test_call_is_sent_immediately_or_not_at_all(connected_after_s, writable_bytes, sent):
    # A call waits for its connection. A VM that was suspended meanwhile sent the call after
    # another VM had taken over.
    call = PromotionCall(send_by=0.5)
    transport = Transport(writable_bytes)
    call.connect(connected_after_s, transport)
    assert transport.buffered == b''
    assert transport.aborted is not sent
    if sent:
        assert b'Fencing-Token: 6' in transport.socket_data
        assert call.results == []
    else:
        failure = call.results[0].err_value
        assert (failure.may_have_run, failure.may_arrive) == (False, False)


@pytest.mark.parametrize(
    ('answer', 'expected'),
    [
        (b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}', None),
        (b'HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n', (False, False)),
        (b'HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n', (True, False)),
        (b'', (True, True)),
    ],
    ids=['accepted', 'refused', 'failed', 'no answer'],
)
def test_only_an_unanswered_call_may_still_arrive(answer, expected):
    # An unanswered call was treated like one that the platform had answered with an error.
    call = PromotionCall(send_by=0.5)
    call.connect(0.1, Transport())
    if answer:
        call.protocol.dataReceived(answer)
    else:
        call.protocol.connectionLost(Failure(ConnectionDone()))
    if expected is None:
        assert call.results == [Ok(None)]
    else:
        assert isinstance(call.results[0], Err)
        failure = call.results[0].err_value
        assert (failure.may_have_run, failure.may_arrive) == expected


def test_promotion_call_ends_before_its_claim_can_be_taken_over():
    # The kernel aborts the connection even while the process is suspended.
    call = PromotionCall(send_by=0.5)
    transport = Transport()
    call.connect(0.1, transport)
    assert transport.options[socket.TCP_USER_TIMEOUT] == PROMOTION_TCP_USER_TIMEOUT_MS
    delivered_s = duty.LEASE_VALIDITY_S + PROMOTION_TCP_USER_TIMEOUT_MS / 1000
    assert delivered_s < duty.LEASE_TAKEOVER_S
    assert PROMOTION_TIMEOUT_S < duty.MAX_CALL_DELIVERY_S


@pytest.mark.parametrize(('now', 'may_send'), [(4.9, True), (5.1, False)])
def test_send_deadline_is_checked_right_before_sending(monkeypatch, now, may_send):
    # The send deadline was known but never checked.
    asked = []

    async def promote(*_, may_send):
        asked.append(may_send())
        return Ok(None)

    node = Node(None, lambda: now)
    monkeypatch.setattr(node, 'dispatch', lambda event: None)
    node.services[Environment] = SimpleNamespace(promotions=SimpleNamespace(promote=promote))
    node.services[runtime.PoolerRuntime] = SimpleNamespace(log_failure=pytest.fail)
    runtime.call_promotion(node, CallPromotion('g', 'g1', 'vm0', 6, send_by=5.0))
    assert asked == [may_send]
