"""How long waiting writes expect a promotion to take."""

from types import SimpleNamespace

import pytest

from cassiaseam.group.failover import PLANNED_WAIT_S
from cassiaseam.group.state import Failover
from cassiaseam.owner.routing import EXPECTED_GAP_S, estimate_blocked_s

NOW = 50.0


def build_turn(planned, gap_s=None):
    failover = Failover(2, 'vm-1', 'leaving', NOW, planned=planned)
    group = SimpleNamespace(last_failover_gap_s=gap_s, failover=failover)
    database = SimpleNamespace(writes_blocked_at=NOW)
    return SimpleNamespace(now=NOW, group=group, database=database)


@pytest.mark.parametrize(
    ('planned', 'gap_s', 'expected_s'),
    [
        (False, None, EXPECTED_GAP_S),
        (True, None, PLANNED_WAIT_S),
        (True, 0.4, 0.4),
        (False, 0.4, 0.4),
    ],
)
def test_write_in_flight_is_not_refused_when_the_primary_hands_over(planned, gap_s, expected_s):
    # Writes with 2 s left were refused as hopeless when the primary announced that it leaves.
    assert estimate_blocked_s(build_turn(planned, gap_s)) == pytest.approx(expected_s)
