"""Events and effects of quotas. Times are in seconds on the monotonic clock."""

from dataclasses import dataclass

from cassiaseam.pooler.events import WriteOutcome
from cassiaseam.pooler.quotas.shares import ShareRecord


@dataclass(frozen=True, slots=True)
class ListShares:
    """Effect: list the records of all shares; `allow_stale` accepts a copy seconds old."""

    allow_stale: bool


@dataclass(frozen=True, slots=True)
class SharesListed:
    """Event: the store returned the records of shares with their revisions, by number.

    A record is None if it is malformed. The list is complete only if it may not be stale.
    """

    records: dict[int, tuple[int, ShareRecord | None]]
    is_stale: bool


@dataclass(frozen=True, slots=True)
class SharesListFailed:
    """Event: the records could not be listed."""


@dataclass(frozen=True, slots=True)
class WriteShare:
    """Effect: write the record of a share if it still has `revision`; 0 creates it."""

    index: int
    record: ShareRecord
    revision: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class ShareWritten:
    """Event: a conditional write of the record of a share, sent at `sent_at`, completed."""

    index: int
    record: ShareRecord
    sent_at: float
    outcome: WriteOutcome
    revision: int = 0


@dataclass(frozen=True, slots=True)
class SendTokenRequest:
    """Effect: request tokens of an account from the holder of a share.

    Attributes:
        host: IP address of the holder.
        port: UDP port of the holder.
        nonce: Number that the response repeats.
        share: Number of the share.
        account: Name of the account.
        need: Operations that wait.
        want: Tokens that will be used soon, including those that are needed.
    """

    host: str
    port: int
    nonce: int
    share: int
    account: str
    need: int
    want: int


@dataclass(frozen=True, slots=True)
class TokensRequested:
    """Event: the VM at an address requests tokens; see `SendTokenRequest`."""

    host: str
    port: int
    nonce: int
    share: int
    account: str
    need: int
    want: int


@dataclass(frozen=True, slots=True)
class SendTokens:
    """Effect: answer a token request.

    Attributes:
        host: IP address of the requester.
        port: UDP port of the requester.
        nonce: Nonce of the request.
        count: Tokens that are issued.
        life_s: Seconds after the request was sent for which they may be spent.
        retry_s: Seconds after which to ask again if `count` is less than needed, else 0.
        held: Whether this VM holds the share.
    """

    host: str
    port: int
    nonce: int
    count: int
    life_s: float
    retry_s: float
    held: bool = True


@dataclass(frozen=True, slots=True)
class TokensReceived:
    """Event: a holder answered a token request, with the fields of `SendTokens`."""

    nonce: int
    count: int
    life_s: float
    retry_s: float
    held: bool = True
