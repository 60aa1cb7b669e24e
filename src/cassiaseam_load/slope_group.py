"""Scaling of group monitoring: CPU time, traffic and memory per polled target."""

import asyncio
import random
import time
from collections.abc import Iterator
from typing import Any

from cassiaseam.configuration.model import (
    DatabaseConfig,
    DatabaseConfigured,
    OwnershipChanged,
    TargetConfig,
)
from cassiaseam.daemon.target_service import ControlChannel, TargetCredentials
from cassiaseam.reducer.common import Tick
from cassiaseam.reducer.node_state import NodeState
from cassiaseam.reducer.registry import reduce_event
from cassiaseam.reducer.target_io import PollTarget, TargetStatusReceived
from cassiaseam.targets import adapter
from cassiaseam_load.group_benchmark import SIZES, build_status, measure_group_events
from cassiaseam_load.slope_registry import Point, measures_role
from cassiaseam_load.slope_support import MS_PER_S, LoopThread, run_loop_thread, trace_memory
from cassiaseam_standin.group_launcher import StandinGroup, start_group

ROLE = 'group monitoring'
GROUPS = (2, 10, 50)
TARGETS = ('t0', 't1', 't2')
IDLE_S = 60
CHANNELS = (20, 40, 80)
POLL_ROUNDS = (5, 10, 20)
POLL_TIMEOUT_S = 2.0
TARGET_CONNECTIONS = 200
# Request, answer and the ACK of the answer, each with 52 bytes of IP and TCP headers.
HEADERS_PER_POLL_BYTES = 3 * 52


class CountingWriter:
    """Stream writer that counts the bytes it sends.

    Attributes:
        inner: Wrapped writer of the connection.
        sent_bytes: Number of bytes sent.
    """

    def __init__(self, inner: Any):
        self.inner = inner
        self.sent_bytes = 0

    def __getattr__(self, name: str) -> Any:
        """Return an attribute of the wrapped writer."""
        return getattr(self.inner, name)

    def write(self, content: bytes) -> None:
        """Write the content and count its bytes."""
        self.sent_bytes += len(content)
        self.inner.write(content)


@measures_role(ROLE)
def measure_group() -> Iterator[Point]:
    """Measure the reducer, the rate of idle polls, and polls over real sockets."""
    for databases in SIZES:
        cost = measure_group_events(databases)
        yield Point(ROLE, 'reducer time per status, by databases', databases, cost.status_us, 'us')
        yield Point(ROLE, 'reducer time per tick, by databases', databases, cost.tick_us, 'us')
    for groups in GROUPS:
        rate = count_idle_polls(groups) / IDLE_S
        yield Point(ROLE, 'idle polls, by databases', groups, rate, 'polls/s')
    group = asyncio.run(start_group(connections=TARGET_CONNECTIONS))
    try:
        with run_loop_thread() as thread:
            yield from measure_channels(thread, group)
    finally:
        group.stop()


def count_idle_polls(groups: int) -> int:
    """Return the number of polls of healthy, unused groups in `IDLE_S` simulated seconds."""
    state = NodeState('vm-1', 'place-a', random.Random(1))
    now = 1.0
    pending: list[Any] = []
    targets = tuple(TargetConfig(name, '127.0.0.1', 3306, 'place-a') for name in TARGETS)
    for number in range(groups):
        name = f'database-{number}'
        reduce_event(state, DatabaseConfigured(DatabaseConfig(name, targets)), now)
        pending.extend(reduce_event(state, OwnershipChanged(name, owns=True), now))
    counted_from = now + IDLE_S
    end = counted_from + IDLE_S
    polls = 0
    while now < end:
        asked = [effect for effect in pending if isinstance(effect, PollTarget)]
        polls += len(asked) if now >= counted_from else 0
        pending = [effect for poll in asked for effect in answer_poll(state, poll, now)]
        if not pending:
            now = max(now, state.group_due[0][0])
            pending = reduce_event(state, Tick(), now)
    return polls


def answer_poll(state: NodeState, poll: PollTarget, now: float) -> list[Any]:
    """Answer a poll immediately and return the resulting effects."""
    status = build_status(poll.target, now)
    return reduce_event(state, TargetStatusReceived(poll.database, poll.target, now, status), now)


async def poll_channels(channels: list[ControlChannel], rounds: int) -> None:
    """Poll all channels concurrently, `rounds` times.

    Raises:
        ValueError: A poll failed.
    """
    for _ in range(rounds):
        polls = [channel.run(adapter.read_status, POLL_TIMEOUT_S) for channel in channels]
        for status in await asyncio.gather(*polls):
            if status.is_err():
                raise ValueError(status.unwrap_err())


def measure_channels(thread: LoopThread, group: StandinGroup) -> Iterator[Point]:
    """Measure the control channels of a daemon to targets in other processes."""
    credentials = TargetCredentials('proxy', '')
    configs = group.list_target_configs()
    channels: list[ControlChannel] = []
    with trace_memory() as read_bytes:
        for count in CHANNELS:
            while len(channels) < count:
                config = configs[len(channels) % len(configs)]
                channels.append(ControlChannel(config, credentials))
            thread.run(poll_channels(channels, 1))
            yield Point(ROLE, 'heap of control channels', count, read_bytes(), 'bytes')
    counters = thread.call(lambda: [count_traffic(channel) for channel in channels])
    for rounds in POLL_ROUNDS:
        started_s = thread.read_cpu_s()
        started_bytes = sum_traffic(counters)
        thread.run(poll_channels(channels, rounds))
        polls = rounds * len(channels)
        spent_ms = (thread.read_cpu_s() - started_s) * MS_PER_S
        yield Point(ROLE, 'processor time of polls', polls, spent_ms, 'ms')
        traffic = sum_traffic(counters) - started_bytes + polls * HEADERS_PER_POLL_BYTES
        yield Point(ROLE, 'bytes of polls', polls, traffic, 'bytes')
    yield from measure_idle_channels(thread, channels)


def measure_idle_channels(thread: LoopThread, channels: list[ControlChannel]) -> Iterator[Point]:
    """Measure the CPU time of single polls, spread over time as for idle groups."""
    for rounds in POLL_ROUNDS:
        started_s = thread.read_cpu_s()
        for _ in range(rounds):
            for channel in channels[: len(TARGETS)]:
                thread.run(poll_channels([channel], 1))
                time.sleep(0.01)
        spent_ms = (thread.read_cpu_s() - started_s) * MS_PER_S
        polls = rounds * len(TARGETS)
        yield Point(ROLE, 'processor time of single polls', polls, spent_ms, 'ms')
    for channel in channels:
        thread.call(channel.close)


def count_traffic(channel: ControlChannel) -> list[Any]:
    """Start to count the bytes of a channel and return its counters."""
    protocol = channel.connection.protocol
    received = [0]
    feed_data = protocol._reader.feed_data

    def feed_and_count(content: bytes) -> None:
        received[0] += len(content)
        feed_data(content)

    protocol._reader.feed_data = feed_and_count
    protocol._writer = CountingWriter(protocol._writer)
    return [received, protocol._writer]


def sum_traffic(counters: list[list[Any]]) -> int:
    """Return the total bytes in both directions."""
    return sum(received[0] + writer.sent_bytes for received, writer in counters)
