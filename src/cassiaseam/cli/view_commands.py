"""`cassiaseam status` and `timeline`."""

import json
import time
from pathlib import Path
from typing import Any

from cleo.helpers import option

from cassiaseam.cli.base import (
    API_OPTIONS,
    SCOPE_OPTIONS,
    CommandFailed,
    ScopedCommand,
)
from cassiaseam.cli.exit_codes import ExitCode
from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.settings.units import parse_duration_s
from cassiaseam.timeline.merge import GapMark, TimelineEntry
from cassiaseam.timeline.render import (
    decode_timeline_entry,
    format_stamp_time,
    render_json_lines,
    render_timeline_page,
)

FOLLOW_PERIOD_S = 1.0
# Consecutive unanswered polls after which a target counts as failed (group/detection.py).
FAILED_POLL_LIMIT = 3
NO_ANSWER = 'no answer'
# The queried daemon spends 1 to 1.5 ms of CPU time per daemon and poll; this period keeps
# following below 1% of a core for any number of daemons.
FOLLOW_PERIOD_PER_DAEMON_S = 0.2


class Status(ScopedCommand):
    """Command `cassiaseam status`."""

    name = 'status'
    description = 'Show the status of all daemons, or of one with --local.'
    options = [*API_OPTIONS, *SCOPE_OPTIONS]

    def run_command(self) -> int:
        """Query and print the status."""
        scope = self.read_scope()
        status = self.require(self.open_client().read('/v1/status', scope=scope))
        if self.prints_json:
            self.print_json(status)
            return ExitCode.DONE
        if scope == 'local':
            status = {'vms': {status['vm']: status}, 'unreachable': {}}
        self.print_daemons(status)
        self.print_targets(status['vms'])
        return ExitCode.DONE

    def print_daemons(self, status: dict[str, Any]) -> None:
        """Print one line per daemon."""
        rows = [
            (
                name,
                shown['place'],
                '; '.join(shown['unready']) or 'yes',
                len(shown['databases']),
                f'{shown["uptime_s"]:.0f}s',
            )
            for name, shown in sorted(status['vms'].items())
        ]
        rows.extend((name, '', why, '', '') for name, why in status['unreachable'].items())
        self.print_table(('VM', 'place', 'ready', 'owned databases', 'uptime'), rows)

    def print_targets(self, vms: dict[str, Any]) -> None:
        """Print one line per target of every owned database."""
        rows = []
        for vm, shown in sorted(vms.items()):
            for database, group in sorted(shown['databases'].items()):
                rows.extend((database, vm, *row) for row in list_target_rows(group))
        headers = ('database', 'owner', 'term', 'target', 'place', 'state', 'role', 'age')
        self.print_table(headers, rows)


def list_target_rows(group: dict[str, Any]) -> list[tuple[Any, ...]]:
    """Return one row per target of a database."""
    return [
        (
            group['term'],
            name,
            target['place'],
            target['state'],
            target['role'] if is_responding(target) else NO_ANSWER,
            '' if target.get('age_s') is None else f'{target["age_s"]:g}s',
        )
        for name, target in group['targets'].items()
    ]


def is_responding(target: dict[str, Any]) -> bool:
    """Return whether a target responds to polls, so that its role is current."""
    return target.get('failures', 0) < FAILED_POLL_LIMIT


class Timeline(ScopedCommand):
    """Command `cassiaseam timeline`."""

    name = 'timeline'
    description = 'Show the decisions of all daemons in causal order.'
    options = [
        *API_OPTIONS,
        option('since', None, 'Duration back, time or Unix ms.', flag=False),
        option('database', None, 'Only this database.', flag=False),
        *SCOPE_OPTIONS,
        option('follow', None, 'Go on with new records.'),
        option('for', None, 'Time after which following ends, such as 10m.', flag=False),
        option('html', None, 'Write one HTML page to a file.', flag=False),
    ]

    def run_command(self) -> int:
        """Print records; with --follow, poll for new ones until the time is over."""
        client = self.open_client()
        ends_at = self.find_end()
        scope = self.read_scope()
        cursor = ''
        while True:
            answer = self.require(
                client.read(
                    '/v1/timeline',
                    scope=scope,
                    since=self.option('since') or '',
                    database=self.option('database') or '',
                    cursor=cursor,
                )
            )
            entries = [decode_timeline_entry(entry) for entry in answer['entries']]
            if self.option('html'):
                return self.write_page(entries)
            self.print_entries(entries)
            cursor = json.dumps(answer['cursor'])
            period_s = find_follow_period_s(len(answer['cursor']))
            if not self.option('follow') or time.monotonic() + period_s > ends_at:
                return ExitCode.DONE
            time.sleep(period_s)

    def find_end(self) -> float:
        """Return the monotonic time in seconds at which to stop following."""
        if not self.option('for'):
            return float('inf')
        try:
            return time.monotonic() + parse_duration_s(self.option('for'))
        except ValueError as error:
            message = f'--for is {error}'
            raise CommandFailed(RequestError(ErrorKind.BAD_REQUEST, message)) from error

    def write_page(self, entries: list[TimelineEntry]) -> int:
        """Write the timeline to an HTML file."""
        file = Path(self.option('html'))
        title = f'Time line of {self.option("database") or "all databases"}'
        try:
            file.write_text(render_timeline_page(entries, title), encoding='utf-8')
        except OSError as error:
            message = f'{file}: {error.strerror}'
            raise CommandFailed(RequestError(ErrorKind.BAD_REQUEST, message)) from error
        self.print_error(f'wrote {len(entries)} entries to {file}')
        return ExitCode.DONE

    def print_entries(self, entries: list[TimelineEntry]) -> None:
        """Print entries as JSON lines or text lines; both formats can be appended to."""
        if self.prints_json:
            self.io.write(render_json_lines(entries))
            return
        for entry in entries:
            self.print_text(format_entry(entry))


def find_follow_period_s(daemons: int) -> float:
    """Return the polling interval of --follow in seconds."""
    return max(FOLLOW_PERIOD_S, FOLLOW_PERIOD_PER_DAEMON_S * daemons)


def format_entry(entry: TimelineEntry) -> str:
    """Format an entry as one line of text."""
    if isinstance(entry, GapMark):
        time_text = format_stamp_time(entry.stamp[0])
        return f'{time_text}  {entry.vm}  GAP {entry.reason.value}: {entry.detail}'
    record = entry.record
    words = [format_stamp_time(record.stamp[0]), record.vm, record.kind, record.database]
    if record.term:
        words.append(f'term={record.term}')
    words.append(record.cause)
    words.extend(f'{name}={text}' for name, text in record.fields.items() if text)
    return '  '.join(filter(None, words))
