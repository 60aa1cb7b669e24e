"""How long waiting writes expect a promotion to take."""

from types import SimpleNamespace

import pytest

from cassiaseam.group.failover import CATCH_UP_TIMEOUT_S
from cassiaseam.group.state import Failover, TargetView
from cassiaseam.owner.routing import (
    EXPECTED_GAP_S,
    SHORTEST_EXPECTED_WAIT_S,
    estimate_blocked_s,
)

NOW = 50.0


def build_turn(planned, gap_s=None):
    failover = Failover(2, 'vm-1', 'leaving', NOW, planned=planned)
    targets = {'t0': TargetView(status=object())}
    group = SimpleNamespace(last_failover_gap_s=gap_s, failover=failover, targets=targets)
    database = SimpleNamespace(writes_blocked_at=NOW)
    return SimpleNamespace(now=NOW, group=group, database=database)


@pytest.mark.parametrize(
    ('planned', 'gap_s', 'expected_s'),
    [
        (False, None, EXPECTED_GAP_S),
        (True, None, CATCH_UP_TIMEOUT_S),
        (True, 0.4, 0.4),
        (False, 0.4, 0.4),
    ],
)
def test_write_in_flight_is_not_refused_when_the_primary_hands_over(planned, gap_s, expected_s):
    # Writes with 2 s left were refused as hopeless when the primary announced that it leaves.
    assert estimate_blocked_s(build_turn(planned, gap_s)) == pytest.approx(expected_s)


@pytest.mark.parametrize(
    ('statuses', 'elapsed_s', 'expected_s'),
    [
        ([None, None, None], 0, SHORTEST_EXPECTED_WAIT_S),
        ([None, None, None], 0.6, SHORTEST_EXPECTED_WAIT_S),
        ([None, None, None], 0.8, EXPECTED_GAP_S - 0.8),
        ([None, object(), None], 0, EXPECTED_GAP_S),
    ],
)
def test_owner_that_has_heard_no_target_yet_expects_no_failover(statuses, elapsed_s, expected_s):
    # A daemon that took a database over refused a write with 1.95 s left, because it counted the
    # time until its first poll as a failover (owner daemon stopped under load, CI beside hunts).
    targets = {f't{number}': TargetView(status=status) for number, status in enumerate(statuses)}
    group = SimpleNamespace(last_failover_gap_s=None, failover=None, targets=targets)
    database = SimpleNamespace(writes_blocked_at=NOW - elapsed_s)
    turn = SimpleNamespace(now=NOW, group=group, database=database)
    assert estimate_blocked_s(turn) == pytest.approx(expected_s)
