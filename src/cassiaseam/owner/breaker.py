"""Circuit breaker of one target."""

import random
from dataclasses import dataclass

FAILURES_TO_OPEN = 3
FIRST_BACKOFF_S = 0.1
LONGEST_BACKOFF_S = 5.0
MAX_DOUBLINGS = 8


@dataclass(slots=True)
class Breaker:
    """Stops work for a target that keeps failing.

    Attributes:
        failures: Failures since the latest success.
        trips: Times that the breaker opened since it was last closed.
        open_until: Time in seconds at which a probe may start; None while closed.
        probing: Whether the single probe of the half-open state is under way.
    """

    failures: int = 0
    trips: int = 0
    open_until: float | None = None
    probing: bool = False

    @property
    def closed(self) -> bool:
        """Return whether work may be sent to the target."""
        return self.open_until is None


def record_success(breaker: Breaker) -> None:
    """Close the breaker."""
    breaker.failures = 0
    breaker.trips = 0
    breaker.open_until = None
    breaker.probing = False


def record_connection(breaker: Breaker) -> None:
    """Let work through again after a connection was opened.

    Only a statement that ends proves that the target works: a frozen one may still accept
    connections. Until then one further failure opens the breaker for a longer time.
    """
    if breaker.open_until is not None:
        breaker.open_until = None
        breaker.probing = False
        breaker.failures = FAILURES_TO_OPEN - 1


def record_failure(breaker: Breaker, rng: random.Random, now: float) -> bool:
    """Count one failure and return whether it opened the breaker or prolonged the opening.

    Failures of work that was under way when the breaker opened do not prolong it; otherwise one
    crash of a busy target would count as many and keep it out for the longest backoff.
    """
    breaker.failures += 1
    if breaker.open_until is None:
        if breaker.failures < FAILURES_TO_OPEN:
            return False
    elif not breaker.probing:
        return False
    backoff_s = FIRST_BACKOFF_S * 2 ** min(breaker.trips, MAX_DOUBLINGS)
    # Jitter keeps the daemons of a place from probing a restarted target together.
    breaker.open_until = now + min(backoff_s, LONGEST_BACKOFF_S) * rng.uniform(0.5, 1.0)
    breaker.trips += 1
    breaker.probing = False
    return True
