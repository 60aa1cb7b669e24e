"""Recorded sizes of groups: what lasts in the store, its events and effects.

Target records lapse while the store is away. A VM that starts then would count majorities over the
few targets that it finds, and they need not meet those of other VMs.
"""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class SizeRecord:
    """How many targets a group has, without those that leave.

    Attributes:
        group: Name of the group.
        size: Number of targets; 0 when the record cannot be read.
        revision: Revision of the record in the store, 0 without one.
    """

    group: str
    size: int
    revision: int


@dataclass(slots=True)
class SizesView:
    """What this daemon knows of the recorded sizes.

    Attributes:
        known: Whether the records were read since the start of the daemon.
        records: Record per group as last read or written.
        differing: Per group whose record differs, the number of targets and since when it is so.
        asked_at: Time of the call under way, or None.
        check_at: Time at which the records are read again, or None while none differs.
        not_before: Time before which no call is sent.
    """

    known: bool = False
    records: dict[str, SizeRecord] = field(default_factory=dict)
    differing: dict[str, tuple[int, float]] = field(default_factory=dict)
    asked_at: float | None = None
    check_at: float | None = None
    not_before: float = 0

    def find_record(self, group: str) -> SizeRecord:
        """Return the record of a group; its revision is 0 when there is none."""
        return self.records.get(group, SizeRecord(group, 0, 0))


@dataclass(frozen=True, slots=True)
class SizesRead:
    """Event: the store returned the recorded sizes of all groups, which may be seconds old."""

    records: tuple[SizeRecord, ...]


@dataclass(frozen=True, slots=True)
class SizesReadFailed:
    """Event: the recorded sizes could not be read."""


@dataclass(frozen=True, slots=True)
class SizeWritten:
    """Event: a conditional write of a size ended; `record` has the new revision, or is None."""

    record: SizeRecord | None


@dataclass(frozen=True, slots=True)
class ReadSizes:
    """Effect: read the recorded sizes of all groups."""


@dataclass(frozen=True, slots=True)
class WriteSize:
    """Effect: write the size of a group if its record still has the revision; 0 creates it."""

    record: SizeRecord
