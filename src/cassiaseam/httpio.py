"""Small HTTP/1.1 client and server on Twisted, with the protocol logic of h11.

The client keeps one connection open and has at most one request in flight. It replaces the full
HTTP stack of Twisted where that would exceed the memory limit of a daemon.
"""

import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import h11
from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory, Factory, Protocol
from twisted.python.failure import Failure

# Detect a dead connection within seconds, although a request on it (long polling) may wait for
# half a minute.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
UNACKNOWLEDGED_TIMEOUT_MS = 3000
CONNECT_TIMEOUT_S = 1.0


class HttpCallFailed(Exception):
    """A request got no response.

    Attributes:
        may_have_arrived: Whether the server may have received the request and may execute it.
    """

    def __init__(self, message: str, may_have_arrived: bool):
        super().__init__(message)
        self.may_have_arrived = may_have_arrived


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Response of a server.

    Attributes:
        status: Status code.
        body: Content.
        headers: Header values by lower-case name.
    """

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)


def enable_dead_peer_detection(
    transport: Any, unacknowledged_ms: int = UNACKNOWLEDGED_TIMEOUT_MS
) -> None:
    """Enable TCP keepalive and TCP_USER_TIMEOUT, so that the kernel closes dead connections.

    Args:
        transport: TCP transport of the connection.
        unacknowledged_ms: Milliseconds that sent bytes may stay unacknowledged before the
            connection is closed. The kernel enforces this also while the process is paused.
    """
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    handle = transport.getHandle()
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms)


class _ClientProtocol(Protocol):
    """Client side of one connection."""

    def __init__(self, client: 'HttpClient'):
        self.client = client
        self.http = h11.Connection(h11.CLIENT)
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802
        """Send the request that waits for the connection."""
        enable_dead_peer_detection(self.transport, self.client.unacknowledged_ms)
        self.client.use_connection(self)

    def encode_request(self, method: str, path: str, headers: list, body: bytes) -> bytes:
        """Return the bytes of a request; they must be written before the next one is encoded."""
        request = h11.Request(method=method, target=path, headers=headers)
        parts = [self.http.send(request)]
        if body:
            parts.append(self.http.send(h11.Data(data=body)))
        parts.append(self.http.send(h11.EndOfMessage()))
        return b''.join(part for part in parts if part)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received bytes."""
        try:
            self.http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as error:
            self.client.fail_call(self, f'invalid answer: {error}')

    def _read_events(self) -> None:
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self.status = event.status_code
                self.headers = {
                    name.decode('latin-1'): text.decode('latin-1') for name, text in event.headers
                }
            elif isinstance(event, h11.Data):
                self.body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._complete_response()
                return
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _complete_response(self) -> None:
        answer = HttpResponse(self.status, b''.join(self.body), self.headers)
        self.body = []
        reusable = self.http.our_state is h11.DONE and self.http.their_state is h11.DONE
        if reusable:
            self.http.start_next_cycle()
        self.client.complete_call(self, answer, reusable)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Fail the request in flight."""
        self.client.fail_call(self, f'connection lost: {reason.getErrorMessage()}')


class _ClientFactory(ClientFactory):
    noisy = False

    def __init__(self, client: 'HttpClient'):
        self.client = client

    def buildProtocol(self, addr: Any) -> Protocol:  # noqa: N802
        return _ClientProtocol(self.client)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        self.client.fail_connection(reason.getErrorMessage())


class HttpClient:
    """Sends requests to one server, one at a time, over a persistent connection.

    Attributes:
        calls: Number of requests sent.
        unacknowledged_ms: Milliseconds that sent bytes may stay unacknowledged before the
            connection is closed.
    """

    def __init__(
        self,
        reactor: Any,
        host: str,
        port: int,
        unacknowledged_ms: int = UNACKNOWLEDGED_TIMEOUT_MS,
    ):
        self.reactor = reactor
        self.host = host
        self.port = port
        self.unacknowledged_ms = unacknowledged_ms
        self.calls = 0
        self.protocol: _ClientProtocol | None = None
        self.pending: tuple[str, str, list, bytes] | None = None
        self.may_send: Callable[[], bool] | None = None
        self.waiter: Deferred[HttpResponse] | None = None
        self.timer: Any = None
        self.sent = False

    def run_call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        body: bytes = b'',
        headers: tuple[tuple[str, str], ...] = (),
        may_send: Callable[[], bool] | None = None,
    ) -> Deferred[HttpResponse]:
        """Send a request; the previous one must have finished.

        Args:
            method: HTTP method.
            path: Path with query string.
            timeout_s: Seconds until the request fails.
            body: JSON text, or empty.
            headers: Additional headers.
            may_send: Called right before the bytes are written, which may be long after this
                function was called; when it returns False the request fails without being sent.

        Returns:
            Deferred with the response, or with a failure of type `HttpCallFailed`.
        """
        fields = [('Host', f'{self.host}:{self.port}'), *headers]
        if body:
            fields.append(('Content-Type', 'application/json'))
        if body or method != 'GET':
            fields.append(('Content-Length', str(len(body))))
        self.waiter = Deferred()
        self.sent = False
        self.pending = (method, path, fields, body)
        self.may_send = may_send
        self.timer = self.reactor.callLater(timeout_s, self._time_out)
        waiter = self.waiter
        if self.protocol is None:
            factory = _ClientFactory(self)
            self.reactor.connectTCP(self.host, self.port, factory, timeout=CONNECT_TIMEOUT_S)
        else:
            self.use_connection(self.protocol)
        return waiter

    def use_connection(self, protocol: _ClientProtocol) -> None:
        """Send the pending request on an open connection."""
        if self.pending is None:
            protocol.transport.abortConnection()
            return
        self.protocol = protocol
        encoded = protocol.encode_request(*self.pending)
        self.pending = None
        if self.may_send is None:
            protocol.transport.write(encoded)
        else:
            unsent = self._send_unbuffered(protocol, encoded, self.may_send)
            if unsent:
                self._drop_connection()
                self._finish().errback(HttpCallFailed(unsent, may_have_arrived=False))
                return
        self.sent = True
        self.calls += 1

    def complete_call(
        self, protocol: _ClientProtocol, answer: HttpResponse, reusable: bool
    ) -> None:
        """Complete the request in flight with its response."""
        if protocol is not self.protocol:
            return
        if not reusable:
            self._drop_connection()
        self._finish().callback(answer)

    def fail_call(self, protocol: _ClientProtocol, message: str) -> None:
        """Fail the request in flight on a connection that is closed or broken."""
        if protocol is not self.protocol:
            return
        self._drop_connection()
        if self.waiter is not None:
            self._finish().errback(HttpCallFailed(message, self.sent))

    def cancel_call(self, message: str) -> None:
        """Fail the request in flight, if there is one, and close its connection."""
        if self.waiter is not None:
            self._drop_connection()
            self._finish().errback(HttpCallFailed(message, self.sent))

    def fail_connection(self, message: str) -> None:
        """Fail the request for which no connection could be opened."""
        if self.waiter is not None and not self.sent:
            self._finish().errback(HttpCallFailed(message, may_have_arrived=False))

    def _send_unbuffered(
        self, protocol: _ClientProtocol, encoded: bytes, may_send: Callable[[], bool]
    ) -> str:
        """Write a whole request to the socket if `may_send` allows; return the error, or ''.

        The transport's buffer is bypassed: buffered bytes are sent in a later iteration of the
        event loop, and much later when the process is paused in between.
        """
        if not may_send():
            return 'expired before it was sent'
        written = protocol.transport.writeSomeData(encoded)
        return '' if written == len(encoded) else 'not sent whole'

    def close(self) -> None:
        """Close the connection; no request may be in flight."""
        self._drop_connection()

    def _time_out(self) -> None:
        self.timer = None
        self._drop_connection()
        if self.waiter is not None:
            self._finish().errback(HttpCallFailed('no answer in time', self.sent))

    def _drop_connection(self) -> None:
        protocol, self.protocol = self.protocol, None
        if protocol is not None:
            protocol.transport.abortConnection()

    def _finish(self) -> Deferred[HttpResponse]:
        waiter, self.waiter = self.waiter, None
        self.pending = None
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
        return waiter


Responder = Callable[[str, str], tuple[int, str, bytes]]


class _ServerProtocol(Protocol):
    """Server side of one connection."""

    def __init__(self, respond: Responder):
        self.respond = respond
        self.http = h11.Connection(h11.SERVER)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received bytes and respond to complete requests."""
        try:
            self.http.receive_data(data)
            self._read_events()
        except h11.ProtocolError:
            self.transport.loseConnection()

    def _read_events(self) -> None:
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Request):
                self._respond(event)
            elif isinstance(event, h11.ConnectionClosed):
                self.transport.loseConnection()
                return
            if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
                self.http.start_next_cycle()
            elif self.http.our_state is h11.MUST_CLOSE:
                self.transport.loseConnection()
                return

    def _respond(self, request: h11.Request) -> None:
        status, content_type, body = self.respond(request.method.decode(), request.target.decode())
        headers = [('Content-Type', content_type), ('Content-Length', str(len(body)))]
        response = h11.Response(status_code=status, headers=headers)
        parts = [self.http.send(response)]
        if body:
            parts.append(self.http.send(h11.Data(data=body)))
        parts.append(self.http.send(h11.EndOfMessage()))
        self.transport.write(b''.join(part for part in parts if part))


class HttpServerFactory(Factory):
    """Serves requests with a function from method and path to status, content type and body."""

    noisy = False

    def __init__(self, respond: Responder):
        self.respond = respond

    def buildProtocol(self, addr: Any) -> Protocol:  # noqa: N802
        """Return the protocol for a new connection."""
        return _ServerProtocol(self.respond)
