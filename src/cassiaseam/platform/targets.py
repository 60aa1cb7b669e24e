"""Client side of the connections to targets."""

from collections import deque
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from cassiaseam.httpio import CONNECT_TIMEOUT_S, enable_dead_peer_detection
from cassiaseam.platform import line_protocol
from cassiaseam.pooler.commands import CONTROL_COMMANDS, Command, SessionState, TargetReply
from cassiaseam.pooler.events import (
    CommandAnswered,
    ConnectionLost,
    ConnectionReady,
    ConnectionRefused,
    OpenConnection,
)


class TargetProtocol(Protocol):
    """Encodes commands to one target and decodes its replies."""

    def __init__(self, connector: 'TargetConnector', request: OpenConnection):
        self.connector = connector
        self.connection_id = request.connection_id
        self.record = request.record
        self.caller = request.account or connector.vm
        self.buffer = b''
        self.started = False
        self.commands: deque[Command] = deque()
        self.rows: list[str] = []
        self.result_line = ''

    def connectionMade(self) -> None:  # noqa: N802
        """Send the group and the target that are expected at the address."""
        enable_dead_peer_detection(self.transport)
        self.connector.connections[self.connection_id] = self
        start = line_protocol.encode_target_start(self.record.group, self.caller, self.record.name)
        self.transport.write(start)

    def send_commands(self, commands: tuple[Command, ...]) -> None:
        """Pipeline commands; the target replies in the same order."""
        self.commands.extend(commands)
        self.transport.write(
            b''.join(line_protocol.encode_command(command) for command in commands)
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Decode all complete messages in the buffer."""
        self.buffer += data
        while self.connection_id in self.connector.connections:
            line, found, rest = self.buffer.partition(line_protocol.LINE_END)
            if len(line) > line_protocol.MAX_MESSAGE_BYTES:
                self._fail('the message is too long')
                return
            if not found:
                return
            self.buffer = rest
            self._read_line(line.decode(line_protocol.ENCODING))

    def _read_line(self, line: str) -> None:
        word = line.partition(' ')[0]
        if word == 'ROW':
            self.rows.append(line[4:])
        elif word in {'DONE', 'ERROR'}:
            self.result_line = line
            if word == 'ERROR' and not self.started:
                self._report_refusal(line)
        elif word == 'READY':
            self._read_ready(line)
        else:
            self._fail(f'not a reply: {line[:40]!r}')

    def _report_refusal(self, line: str) -> None:
        failure, text = line_protocol.decode_failure(line)
        self.connector.connections.pop(self.connection_id, None)
        self.transport.loseConnection()
        reply = TargetReply(failure=failure, message=text)
        self.connector.dispatch(ConnectionRefused(self.connection_id, text, reply))

    def _read_ready(self, line: str) -> None:
        ready = line_protocol.decode_ready(line)
        if ready is None:
            self._fail(f'not a reply: {line[:40]!r}')
            return
        state, position = ready
        if not self.started:
            self.started = True
            reply = TargetReply(position=position)
            self.connector.dispatch(ConnectionReady(self.connection_id, reply))
        elif self.result_line and self.commands:
            reply = self._build_reply(state, position)
            self.rows, self.result_line = [], ''
            self.connector.dispatch(CommandAnswered(self.connection_id, reply))
        else:
            self._fail('a reply to no command')

    def _build_reply(self, state: SessionState, position: Any) -> TargetReply:
        command = self.commands.popleft()
        if self.result_line.startswith('ERROR'):
            failure, text = line_protocol.decode_failure(self.result_line)
            return TargetReply(
                failure=failure, message=text, session_state=state, position=position
            )
        signature = self.result_line.partition(' ')[2]
        status = None
        if isinstance(command, CONTROL_COMMANDS) and self.rows:
            status = line_protocol.decode_status(self.rows[0])
        return TargetReply(
            rows=tuple(self.rows),
            signature='' if signature == line_protocol.EMPTY_FIELD else signature,
            session_state=state,
            position=position,
            status=status,
        )

    def _fail(self, reason: str) -> None:
        if self.connector.connections.pop(self.connection_id, None) is not None:
            self.transport.abortConnection()
            self.connector.dispatch(ConnectionLost(self.connection_id, reason))

    def close(self) -> None:
        """Abort the connection without an event."""
        self.connector.connections.pop(self.connection_id, None)
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Report the end of the connection unless this side closed it."""
        if self.connector.connections.pop(self.connection_id, None) is None:
            return
        text = reason.getErrorMessage()
        if self.started:
            self.connector.dispatch(ConnectionLost(self.connection_id, text))
        else:
            self.connector.dispatch(ConnectionRefused(self.connection_id, text))


class _TargetFactory(ClientFactory):
    noisy = False

    def __init__(self, connector: 'TargetConnector', request: OpenConnection):
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
        vm: Name of this VM, which is sent to targets on connections without a client account.
        dispatch: Callback for events.
        connections: Protocol per connection id.
    """

    def __init__(self, reactor: Any, vm: str, dispatch: Any):
        self.reactor = reactor
        self.vm = vm
        self.dispatch = dispatch
        self.connections: dict[int, TargetProtocol] = {}

    def open(self, request: OpenConnection) -> None:
        """Start to open a connection."""
        record = request.record
        factory = _TargetFactory(self, request)
        self.reactor.connectTCP(record.host, record.port, factory, timeout=CONNECT_TIMEOUT_S)
