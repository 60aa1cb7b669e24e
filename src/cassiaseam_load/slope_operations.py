"""Scaling of administration and timeline: fan-out to all daemons, buffer and page merges."""

import asyncio
import time
from collections.abc import Iterator
from functools import partial

from cassiaseam.messages import TimelineRecord
from cassiaseam.settings.units import Address
from cassiaseam.timeline.buffer import TimelineBuffer, TimelinePage, TimelineQuery
from cassiaseam.timeline.merge import merge_timeline_pages
from cassiaseam_load.slope_registry import Point, measures_role
from cassiaseam_load.slope_support import (
    LOOPBACK,
    MS_PER_S,
    LoopThread,
    measure_cpu_s,
    run_loop_thread,
    trace_memory,
)

ROLE = 'administration and time line'
RECORDS = (1000, 4000, 10000)
DAEMONS = (50, 200, 700)
QUERIED_DAEMONS = (50, 100, 200)
RECORDS_PER_PAGE = 2
BODY = b'{"vm":"vm-1","records":[],"latest":1,"oldest":1,"run":"1"}'
NOW_S = 1_800_000_000.0


def make_record(number: int) -> TimelineRecord:
    """Return a timeline record of typical size."""
    return TimelineRecord(
        'promotion_started',
        f'database-{number % 2}',
        number,
        'the primary failed 3 polls',
        {'promoter': f'vm-1/{number:016x}', 'target': 't1'},
    )


def fill_buffer(buffer: TimelineBuffer, count: int) -> None:
    """Append `count` records."""
    for number in range(count):
        buffer.append_record(make_record(number), NOW_S + number)


@measures_role(ROLE)
def measure_operations() -> Iterator[Point]:
    """Measure the buffer by number of records, and merges and fan-out by number of daemons."""
    for records in RECORDS:
        with trace_memory() as read_bytes:
            buffer = TimelineBuffer('vm-1', 'place-a', '1', records)
            fill_buffer(buffer, records)
            yield Point(ROLE, 'heap of the time line', records, read_bytes(), 'bytes')
        emptied = TimelineBuffer('vm-1', 'place-a', '1', records)
        spent_s = measure_cpu_s(partial(fill_buffer, emptied, records))
        yield Point(ROLE, 'processor time of records', records, spent_s * MS_PER_S, 'ms')
    for daemons in DAEMONS:
        pages = make_pages(daemons)
        spent_s = measure_cpu_s(partial(merge_timeline_pages, pages, {}, TimelineQuery()))
        yield Point(ROLE, 'processor time of a merge', daemons, spent_s * MS_PER_S, 'ms')
    with run_loop_thread() as client_thread, run_loop_thread() as server_thread:
        yield from measure_fanout(client_thread, server_thread)


def make_pages(daemons: int) -> list[TimelinePage]:
    """Return one timeline page per daemon."""
    pages = []
    for number in range(daemons):
        buffer = TimelineBuffer(f'vm-{number:04d}', 'place-a', '1', 100)
        fill_buffer(buffer, RECORDS_PER_PAGE)
        pages.append(buffer.read_page(TimelineQuery()))
    return pages


async def serve_http_requests(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer HTTP requests with a fixed body until the connection closes."""
    head = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: '
    answer = b''.join((head, str(len(BODY)).encode(), b'\r\n\r\n', BODY))
    try:
        while await reader.readuntil(b'\r\n\r\n'):
            writer.write(answer)
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


def measure_fanout(client_thread: LoopThread, server_thread: LoopThread) -> Iterator[Point]:
    """Measure the CPU time and duration of a request from one daemon to many others."""
    from twisted.internet.asyncioreactor import AsyncioSelectorReactor

    from cassiaseam.admin.fanout import DaemonClient

    server = server_thread.run(asyncio.start_server(serve_http_requests, LOOPBACK, 0))
    port = server.sockets[0].getsockname()[1]
    daemon_client = client_thread.call(
        lambda: DaemonClient(AsyncioSelectorReactor(client_thread.loop))
    )
    for round_number, daemons in enumerate((QUERIED_DAEMONS[0], *QUERIED_DAEMONS)):
        addresses = {f'vm-{number}': Address(LOOPBACK, port) for number in range(daemons)}
        started_s = client_thread.read_cpu_s()
        started_at = time.monotonic()
        gathered = client_thread.run(
            daemon_client.query_daemons(addresses, '/v1/timeline', {}, 'Bearer x')
        )
        if len(gathered.answers) != daemons:
            raise ValueError(f'{len(gathered.answers)} answers: {gathered.unreachable}')
        spent_ms = (client_thread.read_cpu_s() - started_s) * MS_PER_S
        elapsed_ms = (time.monotonic() - started_at) * MS_PER_S
        if round_number:
            quantity = 'processor time to ask other daemons'
            yield Point(ROLE, quantity, daemons, spent_ms, 'ms')
            yield Point(ROLE, 'time to ask other daemons', daemons, elapsed_ms, 'ms')
    client_thread.run(daemon_client.close())
    server_thread.call(server.close)
