"""Events that only the owner role handles."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The daemon is about to stop: requests in flight finish and new ones are refused."""
