"""Majorities intersect even when the VMs know different targets of a group."""

import dataclasses
from itertools import combinations, product

import pytest
from fake_target import GROUP
from pooler_world import MAX_AGE_S, World, build_config, is_success
from virtual_vm import VirtualVm

from cassiaseam.group.view import find_quorum_floor
from cassiaseam.pooler import quorum
from cassiaseam.pooler.commands import ReportedStatus, StatementKind
from cassiaseam.pooler.events import (
    ConfigurationRead,
    SampleRequested,
    StoreReachability,
    TargetChanged,
    TargetsListed,
)
from cassiaseam.pooler.model import TargetRecord
from cassiaseam.pooler.state import GroupView, TargetState
from cassiaseam.positions import LogPosition

ISOLATION_S = 30


def isolate_primary(world, *others):
    """Disconnect the primary from targets and VMs."""
    for name in others:
        world.cut('t0', name, ISOLATION_S)


def is_kept(world, value):
    """Return whether the current primary holds a value."""
    return value in [kept for _, kept in world.find_primary().log]


@pytest.mark.parametrize('written_at', [0.7, 4.0], ids=['before promotion', 'after promotion'])
def test_vm_that_found_one_record_does_not_acknowledge_a_write_held_by_one_target(written_at):
    # Records expire while the store is unreachable. A VM that started then treated the primary
    # alone as a majority, and another VM promoted a replica that lacked the write.
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
    # The replica alone counted as a majority without a primary, and was promoted with one fence.
    world = World(vms=1, listed={'vm0': ('t1',)})
    world.connect('vm0', 1, 'orders')
    for number in range(6):
        world.send('vm0', 1, StatementKind.READ)
        world.run_until((number + 1) * 1.2)
    assert not world.promotion_calls


def test_sample_of_fewer_targets_is_not_used_after_the_group_has_grown():
    # A VM that had found one record and could not read the recorded sizes yet took a sample for
    # another VM from that target alone. It served its own reads from the sample once it knew all.
    world = World(vms=1)
    world.connect('vm0', 1, 'orders')
    world.run_until(0.2)
    world.cut('t0', 't2', ISOLATION_S)
    written = world.send('vm0', 1, StatementKind.WRITE, 'value')
    vm = VirtualVm(world, 'vm1', 'p2')
    world.vms['vm1'] = vm
    vm.follow_store()
    vm.store_cut = True
    for event in (StoreReachability(True), ConfigurationRead(build_config())):
        vm.dispatch(event)
    vm.dispatch(TargetsListed((world.targets['t2'].get_record(),)))
    vm.tick()
    world.run_until(0.6)
    assert is_success(written)
    vm.dispatch(SampleRequested('vm0', 0, 1, GROUP, 0))
    world.run_until(0.9)
    vm.store_cut = False
    world.run_until(1.9)
    assert vm.state.sizes.known
    vm.dispatch(TargetsListed(tuple(it.get_record() for it in world.targets.values())))
    world.connect('vm1', 1, 'prices')
    world.run_until(written.answered_at + MAX_AGE_S + 0.02)
    read = world.send('vm1', 1, StatementKind.READ)
    world.run_until(3)
    assert is_success(read)
    assert 'value' in read.answer.rows


@pytest.mark.parametrize(('known', 'floor'), [(2, None), (3, LogPosition(1, 3))])
def test_group_that_has_grown_has_a_sample_if_enough_statuses_are_known(known, floor):
    # A read that waits for a sample polls no target again whose status it knows.
    group = GroupView(GROUP, quorum.build_monitor(GROUP))
    for number in range(1, 6):
        record = TargetRecord(f't{number}', GROUP, '10.0.0.1', 1, 'p0', 5, False, False, '1')
        group.targets[record.name] = TargetState(record)
        quorum.refresh_members(group, 1)
        if number <= known:
            status = ReportedStatus(False, 1, LogPosition(1, number), 0, 0, 0, 1)
            quorum.record_status(group, record.name, 1, status, 1)
    assert find_quorum_floor(group.monitor, 1) == floor


def grow_group(joined):
    """Return a world in which a fourth target has joined, which only one of two VMs knows."""
    three = ('t0', 't1', 't2')
    world = World(vms=2, target_count=4, listed={'vm0': three, 'vm1': three}, sizes={GROUP: 3})
    world.run_until(0.2)
    for vm in world.vms:
        world.connect(vm, 1, 'orders')
        world.send(vm, 1, StatementKind.READ)
    world.run_until(0.4)
    world.cut_store('vm1', ISOLATION_S)
    for name in joined:
        world.vms['vm0'].dispatch(TargetChanged(world.targets[name].get_record()))
    world.run_until(0.5)
    return world


def test_fences_meet_the_majorities_of_a_vm_that_does_not_know_a_new_target():
    # Two of four targets were fenced, one of them new. A VM that knew only the other three
    # acknowledged a write that the primary and the third target held.
    world = grow_group(['t3'])
    isolate_primary(world, 't1', 't3', 'vm0')
    world.cut('t2', 'vm0', ISOLATION_S)
    world.run_until(0.6)
    world.send('vm0', 1, StatementKind.READ)
    world.run_until(0.9)
    written = world.send('vm1', 1, StatementKind.WRITE, 'value')
    world.run_until(8)
    assert not is_success(written) or is_kept(world, 'value')


@pytest.mark.parametrize(
    ('planned', 'unreachable', 'until'),
    [
        (True, '', 6),
        (True, 't1', 6),
        (True, 't2', 6),
        (True, 't3', 6),
        (False, '', 6),
        (False, 't3', 6),
        # Two of the three targets that other VMs may know have failed: a promotion has to wait
        # until all VMs know the new one.
        (False, 't1', 16),
        (False, 't2', 16),
    ],
)
def test_primary_is_replaced_while_a_target_has_just_joined(planned, unreachable, until):
    # The stricter fence quorum must not block a promotion permanently.
    world = grow_group(['t3'])
    if unreachable:
        world.mute(unreachable, ISOLATION_S)
    if planned:
        world.targets['t0'].leaving = True
        world.announce(world.targets['t0'])
    else:
        world.crash('t0', ISOLATION_S)
    world.run_until(0.6)
    world.send('vm0', 1, StatementKind.READ)
    world.run_until(until)
    primary = world.find_primary()
    assert primary is not None and primary.name not in {'t0', unreachable}


NOW = 100.0
# Changes after which other VMs may not count a target.
DOUBTS = {
    'joined': lambda target: setattr(target, 'joined_at', NOW - 1),
    'missing': lambda target: setattr(target, 'missing_since', NOW - 1),
    'leaving': lambda target: setattr(
        target, 'record', dataclasses.replace(target.record, leaving=True)
    ),
}


def list_subsets(names):
    return [set(found) for count in range(len(names) + 1) for found in combinations(names, count)]


def meets_all(fenced, certain, doubtful):
    """Return whether fences intersect each majority of each set that another VM may count."""
    for extra in list_subsets(doubtful):
        counted = certain | extra
        for holders in list_subsets(sorted(counted)):
            if len(holders) > len(counted) // 2 and not holders & fenced:
                return False
    return True


@pytest.mark.parametrize('doubt', DOUBTS)
@pytest.mark.parametrize(('size', 'doubtful_count'), list(product(range(1, 6), range(3))))
def test_fences_are_enough_exactly_if_they_meet_every_majority(doubt, size, doubtful_count):
    # Too few fences lose acknowledged commits; too many leave a group without a primary.
    names = [f't{number}' for number in range(size)]
    doubtful = names[size - min(doubtful_count, size) :]
    certain = set(names) - set(doubtful)
    group = GroupView(GROUP, quorum.build_monitor(GROUP))
    for name in names:
        record = TargetRecord(name, GROUP, '10.0.0.1', 1, 'p0', 5, False, False, '1')
        group.targets[name] = TargetState(record)
        if name in doubtful:
            DOUBTS[doubt](group.targets[name])
    quorum.refresh_members(group, NOW)
    for fenced in list_subsets(names):
        expected = bool(fenced) and meets_all(fenced, certain, doubtful)
        assert quorum.has_fence_quorum(group, fenced, NOW) is expected, fenced


@pytest.mark.parametrize(('age_s', 'counts'), [(0, False), (9.9, False), (10.1, True)])
def test_fence_of_a_target_counts_once_all_vms_know_it(age_s, counts):
    record = TargetRecord('t0', GROUP, '10.0.0.1', 1, 'p0', 5, False, False, '1')
    target = TargetState(record, joined_at=NOW)
    assert quorum.is_known_to_all_vms(target, NOW + age_s) is counts


@pytest.mark.parametrize(
    ('first_listed', 'recorded', 'joined'),
    [
        (('t0', 't1', 't2'), 3, set()),
        (('t0', 't1'), 2, {'t2'}),
        # The VM started while records were missing; the others know these targets.
        (('t0',), 3, set()),
        ((), 0, {'t0', 't1', 't2'}),
    ],
)
def test_targets_up_to_the_recorded_number_are_not_new(first_listed, recorded, joined):
    # Otherwise promotions wait for targets that all VMs know, or rely on ones that others do not.
    world = World(vms=1, listed={'vm0': first_listed}, sizes={GROUP: recorded})
    vm = world.vms['vm0']
    for target in world.targets.values():
        vm.dispatch(TargetChanged(target.get_record()))
    states = vm.state.groups[GROUP].targets
    assert {name for name, target in states.items() if target.joined_at is not None} == joined


def test_restarted_target_still_counts_as_just_joined():
    world = grow_group(['t3'])
    world.targets['t3'].incarnation += 1
    world.vms['vm0'].dispatch(TargetChanged(world.targets['t3'].get_record()))
    assert world.vms['vm0'].state.groups[GROUP].targets['t3'].joined_at is not None


@pytest.mark.parametrize(
    ('first_listed', 'leaving', 'recorded', 'joined'),
    [
        (('t0', 't1', 't2', 't3'), '', 3, {'t3'}),
        (('t0', 't1', 't2', 't3'), 't0', 3, {'t3'}),
        (('t0', 't1', 't3'), 't2', 3, {'t3'}),
        (('t0', 't1'), 't2', 3, {'t3'}),
        (('t0', 't1', 't2', 't3'), '', 4, set()),
        (('t0', 't1', 't2', 't3'), '', 0, set()),
    ],
)
def test_starting_vm_marks_the_youngest_target_as_new(first_listed, leaving, recorded, joined):
    # A VM that started during a planned replacement relied on a fence of the new target, while a
    # VM that did not know it acknowledged a write held by the primary and the leaving target.
    world = World(vms=1, target_count=4, listed={'vm0': ()}, sizes={GROUP: recorded})
    vm = world.vms['vm0']
    vm.state.targets_known = False
    world.targets['t3'].incarnation = 12
    for target in world.targets.values():
        target.leaving = target.name == leaving
    records = tuple(world.targets[name].get_record() for name in first_listed)
    vm.dispatch(TargetsListed(records))
    for target in world.targets.values():
        vm.dispatch(TargetChanged(target.get_record()))
    states = vm.state.groups[GROUP].targets
    assert {name for name, target in states.items() if target.joined_at is not None} == joined


@pytest.mark.parametrize(('recorded', 'joined'), [(2, {'t2', 't3'}), (1, {'t2', 't3'})])
def test_all_staying_targets_are_new_when_more_are_beyond_the_record(recorded, joined):
    # With more targets beyond the recorded number than there are staying ones, only some of these
    # were marked, and a promotion relied on fences of the others.
    group = GroupView(GROUP, quorum.build_monitor(GROUP))
    for number in range(4):
        record = TargetRecord(f't{number}', GROUP, 'h', 1, 'p0', 5, number < 2, False, f'{number}')
        group.targets[record.name] = TargetState(record)
    quorum.mark_new_targets(group, recorded, 5.0)
    assert {name for name, it in group.targets.items() if it.joined_at is not None} == joined
