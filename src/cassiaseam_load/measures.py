"""Registry of the measurements, and what they share."""

import enum
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from cassiaseam_load.checker import Violations
from cassiaseam_load.figures import Figure
from cassiaseam_load.installation import Installation

# Callers of the load phases give up after this time; a later answer is of no use to them.
USEFUL_DEADLINE_MS = 1000


@dataclass(slots=True)
class MeasureRun:
    """What a measurement works with.

    Attributes:
        installation: Running cluster.
        is_quick: Whether the phases are short.
        extra_violations: Wrong answers in further installations that a measurement started.
    """

    installation: Installation
    is_quick: bool
    extra_violations: list[Violations] = field(default_factory=list)

    def choose_duration_s(self, quick_s: float, full_s: float) -> float:
        """Return the length of a phase in seconds."""
        return quick_s if self.is_quick else full_s

    def build_figure(
        self, name: str, measured: float, unit: str, baseline: float | None = None
    ) -> Figure:
        """Return a figure of the present workload."""
        return Figure(name, self.installation.workload.name, measured, unit, baseline)


Measure = Callable[[MeasureRun], Awaitable[list[Figure]]]


class Stage(enum.IntEnum):
    """When a measurement runs; idle daemons come first and faults last."""

    IDLE = 0
    LOAD = 1
    FAULTS = 2
    LAST = 3


@dataclass(frozen=True, slots=True)
class RegisteredMeasure:
    """One measurement.

    Attributes:
        name: Name for the command line and for errors.
        stage: When it runs.
        measure: Function that measures.
        quick_workloads: Workloads under which the quick bench measures it.
        workloads: Workloads under which the full bench measures it.
    """

    name: str
    stage: Stage
    measure: Measure
    quick_workloads: tuple[str, ...]
    workloads: tuple[str, ...]

    def list_workloads(self, is_quick: bool) -> tuple[str, ...]:
        """Return the workloads under which the quick or the full bench measures it."""
        return self.quick_workloads if is_quick else self.workloads


BOTH = ('pumpa-core', 'label-catalogue')
MEASURES: list[RegisteredMeasure] = []


def measures(
    name: str,
    stage: Stage = Stage.LOAD,
    quick: tuple[str, ...] = BOTH,
    full: tuple[str, ...] = BOTH,
) -> Callable[[Measure], Measure]:
    """Register a measurement; they run in the order of their stages."""

    def register(measure: Measure) -> Measure:
        MEASURES.append(RegisteredMeasure(name, stage, measure, quick, full))
        return measure

    return register
