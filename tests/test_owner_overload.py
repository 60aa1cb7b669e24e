"""Guards against requests that cannot meet their deadline taking slots from those that can."""

import pytest
from owner_harness import OwnerHarness, make_config

from cassiaseam.errors import ErrorKind
from cassiaseam.messages import RequestKind
from cassiaseam.positions import ZERO_POSITION

SERVICE_S = 0.2


def make_busy_harness() -> OwnerHarness:
    """Return a harness with one busy slot per target, whose reads take `SERVICE_S`."""
    harness = OwnerHarness(make_config(slots=1))
    for _ in range(20):
        harness.request(max_age_s=5, floor=ZERO_POSITION)
        harness.now += SERVICE_S
        harness.finish()
    harness.poll()
    for _ in range(2):
        harness.request(max_age_s=5, floor=ZERO_POSITION)
    return harness


@pytest.mark.parametrize(('remaining_s', 'starts'), [(0.1, False), (0.23, False), (0.4, True)])
def test_queued_read_is_refused_when_a_slot_comes_too_late(remaining_s, starts):
    harness = make_busy_harness()
    request_id = harness.request(max_age_s=5, floor=ZERO_POSITION, deadline=harness.now + 1)
    harness.now += 1 - remaining_s
    harness.finish(index=0)
    running = {run.request_id for run in harness.statements}
    assert (request_id in running) == starts
    assert harness.error(request_id) is (None if starts else ErrorKind.OVERLOADED)


@pytest.mark.parametrize(
    ('deadline_s', 'closed'), [(SERVICE_S * 1.5, True), (SERVICE_S * 20, False)]
)
def test_short_deadlines_of_callers_do_not_open_the_breaker(deadline_s, closed):
    harness = OwnerHarness(make_config(slots=8))
    for _ in range(20):
        harness.request(RequestKind.READ, floor=ZERO_POSITION)
        harness.now += SERVICE_S
        harness.finish()
        harness.poll()
    for _ in range(4):
        harness.request(RequestKind.READ, floor=ZERO_POSITION, deadline=harness.now + deadline_s)
    harness.poll()
    assert len(harness.statements) == 4
    harness.advance(deadline_s)
    assert harness.state.targets['a'].breaker.closed == closed


@pytest.mark.parametrize(('discipline', 'starts'), [('separate', True), ('first_come', False)])
def test_replica_reads_wait_for_older_writes_only_in_a_shared_queue(discipline, starts):
    harness = OwnerHarness(make_config(slots=1, queue_discipline=discipline))
    harness.request(RequestKind.WRITE, deadline=harness.now + 5)
    harness.now += 0.001
    harness.request(RequestKind.WRITE, deadline=harness.now + 5)
    harness.now += 0.001
    request_id = harness.request(max_age_s=5, floor=ZERO_POSITION)
    running = {run.request_id for run in harness.statements}
    assert (request_id in running) == starts
