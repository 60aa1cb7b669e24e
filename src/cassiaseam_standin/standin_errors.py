"""Errors of the stand-in target and their MySQL codes."""

import sqlite3

ACCESS_DENIED = 1045
BAD_NULL = 1048
TABLE_EXISTS = 1050
SHUTDOWN = 1053
BAD_FIELD = 1054
DUPLICATE_KEY = 1062
PARSE_ERROR = 1064
TOO_MANY_CONNECTIONS = 1040
UNKNOWN_ERROR = 1105
NO_SUCH_TABLE = 1146
NET_READ_ERROR = 1158
LOCK_WAIT_TIMEOUT = 1205
WRONG_ARGUMENTS = 1210
NOT_SUPPORTED = 1235
READ_ONLY = 1290
NO_SUCH_FUNCTION = 1305
FOREIGN_KEY = 1452

SQLSTATES: dict[int, str] = {
    ACCESS_DENIED: '28000',
    BAD_NULL: '23000',
    TABLE_EXISTS: '42S01',
    SHUTDOWN: '08S01',
    BAD_FIELD: '42S22',
    DUPLICATE_KEY: '23000',
    PARSE_ERROR: '42000',
    TOO_MANY_CONNECTIONS: '08004',
    NO_SUCH_TABLE: '42S02',
    NET_READ_ERROR: '08S01',
    NOT_SUPPORTED: '42000',
    NO_SUCH_FUNCTION: '42000',
    FOREIGN_KEY: '23000',
}

# Parts of sqlite messages, since sqlite has no specific error codes for these cases.
SQLITE_MESSAGES: tuple[tuple[str, int], ...] = (
    ('UNIQUE constraint', DUPLICATE_KEY),
    ('NOT NULL constraint', BAD_NULL),
    ('FOREIGN KEY constraint', FOREIGN_KEY),
    ('no such table', NO_SUCH_TABLE),
    ('no such column', BAD_FIELD),
    ('has no column named', BAD_FIELD),
    ('no such function', NO_SUCH_FUNCTION),
    ('already exists', TABLE_EXISTS),
    ('syntax error', PARSE_ERROR),
    ('incomplete input', PARSE_ERROR),
    ('unrecognized token', PARSE_ERROR),
    ('one statement at a time', PARSE_ERROR),
    ('readonly database', READ_ONLY),
)


class StandinError(Exception):
    """A statement that the stand-in rejects.

    Attributes:
        code: MySQL error code.
        message: Text of the error packet.
    """

    def __init__(self, code: int, message: str):
        super().__init__(f'{code}: {message}')
        self.code = code
        self.message = message


class ConnectionDropped(Exception):
    """The connection is closed without an answer because of a fault."""


def convert_sqlite_error(error: sqlite3.Error | sqlite3.Warning) -> StandinError:
    """Return the MySQL error that corresponds to a sqlite error."""
    message = str(error)
    for part, code in SQLITE_MESSAGES:
        if part in message:
            return StandinError(code, message)
    return StandinError(UNKNOWN_ERROR, message)
