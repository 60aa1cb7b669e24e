"""Faults of a soak run that change keys and limits, and that overload accounts."""

import asyncio
import random
from collections.abc import Callable

from cassiaseam_soak.accounts import ACCOUNTS
from cassiaseam_soak.faults import FaultAction, PlannedFault
from cassiaseam_soak.installation import Installation

ACCOUNT_FAULTS: dict[str, FaultAction] = {}
CHANGEABLE_ACCOUNTS = tuple(name for name, plan in ACCOUNTS.items() if plan.can_change)
# Latest start of a fault that every run has, so that its effect is checked for some seconds.
EARLY_UNTIL_S = 3.0
EARLY_KINDS = ('key_dropped', 'limit_lowered')
LATER_COUNT_RANGE = (2, 4)
DURATION_RANGE_S = (1.0, 3.0)
LOWERING_FACTOR = 0.5


def plan_account_faults(rng: random.Random, first_s: float, last_s: float) -> list[PlannedFault]:
    """Return a dropped key and a lowered limit early, an overload and some faults at any time."""
    drawn = [rng.choice(sorted(ACCOUNT_FAULTS)) for _ in range(rng.randint(*LATER_COUNT_RANGE))]
    planned = [(rng.uniform(first_s, EARLY_UNTIL_S), kind) for kind in EARLY_KINDS]
    planned += [(rng.uniform(first_s, last_s), kind) for kind in ('account_bursts', *drawn)]
    return sorted(
        (PlannedFault(at, kind, rng.uniform(*DURATION_RANGE_S)) for at, kind in planned),
        key=lambda fault: fault.at,
    )


def register_account_fault(name: str) -> Callable[[FaultAction], FaultAction]:
    """Register a coroutine that changes an account or its load."""

    def register(action: FaultAction) -> FaultAction:
        ACCOUNT_FAULTS[name] = action
        return action

    return register


def publish(installation: Installation) -> str:
    """Publish the changed accounts, and return a description."""
    installation.change_config()
    return f'with version {installation.version}'


@register_account_fault('key_dropped')
async def drop_key(installation: Installation, rng: random.Random, duration_s: float) -> str:
    """Drop a key of an account, and add another if it was the last one."""
    book, now = installation.accounts, asyncio.get_running_loop().time()
    account = rng.choice(CHANGEABLE_ACCOUNTS)
    key = rng.choice(book.list_keys(account))
    book.drop_key(key, now)
    if not book.list_keys(account):
        book.add_key(account, now)
    return f'{key} {publish(installation)}'


@register_account_fault('key_moved')
async def move_key(installation: Installation, rng: random.Random, duration_s: float) -> str:
    """Give a key of one account to another."""
    book, now = installation.accounts, asyncio.get_running_loop().time()
    account, other = rng.sample(CHANGEABLE_ACCOUNTS, 2)
    key = rng.choice(book.list_keys(account))
    book.move_key(key, other, now)
    if not book.list_keys(account):
        book.add_key(account, now)
    return f'{key} to {other} {publish(installation)}'


@register_account_fault('key_added')
async def add_key(installation: Installation, rng: random.Random, duration_s: float) -> str:
    """Add a key to an account."""
    account = rng.choice(CHANGEABLE_ACCOUNTS)
    key = installation.accounts.add_key(account, asyncio.get_running_loop().time())
    return f'{key} {publish(installation)}'


@register_account_fault('limit_lowered')
async def lower_limit(installation: Installation, rng: random.Random, duration_s: float) -> str:
    """Lower the limit of an account."""
    account = rng.choice(CHANGEABLE_ACCOUNTS)
    now = asyncio.get_running_loop().time()
    installation.accounts.change_limit(account, LOWERING_FACTOR, now)
    return f'{account} {publish(installation)}'


@register_account_fault('account_bursts')
async def overload_account(
    installation: Installation, rng: random.Random, duration_s: float
) -> str:
    """Raise the load of one account to several times its limit."""
    account = rng.choice(CHANGEABLE_ACCOUNTS)
    installation.accounts.bursting[account] += 1
    await asyncio.sleep(duration_s)
    installation.accounts.bursting[account] -= 1
    return account
