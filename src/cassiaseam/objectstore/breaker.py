"""Circuit breaker and exponential backoff for calls to the platform."""

import random
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BackoffSettings:
    """Parameters of backoff and circuit breaker; times in seconds.

    Attributes:
        first_s: Upper bound of the first delay.
        max_s: Upper bound of all delays.
        failures_to_open: Consecutive failures that open the circuit.
        attempts: Attempts per call.
    """

    first_s: float = 0.1
    max_s: float = 5
    failures_to_open: int = 4
    attempts: int = 3


class CircuitBreaker:
    """Refuses calls, with exponential backoff, while the platform does not respond.

    Attributes:
        failures: Consecutive failures.
        refused_until: Time in seconds until which the circuit is open, or None if it is closed.
    """

    def __init__(self, settings: BackoffSettings, rng: random.Random):
        self.settings = settings
        self.rng = rng
        self.failures = 0
        self.refused_until: float | None = None

    def compute_delay(self, attempt: int) -> float:
        """Return the delay in seconds after attempt number `attempt`, counted from 0.

        Jitter uses the upper half of the range, so that delays grow and daemons do not retry in
        lockstep.
        """
        longest = min(self.settings.max_s, self.settings.first_s * 2**attempt)
        return longest * (1 + self.rng.random()) / 2

    def find_wait(self, now: float) -> float:
        """Return the seconds until a call is allowed; 0 if one is allowed now."""
        if self.refused_until is None or now >= self.refused_until:
            return 0
        return self.refused_until - now

    def start_trial(self, now: float) -> None:
        """Refuse further calls while the trial call of the half-open circuit is in flight."""
        if self.refused_until is not None:
            self.refused_until = now + self.settings.max_s

    def end_trial(self, now: float) -> None:
        """Schedule the next trial call after the caller cancelled the current one."""
        if self.refused_until is not None:
            self.refused_until = now + self.compute_delay(1)

    def record_success(self) -> None:
        """Close the circuit."""
        self.failures = 0
        self.refused_until = None

    def record_failure(self, now: float) -> None:
        """Count a failure; opens the circuit after too many."""
        self.failures += 1
        excess = self.failures - self.settings.failures_to_open
        if excess >= 0:
            self.refused_until = now + self.compute_delay(min(excess, 16) + 1)
