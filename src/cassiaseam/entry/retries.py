"""Retry policy for requests that an owner failed to serve."""

import enum
from dataclasses import dataclass, replace

from cassiaseam.errors import OWNER_CUT_OFF, OWNER_LINK_LOST, ErrorKind, RequestError
from cassiaseam.messages import Request, RequestKind

RETRY_BUDGET_RATIO = 0.1
RETRY_BUDGET_BURST = 10.0
RETRY_AFTER_S = 0.2

_NOT_RUN_AT_OWNER = frozenset(
    (ErrorKind.NOT_OWNER, ErrorKind.PEER_UNREACHABLE, ErrorKind.SHUTTING_DOWN)
)


class NextStep(enum.Enum):
    """Next step of the entry after the answer of an owner."""

    RETURN = 'return'
    NEXT_OWNER = 'next_owner'
    RESEND = 'resend'


def choose_next_step(request: Request, error: RequestError | None) -> NextStep:
    """Return the next step after an answer.

    `RESEND` retries a request that may have run. Only reads and writes with an idempotency key
    qualify, because running them twice has no further effect.
    """
    if error is None or request.kind in {RequestKind.COMMIT, RequestKind.ROLLBACK}:
        return NextStep.RETURN
    if error.kind in _NOT_RUN_AT_OWNER:
        return NextStep.NEXT_OWNER
    if _is_cut_off(error):
        return NextStep.NEXT_OWNER
    if error.kind is ErrorKind.OUTCOME_UNKNOWN and may_run_twice(request):
        return NextStep.RESEND
    return NextStep.RETURN


def is_passed_over(error: RequestError) -> bool:
    """Return whether the error means that the next-ranked owner has to take over.

    A failover or a shutdown does not: the owner or the membership protocol resolves those.
    """
    if error.kind is ErrorKind.PEER_UNREACHABLE or _is_cut_off(error):
        return True
    return error.detail.get('cause') == OWNER_LINK_LOST


def _is_cut_off(error: RequestError) -> bool:
    return error.detail.get('cause') == OWNER_CUT_OFF


def may_run_twice(request: Request) -> bool:
    """Return whether a request is idempotent and the caller allows a retry."""
    if request.kind is RequestKind.READ:
        return request.repeatable
    return request.kind is RequestKind.WRITE and request.idempotency_key is not None


def choose_reported_error(
    earlier: RequestError | None, latest: RequestError | None
) -> RequestError | None:
    """Return the error to report after a further attempt.

    The next-ranked daemon usually answers NOT_OWNER, which would hide the cause that the owner
    itself reported.
    """
    if latest is None or earlier is None or latest.kind is not ErrorKind.NOT_OWNER:
        return latest
    return earlier


def describe_failure(request: Request, error: RequestError, maybe_ran: bool) -> RequestError:
    """Return the final error after the last attempt.

    Args:
        request: Request that failed.
        error: Error of the last attempt.
        maybe_ran: Whether an earlier attempt may have run the request.
    """
    if request.kind is RequestKind.READ and error.kind is ErrorKind.OUTCOME_UNKNOWN:
        message = f'link lost during a read: {error.message}'
        error = RequestError(ErrorKind.PEER_UNREACHABLE, message, RETRY_AFTER_S)
    if maybe_ran and request.kind is not RequestKind.READ:
        message = f'an earlier attempt may have run; the last one ended with {error.kind.value}'
        return RequestError(ErrorKind.OUTCOME_UNKNOWN, message)
    if error.kind in _NOT_RUN_AT_OWNER and error.retry_after_s is None:
        return replace(error, retry_after_s=RETRY_AFTER_S)
    return error


def describe_timeout(request: Request) -> RequestError:
    """Return the error of a request that got no answer by its deadline."""
    commits = request.kind is RequestKind.WRITE and request.transaction_id is None
    if commits or request.kind is RequestKind.COMMIT:
        message = 'no answer by the deadline; the statement may have run'
        return RequestError(ErrorKind.OUTCOME_UNKNOWN, message)
    message = 'no answer by the deadline'
    return RequestError(ErrorKind.DEADLINE_EXCEEDED, message, RETRY_AFTER_S)


@dataclass(slots=True)
class RetryBudget:
    """Token bucket that limits retries to a ratio of all requests.

    Attributes:
        tokens: Number of retries available now.
    """

    tokens: float = RETRY_BUDGET_BURST

    def record_request(self) -> None:
        """Add `RETRY_BUDGET_RATIO` tokens for one request."""
        self.tokens = min(self.tokens + RETRY_BUDGET_RATIO, RETRY_BUDGET_BURST)

    def acquire_retry(self) -> bool:
        """Take a token for one retry; returns False if none is left."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
