"""Circuit breaker of one target."""

import random
from dataclasses import dataclass

FAILURE_THRESHOLD = 3
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
MAX_DOUBLINGS = 8


@dataclass(slots=True)
class CircuitBreaker:
    """Circuit breaker that stops statements to a failing target.

    Attributes:
        failures: Failures since the latest success.
        trips: Number of times that the breaker opened since the latest success.
        open_until: Time in seconds at which a probe may start; None while closed.
        probing: Whether the single probe of the half-open state is in progress.
    """

    failures: int = 0
    trips: int = 0
    open_until: float | None = None
    probing: bool = False

    @property
    def closed(self) -> bool:
        """Return whether statements may be sent to the target."""
        return self.open_until is None


def record_success(breaker: CircuitBreaker) -> None:
    """Close the breaker and reset its counters."""
    breaker.failures = 0
    breaker.trips = 0
    breaker.open_until = None
    breaker.probing = False


def record_connection(breaker: CircuitBreaker) -> None:
    """Close the breaker after a connection was opened, but keep its backoff.

    Only a completed statement proves that the target works, because a frozen target may still
    accept connections. Until then, one further failure opens the breaker for a longer time.
    """
    if breaker.open_until is not None:
        breaker.open_until = None
        breaker.probing = False
        breaker.failures = FAILURE_THRESHOLD - 1


def record_failure(breaker: CircuitBreaker, rng: random.Random, now: float) -> bool:
    """Count one failure and return whether it opened the breaker or extended its backoff.

    Failures of statements that were in flight when the breaker opened do not extend the backoff;
    otherwise one crash of a busy target would count many times and cause the maximum backoff.
    """
    breaker.failures += 1
    if breaker.open_until is None:
        if breaker.failures < FAILURE_THRESHOLD:
            return False
    elif not breaker.probing:
        return False
    backoff_s = INITIAL_BACKOFF_S * 2 ** min(breaker.trips, MAX_DOUBLINGS)
    # Jitter keeps the daemons of a place from probing a restarted target at the same time.
    breaker.open_until = now + min(backoff_s, MAX_BACKOFF_S) * rng.uniform(0.5, 1.0)
    breaker.trips += 1
    breaker.probing = False
    return True
