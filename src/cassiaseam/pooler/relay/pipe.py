"""Passes the bytes of one session between its caller and a peer, unchanged."""

from collections.abc import Callable
from typing import Any

from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.pooler.commands import SessionState
from cassiaseam.pooler.events import AnswerCaller
from cassiaseam.pooler.relay.requests import PeerConnection
from cassiaseam.pooler.relay.tracking import StatementTracker

# Bytes that are read at once and that are buffered in each direction before the other side is
# paused. This bounds the memory of a relayed session to about 64 kB.
BUFFER_BYTES = 16384


class SessionPipe:
    """Both connections of a relayed session.

    When one side closes, the other one is closed after the buffered bytes are written.

    Attributes:
        tracker: Whether a statement is outstanding.
        cause: Which side closed the session first, or '' while it is open.
        on_receive: Called after bytes of the peer were passed on.
        on_end: Called when both connections are closed.
    """

    def __init__(
        self,
        caller: Any,
        connection: PeerConnection,
        on_receive: Callable[[], None],
        on_end: Callable[[], None],
    ):
        self.caller = caller
        self.connection = connection
        self.on_receive = on_receive
        self.on_end = on_end
        self.tracker = StatementTracker()
        self.cause = ''
        self.open_sides = 2

    def start(self, received: bytes) -> None:
        """Connect both sides.

        Args:
            received: Bytes that the caller has sent so far.
        """
        near, far = self.caller.transport, self.connection.transport
        for transport, other in ((near, far), (far, near)):
            transport.bufferSize = BUFFER_BYTES
            transport.registerProducer(other, True)
        self.connection.receiver = self
        self.receive_from_caller(received)

    def receive_from_caller(self, data: bytes) -> None:
        """Pass bytes to the peer."""
        self.tracker.count_from_caller(data)
        self.connection.transport.write(data)

    def receive_from_peer(self, data: bytes) -> None:
        """Pass bytes to the caller."""
        self.tracker.count_from_peer(data)
        self.caller.transport.write(data)
        self.on_receive()

    def is_idle(self) -> bool:
        """Return whether no statement is outstanding and no transaction is open."""
        return not self.tracker.is_outstanding() and not self.tracker.in_transaction

    def answer_outstanding(self, session_id: int) -> None:
        """Answer the statements whose answer the peer owes, with an unknown outcome.

        An answer of which a part of a line was passed on cannot be completed.
        """
        if self.tracker.peer.head:
            return
        failed = SessionState.FAILED_TRANSACTION
        session_state = failed if self.tracker.in_transaction else SessionState.IDLE
        error = RequestError(ErrorKind.OUTCOME_UNKNOWN, 'the daemon stops before the answer')
        for _ in range(self.tracker.unanswered):
            self.caller.answer(AnswerCaller(session_id, session_state, error=error))

    def lose_caller(self) -> None:
        """Close the connection to the peer after the caller has disconnected."""
        self._lose('caller_closed')

    def lose_peer(self) -> None:
        """Close the connection of the caller after the peer has disconnected."""
        self._lose('peer_closed')

    def close(self, cause: str) -> None:
        """Close both connections after the buffered bytes are written."""
        self.cause = self.cause or cause
        for transport in (self.caller.transport, self.connection.transport):
            transport.unregisterProducer()
            transport.loseConnection()

    def _lose(self, cause: str) -> None:
        self.open_sides -= 1
        if self.open_sides:
            self.close(cause)
        else:
            self.on_end()
