"""Figures of a benchmark run, printed as one JSON line each."""

import json
from dataclasses import asdict, dataclass


@dataclass(frozen=True, slots=True)
class Figure:
    """One measured value.

    Attributes:
        figure: Name of the figure.
        workload: Name of the workload during the measurement.
        value: Measured value.
        unit: Unit of the value.
        baseline: Value of the alternative that the same run measured for comparison, or None.
    """

    figure: str
    workload: str
    value: float
    unit: str
    baseline: float | None = None


def format_figure(figure: Figure) -> str:
    """Return the JSON line of a figure."""
    fields = asdict(figure)
    for name in ('value', 'baseline'):
        if fields[name] is not None:
            fields[name] = round(fields[name], 4)
    return json.dumps(fields)
