"""Server side of the connections from callers."""

import itertools
from typing import Any

from result import Err
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.httpio import enable_dead_peer_detection
from cassiaseam.platform import line_protocol
from cassiaseam.pooler.accounts.keys import digest_key
from cassiaseam.pooler.commands import SessionState
from cassiaseam.pooler.events import (
    AnswerCaller,
    CallerConnected,
    CallerDisconnected,
    StatementArrived,
    StatementMalformed,
)


class CallerProtocol(Protocol):
    """Decodes the messages of one caller and encodes its answers."""

    def __init__(
        self, factory: 'CallerFactory', session_id: int, relayed_version: int | None = None
    ):
        self.factory = factory
        self.session_id = session_id
        self.relayed_version = relayed_version
        self.relayable = relayed_version is None
        self.relay: Any = None
        # The START message until the session is accepted; a relay passes it on. It has the key.
        self.start_message = b''
        self.buffer = b''
        self.started = False
        self.closing = False

    def connectionMade(self) -> None:  # noqa: N802
        """Configure keepalive for the connection."""
        enable_dead_peer_detection(self.transport)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Decode all complete messages in the buffer, or pass the bytes to the relay."""
        if self.relay is not None:
            self.relay.receive_from_caller(data)
            return
        self.buffer += data
        while not self.closing and self.relay is None:
            line, found, rest = self.buffer.partition(line_protocol.LINE_END)
            if not found:
                break
            self.buffer = rest
            self._read_line(line)
        if len(self.buffer) > line_protocol.MAX_MESSAGE_BYTES:
            self.refuse(RequestError(ErrorKind.TOO_LARGE, 'the message is too long'))

    def _read_line(self, line: bytes) -> None:
        if len(line) > line_protocol.MAX_MESSAGE_BYTES or not line_protocol.is_single_line(line):
            self.refuse(RequestError(ErrorKind.BAD_REQUEST, 'the message cannot be read'))
            return
        text = line.decode(line_protocol.ENCODING)
        if not self.started:
            self._start(text)
        elif line_protocol.is_session_end(text):
            self.close()
        else:
            self._read_query(text)

    def _start(self, text: str) -> None:
        start = line_protocol.decode_start(text)
        if start is None:
            self.refuse(RequestError(ErrorKind.BAD_REQUEST, 'the first message is no START'))
            return
        self.started = True
        self.start_message = text.encode(line_protocol.ENCODING) + line_protocol.LINE_END
        self.factory.sessions[self.session_id] = self
        database, key = start
        key_digest = digest_key(key.encode(line_protocol.ENCODING))
        event = CallerConnected(
            self.session_id, database, key_digest, self.relayable, self.relayed_version
        )
        self.factory.dispatch(event)

    def _read_query(self, text: str) -> None:
        decoded = line_protocol.decode_query(text)
        if isinstance(decoded, Err):
            request_id, reason = decoded.err_value
            self.factory.dispatch(StatementMalformed(self.session_id, request_id, reason))
        else:
            self.factory.dispatch(StatementArrived(self.session_id, decoded.ok_value))

    def accept(self) -> None:
        """Tell the caller that its session is open."""
        self.start_message = b''
        self.transport.write(line_protocol.encode_ready(SessionState.IDLE))

    def answer(self, answer: AnswerCaller) -> None:
        """Send a final answer."""
        self.transport.write(line_protocol.encode_answer(answer))

    def refuse(self, error: RequestError) -> None:
        """Send an error and close the connection."""
        self.transport.write(line_protocol.encode_error(error))
        self.close()

    def close(self) -> None:
        """Close the connection after the buffered data is written."""
        self.closing = True
        self.transport.loseConnection()

    def hand_over(self, relay: Any) -> None:
        """Pass all further bytes to a relay, and read none until it resumes the transport."""
        self.relay = relay
        self.factory.sessions.pop(self.session_id, None)
        self.transport.pauseProducing()

    def take_input(self) -> bytes:
        """Return the bytes that the caller has sent so far, and drop them here."""
        received = self.start_message + self.buffer
        self.start_message = b''
        self.buffer = b''
        return received

    def continue_locally(self) -> None:
        """Start the session on this VM after a relay found no peer for it."""
        self.relay = None
        self.relayable = False
        self.started = False
        received = self.take_input()
        self.transport.resumeProducing()
        self.dataReceived(received)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Report the end of the session."""
        if self.relay is not None:
            self.relay.lose_caller()
        elif self.factory.sessions.pop(self.session_id, None) is not None:
            self.factory.dispatch(CallerDisconnected(self.session_id))


class CallerFactory(Factory):
    """Builds the protocols of callers.

    Attributes:
        dispatch: Callback for events.
        sessions: Protocol per session id.
    """

    noisy = False

    def __init__(self, dispatch: Any):
        self.dispatch = dispatch
        self.sessions: dict[int, CallerProtocol] = {}
        self.session_ids = itertools.count(1)

    def buildProtocol(self, addr: Any) -> Protocol:  # noqa: N802
        """Return the protocol of a new connection."""
        return CallerProtocol(self, next(self.session_ids))

    def build_relayed_protocol(self, version: int) -> CallerProtocol:
        """Return the protocol of a session that another VM relays under a version."""
        return CallerProtocol(self, next(self.session_ids), version)
