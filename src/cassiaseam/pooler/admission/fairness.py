"""Recent use of targets by each client account, so that waiting work is served fairly."""

import math
from dataclasses import dataclass, field

# Time constant in seconds over which use is forgotten: the longest latency objective of the
# deployments. Older use no longer delays the work that waits.
FORGET_S = 1.0
# Use below which an account is forgotten, and the number of accounts above which this is checked.
MIN_USE = 0.01
MAX_ACCOUNTS = 200


@dataclass(slots=True)
class AccountUse:
    """Started statements of client accounts on this VM, weighted by their age.

    Attributes:
        uses: Weighted number of statements per account, and the time for which it holds.
    """

    uses: dict[str, tuple[float, float]] = field(default_factory=dict)


def find_use(account_use: AccountUse, account: str, now: float) -> float:
    """Return the weighted number of statements that an account has started recently."""
    count, at = account_use.uses.get(account, (0, now))
    return count * math.exp((at - now) / FORGET_S)


def record_use(account_use: AccountUse, account: str, now: float) -> None:
    """Count a started statement of an account."""
    account_use.uses[account] = (find_use(account_use, account, now) + 1, now)
    if len(account_use.uses) > MAX_ACCOUNTS:
        account_use.uses = {
            name: use
            for name, use in account_use.uses.items()
            if find_use(account_use, name, now) >= MIN_USE
        }
