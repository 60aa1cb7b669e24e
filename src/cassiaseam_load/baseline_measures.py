"""Compares the proxy with simpler designs under the same load, each in a separate installation."""

import asyncio
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from cassiaseam_load.figures import Figure
from cassiaseam_load.installation import Installation, build_shape
from cassiaseam_load.load_measures import P99, PhaseResult, run_phase, scale_load
from cassiaseam_load.measures import MeasureRun, Stage, measures
from cassiaseam_load.recorder import read_percentile_ms
from cassiaseam_standin.cluster import Cluster
from cassiaseam_standin.daemon_process import DaemonProcess

BUSY_SESSIONS = 150


class FixedShareCluster(Cluster):
    """Cluster whose daemons each serve their own callers with a fixed share of the capacity.

    Connections and slots are divided evenly. The daemons have no seeds, and the settings of each
    daemon name it as the owner of every database.
    """

    def build_settings(self, daemon: DaemonProcess) -> dict[str, Any]:
        """Return the settings of a daemon that forwards no requests."""
        settings = super().build_settings(daemon)
        settings['seeds'] = []
        count = self.shape.daemons
        for database in settings['databases'].values():
            database['owner'] = daemon.vm
            for target in database['targets']:
                target['slots'] = max(1, target['slots'] // count)
                target['connections'] = max(2, target['connections'] // count)
        return settings


class FirstComeCluster(Cluster):
    """Cluster whose reads and writes share one FIFO queue, with no slots reserved for either."""

    def build_settings(self, daemon: DaemonProcess) -> dict[str, Any]:
        """Return the settings of a daemon with one queue per database."""
        settings = super().build_settings(daemon)
        for database in settings['databases'].values():
            database['queue_discipline'] = 'first_come'
        return settings


async def start_alternative(run: MeasureRun, kind: type[Cluster]) -> Installation:
    """Start an installation with another cluster class for the current workload."""
    workload = run.installation.workload
    cluster = kind(build_shape(workload, 1), Path(tempfile.mkdtemp(prefix='cassiaseam-')))
    installation = Installation(workload, cluster)
    try:
        await cluster.start_stores()
        await cluster.start_daemons()
        installation.refresh_endpoints()
        await installation.create_tables()
    except BaseException:
        installation.stop()
        raise
    return installation


async def run_uneven_phase(run: MeasureRun) -> PhaseResult:
    """Run a load below capacity whose callers are all connected to one daemon."""
    installation = run.installation
    endpoints = installation.context.endpoints
    installation.context.endpoints = [endpoints[0]]
    try:
        await installation.open_pool('uneven', BUSY_SESSIONS)
        load = scale_load(run, 0.8, 0.5, run.choose_duration_s(2, 3))
        return await run_phase(run, load, 'uneven')
    finally:
        installation.context.endpoints = endpoints


async def run_even_phase(run: MeasureRun) -> PhaseResult:
    """Run the same load with callers spread over all daemons."""
    return await run_phase(run, scale_load(run, 0.8, 0.5, run.choose_duration_s(2, 3)))


Phase = Callable[[MeasureRun], Awaitable[PhaseResult]]
PHASES: dict[str, Phase] = {'even': run_even_phase, 'uneven': run_uneven_phase}


@measures('fixed_shares', Stage.LOAD, quick=())
async def measure_fixed_shares(run: MeasureRun) -> list[Figure]:
    """Compare a single owner with fixed shares, for evenly and unevenly spread callers."""
    own = {name: await phase(run) for name, phase in PHASES.items()}
    installation = await start_alternative(run, FixedShareCluster)
    try:
        baseline = MeasureRun(installation, run.is_quick)
        fixed = {name: await phase(baseline) for name, phase in PHASES.items()}
        await asyncio.sleep(1)
        await installation.check_answers()
    finally:
        installation.stop()
    run.extra_violations.append(installation.context.violations)
    figures = []
    for name, result in own.items():
        other = fixed[name]
        goodput = run.build_figure(
            f'goodput_{name}_callers', result.goodput_per_s, '1/s', other.goodput_per_s
        )
        latency = run.build_figure(
            f'read_p99_ms_{name}_callers',
            read_percentile_ms(result.recorder.reads, P99),
            'ms',
            read_percentile_ms(other.recorder.reads, P99),
        )
        figures.extend((goodput, latency))
    return figures


@measures('first_come', Stage.LOAD, quick=())
async def measure_first_come(run: MeasureRun) -> list[Figure]:
    """Compare separate read and write queues with a single FIFO queue under write overload."""
    duration_s = run.choose_duration_s(2, 4)
    load = scale_load(run, 0.5, 2, duration_s)
    own = await run_phase(run, load)
    installation = await start_alternative(run, FirstComeCluster)
    try:
        first_come = await run_phase(MeasureRun(installation, run.is_quick), load)
        await installation.check_answers()
    finally:
        installation.stop()
    run.extra_violations.append(installation.context.violations)
    latencies = [read_percentile_ms(result.recorder.reads, P99) for result in (own, first_come)]
    return [
        run.build_figure('read_p99_ms_too_many_writes', latencies[0], 'ms', latencies[1]),
        run.build_figure(
            'goodput_too_many_writes', own.goodput_per_s, '1/s', first_come.goodput_per_s
        ),
    ]
