"""Registry of the scaling measurements per role, and the points that they return."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Point:
    """One measured value.

    Attributes:
        role: Measured role.
        quantity: Measured quantity.
        size: Size of the load, in the unit that `quantity` states.
        value: Measured value.
        unit: Unit of the value.
    """

    role: str
    quantity: str
    size: float
    value: float
    unit: str


Measure = Callable[[], Iterable[Point]]

MEASURES: dict[str, Measure] = {}


def measures_role(role: str) -> Callable[[Measure], Measure]:
    """Register the function that measures one role.

    Raises:
        ValueError: Another function is registered for the role.
    """

    def register(measure: Measure) -> Measure:
        known = MEASURES.setdefault(role, measure)
        if known is not measure:
            raise ValueError(f'role {role!r} is measured by {known.__module__}')
        return measure

    return register


def measure_role(role: str) -> list[Point]:
    """Run the measurement of one role and return its points.

    Raises:
        KeyError: No measurement is registered for the role.
    """
    return list(MEASURES[role]())
