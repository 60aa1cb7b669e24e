"""Reads the objects, names and revisions in the answers of the platform's store."""

from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from cassiaseam.pooler.accounts.decoding import encode_text
from cassiaseam.pooler.store_types import Change, StoreError
from cassiaseam.store_revisions import NUMBER_BITS, join_revision

# Names go into paths, log lines and lines of the protocol of targets.
MAX_NAME_CHARS = 512


@dataclass(frozen=True, slots=True)
class PageEnd:
    """How a page of a list ends.

    Attributes:
        is_last: Whether no page follows.
        at: Revision that the store gave out.
    """

    is_last: bool
    at: int


def read_page_end(content: dict[str, Any]) -> Result[PageEnd, StoreError]:
    """Return how a page ends; a page that does not tell must not end the list."""
    at = content.get('at')
    if not isinstance(content.get('items'), list) or not is_revision_number(at):
        return Err(StoreError('the list response lacks items or a revision'))
    has_more = content.get('hasMore', False)
    if not isinstance(has_more, bool):
        return Err(StoreError('the list response does not tell whether a page follows'))
    return Ok(PageEnd(not has_more, at))


def is_revision_number(given: Any) -> bool:
    """Return whether a value can be a revision; a larger one would change the era."""
    is_integer = isinstance(given, int) and not isinstance(given, bool)
    return is_integer and 0 <= given < 1 << NUMBER_BITS


def read_revision(content: Any, era: int) -> int:
    """Return the revision of an object, or 0 if it cannot be read."""
    meta = content.get('meta') if isinstance(content, dict) else None
    revision = meta.get('revision') if isinstance(meta, dict) else None
    return join_revision(era, revision) if revision and is_revision_number(revision) else 0


def decode_objects(items: list[Any], era: int) -> tuple[list[Change], int]:
    """Return the objects of a list, and how many entries have no usable name."""
    return _drop_nameless([_decode_object(entry, era, deleted=False) for entry in items])


def decode_events(events: list[Any], era: int) -> tuple[list[Change], int]:
    """Return the changes of a watch, and how many entries have no usable name."""
    objects = [event if isinstance(event, dict) else {} for event in events]
    return _drop_nameless(
        [
            _decode_object(event.get('object'), era, deleted=event.get('deleted') is True)
            for event in objects
        ]
    )


def _drop_nameless(changes: list[Change | None]) -> tuple[list[Change], int]:
    named = [change for change in changes if change is not None]
    return named, len(changes) - len(named)


def _decode_object(entry: Any, era: int, deleted: bool) -> Change | None:
    meta = entry.get('meta') if isinstance(entry, dict) else None
    name = meta.get('name') if isinstance(meta, dict) else None
    if not is_usable_name(name):
        return None
    return Change(name, entry.get('spec'), deleted, read_revision(entry, era))


def is_usable_name(name: Any) -> bool:
    """Return whether an object with this name can be asked for."""
    return isinstance(name, str) and 0 < len(name) <= MAX_NAME_CHARS and bool(encode_text(name))
