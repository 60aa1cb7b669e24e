"""Lists, claims, renews and releases the shares of the quotas.

Load pattern: more than a hundred VMs start at the same time, or see at the same time that a share
has no holder. Each waits for a delay by its place and rank, and claims only on a recent list, so
that few of them write.
"""

from dataclasses import replace

from cassiaseam.pooler import peers
from cassiaseam.pooler.events import PoolerStopping, PoolerTick, WriteLog, WriteOutcome
from cassiaseam.pooler.quotas import shares
from cassiaseam.pooler.quotas.events import (
    ListShares,
    SharesListed,
    SharesListFailed,
    ShareWritten,
    WriteShare,
)
from cassiaseam.pooler.quotas.quota_state import QuotaState
from cassiaseam.pooler.quotas.shares import Share, ShareRecord, StoreView
from cassiaseam.pooler.state import PoolerState
from cassiaseam.pooler.store_era import get_store_era
from cassiaseam.reducer.registry import handles
from cassiaseam.store_revisions import get_era

# Seconds between lists while all shares have holders; they may be stale.
LIST_INTERVAL_S = 5.0
# Seconds between lists while a share has no holder.
URGENT_LIST_INTERVAL_S = 1.0
# Mean seconds before the list is requested again after a failure: each call is charged.
FAILED_LIST_BACKOFF_S = 2.0
# Seconds after the start during which lists are not stale: all shares are claimed then, and a list
# that is seconds old would name no holder.
STARTUP_S = 10.0
# Seconds after which a list in flight counts as lost; longer than the timeout of its calls.
LIST_TIMEOUT_S = 5.0
# Maximum age in seconds of the list on which a claim is decided.
MAX_CLAIM_LIST_AGE_S = 1.5
# Delay of a claim in seconds per VM of the same place that ranks higher, and per place that is
# preferred over the place of this VM.
RANK_DELAY_S = 0.25
PLACE_DELAY_S = 2.0
# Maximum random delay of a claim in seconds, after the start (other VMs are not known yet) and
# later.
STARTUP_JITTER_S = 2.0
JITTER_S = 0.1
# Seconds after a write without success before the next one.
RETRY_WRITE_S = 0.5
# Seconds between log lines about the renewals of a share.
RENEWAL_LOG_INTERVAL_S = 300.0


def is_in_force(state: PoolerState) -> bool:
    """Return whether the settings have quotas and the configuration has accounts."""
    return (
        state.quotas is not None and state.config is not None and state.config.accounts is not None
    )


def get_store_view(state: PoolerState) -> StoreView:
    """Return what this VM knows of the current era of the store."""
    return StoreView(get_store_era(state), state.first_revision, state.first_listed_at)


@handles(PoolerTick)
def maintain_shares(state: PoolerState, event: PoolerTick, now: float) -> list:
    """List, claim and renew the shares that are due."""
    if not is_in_force(state):
        return []
    forget_old_requests(state.quotas, now)
    effects: list = []
    for share in state.quotas.shares:
        effects.extend(maintain_share(state, share, now))
    return effects + list_if_due(state, now)


def forget_old_requests(quotas: QuotaState, now: float) -> None:
    """Forget the token requests whose tokens would have expired."""
    for nonce, request in list(quotas.requests.items()):
        if now - request.sent_at > quotas.terms.window_s:
            del quotas.requests[nonce]


def maintain_share(state: PoolerState, share: Share, now: float) -> list:
    """Renew or claim one share, or stop to hold it when its lease has expired."""
    effects: list = []
    if share.nonce and not shares.is_held(share, now):
        effects.append(lose_share(share, 'expired', now))
    quotas = state.quotas
    if (
        now < share.write_not_before
        or state.stopping_since is not None
        or not is_list_current(state)
    ):
        return effects
    if share.nonce:
        return effects + renew_if_due(state, share, now)
    store = get_store_view(state)
    address = (quotas.host, quotas.port)
    if not quotas.listening or not shares.is_available(share, store, state.vm, address, now):
        share.claim_at = None
        return effects
    if share.claim_at is None:
        share.claim_at = now + find_claim_delay_s(state, share, now)
    if now < share.claim_at:
        return effects
    if now - quotas.listed_at > MAX_CLAIM_LIST_AGE_S:
        quotas.urgent = True
        return effects
    share.claim_at = None
    share.creating = shares.never_existed(share, store)
    return [*effects, write_claim(state, share, generate_nonce(state), now)]


def renew_if_due(state: PoolerState, share: Share, now: float) -> list:
    """Renew a lease, or give it up if the record names another VM."""
    store = get_store_view(state)
    if not shares.may_renew(share, store):
        return [lose_share(share, 'claimed by another VM', now)]
    is_restored = share.record is None or share.record.era != store.era
    if now < share.renew_at and not is_restored:
        return []
    renewals = share.record.renewals + 1 if share.record is not None else 1
    return [write_claim(state, share, share.nonce, now, renewals)]


def write_claim(
    state: PoolerState, share: Share, nonce: str, now: float, renewals: int = 0
) -> WriteShare:
    """Write the record of a share for this VM."""
    share.write_not_before = now + shares.WRITE_TIMEOUT_S
    record = replace(build_record(state, nonce, released=False), renewals=renewals)
    return WriteShare(share.index, record, share.revision, now)


def build_record(state: PoolerState, nonce: str, released: bool) -> ShareRecord:
    """Return a record that names this VM."""
    quotas = state.quotas
    era = get_store_era(state)
    return ShareRecord(state.vm, state.place, quotas.host, quotas.port, nonce, era, released)


def generate_nonce(state: PoolerState) -> str:
    """Return the nonce of a new claim."""
    quotas = state.quotas
    if not quotas.process_id:
        quotas.process_id = f'{state.rng.getrandbits(64):016x}'
    return f'{quotas.process_id}-{state.rng.getrandbits(32):08x}'


def lose_share(share: Share, cause: str, now: float) -> WriteLog:
    """Stop to hold a share whose lease has ended."""
    shares.forget_ownership(share)
    return WriteLog('quota_share_lost', {'share': share.index, 'cause': cause})


def find_claim_delay_s(state: PoolerState, share: Share, now: float) -> float:
    """Return for how many seconds this VM leaves an available share to others.

    The places in sorted order prefer one share each. Within a place the order is by rendezvous
    hashing.
    """
    quotas = state.quotas
    record = share.record
    if record is not None and shares.is_record_of(record, state.vm, (quotas.host, quotas.port)):
        return 0
    places = sorted({state.place, *state.regions})
    distance = (places.index(state.place) - share.index) % len(places)
    key = f'share {share.index}'
    own_rank = peers.rank_vm(state.vm, key)
    rank = sum(
        peer.record.place == state.place
        and now >= peer.backoff_until
        and peers.rank_vm(peer.record.vm, key) > own_rank
        for peer in state.peers.values()
    )
    is_starting = now - state.started_at < STARTUP_S
    jitter_s = STARTUP_JITTER_S if is_starting else JITTER_S
    return distance * PLACE_DELAY_S + rank * RANK_DELAY_S + jitter_s * state.rng.random()


def is_list_current(state: PoolerState) -> bool:
    """Return whether the records were listed in the current era of the store."""
    quotas = state.quotas
    return quotas.listed_at is not None and quotas.listed_era == get_store_era(state)


def list_if_due(state: PoolerState, now: float) -> list:
    """List the records when it is time."""
    quotas = state.quotas
    if quotas.list_sent_at is not None and now - quotas.list_sent_at < LIST_TIMEOUT_S:
        return []
    if now < quotas.retry_list_at:
        return []
    is_current = is_list_current(state)
    if quotas.urgent and quotas.listed_at is not None:
        quotas.next_list_at = min(quotas.next_list_at, quotas.listed_at + URGENT_LIST_INTERVAL_S)
    if now < quotas.next_list_at and is_current:
        return []
    quotas.list_sent_at = now
    is_starting = now - state.started_at < STARTUP_S
    return [ListShares(allow_stale=is_current and not (is_starting or quotas.needs_fresh_list))]


def schedule_list(quotas: QuotaState, state: PoolerState, now: float) -> None:
    """Schedule the next list."""
    quotas.list_sent_at = None
    lacking = any(not share.nonce and shares.lacks_holder(share, now) for share in quotas.shares)
    interval_s = URGENT_LIST_INTERVAL_S if lacking else LIST_INTERVAL_S
    quotas.next_list_at = now + interval_s * (0.5 + state.rng.random())


@handles(SharesListed)
def apply_share_list(state: PoolerState, event: SharesListed, now: float) -> list:
    """Record the records of the shares, unless this VM knows newer ones."""
    quotas = state.quotas
    if quotas is None:
        return []
    quotas.listed_at = now
    quotas.listed_era = get_store_era(state)
    quotas.urgent = False
    quotas.needs_fresh_list = quotas.needs_fresh_list and event.is_stale
    for share in quotas.shares:
        revision, record = event.records.get(share.index, (0, None))
        is_outdated = get_era(share.revision) < quotas.listed_era
        is_missing = not revision and (is_outdated or not event.is_stale)
        if revision > share.revision or (is_missing and share.revision):
            observe_record(share, revision, record, now)
    schedule_list(quotas, state, now)
    return []


def observe_record(share: Share, revision: int, record: ShareRecord | None, now: float) -> None:
    """Record what the store has for a share."""
    share.revision = revision
    share.record = record
    share.seen_at = now
    share.existed = share.existed or revision > 0


@handles(SharesListFailed)
def retry_list(state: PoolerState, event: SharesListFailed, now: float) -> list:
    """List again later."""
    if state.quotas is not None:
        schedule_list(state.quotas, state, now)
        backoff_s = FAILED_LIST_BACKOFF_S * (0.5 + state.rng.random())
        state.quotas.retry_list_at = now + backoff_s
    return []


@handles(ShareWritten)
def handle_share_write(state: PoolerState, event: ShareWritten, now: float) -> list:
    """Hold a share after a successful write, or list the records after any other."""
    quotas = state.quotas
    if quotas is None:
        return []
    share = quotas.shares[event.index]
    share.write_not_before = now
    if event.outcome is not WriteOutcome.WRITTEN:
        share.write_not_before = now + RETRY_WRITE_S
        quotas.urgent = True
        quotas.needs_fresh_list = True
        return []
    if event.revision > share.revision:
        observe_record(share, event.revision, event.record, now)
    if event.record.released:
        return []
    if state.stopping_since is not None:
        return [write_release(state, share, event.record.nonce, now)]
    if get_era(event.revision) != event.record.era or share.record != event.record:
        # Its condition may have held on another content, or another VM has claimed the share.
        return []
    return hold_share(share, event, now)


def hold_share(share: Share, event: ShareWritten, now: float) -> list:
    """Extend the lease of a share, or begin to hold it with empty buckets."""
    valid_until = event.sent_at + shares.LEASE_VALIDITY_S
    if now > valid_until:
        return []
    share.valid_until = max(share.valid_until, valid_until)
    share.renew_at = event.sent_at + shares.RENEW_INTERVAL_S
    if share.nonce == event.record.nonce:
        return log_renewal(share, event, now)
    shares.forget_ownership(share)
    share.valid_until = valid_until
    share.nonce = event.record.nonce
    share.acquired_at = now
    share.logged_at = now
    share.starts_full = share.creating
    took_ms = round((now - event.sent_at) * 1000)
    fields = {'share': share.index, 'took_ms': took_ms, 'starts_full': share.starts_full}
    return [WriteLog('quota_share_claimed', fields)]


def log_renewal(share: Share, event: ShareWritten, now: float) -> list:
    """Return a log line about the renewals of a share, at most one per interval."""
    if now - share.logged_at < RENEWAL_LOG_INTERVAL_S:
        return []
    share.logged_at = now
    fields = {'share': share.index, 'held_s': round(now - share.acquired_at)}
    return [WriteLog('quota_share_renewed', fields)]


@handles(PoolerStopping)
def release_shares(state: PoolerState, event: PoolerStopping, now: float) -> list:
    """Stop to issue tokens and release all shares, so that others claim them at once."""
    if state.quotas is None:
        return []
    effects: list = []
    for share in state.quotas.shares:
        if not share.nonce:
            continue
        nonce = share.nonce
        shares.forget_ownership(share)
        effects.append(WriteLog('quota_share_released', {'share': share.index}))
        effects.append(write_release(state, share, nonce, now))
    return effects


def write_release(state: PoolerState, share: Share, nonce: str, now: float) -> WriteShare:
    """Write that this VM has released a share; it issues no more tokens of it."""
    return WriteShare(share.index, build_record(state, nonce, True), share.revision, now)
