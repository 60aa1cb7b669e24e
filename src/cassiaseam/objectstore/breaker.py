"""Circuit breaker and backoff for calls to the platform."""

import random
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BackoffSettings:
    """Limits of the backoff; times in seconds.

    Attributes:
        first_s: Longest first pause.
        max_s: Longest pause.
        failures_to_open: Failures in a row after which calls are refused.
        attempts: Attempts per call.
    """

    first_s: float = 0.1
    max_s: float = 5
    failures_to_open: int = 4
    attempts: int = 3


class CircuitBreaker:
    """Refuses calls for a growing pause while the platform does not answer.

    Attributes:
        failures: Failures in a row.
        refused_until: Time in seconds until which calls are refused, or None.
    """

    def __init__(self, settings: BackoffSettings, rng: random.Random):
        self.settings = settings
        self.rng = rng
        self.failures = 0
        self.refused_until: float | None = None

    def compute_pause(self, attempt: int) -> float:
        """Return a random pause in seconds before the attempt after `attempt`, counted from 0.

        The upper half of the range is used, so that pauses grow but many daemons do not call at
        the same time.
        """
        longest = min(self.settings.max_s, self.settings.first_s * 2**attempt)
        return longest * (1 + self.rng.random()) / 2

    def find_wait(self, now: float) -> float:
        """Return for how many seconds calls are refused; 0 allows one."""
        if self.refused_until is None or now >= self.refused_until:
            return 0
        return self.refused_until - now

    def start_trial(self, now: float) -> None:
        """Refuse further calls while the one that is allowed now is under way."""
        if self.refused_until is not None:
            self.refused_until = now + self.settings.max_s

    def end_trial(self, now: float) -> None:
        """Allow the next trial after the current one was given up by its caller."""
        if self.refused_until is not None:
            self.refused_until = now + self.compute_pause(1)

    def record_success(self) -> None:
        """Allow all calls again."""
        self.failures = 0
        self.refused_until = None

    def record_failure(self, now: float) -> None:
        """Count a failure and refuse calls when there were too many."""
        self.failures += 1
        excess = self.failures - self.settings.failures_to_open
        if excess >= 0:
            self.refused_until = now + self.compute_pause(min(excess, 16) + 1)
