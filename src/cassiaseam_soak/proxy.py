"""Loopback TCP proxies that delay, reset, silence, hold or cut connections in one direction."""

import asyncio
import enum
import socket
from collections.abc import Callable
from dataclasses import dataclass

LOOPBACK = '127.0.0.1'
CHUNK_BYTES = 65536
LISTEN_BACKLOG = 100
POLL_S = 0.02
# Longer than any run, so that a connection that lost bytes stays silent.
LOSSY_SILENCE_S = 3600


class LinkFault(enum.Enum):
    """Fault that a proxy applies to the connections of a client.

    `DELAY` delays every chunk, `RESET` aborts connections, `SILENCE` discards the bytes of both
    directions, `CUT_ANSWERS` discards only the bytes from the server.
    """

    DELAY = 'delay'
    RESET = 'reset'
    SILENCE = 'silence'
    CUT_ANSWERS = 'cut_answers'


@dataclass(slots=True)
class ActiveFault:
    """A fault in force until a time on the clock of the event loop."""

    kind: LinkFault
    client: str
    until: float
    delay_s: float = 0


class FaultyProxy:
    """Forwards connections to one server and applies faults to them.

    Attributes:
        parse_client_name: Returns the client name from the first line of a connection.
        find_client_name: Returns the client name for the client's port; used instead of the first
            line unless None.
        faults: Faults in force; an empty client name means all clients.
        ends_lossy_connections: Whether a connection that lost bytes ends with the fault, as if
            keepalive had found it dead; otherwise it stays silent.
        find_hold_limit: Returns the time on the clock of the event loop until which a request that
            is received at a given time may be forwarded, or None if faults hold requests without
            a limit.
    """

    def __init__(
        self,
        server_port: Callable[[], int],
        parse_client_name: Callable[[bytes], str] | None = None,
    ):
        self.server_port = server_port
        self.parse_client_name = parse_client_name
        self.find_client_name: Callable[[int], str] | None = None
        self.faults: list[ActiveFault] = []
        self.ends_lossy_connections = False
        self.find_hold_limit: Callable[[float], float] | None = None
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: dict[asyncio.StreamWriter, str] = {}

    async def start(self) -> None:
        """Accept connections."""
        self.server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Abort all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def inject(self, kind: LinkFault, client: str, duration_s: float, delay_s: float = 0) -> None:
        """Apply a fault for `duration_s` seconds; an empty client name means all clients."""
        loop = asyncio.get_running_loop()
        self.faults.append(ActiveFault(kind, client, loop.time() + duration_s, delay_s))
        if kind is LinkFault.RESET:
            for writer, name in list(self.writers.items()):
                if client in {'', name}:
                    writer.transport.abort()

    def find_fault(self, client: str) -> ActiveFault | None:
        """Return the fault in force for a client, or None."""
        now = asyncio.get_running_loop().time()
        self.faults = [fault for fault in self.faults if fault.until > now]
        return next((fault for fault in self.faults if fault.client in {'', client}), None)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection until either side closes it."""
        client = ''
        first = b''
        try:
            if self.parse_client_name is not None:
                first = await reader.readuntil(b'\n')
                client = self.parse_client_name(first)
            if self.find_client_name is not None:
                client = self.find_client_name(writer.get_extra_info('peername')[1])
            self.writers[writer] = client
            if self.find_hold_limit is None:
                await self.wait_while_silent(client)
            else:
                first += await self.hold_request(reader, client, self.find_hold_limit)
            upstream = await asyncio.open_connection(LOOPBACK, self.server_port())
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            self.writers.pop(writer, None)
            writer.transport.abort()
            return
        upstream[1].write(first)
        pipes = [
            asyncio.ensure_future(self.pipe(reader, upstream[1], client, answers=False)),
            asyncio.ensure_future(self.pipe(upstream[0], writer, client, answers=True)),
        ]
        await asyncio.wait(pipes, return_when=asyncio.FIRST_COMPLETED)
        for pipe in pipes:
            pipe.cancel()
        self.writers.pop(writer, None)
        writer.close()
        upstream[1].close()

    async def hold_request(
        self,
        reader: asyncio.StreamReader,
        client: str,
        find_hold_limit: Callable[[float], float],
    ) -> bytes:
        """Return the first bytes of a request after the faults in force have held them.

        Raises:
            TimeoutError: The faults lasted beyond the hold limit, and the bytes are lost.
        """
        loop = asyncio.get_running_loop()
        request = await reader.read(CHUNK_BYTES)
        limit = find_hold_limit(loop.time())
        fault = self.find_fault(client)
        if fault is not None and fault.kind is LinkFault.DELAY:
            await asyncio.sleep(fault.delay_s)
        await self.wait_while_silent(client)
        if loop.time() > limit:
            raise TimeoutError('the request was held beyond its limit')
        return request

    async def wait_while_silent(self, client: str) -> None:
        """Wait until a client is no longer silenced."""
        while True:
            fault = self.find_fault(client)
            if fault is None or fault.kind is not LinkFault.SILENCE:
                return
            await asyncio.sleep(POLL_S)

    async def wait_after_loss(self, fault: ActiveFault) -> None:
        """Wait until a connection that lost bytes by a fault is closed."""
        remaining_s = fault.until - asyncio.get_running_loop().time()
        await asyncio.sleep(remaining_s if self.ends_lossy_connections else LOSSY_SILENCE_S)

    async def pipe(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        client: str,
        answers: bool,
    ) -> None:
        """Forward bytes in one direction; once bytes are lost, forward nothing more."""
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                fault = self.find_fault(client)
                if fault is not None and fault.kind is LinkFault.DELAY:
                    await asyncio.sleep(fault.delay_s)
                elif fault is not None and (fault.kind is LinkFault.SILENCE or answers):
                    # A stream with missing bytes must not continue, so it stays silent.
                    await self.wait_after_loss(fault)
                    return
                writer.write(chunk)
                await writer.drain()
        except (ConnectionError, OSError):
            return


class HoldingProxy(FaultyProxy):
    """A proxy that can also hold new connections before they are established.

    A client that is paused meanwhile sends its request only after it resumes, since the kernel
    completes the handshake without it.
    """

    def __init__(self, server_port: Callable[[], int]):
        super().__init__(server_port)
        self.listener = socket.socket()
        self.is_holding = False
        self.accept_task: asyncio.Task[None] | None = None
        self.serve_tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Accept connections."""
        self.listener.setblocking(False)
        self.listener.bind((LOOPBACK, 0))
        self.port = self.listener.getsockname()[1]
        self.resume()

    def stop(self) -> None:
        """Abort all connections."""
        super().stop()
        self.accept_task.cancel()
        self.listener.close()

    def resume(self) -> None:
        """Accept connections again."""
        self.listener.listen(LISTEN_BACKLOG)
        self.is_holding = False
        self.accept_task = asyncio.ensure_future(self.accept())

    async def accept(self) -> None:
        """Serve connections until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            accepted, _ = await loop.sock_accept(self.listener)
            streams = await asyncio.open_connection(sock=accepted)
            task = asyncio.ensure_future(self.serve(*streams))
            self.serve_tasks.add(task)
            task.add_done_callback(self.serve_tasks.discard)

    async def hold_connections(self, duration_s: float) -> None:
        """Hold new connections for `duration_s` seconds; no effect during another hold."""
        if self.is_holding:
            return
        self.is_holding = True
        self.accept_task.cancel()
        await asyncio.wait((self.accept_task,))
        self.listener.listen(0)
        # One connection fills the accept queue; the kernel drops the SYN of further ones.
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex((LOOPBACK, self.port))
        await asyncio.sleep(duration_s)
        filler.close()
        self.resume()
