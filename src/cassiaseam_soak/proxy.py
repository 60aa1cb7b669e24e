"""Loopback proxy that delays, resets, cuts one way or silences connections."""

import asyncio
import enum
from collections.abc import Callable
from dataclasses import dataclass

LOOPBACK = '127.0.0.1'
CHUNK_BYTES = 65536
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
