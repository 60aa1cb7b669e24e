"""Logins of callers and the databases granted to them."""

import secrets
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from mysql_mimic.auth import IdentityProvider, NativePasswordAuthPlugin, User

from cassiaseam.configuration.model import DatabaseConfig
from cassiaseam.errors import ErrorKind, RequestError

ALL_DATABASES = '*'


@dataclass(frozen=True, slots=True)
class CallerLogin:
    """Login of one user.

    Attributes:
        name: User name.
        password_hash: Hexadecimal SHA1(SHA1(password)), as `hash_password` returns it.
        databases: Granted databases; `*` grants all.
        old_password_hash: Previous hash, still accepted during a password rotation, or ''.
    """

    name: str
    password_hash: str
    databases: tuple[str, ...] = ()
    old_password_hash: str = ''


def hash_password(password: str) -> str:
    """Return the hash that `mysql_native_password` checks passwords against."""
    return NativePasswordAuthPlugin.create_auth_string(password)


class CallerDirectory(IdentityProvider):
    """Identity provider with the configured logins.

    Attributes:
        logins: Logins by user name; the dict is replaced when settings change.
        databases: Configuration in force by database.
    """

    def __init__(self, logins: Iterable[CallerLogin], databases: Mapping[str, DatabaseConfig]):
        self.logins = {login.name: login for login in logins}
        self.databases = databases

    async def get_user(self, username: str) -> User | None:
        """Return the user; an unknown name gets a random password hash.

        The response is then the same as for a wrong password and does not reveal user names.
        """
        login = self.logins.get(username)
        auth_string = login.password_hash if login else secrets.token_hex(20)
        return User(
            name=username,
            auth_string=auth_string,
            auth_plugin=NativePasswordAuthPlugin.name,
            old_auth_string=login.old_password_hash if login else '',
        )

    def is_granted(self, username: str, database: str) -> bool:
        """Return whether both the login and the configuration grant a database to a user."""
        login = self.logins.get(username)
        if login is None or not {database, ALL_DATABASES}.intersection(login.databases):
            return False
        config = self.databases.get(database)
        return config is None or not config.granted or username in config.granted

    def list_granted(self, username: str) -> list[str]:
        """Return the sorted names of the configured databases granted to a user."""
        return [name for name in sorted(self.databases) if self.is_granted(username, name)]

    def find_refusal(self, username: str, database: str) -> RequestError | None:
        """Return why a user is denied access to a database, or None."""
        if not self.is_granted(username, database):
            message = f'database {database!r} is not granted to {username!r}'
            return RequestError(ErrorKind.ACCESS_DENIED, message)
        if database not in self.databases:
            return RequestError(ErrorKind.UNKNOWN_DATABASE, f'unknown database {database!r}')
        return None
