"""Events that only the owner role handles."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """Event: the daemon is about to stop; work in flight finishes and new work is refused."""
