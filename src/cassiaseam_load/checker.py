"""Consistency checks: lost and duplicate writes, stale reads and answers of other requests."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

MAX_EXAMPLES = 10
VIOLATION_KINDS = (
    'lost_writes',
    'doubled_writes',
    'ran_refused',
    'stale_reads',
    'foreign_answers',
    'hanging',
)


@dataclass(slots=True)
class SessionLedger:
    """Writes of one caller session.

    Attributes:
        session: Session id, which is part of every row that the session writes.
        next_number: Number of the next write.
        acknowledged: Highest number whose write was acknowledged.
    """

    session: str
    next_number: int = 1
    acknowledged: int = 0


@dataclass(slots=True)
class Violations:
    """Number of consistency violations per kind; every count must be zero.

    Attributes:
        lost_writes: Acknowledged writes whose row is missing at the end.
        doubled_writes: Writes whose row exists more than once.
        ran_refused: Writes answered 'not run' whose row exists.
        stale_reads: Reads that missed an acknowledged write of their own session.
        foreign_answers: Answers that belong to another session's request.
        hanging: Requests without an answer after their deadline.
        examples: Descriptions of up to `MAX_EXAMPLES` violations.
    """

    lost_writes: int = 0
    doubled_writes: int = 0
    ran_refused: int = 0
    stale_reads: int = 0
    foreign_answers: int = 0
    hanging: int = 0
    examples: list[str] = field(default_factory=list)

    def list_kinds(self) -> tuple[str, ...]:
        """Return the names of the count fields."""
        return VIOLATION_KINDS

    def count(self) -> int:
        """Return the total number of violations."""
        return sum(getattr(self, kind) for kind in VIOLATION_KINDS)

    def add(self, other: 'Violations') -> None:
        """Add the counts and examples of another instance."""
        for kind in VIOLATION_KINDS:
            setattr(self, kind, getattr(self, kind) + getattr(other, kind))
        for example in other.examples:
            self.add_example(example)

    def add_example(self, example: str) -> None:
        """Store an example for the report unless there are `MAX_EXAMPLES` already."""
        if len(self.examples) < MAX_EXAMPLES:
            self.examples.append(example)


@dataclass(slots=True)
class WriteJournal:
    """Row ids of all writes of a run, by outcome.

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
    """Check that a session read its own rows and all its acknowledged writes.

    Args:
        ledger: Writes of the session that read.
        row: Session id and highest number in the answer.
        expected: Highest number acknowledged before the read was sent.
        violations: Receives the violations found.
    """
    session, number = row
    if session != ledger.session:
        violations.foreign_answers += 1
        violations.add_example(f'session {ledger.session} got the row of {session}')
    elif (number or 0) < expected:
        violations.stale_reads += 1
        violations.add_example(f'session {session} read {number} after write {expected}')


def check_rows(journal: WriteJournal, rows: Iterable[str], violations: Violations) -> None:
    """Check the rows found at the end of a run against the recorded write outcomes."""
    found = Counter(rows)
    for row in journal.acknowledged - found.keys():
        violations.lost_writes += 1
        violations.add_example(f'acknowledged row {row} is missing')
    for row in journal.refused & found.keys():
        violations.ran_refused += 1
        violations.add_example(f'row {row} exists although its write was answered "not run"')
    for row, times in found.items():
        if times > 1:
            violations.doubled_writes += 1
            violations.add_example(f'row {row} exists {times} times')
