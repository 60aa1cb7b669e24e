"""Registry of the benchmark measurements and their shared state."""

import enum
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from cassiaseam_load.checker import Violations
from cassiaseam_load.figures import Figure
from cassiaseam_load.installation import Installation

# Request deadline of the load phases; later answers do not count as goodput.
USEFUL_DEADLINE_MS = 1000


@dataclass(slots=True)
class MeasureRun:
    """Context of the measurements of one workload.

    Attributes:
        installation: Running cluster.
        is_quick: Whether the phases are short.
        extra_violations: Violations in additional installations that measurements started.
    """

    installation: Installation
    is_quick: bool
    extra_violations: list[Violations] = field(default_factory=list)

    def choose_duration_s(self, quick_s: float, full_s: float) -> float:
        """Return the phase length in seconds for a quick or a full run."""
        return quick_s if self.is_quick else full_s

    def build_figure(
        self, name: str, measured: float, unit: str, baseline: float | None = None
    ) -> Figure:
        """Return a figure of the current workload."""
        return Figure(name, self.installation.workload.name, measured, unit, baseline)


Measure = Callable[[MeasureRun], Awaitable[list[Figure]]]


class Stage(enum.IntEnum):
    """Order of measurements: idle daemons, load, faults, then measurements in this process."""

    IDLE = 0
    LOAD = 1
    FAULTS = 2
    LAST = 3


@dataclass(frozen=True, slots=True)
class RegisteredMeasure:
    """Measurement function with its name, stage and workloads.

    Attributes:
        name: Name on the command line and in error messages.
        stage: Stage in which it runs.
        measure: Function that returns the figures.
        quick_workloads: Workloads of the quick bench that include it.
        workloads: Workloads of the full bench that include it.
    """

    name: str
    stage: Stage
    measure: Measure
    quick_workloads: tuple[str, ...]
    workloads: tuple[str, ...]

    def list_workloads(self, is_quick: bool) -> tuple[str, ...]:
        """Return the workloads of the quick or the full bench that include this measurement."""
        return self.quick_workloads if is_quick else self.workloads


ALL_WORKLOADS = ('pumpa-core', 'label-catalogue')
MEASURES: list[RegisteredMeasure] = []


def measures(
    name: str,
    stage: Stage = Stage.LOAD,
    quick: tuple[str, ...] = ALL_WORKLOADS,
    full: tuple[str, ...] = ALL_WORKLOADS,
) -> Callable[[Measure], Measure]:
    """Register a measurement under a name and a stage."""

    def register(measure: Measure) -> Measure:
        MEASURES.append(RegisteredMeasure(name, stage, measure, quick, full))
        return measure

    return register
