"""Scaling of the peer transport: CPU time and bytes per request, memory per link."""

import asyncio
import time
from collections.abc import Iterator

from cassiaseam.messages import Answer, Request, RequestKind, ResultSet
from cassiaseam.peers.codec import encode_message
from cassiaseam.peers.transport import PeerTransport
from cassiaseam.positions import LogPosition
from cassiaseam_load.slope_registry import Point, measures_role
from cassiaseam_load.slope_support import (
    LOOPBACK,
    MS_PER_S,
    LoopThread,
    run_loop_thread,
    trace_memory,
)

ROLE = 'peer transport'
REQUESTS = (500, 1000, 2000)
IN_FLIGHT = 16
LINKS = (10, 20, 40)
# Equals the interval at which idle links are checked.
IDLE_S = 6.0
DEADLINE_S = 20.0
FRAME_HEADER_BYTES = 4
# IP and TCP headers with timestamps; each frame has its own segment, which is acknowledged.
TCP_HEADER_BYTES = 52
SQL = 'SELECT id, name FROM items WHERE id = 17'
_ANSWERED = ResultSet(('id', 'name'), ((17, 'seventeen'),), column_types=(8, 253))


def build_request(number: int) -> Request:
    """Return a read request with a short statement."""
    return Request(
        f'request-{number}',
        'vm-1',
        'caller',
        'b1946ac92492d2347c6235b4d2611184',
        'orders',
        RequestKind.READ,
        SQL,
        time.monotonic() + DEADLINE_S,
        LogPosition(1, 1000),
        max_age_s=5,
    )


def build_answer(request: Request) -> Answer:
    """Return an answer with one row."""
    position = LogPosition(1, 1000)
    return Answer(request.request_id, _ANSWERED, target='a', position=position, replica=True)


def start_transport(thread: LoopThread, vm: str, ports: dict[str, int]) -> PeerTransport:
    """Start a transport that answers every request immediately."""
    transport = thread.call(lambda: PeerTransport(vm, 1, lambda other: (LOOPBACK, ports[other])))
    transport.on_request = lambda peer, request: transport.send_answer(peer, build_answer(request))
    ports[vm] = thread.run(transport.start(LOOPBACK, 0))
    return transport


async def send_requests(transport: PeerTransport, vm: str, count: int) -> None:
    """Send `count` requests in batches of `IN_FLIGHT` concurrent requests.

    Raises:
        ValueError: A request was answered with an error.
    """
    for first in range(0, count, IN_FLIGHT):
        numbers = range(first, min(first + IN_FLIGHT, count))
        sent = (
            transport.send_request(vm, build_request(number), time.monotonic())
            for number in numbers
        )
        for answer in await asyncio.gather(*sent):
            if answer.error is not None:
                raise ValueError(f'{answer.request_id}: {answer.error}')


@measures_role(ROLE)
def measure_transport() -> Iterator[Point]:
    """Measure requests on one link, and memory and idle CPU time of many links."""
    yield from measure_links()
    yield from measure_requests()
    yield from measure_bytes()


def measure_requests() -> Iterator[Point]:
    """Measure the CPU time of requests at the sender and the receiver."""
    ports: dict[str, int] = {}
    with run_loop_thread() as near, run_loop_thread() as far:
        entry = start_transport(near, 'vm-1', ports)
        owner = start_transport(far, 'vm-2', ports)
        near.run(send_requests(entry, 'vm-2', REQUESTS[0]))
        for requests in REQUESTS:
            started_s = (near.read_cpu_s(), far.read_cpu_s())
            near.run(send_requests(entry, 'vm-2', requests))
            near_ms = (near.read_cpu_s() - started_s[0]) * MS_PER_S
            far_ms = (far.read_cpu_s() - started_s[1]) * MS_PER_S
            yield Point(ROLE, 'processor time of requests, sender', requests, near_ms, 'ms')
            yield Point(ROLE, 'processor time of requests, receiver', requests, far_ms, 'ms')
        near.run(entry.stop())
        far.run(owner.stop())


def measure_bytes() -> Iterator[Point]:
    """Yield the bytes of requests and their answers, with one TCP segment per frame."""
    now = time.monotonic()
    for requests in REQUESTS:
        request = build_request(requests)
        frames = (request, build_answer(request))
        encoded = sum(len(encode_message(requests, frame, now)) for frame in frames)
        headers = len(frames) * (FRAME_HEADER_BYTES + 2 * TCP_HEADER_BYTES)
        total = requests * (encoded + headers)
        yield Point(ROLE, 'bytes of requests and answers', requests, total, 'bytes')


def measure_links() -> Iterator[Point]:
    """Measure idle CPU time and heap of a daemon with links to many others."""
    with run_loop_thread() as near, run_loop_thread() as far:
        for links in open_links(near, far):
            started_s = near.read_cpu_s()
            time.sleep(IDLE_S)
            idle_ms = (near.read_cpu_s() - started_s) / IDLE_S * MS_PER_S
            yield Point(ROLE, 'processor time of idle links', links, idle_ms, 'ms/s')
        with trace_memory() as read_bytes:
            for links in open_links(near, far):
                yield Point(ROLE, 'heap of links, both ends', links, read_bytes(), 'bytes')


def open_links(near: LoopThread, far: LoopThread) -> Iterator[int]:
    """Open links and yield after each size in `LINKS`; both ends are in this process."""
    ports: dict[str, int] = {}
    hub = start_transport(near, 'vm-1', ports)
    others = [start_transport(far, f'peer-{number}', ports) for number in range(LINKS[-1])]
    opened = 0
    for links in LINKS:
        while opened < links:
            near.run(send_requests(hub, f'peer-{opened}', 1))
            opened += 1
        yield links
    near.run(hub.stop())
    for other in others:
        far.run(other.stop())
