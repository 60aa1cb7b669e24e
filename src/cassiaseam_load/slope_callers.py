"""Caller connections as raw sockets, which keep no client library state in this process."""

import os
import struct
import time

import pymysql

from cassiaseam_load.slope_support import LOOPBACK

USER = 'capacity'
PASSWORD = 'capacity'  # noqa: S105
SETTLE_S = 0.3
READ_BYTES = 1 << 20
_COM_QUERY = b'\x03'


def open_caller(port: int, database: str) -> int:
    """Log in with PyMySQL and return the detached file descriptor of the connection."""
    connection = pymysql.connect(
        host=LOOPBACK,
        port=port,
        user=USER,
        password=PASSWORD,
        database=database,
        autocommit=True,
        ssl_disabled=True,
    )
    return connection._sock.detach()


def encode_query(sql: str) -> bytes:
    """Return the COM_QUERY packet of a statement, without query attributes."""
    payload = _COM_QUERY + sql.encode()
    return struct.pack('<I', len(payload)) + payload


class RawCallers:
    """Callers that send statements concurrently and recognize complete answers by their length.

    Attributes:
        descriptors: File descriptors of the connections.
    """

    def __init__(self, port: int, database: str, count: int):
        self.descriptors = [open_caller(port, database) for _ in range(count)]

    def read_answer_length(self, sql: str) -> int:
        """Run a statement once and return the size of its answer in bytes."""
        descriptor = self.descriptors[0]
        os.write(descriptor, encode_query(sql))
        time.sleep(SETTLE_S)
        return len(os.read(descriptor, READ_BYTES))

    def run_rounds(self, sql: str, rounds: int) -> int:
        """Run a statement on all connections concurrently, `rounds` times.

        Returns:
            Number of statements run, without the one that determines the answer size.

        Raises:
            ValueError: The size of an answer differs from that of the first one.
        """
        packet = encode_query(sql)
        expected = self.read_answer_length(sql)
        for _ in range(rounds):
            for sending in self.descriptors:
                os.write(sending, packet)
            for descriptor in self.descriptors:
                _read_answer(descriptor, expected)
        return rounds * len(self.descriptors)

    def close(self) -> None:
        """Close all connections."""
        for descriptor in self.descriptors:
            os.close(descriptor)
        self.descriptors.clear()


def _read_answer(descriptor: int, expected: int) -> None:
    received = 0
    while received < expected:
        part = os.read(descriptor, READ_BYTES)
        if not part:
            raise ValueError(f'connection closed after {received} of {expected} bytes')
        received += len(part)
    if received != expected:
        raise ValueError(f'answer of {received} bytes, expected {expected}')
