"""Guards against schedules that differ between runs or deviate from the offered load."""

from collections import Counter

import pytest

from cassiaseam_load.installation import Load, build_arrivals
from cassiaseam_load.schedule import Operation, generate_arrivals
from cassiaseam_load.workloads import LABEL_CATALOGUE, PUMPA_CORE


def test_equal_seeds_give_equal_schedules_and_others_do_not():
    first = list(generate_arrivals(PUMPA_CORE, 100, 5, seed=1))
    assert first == list(generate_arrivals(PUMPA_CORE, 100, 5, seed=1))
    assert first != list(generate_arrivals(PUMPA_CORE, 100, 5, seed=2))


@pytest.mark.parametrize('workload', [PUMPA_CORE, LABEL_CATALOGUE])
def test_arrivals_keep_rate_order_and_mix(workload):
    arrivals = list(generate_arrivals(workload, 500, 20, seed=1))
    offsets = [arrival.offset_s for arrival in arrivals]
    assert len(arrivals) == pytest.approx(10_000, rel=0.05)
    assert offsets == sorted(offsets)
    assert offsets[-1] < 20
    reads = sum(arrival.operation.is_read for arrival in arrivals)
    assert reads / len(arrivals) == pytest.approx(workload.read_share, abs=0.02)


@pytest.mark.parametrize(
    ('load', 'absent'),
    [
        (Load(100, 0, 5), {Operation.WRITE, Operation.KEYED_WRITE}),
        (Load(0, 100, 5, keyed_share=1), {Operation.BOUNDED_STALENESS_READ, Operation.WRITE}),
        (Load(100, 10, 5, bounded_staleness_share=0), {Operation.BOUNDED_STALENESS_READ}),
        (Load(100, 10, 5, bounded_staleness_share=1), {Operation.FRESH_READ}),
    ],
)
def test_load_overrides_the_mix_of_the_workload(load, absent):
    counts = Counter(arrival.operation for arrival in build_arrivals(PUMPA_CORE, load))
    assert counts.total() > 0
    assert not absent & counts.keys()
