"""Refusal of operations that get no token."""

from cassiaseam.errors import ErrorKind
from cassiaseam.pooler import completion
from cassiaseam.pooler.events import WriteLog
from cassiaseam.pooler.quotas.tokens import TokenDecision, TokenOutcome
from cassiaseam.pooler.state import Operation, PoolerState

# Minimum seconds between two log lines that an account is exhausted.
LOG_INTERVAL_S = 5.0


def refuse_operation(
    state: PoolerState, operation: Operation, decision: TokenDecision, now: float
) -> list:
    """Answer an operation that gets no token; a read that may have run is not called refused."""
    if operation.may_have_run:
        text = 'no answer, and no quota for another attempt'
        return completion.fail_operation(state, operation, ErrorKind.STATEMENT_TIMEOUT, text, now)
    if decision.outcome is TokenOutcome.UNAVAILABLE:
        text = 'no holder of a quota answers'
        return completion.fail_operation(state, operation, ErrorKind.OVERLOADED, text, now)
    account = state.sessions[operation.session_id].account
    text = f'the limit of account {account} is reached'
    logs = log_exhaustion(state, account, decision.retry_after_s, now)
    return logs + completion.fail_operation(
        state, operation, ErrorKind.QUOTA_EXCEEDED, text, now, decision.retry_after_s
    )


def log_exhaustion(state: PoolerState, account: str, retry_s: float, now: float) -> list:
    """Count a refusal, and return a log line unless there was one recently."""
    quotas = state.quotas
    quotas.refused[account] += 1
    tokens = quotas.accounts[account]
    if tokens.logged_at is not None and now - tokens.logged_at < LOG_INTERVAL_S:
        return []
    tokens.logged_at = now
    fields = {
        'account': account,
        'refused': quotas.refused[account],
        'retry_ms': round(retry_s * 1000),
    }
    return [WriteLog('quota_exhausted', fields)]
