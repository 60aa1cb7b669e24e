"""Choice of the share that is asked for tokens."""

from cassiaseam.pooler import peers
from cassiaseam.pooler.quotas.quota_state import AccountTokens, QuotaState
from cassiaseam.pooler.quotas.shares import Share, is_held, may_be_asked
from cassiaseam.pooler.state import PoolerState

# Distances of holders; nearer ones are asked first, because bytes between places are expensive.
OWN_SHARE = 0
SAME_PLACE = 1
SAME_REGION = 2
ELSEWHERE = 3


def order_shares(
    state: PoolerState, tokens: AccountTokens, account: str, silent_s: float, now: float
) -> list[Share]:
    """Return the shares that may have a token of an account, in the order to ask them.

    Shares that are known to be empty, or whose holder did not answer within the last `silent_s`
    seconds, are left out.
    """
    for index, since in list(tokens.silent.items()):
        if now - since > silent_s:
            del tokens.silent[index]
    candidates = [
        share
        for share in state.quotas.shares
        if now >= tokens.empty_until.get(share.index, 0)
        and share.index not in tokens.silent
        and (is_held(share, now) or is_held_elsewhere(state.quotas, state.vm, share))
    ]

    def rank(share: Share) -> tuple:
        return (
            now < share.backoff_until,
            find_distance(state, share, now),
            peers.rank_vm(state.vm, f'{account} {share.index}'),
        )

    return sorted(candidates, key=rank)


def is_held_elsewhere(quotas: QuotaState, vm: str, share: Share) -> bool:
    """Return whether another VM may hold a share and can be asked."""
    if not quotas.listening or not may_be_asked(share):
        return False
    record = share.record
    return (record.holder, record.host, record.port) != (vm, quotas.host, quotas.port)


def find_distance(state: PoolerState, share: Share, now: float) -> int:
    """Return the distance of the holder of a share."""
    if is_held(share, now):
        return OWN_SHARE
    place = share.record.place
    if place == state.place:
        return SAME_PLACE
    region = state.regions.get(state.place)
    return SAME_REGION if region and state.regions.get(place) == region else ELSEWHERE
