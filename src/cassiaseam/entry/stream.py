"""MySQL packet stream of one caller with size limits and timeouts."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

from mysql_mimic.results import ResultColumn
from mysql_mimic.stream import ConnectionClosed, MysqlStream

MAX_PACKET_PAYLOAD_BYTES = 0xFFFFFF
PACKET_HEADER_BYTES = 4
DISCARD_CHUNK_BYTES = 65536
# Callers that send a larger payload are disconnected instead of drained.
MAX_DISCARDED_BYTES = 67108864
PACKET_TIMEOUT_S = 30.0
WRITE_TIMEOUT_S = 30.0


class MalformedPacketError(Exception):
    """Received bytes are not a valid packet; the connection has to be closed."""


class StatementTooLargeError(Exception):
    """A payload exceeded the size limit and was discarded."""


class CallerReader(asyncio.StreamReader):
    """Stream reader that reports EOF immediately, even while no read is pending.

    Attributes:
        on_eof: Callback without arguments for EOF or a broken connection.
    """

    on_eof: Callable[[], None] | None = None

    def feed_eof(self) -> None:
        """Handle EOF."""
        super().feed_eof()
        self._notify_eof()

    def set_exception(self, exc: BaseException) -> None:
        """Handle a broken connection."""
        super().set_exception(exc)  # type: ignore[arg-type]
        self._notify_eof()

    def has_buffered(self, count: int) -> bool:
        """Return whether `count` bytes can be read without waiting."""
        return len(self._buffer) >= count

    def _notify_eof(self) -> None:
        if self.on_eof is not None:
            self.on_eof()


class CallerWriter(asyncio.StreamWriter):
    """Stream writer with a timeout for callers that do not read their responses.

    A timer costs 6 to 11 us, so one is started only while the socket buffer is full.
    """

    async def drain(self) -> None:
        """Wait until the socket accepts more data.

        Raises:
            TimeoutError: The caller does not read its responses.
        """
        transport = self.transport
        # Above the low-water mark the transport may have paused writing.
        if transport.get_write_buffer_size() <= transport.get_write_buffer_limits()[0]:
            await super().drain()
            return
        async with asyncio.timeout(WRITE_TIMEOUT_S):
            await super().drain()


class CallerStream:
    """Packet stream of one caller.

    Replaces `MysqlStream`, whose reader trusts the length in the header and fails on a header that
    arrives in parts. `MysqlStream` is compiled and cannot be subclassed.

    Attributes:
        max_payload_bytes: Size limit of a payload; larger ones are discarded.
    """

    def __init__(self, reader: CallerReader, writer: CallerWriter, max_payload_bytes: int):
        self.reader = reader
        self.writer = writer
        self.max_payload_bytes = max_payload_bytes
        self.inner = MysqlStream(reader, writer)

    async def read(self) -> bytes:
        """Return the next payload.

        Raises:
            ConnectionClosed: The caller closed the connection between two packets.
            MalformedPacketError: The sequence number is wrong, or a packet is truncated, timed out
                or far above the limit.
            StatementTooLargeError: The payload exceeds the limit.
        """
        length = await self._read_header()
        fits = length < MAX_PACKET_PAYLOAD_BYTES and length <= self.max_payload_bytes
        if fits and self.reader.has_buffered(length):
            return await self.reader.readexactly(length)
        try:
            async with asyncio.timeout(PACKET_TIMEOUT_S):
                return await self._read_payload(length)
        except TimeoutError as error:
            raise MalformedPacketError('timed out waiting for the rest of a packet') from error
        except asyncio.IncompleteReadError as error:
            raise MalformedPacketError('connection closed within a packet') from error

    async def write(self, packet: bytes, drain: bool = True) -> None:
        """Write one payload as packets.

        Raises:
            TimeoutError: The caller does not read its responses.
        """
        await self.inner.write(packet, drain)

    def write_many(self, packets: Sequence[bytes]) -> None:
        """Buffer several payloads without draining."""
        self.inner.write_many(packets)

    def write_text_rows(self, rows: Sequence[Sequence[Any]], columns: Sequence[ResultColumn]):
        """Buffer rows in the text format and return their number."""
        return self.inner.write_text_rows(rows, columns)

    async def drain(self) -> None:
        """Flush buffered packets.

        Raises:
            TimeoutError: The caller does not read its responses.
        """
        await self.inner.drain()

    def reset_seq(self) -> None:
        """Reset the sequence number for the next command."""
        self.inner.reset_seq()

    async def _read_payload(self, length: int) -> bytes:
        if length < MAX_PACKET_PAYLOAD_BYTES and length <= self.max_payload_bytes:
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
            if length < MAX_PACKET_PAYLOAD_BYTES:
                break
            length = await self._read_header()
        if size > self.max_payload_bytes:
            raise StatementTooLargeError(f'{size} bytes exceed {self.max_payload_bytes}')
        return bytes(payload)

    async def _read_header(self) -> int:
        try:
            header = await self.reader.readexactly(PACKET_HEADER_BYTES)
        except asyncio.IncompleteReadError as error:
            if error.partial:
                raise MalformedPacketError('connection closed within a packet header') from error
            raise ConnectionClosed from error
        expected = next(self.inner.seq)
        if header[3] != expected:
            raise MalformedPacketError(f'packet sequence number {header[3]}, expected {expected}')
        return int.from_bytes(header[:3], 'little')

    async def _discard(self, length: int) -> None:
        while length:
            chunk = await self.reader.read(min(length, DISCARD_CHUNK_BYTES))
            if not chunk:
                raise MalformedPacketError('connection closed within a packet')
            length -= len(chunk)
