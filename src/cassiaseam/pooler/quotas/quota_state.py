"""State of the quotas on one VM."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from cassiaseam.pooler.accounts.directory import Account
from cassiaseam.pooler.quotas.arithmetic import QuotaTerms
from cassiaseam.pooler.quotas.shares import Share, build_shares


@dataclass(frozen=True, slots=True)
class Token:
    """Permission to run one operation of an account.

    Attributes:
        requested_at: Time at which this VM requested it.
        life_s: Seconds after that for which it may be spent, under the limit known to the holder.
    """

    requested_at: float
    life_s: float


@dataclass(frozen=True, slots=True)
class TokenRequest:
    """Request for tokens that was sent to the holder of a share.

    Attributes:
        account: Name of the account.
        share: Number of the share.
        revision: Revision of the record that named the holder.
        sent_at: Time at which it was sent.
    """

    account: str
    share: int
    revision: int
    sent_at: float


@dataclass(slots=True)
class AccountTokens:
    """Tokens of one account on this VM.

    Attributes:
        tokens: Unspent tokens, oldest first.
        waiting: Operations that wait for a token.
        pending: Nonce of the request that the waiting operations wait for, or None.
        silent: Time at which a request to a share went unanswered, per share.
        empty_until: Time before which a share has no token for this VM, per share.
        valid_from: Time before which requested tokens are void, because the limit was lowered.
        limit: Latest known account with a limit, or None.
        demand: Operations of the recent past, decayed to `demand_at`.
        demand_at: Time of `demand`.
        logged_at: Time of the latest log line about exhaustion.
    """

    tokens: list[Token] = field(default_factory=list)
    waiting: list[Any] = field(default_factory=list)
    pending: int | None = None
    silent: dict[int, float] = field(default_factory=dict)
    empty_until: dict[int, float] = field(default_factory=dict)
    valid_from: float = 0
    limit: Account | None = None
    demand: float = 0
    demand_at: float = 0
    logged_at: float | None = None


@dataclass(slots=True)
class QuotaState:
    """State of the quotas on one VM.

    Attributes:
        terms: Terms on which the limits hold.
        host: IP address at which this VM answers token requests.
        port: UDP port of the same.
        listening: Whether the port is open; without it this VM claims no share.
        process_id: Random id of this process and prefix of its nonces, or '' before a claim.
        shares: All shares.
        accounts: Tokens per account.
        requests: Token requests that may still be answered, per nonce.
        list_sent_at: Time at which the list in flight was sent, or None.
        listed_at: Time of the latest list, or None.
        listed_era: Era of the store at the time of the latest list.
        next_list_at: Time of the next list.
        urgent: Whether a share was found to have no holder since the latest list.
        retry_list_at: Time before which a list that failed is not requested again.
        needs_fresh_list: Whether the next list must not be stale, after a write without success.
        spent: Tokens that were spent.
        requests_sent: Datagrams with requests that were sent.
        refused: Operations that were refused because of a quota, per account.
    """

    terms: QuotaTerms
    host: str
    port: int
    listening: bool = False
    process_id: str = ''
    shares: list[Share] = field(default_factory=build_shares)
    accounts: dict[str, AccountTokens] = field(default_factory=dict)
    requests: dict[int, TokenRequest] = field(default_factory=dict)
    list_sent_at: float | None = None
    listed_at: float | None = None
    listed_era: int = -1
    next_list_at: float = 0
    urgent: bool = False
    retry_list_at: float = 0
    needs_fresh_list: bool = False
    spent: int = 0
    requests_sent: int = 0
    refused: Counter = field(default_factory=Counter)
