"""Expected use of the connections of client accounts, from recent statements and sessions."""

import math
from collections import Counter

from cassiaseam.pooler.accounts.state import AccountsState, Usage
from cassiaseam.pooler.state import PoolerState, TargetState

# Time constant in seconds of the decay. Large accounts use a target from one VM every few seconds,
# an average one every 100 s or less often, which its sessions then show better.
USAGE_WINDOW_S = 60.0
# Limit of the entries; those that were not used for the longest time are dropped beyond it.
MAX_ENTRIES = 4000


def record_use(state: PoolerState, target: str, account: str, now: float) -> None:
    """Count a statement of an account for a target."""
    if state.config is None or state.config.accounts is None:
        return
    add_use(state.accounts.usage.setdefault((target, account), Usage()), now)
    if len(state.accounts.usage) > MAX_ENTRIES:
        drop_old_entries(state.accounts)


def add_use(usage: Usage, now: float, window_s: float = USAGE_WINDOW_S) -> None:
    """Count one use at a time in seconds, with the time constant of the decay."""
    usage.count = decay_count(usage, now, window_s) + 1
    usage.updated_at = now


def decay_count(usage: Usage, now: float, window_s: float = USAGE_WINDOW_S) -> float:
    """Return the decayed number of uses."""
    return usage.count * math.exp((usage.updated_at - now) / window_s)


def drop_old_entries(accounts: AccountsState) -> None:
    """Drop the half of the entries that was not used for the longest time."""
    newest = sorted(accounts.usage.items(), key=lambda entry: entry[1].updated_at)
    accounts.usage = dict(newest[len(newest) // 2 :])


def estimate_rates(state: PoolerState, target: TargetState, now: float) -> Counter[str]:
    """Return the expected statements per second of each account for a target.

    The estimate is the mean of the recent rate of the account and of the rate that its share of
    the open sessions suggests.
    """
    recent: Counter[str] = Counter()
    for (name, account), usage in state.accounts.usage.items():
        if name == target.record.name:
            recent[account] = decay_count(usage, now) / USAGE_WINDOW_S
    sessions = count_sessions(state, target.record.group)
    per_session = sum(recent.values()) / max(sum(sessions.values()), 1)
    rates: Counter[str] = Counter()
    for account in recent.keys() | sessions.keys():
        rates[account] = (recent[account] + sessions[account] * per_session) / 2
    return rates


def count_sessions(state: PoolerState, group: str) -> Counter[str]:
    """Return the number of open sessions on a group per account."""
    routes = state.config.routes if state.config else {}
    counts: Counter[str] = Counter()
    for session in state.sessions.values():
        route = routes.get(session.database)
        if session.accepted and route is not None and route.group == group:
            counts[session.account] += 1
    return counts
