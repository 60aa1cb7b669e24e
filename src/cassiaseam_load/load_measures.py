"""Latency and goodput at low load, at capacity and under overload."""

from dataclasses import dataclass

from cassiaseam_load.figures import Figure
from cassiaseam_load.installation import Load
from cassiaseam_load.measures import USEFUL_DEADLINE_MS, MeasureRun, measures
from cassiaseam_load.recorder import Recorder, read_percentile_ms

LOW_SHARE = 0.25
OVERLOAD_FACTOR = 2
SESSIONS = 400
P99 = 99
P50 = 50
# Goodput excludes the first part of a phase, in which the queues fill up.
WARM_UP_SHARE = 0.4


def scale_load(run: MeasureRun, reads: float, writes: float, duration_s: float) -> Load:
    """Return a load of the given multiples of the read and write capacity."""
    workload = run.installation.workload
    return Load(
        reads * workload.read_capacity_per_s, writes * workload.write_capacity_per_s, duration_s
    )


@dataclass(frozen=True, slots=True)
class PhaseResult:
    """Result of one phase.

    Attributes:
        recorder: Latencies and counters of the phase.
        goodput_per_s: Useful answers per second after the warm-up.
    """

    recorder: Recorder
    goodput_per_s: float


async def run_phase(run: MeasureRun, load: Load, label: str = 'load') -> PhaseResult:
    """Run one phase on the pool with the given label, by default the pool that phases share."""
    pool = await run.installation.open_pool(label, SESSIONS)
    recorder, started_s = await run.installation.run_load(
        pool, load, deadline_ms=USEFUL_DEADLINE_MS
    )
    warm_up_s = load.duration_s * WARM_UP_SHARE
    useful = recorder.count_useful(started_s + warm_up_s, started_s + load.duration_s)
    return PhaseResult(recorder, useful / (load.duration_s - warm_up_s))


@measures('load')
async def measure_load(run: MeasureRun) -> list[Figure]:
    """Measure the workload at low load, with write overload, at capacity and at twice that."""
    duration_s = run.choose_duration_s(2, 5)
    low = await run_phase(run, scale_load(run, LOW_SHARE, LOW_SHARE, duration_s))
    writes = await run_phase(run, scale_load(run, LOW_SHARE, OVERLOAD_FACTOR, duration_s))
    capacity = await run_phase(run, scale_load(run, 1, 1, duration_s))
    overload = scale_load(run, OVERLOAD_FACTOR, OVERLOAD_FACTOR, duration_s)
    overloaded = await run_phase(run, overload)
    return [
        *build_low_load_figures(run, low.recorder, writes.recorder),
        *build_overload_figures(run, capacity, overloaded),
        build_replica_share(run, 'replica_read_share', low.recorder, capacity.recorder),
        build_replica_share(run, 'replica_read_share_low_load', low.recorder),
    ]


def build_replica_share(run: MeasureRun, name: str, *recorders: Recorder) -> Figure:
    """Return the share of sampled bounded-staleness reads that replicas served."""
    placed = sum(recorder.sampled_reads for recorder in recorders)
    replicas = sum(recorder.replica_reads for recorder in recorders)
    return run.build_figure(name, replicas / max(1, placed), '1')


def build_low_load_figures(run: MeasureRun, low: Recorder, writes: Recorder) -> list[Figure]:
    """Return latencies at low load and read latencies under write overload."""
    idle_p99 = read_percentile_ms(low.reads, P99)
    overload_p99 = read_percentile_ms(writes.reads, P99)
    return [
        run.build_figure('read_p99_ms_idle', idle_p99, 'ms'),
        run.build_figure('read_p50_ms_idle', read_percentile_ms(low.reads, P50), 'ms'),
        run.build_figure('write_p99_ms_idle', read_percentile_ms(low.writes, P99), 'ms'),
        run.build_figure('read_p99_ms_write_overload', overload_p99, 'ms'),
        run.build_figure('read_p99_ratio_write_overload', overload_p99 / idle_p99, '1'),
    ]


def build_overload_figures(
    run: MeasureRun, capacity: PhaseResult, overloaded: PhaseResult
) -> list[Figure]:
    """Return latencies at twice the capacity, and goodput relative to that at capacity."""
    recorder = overloaded.recorder
    ratio = overloaded.goodput_per_s / capacity.goodput_per_s
    return [
        run.build_figure('read_p99_ms_overload', read_percentile_ms(recorder.reads, P99), 'ms'),
        run.build_figure('write_p99_ms_overload', read_percentile_ms(recorder.writes, P99), 'ms'),
        run.build_figure('goodput_at_capacity', capacity.goodput_per_s, '1/s'),
        run.build_figure('goodput_ratio_overload', ratio, '1'),
        run.build_figure('not_run_answer_ms', read_percentile_ms(recorder.refusals, P99), 'ms'),
        run.build_figure(
            'not_run_answer_ms_p50', read_percentile_ms(recorder.refusals, P50), 'ms'
        ),
    ]


@measures('primary_reads', quick=('pumpa-core',))
async def measure_primary_reads(run: MeasureRun) -> list[Figure]:
    """Compare bounded-staleness reads with the same load of reads that only the primary serves."""
    duration_s = run.choose_duration_s(1.5, 3)
    mixed = scale_load(run, 1, LOW_SHARE, duration_s)
    aged = Load(mixed.reads_per_s, mixed.writes_per_s, duration_s, bounded_staleness_share=1)
    fresh = Load(mixed.reads_per_s, mixed.writes_per_s, duration_s, bounded_staleness_share=0)
    spread = await run_phase(run, aged)
    primary = await run_phase(run, fresh)
    return [
        run.build_figure(
            'read_goodput',
            spread.goodput_per_s,
            '1/s',
            primary.goodput_per_s,
        ),
        run.build_figure(
            'read_p99_ms_at_capacity',
            read_percentile_ms(spread.recorder.reads, P99),
            'ms',
            read_percentile_ms(primary.recorder.reads, P99),
        ),
    ]


@measures('roaming', quick=('pumpa-core',))
async def measure_roaming(run: MeasureRun) -> list[Figure]:
    """Measure connecting to another daemon and the first read there without a token."""
    duration_s = run.choose_duration_s(1.5, 3)
    reads_per_s = LOW_SHARE * run.installation.workload.read_capacity_per_s
    load = Load(reads_per_s, 0, duration_s, roam_share=1)
    pool = await run.installation.open_pool('load', SESSIONS)
    recorder, _ = await run.installation.run_load(pool, load)
    return [run.build_figure('roaming_read_ms', read_percentile_ms(recorder.reads, P99), 'ms')]


@measures('platform_outage', quick=('pumpa-core',))
async def measure_platform_outage(run: MeasureRun) -> list[Figure]:
    """Compare the goodput during a platform outage with the goodput before it."""
    duration_s = run.choose_duration_s(1.5, 4)
    load = scale_load(run, 0.5, 0.5, duration_s)
    before = await run_phase(run, load)
    await run.installation.call_platform('PUT', '/faults', {'down': True})
    try:
        during = await run_phase(run, load)
    finally:
        await run.installation.call_platform('PUT', '/faults', {'down': False})
    ratio = during.goodput_per_s / before.goodput_per_s
    return [run.build_figure('platform_outage_goodput_ratio', ratio, '1')]
