"""Listener for callers over the MySQL protocol."""

import asyncio
import socket
import uuid
from dataclasses import dataclass

from absl import logging
from mysql_mimic.control import LocalControl

from cassiaseam.entry.caller_session import CallerSession
from cassiaseam.entry.connection import LOGIN_TIMEOUT_S, SERVER_CAPABILITIES, CallerConnection
from cassiaseam.entry.forwarding import Forwarder
from cassiaseam.entry.identity import CallerDirectory
from cassiaseam.entry.packets import make_error_packet
from cassiaseam.entry.session_state import SessionState
from cassiaseam.entry.statements import DeadlineLimits, StatementRunner
from cassiaseam.entry.stream import CallerReader, CallerStream, CallerWriter
from cassiaseam.errors import ErrorKind, RequestError

# Space for the command byte, parameters and query attributes besides the statement.
PAYLOAD_OVERHEAD_BYTES = 65536
READER_LIMIT_BYTES = 65536
SHUTDOWN_POLL_S = 0.05


@dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Limits of the listener.

    Attributes:
        sessions: Maximum number of concurrent connections.
        statement_bytes: Largest accepted size of a statement text.
        login_timeout_s: Timeout of a login in seconds.
        deadlines: Default and maximum deadline of statements.
    """

    sessions: int = 2000
    statement_bytes: int = 1048576
    login_timeout_s: float = LOGIN_TIMEOUT_S
    deadlines: DeadlineLimits = DeadlineLimits()


class CallerListener:
    """Accepts connections of callers and serves their sessions.

    Attributes:
        forwarder: Forwards the statements of all sessions.
        directory: Logins and grants.
        connections: Open connections.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        directory: CallerDirectory,
        limits: ListenerLimits | None = None,
    ):
        self.forwarder = forwarder
        self.directory = directory
        self.limits = limits or ListenerLimits()
        self.control = LocalControl()
        self.connections: set[CallerConnection] = set()
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task] = set()

    async def start(self, host: str, port: int) -> int:
        """Start listening and return the port."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self._build_protocol, host, port, backlog=1024)
        return self.server.sockets[0].getsockname()[1]

    async def stop(self, grace_s: float) -> bool:
        """Stop accepting, wait for work in progress, then close every connection.

        Args:
            grace_s: Longest wait for running statements and open transactions in seconds.

        Returns:
            Whether all work in progress finished in time.
        """
        if self.server is not None:
            self.server.close()
        loop = asyncio.get_running_loop()
        end = loop.time() + grace_s
        for connection in list(self.connections):
            connection.close_when_idle()
        while self.connections and loop.time() < end:
            await asyncio.sleep(SHUTDOWN_POLL_S)
        finished = not self.connections
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        return finished

    def _build_protocol(self) -> asyncio.StreamReaderProtocol:
        loop = asyncio.get_running_loop()
        reader = CallerReader(limit=READER_LIMIT_BYTES, loop=loop)
        return asyncio.StreamReaderProtocol(reader, self._start_serving, loop=loop)

    def _start_serving(self, reader: CallerReader, plain: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        transport = plain.transport
        writer = CallerWriter(transport, transport.get_protocol(), reader, loop)
        task = loop.create_task(self._serve_caller(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve_caller(self, reader: CallerReader, writer: CallerWriter) -> None:
        # TCP keepalive detects a caller whose machine disappeared without closing the connection.
        writer.get_extra_info('socket').setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        payload_bytes = self.limits.statement_bytes + PAYLOAD_OVERHEAD_BYTES
        stream = CallerStream(reader, writer, payload_bytes)
        connection = self._build_connection(stream)
        self.connections.add(connection)
        reader.on_eof = connection.handle_disconnect
        try:
            if len(self.connections) > self.limits.sessions:
                await self._refuse_session(stream)
            else:
                await self._run_connection(connection)
        except (ConnectionError, TimeoutError):
            logging.info('event=caller_lost connection=%d', connection.connection_id)
        except asyncio.CancelledError:
            logging.info('event=caller_cancelled connection=%d', connection.connection_id)
        finally:
            self.connections.discard(connection)
            writer.close()

    async def _run_connection(self, connection: CallerConnection) -> None:
        connection.connection_id = await self.control.add(connection)
        try:
            await connection.start()
        finally:
            await self.control.remove(connection.connection_id)

    async def _refuse_session(self, stream: CallerStream) -> None:
        message = f'{self.limits.sessions} sessions are open'
        error = RequestError(ErrorKind.OVERLOADED, message, retry_after_s=1.0)
        await stream.write(make_error_packet(error, SERVER_CAPABILITIES))

    def _build_connection(self, stream: CallerStream) -> CallerConnection:
        clock = self.forwarder.clock
        state = SessionState(uuid.uuid4().hex, self.forwarder.vm, opened_at=clock())
        runner = StatementRunner(state, self.forwarder, clock, self.limits.deadlines)
        session = CallerSession(runner, self.directory, self.limits.statement_bytes)
        return CallerConnection(
            stream=stream,
            session=session,
            control=self.control,
            identity_provider=self.directory,
            server_capabilities=SERVER_CAPABILITIES,
            login_timeout_s=self.limits.login_timeout_s,
        )
