"""Guards against work that cannot end in time, which takes slots from work that can."""

import pytest
from owner_world import OwnerWorld, make_config

from cassiaseam.errors import ErrorKind
from cassiaseam.messages import RequestKind
from cassiaseam.positions import ZERO_POSITION

SERVICE_S = 0.2


def make_busy_world() -> OwnerWorld:
    """Return a world with one slot per target, all taken, whose reads take `SERVICE_S`."""
    world = OwnerWorld(make_config(slots=1))
    for _ in range(20):
        world.request(max_age_s=5, floor=ZERO_POSITION)
        world.now += SERVICE_S
        world.finish()
    world.poll()
    for _ in range(2):
        world.request(max_age_s=5, floor=ZERO_POSITION)
    return world


@pytest.mark.parametrize(('remaining_s', 'starts'), [(0.1, False), (0.23, False), (0.4, True)])
def test_queued_read_is_refused_when_a_slot_comes_too_late(remaining_s, starts):
    world = make_busy_world()
    request_id = world.request(max_age_s=5, floor=ZERO_POSITION, deadline=world.now + 1)
    world.now += 1 - remaining_s
    world.finish(index=0)
    running = {run.request_id for run in world.statements}
    assert (request_id in running) == starts
    assert world.error(request_id) is (None if starts else ErrorKind.OVERLOADED)


@pytest.mark.parametrize(
    ('deadline_s', 'closed'), [(SERVICE_S * 1.5, True), (SERVICE_S * 20, False)]
)
def test_short_deadlines_of_callers_do_not_open_the_breaker(deadline_s, closed):
    world = OwnerWorld(make_config(slots=8))
    for _ in range(20):
        world.request(RequestKind.READ, floor=ZERO_POSITION)
        world.now += SERVICE_S
        world.finish()
        world.poll()
    for _ in range(4):
        world.request(RequestKind.READ, floor=ZERO_POSITION, deadline=world.now + deadline_s)
    world.poll()
    assert len(world.statements) == 4
    world.advance(deadline_s)
    assert world.state.targets['a'].breaker.closed == closed


@pytest.mark.parametrize(('discipline', 'starts'), [('separate', True), ('first_come', False)])
def test_reads_of_replicas_wait_for_older_writes_only_in_a_common_queue(discipline, starts):
    world = OwnerWorld(make_config(slots=1, queue_discipline=discipline))
    world.request(RequestKind.WRITE, deadline=world.now + 5)
    world.now += 0.001
    world.request(RequestKind.WRITE, deadline=world.now + 5)
    world.now += 0.001
    request_id = world.request(max_age_s=5, floor=ZERO_POSITION)
    running = {run.request_id for run in world.statements}
    assert (request_id in running) == starts
