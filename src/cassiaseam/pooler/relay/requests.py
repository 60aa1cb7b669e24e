"""Connection to a peer, from the request to relay a session to its end."""

from collections.abc import Callable
from typing import Any
from typing import Protocol as Interface

from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from cassiaseam.httpio import enable_dead_peer_detection
from cassiaseam.pooler.events import PeerRecord
from cassiaseam.pooler.relay import wire

# Seconds within which a peer has to answer, including the connection. A round trip between regions
# takes 16 ms, and two are needed.
ATTEMPT_TIMEOUT_S = 0.1


class PeerReceiver(Interface):
    """Receiver of the bytes of a peer."""

    def receive_from_peer(self, data: bytes) -> None:
        """Pass on bytes of the peer."""

    def lose_peer(self) -> None:
        """Handle the end of the connection to the peer."""


class PeerConnection(Protocol):
    """Connection to a peer.

    Attributes:
        receiver: Receiver of the bytes after the response, or None before it is set.
    """

    def __init__(self, request: 'PeerRequest'):
        self.request = request
        self.buffer = b''
        self.receiver: PeerReceiver | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Send the request."""
        enable_dead_peer_detection(self.transport)
        request = self.request
        self.transport.write(wire.encode_request(request.group, request.version))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass on bytes of the session, or read the response."""
        if self.receiver is not None:
            self.receiver.receive_from_peer(data)
            return
        self.buffer += data
        line, found, rest = self.buffer.partition(wire.LINE_END)
        if found and not rest:
            self.request.finish(wire.decode_response(line), True, self)
        elif found or len(self.buffer) > wire.MAX_LINE_BYTES:
            # A peer sends nothing of the session before it has received START.
            self.request.finish('malformed', True, self)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Report the end of the connection."""
        if self.receiver is not None:
            self.receiver.lose_peer()
        else:
            self.request.finish('connection_lost', False, self)


AnswerCallback = Callable[[PeerRecord, str, bool, PeerConnection | None], None]


class PeerRequest(ClientFactory):
    """Asks one peer whether it accepts a session.

    Attributes:
        on_answer: Called once with the peer, why it refuses ('' if it accepts), whether it
            answered, and the connection if it accepts.
    """

    noisy = False

    def __init__(
        self,
        reactor: Any,
        record: PeerRecord,
        group: str,
        version: int,
        on_answer: AnswerCallback,
    ):
        self.reactor = reactor
        self.record = record
        self.group = group
        self.version = version
        self.on_answer = on_answer
        self.finished = False
        self.timer: Any = None
        self.connector: Any = None

    def start(self) -> None:
        """Connect to the peer."""
        self.timer = self.reactor.callLater(ATTEMPT_TIMEOUT_S, self.finish, 'no_answer', False)
        self.connector = self.reactor.connectTCP(
            self.record.host, self.record.port, self, timeout=2 * ATTEMPT_TIMEOUT_S
        )

    def buildProtocol(self, addr: Any) -> Protocol:  # noqa: N802
        """Return the protocol of the connection."""
        return PeerConnection(self)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        """Report that the peer is unreachable."""
        self.finish('unreachable', False)

    def finish(
        self, cause: str, responded: bool, connection: PeerConnection | None = None
    ) -> None:
        """Report the result once; close the connection unless the peer accepts."""
        if self.finished:
            return
        self.finished = True
        if self.timer.active():
            self.timer.cancel()
        if cause:
            self.connector.disconnect()
        self.on_answer(self.record, cause, responded, None if cause else connection)
