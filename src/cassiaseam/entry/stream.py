"""Reads and writes MySQL packets of one caller within limits on size and time."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

from mysql_mimic.results import ResultColumn
from mysql_mimic.stream import ConnectionClosed, MysqlStream

FULL_PACKET_BYTES = 0xFFFFFF
HEADER_BYTES = 4
DISCARD_CHUNK_BYTES = 65536
# A caller that sends more than this after its limit is disconnected instead of read to the end.
MAX_DISCARDED_BYTES = 67108864
PACKET_TIMEOUT_S = 30.0
WRITE_TIMEOUT_S = 30.0


class MalformedPacketError(Exception):
    """The bytes are not a packet of the protocol; the connection cannot go on."""


class StatementTooLargeError(Exception):
    """A complete payload was larger than the limit and was discarded."""


class CallerReader(asyncio.StreamReader):
    """Stream reader that reports the end of the input at once, also while nobody reads.

    Attributes:
        on_end: Called without arguments when the caller is gone.
    """

    on_end: Callable[[], None] | None = None

    def feed_eof(self) -> None:
        """Handle the end of the input."""
        super().feed_eof()
        self._report_end()

    def set_exception(self, exc: BaseException) -> None:
        """Handle a broken connection."""
        super().set_exception(exc)  # type: ignore[arg-type]
        self._report_end()

    def has_buffered(self, count: int) -> bool:
        """Return whether `count` bytes can be read without waiting."""
        return len(self._buffer) >= count

    def _report_end(self) -> None:
        if self.on_end is not None:
            self.on_end()


class CallerWriter(asyncio.StreamWriter):
    """Stream writer that gives up on a caller that does not read its answers.

    A timer costs 6 to 11 us, so there is one only while the socket is full.
    """

    async def drain(self) -> None:
        """Wait until the socket takes more.

        Raises:
            TimeoutError: The caller does not read its answers.
        """
        transport = self.transport
        # Above the low limit the transport may have stopped taking more.
        if transport.get_write_buffer_size() <= transport.get_write_buffer_limits()[0]:
            await super().drain()
            return
        async with asyncio.timeout(WRITE_TIMEOUT_S):
            await super().drain()


class CallerStream:
    """Packets of one caller.

    It takes the place of `MysqlStream`, whose reader trusts the length in the header and fails
    on a header that arrives in parts. `MysqlStream` is compiled and cannot be subclassed.

    Attributes:
        max_payload_bytes: Payloads above this size are discarded.
    """

    def __init__(self, reader: CallerReader, writer: CallerWriter, max_payload_bytes: int):
        self.reader = reader
        self.writer = writer
        self.max_payload_bytes = max_payload_bytes
        self.inner = MysqlStream(reader, writer)

    async def read(self) -> bytes:
        """Return the next payload.

        Raises:
            ConnectionClosed: The caller ended the connection between two packets.
            MalformedPacketError: The sequence is wrong, or a packet ended early or took too long.
            StatementTooLargeError: The payload was larger than the limit.
        """
        length = await self._read_header()
        fits = length < FULL_PACKET_BYTES and length <= self.max_payload_bytes
        if fits and self.reader.has_buffered(length):
            return await self.reader.readexactly(length)
        try:
            async with asyncio.timeout(PACKET_TIMEOUT_S):
                return await self._read_payload(length)
        except TimeoutError as error:
            raise MalformedPacketError('packet not complete in time') from error
        except asyncio.IncompleteReadError as error:
            raise MalformedPacketError('connection ended inside a packet') from error

    async def write(self, packet: bytes, drain: bool = True) -> None:
        """Send one payload.

        Raises:
            TimeoutError: The caller does not read its answers.
        """
        await self.inner.write(packet, drain)

    def write_many(self, packets: Sequence[bytes]) -> None:
        """Buffer payloads."""
        self.inner.write_many(packets)

    def write_text_rows(self, rows: Sequence[Sequence[Any]], columns: Sequence[ResultColumn]):
        """Buffer rows in the text format and return their number."""
        return self.inner.write_text_rows(rows, columns)

    async def drain(self) -> None:
        """Send what is buffered.

        Raises:
            TimeoutError: The caller does not read its answers.
        """
        await self.inner.drain()

    def reset_seq(self) -> None:
        """Start the sequence of the next command."""
        self.inner.reset_seq()

    async def _read_payload(self, length: int) -> bytes:
        if length < FULL_PACKET_BYTES and length <= self.max_payload_bytes:
            return await self.reader.readexactly(length)
        payload = bytearray()
        size = 0
        while True:
            size += length
            if size > MAX_DISCARDED_BYTES:
                raise MalformedPacketError(f'payload exceeds {MAX_DISCARDED_BYTES} bytes')
            if size > self.max_payload_bytes:
                payload.clear()
                await self._discard(length)
            else:
                payload.extend(await self.reader.readexactly(length))
            if length < FULL_PACKET_BYTES:
                break
            length = await self._read_header()
        if size > self.max_payload_bytes:
            raise StatementTooLargeError(f'{size} bytes exceed {self.max_payload_bytes}')
        return bytes(payload)

    async def _read_header(self) -> int:
        try:
            header = await self.reader.readexactly(HEADER_BYTES)
        except asyncio.IncompleteReadError as error:
            if error.partial:
                raise MalformedPacketError('connection ended inside a header') from error
            raise ConnectionClosed from error
        expected = next(self.inner.seq)
        if header[3] != expected:
            raise MalformedPacketError(f'packet number {header[3]}, expected {expected}')
        return int.from_bytes(header[:3], 'little')

    async def _discard(self, length: int) -> None:
        while length:
            chunk = await self.reader.read(min(length, DISCARD_CHUNK_BYTES))
            if not chunk:
                raise MalformedPacketError('connection ended inside a packet')
            length -= len(chunk)
