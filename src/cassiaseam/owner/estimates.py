"""Estimates of service times, and the retry budget."""

from dataclasses import dataclass

SAMPLE_WEIGHT = 0.1
MAX_SAMPLE_S = 10.0
HALF_LIFE_S = 1.0
RETRY_RATIO = 0.1
RETRY_BURST = 10.0


@dataclass(slots=True)
class DurationEstimate:
    """Exponential moving average of durations.

    Attributes:
        mean_s: Average in seconds at the time of the latest sample.
        sampled_at: Time in seconds of the latest sample, or None before the first.
    """

    mean_s: float = 0
    sampled_at: float | None = None

    def add_sample(self, duration_s: float, now: float) -> None:
        """Add one duration in seconds to the average."""
        sample_s = min(duration_s, MAX_SAMPLE_S)
        if self.sampled_at is None:
            self.mean_s = sample_s
        else:
            self.mean_s += (sample_s - self.mean_s) * SAMPLE_WEIGHT
        self.sampled_at = now

    def estimate_s(self, now: float) -> float:
        """Return the expected duration in seconds.

        The value decays without samples: an estimate that is too high refuses all requests, and
        refused requests never provide the samples that correct it.
        """
        if self.sampled_at is None:
            return 0
        idle_s = now - self.sampled_at
        if idle_s <= HALF_LIFE_S:
            return self.mean_s
        return self.mean_s * 0.5 ** (idle_s / HALF_LIFE_S)


@dataclass(slots=True)
class RetryBudget:
    """Token bucket that limits retries to a share of the requests.

    Attributes:
        tokens: Retries available now.
        retries: Retries made so far.
    """

    tokens: float = RETRY_BURST
    retries: int = 0

    def add_request(self) -> None:
        """Credit the fraction of a retry that one request earns."""
        if self.tokens < RETRY_BURST:
            self.tokens = min(RETRY_BURST, self.tokens + RETRY_RATIO)

    def take_token(self) -> bool:
        """Consume one token and return whether there was one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        self.retries += 1
        return True
