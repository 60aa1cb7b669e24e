"""Client accounts of a soak run: their keys and limits over time, and what callers sent."""

import bisect
import itertools
import math
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

# Whether the daemons limit operations per account, and the bound is checked. The settings of
# daemons have `quotas` only with the limits of `cassiaseam.pooler.quotas`.
CHECK_QUOTAS = True
# Whether statements on sessions that were opened before their key was dropped are checked too.
# Daemons close these only with the revocation of `cassiaseam.pooler.accounts`.
CHECK_OPEN_SESSIONS = True
QUOTA_WINDOW_S = 5.0
QUOTA_OVERAGE = 0.1
QUOTA_SLACK = 20
QUOTA_SETTINGS = (
    f'quotas: {{window: {QUOTA_WINDOW_S:g}s, overage: {QUOTA_OVERAGE}, slack: {QUOTA_SLACK}}}\n'
)
# Time after which a daemon that reaches the store must follow a change of the configuration.
APPLY_LIMIT_S = 5.0
# Part of every key, by which keys are found in logs and in lines to targets.
KEY_MARKER = 'soakkey'
ANONYMOUS_DATABASE = 'public'
CALM_ACCOUNT = 'calm'
OPERATOR_ACCOUNT = 'operator'


@dataclass(frozen=True, slots=True)
class AccountPlan:
    """Terms and load of an account.

    Attributes:
        rate_per_s: Sustained limit of operations per second, or None.
        burst: Operations beyond the sustained limit.
        pause_s: Mean pause of each caller between operations.
        can_change: Whether faults change its keys and limits and raise its load.
    """

    rate_per_s: float | None = None
    burst: float = 0
    pause_s: float = 0
    can_change: bool = False


# The callers of each account stay below its limit, unless a fault raises their load.
ACCOUNTS = {
    'large': AccountPlan(100, 50, 0.12, can_change=True),
    'basic': AccountPlan(20, 10, 0.2, can_change=True),
    CALM_ACCOUNT: AccountPlan(20, 20, 0.4),
    OPERATOR_ACCOUNT: AccountPlan(),
}


@dataclass(slots=True)
class Tenure:
    """Time for which a key belongs to an account, in seconds on the clock of the event loop."""

    account: str
    since: float
    until: float = math.inf


@dataclass(slots=True)
class LimitPeriod:
    """Time for which a limit of an account is in the configuration; `rate_per_s` may be None."""

    rate_per_s: float | None
    burst: float
    since: float
    until: float = math.inf

    @property
    def bound(self) -> float:
        """Return the largest number of operations in a window of `QUOTA_WINDOW_S`."""
        if self.rate_per_s is None:
            return math.inf
        allowed = self.rate_per_s * QUOTA_WINDOW_S + self.burst
        return allowed * (1 + QUOTA_OVERAGE) + QUOTA_SLACK


@dataclass(frozen=True, slots=True)
class SentStatement:
    """A statement of a caller; times in seconds on the clock of the event loop.

    Attributes:
        at: When it was sent.
        opened_at: When the session was opened.
        daemon: Daemon that received it.
        key: Key of the session, or None on the route for anonymous callers.
    """

    at: float
    opened_at: float
    daemon: str
    key: str | None


@dataclass(slots=True)
class AccountBook:
    """Accounts of one run.

    Attributes:
        tenures: Accounts that each key has belonged to, oldest first.
        limits: Limits of each account, oldest first.
        sent: Statements that were sent, per request id.
        outcomes: Number of statements per account and outcome.
        disturbed: Times at which a daemon may have lacked the configuration, in order.
        bursting: Accounts whose callers make no pauses, with the number of faults that ask so.
    """

    tenures: dict[str, list[Tenure]] = field(default_factory=dict)
    limits: dict[str, list[LimitPeriod]] = field(default_factory=dict)
    sent: dict[str, SentStatement] = field(default_factory=dict)
    outcomes: Counter[tuple[str, str]] = field(default_factory=Counter)
    disturbed: dict[str, list[float]] = field(default_factory=dict)
    bursting: Counter[str] = field(default_factory=Counter)
    numbers: Iterator[int] = field(default_factory=itertools.count)

    def __post_init__(self):
        """Give each account two keys and its limit from the start."""
        for name, plan in ACCOUNTS.items():
            self.limits[name] = [LimitPeriod(plan.rate_per_s, plan.burst, -math.inf)]
            for _ in range(2):
                self.add_key(name, -math.inf)

    def extend_config(self, config: dict[str, Any]) -> None:
        """Add the accounts and the route for anonymous callers to a configuration."""
        route = {**config['routes'][0], 'name': 'r-public', 'host': ANONYMOUS_DATABASE}
        config['routes'].append({**route, 'allowAnonymous': True})
        config['tenants'] = [
            {
                'name': name,
                'apiKeys': self.list_keys(name),
                'priority': 1,
                **({} if limits[-1].rate_per_s is None else {'ratePerS': limits[-1].rate_per_s}),
                'burst': limits[-1].burst,
            }
            for name, limits in self.limits.items()
        ]

    def list_keys(self, account: str) -> list[str]:
        """Return the keys that the newest configuration gives to an account."""
        return [
            key
            for key, (*_, last) in self.tenures.items()
            if last.account == account and last.until == math.inf
        ]

    def list_dropped_keys(self) -> list[str]:
        """Return the keys that the newest configuration does not contain."""
        return [key for key, (*_, last) in self.tenures.items() if last.until < math.inf]

    def make_unknown_key(self) -> str:
        """Return a key that no configuration contains."""
        return f'{KEY_MARKER}-unknown-{next(self.numbers)}'

    def add_key(self, account: str, now: float) -> str:
        """Give a new key to an account and return it."""
        key = f'{KEY_MARKER}-{account}-{next(self.numbers)}'
        self.tenures[key] = [Tenure(account, now)]
        return key

    def drop_key(self, key: str, now: float) -> None:
        """Take a key out of the configuration."""
        self.tenures[key][-1].until = now

    def move_key(self, key: str, account: str, now: float) -> None:
        """Give a key to another account."""
        self.drop_key(key, now)
        self.tenures[key].append(Tenure(account, now))

    def change_limit(self, account: str, factor: float, now: float) -> None:
        """Multiply the limit of an account, which must have one, by a factor."""
        former = self.limits[account][-1]
        former.until = now
        limit = LimitPeriod(former.rate_per_s * factor, former.burst * factor, now)
        self.limits[account].append(limit)

    def is_due(self, daemon: str, changed_at: float, at: float) -> bool:
        """Return whether a daemon must know at `at` of a change made at `changed_at`.

        A daemon gets `APPLY_LIMIT_S` from the change, and from the last time of a fault that keeps
        it from the configuration.
        """
        times = self.disturbed.get(daemon, [])
        before = bisect.bisect_right(times, at)
        last = times[before - 1] if before else -math.inf
        return at - max(changed_at, last) > APPLY_LIMIT_S

    def find_accounts(self, key: str, daemon: str, sent_at: float, ran_at: float) -> set[str]:
        """Return the accounts under which a daemon may serve a key; times in seconds."""
        return {
            tenure.account
            for tenure in self.tenures.get(key, [])
            if tenure.since <= ran_at and not self.is_due(daemon, tenure.until, sent_at)
        }

    def find_bound(self, account: str, start: float) -> float:
        """Return the bound of operations in the window that begins at `start`, in seconds."""
        return max(
            limit.bound
            for limit in self.limits[account]
            if limit.since <= start + QUOTA_WINDOW_S
            and not all(self.is_due(daemon, limit.until, start) for daemon in self.disturbed)
        )
