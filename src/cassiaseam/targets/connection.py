"""MySQL connection to one target, based on aiomysql."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import aiomysql
from aiomysql.cursors import SSCursor
from pymysql.constants import FIELD_TYPE

from cassiaseam.configuration.model import TargetConfig
from cassiaseam.messages import ResultSet

MAX_RESULT_BYTES = 16 * 1024 * 1024
# Size of a number when the size of a result is estimated.
ESTIMATED_NUMBER_BYTES = 8
COM_RESET_CONNECTION = 0x1F

INTEGER_TYPES = (
    FIELD_TYPE.TINY,
    FIELD_TYPE.SHORT,
    FIELD_TYPE.LONG,
    FIELD_TYPE.LONGLONG,
    FIELD_TYPE.INT24,
    FIELD_TYPE.YEAR,
)
# Other types stay text or bytes, so that DECIMAL and DATETIME values reach the caller exactly as
# the target sent them.
CONVERTERS = {
    **dict.fromkeys(INTEGER_TYPES, int),
    FIELD_TYPE.FLOAT: float,
    FIELD_TYPE.DOUBLE: float,
}


class ResultTooLarge(Exception):
    """A result exceeds `MAX_RESULT_BYTES`; it was read completely, the connection is usable."""


class RowCursor(SSCursor):
    """Unbuffered cursor that never fetches warnings, which would cost a round trip."""

    async def _show_warnings(self, conn: aiomysql.Connection) -> None:
        """Do nothing instead of fetching warnings."""


class ProtocolConnection(aiomysql.Connection):
    """Connection of aiomysql with session reset and detection of connection loss."""

    async def connect(self) -> None:
        """Connect and log in."""
        await self._connect()

    def call_when_lost(self, callback: Callable[[], None]) -> None:
        """Call `callback` once when the connection is lost or closed, even while it is idle."""
        reader = self._reader
        feed_eof = reader.feed_eof
        pending = [callback]

        def feed_eof_and_notify() -> None:
            feed_eof()
            while pending:
                pending.pop()()

        reader.feed_eof = feed_eof_and_notify

    async def reset_session(self) -> None:
        """Send COM_RESET_CONNECTION, which rolls back and resets the session."""
        await self._execute_command(COM_RESET_CONNECTION, '')
        await self._read_ok_packet()

    def is_lost(self) -> bool:
        """Return whether the connection is closed or the target has closed its side."""
        if self._writer is None or self._writer.transport.is_closing():
            return True
        return self._reader.eof_received


@dataclass(slots=True, eq=False)
class TargetConnection:
    """Open connection to a target.

    Attributes:
        target: Target of the connection.
        protocol: Connection of aiomysql.
        incarnation: Incarnation that the target reported when the connection opened.
    """

    target: TargetConfig
    protocol: ProtocolConnection
    incarnation: str = ''

    @property
    def is_closed(self) -> bool:
        """Return whether statements can no longer be sent."""
        return self.protocol.is_lost()

    def call_when_lost(self, callback: Callable[[], None]) -> None:
        """Call `callback` once when the connection is lost or closed, even while it is idle."""
        self.protocol.call_when_lost(callback)

    def close(self) -> None:
        """Close the socket immediately; a running statement fails with `LOST`."""
        self.protocol.close()


async def connect_to_target(
    target: TargetConfig, user: str, password: str, timeout_s: float
) -> TargetConnection:
    """Open a connection with autocommit.

    Raises:
        TimeoutError: The target did not complete the login within `timeout_s` seconds.
        pymysql.err.Error: The target cannot be reached or refused the login.
    """
    protocol = ProtocolConnection(
        host=target.host,
        port=target.port,
        user=user,
        password=password,
        charset='utf8mb4',
        conv=CONVERTERS,
        autocommit=True,
    )
    try:
        async with asyncio.timeout(timeout_s):
            await protocol.connect()
    except BaseException:
        protocol.close()
        raise
    return TargetConnection(target, protocol)


def encode_text(text: str) -> bytes:
    """Encode like aiomysql; raises `UnicodeEncodeError` for lone surrogates."""
    return text.encode('utf-8', 'surrogateescape')


def estimate_row_bytes(row: tuple) -> int:
    """Return the approximate size of a row in bytes."""
    return sum(
        len(field) if isinstance(field, (str, bytes)) else ESTIMATED_NUMBER_BYTES for field in row
    )


async def fetch_rows(cursor: SSCursor) -> tuple[tuple, ...]:
    """Read all rows; raises `ResultTooLarge` after the last one when they exceed the maximum."""
    rows = []
    total_bytes = 0
    row = await cursor.fetchone()
    while row is not None:
        total_bytes += estimate_row_bytes(row)
        if total_bytes > MAX_RESULT_BYTES:
            rows.clear()
        else:
            rows.append(row)
        row = await cursor.fetchone()
    if total_bytes > MAX_RESULT_BYTES:
        raise ResultTooLarge(f'result of {total_bytes} bytes exceeds {MAX_RESULT_BYTES}')
    return tuple(rows)


async def execute_sql(protocol: ProtocolConnection, sql: str) -> ResultSet:
    """Run one statement in one round trip.

    Raises:
        ResultTooLarge: The rows exceed `MAX_RESULT_BYTES`.
        pymysql.err.Error: The target refused the statement or the connection was lost.
        OSError: The connection was lost.
    """
    cursor = await protocol.cursor(RowCursor)
    await cursor.execute(sql)
    if cursor.description is None:
        return ResultSet(affected_rows=cursor.rowcount, last_insert_id=cursor.lastrowid or 0)
    return ResultSet(
        columns=tuple(column[0] for column in cursor.description),
        rows=await fetch_rows(cursor),
        column_types=tuple(column[1] for column in cursor.description),
    )
