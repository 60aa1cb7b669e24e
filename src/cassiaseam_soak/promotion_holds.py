"""Bounds on how long a fault holds a promotion call before the platform receives it.

A proxy acknowledges bytes before it forwards them. On the platform, unacknowledged bytes end the
connection after 0.5 s, see the promotion lease in `docs/platform.md`. A proxy may hold a call for
longer than that, but not beyond what the lease rules tolerate.
"""

import asyncio
import math
from typing import Any

from cassiaseam.platform.records import DUTY_KIND

# Seconds after a claim at which other VMs may take over, and after its sending within which an
# unanswered call may arrive. These restate the rules of `docs/platform.md`. Values imported from
# the daemon would shorten the faults together with a takeover that is too short.
TAKEOVER_S = 3.5
MAX_DELIVERY_S = 3.0


class PromotionHolds:
    """Derives the bound of a held call from the latest lease claim of its VM.

    Attributes:
        claimed_at: Time of the latest claim per VM in seconds on the clock of the event loop.
    """

    def __init__(self) -> None:
        self.claimed_at: dict[str, float] = {}

    def observe_write(self, kind: str, stored: dict[str, Any]) -> None:
        """Record the time of a claim; an observer of the writes of the store."""
        if kind == DUTY_KIND and not stored['spec']['released']:
            now = asyncio.get_running_loop().time()
            self.claimed_at[stored['spec']['holder']] = now

    def find_limit(self, vm: str, now: float) -> float:
        """Return the time in seconds until which a call that a VM sends now may be held.

        A call without a claim, or after the takeover, is an error of the VM. It has no limit, so
        that the check of the fencing tokens sees it.
        """
        takeover_at = self.claimed_at.get(vm, -math.inf) + TAKEOVER_S
        return min(takeover_at, now + MAX_DELIVERY_S) if now <= takeover_at else math.inf
