"""Checks of the answers: lost, doubled, stale and foreign data."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

MAX_EXAMPLES = 10
KINDS = (
    'lost_writes',
    'doubled_writes',
    'ran_refused',
    'stale_reads',
    'foreign_answers',
    'hanging',
)


@dataclass(slots=True)
class SessionLedger:
    """What one caller session wrote.

    Attributes:
        session: Identity of the session, part of every row it writes.
        next_number: Number of its next write.
        acknowledged: Highest number that was acknowledged.
    """

    session: str
    next_number: int = 1
    acknowledged: int = 0


@dataclass(slots=True)
class Violations:
    """Counts that have to be zero.

    Attributes:
        lost_writes: Acknowledged writes missing at the end.
        doubled_writes: Requests whose row exists more than once.
        ran_refused: Requests answered 'not run' whose row exists.
        stale_reads: Reads that missed an acknowledged write of their own session.
        foreign_answers: Answers that belong to another request.
        hanging: Requests without an answer after their deadline.
        examples: A few of the values that failed.
    """

    lost_writes: int = 0
    doubled_writes: int = 0
    ran_refused: int = 0
    stale_reads: int = 0
    foreign_answers: int = 0
    hanging: int = 0
    examples: list[str] = field(default_factory=list)

    def list_kinds(self) -> tuple[str, ...]:
        """Return the names of the counts."""
        return KINDS

    def count(self) -> int:
        """Return the number of violations of all kinds."""
        return sum(getattr(self, kind) for kind in KINDS)

    def add(self, other: 'Violations') -> None:
        """Add the counts and examples of another run."""
        for kind in KINDS:
            setattr(self, kind, getattr(self, kind) + getattr(other, kind))
        for example in other.examples:
            self.note(example)

    def note(self, example: str) -> None:
        """Keep an example for the report."""
        if len(self.examples) < MAX_EXAMPLES:
            self.examples.append(example)


@dataclass(slots=True)
class WriteJournal:
    """Outcome of every write of a run, by row identity.

    Attributes:
        acknowledged: Rows whose write was acknowledged.
        refused: Rows whose write was answered 'not run'.
        unknown: Rows whose outcome is unknown.
    """

    acknowledged: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    unknown: set[str] = field(default_factory=set)


def check_read(
    ledger: SessionLedger, row: tuple[str, int | None], expected: int, violations: Violations
) -> None:
    """Check the answer to a session's read of its own rows.

    Args:
        ledger: Session that read.
        row: Session identity that was asked for and highest number found.
        expected: Highest number acknowledged before the read was sent.
        violations: Counts to add to.
    """
    session, number = row
    if session != ledger.session:
        violations.foreign_answers += 1
        violations.note(f'session {ledger.session} got the row of {session}')
    elif (number or 0) < expected:
        violations.stale_reads += 1
        violations.note(f'session {session} read {number} after write {expected}')


def check_rows(journal: WriteJournal, rows: Iterable[str], violations: Violations) -> None:
    """Compare the rows found at the end of a run with the answers given during it."""
    found = Counter(rows)
    for row in journal.acknowledged - found.keys():
        violations.lost_writes += 1
        violations.note(f'acknowledged row {row} is missing')
    for row in journal.refused & found.keys():
        violations.ran_refused += 1
        violations.note(f'row {row} exists although its write was answered "not run"')
    for row, times in found.items():
        if times > 1:
            violations.doubled_writes += 1
            violations.note(f'row {row} exists {times} times')
