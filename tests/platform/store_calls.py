"""Calls of the client of the platform's store, answered by a test."""

from twisted.internet.defer import ensureDeferred
from twisted.internet.testing import MemoryReactorClock, StringTransport

from cassiaseam.platform.store import PlatformStore


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

    def answer(self, content, status=200, era=None, send=True):
        """Answer the call in flight; a call on a new connection is connected first."""
        if self.reactor.tcpClients:
            factory = self.reactor.tcpClients.pop()[2]
            self.protocol = factory.buildProtocol(None)
            self.protocol.makeConnection(Transport())
        if not send:
            return
        body = content if isinstance(content, bytes) else content.encode()
        era_line = '' if era is None else f'Store-Era: {era}\r\n'
        head = f'HTTP/1.1 {status} X\r\n{era_line}Content-Length: {len(body)}\r\n\r\n'
        self.protocol.dataReceived(head.encode() + body)
