"""Handles the responses of holders and resumes the operations that wait for tokens."""

from cassiaseam.pooler import sending
from cassiaseam.pooler.quotas.events import TokensReceived
from cassiaseam.pooler.quotas.quota_state import AccountTokens, Token
from cassiaseam.pooler.quotas.tokens import add_tokens
from cassiaseam.pooler.state import PoolerState
from cassiaseam.reducer.registry import handles


@handles(TokensReceived)
def receive_tokens(state: PoolerState, event: TokensReceived, now: float) -> list:
    """Store the tokens of a response; a second response to the same request has no effect."""
    quotas = state.quotas
    request = quotas.requests.pop(event.nonce, None) if quotas is not None else None
    if request is None:
        return []
    tokens = quotas.accounts[request.account]
    share = quotas.shares[request.share]
    tokens.silent.pop(share.index, None)
    if share.revision == request.revision:
        share.backoff_until = 0
        if not event.held:
            share.denied = request.revision
            quotas.urgent = True
    if tokens.pending == event.nonce:
        tokens.pending = None
    # The lifetime counts from the request: the response may have been delayed.
    add_tokens(tokens, event.count, Token(request.sent_at, event.life_s))
    if event.retry_s:
        tokens.empty_until[share.index] = now + event.retry_s
    return resume_waiting(state, tokens, now)


def resume_waiting(state: PoolerState, tokens: AccountTokens, now: float) -> list:
    """Advance the operations of an account that wait for tokens."""
    effects: list = []
    tokens.waiting = [it for it in tokens.waiting if not it.done and not it.jobs]
    for operation in list(tokens.waiting):
        group = state.groups.get(operation.route.group)
        if group is not None and operation.reply is None:
            effects += sending.advance(state, group, operation, now)
    return effects
