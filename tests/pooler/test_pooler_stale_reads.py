"""Reads that could lack an acknowledged commit, each in the state that two VMs differ in."""

import pytest
from pooler_world import MAX_AGE_S, World, is_success

from cassiaseam.pooler.commands import StatementKind

CUT_S = 30.0


def split_primary(world):
    """Leave the primary and vm0 on one side, the other targets and vm1 on the other."""
    for side, other in (('t0', 't1'), ('t0', 't2'), ('t0', 'vm1'), ('vm0', 't1'), ('vm0', 't2')):
        world.cut(side, other, CUT_S)
    world.cut_store('vm0', CUT_S)


@pytest.mark.parametrize('database', ['orders', 'prices', 'stock'])
@pytest.mark.parametrize('first', [StatementKind.READ, StatementKind.WRITE])
def test_read_in_a_transaction_at_a_replaced_primary_is_not_answered(database, first):
    # A transaction that began with a write carried no position, so the replaced primary served
    # its reads without what the new primary had committed long before.
    world = World(vms=2)
    for vm in world.vms:
        world.connect(vm, 1, database)
        world.connect(vm, 2, 'orders')
        world.send(vm, 2, StatementKind.READ)
    world.run_until(0.3)
    split_primary(world)
    world.run_until(0.4)
    world.send('vm1', 2, StatementKind.READ)
    world.run_until(4)
    written = world.send('vm1', 2, StatementKind.WRITE, 'new')
    world.run_until(4.5)
    assert is_success(written)
    world.run_until(4.5 + MAX_AGE_S)
    reads = []
    for kind in (StatementKind.BEGIN, first, StatementKind.READ):
        call = world.send('vm0', 1, kind, 'own')
        world.run_until(world.now + 0.3)
        reads += [call] if kind is StatementKind.READ else []
        if call.answer is None or call.answer.error is not None:
            break
    stale = [call for call in reads if is_success(call) and 'new' not in call.answer.rows]
    assert not stale
