"""What the pooler role needs of a store; the adapter of a platform provides it."""

from dataclasses import dataclass
from typing import Any

from cassiaseam.pooler.events import LeaseRecord, WriteOutcome


@dataclass(frozen=True, slots=True)
class StoreError:
    """Why the store gave no usable answer."""

    reason: str


@dataclass(frozen=True, slots=True)
class Change:
    """An object as the store has it, or the note that it was deleted."""

    name: str
    spec: Any
    deleted: bool
    revision: int = 0


@dataclass(frozen=True, slots=True)
class Listing:
    """Objects of one kind and the revision up to which they are complete."""

    changes: tuple[Change, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store has dropped the changes after the revision that was asked for."""


@dataclass(frozen=True, slots=True)
class DutySnapshot:
    """The duty record with its revision; 0 stands for no record."""

    revision: int
    record: LeaseRecord | None


@dataclass(frozen=True, slots=True)
class WriteResult:
    """What became of a conditional write, with the new revision when it was written."""

    outcome: WriteOutcome
    revision: int = 0


@dataclass(frozen=True, slots=True)
class PromotionFailure:
    """A call to promote a target that was not accepted.

    Attributes:
        reason: Why, for the log.
        may_have_run: Whether the target may be promoted nevertheless.
        may_arrive: Whether the call was sent and may reach the platform later.
    """

    reason: str
    may_have_run: bool
    may_arrive: bool = False
