"""Benchmark program: measures both workloads and prints one JSON line per figure."""

import argparse
import asyncio
import sys
import time
from dataclasses import dataclass

import pymysql

from cassiaseam_load import (
    baseline_measures,
    control_measures,
    direct_measures,
    failover_measures,
    idle_measures,
    load_measures,
)
from cassiaseam_load.figures import Figure, format_figure
from cassiaseam_load.goals import find_missed_goal
from cassiaseam_load.installation import Installation, InstallationError, start_installation
from cassiaseam_load.measures import MEASURES, MeasureRun, RegisteredMeasure, Stage
from cassiaseam_load.workloads import WORKLOADS, Workload
from cassiaseam_standin.daemon_process import DaemonError
from cassiaseam_standin.group_control import GroupError

# Importing these modules registers the measurements.
MEASURE_MODULES = (
    baseline_measures,
    idle_measures,
    load_measures,
    direct_measures,
    control_measures,
    failover_measures,
)


@dataclass(frozen=True, slots=True)
class LoadTurn:
    """Events that order the load phases of workloads that run concurrently.

    Attributes:
        start: Set when the workload may load the machine.
        done: Set when only fault measurements remain, which cause little load.
    """

    start: asyncio.Event
    done: asyncio.Event


def choose_measures(
    workload: Workload, is_quick: bool, names: tuple[str, ...]
) -> list[RegisteredMeasure]:
    """Return the measurements of one workload in stage order, filtered by `names` if not empty."""
    chosen = [
        found
        for found in MEASURES
        if workload.name in found.list_workloads(is_quick) and (not names or found.name in names)
    ]
    return sorted(chosen, key=lambda found: found.stage)


def print_figure(figure: Figure) -> None:
    """Print a figure to stdout and, if it misses its goal, a warning to stderr."""
    print(format_figure(figure), flush=True)
    warning = find_missed_goal(figure)
    if warning is not None:
        print(warning, file=sys.stderr, flush=True)


async def run_workload(
    workload: Workload, chosen: list[RegisteredMeasure], is_quick: bool, turn: LoadTurn
) -> int:
    """Measure one workload and return the number of violations and failed measurements.

    Args:
        workload: Workload to start.
        chosen: Measurements in the order in which they run.
        is_quick: Whether the phases are short.
        turn: Events that say when this workload may load the machine.
    """
    if not chosen:
        turn.done.set()
        return 0
    installation = await start_installation(workload)
    run = MeasureRun(installation, is_quick)
    failed: list[int] = []
    try:
        await turn.start.wait()
        for registered in chosen:
            if registered.stage is Stage.FAULTS:
                turn.done.set()
            failed.append(await run_measure(registered, run))
        await installation.wait_until_healthy()
        await installation.check_answers()
    finally:
        turn.done.set()
        installation.stop()
    for found in run.extra_violations:
        installation.context.violations.add(found)
    return sum(failed) + report_violations(installation)


async def run_measure(registered: RegisteredMeasure, run: MeasureRun) -> int:
    """Run one measurement and print its figures; return 1 if it failed, else 0."""
    started_s = time.monotonic()
    try:
        figures = await registered.measure(run)
    except (InstallationError, OSError, pymysql.err.MySQLError) as error:
        print(f'error: {registered.name} failed: {error}', file=sys.stderr, flush=True)
        return 1
    for figure in figures:
        print_figure(figure)
    elapsed_s = time.monotonic() - started_s
    print(f'progress: {registered.name} took {elapsed_s:.1f} s', file=sys.stderr, flush=True)
    return 0


def report_violations(installation: Installation) -> int:
    """Print the violation counts and examples, and return the total."""
    violations = installation.context.violations
    workload = installation.workload.name
    for name in violations.list_kinds():
        print_figure(Figure(name, workload, getattr(violations, name), '1'))
    for example in violations.examples:
        print(f'violation: {example}', file=sys.stderr, flush=True)
    return violations.count()


async def run_workload_reporting_errors(
    workload: Workload, is_quick: bool, names: tuple[str, ...], turn: LoadTurn
) -> int:
    """Measure one workload and count an installation that fails to start as one failure."""
    chosen = choose_measures(workload, is_quick, names)
    try:
        return await run_workload(workload, chosen, is_quick, turn)
    except (InstallationError, GroupError, DaemonError) as error:
        print(f'error: {workload.name}: {error}', file=sys.stderr, flush=True)
        return 1


async def run_bench(is_quick: bool, names: tuple[str, ...]) -> int:
    """Run all workloads and return the exit code.

    To finish in time, the quick bench starts both workloads at once and loads the second one
    while the first one measures faults. The full bench runs the workloads sequentially.
    """
    running: list[asyncio.Task[int]] = []
    may_start = asyncio.Event()
    may_start.set()
    for workload in WORKLOADS.values():
        turn = LoadTurn(may_start, asyncio.Event())
        task = asyncio.create_task(run_workload_reporting_errors(workload, is_quick, names, turn))
        running.append(task)
        may_start = turn.done
        if not is_quick:
            await task
    failures = await asyncio.gather(*running)
    return 1 if any(failures) else 0


def main(arguments: list[str] | None = None) -> int:
    """Run the bench program."""
    parser = argparse.ArgumentParser(description='measures cassiaseam on loopback')
    parser.add_argument('--quick', action='store_true', help='short phases')
    parser.add_argument(
        '--only', action='append', default=[], metavar='NAME', help='measurement; repeatable'
    )
    parsed = parser.parse_args(arguments)
    started_s = time.monotonic()
    code = asyncio.run(run_bench(parsed.quick, tuple(parsed.only)))
    elapsed_s = time.monotonic() - started_s
    print(f'bench took {elapsed_s:.1f} s, exit code {code}', file=sys.stderr)
    return code


if __name__ == '__main__':
    sys.exit(main())
