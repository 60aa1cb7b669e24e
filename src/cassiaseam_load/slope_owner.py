"""Scaling of the owner role: CPU time per event and memory per database."""

import random
from collections.abc import Iterator

from cassiaseam.reducer.node_state import NodeState
from cassiaseam_load.owner_benchmark import (
    DATABASE_COUNTS,
    BenchmarkNode,
    prepare_database,
    run_benchmark,
    run_cycle,
)
from cassiaseam_load.slope_registry import Point, measures_role
from cassiaseam_load.slope_support import trace_memory

ROLE = 'database owner'
OWNED = (10, 100, 1000)


@measures_role(ROLE)
def measure_owner() -> Iterator[Point]:
    """Measure the reducer's CPU time per event and the heap per owned database."""
    for databases in DATABASE_COUNTS:
        cost_us = run_benchmark(databases)
        yield Point(ROLE, 'reducer time per event, by databases', databases, cost_us, 'us')
    for owned in OWNED:
        with trace_memory() as read_bytes:
            node = BenchmarkNode(NodeState('vm-1', 'place-a', random.Random(1)))
            for number in range(owned):
                prepare_database(node, f'database-{number}')
                run_cycle(node, f'database-{number}', 'first')
            yield Point(ROLE, 'heap of owner and group state', owned, read_bytes(), 'bytes')
