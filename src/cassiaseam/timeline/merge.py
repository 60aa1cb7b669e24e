"""Merges the timelines of several daemons in causal order."""

import enum
import heapq
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from cassiaseam.messages import TimelineRecord
from cassiaseam.timeline.buffer import TimelinePage, TimelineQuery
from cassiaseam.timeline.clock import Stamp


class GapReason(enum.Enum):
    """Why records of a daemon are missing."""

    UNREACHABLE = 'unreachable'
    OVERWRITTEN = 'overwritten'
    RESTARTED = 'restarted'


@dataclass(frozen=True, slots=True)
class GapMark:
    """Marks a position in the merged timeline where records of one daemon are missing.

    Attributes:
        vm: Name of the VM.
        reason: Why the records are missing.
        detail: Human-readable explanation.
        stamp: Timestamp that defines the position.
    """

    vm: str
    reason: GapReason
    detail: str
    stamp: Stamp = (0, 0)


@dataclass(frozen=True, slots=True)
class MergedRecord:
    """Record in the merged timeline."""

    sequence: int
    record: TimelineRecord


TimelineEntry = MergedRecord | GapMark


@dataclass(frozen=True, slots=True)
class MergedTimeline:
    """Merged records of several daemons.

    Attributes:
        entries: Records and gap marks in order.
        cursor: Run and sequence number after which a reader continues, by VM.
    """

    entries: tuple[TimelineEntry, ...]
    cursor: dict[str, tuple[str, int]]


def merge_timeline_pages(
    pages: Iterable[TimelinePage],
    unreachable: Mapping[str, str],
    query: TimelineQuery,
) -> MergedTimeline:
    """Merge the pages of several daemons.

    The order is consistent with causality: a daemon observes the timestamps of the messages that
    it receives, so an effect has a greater timestamp than its cause. Records of one daemon keep
    their order even if their timestamps do not increase.

    Args:
        pages: Pages of the daemons; of several pages of one VM only one is used.
        unreachable: Reason by VM that did not respond.
        query: Query that the pages match.
    """
    by_vm = {page.vm: page for page in pages}
    streams = [_iterate_page(by_vm[vm], query) for vm in sorted(by_vm)]
    merged = [entry for _, _, _, entry in heapq.merge(*streams, key=_read_order)]
    last_stamp = max((_read_stamp(entry) for entry in merged), default=(0, 0))
    merged.extend(
        GapMark(name, GapReason.UNREACHABLE, unreachable[name], last_stamp)
        for name in sorted(set(unreachable) - set(by_vm))
    )
    read_up_to = {name: (page.run, page.latest) for name, page in by_vm.items()}
    cursor = {**query.cursor, **read_up_to}
    return MergedTimeline(tuple(merged), cursor)


_Ordered = tuple[Stamp, str, int, TimelineEntry]


def _read_order(entry: _Ordered) -> tuple[Stamp, str, int]:
    return entry[:3]


def _read_stamp(entry: TimelineEntry) -> Stamp:
    return entry.stamp if isinstance(entry, GapMark) else entry.record.stamp


def _iterate_page(page: TimelinePage, query: TimelineQuery) -> Iterator[_Ordered]:
    highest: Stamp = (0, 0)
    if page.records:
        highest = page.records[0].record.stamp
    for mark in find_page_gaps(page, query, highest):
        yield mark.stamp, page.vm, 0, mark
    for entry in page.records:
        highest = max(highest, entry.record.stamp)
        merged = MergedRecord(entry.sequence, entry.record)
        yield highest, page.vm, entry.sequence, merged


def find_page_gaps(page: TimelinePage, query: TimelineQuery, stamp: Stamp) -> list[GapMark]:
    """Return marks for requested records that are no longer available.

    Args:
        page: Page of one daemon.
        query: Query that the page matches.
        stamp: Timestamp that defines the position of the marks.
    """
    run, after = query.cursor.get(page.vm, ('', 0))
    gaps = []
    if run and run != page.run:
        detail = f'daemon restarted; records after {after} of run {run} are lost'
        gaps.append(GapMark(page.vm, GapReason.RESTARTED, detail, stamp))
        after = 0
    lost = page.oldest - 1 - after
    if lost > 0 and page.overwritten_until[0] >= query.since_ms:
        detail = f'up to {lost} records before {page.oldest} are overwritten'
        gaps.append(GapMark(page.vm, GapReason.OVERWRITTEN, detail, stamp))
    return gaps
