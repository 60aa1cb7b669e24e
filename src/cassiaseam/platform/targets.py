"""Connections to targets."""

from collections import deque
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from cassiaseam.httpio import CONNECT_TIMEOUT_S, enable_dead_peer_detection
from cassiaseam.platform import lines
from cassiaseam.pooler.commands import CONTROL_COMMANDS, Command, SessionState, TargetReply
from cassiaseam.pooler.events import (
    CommandAnswered,
    ConnectionLost,
    ConnectionReady,
    ConnectionRefused,
    OpenTarget,
)


class TargetProtocol(Protocol):
    """Encodes commands to one target and decodes its replies."""

    def __init__(self, connector: 'TargetConnector', request: OpenTarget):
        self.connector = connector
        self.connection_id = request.connection_id
        self.record = request.record
        self.buffer = b''
        self.started = False
        self.commands: deque[Command] = deque()
        self.rows: list[str] = []
        self.ending = ''

    def connectionMade(self) -> None:  # noqa: N802
        """Say which group and target are expected at the address."""
        enable_dead_peer_detection(self.transport)
        self.connector.connections[self.connection_id] = self
        start = lines.encode_target_start(self.record.group, self.connector.vm, self.record.name)
        self.transport.write(start)

    def send_commands(self, commands: tuple[Command, ...]) -> None:
        """Write commands; the target answers them in their order."""
        self.commands.extend(commands)
        self.transport.write(b''.join(lines.encode_command(command) for command in commands))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Decode the messages that are complete."""
        self.buffer += data
        while self.connection_id in self.connector.connections:
            line, found, rest = self.buffer.partition(lines.LINE_END)
            if not found:
                return
            self.buffer = rest
            self._read_line(line.decode(lines.ENCODING))

    def _read_line(self, line: str) -> None:
        word = line.partition(' ')[0]
        if word == 'ROW':
            self.rows.append(line[4:])
        elif word in {'DONE', 'ERROR'}:
            self.ending = line
            if word == 'ERROR' and not self.started:
                self._report_refusal(line)
        elif word == 'READY':
            self._read_ready(line)
        else:
            self._fail(f'not a reply: {line[:40]!r}')

    def _report_refusal(self, line: str) -> None:
        failure, text = lines.decode_failure(line)
        self.connector.connections.pop(self.connection_id, None)
        self.transport.loseConnection()
        reply = TargetReply(failure=failure, message=text)
        self.connector.dispatch(ConnectionRefused(self.connection_id, text, reply))

    def _read_ready(self, line: str) -> None:
        ready = lines.decode_ready(line)
        if ready is None:
            self._fail(f'not a reply: {line[:40]!r}')
            return
        state, position = ready
        if not self.started:
            self.started = True
            reply = TargetReply(position=position)
            self.connector.dispatch(ConnectionReady(self.connection_id, reply))
        elif self.ending and self.commands:
            reply = self._build_reply(state, position)
            self.rows, self.ending = [], ''
            self.connector.dispatch(CommandAnswered(self.connection_id, reply))
        else:
            self._fail('a reply to no command')

    def _build_reply(self, state: SessionState, position: Any) -> TargetReply:
        command = self.commands.popleft()
        if self.ending.startswith('ERROR'):
            failure, text = lines.decode_failure(self.ending)
            return TargetReply(
                failure=failure, message=text, session_state=state, position=position
            )
        signature = self.ending.partition(' ')[2]
        status = None
        if isinstance(command, CONTROL_COMMANDS) and self.rows:
            status = lines.decode_status(self.rows[0])
        return TargetReply(
            rows=tuple(self.rows),
            signature='' if signature == lines.NOTHING else signature,
            session_state=state,
            position=position,
            status=status,
        )

    def _fail(self, reason: str) -> None:
        if self.connector.connections.pop(self.connection_id, None) is not None:
            self.transport.abortConnection()
            self.connector.dispatch(ConnectionLost(self.connection_id, reason))

    def close(self) -> None:
        """Close the connection without an event."""
        self.connector.connections.pop(self.connection_id, None)
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Report the end of the connection unless it was closed from here."""
        if self.connector.connections.pop(self.connection_id, None) is None:
            return
        text = reason.getErrorMessage()
        if self.started:
            self.connector.dispatch(ConnectionLost(self.connection_id, text))
        else:
            self.connector.dispatch(ConnectionRefused(self.connection_id, text))


class _TargetFactory(ClientFactory):
    noisy = False

    def __init__(self, connector: 'TargetConnector', request: OpenTarget):
        self.connector = connector
        self.request = request

    def buildProtocol(self, addr: Any) -> Protocol:  # noqa: N802
        return TargetProtocol(self.connector, self.request)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        event = ConnectionRefused(self.request.connection_id, reason.getErrorMessage())
        self.connector.dispatch(event)


class TargetConnector:
    """Opens connections to targets.

    Attributes:
        vm: Name that targets see.
        dispatch: Function that takes the events.
        connections: Protocol per connection number.
    """

    def __init__(self, reactor: Any, vm: str, dispatch: Any):
        self.reactor = reactor
        self.vm = vm
        self.dispatch = dispatch
        self.connections: dict[int, TargetProtocol] = {}

    def open(self, request: OpenTarget) -> None:
        """Begin to open a connection."""
        record = request.record
        factory = _TargetFactory(self, request)
        self.reactor.connectTCP(record.host, record.port, factory, timeout=CONNECT_TIMEOUT_S)
