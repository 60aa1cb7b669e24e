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
    """One login from the settings.

    Attributes:
        name: User name.
        password_hash: Hexadecimal SHA1(SHA1(password)), as `hash_password` returns it.
        databases: Databases granted; `*` grants all.
        old_password_hash: Former hash that stays valid while a password is replaced, or ''.
    """

    name: str
    password_hash: str
    databases: tuple[str, ...] = ()
    old_password_hash: str = ''


def hash_password(password: str) -> str:
    """Return the hash that `mysql_native_password` compares with."""
    return NativePasswordAuthPlugin.create_auth_string(password)


class CallerDirectory(IdentityProvider):
    """Identity provider built from settings.

    Attributes:
        logins: Login per user name; replaced as a whole when settings change.
        databases: Configuration in force per database.
    """

    def __init__(self, logins: Iterable[CallerLogin], databases: Mapping[str, DatabaseConfig]):
        self.logins = {login.name: login for login in logins}
        self.databases = databases

    async def get_user(self, username: str) -> User | None:
        """Return the user; an unknown one gets a password that matches nothing.

        The answer to an unknown name is thereby the same as to a wrong password.
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
        """Return whether the login and the configuration let a user use a database."""
        login = self.logins.get(username)
        if login is None or not {database, ALL_DATABASES}.intersection(login.databases):
            return False
        config = self.databases.get(database)
        return config is None or not config.granted or username in config.granted

    def list_granted(self, username: str) -> list[str]:
        """Return the configured databases that a user may use."""
        return [name for name in sorted(self.databases) if self.is_granted(username, name)]

    def find_refusal(self, username: str, database: str) -> RequestError | None:
        """Return why a user may not use a database, or None."""
        if not self.is_granted(username, database):
            message = f'database {database!r} is not granted to {username!r}'
            return RequestError(ErrorKind.ACCESS_DENIED, message)
        if database not in self.databases:
            return RequestError(ErrorKind.UNKNOWN_DATABASE, f'unknown database {database!r}')
        return None
