"""Leases of the shares, as pure decisions about the record of a share and the time.

The holder of a share acts for `LEASE_VALIDITY_S` after it sent its latest successful write of the
record. Another VM claims the share when the record is unchanged for `LEASE_TAKEOVER_S`, by a write
that is conditional on the revision which it has seen. A record of a former era of the store, and a
missing one, counts as a claim that was made when the current era began, as in `duty`.
"""

from dataclasses import dataclass, field

from cassiaseam.pooler.quotas.arithmetic import SHARES, Bucket

# Seconds after sending its latest successful write for which a holder issues tokens. It outlasts
# an outage of the store of 8 s (the lease less `RENEW_INTERVAL_S`).
LEASE_VALIDITY_S = 12.0
# Seconds after which another VM claims a share whose record is unchanged.
LEASE_TAKEOVER_S = 12.5
# Seconds between renewals.
RENEW_INTERVAL_S = 4.0
# Seconds after which an unanswered write is given up; longer than the timeout of the call.
WRITE_TIMEOUT_S = 3.0
# Era of a store that has never been restored. A record that is missing in it never existed.
FIRST_ERA = 0


@dataclass(frozen=True, slots=True)
class ShareRecord:
    """Record of a share in the store.

    Attributes:
        holder: Name of the VM.
        place: Place of the VM.
        host: IP address at which it answers token requests.
        port: UDP port of the same.
        nonce: Id of the process and claim.
        era: Era of the store in which the holder decided to write it.
        released: Whether the holder has released the share.
        renewals: Number of renewals since the claim. The store gives a new revision only to a
            changed record, and other VMs take an unchanged revision for an expired lease.
    """

    holder: str
    place: str
    host: str
    port: int
    nonce: str
    era: int
    released: bool = False
    renewals: int = 0


@dataclass(slots=True)
class Share:
    """One share as this VM sees it.

    Attributes:
        index: Number of the share.
        record: Record at `revision`, or None.
        revision: Revision that was last seen, or 0 without a record.
        seen_at: Time at which the revision was first seen.
        existed: Whether a record was ever seen.
        claim_at: Time at which this VM claims the share, or None while it is not available.
        write_not_before: Time before which no further write is sent.
        creating: Whether the latest write creates a record that never existed.
        nonce: Nonce of the claim of this process that is held, or ''.
        valid_until: Time until which this process issues tokens of the share.
        renew_at: Time of the next renewal.
        acquired_at: Time since which new buckets have accrued tokens.
        logged_at: Time of the latest log line about a claim or a renewal.
        starts_full: Whether buckets start full, because the share never had a holder before.
        buckets: Token bucket per account while the share is held.
        backoff_until: Time until which requesters prefer other holders, after one was silent.
        denied: Revision at which the holder of the record said that it does not hold the share.
    """

    index: int
    record: ShareRecord | None = None
    revision: int = 0
    seen_at: float = 0
    existed: bool = False
    claim_at: float | None = None
    write_not_before: float = 0
    creating: bool = False
    nonce: str = ''
    valid_until: float = 0
    renew_at: float = 0
    acquired_at: float = 0
    logged_at: float = 0
    starts_full: bool = False
    buckets: dict[str, Bucket] = field(default_factory=dict)
    backoff_until: float = 0
    denied: int | None = None


@dataclass(frozen=True, slots=True)
class StoreView:
    """What this VM knows of the current era of the store.

    Attributes:
        era: Newest era.
        first_revision: Revision of the first list in it, or None before that list.
        first_listed_at: Time of that list.
    """

    era: int
    first_revision: int | None
    first_listed_at: float


def build_shares() -> list[Share]:
    """Return all shares without a known record."""
    return [Share(index) for index in range(SHARES)]


def is_held(share: Share, now: float) -> bool:
    """Return whether this process holds a share and may issue its tokens."""
    return bool(share.nonce) and now <= share.valid_until


def is_available(
    share: Share, store: StoreView, vm: str, address: tuple[str, int], now: float
) -> bool:
    """Return whether this VM may claim a share that it does not hold.

    A record that names this VM at its address was written by an earlier process, which is gone:
    only one process can have the address.
    """
    record = share.record
    if never_existed(share, store):
        return True
    if record is None or record.era != store.era:
        return is_former_record_expired(share, store, now)
    if record.released or is_record_of(record, vm, address):
        return True
    return now - share.seen_at > LEASE_TAKEOVER_S


def is_former_record_expired(share: Share, store: StoreView, now: float) -> bool:
    """Return whether a holder that a restore of the store has made unknown has no lease left."""
    if store.first_revision is None:
        return False
    unchanged_since = max(share.seen_at, store.first_listed_at)
    if share.record is not None and share.revision <= store.first_revision:
        # It has not changed since the list that gave this revision.
        unchanged_since = store.first_listed_at
    return now - unchanged_since > LEASE_TAKEOVER_S


def never_existed(share: Share, store: StoreView) -> bool:
    """Return whether no restore can have removed the record of a share."""
    return share.record is None and not share.existed and store.era <= FIRST_ERA


def is_record_of(record: ShareRecord, vm: str, address: tuple[str, int]) -> bool:
    """Return whether a record names a VM at an address."""
    return (record.holder, record.host, record.port) == (vm, *address)


def may_renew(share: Share, store: StoreView) -> bool:
    """Return whether the record lets the holder of a valid lease write its claim again.

    After a restore of the store the record may be missing or name a former holder.
    """
    record = share.record
    return record is None or record.nonce == share.nonce or record.era != store.era


def may_be_asked(share: Share) -> bool:
    """Return whether the record of a share names a VM that may be asked for tokens.

    The age of the record does not count: a VM that is cut off from the store still asks holders.
    """
    record = share.record
    return record is not None and not record.released and share.denied != share.revision


def lacks_holder(share: Share, now: float) -> bool:
    """Return whether a share seems to have no holder, so that it is listed more often."""
    return not may_be_asked(share) or now - share.seen_at > LEASE_TAKEOVER_S


def forget_ownership(share: Share) -> None:
    """Stop to hold a share; its buckets are discarded."""
    share.nonce = ''
    share.valid_until = 0
    share.buckets = {}


def find_bucket(share: Share, account: str, capacity: float) -> Bucket:
    """Return the bucket of an account, which has accrued tokens since the share was acquired."""
    level = capacity if share.starts_full else 0
    return share.buckets.setdefault(account, Bucket(level, share.acquired_at))
