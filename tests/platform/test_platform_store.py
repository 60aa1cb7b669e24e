"""Client of the platform's store: eras of its answers."""

import pytest
from result import Err
from twisted.internet.defer import ensureDeferred
from twisted.internet.testing import MemoryReactorClock, StringTransport

from cassiaseam.platform.store import PlatformStore
from cassiaseam.pooler.events import StoreEraObserved


class Transport(StringTransport):
    """Transport that accepts the options of a TCP connection."""

    def setTcpNoDelay(self, enabled):  # noqa: N802
        """Accept the option."""

    def setTcpKeepAlive(self, enabled):  # noqa: N802
        """Accept the option."""

    def getHandle(self):  # noqa: N802
        return self

    def setsockopt(self, level, option, setting):
        """Accept the option."""


class StoreCalls:
    """Answers the calls of a `PlatformStore` one after the other."""

    def __init__(self):
        self.reactor = MemoryReactorClock()
        self.events = []
        self.store = PlatformStore(self.reactor, '127.0.0.1', 1, self.events.append)
        self.protocol = None

    def run(self, call):
        """Start a call and return the list that receives its result."""
        results = []
        ensureDeferred(call).addBoth(results.append)
        return results

    def answer(self, content, status=200, era=None):
        """Answer the call in flight; a call on a new connection is connected first."""
        if self.reactor.tcpClients:
            factory = self.reactor.tcpClients.pop()[2]
            self.protocol = factory.buildProtocol(None)
            self.protocol.makeConnection(Transport())
        era_line = '' if era is None else f'Store-Era: {era}\r\n'
        head = f'HTTP/1.1 {status} X\r\n{era_line}Content-Length: {len(content)}\r\n\r\n'
        self.protocol.dataReceived((head + content).encode())


LIST = '{"items": [], "hasMore": false, "at": 7}'


@pytest.mark.parametrize(
    ('status', 'era', 'expected'), [(200, None, 0), (200, 4, 4), (503, 5, 5), (410, 6, 6)]
)
def test_each_answer_tells_the_era_of_the_store(status, era, expected):
    calls = StoreCalls()
    calls.run(calls.store.watch_objects('config', 7, 10))
    calls.answer(LIST, status, era)
    assert calls.events == [StoreEraObserved(expected)]


def test_answer_whose_era_is_malformed_counts_as_a_failed_call():
    # The call is logged and repeated; an exception would end the watch.
    calls = StoreCalls()
    results = calls.run(calls.store.list_objects('config'))
    calls.answer(LIST, era='1.5')
    assert isinstance(results[0], Err)
    assert "'1.5' is not a number" in results[0].err_value.reason
    assert calls.events == []
