"""Number of status polls per answer. Each poll occupies a slot of a target."""

import pytest
from pooler_world import World, is_success

from cassiaseam.pooler.commands import StatementKind

READS = 20


def count_polls(world):
    return sum(vm.state.commands_sent.get('ReadStatus', 0) for vm in world.vms.values())


@pytest.mark.parametrize(
    ('database', 'kind'),
    [
        ('orders', StatementKind.READ),
        ('orders', StatementKind.WRITE),
        ('stock', StatementKind.WRITE),
    ],
)
def test_first_statement_of_a_group_polls_only_a_majority(database, kind):
    # 195 VMs that polled every target of every group exceeded the targets' connection limits.
    world = World(vms=1)
    world.run_until(3)
    assert count_polls(world) == 0
    world.connect('vm0', 1, database)
    call = world.send('vm0', 1, kind, 'a')
    world.run_until(3.2)
    assert is_success(call)
    assert len(world.vms['vm0'].state.connections) == 2


@pytest.mark.parametrize(
    ('database', 'pause_s', 'max_polls'),
    [('orders', 0.3, READS), ('orders', 0.003, READS), ('prices', 0.1, 6), ('stock', 0.1, 6)],
)
def test_reads_poll_no_more_than_their_answers_need(database, pause_s, max_polls):
    # A read on the primary also polled the primary, and polled again while the poll of the replica
    # was in flight: 4,570 polls for 5,116 operations without faults.
    world = World(vms=1)
    world.connect('vm0', READS, database)
    world.send('vm0', READS, StatementKind.READ)
    world.run_until(0.5)
    before = count_polls(world)
    calls = []
    for session in range(READS):
        world.connect('vm0', session, database)
        calls.append(world.send('vm0', session, StatementKind.READ))
        world.run_until(world.now + pause_s)
    world.run_until(world.now + 0.5)
    assert all(is_success(call) for call in calls)
    assert count_polls(world) - before <= max_polls
