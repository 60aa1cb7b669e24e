"""Fault injection switches of a stand-in target."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any


def parse_flag(text: str) -> bool:
    """Return whether `text` enables a fault."""
    return text.strip().lower() not in {'', '0', 'off', 'no', 'false'}


def parse_count(text: str) -> int:
    """Return a count or a time in milliseconds; raises ValueError below 0."""
    count = int(text)
    if count < 0:
        raise ValueError(f'{text!r} is below 0')
    return count


def parse_names(text: str) -> frozenset[str]:
    """Return the instance names of a comma-separated list."""
    return frozenset(name.strip() for name in text.split(',') if name.strip())


PARSERS: dict[str, Callable[[str], Any]] = {
    'replication_pause': parse_flag,
    'replication_delay_ms': parse_count,
    'apply_delay_ms': parse_count,
    'cut_from': parse_names,
    'client_cut': parse_flag,
    'statement_delay_ms': parse_count,
    'drop_before_commit': parse_count,
    'drop_after_commit': parse_count,
    'leaving': parse_flag,
}


@dataclass(slots=True)
class FaultSwitches:
    """Faults in force on one stand-in target.

    Attributes:
        replication_pause: No log entries are exchanged; the instances stay in contact.
        replication_delay_ms: Age in milliseconds that an entry must have before it is sent.
        apply_delay_ms: Milliseconds for which a received entry stays invisible to reads.
        cut_from: Instances with which no replication traffic is exchanged.
        client_cut: Connections other than replication and fault control are closed and refused.
        statement_delay_ms: Added to the service time of every statement.
        drop_before_commit: Number of next commits that are rolled back without an answer.
        drop_after_commit: Number of next commits that are applied without an answer.
        leaving: The instance reports that it is shutting down.
    """

    replication_pause: bool = False
    replication_delay_ms: int = 0
    apply_delay_ms: int = 0
    cut_from: frozenset[str] = field(default_factory=frozenset)
    client_cut: bool = False
    statement_delay_ms: int = 0
    drop_before_commit: int = 0
    drop_after_commit: int = 0
    leaving: bool = False

    def set_fault(self, name: str, text: str) -> None:
        """Set one switch; raises LookupError for an unknown name, ValueError for a bad value."""
        parser = PARSERS.get(name)
        if parser is None:
            raise LookupError(f'unknown fault {name!r}, known are {", ".join(PARSERS)}')
        setattr(self, name, parser(text))

    def take_drop_before_commit(self) -> bool:
        """Return whether the current commit is rolled back without an answer; counts it."""
        if not self.drop_before_commit:
            return False
        self.drop_before_commit -= 1
        return True

    def take_drop_after_commit(self) -> bool:
        """Return whether the answer to the current commit is dropped; counts it."""
        if not self.drop_after_commit:
            return False
        self.drop_after_commit -= 1
        return True
