"""Refusals of callers as a bounded number of time line records."""

from dataclasses import dataclass, field

from cassiaseam.errors import RESPONSES, ErrorKind
from cassiaseam.messages import TimelineRecord

BURST_S = 5.0
# Callers choose database names, so their number needs a bound; further ones share one name.
MAX_BURSTS = 200
OTHER_DATABASES = '*'
# Refusals that come from the state of the system and not from the text of a request.
REFUSAL_KINDS = frozenset(
    (
        *(kind for kind, row in RESPONSES.items() if row.retryable),
        ErrorKind.OUTCOME_UNKNOWN,
        ErrorKind.INTERNAL,
    )
)


@dataclass(slots=True)
class Burst:
    """Refusals of one kind and database since the first one.

    Attributes:
        started_at: Time in seconds of the first refusal.
        count: Number of refusals.
    """

    started_at: float
    count: int = 0


@dataclass(slots=True)
class RefusalBursts:
    """Counts refusals until their record is due.

    Attributes:
        bursts: By kind and database.
    """

    bursts: dict[tuple[ErrorKind, str], Burst] = field(default_factory=dict)

    def note_refusal(self, kind: ErrorKind, database: str, now: float) -> None:
        """Count one error if it is a refusal.

        Args:
            kind: Kind of the error that a caller got.
            database: Name that the caller gave.
            now: Monotonic time in seconds.
        """
        if kind not in REFUSAL_KINDS:
            return
        key = (kind, database)
        if key not in self.bursts and len(self.bursts) >= MAX_BURSTS:
            key = (kind, OTHER_DATABASES)
        burst = self.bursts.get(key)
        if burst is None:
            burst = Burst(now)
            self.bursts[key] = burst
        burst.count += 1

    def take_records(self, now: float) -> list[TimelineRecord]:
        """Return one record per burst that began at least `BURST_S` ago, and forget it."""
        due = [key for key, burst in self.bursts.items() if now - burst.started_at >= BURST_S]
        return [self._take_record(key, now) for key in due]

    def _take_record(self, key: tuple[ErrorKind, str], now: float) -> TimelineRecord:
        kind, database = key
        burst = self.bursts.pop(key)
        fields = {
            'kind': kind.value,
            'count': str(burst.count),
            'seconds': f'{now - burst.started_at:.1f}',
        }
        return TimelineRecord('refusals', database, fields=fields)
