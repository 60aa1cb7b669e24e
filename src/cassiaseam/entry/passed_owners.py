"""Memory of the owners that an entry passed over."""

from collections import OrderedDict
from dataclasses import dataclass, field

# Without this memory each request would first wait for the silent owner. It ends before the
# adoption by the next-ranked owner does, so that the entry returns to an owner that recovered.
PASSED_OVER_S = 5.0
# The oldest entries are dropped; a request for them then takes the detour once more.
MAX_PASSED_OWNERS = 4096


@dataclass(slots=True)
class PassedOwners:
    """Owners that were passed over recently, by database.

    Attributes:
        retry_at: Time in seconds at which an owner is tried again, by database and VM; oldest
            first.
    """

    retry_at: OrderedDict[tuple[str, str], float] = field(default_factory=OrderedDict)

    def remember(self, database: str, vm: str, now: float) -> None:
        """Pass over an owner for `PASSED_OVER_S` seconds."""
        self.retry_at[database, vm] = now + PASSED_OVER_S
        self.retry_at.move_to_end((database, vm))
        while len(self.retry_at) > MAX_PASSED_OWNERS:
            self.retry_at.popitem(last=False)

    def forget(self, database: str, vm: str) -> None:
        """Ask an owner again, because it answered."""
        if self.retry_at:
            self.retry_at.pop((database, vm), None)

    def holds(self, database: str, vm: str) -> bool:
        """Return whether an owner was passed over and has not answered since."""
        return (database, vm) in self.retry_at

    def skip_owners(self, database: str, ranked: list[str], now: float) -> list[str]:
        """Return the leading owners of a ranking that the next request passes over.

        When the time of an owner has passed, only the request that asks for it here tries the
        owner; the others follow once it has answered. All owners are tried when all of them
        were passed over.
        """
        if not self.retry_at:
            return []
        skipped: list[str] = []
        for vm in ranked:
            retry_at = self.retry_at.get((database, vm))
            if retry_at is None:
                return skipped
            if retry_at <= now:
                self.remember(database, vm, now)
                return skipped
            skipped.append(vm)
        return []
