"""Client accounts of a configuration."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Account:
    """Client account.

    Attributes:
        name: Name of the account, which targets are told.
        priority: Priority among accounts; 0 is the highest.
        operations_per_s: Sustained limit of operations per second over all VMs, or None.
        burst: Operations that may exceed the sustained limit at once.
    """

    name: str
    priority: int = 0
    operations_per_s: float | None = None
    burst: float = 0


@dataclass(frozen=True, slots=True)
class AccountDirectory:
    """Client accounts and their keys.

    Attributes:
        accounts: Account per name.
        names_by_key: Account name per digest of a key.
    """

    accounts: dict[str, Account] = field(default_factory=dict)
    names_by_key: dict[bytes, str] = field(default_factory=dict)

    def find_account(self, key_digest: bytes) -> Account | None:
        """Return the account that a key belongs to, or None."""
        name = self.names_by_key.get(key_digest)
        return self.accounts.get(name) if name is not None else None
