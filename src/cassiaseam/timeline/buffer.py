"""Ring buffer of the timeline records of one daemon."""

import dataclasses
from collections import deque
from dataclasses import dataclass, field

from cassiaseam.messages import TimelineRecord
from cassiaseam.timeline.clock import HybridClock, issue_stamp

MAX_TEXT_CHARS = 256
MAX_FIELDS = 16


@dataclass(frozen=True, slots=True)
class SequencedRecord:
    """Record with its sequence number within one run of a daemon.

    Attributes:
        sequence: Sequence number, starting at 1.
        record: The timestamped record.
    """

    sequence: int
    record: TimelineRecord


@dataclass(frozen=True, slots=True)
class TimelinePage:
    """Records of one daemon that match a query.

    Attributes:
        vm: Name of the VM.
        run: ID of the run of the daemon; sequence numbers restart with each run.
        oldest: Lowest sequence number still in the buffer; lower ones are overwritten.
        latest: Highest sequence number assigned, or 0.
        records: Matching records, ordered by sequence number.
        overwritten_until: Timestamp of the newest overwritten record, or (0, 0).
    """

    vm: str
    run: str
    oldest: int
    latest: int
    records: tuple[SequencedRecord, ...] = ()
    overwritten_until: tuple[int, int] = (0, 0)


@dataclass(frozen=True, slots=True)
class TimelineQuery:
    """Filter for records.

    Attributes:
        since_ms: Minimum wall time of the timestamps, in milliseconds.
        database: Name of a database, or '' for all.
        cursor: Run and last sequence number that the reader has seen, by VM.
    """

    since_ms: int = 0
    database: str = ''
    cursor: dict[str, tuple[str, int]] = field(default_factory=dict)


class TimelineBuffer:
    """Ring buffer of the latest records of one daemon.

    Attributes:
        vm: Name of the VM.
        place: Place of the VM.
        run: ID of this run of the daemon.
        clock: Clock that timestamps the records.
        latest: Sequence number of the newest record, or 0.
        overwritten_until: Timestamp of the newest overwritten record.
    """

    def __init__(
        self, vm: str, place: str, run: str, capacity: int, clock: HybridClock | None = None
    ):
        self.vm = vm
        self.place = place
        self.run = run
        self.clock = clock or HybridClock()
        self.latest = 0
        self.overwritten_until = (0, 0)
        self.records: deque[SequencedRecord] = deque(maxlen=capacity)

    def append_record(self, record: TimelineRecord, now: float) -> SequencedRecord:
        """Timestamp and append a record; a full buffer overwrites its oldest record.

        Args:
            record: Record created by the reducer; long texts are truncated.
            now: Wall time in seconds since the epoch.
        """
        stamped = dataclasses.replace(
            record,
            stamp=issue_stamp(self.clock, now),
            vm=self.vm,
            place=self.place,
            cause=record.cause[:MAX_TEXT_CHARS],
            fields=_truncate_fields(record.fields),
        )
        if len(self.records) == self.records.maxlen:
            self.overwritten_until = self.records[0].record.stamp
        self.latest += 1
        entry = SequencedRecord(self.latest, stamped)
        self.records.append(entry)
        return entry

    def read_page(self, query: TimelineQuery) -> TimelinePage:
        """Return the records that match a query."""
        run, after = query.cursor.get(self.vm, ('', 0))
        if run != self.run:
            after = 0
        oldest = self.records[0].sequence if self.records else self.latest + 1
        chosen = tuple(
            entry
            for entry in self.records
            if entry.sequence > after and _is_selected(entry.record, query)
        )
        return TimelinePage(self.vm, self.run, oldest, self.latest, chosen, self.overwritten_until)


def _is_selected(record: TimelineRecord, query: TimelineQuery) -> bool:
    if record.stamp[0] < query.since_ms:
        return False
    return not query.database or record.database == query.database


def _truncate_fields(fields: dict[str, str]) -> dict[str, str]:
    kept = list(fields.items())[:MAX_FIELDS]
    return {name: str(text)[:MAX_TEXT_CHARS] for name, text in kept}
