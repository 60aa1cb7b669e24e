"""Measures state, processor time and messages of every role at several sizes.

Writes the points to `docs/slopes.csv`, the least squares fits to `docs/slope_fits.csv` and the
charts to `docs/slopes.svg`. Each role runs in a separate process because resident sizes need a
fresh heap.
"""

import argparse
import importlib
import multiprocessing
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from cassiaseam_load.slope_fit import Fit, fit_all
from cassiaseam_load.slope_output import draw_points, write_fits, write_points
from cassiaseam_load.slope_registry import MEASURES, Point, measure_role

MODULES = (
    'slope_membership',
    'slope_sessions',
    'slope_platform',
    'slope_group',
    'slope_owner',
    'slope_statements',
    'slope_transport',
    'slope_configuration',
    'slope_failover',
    'slope_operations',
)
# More would distort each other's CPU times; running one at a time takes over three minutes.
PARALLEL_ROLES = 4


def load_measures() -> list[str]:
    """Import all measurement modules and return the names of the roles."""
    for name in MODULES:
        importlib.import_module(f'cassiaseam_load.{name}')
    return list(MEASURES)


def run_role(role: str) -> list[Point]:
    """Measure one role; called in a separate process per role."""
    load_measures()
    started = time.monotonic()
    points = measure_role(role)
    print(f'role={role!r} points={len(points)} seconds={time.monotonic() - started:.1f}')
    return points


def run_roles(roles: list[str]) -> list[Point]:
    """Measure each role in a new process and return the points in the order of the roles."""
    context = multiprocessing.get_context('spawn')
    pool = ProcessPoolExecutor(PARALLEL_ROLES, mp_context=context, max_tasks_per_child=1)
    with pool:
        return [point for found in pool.map(run_role, roles) for point in found]


def print_fits(fits: list[Fit]) -> None:
    """Print one line per quantity."""
    for fit in fits:
        print(
            f'role={fit.role!r} quantity={fit.quantity!r} slope={fit.slope:.4g}'
            f' intercept={fit.intercept:.4g} unit={fit.unit!r}'
            f' largest_error={fit.largest_error:.3g}'
        )


def parse_arguments(arguments: list[str], roles: list[str]) -> argparse.Namespace:
    """Return the command-line options."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--folder', type=Path, default=Path('docs'))
    parser.add_argument('--role', action='append', choices=roles, help='measure only this role')
    return parser.parse_args(arguments)


def main(arguments: list[str] | None = None) -> int:
    """Measure the roles and write the files."""
    roles = load_measures()
    options = parse_arguments(sys.argv[1:] if arguments is None else arguments, roles)
    points = run_roles(options.role or roles)
    fits = fit_all(points)
    print_fits(fits)
    options.folder.mkdir(parents=True, exist_ok=True)
    write_points(options.folder / 'slopes.csv', points)
    write_fits(options.folder / 'slope_fits.csv', fits)
    draw_points(options.folder / 'slopes.svg', points)
    return 0


if __name__ == '__main__':
    sys.exit(main())
