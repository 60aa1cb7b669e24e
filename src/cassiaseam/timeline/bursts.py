"""Aggregates refused requests into a bounded number of timeline records."""

from dataclasses import dataclass, field

from cassiaseam.errors import RESPONSES, ErrorKind
from cassiaseam.messages import TimelineRecord

BURST_DURATION_S = 5.0
# Callers choose the database names, so their number must be bounded; further names are
# aggregated.
MAX_BURSTS = 200
OTHER_DATABASES = '*'
# Errors caused by the state of the system rather than by the content of a request.
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
        started_at: Monotonic time of the first refusal in seconds.
        count: Number of refusals.
    """

    started_at: float
    count: int = 0


@dataclass(slots=True)
class RefusalBursts:
    """Counts refusals and emits one record per burst.

    Attributes:
        bursts: Current bursts by error kind and database.
    """

    bursts: dict[tuple[ErrorKind, str], Burst] = field(default_factory=dict)

    def count_refusal(self, kind: ErrorKind, database: str, now: float) -> None:
        """Count an error if its kind is in `REFUSAL_KINDS`.

        Args:
            kind: Kind of the error returned to a caller.
            database: Database name sent by the caller.
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

    def pop_due_records(self, now: float) -> list[TimelineRecord]:
        """Remove bursts older than `BURST_DURATION_S` and return one record for each."""
        due = [
            key for key, burst in self.bursts.items() if now - burst.started_at >= BURST_DURATION_S
        ]
        return [self._pop_record(key, now) for key in due]

    def _pop_record(self, key: tuple[ErrorKind, str], now: float) -> TimelineRecord:
        kind, database = key
        burst = self.bursts.pop(key)
        fields = {
            'kind': kind.value,
            'count': str(burst.count),
            'seconds': f'{now - burst.started_at:.1f}',
        }
        return TimelineRecord('refusals', database, fields=fields)
