"""How statements wait for a busy target."""

import random
from collections import Counter

import pytest
from pooler_world import World, get_error, is_success

from cassiaseam.errors import ErrorKind
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


@pytest.mark.parametrize(
    ('kind', 'busy', 'expected'),
    [
        (StatementKind.WRITE, 10**6, ErrorKind.OVERLOADED),
        (StatementKind.READ, 10**6, ErrorKind.OVERLOADED),
        (StatementKind.WRITE, 0, ErrorKind.OUTCOME_UNKNOWN),
        (StatementKind.READ, 0, ErrorKind.STATEMENT_TIMEOUT),
    ],
)
def test_statement_that_no_target_ran_is_told_so_at_its_time_limit(kind, busy, expected):
    # A write that had only found busy targets was answered as timed out, so that its caller could
    # not send it again (grown telon, trouble-1, 16 s).
    world = World(vms=1)
    world.connect('vm0', 1, 'orders')
    world.send('vm0', 1, StatementKind.WRITE, 'first')
    world.run_until(1)
    for target in world.targets.values():
        target.busy = busy
        target.drop_answers = 0 if busy else 10
    call = world.send('vm0', 1, kind, 'second')
    world.run_until(2.1)
    assert get_error(call) is expected
    # Without the target the cause had to be found from other lines (nls inc-ace7).
    failed = [fields for _, _, event, fields in world.log_lines if event == 'request_failed']
    assert [fields['target'] for fields in failed] == ['t0']
