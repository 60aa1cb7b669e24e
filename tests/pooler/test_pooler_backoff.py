"""Backoff of statements on a busy target, and their errors at the timeout."""

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
def test_busy_backoff_grows_and_has_jitter(attempts, shortest_s, longest_s):
    state = PoolerState('vm', 'p0', random.Random(3))
    backoffs = [sending.find_busy_backoff_s(state, attempts) for _ in range(200)]
    assert shortest_s <= min(backoffs) < max(backoffs) <= longest_s
    assert max(backoffs) - min(backoffs) > 0.3 * min(backoffs)


def test_writes_do_not_hammer_an_overloaded_primary():
    # After a crash and a slowdown of the primary, every statement was retried each 30 ms, and
    # 24,402 of 69,240 arrivals at targets were refused.
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
def test_expired_statement_reports_whether_it_may_have_run(kind, busy, expected):
    # A write that was only ever refused by busy targets was answered as timed out, so that its
    # caller could not retry it.
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
    # The log line names the target, so that the cause can be found from it alone (inc-ace7).
    failed = [fields for _, _, event, fields in world.log_lines if event == 'request_failed']
    assert [fields['target'] for fields in failed] == ['t0']
