"""Rendering of a merged timeline as JSON lines or an HTML page."""

import html
import json
from collections.abc import Iterable
from datetime import UTC, datetime
from typing import Any

from cassiaseam.messages import TimelineRecord
from cassiaseam.timeline.merge import GapMark, GapReason, MergedRecord, TimelineEntry

_PAGE = """<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8">
<meta http-equiv="Content-Security-Policy" content="default-src 'none'; style-src 'unsafe-inline'">
<title>{title}</title>
<style>
body {{ font: 13px sans-serif; margin: 1em; }}
table {{ border-collapse: collapse; }}
th {{ position: sticky; top: 0; background: #fff; text-align: left; }}
th, td {{ padding: 2px 8px; border-left: 1px solid #bbb; vertical-align: top; }}
td.time {{ white-space: nowrap; font-family: monospace; }}
td.record {{ background: #e8f0fe; }}
td.gap {{ background: #fde0dc; }}
small {{ color: #555; }}
</style></head><body>
<h1>{title}</h1>
<p>{summary}</p>
<table><thead><tr><th>time (UTC)</th>{lanes}</tr></thead>
<tbody>
{rows}
</tbody></table></body></html>
"""


def encode_timeline_entry(entry: TimelineEntry) -> dict[str, Any]:
    """Encode an entry as a JSON object; `type` is `record` or `gap`."""
    if isinstance(entry, GapMark):
        return {
            'type': 'gap',
            'vm': entry.vm,
            'reason': entry.reason.value,
            'detail': entry.detail,
            'stamp': list(entry.stamp),
        }
    record = entry.record
    return {
        'type': 'record',
        'sequence': entry.sequence,
        'stamp': list(record.stamp),
        'vm': record.vm,
        'place': record.place,
        'kind': record.kind,
        'database': record.database,
        'term': record.term,
        'cause': record.cause,
        'fields': record.fields,
    }


def decode_timeline_entry(document: dict[str, Any]) -> TimelineEntry:
    """Decode an entry encoded by `encode_timeline_entry`.

    Raises:
        KeyError: A key is missing.
        ValueError: A value is malformed.
    """
    wall_ms, counter = document['stamp']
    stamp = (int(wall_ms), int(counter))
    if document['type'] == 'gap':
        reason = GapReason(document['reason'])
        return GapMark(str(document['vm']), reason, str(document['detail']), stamp)
    record = TimelineRecord(
        str(document['kind']),
        str(document['database']),
        int(document['term']),
        str(document['cause']),
        {str(name): str(text) for name, text in dict(document['fields']).items()},
        stamp,
        str(document['vm']),
        str(document['place']),
    )
    return MergedRecord(int(document['sequence']), record)


def render_json_lines(entries: Iterable[TimelineEntry]) -> str:
    """Return one JSON object per line."""
    lines = (json.dumps(encode_timeline_entry(it), ensure_ascii=False) for it in entries)
    return ''.join(f'{line}\n' for line in lines)


def format_stamp_time(wall_ms: int) -> str:
    """Format a timestamp in UTC with milliseconds; returns '-' if it is out of range."""
    try:
        moment = datetime.fromtimestamp(wall_ms / 1000, UTC)
    except (OverflowError, OSError, ValueError):
        return '-'
    return moment.isoformat(sep=' ', timespec='milliseconds').removesuffix('+00:00')


def render_timeline_page(entries: Iterable[TimelineEntry], title: str) -> str:
    """Return a self-contained HTML page with one column per process."""
    listed = tuple(entries)
    lanes = sorted({_read_vm(entry) for entry in listed})
    rows = '\n'.join(_render_row(entry, lanes) for entry in listed)
    gaps = sum(isinstance(entry, GapMark) for entry in listed)
    summary = f'{len(listed) - gaps} records and {gaps} gaps of {len(lanes)} processes'
    heads = ''.join(f'<th>{html.escape(lane)}</th>' for lane in lanes)
    return _PAGE.format(title=html.escape(title), summary=summary, lanes=heads, rows=rows)


def _read_vm(entry: TimelineEntry) -> str:
    return entry.vm if isinstance(entry, GapMark) else entry.record.vm


def _render_row(entry: TimelineEntry, lanes: list[str]) -> str:
    lane = lanes.index(_read_vm(entry))
    before = '<td></td>' * lane
    after = '<td></td>' * (len(lanes) - lane - 1)
    stamp = entry.stamp if isinstance(entry, GapMark) else entry.record.stamp
    time = f'<td class="time">{format_stamp_time(stamp[0])} +{stamp[1]}</td>'
    return f'<tr>{time}{before}{_render_cell(entry)}{after}</tr>'


def _render_cell(entry: TimelineEntry) -> str:
    if isinstance(entry, GapMark):
        text = html.escape(f'{entry.reason.value}: {entry.detail}')
        return f'<td class="gap">{text}</td>'
    record = entry.record
    words = [record.database]
    if record.term:
        words.append(f'term {record.term}')
    words.extend(f'{name}={text}' for name, text in record.fields.items())
    notes = html.escape(' '.join(filter(None, (record.cause, *words))))
    return f'<td class="record"><b>{html.escape(record.kind)}</b><br><small>{notes}</small></td>'
