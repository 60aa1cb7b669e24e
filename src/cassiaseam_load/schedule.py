"""Arrival times and request mix, deterministic for a given seed."""

import enum
import random
from collections.abc import Iterator
from dataclasses import dataclass

from cassiaseam_load.workloads import Workload


class Operation(enum.Enum):
    """Kind of a request that the load generator sends."""

    BOUNDED_STALENESS_READ = 'aged_read'
    FRESH_READ = 'fresh_read'
    WRITE = 'write'
    KEYED_WRITE = 'keyed_write'

    @property
    def is_read(self) -> bool:
        """Return whether the operation is a read."""
        return self in {Operation.BOUNDED_STALENESS_READ, Operation.FRESH_READ}


@dataclass(frozen=True, slots=True)
class Arrival:
    """Scheduled request.

    Attributes:
        offset_s: Due time in seconds after the start of the run.
        operation: Kind of request.
    """

    offset_s: float
    operation: Operation


def draw_operation(workload: Workload, rng: random.Random) -> Operation:
    """Draw a random kind of request according to the shares of the workload."""
    if rng.random() < workload.read_share:
        aged = rng.random() < workload.bounded_staleness_share
        return Operation.BOUNDED_STALENESS_READ if aged else Operation.FRESH_READ
    keyed = rng.random() < workload.keyed_share
    return Operation.KEYED_WRITE if keyed else Operation.WRITE


def generate_arrivals(
    workload: Workload, rate_per_s: float, duration_s: float, seed: int
) -> Iterator[Arrival]:
    """Yield the arrivals of a Poisson process for `duration_s` seconds."""
    rng = random.Random(seed)
    offset_s = rng.expovariate(rate_per_s)
    while offset_s < duration_s:
        yield Arrival(offset_s, draw_operation(workload, rng))
        offset_s += rng.expovariate(rate_per_s)
