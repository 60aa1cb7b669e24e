"""Log positions and session tokens.

A floor is the minimum log position that a target must have applied to serve a read of a session.
"""

import base64
import binascii
from dataclasses import dataclass

from result import Err, Ok, Result

from cassiaseam.errors import ErrorKind, RequestError


@dataclass(frozen=True, slots=True, order=True)
class LogPosition:
    """Position of an entry in the log of a database group.

    Attributes:
        term: Term of the primary that wrote the entry.
        offset: Number of entries up to and including this one.
    """

    term: int = 0
    offset: int = 0

    def __str__(self) -> str:
        """Return the form used in log lines."""
        return f'{self.term}.{self.offset}'

    def covers(self, floor: 'LogPosition') -> bool:
        """Return whether a log that ends here holds the acknowledged entry at `floor`."""
        return self.offset >= floor.offset and self.term >= floor.term


ZERO_POSITION = LogPosition(0, 0)


def encode_session_token(database: str, floor: LogPosition) -> str:
    """Return the token that carries the floor of a session to another connection."""
    plain = f'{database}:{floor.term}:{floor.offset}'
    return base64.urlsafe_b64encode(plain.encode()).decode().rstrip('=')


def decode_session_token(token: str, database: str) -> Result[LogPosition, RequestError]:
    """Return the floor in `token`, or an error if it is malformed or for another database."""
    padded = token + '=' * (-len(token) % 4)
    try:
        name, term, offset = base64.urlsafe_b64decode(padded).decode().rsplit(':', 2)
    except (binascii.Error, ValueError):
        return Err(RequestError(ErrorKind.BAD_REQUEST, f'malformed token {token!r}'))
    if name != database or not (term.isdecimal() and offset.isdecimal()):
        message = f'token {token!r} does not belong to database {database!r}'
        return Err(RequestError(ErrorKind.BAD_REQUEST, message))
    return Ok(LogPosition(int(term), int(offset)))
