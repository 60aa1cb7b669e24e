"""Behavior of VMs that cannot reach some or all targets, and of VMs that stop."""

import pytest
from fake_target import GROUP
from pooler_world import World, get_error, is_success, poll_targets
from virtual_vm import EXECUTORS

from cassiaseam.errors import ErrorKind
from cassiaseam.pooler import fencing, ticks
from cassiaseam.pooler.commands import StatementKind, TargetFailure, TargetReply
from cassiaseam.pooler.events import ConnectionRefused, OpenConnection, PoolerStopping

CUT_S = 8.0


def isolate(world, vm, names):
    for name in names:
        world.cut(vm, name, CUT_S)


@pytest.mark.parametrize(
    ('names', 'ready'),
    [(['t0'], True), (['t1'], True), (['t0', 't1'], False), (['t0', 't1', 't2'], False)],
)
def test_vm_without_a_majority_is_not_ready_until_it_is_back(names, ready):
    world = World()
    world.run_until(0.5)
    state = world.vms['vm0'].state
    world.connect('vm0', 1, 'stock')
    isolate(world, 'vm0', names)
    for step in range(40):
        if (('vm0', 1) in world.closed) or world.calls.get(('vm0', 1)) is None:
            world.connect('vm0', 1, 'stock')
        call = world.calls.get(('vm0', 1))
        if call is None or call.answer is not None:
            world.send(
                'vm0', 1, StatementKind.WRITE if step % 2 else StatementKind.READ, f'v{step}'
            )
        world.run_until(0.5 + (step + 1) * 0.1)
    assert ticks.is_ready(state) is ready
    world.run_until(0.5 + CUT_S + 3)
    assert ticks.is_ready(state)


def test_request_that_cannot_be_served_is_refused_at_once():
    # Statements waited until their timeout on VMs that had lost all targets (esoviz trouble-1).
    world = World()
    world.run_until(0.5)
    world.connect('vm0', 1, 'orders')
    isolate(world, 'vm0', ['t0', 't1', 't2'])
    first = world.send('vm0', 1, StatementKind.READ)
    world.run_until(2.5)
    assert get_error(first) is not None
    second = world.send('vm0', 1, StatementKind.READ)
    assert get_error(second) is ErrorKind.NO_TARGET


def test_idle_sessions_of_an_isolated_vm_are_closed():
    world = World()
    world.run_until(0.5)
    world.connect('vm0', 1, 'orders')
    world.connect('vm0', 2, 'prices')
    isolate(world, 'vm0', ['t0', 't1', 't2'])
    world.send('vm0', 1, StatementKind.READ)
    world.run_until(0.5 + 5)
    assert ('vm0', 2) in world.closed


def test_target_that_refuses_connections_does_not_count_as_a_replica():
    # A VM without a known primary promoted another target although the primary only refused it for
    # too many connections (esoviz trouble-1, second promotion at 13.8 s).
    world = World(vms=1)
    world.run_until(0.5)
    vm = world.vms['vm0']
    group = vm.state.groups[GROUP]

    def refuse(effect):
        if effect.record.name == 't0':
            reply = TargetReply(failure=TargetFailure.TOO_MANY_CONNECTIONS, message='full')
            event = ConnectionRefused(effect.connection_id, 'full', reply)
            world.after(0.004, lambda: vm.dispatch(event))
        else:
            opened(effect)

    opened = vm.open_target
    original = EXECUTORS[OpenConnection]
    EXECUTORS[OpenConnection] = lambda it, effect: refuse(effect)
    try:
        for number in list(vm.links):
            if vm.links[number][0].name == 't0':
                vm.lose(number)
        group.monitor.primary = ''
        world.run_until(5)
    finally:
        EXECUTORS[OpenConnection] = original
    assert not world.promotion_calls


def test_crashed_primary_is_replaced_and_writes_go_on():
    world = World()
    world.run_until(0.5)
    world.connect('vm0', 1, 'orders')
    assert_served(world, 'before')
    world.crash('t0', 20)
    crashed_at = world.now
    number = 0
    while True:
        number += 1
        call = world.send('vm0', 1, StatementKind.WRITE, f'after-{number}')
        while call.answer is None:
            world.run_until(world.now + 0.01)
        if is_success(call):
            break
        assert world.now - crashed_at < 2
    # Goal of the failover gap in docs/design.md.
    assert world.now - crashed_at < 2


def assert_served(world, value):
    call = world.send('vm0', 1, StatementKind.WRITE, value)
    world.run_until(world.now + 0.5)
    assert is_success(call)


def test_writes_wait_while_another_vm_fences_the_replicas():
    # Commits on a primary whose replicas are fenced would only end with an unknown outcome. Writes
    # go on once the other VM has lifted the fences.
    world = World(shared=True)
    world.run_until(0.5)
    world.connect('vm0', 1, 'orders')
    for name in ('t1', 't2'):
        world.targets[name].fenced = 2
    group = world.vms['vm0'].state.groups[GROUP]
    world.send('vm0', 1, StatementKind.READ)
    world.run_until(0.7)
    world.connect('vm0', 2, 'orders')
    call = world.send('vm0', 2, StatementKind.WRITE, 'held')
    world.run_until(0.9)
    assert group.fenced_since is not None
    assert call.answer is None
    assert world.committed['held'] == 0
    other = world.vms['vm1']
    poll_targets(other)
    world.run_until(1)
    other.execute(fencing.lift_fences(other.state, other.state.groups[GROUP], world.now))
    world.run_until(1.6)
    assert is_success(call)


def test_statement_that_finds_a_busy_primary_keeps_its_transaction():
    # BUSY aborted an open transaction although nothing had run (nls scale-2, 55 times).
    world = World()
    world.run_until(0.5)
    world.connect('vm0', 1, 'orders')
    world.send('vm0', 1, StatementKind.BEGIN)
    read = world.send('vm0', 1, StatementKind.READ)
    world.run_until(1)
    assert is_success(read)
    target = world.targets['t0']
    target.busy = 3
    write = world.send('vm0', 1, StatementKind.WRITE, 'kept')
    world.run_until(1.5)
    assert is_success(write)
    commit = world.send('vm0', 1, StatementKind.COMMIT)
    world.run_until(2)
    assert is_success(commit)
    assert world.committed['kept'] == 1


def test_transaction_that_found_no_connection_begins_elsewhere():
    # A BEGIN that waited for a connection was aborted when the target refused it
    # (esoviz trouble-1, 'connection lost: TOOMANY').
    world = World()
    world.run_until(0.5)
    world.connect('vm0', 1, 'prices')
    vm = world.vms['vm0']
    near = world.targets['t0']
    for number in list(vm.links):
        if vm.links[number][0] is near:
            vm.lose(number)
    near.down = True
    world.send('vm0', 1, StatementKind.BEGIN, read_only=True)
    read = world.send('vm0', 1, StatementKind.READ)
    world.run_until(1.4)
    assert is_success(read)


@pytest.mark.parametrize('in_transaction', [False, True])
def test_write_is_held_back_while_no_majority_can_confirm_it(in_transaction):
    # Writes sent right after a promotion, or while no replica received anything, ended with an
    # unknown outcome although they could have waited (esoviz inc-fd44, 22 of 58 failures).
    world = World()
    world.run_until(0.5)
    world.connect('vm0', 1, 'orders')
    world.connect('vm0', 2, 'orders')
    if in_transaction:
        world.send('vm0', 2, StatementKind.BEGIN)
        world.run_until(0.6)
        world.send('vm0', 2, StatementKind.WRITE, 'second')
        world.run_until(0.7)
    for name in ('t1', 't2'):
        world.cut('t0', name, 1.2)
    first = world.send('vm0', 1, StatementKind.WRITE, 'first')
    world.run_until(1.1)
    assert first.answer is None
    kind = StatementKind.COMMIT if in_transaction else StatementKind.WRITE
    second = world.send('vm0', 2, kind, 'second')
    world.run_until(1.7)
    assert get_error(first) is ErrorKind.OUTCOME_UNKNOWN
    assert world.committed['second'] == 0
    world.run_until(3)
    assert is_success(second)


def test_write_that_was_held_back_to_the_end_has_not_run():
    world = World()
    world.run_until(0.5)
    world.connect('vm0', 1, 'orders')
    world.connect('vm0', 2, 'orders')
    for name in ('t1', 't2'):
        world.cut('t0', name, 20)
    world.send('vm0', 1, StatementKind.WRITE, 'first')
    world.run_until(1)
    second = world.send('vm0', 2, StatementKind.WRITE, 'second')
    world.run_until(2.2)
    assert get_error(second) is ErrorKind.OVERLOADED
    assert world.committed['second'] == 0


def test_daemon_ends_after_its_answers_have_been_sent():
    # The last answer was lost when the reactor stopped in the tick that delivered it (nls
    # trouble-2 and esoviz scale-1, LOST).
    world = World(vms=1)
    world.run_until(0.5)
    vm = world.vms['vm0']
    vm.dispatch(PoolerStopping())
    world.run_until(4)
    assert not ticks.is_shutdown_complete(vm.state, world.now, 6, flushed=False)
    assert ticks.is_shutdown_complete(vm.state, world.now, 6, flushed=True)
    assert ticks.is_shutdown_complete(vm.state, world.now + 6, 6, flushed=False)


def test_stopping_daemon_answers_before_it_closes_a_session():
    world = World(vms=1)
    world.run_until(0.5)
    vm = world.vms['vm0']
    world.connect('vm0', 1, 'orders')
    vm.dispatch(PoolerStopping())
    world.run_until(2.15)
    call = world.send('vm0', 1, StatementKind.WRITE, 'last') if not world.closed else None
    world.run_until(3)
    assert call is None or is_success(call)
    assert ('vm0', 1) in world.closed


@pytest.mark.parametrize('caller_leaves', [False, True])
def test_commit_with_unknown_outcome_does_not_end_the_transaction_of_another_caller(caller_leaves):
    # The connection of a COMMIT that waited for confirmation was already used by another session
    # when the COMMIT was abandoned. The transaction of that session was rolled back, and its next
    # statement ran outside of it (esoviz own day cuts, seed 1088112616866, PINNED at 13.413 s).
    world = World(vms=1)
    world.run_until(0.5)
    state = world.vms['vm0'].state
    world.connect('vm0', 1, 'orders')
    world.connect('vm0', 2, 'orders')
    world.send('vm0', 1, StatementKind.BEGIN)
    world.send('vm0', 1, StatementKind.WRITE, 'first')
    world.run_until(0.6)
    first = state.sessions[1].transaction.connection_id
    vm = world.vms['vm0']
    for number in [it for it, link in vm.links.items() if link[0].name == 't0' and it != first]:
        vm.lose(number)
    for name in ('t1', 't2'):
        world.cut('t0', name, 5)
    commit = world.send('vm0', 1, StatementKind.COMMIT)
    world.run_until(0.8)
    assert commit.answer is None
    world.send('vm0', 2, StatementKind.BEGIN)
    world.send('vm0', 2, StatementKind.WRITE, 'second')
    world.run_until(1)
    pinned = state.connections[state.sessions[2].transaction.connection_id]
    assert pinned.connection_id == first
    if caller_leaves:
        world.disconnect('vm0', 1)
    world.run_until(1.8)
    backlog = world.vms['vm0'].links[pinned.connection_id][1]
    assert backlog.open
    assert pinned.pinned_to == 2
    world.send('vm0', 2, StatementKind.WRITE, 'third')
    world.run_until(1.9)
    assert world.committed['third'] == 0


def test_vm_without_store_access_finds_a_new_primary():
    # Writes waited for 2.8 s on a VM without updates from the store (incident inc-fd44 of esoviz).
    world = World(vms=2)
    world.run_until(0.5)
    for vm in ('vm0', 'vm1'):
        world.connect(vm, 1, 'orders')
    world.cut_store('vm0', 20)
    world.mute('t0', 10)
    for vm in ('vm0', 'vm1'):
        world.send(vm, 1, StatementKind.READ)
    world.run_until(3)
    assert world.find_primary().name != 't0'
    call = world.send('vm0', 1, StatementKind.WRITE, 'v1')
    world.run_until(3.5)
    assert is_success(call), f'{get_error(call)}'
