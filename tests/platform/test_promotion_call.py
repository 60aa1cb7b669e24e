"""When a call to promote a target leaves, and when it cannot arrive any longer."""

import socket
from types import SimpleNamespace

import pytest
from result import Err, Ok
from twisted.internet.defer import ensureDeferred
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from cassiaseam.daemon.node import Node
from cassiaseam.platform.store import PROMOTION_DELIVERY_MS, PROMOTION_LIMIT_S, PromotionCaller
from cassiaseam.pooler import lease, runtime
from cassiaseam.pooler.environments import Environment
from cassiaseam.pooler.events import CallPromotion


class Transport:
    """Connection that records what the kernel is handed and when it is aborted."""

    def __init__(self, room=10**6):
        self.room = room
        self.kernel = b''
        self.buffered = b''
        self.options = {}
        self.aborted = False

    def writeSomeData(self, data):  # noqa: N802
        taken = data[: self.room]
        self.kernel += taken
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
    """A call whose claim expires at `send_by`, up to the moment its connection stands."""

    def __init__(self, send_by):
        self.reactor = MemoryReactorClock()
        caller = PromotionCaller(self.reactor, '127.0.0.1', 1)
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
    ('connected_after_s', 'room', 'sent'),
    [(0.1, 10**6, True), (0.6, 10**6, False), (0.1, 10, False)],
    ids=['in time', 'after its claim', 'not whole'],
)
def test_call_leaves_at_once_or_not_at_all(connected_after_s, room, sent):
    # A call waits for its connection; a VM that was paused meanwhile sent it when others acted.
    call = PromotionCall(send_by=0.5)
    transport = Transport(room)
    call.connect(connected_after_s, transport)
    assert transport.buffered == b''
    assert transport.aborted is not sent
    if sent:
        assert b'Fencing-Token: 6' in transport.kernel
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
def test_only_a_call_without_any_answer_may_still_arrive(answer, expected):
    # A call without an answer counted like one that the platform had answered with an error.
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


def test_last_call_of_a_claim_is_over_before_the_claim_counts_as_abandoned():
    # The kernel ends the connection, also while the process does not run.
    call = PromotionCall(send_by=0.5)
    transport = Transport()
    call.connect(0.1, transport)
    assert transport.options[socket.TCP_USER_TIMEOUT] == PROMOTION_DELIVERY_MS
    delivered_s = lease.LEASE_VALIDITY_S + PROMOTION_DELIVERY_MS / 1000
    assert delivered_s < lease.LEASE_TAKEOVER_S
    assert PROMOTION_LIMIT_S < lease.MAX_CALL_DELIVERY_S


@pytest.mark.parametrize(('now', 'may_send'), [(4.9, True), (5.1, False)])
def test_daemon_asks_its_clock_when_a_call_leaves(monkeypatch, now, may_send):
    # The time until which a call may be sent was known, but nobody asked about it.
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
