"""Classification of the errors that aiomysql raises."""

import struct
from dataclasses import dataclass

from pymysql.err import MySQLError

from cassiaseam.reducer.target_io import StatementFailure
from cassiaseam.targets.connection import ResultTooLarge

PACKET_TOO_LARGE = 1153
INVALID_CHARACTER_STRING = 1300
# Read-only server, read-only transaction, read-only mode.
READ_ONLY_CODES = frozenset((1290, 1792, 1836))
# Server shutdown, killed connection, killed session: the target closes the connection.
CONNECTION_CLOSED_CODES = frozenset((1053, 1927, 3169))
# Codes that the client library itself assigns to a broken connection.
CLIENT_ERROR_CODES = range(2000, 3000)

# Exceptions that aiomysql raises for a broken connection or a malformed packet. AttributeError: a
# connection that is closed between two packets has no reader.
LINK_ERRORS = (
    OSError,
    EOFError,
    struct.error,
    AssertionError,
    AttributeError,
    IndexError,
    ValueError,
)
STATEMENT_ERRORS = (ResultTooLarge, MySQLError, *LINK_ERRORS)


@dataclass(frozen=True, slots=True)
class FailureReport:
    """Why a statement failed.

    Attributes:
        failure: Kind of failure.
        mysql_code: Code reported by the target, or 0.
        message: Text for logs and callers.
    """

    failure: StatementFailure
    mysql_code: int
    message: str

    @property
    def closes_connection(self) -> bool:
        """Return whether the connection can no longer be used."""
        return self.failure in {StatementFailure.LOST, StatementFailure.TIMEOUT}


def classify_mysql_error(error: MySQLError) -> FailureReport:
    """Return the failure for an error of the target or of the client library."""
    code = error.args[0] if error.args and isinstance(error.args[0], int) else 0
    message = str(error.args[-1]) if error.args else repr(error)
    if code in READ_ONLY_CODES:
        return FailureReport(StatementFailure.READ_ONLY, code, message)
    if code == 0 or code in CLIENT_ERROR_CODES or code in CONNECTION_CLOSED_CODES:
        return FailureReport(StatementFailure.LOST, code, message)
    return FailureReport(StatementFailure.SQL_ERROR, code, message)


def classify_error(error: Exception) -> FailureReport:
    """Return the failure for any of `STATEMENT_ERRORS`.

    A `TimeoutError` comes from the statement timeout or from the socket; in both cases the
    statement may have run.
    """
    if isinstance(error, ResultTooLarge):
        return FailureReport(StatementFailure.SQL_ERROR, PACKET_TOO_LARGE, str(error))
    if isinstance(error, UnicodeEncodeError):
        return FailureReport(StatementFailure.SQL_ERROR, INVALID_CHARACTER_STRING, str(error))
    if isinstance(error, TimeoutError):
        return FailureReport(StatementFailure.TIMEOUT, 0, 'no answer within the time limit')
    if isinstance(error, MySQLError):
        return classify_mysql_error(error)
    return FailureReport(StatementFailure.LOST, 0, repr(error))
