"""Types of the store interface of the pooler role, which the adapter of a platform implements."""

from dataclasses import dataclass
from typing import Any

from cassiaseam.pooler.events import LeaseRecord, WriteOutcome


@dataclass(frozen=True, slots=True)
class StoreError:
    """Reason why the store returned no usable response."""

    reason: str


@dataclass(frozen=True, slots=True)
class Change:
    """Content of an object in the store, or its deletion."""

    name: str
    spec: Any
    deleted: bool
    revision: int = 0


@dataclass(frozen=True, slots=True)
class ListedPage:
    """Page of a list.

    Attributes:
        last_name: Name of its last object, or '' for the last page.
        revision: Revision as of which it shows its objects.
    """

    last_name: str
    revision: int


@dataclass(frozen=True, slots=True)
class Listing:
    """Objects or changes of one kind and the revision up to which they are complete.

    Attributes:
        changes: Objects or changes that have a name.
        revision: Revision up to which they are complete; the lowest one of the pages of a list.
        nameless: Number of further entries, of which not even the name can be used.
        pages: Pages of a list, in order.
    """

    changes: tuple[Change, ...]
    revision: int
    nameless: int = 0
    pages: tuple[ListedPage, ...] = ()


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store no longer has the changes after the requested revision."""


@dataclass(frozen=True, slots=True)
class DutySnapshot:
    """The lease record with its revision, or revision 0 without a record.

    Attributes:
        revision: Revision of the record, 0 if there is none.
        record: The record, or None if there is none or it is invalid.
        problem: Why the record is invalid, or ''.
    """

    revision: int
    record: LeaseRecord | None
    problem: str = ''


@dataclass(frozen=True, slots=True)
class WriteResult:
    """Outcome of a conditional write, with the new revision if it was written."""

    outcome: WriteOutcome
    revision: int = 0


@dataclass(frozen=True, slots=True)
class PromotionFailure:
    """A call to promote a target that was not accepted.

    Attributes:
        reason: Reason for the log.
        may_have_run: Whether the target may have been promoted anyway.
        may_arrive: Whether the call was sent and may reach the platform later.
    """

    reason: str
    may_have_run: bool
    may_arrive: bool = False
