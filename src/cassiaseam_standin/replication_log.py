"""Log of committed transactions of a stand-in target."""

from dataclasses import dataclass

from cassiaseam.positions import ZERO_POSITION, LogPosition


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One committed transaction.

    Attributes:
        term: Term of the primary that committed it.
        offset: Position in the log; the first entry has offset 1.
        statements: Statements of the transaction in the dialect of sqlite.
    """

    term: int
    offset: int
    statements: tuple[str, ...]

    @property
    def position(self) -> LogPosition:
        """Return term and offset."""
        return LogPosition(self.term, self.offset)


class ReplicationLog:
    """Entries held by one instance.

    Two logs with the same term at an offset are equal up to that offset, because a term has one
    primary and a replica drops diverging entries before it appends others.

    Attributes:
        entries: Entries in order of their offsets.
        stored_at: Monotonic time in seconds at which each entry was stored here.
    """

    def __init__(self) -> None:
        self.entries: list[LogEntry] = []
        self.stored_at: list[float] = []

    @property
    def last(self) -> LogPosition:
        """Return the position of the last entry."""
        return self.entries[-1].position if self.entries else ZERO_POSITION

    def append(self, entry: LogEntry, now: float) -> None:
        """Store the next entry; raises ValueError if it leaves a gap or its term decreases."""
        last = self.last
        if entry.offset != last.offset + 1 or entry.term < last.term:
            raise ValueError(f'entry {entry.position} cannot follow {last}')
        self.entries.append(entry)
        self.stored_at.append(now)

    def find_term(self, offset: int) -> int:
        """Return the term of the entry at `offset`, 0 for offset 0."""
        return self.entries[offset - 1].term if offset else 0

    def drop_after(self, offset: int) -> int:
        """Drop the entries after `offset` and return their number."""
        dropped = max(len(self.entries) - offset, 0)
        del self.entries[offset:]
        del self.stored_at[offset:]
        return dropped

    def find_common_offset(self, last: LogPosition) -> int:
        """Return `last.offset` when a log that ends at `last` is a prefix of this one.

        Otherwise the result is a lower offset. All entries after it diverge, and the check must be
        repeated for the entry at that offset.
        """
        if last.offset <= len(self.entries) and self.find_term(last.offset) == last.term:
            return last.offset
        offset = min(last.offset - 1, len(self.entries))
        while offset > 0 and self.find_term(offset) > last.term:
            offset -= 1
        return offset

    def list_entries_after(self, offset: int, stored_until: float, limit: int) -> list[LogEntry]:
        """Return up to `limit` entries after `offset` that were stored by `stored_until`."""
        found: list[LogEntry] = []
        for index in range(offset, min(offset + limit, len(self.entries))):
            if self.stored_at[index] > stored_until:
                break
            found.append(self.entries[index])
        return found
