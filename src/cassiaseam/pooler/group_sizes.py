"""Group sizes in the store: record, state, events and effects.

Target records expire while the store is unreachable. A VM that starts then would count majorities
over the few targets that it finds, and these may not intersect the majorities of other VMs.
"""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class SizeRecord:
    """Number of targets of a group, without those that are leaving.

    Attributes:
        group: Name of the group.
        size: Number of targets; 0 when the record cannot be read.
        revision: Revision of the record in the store, 0 without one.
        era: Era of the store in which it was written.
    """

    group: str
    size: int
    revision: int
    era: int = 0


@dataclass(slots=True)
class GroupSizesState:
    """State of the recorded group sizes on this VM.

    Attributes:
        known: Whether the records were read since the daemon started.
        read_era: Era of the store in which they were last read, or None before the first read.
        records: Record per group as last read or written.
        differing: Number of targets and time since which it differs from the record, per group.
        request_sent_at: Time at which the call in flight was sent, or None.
        next_check_at: Time at which the records are read again, or None while no read is due.
        not_before: Time before which no call is sent.
    """

    known: bool = False
    read_era: int | None = None
    records: dict[str, SizeRecord] = field(default_factory=dict)
    differing: dict[str, tuple[int, float]] = field(default_factory=dict)
    request_sent_at: float | None = None
    next_check_at: float | None = None
    not_before: float = 0

    def find_record(self, group: str) -> SizeRecord:
        """Return the record of a group; its revision is 0 when there is none."""
        return self.records.get(group, SizeRecord(group, 0, 0))


@dataclass(frozen=True, slots=True)
class SizesRead:
    """Event: the store returned the recorded sizes of all groups, possibly seconds stale."""

    records: tuple[SizeRecord, ...]


@dataclass(frozen=True, slots=True)
class SizesReadFailed:
    """Event: the recorded sizes could not be read."""


@dataclass(frozen=True, slots=True)
class SizeWritten:
    """Event: a conditional write of a size ended; `record` is None when it failed."""

    record: SizeRecord | None


@dataclass(frozen=True, slots=True)
class ReadSizes:
    """Effect: read the recorded sizes of all groups."""


@dataclass(frozen=True, slots=True)
class WriteSize:
    """Effect: write the size of a group if its record still has the revision; 0 creates it."""

    record: SizeRecord
