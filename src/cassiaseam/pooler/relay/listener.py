"""Server side of the connections over which peers relay sessions to this VM."""

import itertools
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from cassiaseam.httpio import enable_dead_peer_detection
from cassiaseam.pooler.relay import wire
from cassiaseam.pooler.relay.events import IncomingRelayEnded, RelayRequested

# Seconds within which a peer has to send its request.
REQUEST_TIMEOUT_S = 1.0


class IncomingRelay(Protocol):
    """Connection of a peer: its request, then the bytes of one session.

    Attributes:
        session: Protocol of the session after its acceptance, or None.
    """

    def __init__(self, listener: 'RelayListener', connection_id: int):
        self.listener = listener
        self.connection_id = connection_id
        self.buffer = b''
        self.requested = False
        self.session: Any = None
        self.timer: Any = None

    def connectionMade(self) -> None:  # noqa: N802
        """Wait for the request."""
        enable_dead_peer_detection(self.transport)
        self.listener.connections[self.connection_id] = self
        self.timer = self.listener.reactor.callLater(
            REQUEST_TIMEOUT_S, self.transport.abortConnection
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass on bytes of the session, or read the request."""
        if self.session is not None:
            self.session.dataReceived(data)
            return
        if self.requested:
            return
        self.buffer += data
        line, found, _ = self.buffer.partition(wire.LINE_END)
        if found or len(self.buffer) > wire.MAX_LINE_BYTES:
            self._read_request(line)

    def _read_request(self, line: bytes) -> None:
        self.requested = True
        self.buffer = b''
        self._cancel_timer()
        request = wire.decode_request(line)
        if request is None:
            self.refuse('malformed')
        else:
            self.listener.dispatch(RelayRequested(self.connection_id, *request))

    def accept(self, session: Protocol) -> None:
        """Tell the peer that its session is accepted, and pass further bytes to a protocol."""
        self.transport.write(wire.encode_response(''))
        self.session = session
        session.makeConnection(self.transport)

    def refuse(self, cause: str) -> None:
        """Tell the peer why its session is refused, and close the connection."""
        self.transport.write(wire.encode_response(cause))
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Report the end of the connection."""
        self._cancel_timer()
        self.listener.connections.pop(self.connection_id, None)
        if self.session is not None:
            self.session.connectionLost(reason)
        self.listener.dispatch(IncomingRelayEnded(self.connection_id))

    def _cancel_timer(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()


class RelayListener(Factory):
    """Builds the protocols of peers.

    Attributes:
        connections: Protocol per connection id.
    """

    noisy = False

    def __init__(self, reactor: Any, dispatch: Callable[[Any], None]):
        self.reactor = reactor
        self.dispatch = dispatch
        self.connections: dict[int, IncomingRelay] = {}
        self.connection_ids = itertools.count(1)

    def buildProtocol(self, addr: Any) -> Protocol:  # noqa: N802
        """Return the protocol of a new connection."""
        return IncomingRelay(self, next(self.connection_ids))
