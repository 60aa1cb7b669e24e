"""Bearer tokens, roles and database scopes of the administration API."""

import hashlib
import hmac
from collections.abc import Sequence
from dataclasses import dataclass

from result import Err, Ok, Result

from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.settings.model import ALL_DATABASES, Role, TokenSettings

BEARER = 'Bearer '
_RANKS = {role: rank for rank, role in enumerate(Role)}


@dataclass(frozen=True, slots=True)
class Principal:
    """Authenticated holder of a token.

    Attributes:
        team: Name of the team; recorded as operator of plans.
        role: Role of the token.
        databases: Databases in the scope of the token; '*' stands for all.
    """

    team: str
    role: Role
    databases: tuple[str, ...]

    def may_see(self, database: str) -> bool:
        """Return whether the scope includes a database; '' stands for the daemon itself."""
        return not database or ALL_DATABASES in self.databases or database in self.databases


class AccessTable:
    """Principals by token; stores only hashes of the tokens.

    Attributes:
        entries: Pairs of token hash and principal.
    """

    def __init__(self, settings: Sequence[TokenSettings], tokens: Sequence[str]):
        self.entries = tuple(
            (_hash_token(text), Principal(entry.team, entry.role, entry.databases))
            for entry, text in zip(settings, tokens, strict=True)
        )

    def find_principal(self, header: str | None) -> Result[Principal, RequestError]:
        """Authenticate the bearer token of an Authorization header."""
        if header is None or not header.startswith(BEARER):
            return _deny('the request has no bearer token')
        given = _hash_token(header.removeprefix(BEARER).strip())
        # Compares every entry, so that the response time does not reveal which token matched.
        matches = [entry for known, entry in self.entries if hmac.compare_digest(known, given)]
        return Ok(matches[0]) if matches else _deny('the bearer token is not known')


def check_access(
    principal: Principal, role: Role, database: str = ''
) -> Result[Principal, RequestError]:
    """Return the principal if its role and scope are sufficient, else ACCESS_DENIED."""
    if _RANKS[principal.role] < _RANKS[role]:
        shown = f'{principal.team} is {principal.role.value}'
        return _deny(f'{shown}; the role {role.value} is required')
    if not principal.may_see(database):
        return _deny(f'the token of {principal.team} does not cover database {database!r}')
    return Ok(principal)


def _deny(message: str) -> Err[RequestError]:
    return Err(RequestError(ErrorKind.ACCESS_DENIED, message))


def _hash_token(text: str) -> bytes:
    return hashlib.sha256(text.encode(errors='surrogateescape')).digest()
