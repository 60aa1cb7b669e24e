"""How statements wait for a busy target."""

import random
from collections import Counter

import pytest
from pooler_world import World, is_success

from cassiaseam.pooler import sending
from cassiaseam.pooler.commands import StatementKind
from cassiaseam.pooler.state import PoolerState

WRITERS = 12


@pytest.mark.parametrize(
    ('attempts', 'shortest_s', 'longest_s'),
    [(1, 0.0225, 0.0375), (2, 0.033, 0.057), (5, 0.075, 0.125), (90, 0.075, 0.125)],
)
def test_pause_before_a_busy_target_grows_and_is_spread(attempts, shortest_s, longest_s):
    state = PoolerState('vm', 'p0', random.Random(3))
    pauses = [sending.find_busy_pause_s(state, attempts) for _ in range(200)]
    assert shortest_s <= min(pauses) < max(pauses) <= longest_s
    assert max(pauses) - min(pauses) > 0.3 * min(pauses)


def test_writes_before_a_primary_that_sheds_do_not_hammer_it():
    # A primary that crashed and one that was slow left 24,402 of 69,240 arrivals refused on
    # trouble-1 of the grown telon site; every statement came back each 30 ms.
    world = World(vms=WRITERS)
    world.run_until(0.5)
    primary = world.targets['t0']
    for name in world.vms:
        world.connect(name, 1, 'orders')
        world.send(name, 1, StatementKind.WRITE, f'{name}-first')
    world.run_until(1)
    arrivals = Counter()
    run = primary.run

    def count(connection, command):
        arrivals[type(command).__name__] += 1
        return run(connection, command)

    primary.run = count
    primary.busy = 10**6
    calls = [world.send(name, 1, StatementKind.WRITE, f'{name}-second') for name in world.vms]
    world.run_until(1.5)
    assert arrivals['Forward'] <= WRITERS * 8
    primary.busy = 0
    world.run_until(1.75)
    assert all(is_success(call) for call in calls)
