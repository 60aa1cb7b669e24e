"""Microbenchmark of the group role: CPU time per event by number of databases."""

import random
import time
from dataclasses import dataclass

from cassiaseam.configuration.model import (
    DatabaseConfig,
    DatabaseConfigured,
    OwnershipChanged,
    TargetConfig,
)
from cassiaseam.messages import TargetRole, TargetStatus
from cassiaseam.positions import LogPosition
from cassiaseam.reducer import roles  # noqa: F401
from cassiaseam.reducer.common import Tick
from cassiaseam.reducer.node_state import NodeState
from cassiaseam.reducer.registry import reduce_event
from cassiaseam.reducer.target_io import PollTarget, TargetStatusReceived

TARGETS = 3
WARM_UP_S = 3.0
MEASURED_EVENTS = 8_000
US_PER_S = 1_000_000
SIZES = (10, 100, 1000, 2500)


@dataclass(frozen=True, slots=True)
class GroupEventCost:
    """Mean CPU time of the reducer in microseconds.

    Attributes:
        status_us: CPU time per `TargetStatusReceived`.
        tick_us: CPU time of a `Tick` per group that is due.
    """

    status_us: float
    tick_us: float


def measure_group_events(databases: int) -> GroupEventCost:
    """Return the CPU time per event of a daemon that owns `databases` healthy, idle groups.

    Polls are answered immediately.
    """
    node_state = NodeState('vm1', 'gyor-a', random.Random(1))
    now = 1.0
    for number in range(databases):
        name = f'db{number}'
        now += 1 / databases
        targets = tuple(
            TargetConfig(f't{index}', '127.0.0.1', 3306, 'gyor-a') for index in range(TARGETS)
        )
        reduce_event(node_state, DatabaseConfigured(DatabaseConfig(name, targets)), now)
        effects = reduce_event(node_state, OwnershipChanged(name, owns=True), now)
        _answer_polls(node_state, effects, now)
    _run_until(node_state, now + WARM_UP_S, now)
    now += WARM_UP_S
    status_s, tick_s, statuses = 0, 0, 0
    while statuses < MEASURED_EVENTS:
        now = max(now, node_state.group_due[0][0])
        started = time.process_time()
        effects = reduce_event(node_state, Tick(), now)
        tick_s += time.process_time() - started
        spent_s, answered = _answer_polls(node_state, effects, now)
        status_s += spent_s
        statuses += answered
    # All groups start within one second, so several of them may be due at one Tick.
    due_groups = statuses / TARGETS
    return GroupEventCost(status_s / statuses * US_PER_S, tick_s / due_groups * US_PER_S)


def _run_until(node_state: NodeState, end: float, now: float) -> None:
    while node_state.group_due[0][0] < end:
        now = max(now, node_state.group_due[0][0])
        _answer_polls(node_state, reduce_event(node_state, Tick(), now), now)


def _answer_polls(node_state: NodeState, effects: list[object], now: float) -> tuple[float, int]:
    events = [
        TargetStatusReceived(effect.database, effect.target, now, build_status(effect.target, now))
        for effect in effects
        if isinstance(effect, PollTarget)
    ]
    started = time.process_time()
    for event in events:
        reduce_event(node_state, event, now)
    return time.process_time() - started, len(events)


def build_status(target: str, now: float) -> TargetStatus:
    """Return the status of a healthy target; `t0` is the primary."""
    position = LogPosition(1, int(now * 100))
    primary = target == 't0'
    return TargetStatus(
        instance=target,
        incarnation='1',
        term=1,
        fenced_term=1,
        last=position,
        applied=position,
        role=TargetRole.PRIMARY if primary else TargetRole.REPLICA,
        follows='' if primary else 't0',
    )


def main() -> None:
    """Print the CPU time per event for each number of databases."""
    for databases in SIZES:
        cost = measure_group_events(databases)
        print(
            f'databases={databases} status_us={cost.status_us:.1f} tick_us={cost.tick_us:.1f}',
        )


if __name__ == '__main__':
    main()
