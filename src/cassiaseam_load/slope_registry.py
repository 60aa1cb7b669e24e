"""Points that the measurements of roles return, and the registry of these measurements."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Point:
    """One measured value.

    Attributes:
        role: Role that was measured.
        quantity: What was measured.
        size: Size of the load, in the unit that `quantity` names.
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
        ValueError: The role is measured by another function already.
    """

    def register(measure: Measure) -> Measure:
        known = MEASURES.setdefault(role, measure)
        if known is not measure:
            raise ValueError(f'role {role!r} is measured by {known.__module__}')
        return measure

    return register


def measure_role(role: str) -> list[Point]:
    """Return the points of one role.

    Raises:
        KeyError: No measurement of the role is registered.
    """
    return list(MEASURES[role]())
