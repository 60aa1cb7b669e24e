"""Hybrid logical clock stamps on messages between daemons."""

import time
from collections import Counter
from collections.abc import Callable

from cassiaseam.timeline.clock import HybridClock, Stamp, issue_stamp, observe_stamp

NO_STAMP: Stamp = (0, 0)


class MessageStamps:
    """Stamps outgoing messages and advances the clock by incoming ones.

    The time line uses the same clock, so a record caused by a message sorts after every record
    that the sender made before sending it.

    Attributes:
        clock: Hybrid logical clock of this daemon.
        wall_clock: Returns seconds since the epoch.
        counters: `refused_stamps` counts stamps too far ahead of the wall clock.
    """

    def __init__(
        self, clock: HybridClock | None = None, wall_clock: Callable[[], float] = time.time
    ):
        self.clock = clock or HybridClock()
        self.wall_clock = wall_clock
        self.counters: Counter[str] = Counter()

    def issue(self) -> Stamp:
        """Return the stamp of an outgoing message."""
        return issue_stamp(self.clock, self.wall_clock())

    def observe(self, stamp: Stamp) -> None:
        """Advance the clock by the stamp of an incoming message."""
        if not observe_stamp(self.clock, stamp, self.wall_clock()):
            self.counters['refused_stamps'] += 1
