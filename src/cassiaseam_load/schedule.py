"""Arrival times and request mix, fixed by a seed."""

import enum
import random
from collections.abc import Iterator
from dataclasses import dataclass

from cassiaseam_load.workloads import Workload


class Operation(enum.Enum):
    """Kinds of requests that the load generator sends."""

    BOUNDED_STALENESS_READ = 'aged_read'
    FRESH_READ = 'fresh_read'
    WRITE = 'write'
    KEYED_WRITE = 'keyed_write'

    @property
    def is_read(self) -> bool:
        """Return whether the operation leaves the data unchanged."""
        return self in {Operation.BOUNDED_STALENESS_READ, Operation.FRESH_READ}


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of the schedule.

    Attributes:
        offset_s: Seconds after the start of the run at which the request is due.
        operation: Kind of request.
    """

    offset_s: float
    operation: Operation


def draw_operation(workload: Workload, rng: random.Random) -> Operation:
    """Draw the kind of one request."""
    if rng.random() < workload.read_share:
        aged = rng.random() < workload.bounded_staleness_share
        return Operation.BOUNDED_STALENESS_READ if aged else Operation.FRESH_READ
    keyed = rng.random() < workload.keyed_share
    return Operation.KEYED_WRITE if keyed else Operation.WRITE


def generate_arrivals(
    workload: Workload, rate_per_s: float, duration_s: float, seed: int
) -> Iterator[Arrival]:
    """Yield the arrivals of a Poisson process until `duration_s` seconds have passed."""
    rng = random.Random(seed)
    offset_s = rng.expovariate(rate_per_s)
    while offset_s < duration_s:
        yield Arrival(offset_s, draw_operation(workload, rng))
        offset_s += rng.expovariate(rate_per_s)
