"""Arithmetic of quotas: the parts of a limit, token buckets, and lifetimes of tokens.

A holder issues at most `capacity + rate * time` tokens of a share in any period, also across a
change of the holder, because a new holder starts with an empty bucket. Tokens that are spent
within a window were issued within the window and one lifetime before it.
"""

import math
from dataclasses import dataclass

from cassiaseam.pooler.accounts.directory import Account

# Equal parts into which the limit of every account is divided.
SHARES = 6
# Operations kept in reserve for the time between the check of a token and the arrival of its
# statement at the target.
DELIVERY_RESERVE = 3
# Tolerance in tokens for the rounding of floating-point sums.
ROUNDING_TOKENS = 1e-9


@dataclass(frozen=True, slots=True)
class QuotaTerms:
    """Terms on which the limits of the accounts hold.

    Attributes:
        window_s: Length of the sliding window in seconds.
        overage: Part of the limit by which operations may exceed it in a window.
        slack: Further operations that may exceed it in a window.
    """

    window_s: float
    overage: float
    slack: float


@dataclass(slots=True)
class Bucket:
    """Token bucket of one account in one share.

    Attributes:
        level: Tokens in the bucket at `updated_at`.
        updated_at: Time of the latest change.
        promised_until: Time up to which future tokens were announced to requesters.
    """

    level: float
    updated_at: float
    promised_until: float = 0


@dataclass(frozen=True, slots=True)
class Issue:
    """Answer of a bucket to a request.

    Attributes:
        count: Tokens that are issued.
        retry_s: Seconds after which to ask again if fewer tokens than needed are issued, else 0.
    """

    count: int
    retry_s: float = 0


def find_operation_bound(terms: QuotaTerms, account: Account) -> float:
    """Return the maximum number of operations of an account in any window."""
    limit = account.operations_per_s * terms.window_s + account.burst
    return limit * (1 + terms.overage) + terms.slack


def find_token_lifetime_s(terms: QuotaTerms, account: Account) -> float:
    """Return for how many seconds after its request a token may be spent.

    The lifetime uses up the overage and the slack: rate * (window + lifetime) + burst + SHARES is
    `DELIVERY_RESERVE` below the bound.
    """
    rate = account.operations_per_s
    if rate <= 0:
        return terms.window_s
    limit = rate * terms.window_s + account.burst
    excess = terms.overage * limit + terms.slack - SHARES - DELIVERY_RESERVE
    return min(max(excess / rate, 0), terms.window_s)


def find_share_capacity(account: Account) -> float:
    """Return the maximum number of tokens in the bucket of one share.

    The additional token lets a share issue one when the burst is less than the number of shares.
    """
    return account.burst / SHARES + 1


def refill(bucket: Bucket, account: Account, now: float) -> None:
    """Add the tokens since the latest change, up to the capacity under the current limit."""
    earned = account.operations_per_s / SHARES * max(now - bucket.updated_at, 0)
    bucket.level = min(bucket.level + earned, find_share_capacity(account))
    bucket.updated_at = now


def issue_tokens(
    bucket: Bucket, account: Account, need: int, want: int, max_wait_s: float, now: float
) -> Issue:
    """Take tokens out of a bucket.

    Args:
        bucket: Bucket of the account.
        account: Account with its current limit.
        need: Operations of the requester that wait.
        want: Tokens that the requester expects to use soon, including those that it needs.
        max_wait_s: Maximum in seconds by which requests are spread over future tokens.
        now: Monotonic time in seconds.
    """
    refill(bucket, account, now)
    available = math.floor(bucket.level + ROUNDING_TOKENS)
    count = min(need, available)
    # Tokens that a requester may not use are issued only from the upper half of the bucket.
    surplus = math.floor(bucket.level - count - find_share_capacity(account) / 2)
    count += max(min(want - need, surplus), 0)
    bucket.level -= count
    if count >= need:
        return Issue(count)
    return Issue(count, announce_tokens(bucket, account, need - count, max_wait_s, now))


def announce_tokens(
    bucket: Bucket, account: Account, missing: int, max_wait_s: float, now: float
) -> float:
    """Return the seconds after which a requester may get tokens.

    Load pattern: an account far above its limit on many VMs. Each is told another time, so that
    they do not all ask for the same token.
    """
    rate = account.operations_per_s / SHARES
    if rate <= 0:
        return max_wait_s
    next_token_s = max(1 - bucket.level, 0) / rate
    retry_at = max(bucket.promised_until, now + next_token_s)
    retry_at = min(retry_at, now + next_token_s + max_wait_s)
    bucket.promised_until = retry_at + missing / rate
    return retry_at - now
