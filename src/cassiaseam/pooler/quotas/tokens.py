"""Tokens of this VM: each operation of an account with a limit spends one when it is sent.

A token is requested from the holder of a share, by a datagram unless this VM holds the share, and
expires. Its lifetime counts from the sending of the request and is checked when the statement is
sent, so that a late response, or a process that was suspended, cannot exceed the bound.
"""

import enum
import math
from bisect import insort
from dataclasses import dataclass

from cassiaseam.pooler.accounts.directory import Account
from cassiaseam.pooler.quotas import issuing
from cassiaseam.pooler.quotas.arithmetic import find_token_lifetime_s
from cassiaseam.pooler.quotas.choice import order_shares
from cassiaseam.pooler.quotas.events import SendTokenRequest
from cassiaseam.pooler.quotas.quota_state import (
    AccountTokens,
    QuotaState,
    Token,
    TokenRequest,
)
from cassiaseam.pooler.quotas.shares import Share, is_held
from cassiaseam.pooler.state import Job, Operation, PoolerState

# Seconds after which the next holder is asked: a round trip between regions takes 16 ms.
REQUEST_TIMEOUT_S = 0.06
# Seconds for which an operation waits for tokens; three unanswered requests on ticks of 20 ms.
TOKEN_WAIT_S = 0.24
# Seconds for which a holder that did not answer is asked after the others.
SILENT_HOLDER_BACKOFF_S = 1.0
# Time constant in seconds of the recent demand of an account on this VM.
DEMAND_WINDOW_S = 5.0
# Part of a lifetime for which tokens are requested ahead.
PREFETCH_RATIO = 0.5
# Shortest retry-after time in seconds that callers of an exhausted account are told.
MIN_RETRY_AFTER_S = 0.05


class TokenOutcome(enum.Enum):
    """Outcome of an attempt to take a token."""

    GRANTED = 'granted'
    WAIT = 'wait'
    EXHAUSTED = 'exhausted'
    UNAVAILABLE = 'unavailable'


@dataclass(frozen=True, slots=True)
class TokenDecision:
    """Result of `take_token`.

    Attributes:
        outcome: Whether the operation has a token, waits for one or is refused.
        effects: Effects to run.
        retry_after_s: Seconds after which tokens are expected, if the account is exhausted.
    """

    outcome: TokenOutcome
    effects: tuple = ()
    retry_after_s: float = 0


REFUSALS = (TokenOutcome.EXHAUSTED, TokenOutcome.UNAVAILABLE)
GRANTED = TokenDecision(TokenOutcome.GRANTED)
WAIT = TokenDecision(TokenOutcome.WAIT)
UNAVAILABLE = TokenDecision(TokenOutcome.UNAVAILABLE)


def take_token(state: PoolerState, operation: Operation, now: float) -> TokenDecision:
    """Give an operation a token, or request one."""
    session = state.sessions[operation.session_id]
    limit = issuing.find_limit(state, session.account)
    if limit is None:
        return GRANTED
    tokens = find_account_tokens(state.quotas, limit, now)
    if operation.token is not None and is_fresh(state.quotas, tokens, operation.token, now):
        return GRANTED
    if operation.token_asked_at is None:
        operation.token_asked_at = now
        record_demand(tokens, now)
    decision = find_token(state, limit, tokens, operation, now)
    if decision.outcome is not TokenOutcome.WAIT:
        operation.token_asked_at = None
        if operation in tokens.waiting:
            tokens.waiting.remove(operation)
    elif operation not in tokens.waiting:
        tokens.waiting.append(operation)
    return decision


def find_token(
    state: PoolerState, limit: Account, tokens: AccountTokens, operation: Operation, now: float
) -> TokenDecision:
    """Take a token at hand, or ask the next share that may have one."""
    quotas = state.quotas
    operation.token = pop_token(quotas, tokens, now)
    if operation.token is not None:
        return GRANTED
    if is_request_pending(quotas, tokens, now):
        return WAIT
    if now - operation.token_asked_at > TOKEN_WAIT_S:
        return UNAVAILABLE
    need = count_needed(tokens, operation)
    for share in order_shares(state, tokens, limit.name, TOKEN_WAIT_S, now):
        want = max(need, count_expected(quotas, tokens, limit))
        if not is_held(share, now):
            return send_request(state, limit, tokens, share, need, want, now)
        issue = issuing.issue_from_share(state, share, limit, need, want, now)
        add_tokens(tokens, issue.count, Token(now, find_token_lifetime_s(quotas.terms, limit)))
        if issue.retry_s:
            tokens.empty_until[share.index] = now + issue.retry_s
        operation.token = pop_token(quotas, tokens, now)
        if operation.token is not None:
            return GRANTED
    return refuse(quotas, tokens, now)


def refuse(quotas: QuotaState, tokens: AccountTokens, now: float) -> TokenDecision:
    """Return the decision when no share is left that may have a token."""
    retry_times = [until for until in tokens.empty_until.values() if until > now]
    if retry_times:
        retry_after_s = max(min(retry_times) - now, MIN_RETRY_AFTER_S)
        return TokenDecision(TokenOutcome.EXHAUSTED, retry_after_s=retry_after_s)
    if tokens.silent:
        return UNAVAILABLE
    # No holder is known; the next list may name one.
    quotas.urgent = True
    return WAIT


def find_account_tokens(quotas: QuotaState, limit: Account, now: float) -> AccountTokens:
    """Return the tokens of an account; a lower limit voids those that were requested before."""
    tokens = quotas.accounts.setdefault(limit.name, AccountTokens())
    known = tokens.limit
    if known is limit:
        return tokens
    tokens.limit = limit
    if known is None:
        return tokens
    if (known.operations_per_s, known.burst) != (limit.operations_per_s, limit.burst):
        tokens.empty_until.clear()
    if limit.operations_per_s < known.operations_per_s or limit.burst < known.burst:
        tokens.valid_from = now
    return tokens


def is_fresh(quotas: QuotaState, tokens: AccountTokens, token: Token, now: float) -> bool:
    """Return whether a token may still be spent."""
    life_s = min(token.life_s, find_token_lifetime_s(quotas.terms, tokens.limit))
    return token.requested_at >= tokens.valid_from and now - token.requested_at <= life_s


def pop_token(quotas: QuotaState, tokens: AccountTokens, now: float) -> Token | None:
    """Remove and return the oldest token that may still be spent, or None."""
    while tokens.tokens:
        token = tokens.tokens.pop(0)
        if is_fresh(quotas, tokens, token, now):
            return token
    return None


def add_tokens(tokens: AccountTokens, count: int, token: Token) -> None:
    """Add tokens that were requested together."""
    for _ in range(count):
        insort(tokens.tokens, token, key=lambda it: it.requested_at)


def count_needed(tokens: AccountTokens, operation: Operation) -> int:
    """Return the number of operations that wait for a token, including this one."""
    waiting = [it for it in tokens.waiting if not it.done and it is not operation]
    return len(waiting) + 1


def count_expected(quotas: QuotaState, tokens: AccountTokens, limit: Account) -> int:
    """Return the number of tokens that this VM expects to use within part of a lifetime."""
    life_s = find_token_lifetime_s(quotas.terms, limit)
    return math.ceil(tokens.demand / DEMAND_WINDOW_S * life_s * PREFETCH_RATIO)


def record_demand(tokens: AccountTokens, now: float) -> None:
    """Count an operation in the recent demand of its account."""
    decay = math.exp(-max(now - tokens.demand_at, 0) / DEMAND_WINDOW_S)
    tokens.demand = tokens.demand * decay + 1
    tokens.demand_at = now


def is_request_pending(quotas: QuotaState, tokens: AccountTokens, now: float) -> bool:
    """Return whether a response may still arrive in time; a silent holder backs off."""
    request = quotas.requests.get(tokens.pending) if tokens.pending is not None else None
    if request is None:
        tokens.pending = None
        return False
    if now - request.sent_at < REQUEST_TIMEOUT_S:
        return True
    tokens.pending = None
    tokens.silent[request.share] = now
    quotas.shares[request.share].backoff_until = now + SILENT_HOLDER_BACKOFF_S
    return False


def send_request(
    state: PoolerState,
    limit: Account,
    tokens: AccountTokens,
    share: Share,
    need: int,
    want: int,
    now: float,
) -> TokenDecision:
    """Request tokens from the holder of a share."""
    quotas = state.quotas
    nonce = state.rng.getrandbits(48)
    quotas.requests[nonce] = TokenRequest(limit.name, share.index, share.revision, now)
    quotas.requests_sent += 1
    tokens.pending = nonce
    record = share.record
    effect = SendTokenRequest(record.host, record.port, nonce, share.index, limit.name, need, want)
    return TokenDecision(TokenOutcome.WAIT, (effect,))


def assign_token(operation: Operation, job: Job) -> None:
    """Move the token of an operation to the job that will spend it."""
    job.token, operation.token = operation.token, None


def ensure_fresh_token(state: PoolerState, job: Job, now: float) -> bool:
    """Return whether a job may be sent now; an expired token is replaced by one at hand."""
    if job.token is None or state.quotas is None:
        return True
    tokens = state.quotas.accounts[job.account]
    limit = issuing.find_limit(state, job.account)
    if limit is not None:
        find_account_tokens(state.quotas, limit, now)
    if is_fresh(state.quotas, tokens, job.token, now):
        return True
    replacement = pop_token(state.quotas, tokens, now)
    if replacement is not None:
        job.token = replacement
    return replacement is not None


def record_spending(state: PoolerState, job: Job) -> None:
    """Count the token of a job that is sent."""
    if job.token is not None and state.quotas is not None:
        state.quotas.spent += 1


def recover_token(state: PoolerState, job: Job) -> None:
    """Take back the token of a job that has not run, for its operation or another one."""
    token, job.token = job.token, None
    operation = job.operation
    if token is None or state.quotas is None:
        return
    if job.sent_at is not None:
        state.quotas.spent -= 1
    if operation is not None and not operation.done and operation.token is None:
        operation.token = token
    else:
        add_tokens(state.quotas.accounts[job.account], 1, token)


def release_token(state: PoolerState, operation: Operation, account: str) -> None:
    """Keep the token of an operation that has ended for another one."""
    if operation.token is not None and state.quotas is not None:
        add_tokens(state.quotas.accounts[account], 1, operation.token)
    operation.token = None
