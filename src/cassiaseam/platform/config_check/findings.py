"""Findings of the configuration check, and the registry of its rules."""

import enum
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from cassiaseam.platform.records import ConfigDocument


class Severity(enum.Enum):
    """How serious a finding is.

    Daemons refuse a configuration with an `ERROR`, and keep the version in force. They accept one
    with a `WARNING`, but an entry does not do what its text says.
    """

    ERROR = 'error'
    WARNING = 'warning'


@dataclass(frozen=True, slots=True)
class Finding:
    """One finding; neither field contains a key of an account.

    Attributes:
        severity: How serious it is.
        place: Path in the file, such as `routes[2].service`; empty for the whole file.
        text: What is wrong.
    """

    severity: Severity
    place: str
    text: str


@dataclass(frozen=True, slots=True)
class CheckContext:
    """What rules may compare a configuration with.

    Attributes:
        in_force: Configuration in force, or None if it was not given.
        vms: Number of VMs that share the connections of each target, or None if not given.
    """

    in_force: ConfigDocument | None = None
    vms: int | None = None


Rule = Callable[[ConfigDocument, CheckContext], Iterator[Finding]]
RULES: list[Rule] = []


def register_rule(rule: Rule) -> Rule:
    """Register a rule of the check; it yields its findings."""
    RULES.append(rule)
    return rule


def warn(place: str, text: str) -> Finding:
    """Return a finding for an entry that does not do what its text says."""
    return Finding(Severity.WARNING, place, text)
