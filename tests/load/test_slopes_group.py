"""Poll intervals of unused groups, and the failover time that results from them."""

import random

import pytest

from cassiaseam.configuration.model import DatabaseConfig
from cassiaseam.group.monitoring import (
    IDLE_POLL_INTERVAL_S,
    UNUSED_AFTER_S,
    UNUSED_POLL_INTERVAL_S,
    request_poll,
    start_due_polls,
)
from cassiaseam.group.state import GroupState, TargetView
from cassiaseam_load.slope_failover import STEPS, FailoverSimulation
from cassiaseam_load.slope_group import IDLE_S, TARGETS, count_idle_polls


def test_unused_groups_are_polled_at_the_slow_interval():
    assert count_idle_polls(4) == pytest.approx(
        4 * len(TARGETS) * IDLE_S / UNUSED_POLL_INTERVAL_S, rel=0.1
    )


@pytest.mark.parametrize(
    ('asked_s_ago', 'interval_s'),
    [(UNUSED_AFTER_S - 1, IDLE_POLL_INTERVAL_S), (UNUSED_AFTER_S + 1, UNUSED_POLL_INTERVAL_S)],
)
def test_poll_interval_grows_only_after_a_group_is_unused(asked_s_ago, interval_s):
    group = GroupState(DatabaseConfig('orders', ()), targets={'t0': TargetView()})
    request_poll(group, 100)
    now = 100 + asked_s_ago
    start_due_polls(group, now)
    assert group.next_round_at == pytest.approx(now + interval_s)


@pytest.mark.parametrize('is_used', [True, False])
@pytest.mark.parametrize('latency_s', [0.0015, 0.008, 0.016])
def test_failover_ends_within_five_seconds(latency_s, is_used):
    for seed in range(5):
        reached = FailoverSimulation(latency_s, is_used, random.Random(seed)).run()
        assert [step for step in STEPS if step not in reached] == []
        assert sorted(reached[step] for step in STEPS) == [reached[step] for step in STEPS]
        assert reached[STEPS[-1]] < 5
