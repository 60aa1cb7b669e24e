"""CSV and SVG files with the measured points and their fits."""

import csv
import math
from collections.abc import Iterable
from pathlib import Path

from cassiaseam_load.slope_fit import Fit, fit_points, group_points
from cassiaseam_load.slope_registry import Point

HEADER = ('role', 'quantity', 'size', 'value', 'unit')
FIT_HEADER = ('role', 'quantity', 'slope', 'intercept', 'largest_error', 'unit')
SIGNIFICANT_DIGITS = 6
COLUMNS = 4
PANEL_WIDTH_IN = 3.6
PANEL_HEIGHT_IN = 2.6
FONT_POINTS = 7
# Fixed salt: with random element ids the file would change with every run.
HASH_SALT = 'cassiaseam-slopes'


def format_number(number: float) -> str:
    """Format a number with `SIGNIFICANT_DIGITS` digits."""
    return f'{number:.{SIGNIFICANT_DIGITS}g}'


def write_points(path: Path, points: Iterable[Point]) -> None:
    """Write the points to a CSV file."""
    with path.open('w', newline='') as stream:
        writer = csv.writer(stream, lineterminator='\n')
        writer.writerow(HEADER)
        for point in points:
            numbers = (format_number(point.size), format_number(point.value))
            writer.writerow((point.role, point.quantity, *numbers, point.unit))


def read_points(path: Path) -> list[Point]:
    """Return the points of a CSV file.

    Raises:
        ValueError: The header or a number is not valid.
    """
    with path.open(newline='') as stream:
        rows = csv.reader(stream)
        header = tuple(next(rows, ()))
        if header != HEADER:
            raise ValueError(f'{path}: header {header}, expected {HEADER}')
        return [
            Point(role, quantity, float(size), float(number), unit)
            for role, quantity, size, number, unit in rows
        ]


def write_fits(path: Path, fits: Iterable[Fit]) -> None:
    """Write the fits to a CSV file."""
    with path.open('w', newline='') as stream:
        writer = csv.writer(stream, lineterminator='\n')
        writer.writerow(FIT_HEADER)
        for fit in fits:
            numbers = (fit.slope, fit.intercept, fit.largest_error)
            writer.writerow((fit.role, fit.quantity, *map(format_number, numbers), fit.unit))


def draw_points(path: Path, points: Iterable[Point]) -> None:
    """Draw the points and the fitted line of each quantity into an SVG file."""
    import matplotlib as mpl
    from matplotlib.backends.backend_svg import FigureCanvasSVG
    from matplotlib.figure import Figure

    grouped = group_points(points)
    rows = math.ceil(len(grouped) / COLUMNS)
    # Text is kept as text: outlines would make the file several times larger.
    style = {'svg.hashsalt': HASH_SALT, 'svg.fonttype': 'none', 'font.size': FONT_POINTS}
    with mpl.rc_context(style):
        figure = Figure((COLUMNS * PANEL_WIDTH_IN, rows * PANEL_HEIGHT_IN), layout='tight')
        for number, found in enumerate(grouped.values(), start=1):
            _draw_panel(figure.add_subplot(rows, COLUMNS, number), found)
        # No date, so that the file changes only with the points.
        FigureCanvasSVG(figure).print_svg(str(path), metadata={'Date': None})


def _draw_panel(axes: object, found: list[Point]) -> None:
    fit = fit_points(found)
    sizes = [point.size for point in found]
    axes.plot(sizes, [point.value for point in found], 'o', markersize=4)
    axes.plot(sizes, [fit.intercept + fit.slope * size for size in sizes], linewidth=1)
    axes.set_title(f'{fit.role}\n{fit.quantity}')
    axes.set_ylabel(fit.unit)
    axes.set_xlabel(f'slope {fit.slope:.3g}, intercept {fit.intercept:.3g}')
    axes.set_ylim(bottom=0)
