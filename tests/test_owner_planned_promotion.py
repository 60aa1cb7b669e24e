"""Expected wait of writes during a promotion."""

from types import SimpleNamespace

import pytest

from cassiaseam.group.failover import CATCH_UP_TIMEOUT_S
from cassiaseam.group.state import Failover, TargetView
from cassiaseam.owner.routing import (
    DEFAULT_FAILOVER_GAP_S,
    MIN_EXPECTED_WAIT_S,
    estimate_blocked_s,
)

NOW = 50.0


def build_context(planned, gap_s=None):
    failover = Failover(2, 'vm-1', 'leaving', NOW, planned=planned)
    targets = {'t0': TargetView(status=object())}
    group = SimpleNamespace(last_failover_gap_s=gap_s, failover=failover, targets=targets)
    database = SimpleNamespace(writes_blocked_at=NOW)
    return SimpleNamespace(now=NOW, group=group, database=database)


@pytest.mark.parametrize(
    ('planned', 'gap_s', 'expected_s'),
    [
        (False, None, DEFAULT_FAILOVER_GAP_S),
        (True, None, CATCH_UP_TIMEOUT_S),
        (True, 0.4, 0.4),
        (False, 0.4, 0.4),
    ],
)
def test_write_is_not_refused_during_a_planned_promotion(planned, gap_s, expected_s):
    # The default gap of a failover would refuse writes with 2 s left when a primary leaves.
    assert estimate_blocked_s(build_context(planned, gap_s)) == pytest.approx(expected_s)


@pytest.mark.parametrize(
    ('statuses', 'elapsed_s', 'expected_s'),
    [
        ([None, None, None], 0, MIN_EXPECTED_WAIT_S),
        ([None, None, None], 0.6, MIN_EXPECTED_WAIT_S),
        ([None, None, None], 0.8, DEFAULT_FAILOVER_GAP_S - 0.8),
        ([None, object(), None], 0, DEFAULT_FAILOVER_GAP_S),
    ],
)
def test_owner_without_a_target_status_expects_no_failover(statuses, elapsed_s, expected_s):
    # A daemon that takes over a database must not treat the time until its first poll as a
    # failover: it would refuse a write with 1.95 s left after its owner stopped under load.
    targets = {f't{number}': TargetView(status=status) for number, status in enumerate(statuses)}
    group = SimpleNamespace(last_failover_gap_s=None, failover=None, targets=targets)
    database = SimpleNamespace(writes_blocked_at=NOW - elapsed_s)
    context = SimpleNamespace(now=NOW, group=group, database=database)
    assert estimate_blocked_s(context) == pytest.approx(expected_s)
