"""Connections of callers."""

import itertools
from typing import Any

from result import Err
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.httpio import enable_dead_peer_detection
from cassiaseam.platform import lines
from cassiaseam.pooler.commands import SessionState
from cassiaseam.pooler.events import (
    AnswerCaller,
    CallerConnected,
    CallerLost,
    StatementArrived,
    StatementMalformed,
)


class CallerProtocol(Protocol):
    """Decodes the messages of one caller and encodes the answers."""

    def __init__(self, factory: 'CallerFactory', session_id: int):
        self.factory = factory
        self.session_id = session_id
        self.buffer = b''
        self.started = False
        self.closing = False

    def connectionMade(self) -> None:  # noqa: N802
        """Prepare the connection."""
        enable_dead_peer_detection(self.transport)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Decode the messages that are complete."""
        self.buffer += data
        while not self.closing:
            line, found, rest = self.buffer.partition(lines.LINE_END)
            if not found:
                break
            self.buffer = rest
            self._read_line(line)
        if len(self.buffer) > lines.MAX_MESSAGE_BYTES:
            self.refuse(RequestError(ErrorKind.TOO_LARGE, 'the message is too long'))

    def _read_line(self, line: bytes) -> None:
        if len(line) > lines.MAX_MESSAGE_BYTES or not lines.is_clean_line(line):
            self.refuse(RequestError(ErrorKind.BAD_REQUEST, 'the message cannot be read'))
            return
        text = line.decode(lines.ENCODING)
        if not self.started:
            self._start(text)
        elif lines.is_goodbye(text):
            self.close()
        else:
            self._read_query(text)

    def _start(self, text: str) -> None:
        start = lines.decode_start(text)
        if start is None:
            self.refuse(RequestError(ErrorKind.BAD_REQUEST, 'the first message is no START'))
            return
        self.started = True
        self.factory.sessions[self.session_id] = self
        self.factory.dispatch(CallerConnected(self.session_id, *start))

    def _read_query(self, text: str) -> None:
        decoded = lines.decode_query(text)
        if isinstance(decoded, Err):
            request_id, reason = decoded.err_value
            self.factory.dispatch(StatementMalformed(self.session_id, request_id, reason))
        else:
            self.factory.dispatch(StatementArrived(self.session_id, decoded.ok_value))

    def accept(self) -> None:
        """Tell the caller that its session is open."""
        self.transport.write(lines.encode_ready(SessionState.IDLE))

    def answer(self, answer: AnswerCaller) -> None:
        """Send a final answer."""
        self.transport.write(lines.encode_answer(answer))

    def refuse(self, error: RequestError) -> None:
        """Send an error and close the connection."""
        self.transport.write(lines.encode_error(error))
        self.close()

    def close(self) -> None:
        """Close the connection after what was written."""
        self.closing = True
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Report the end of the session."""
        if self.factory.sessions.pop(self.session_id, None) is not None:
            self.factory.dispatch(CallerLost(self.session_id))


class CallerFactory(Factory):
    """Builds the protocols of callers.

    Attributes:
        dispatch: Function that takes the events.
        sessions: Protocol per session.
    """

    noisy = False

    def __init__(self, dispatch: Any):
        self.dispatch = dispatch
        self.sessions: dict[int, CallerProtocol] = {}
        self.numbers = itertools.count(1)

    def buildProtocol(self, addr: Any) -> Protocol:  # noqa: N802
        """Return the protocol of a new connection."""
        return CallerProtocol(self, next(self.numbers))
