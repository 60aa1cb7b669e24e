"""Promotion lease, which entitles one VM at a time to promote targets.

The lease stands for the platform's duty to promote.

A VM claims the lease by a conditional write of a record in the store; the revision of that write
is the fencing token. The holder acts for `LEASE_VALIDITY_S` after it sent the claim. Other VMs
take over when the record is unchanged for `LEASE_TAKEOVER_S`, or as soon as it is released. A VM
whose lease another VM has held since does not claim it again for `REACQUIRE_DELAY_S`. The
promotions of all groups of a VM share one lease, so that a later call never carries a lower token.

A restore of the store from a copy can lose a claim whose holder acts on, and bring back a record
that was replaced. A record says in which era of the store it was written. One of a former era, and
a missing one, counts as a claim that was made when the current era began.
"""

from dataclasses import dataclass

from cassiaseam.pooler.events import (
    LeaseRead,
    LeaseRecord,
    LeaseWritten,
    ReadLease,
    WriteLease,
    WriteLog,
    WriteOutcome,
)
from cassiaseam.pooler.state import PoolerState
from cassiaseam.pooler.store_era import get_store_era
from cassiaseam.store_revisions import get_era

# Seconds after sending its claim for which the holder fences, demotes and sends calls.
LEASE_VALIDITY_S = 2.0
# Seconds after which an unchanged lease of another VM counts as expired: the validity, plus 0.5 s
# in which the last call is delivered and 1.0 s in which the promotion takes effect.
LEASE_TAKEOVER_S = 3.5
# Seconds after sending its claim for which the holder lifts fences. The command carries no term
# and may be resent for 3.0 s; after that, other VMs may rely on their own fences.
FENCE_LIFT_WINDOW_S = 0.5
# Seconds after its own latest call for which a VM does not claim the lease back from another VM.
# Two VMs that act in turn within the validity of a lease look like two concurrent holders.
REACQUIRE_DELAY_S = 3.0
# Timeout in seconds of a read, a claim or a call; longer than the timeouts inside these calls.
CALL_TIMEOUT_S = 3.0
# Seconds after its start for which an unanswered call may still reach the platform. Its connection
# closes earlier, but a slow API may hold a call that it has received.
MAX_CALL_DELIVERY_S = 3.0


@dataclass(frozen=True, slots=True)
class LeaseUpdate:
    """Result of a change of the lease.

    Attributes:
        effects: Effects to run: calls of the store and log lines.
        is_settled: Whether the promotions that wait for the lease continue or end.
        refusal: Why this VM does not get the lease, or '' when it holds it.
    """

    effects: tuple = ()
    is_settled: bool = False
    refusal: str = ''


def is_lease_valid(state: PoolerState, now: float) -> bool:
    """Return whether this VM holds the lease and may call the platform."""
    lease = state.lease
    return bool(lease.token) and now - lease.claimed_at <= LEASE_VALIDITY_S


def may_lift_fences(state: PoolerState, now: float) -> bool:
    """Return whether commands that lift fences arrive before another VM may take over."""
    lease = state.lease
    return bool(lease.token) and now - lease.claimed_at <= FENCE_LIFT_WINDOW_S


def request_lease(state: PoolerState, now: float) -> list:
    """Read the record unless a read, a claim or a call with an older token is in flight."""
    lease = state.lease
    if has_call_in_flight(state, now):
        return []
    if lease.request_sent_at is not None and now - lease.request_sent_at < CALL_TIMEOUT_S:
        return []
    lease.token = 0
    lease.nonce = ''
    lease.request_sent_at = now
    return [ReadLease()]


def has_call_in_flight(state: PoolerState, now: float) -> bool:
    """Return whether a call with the current token may still reach the platform."""
    lease = state.lease
    return now < lease.call_may_arrive_until or (
        lease.platform_calls > 0 and now - lease.last_call_at < CALL_TIMEOUT_S
    )


def process_lease_record(state: PoolerState, event: LeaseRead, now: float) -> LeaseUpdate:
    """Resolve an unanswered claim by the record that was read, or claim the lease."""
    lease = state.lease
    if event.revision != lease.revision:
        lease.revision = event.revision
        lease.revision_seen_at = now
    lease.record = event.record
    lease.request_sent_at = None
    if lease.token:
        return LeaseUpdate()
    if lease.nonce:
        if event.record is not None and event.record.nonce == lease.nonce:
            return acquire_lease(state, event.revision, now)
        return abandon_claim(state, 'the claim was not written')
    if not is_lease_available(state, now):
        return abandon_claim(state, 'another VM holds the duty')
    if was_replaced_recently(state, now):
        return abandon_claim(state, 'another VM held the duty after this one')
    lease.nonce = generate_nonce(state)
    lease.fences_lifted = False
    lease.claimed_at = now
    lease.request_sent_at = now
    lease.era = get_store_era(state)
    record = LeaseRecord(state.vm, lease.nonce, released=False, era=lease.era)
    return LeaseUpdate((WriteLease(record, event.revision),))


def process_failed_read(state: PoolerState) -> LeaseUpdate:
    """Abandon the claim when the record cannot be read."""
    state.lease.request_sent_at = None
    if state.lease.token:
        return LeaseUpdate()
    return abandon_claim(state, 'the duty record cannot be read')


def process_lease_write(state: PoolerState, event: LeaseWritten, now: float) -> LeaseUpdate:
    """Handle the result of a write of the record."""
    lease = state.lease
    if event.outcome is WriteOutcome.WRITTEN:
        lease.revision = event.revision
        lease.record = event.record
        lease.revision_seen_at = now
    if lease.nonce != event.record.nonce or lease.token or event.record.released:
        return LeaseUpdate()
    lease.request_sent_at = None
    if event.outcome is WriteOutcome.WRITTEN:
        return acquire_lease(state, event.revision, now)
    if event.outcome is WriteOutcome.CONFLICT:
        return abandon_claim(state, 'another VM claimed the duty')
    lease.request_sent_at = now
    return LeaseUpdate((ReadLease(),))


def record_call_start(state: PoolerState, now: float) -> float:
    """Record the start of a platform call, and return the time until which it may be sent."""
    lease = state.lease
    lease.platform_calls += 1
    lease.last_call_at = now
    lease.last_activity_at = now
    return lease.claimed_at + LEASE_VALIDITY_S


def record_call_end(state: PoolerState, may_arrive: bool, now: float) -> None:
    """Record that a call was answered or abandoned; without an answer it may still arrive."""
    lease = state.lease
    lease.platform_calls -= 1
    lease.last_activity_at = now
    if may_arrive:
        lease.call_may_arrive_until = lease.last_call_at + MAX_CALL_DELIVERY_S


def acquire_lease(state: PoolerState, token: int, now: float) -> LeaseUpdate:
    """Adopt the revision of the claim as the fencing token, unless the lease has expired."""
    if now - state.lease.claimed_at > LEASE_VALIDITY_S:
        return abandon_claim(state, 'the claim expired before it was confirmed')
    if get_era(token) != state.lease.era:
        return abandon_claim(state, 'the store was restored before the claim was written')
    state.lease.token = token
    took_ms = round((now - state.lease.claimed_at) * 1000)
    log = WriteLog('duty_claimed', {'fencing': token, 'took_ms': took_ms})
    return LeaseUpdate((log,), is_settled=True)


def abandon_claim(state: PoolerState, reason: str) -> LeaseUpdate:
    """Discard a claim that did not succeed."""
    state.lease.nonce = ''
    return LeaseUpdate(is_settled=True, refusal=reason)


def generate_nonce(state: PoolerState) -> str:
    """Return the nonce of a new claim."""
    lease = state.lease
    if not lease.process_id:
        lease.process_id = f'{state.rng.getrandbits(64):016x}'
    return f'{lease.process_id}-{state.rng.getrandbits(64):016x}'


def is_own_record(state: PoolerState, record: LeaseRecord) -> bool:
    """Return whether this process wrote a record.

    The VM name is not enough: a call of an earlier process of this VM may still arrive, and a VM
    that replaces another one may have the same name.
    """
    process_id = state.lease.process_id
    return bool(process_id) and record.nonce.startswith(f'{process_id}-')


def is_lease_available(state: PoolerState, now: float) -> bool:
    """Return whether the lease is released, expired or held by this process."""
    lease = state.lease
    record = lease.record
    unchanged_since = lease.revision_seen_at
    if record is not None and record.era == get_store_era(state):
        if record.released or is_own_record(state, record):
            return True
    elif state.first_revision is not None and lease.revision <= state.first_revision:
        # It has not changed since the list that gave this revision.
        unchanged_since = min(unchanged_since, state.first_listed_at)
    return now - unchanged_since > LEASE_TAKEOVER_S


def was_replaced_recently(state: PoolerState, now: float) -> bool:
    """Return whether another VM wrote the record soon after a platform call of this VM.

    This VM then does not claim the lease; all others may.
    """
    lease = state.lease
    if (
        lease.last_activity_at is None
        or lease.record is None
        or is_own_record(state, lease.record)
    ):
        return False
    return now - lease.last_activity_at <= REACQUIRE_DELAY_S


def release_lease(state: PoolerState, now: float) -> list:
    """Release the lease, unless a call or command that was sent under it may still arrive."""
    lease = state.lease
    held = lease.token and lease.record is not None and is_own_record(state, lease.record)
    token = lease.token
    nonce = lease.nonce
    lease.token = 0
    lease.nonce = ''
    if not held or has_call_in_flight(state, now) or lease.fences_lifted:
        return []
    log = WriteLog('duty_released', {'fencing': token})
    record = LeaseRecord(state.vm, nonce, released=True, era=lease.era)
    return [log, WriteLease(record, lease.revision)]
