"""Small HTTP/1.1 client and server on Twisted, with the protocol logic of h11.

The client keeps one connection and runs one call at a time on it. It is used where the full HTTP
stack of Twisted would cost more memory than a daemon is allowed.
"""

import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import h11
from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory, Factory, Protocol
from twisted.python.failure import Failure

# Keep-alive probes in seconds and a bound on unacknowledged bytes in milliseconds, so that a
# connection that went silent is noticed although a call on it may wait for half a minute.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
UNACKNOWLEDGED_LIMIT_MS = 3000
CONNECT_LIMIT_S = 1.0


class HttpCallFailed(Exception):
    """A call got no answer.

    Attributes:
        may_have_arrived: Whether the server may carry the call out.
    """

    def __init__(self, message: str, may_have_arrived: bool):
        super().__init__(message)
        self.may_have_arrived = may_have_arrived


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Status and body of an answer."""

    status: int
    body: bytes


def watch_for_silence(transport: Any, unacknowledged_ms: int = UNACKNOWLEDGED_LIMIT_MS) -> None:
    """Make the kernel end a connection whose other side is out of reach.

    Args:
        transport: Connection.
        unacknowledged_ms: Milliseconds after which bytes without acknowledgement end it. The
            kernel keeps this limit also while the process does not run.
    """
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    handle = transport.getHandle()
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms)


class _ClientProtocol(Protocol):
    """One connection of a client."""

    def __init__(self, client: 'HttpClient'):
        self.client = client
        self.http = h11.Connection(h11.CLIENT)
        self.status = 0
        self.body: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802
        """Send the call that waits for the connection."""
        watch_for_silence(self.transport, self.client.unacknowledged_ms)
        self.client.use_connection(self)

    def encode_call(self, method: str, path: str, headers: list, body: bytes) -> bytes:
        """Return the bytes of a call, which has to be written next."""
        request = h11.Request(method=method, target=path, headers=headers)
        parts = [self.http.send(request)]
        if body:
            parts.append(self.http.send(h11.Data(data=body)))
        parts.append(self.http.send(h11.EndOfMessage()))
        return b''.join(part for part in parts if part)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read an answer."""
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
            elif isinstance(event, h11.Data):
                self.body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._end_answer()
                return
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _end_answer(self) -> None:
        answer = HttpAnswer(self.status, b''.join(self.body))
        self.body = []
        reusable = self.http.our_state is h11.DONE and self.http.their_state is h11.DONE
        if reusable:
            self.http.start_next_cycle()
        self.client.end_call(self, answer, reusable)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Fail the call under way."""
        self.client.fail_call(self, f'connection lost: {reason.getErrorMessage()}')


class _ClientFactory(ClientFactory):
    noisy = False

    def __init__(self, client: 'HttpClient'):
        self.client = client

    def buildProtocol(self, addr: Any) -> Protocol:  # noqa: N802
        return _ClientProtocol(self.client)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        self.client.fail_connect(reason.getErrorMessage())


class HttpClient:
    """Runs calls to one server one after the other.

    Attributes:
        calls: Calls that were sent.
        unacknowledged_ms: Milliseconds after which bytes without acknowledgement end a connection.
    """

    def __init__(
        self,
        reactor: Any,
        host: str,
        port: int,
        unacknowledged_ms: int = UNACKNOWLEDGED_LIMIT_MS,
    ):
        self.reactor = reactor
        self.host = host
        self.port = port
        self.unacknowledged_ms = unacknowledged_ms
        self.calls = 0
        self.protocol: _ClientProtocol | None = None
        self.pending: tuple[str, str, list, bytes] | None = None
        self.may_send: Callable[[], bool] | None = None
        self.waiter: Deferred[HttpAnswer] | None = None
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
    ) -> Deferred[HttpAnswer]:
        """Make a call; at most one is under way.

        Args:
            method: HTTP method.
            path: Path with its query.
            timeout_s: Seconds until the call is given up.
            body: JSON text, or nothing.
            headers: Further headers.
            may_send: Asked right before the bytes leave, which may be long after this function was
                called; the call fails unsent when it returns False.

        Returns:
            The answer, or a failure of type `HttpCallFailed`.
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
            self.reactor.connectTCP(self.host, self.port, factory, timeout=CONNECT_LIMIT_S)
        else:
            self.use_connection(self.protocol)
        return waiter

    def use_connection(self, protocol: _ClientProtocol) -> None:
        """Send the pending call on a connection."""
        if self.pending is None:
            protocol.transport.abortConnection()
            return
        self.protocol = protocol
        encoded = protocol.encode_call(*self.pending)
        self.pending = None
        if self.may_send is None:
            protocol.transport.write(encoded)
        else:
            unsent = self._send_at_once(protocol, encoded, self.may_send)
            if unsent:
                self._drop_connection()
                self._finish().errback(HttpCallFailed(unsent, may_have_arrived=False))
                return
        self.sent = True
        self.calls += 1

    def end_call(self, protocol: _ClientProtocol, answer: HttpAnswer, reusable: bool) -> None:
        """Hand an answer to whoever made the call."""
        if protocol is not self.protocol:
            return
        if not reusable:
            self._drop_connection()
        self._finish().callback(answer)

    def fail_call(self, protocol: _ClientProtocol, message: str) -> None:
        """Fail the call on a connection that has ended."""
        if protocol is not self.protocol:
            return
        self._drop_connection()
        if self.waiter is not None:
            self._finish().errback(HttpCallFailed(message, self.sent))

    def fail_connect(self, message: str) -> None:
        """Fail the call for which no connection could be opened."""
        if self.waiter is not None and not self.sent:
            self._finish().errback(HttpCallFailed(message, may_have_arrived=False))

    def _send_at_once(
        self, protocol: _ClientProtocol, encoded: bytes, may_send: Callable[[], bool]
    ) -> str:
        """Hand a whole call to the kernel if it may still be sent; return why not, or ''.

        Bytes that the transport buffers leave in a later turn of the reactor, and much later when
        the process is paused in between.
        """
        if not may_send():
            return 'expired before it was sent'
        written = protocol.transport.writeSomeData(encoded)
        return '' if written == len(encoded) else 'not sent whole'

    def close(self) -> None:
        """Close the connection; no call may be under way."""
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

    def _finish(self) -> Deferred[HttpAnswer]:
        waiter, self.waiter = self.waiter, None
        self.pending = None
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
        return waiter


Responder = Callable[[str, str], tuple[int, str, bytes]]


class _ServerProtocol(Protocol):
    """One connection of a server."""

    def __init__(self, respond: Responder):
        self.respond = respond
        self.http = h11.Connection(h11.SERVER)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read requests and answer them."""
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
                self._answer(event)
            elif isinstance(event, h11.ConnectionClosed):
                self.transport.loseConnection()
                return
            if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
                self.http.start_next_cycle()
            elif self.http.our_state is h11.MUST_CLOSE:
                self.transport.loseConnection()
                return

    def _answer(self, request: h11.Request) -> None:
        status, content_type, body = self.respond(request.method.decode(), request.target.decode())
        headers = [('Content-Type', content_type), ('Content-Length', str(len(body)))]
        response = h11.Response(status_code=status, headers=headers)
        parts = [self.http.send(response)]
        if body:
            parts.append(self.http.send(h11.Data(data=body)))
        parts.append(self.http.send(h11.EndOfMessage()))
        self.transport.write(b''.join(part for part in parts if part))


class HttpServerFactory(Factory):
    """Answers requests with a function from method and path to status, type and body."""

    noisy = False

    def __init__(self, respond: Responder):
        self.respond = respond

    def buildProtocol(self, addr: Any) -> Protocol:  # noqa: N802
        """Return the protocol of a new connection."""
        return _ServerProtocol(self.respond)
