"""Majorities of VMs that know different targets of a group have to meet."""

import pytest
from pooler_world import World, is_success

from cassiaseam.pooler.commands import StatementKind

ISOLATION_S = 30


def isolate_primary(world, *others):
    """Cut the primary off from targets and VMs."""
    for name in others:
        world.cut('t0', name, ISOLATION_S)


def is_kept(world, value):
    """Return whether the primary in charge holds a value."""
    return value in [kept for _, kept in world.find_primary().log]


@pytest.mark.parametrize('written_at', [0.7, 4.0], ids=['before promotion', 'after promotion'])
def test_vm_that_found_one_record_does_not_acknowledge_what_one_target_holds(written_at):
    # Records lapse while the store is away. A VM that started then took the primary alone for a
    # majority, and another one promoted a replica that lacked the write.
    world = World(vms=2, listed={'vm1': ('t0',)})
    world.run_until(0.3)
    world.cut_store('vm1', ISOLATION_S)
    for vm in world.vms:
        world.connect(vm, 1, 'orders')
        world.send(vm, 1, StatementKind.READ)
    world.run_until(0.5)
    isolate_primary(world, 't1', 't2', 'vm0')
    world.run_until(0.6)
    world.send('vm0', 1, StatementKind.READ)
    world.run_until(written_at)
    written = world.send('vm1', 1, StatementKind.WRITE, 'value')
    world.run_until(8)
    assert world.promotion_calls
    assert not is_success(written) or is_kept(world, 'value')


def test_vm_that_found_only_a_replica_does_not_replace_a_working_primary():
    # The replica alone was a majority that does not lead, so that one fence promoted it.
    world = World(vms=1, listed={'vm0': ('t1',)})
    world.connect('vm0', 1, 'orders')
    for number in range(6):
        world.send('vm0', 1, StatementKind.READ)
        world.run_until((number + 1) * 1.2)
    assert not world.promotion_calls
