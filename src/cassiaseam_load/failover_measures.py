"""Write unavailability caused by faults of the primary."""

import asyncio
from collections.abc import Awaitable, Callable

from cassiaseam_load.figures import Figure
from cassiaseam_load.installation import Installation, Load
from cassiaseam_load.measures import MeasureRun, Stage, measures

MS_PER_S = 1000
FAULT_AT_S = 0.5
WRITE_SHARE = 0.6
SESSIONS = 60

Fault = Callable[[Installation, str], Awaitable[None]]


async def kill_primary(installation: Installation, primary: str) -> None:
    """Kill the process of the primary."""
    installation.group.targets[primary].kill()


async def restart_target(installation: Installation, name: str) -> None:
    """Restart a killed target with empty state and wait until it is ready."""
    target = installation.group.targets[name]
    target.start()
    await target.wait_until_ready()


async def freeze_primary(installation: Installation, primary: str) -> None:
    """Suspend the process of the primary; its connections stay open."""
    installation.group.targets[primary].freeze()


async def resume_target(installation: Installation, name: str) -> None:
    """Resume a suspended target."""
    installation.group.targets[name].resume()


async def cut_primary(installation: Installation, primary: str) -> None:
    """Partition the primary from its replicas, but not from its clients."""
    group = installation.group
    others = ','.join(name for name in group.targets if name != primary)
    await group.set_fault(primary, 'cut_from', others)


async def reconnect_target(installation: Installation, name: str) -> None:
    """End the partition of a target."""
    await installation.group.set_fault(name, 'cut_from', '')


async def measure_write_gap_ms(run: MeasureRun, fault: Fault, repair: Fault) -> float:
    """Return the longest time in milliseconds without an acknowledged write during a fault.

    A gap that is still open at the end of the phase counts up to that end.
    """
    installation = run.installation
    duration_s = run.choose_duration_s(3.5, 6)
    await installation.wait_until_healthy()
    primary = await installation.find_primary()
    pool = await installation.open_pool('writers', SESSIONS)
    rate = WRITE_SHARE * installation.workload.write_capacity_per_s
    load = Load(rate, rate, duration_s)
    phase = asyncio.create_task(installation.run_load(pool, load))
    await asyncio.sleep(FAULT_AT_S)
    try:
        await fault(installation, primary)
        recorder, started_s = await phase
    finally:
        await repair(installation, primary)
    return recorder.find_longest_write_gap_s(started_s, started_s + duration_s) * MS_PER_S


@measures('failover_killed', Stage.FAULTS)
async def measure_killed_primary(run: MeasureRun) -> list[Figure]:
    """Measure the write gap after the primary is killed."""
    gap_ms = await measure_write_gap_ms(run, kill_primary, restart_target)
    return [run.build_figure('failover_gap_ms_killed', gap_ms, 'ms')]


@measures('failover_frozen', Stage.FAULTS, quick=('pumpa-core',))
async def measure_frozen_primary(run: MeasureRun) -> list[Figure]:
    """Measure the write gap after the primary is suspended."""
    gap_ms = await measure_write_gap_ms(run, freeze_primary, resume_target)
    return [run.build_figure('failover_gap_ms_frozen', gap_ms, 'ms')]


@measures('failover_cut', Stage.FAULTS, quick=('pumpa-core',))
async def measure_cut_primary(run: MeasureRun) -> list[Figure]:
    """Measure the write gap after the primary is partitioned from its replicas."""
    gap_ms = await measure_write_gap_ms(run, cut_primary, reconnect_target)
    return [run.build_figure('failover_gap_ms_cut', gap_ms, 'ms')]
