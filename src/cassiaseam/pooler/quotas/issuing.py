"""Issues tokens of the shares that this VM holds."""

from cassiaseam.pooler.accounts.directory import Account
from cassiaseam.pooler.quotas.arithmetic import (
    Issue,
    find_share_capacity,
    find_token_lifetime_s,
    issue_tokens,
)
from cassiaseam.pooler.quotas.events import SendTokens, TokensRequested
from cassiaseam.pooler.quotas.shares import Share, find_bucket, is_held
from cassiaseam.pooler.state import PoolerState
from cassiaseam.reducer.registry import handles

# Seconds over which the next requests for an empty bucket are spread. It bounds the messages for
# an exhausted account to one per VM, share and second.
MAX_RETRY_SPREAD_S = 1.0


def find_limit(state: PoolerState, account: str) -> Account | None:
    """Return an account whose operations are limited, or None.

    An account that the configuration no longer has keeps its latest known limit.
    """
    if state.quotas is None or state.config is None or state.config.accounts is None:
        return None
    found = state.config.accounts.accounts.get(account)
    if found is None:
        known = state.quotas.accounts.get(account)
        return known.limit if known is not None else None
    return found if found.operations_per_s is not None else None


def issue_from_share(
    state: PoolerState, share: Share, limit: Account, need: int, want: int, now: float
) -> Issue:
    """Issue tokens of a share that this VM holds."""
    bucket = find_bucket(share, limit.name, find_share_capacity(limit))
    return issue_tokens(bucket, limit, need, want, MAX_RETRY_SPREAD_S, now)


@handles(TokensRequested)
def answer_token_request(state: PoolerState, event: TokensRequested, now: float) -> list:
    """Issue tokens to another VM.

    A VM that does not know the account does not answer, so that another holder is asked.
    """
    if state.quotas is None:
        return []
    share = state.quotas.shares[event.share]
    if not is_held(share, now):
        return [SendTokens(event.host, event.port, event.nonce, 0, 0, 0, held=False)]
    limit = find_limit(state, event.account)
    if limit is None:
        return []
    issue = issue_from_share(state, share, limit, event.need, event.want, now)
    life_s = find_token_lifetime_s(state.quotas.terms, limit)
    return [SendTokens(event.host, event.port, event.nonce, issue.count, life_s, issue.retry_s)]
