"""Least squares fits of measured points."""

import statistics
from collections.abc import Iterable
from dataclasses import dataclass
from operator import attrgetter

from cassiaseam_load.slope_registry import Point

MIN_SIZES = 3


class TooFewSizesError(ValueError):
    """A quantity was measured at fewer than `MIN_SIZES` different sizes."""


@dataclass(frozen=True, slots=True)
class Fit:
    """Linear fit `value = intercept + slope * size` of one quantity.

    Attributes:
        role: Measured role.
        quantity: Measured quantity.
        unit: Unit of the value; the slope is in this unit per unit of the size.
        slope: Increase of the value per unit of the size.
        intercept: Value at size 0.
        largest_error: Largest absolute residual, in the unit of the value.
    """

    role: str
    quantity: str
    unit: str
    slope: float
    intercept: float
    largest_error: float


def group_points(points: Iterable[Point]) -> dict[tuple[str, str], list[Point]]:
    """Return the points grouped by role and quantity, each group sorted by size."""
    grouped: dict[tuple[str, str], list[Point]] = {}
    for point in points:
        grouped.setdefault((point.role, point.quantity), []).append(point)
    return {key: sorted(found, key=attrgetter('size')) for key, found in grouped.items()}


def fit_points(points: list[Point]) -> Fit:
    """Return the least squares fit of the points of one quantity.

    Raises:
        TooFewSizesError: There are fewer than `MIN_SIZES` different sizes.
        ValueError: The points have different units.
    """
    first = points[0]
    sizes = [point.size for point in points]
    if len(set(sizes)) < MIN_SIZES:
        message = f'{first.role}, {first.quantity}: sizes {sizes}, need {MIN_SIZES} different'
        raise TooFewSizesError(message)
    units = sorted({point.unit for point in points})
    if len(units) > 1:
        raise ValueError(f'{first.role}, {first.quantity}: units {units}')
    line = statistics.linear_regression(sizes, [point.value for point in points])
    errors = [abs(point.value - line.intercept - line.slope * point.size) for point in points]
    return Fit(first.role, first.quantity, first.unit, line.slope, line.intercept, max(errors))


def fit_all(points: Iterable[Point]) -> list[Fit]:
    """Return the fit of each quantity, in the order in which quantities first appear."""
    return [fit_points(found) for found in group_points(points).values()]
