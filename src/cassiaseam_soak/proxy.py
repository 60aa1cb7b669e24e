"""Loopback proxies that delay, reset, cut one way, silence or hold connections."""

import asyncio
import enum
import socket
from collections.abc import Callable
from dataclasses import dataclass

LOOPBACK = '127.0.0.1'
CHUNK_BYTES = 65536
# Connections that wait to be accepted.
BACKLOG = 100
POLL_S = 0.02


class LinkFault(enum.Enum):
    """What a proxy does to the connections of one client.

    `DELAY` holds every chunk for a time, `RESET` ends connections, `SILENCE` takes bytes and
    passes nothing on, `CUT_ANSWERS` loses only what the server sends.
    """

    DELAY = 'delay'
    RESET = 'reset'
    SILENCE = 'silence'
    CUT_ANSWERS = 'cut_answers'


@dataclass(slots=True)
class ActiveFault:
    """A fault that holds until a time on the clock of the event loop."""

    kind: LinkFault
    client: str
    until: float
    delay_s: float = 0


class FaultyProxy:
    """Passes connections to one server.

    Attributes:
        name_client: Returns the name of the client from the first bytes of a connection.
        faults: Faults in force; an empty client name means all clients.
    """

    def __init__(
        self, server_port: Callable[[], int], name_client: Callable[[bytes], str] | None = None
    ):
        self.server_port = server_port
        self.name_client = name_client
        self.faults: list[ActiveFault] = []
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: dict[asyncio.StreamWriter, str] = {}

    async def start(self) -> None:
        """Accept connections."""
        self.server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """End all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def inject(self, kind: LinkFault, client: str, for_s: float, delay_s: float = 0) -> None:
        """Apply a fault for some seconds."""
        loop = asyncio.get_running_loop()
        self.faults.append(ActiveFault(kind, client, loop.time() + for_s, delay_s))
        if kind is LinkFault.RESET:
            for writer, name in list(self.writers.items()):
                if client in {'', name}:
                    writer.transport.abort()

    def find_fault(self, client: str) -> ActiveFault | None:
        """Return the fault in force for a client."""
        now = asyncio.get_running_loop().time()
        self.faults = [fault for fault in self.faults if fault.until > now]
        return next((fault for fault in self.faults if fault.client in {'', client}), None)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass one connection on."""
        client = ''
        first = b''
        try:
            if self.name_client is not None:
                first = await reader.readuntil(b'\n')
                client = self.name_client(first)
            self.writers[writer] = client
            await self.wait_while_silent(client)
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

    async def wait_while_silent(self, client: str) -> None:
        """Wait until a client is no longer silenced."""
        while True:
            fault = self.find_fault(client)
            if fault is None or fault.kind is not LinkFault.SILENCE:
                return
            await asyncio.sleep(POLL_S)

    async def pipe(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        client: str,
        answers: bool,
    ) -> None:
        """Pass bytes in one direction; bytes lost in between break the rest of it."""
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                fault = self.find_fault(client)
                if fault is not None and fault.kind is LinkFault.DELAY:
                    await asyncio.sleep(fault.delay_s)
                elif fault is not None and (fault.kind is LinkFault.SILENCE or answers):
                    # A stream with a hole must not go on: it stays silent for good.
                    await asyncio.sleep(3600)
                writer.write(chunk)
                await writer.drain()
        except (ConnectionError, OSError):
            return


class HoldingProxy(FaultyProxy):
    """A proxy that can also leave new connections waiting.

    A client that is stopped meanwhile sends only after it goes on, since the kernel completes the
    connection without it.
    """

    def __init__(self, server_port: Callable[[], int]):
        super().__init__(server_port)
        self.listener = socket.socket()
        self.is_holding = False
        self.accepting: asyncio.Task[None] | None = None
        self.serving: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Accept connections."""
        self.listener.setblocking(False)
        self.listener.bind((LOOPBACK, 0))
        self.port = self.listener.getsockname()[1]
        self.resume()

    def stop(self) -> None:
        """End all connections."""
        super().stop()
        self.accepting.cancel()
        self.listener.close()

    def resume(self) -> None:
        """Accept connections again."""
        self.listener.listen(BACKLOG)
        self.is_holding = False
        self.accepting = asyncio.ensure_future(self.accept())

    async def accept(self) -> None:
        """Serve connections until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            accepted, _ = await loop.sock_accept(self.listener)
            streams = await asyncio.open_connection(sock=accepted)
            task = asyncio.ensure_future(self.serve(*streams))
            self.serving.add(task)
            task.add_done_callback(self.serving.discard)

    async def hold_connections(self, for_s: float) -> None:
        """Leave new connections waiting for some seconds, unless they wait already."""
        if self.is_holding:
            return
        self.is_holding = True
        self.accepting.cancel()
        await asyncio.wait((self.accepting,))
        self.listener.listen(0)
        # The queue is full with one connection; the kernel drops the first packet of others.
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex((LOOPBACK, self.port))
        await asyncio.sleep(for_s)
        filler.close()
        self.resume()
