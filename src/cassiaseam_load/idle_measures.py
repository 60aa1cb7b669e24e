"""CPU time, memory and platform calls of daemons without callers."""

import asyncio

from cassiaseam_load.figures import Figure
from cassiaseam_load.measures import MeasureRun, Stage, measures
from cassiaseam_load.process_usage import ProcessUsage, read_process_usage

PLATFORM_SETTLE_S = 0.5
PERCENT = 100
MEGABYTE_BYTES = 1 << 20


def read_daemon_usage(run: MeasureRun) -> list[ProcessUsage]:
    """Return the resource usage of all daemons."""
    daemons = run.installation.cluster.list_daemons()
    return [read_process_usage(daemon.process.pid) for daemon in daemons]


@measures('idle', Stage.IDLE, quick=('pumpa-core',))
async def measure_idle(run: MeasureRun) -> list[Figure]:
    """Measure CPU time, memory and platform calls before the first caller connects."""
    duration_s = run.choose_duration_s(3, 6)
    await asyncio.sleep(PLATFORM_SETTLE_S)
    calls_before = await count_platform_calls(run)
    before = read_daemon_usage(run)
    await asyncio.sleep(duration_s)
    after = read_daemon_usage(run)
    calls = await count_platform_calls(run) - calls_before
    shares = [
        (last.cpu_s - first.cpu_s) / duration_s * PERCENT
        for first, last in zip(before, after, strict=True)
    ]
    largest_bytes = max(usage.resident_bytes for usage in after)
    return [
        run.build_figure('idle_control_core_percent', sum(shares) / len(shares), '%'),
        run.build_figure('idle_control_core_percent_owner', max(shares), '%'),
        run.build_figure('idle_rss_mb', largest_bytes / MEGABYTE_BYTES, 'MB'),
        run.build_figure('platform_calls_s', calls / duration_s, '1/s'),
    ]


async def count_platform_calls(run: MeasureRun) -> int:
    """Return the number of calls to the platform, without those for counters and faults."""
    counters = await run.installation.call_platform('GET', '/counters')
    return sum(
        count
        for name, count in counters.items()
        if ' ' in name and not name.endswith(('counters', 'faults'))
    )
