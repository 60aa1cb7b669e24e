"""Logins of callers and the databases granted to them."""

import secrets
from collections.abc import Iterable
from dataclasses import dataclass

from mysql_mimic.auth import IdentityProvider, NativePasswordAuthPlugin, User


@dataclass(frozen=True, slots=True)
class CallerLogin:
    """One login from the settings.

    Attributes:
        name: User name.
        password_hash: Hexadecimal SHA1(SHA1(password)), as `hash_password` returns it.
        databases: Databases granted; empty grants all.
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
    """

    def __init__(self, logins: Iterable[CallerLogin]):
        self.logins = {login.name: login for login in logins}

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
        """Return whether a user may use a database."""
        login = self.logins.get(username)
        return login is not None and (not login.databases or database in login.databases)
