"""Microbenchmark of the owner role: CPU time per event by number of databases."""

import random
import statistics
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from cassiaseam.configuration.model import (
    DatabaseConfig,
    DatabaseConfigured,
    OwnershipChanged,
    TargetConfig,
)
from cassiaseam.messages import Request, RequestKind, ResultSet, TargetRole, TargetStatus
from cassiaseam.owner import handlers as owner_handlers
from cassiaseam.positions import ZERO_POSITION, LogPosition
from cassiaseam.reducer import roles
from cassiaseam.reducer.common import AnswerRequest, RequestArrived, Tick
from cassiaseam.reducer.node_state import NodeState
from cassiaseam.reducer.registry import HANDLERS
from cassiaseam.reducer.target_io import (
    ConnectionOpened,
    OpenConnection,
    RunStatement,
    StatementFinished,
    TargetStatusReceived,
)

DATABASE_COUNTS = (10, 100, 1000, 2500)
CYCLES = 1000
REPEATS = 3
START_S = 1000.0
# With longer gaps, the periodic polls of all groups run between the events and evict the owner's
# state from the CPU caches.
EVENT_GAP_S = 0.00001
# Short enough to expire during the run, so that the figure includes removal from the heap.
REQUEST_DEADLINE_S = 0.01
TARGET_NAMES = ('a', 'b', 'c')
US_PER_S = 1e6


@dataclass(slots=True)
class BenchmarkNode:
    """Daemon that owns many databases, with simulated targets.

    Attributes:
        state: State of the daemon.
        now: Simulated time in seconds.
        offsets: Log length per database.
        events: Number of events reduced in the timed part.
        answers: Number of successful answers in the timed part.
        spent_s: CPU time of the owner role in seconds in the timed part.
    """

    state: NodeState
    now: float = START_S
    offsets: dict[str, int] = field(default_factory=dict)
    events: int = 0
    answers: int = 0
    spent_s: float = 0

    def reduce(self, event: Any) -> list[Any]:
        """Reduce one event and count the CPU time of the owner role.

        The group role runs as well but is not timed: its polls depend on elapsed time and the
        number of databases, not on the requests.
        """
        self.now += EVENT_GAP_S
        effects = []
        for handler in HANDLERS[type(event)]:
            started = time.process_time()
            effects.extend(handler(self.state, event, self.now))
            if handler.__module__ == owner_handlers.__name__:
                self.spent_s += time.process_time() - started
        self.events += 1
        return effects


def measure_owner_events(databases: int) -> float:
    """Return the median CPU time in microseconds per event of complete reads and writes.

    A read has two events (arrival, end of the statement). A write has five (arrival, end of the
    statement, one status per target). A Tick follows each read and write pair.

    Args:
        databases: Number of databases that the daemon owns.

    Raises:
        ValueError: A request was not answered with a result, or the owner role is not registered.
    """
    if owner_handlers not in roles.ROLES:
        raise ValueError(f'the owner role is not among {roles.ROLES}')
    return statistics.median(run_benchmark(databases) for _ in range(REPEATS))


def run_benchmark(databases: int) -> float:
    """Return the CPU time in microseconds per event of one run."""
    node = BenchmarkNode(NodeState('vm-1', 'place-a', random.Random(1)))
    names = [f'database-{index}' for index in range(databases)]
    for name in names:
        prepare_database(node, name)
    order = random.Random(2)
    for name in names:
        run_cycle(node, name, f'warm-{name}')
    node.events, node.answers, node.spent_s = 0, 0, 0
    for cycle in range(CYCLES):
        run_cycle(node, order.choice(names), str(cycle))
    if node.answers != 2 * CYCLES:
        raise ValueError(f'{node.answers} of {2 * CYCLES} requests were answered with a result')
    return node.spent_s / node.events * US_PER_S


def prepare_database(node: BenchmarkNode, name: str) -> None:
    """Make the daemon the owner of a database and deliver the status of all its targets."""
    targets = tuple(
        TargetConfig(target, '127.0.0.1', 3306, f'place-{target}') for target in TARGET_NAMES
    )
    node.offsets[name] = 1
    node.reduce(DatabaseConfigured(DatabaseConfig(name, targets)))
    node.reduce(OwnershipChanged(name, owns=True))
    report_statuses(node, name)
    report_statuses(node, name)


def report_statuses(node: BenchmarkNode, name: str) -> list[Any]:
    """Deliver one status per target, in which the replicas have applied the whole log."""
    effects = []
    for target in TARGET_NAMES:
        role = TargetRole.PRIMARY if target == 'a' else TargetRole.REPLICA
        position = LogPosition(1, node.offsets[name])
        status = TargetStatus(
            target, '1', 1, 1, position, position, role, '' if target == 'a' else 'a'
        )
        event = TargetStatusReceived(name, target, node.now, status)
        effects.extend(node.reduce(event))
    return effects


def run_cycle(node: BenchmarkNode, name: str, cycle: str) -> None:
    """Run one read and one write until they are answered."""
    node.offsets[name] += 1
    report_statuses_untimed(node, name)
    for kind, age_s in ((RequestKind.READ, 10.0), (RequestKind.WRITE, None)):
        request = Request(
            f'{kind.value}-{cycle}',
            'entry-1',
            'caller',
            'session-1',
            name,
            kind,
            'SELECT 1',
            deadline=node.now + REQUEST_DEADLINE_S,
            floor=ZERO_POSITION,
            max_age_s=age_s,
        )
        effects = node.reduce(RequestArrived(request))
        effects = list(finish_statements(node, name, effects))
        if kind is RequestKind.WRITE:
            effects.extend(report_statuses(node, name))
        node.answers += sum(
            isinstance(effect, AnswerRequest) and effect.answer.error is None for effect in effects
        )
    node.reduce(Tick())


def report_statuses_untimed(node: BenchmarkNode, name: str) -> None:
    """Refresh the group before a cycle, as periodic polls do, without counting it."""
    events, spent_s = node.events, node.spent_s
    report_statuses(node, name)
    node.events, node.spent_s = events, spent_s


def finish_statements(
    node: BenchmarkNode, name: str, effects: list[Any]
) -> Iterator[AnswerRequest]:
    """Complete the connections and statements that effects start; yield the answers."""
    pending = list(effects)
    while pending:
        effect = pending.pop(0)
        if isinstance(effect, AnswerRequest):
            yield effect
        elif isinstance(effect, OpenConnection):
            event = ConnectionOpened(name, effect.target, effect.connection_id, '1')
            pending.extend(node.reduce(event))
        elif isinstance(effect, RunStatement):
            pending.extend(node.reduce(end_statement(node, effect)))


def end_statement(node: BenchmarkNode, run: RunStatement) -> StatementFinished:
    """Return the event that a statement succeeded."""
    return StatementFinished(
        run.database,
        run.target,
        run.connection_id,
        run.request_id,
        ResultSet(affected_rows=1),
        position=LogPosition(1, node.offsets[run.database]),
    )


def main() -> None:
    """Print the CPU time per event for each number of databases."""
    for databases in DATABASE_COUNTS:
        cost_us = measure_owner_events(databases)
        print(f'databases={databases} us_per_event={cost_us:.2f}')


if __name__ == '__main__':
    main()
