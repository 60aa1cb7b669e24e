"""Bounded buffer of the decisions of one daemon."""

import dataclasses
from collections import deque
from dataclasses import dataclass, field

from cassiaseam.messages import TimelineRecord
from cassiaseam.timeline.clock import HybridClock, issue_stamp

MAX_TEXT_CHARS = 256
MAX_FIELDS = 16


@dataclass(frozen=True, slots=True)
class SequencedRecord:
    """A record with its number within one run of a daemon.

    Attributes:
        sequence: Number of the record, counted from 1.
        record: The stamped record.
    """

    sequence: int
    record: TimelineRecord


@dataclass(frozen=True, slots=True)
class TimelinePage:
    """Records of one daemon.

    Attributes:
        vm: Name of the VM.
        run: Identifies the run of the daemon; sequence numbers start again with each run.
        oldest: Lowest sequence number still in the buffer; all lower ones are overwritten.
        latest: Highest sequence number given out, or 0.
        records: Records asked for, in the order of their sequence numbers.
        overwritten_until: Stamp of the newest overwritten record, or (0, 0).
    """

    vm: str
    run: str
    oldest: int
    latest: int
    records: tuple[SequencedRecord, ...] = ()
    overwritten_until: tuple[int, int] = (0, 0)


@dataclass(frozen=True, slots=True)
class TimelineQuery:
    """Selection of records.

    Attributes:
        since_ms: Lowest wall time in milliseconds of the stamps.
        database: Name of a database, or '' for all.
        cursor: Per VM the run and the last sequence number that the reader has.
    """

    since_ms: int = 0
    database: str = ''
    cursor: dict[str, tuple[str, int]] = field(default_factory=dict)


class TimelineBuffer:
    """Keeps the latest records of one daemon.

    Attributes:
        vm: Name of the VM.
        place: Place of the VM.
        run: Identifies this run of the daemon.
        clock: Clock that stamps the records.
        latest: Sequence number of the newest record, or 0.
        overwritten_until: Stamp of the newest overwritten record.
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
        """Stamp a record and keep it; the oldest one is overwritten when the buffer is full.

        Args:
            record: Record as the reducer made it; long texts are cut.
            now: Wall time in seconds since the epoch.
        """
        stamped = dataclasses.replace(
            record,
            stamp=issue_stamp(self.clock, now),
            vm=self.vm,
            place=self.place,
            cause=record.cause[:MAX_TEXT_CHARS],
            fields=_cut_fields(record.fields),
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


def _cut_fields(fields: dict[str, str]) -> dict[str, str]:
    kept = list(fields.items())[:MAX_FIELDS]
    return {name: str(text)[:MAX_TEXT_CHARS] for name, text in kept}
