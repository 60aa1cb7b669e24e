"""Retry budget after busy targets, backoff, and the retry-after time for callers.

Load pattern: a burst, or a primary that has become slow. Each statement that is refused as busy
and retried several times multiplies the load of the target that is too busy already. Retries are
therefore limited to a share of first attempts; other statements are refused at once.
"""

import math

from cassiaseam.errors import ErrorKind
from cassiaseam.pooler.admission.load_state import RETRY_RESERVE, RetryBudget
from cassiaseam.pooler.state import GroupView, Operation, PoolerState

# Retries that each first attempt pays for.
RETRY_SHARE = 0.2
# Time constant in seconds of the counts that tell how many operations are refused.
PRESSURE_DECAY_S = 2.0
# Mean retry-after time in seconds while hardly any and while all operations are refused.
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 1.0
# Kinds of errors whose cause passes with the load.
OVERLOAD_KINDS = frozenset((ErrorKind.OVERLOADED, ErrorKind.NO_TARGET))


def decay(budget: RetryBudget, now: float) -> None:
    """Let the recent counts of a budget decay up to now."""
    factor = math.exp(-max(now - budget.at, 0) / PRESSURE_DECAY_S)
    budget.at = now
    budget.recent_attempts *= factor
    budget.recent_refusals *= factor


def count_first_attempt(state: PoolerState, operation: Operation, now: float) -> None:
    """Count the first attempt of an operation, which pays for a share of a retry."""
    group = state.groups.get(operation.route.group)
    if group is None or operation.attempts:
        return
    budget = group.retry_budget
    decay(budget, now)
    budget.recent_attempts += 1
    budget.attempts += 1
    budget.tokens = min(budget.tokens + RETRY_SHARE, RETRY_RESERVE)


def take_retry(
    state: PoolerState, group: GroupView, operation: Operation, backoff_s: float, now: float
) -> bool:
    """Return whether a statement may be retried after `backoff_s` seconds, and pay for it.

    A retry that would not be answered before the deadline, or before this daemon stops, is not
    made.
    """
    if now + backoff_s >= state.answer_by:
        return False
    if not state.adaptive_admission:
        return True
    budget = group.retry_budget
    if budget.tokens >= 1 and now + backoff_s < operation.deadline:
        budget.tokens -= 1
        budget.retries += 1
        return True
    budget.refused += 1
    return False


def find_refusal_time(state: PoolerState, ttl_s: float, now: float) -> float:
    """Return the time from which `ttl_s` counts for a target that refused a statement.

    It is spread by a quarter of `ttl_s` either way, so that statements that were refused together
    are not retried together. With half of it, 7 instead of 9 of 12 writes to a primary that was
    busy for 0.2 s were answered within 0.25 s.
    """
    if not state.adaptive_admission:
        return now
    return now + (state.rng.random() - 0.5) * ttl_s / 2


def find_refusal_kind(operation: Operation) -> ErrorKind:
    """Return the error of an operation without a retry: only if true, that it has not run."""
    return ErrorKind.STATEMENT_TIMEOUT if operation.may_have_run else ErrorKind.OVERLOADED


def find_retry_after_s(
    state: PoolerState, operation: Operation, kind: ErrorKind, default_s: float, now: float
) -> float:
    """Return the retry-after time for the caller of a failed operation in seconds.

    It grows with the share of operations that are refused. A caller whose deadline allows another
    attempt is told a mean of at most half of the time that is left.
    """
    group = state.groups.get(operation.route.group)
    if not state.adaptive_admission or group is None or kind not in OVERLOAD_KINDS:
        return default_s
    budget = group.retry_budget
    decay(budget, now)
    budget.recent_refusals += 1
    pressure = budget.recent_refusals / (budget.recent_refusals + budget.recent_attempts)
    mean_s = MIN_RETRY_AFTER_S + (MAX_RETRY_AFTER_S - MIN_RETRY_AFTER_S) * pressure
    left_s = operation.deadline - now
    if left_s > MIN_RETRY_AFTER_S:
        mean_s = min(mean_s, left_s / 2)
    return mean_s * (0.5 + state.rng.random())
