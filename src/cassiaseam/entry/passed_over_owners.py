"""Unresponsive owners that requests of this entry skip for a limited time."""

from collections import OrderedDict
from dataclasses import dataclass, field

# Saves each request from waiting for an unresponsive owner first. Shorter than the adoption by the
# next-ranked owner, so that the entry returns to an owner that recovered.
PASSED_OVER_TTL_S = 5.0
# The oldest entries are evicted; the next request for an evicted owner tries that owner again.
MAX_PASSED_OVER_OWNERS = 4096


@dataclass(slots=True)
class PassedOverOwners:
    """Owners that were recently passed over, by database.

    Attributes:
        retry_at: Time in seconds of the next attempt, by database and VM; oldest entry first.
    """

    retry_at: OrderedDict[tuple[str, str], float] = field(default_factory=OrderedDict)

    def add_owner(self, database: str, vm: str, now: float) -> None:
        """Skip an owner for `PASSED_OVER_TTL_S` seconds."""
        self.retry_at[database, vm] = now + PASSED_OVER_TTL_S
        self.retry_at.move_to_end((database, vm))
        while len(self.retry_at) > MAX_PASSED_OVER_OWNERS:
            self.retry_at.popitem(last=False)

    def remove_owner(self, database: str, vm: str) -> None:
        """Stop skipping an owner after it answered."""
        if self.retry_at:
            self.retry_at.pop((database, vm), None)

    def contains_owner(self, database: str, vm: str) -> bool:
        """Return whether an owner was passed over and has not answered since."""
        return (database, vm) in self.retry_at

    def skip_owners(self, database: str, ranked: list[str], now: float) -> list[str]:
        """Return the leading owners of a ranking that the next request skips.

        After the TTL of an owner, a single request probes it; the others keep skipping it until
        it has answered. If all owners were passed over, none is skipped.
        """
        if not self.retry_at:
            return []
        skipped: list[str] = []
        for vm in ranked:
            retry_at = self.retry_at.get((database, vm))
            if retry_at is None:
                return skipped
            if retry_at <= now:
                self.add_owner(database, vm, now)
                return skipped
            skipped.append(vm)
        return []
