"""Reads that could lack an acknowledged commit, each in the state that two VMs differ in."""

import dataclasses

import pytest
from fake_target import GROUP, FakeTarget
from pooler_world import MAX_AGE_S, World, get_error, is_success, poll_targets

from cassiaseam.errors import ErrorKind
from cassiaseam.group.state import QuorumSample
from cassiaseam.pooler import quorum
from cassiaseam.pooler.commands import ReportedStatus, StatementKind, TargetFailure, TargetReply
from cassiaseam.pooler.events import CallerConnected, CommandAnswered
from cassiaseam.positions import LogPosition

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


def refuse_read_at_new_primary(adopted_first, sampled_offset=1):
    """Return the session of a read that t1, which becomes the primary, refuses as behind."""
    world = World(vms=2)
    vm = world.vms['vm1']
    vm.dispatch(CallerConnected(1, 'stock', b'key'))
    world.run_until(0.1)
    written = world.send('vm1', 1, StatementKind.WRITE, 'own')
    world.run_until(0.5)
    assert is_success(written)
    group = vm.state.groups[GROUP]
    leads = ReportedStatus(True, 2, LogPosition(1, 0), 0, 0, 0, 1)
    world.lossy[('vm1', 't1')] = CUT_S
    group.monitor.samples[:] = [QuorumSample(0.49, LogPosition(1, sampled_offset), 1)]
    if adopted_first:
        quorum.record_status(group, 't1', world.now, leads, world.now)
    world.send('vm1', 1, StatementKind.READ)
    world.run_until(0.51)
    running = [it for it in vm.state.connections.values() if it.job and it.job.operation]
    assert [it.target for it in running] == ['t1']
    quorum.record_status(group, 't1', world.now, leads, world.now)
    refusal = TargetReply(failure=TargetFailure.BEHIND, position=LogPosition(1, 0))
    vm.dispatch(CommandAnswered(running[0].connection_id, refusal))
    return vm.state.sessions[1]


@pytest.mark.parametrize(
    ('adopted_first', 'sampled_offset'), [(False, 1), (True, 2)], ids=['as replica', 'more']
)
def test_refusal_that_proves_no_loss_keeps_the_session_commit(adopted_first, sampled_offset):
    # A frozen VM reads the status of the new primary before the refusal that it sent as a replica,
    # or the primary was asked for more than the session's commit. The session lost its position,
    # and a lagging replica served it without its own commit.
    session = refuse_read_at_new_primary(adopted_first, sampled_offset)
    assert session.last_commit == LogPosition(1, 1)


def test_session_commit_that_the_new_primary_lacks_is_given_up():
    # Otherwise the session could not read any more after a failover that lost its commit.
    assert refuse_read_at_new_primary(adopted_first=True).last_commit is None


def lead_group(world, name, term):
    """Make a target the primary of a term that all targets know."""
    for target in world.targets.values():
        target.is_primary, target.term = target.name == name, term
        target.log = [(1, 'old'), (2, 'new')]
        target.applied = 2


def test_read_of_a_replica_that_leads_again_is_not_confirmed():
    # A VM that had missed two promotions read from a replica that lagged, and confirmed the answer
    # by the statuses of the term in which the same target led again.
    world = World(vms=1)
    world.cut('vm0', 't1', CUT_S)
    world.connect('vm0', 1, 'orders')
    world.send('vm0', 1, StatementKind.READ)
    world.run_until(0.3)
    lead_group(world, 't1', 2)
    world.targets['t0'].applied = 1
    read = world.send('vm0', 1, StatementKind.READ)
    world.run_until(0.33)
    lead_group(world, 't0', 3)
    world.run_until(1.5)
    assert is_success(read)
    assert read.answer.rows == ('old', 'new')


@pytest.mark.parametrize('writer', ['vm1', 'vm2'], ids=['saw the handover', 'knows records'])
def test_former_primary_counts_for_a_commit_once_it_has_applied_it(writer):
    # The former primary follows its successor and has received a commit that it has yet to apply;
    # the third target has not heard of the new term. A VM that missed the handover took the answer
    # of the former primary for that of the primary, confirmed by the third target.
    world = World(vms=3)
    world.vms['vm2'].state.place = 'p0'
    for vm in world.vms:
        world.connect(vm, 1, 'orders')
    for vm in ('vm0', 'vm1'):
        world.send(vm, 1, StatementKind.READ)
    world.run_until(0.3)
    world.cut_store('vm0', CUT_S)
    for side in ('vm0', 't2'):
        world.cut('t1', side, CUT_S)
    former = world.targets['t0']
    former.apply_delay_s = 3.0
    former.leaving = True
    world.announce(former)
    world.run_until(2)
    assert world.find_primary().name == 't1'
    written = world.send(writer, 1, StatementKind.WRITE, 'new')
    world.run_until(2.5)
    acknowledged = is_success(written)
    read = world.send('vm0', 1, StatementKind.READ)
    world.run_until(2.6)
    assert not acknowledged or not is_success(read) or 'new' in read.answer.rows


def test_commit_of_a_new_primary_is_acknowledged_with_a_former_one():
    # Writes go on while only the former primary follows its successor.
    world = World(vms=1)
    world.connect('vm0', 1, 'orders')
    world.send('vm0', 1, StatementKind.READ)
    world.run_until(0.3)
    world.mute('t2', CUT_S)
    world.targets['t0'].leaving = True
    world.announce(world.targets['t0'])
    world.run_until(3)
    assert world.find_primary().name == 't1'
    written = world.send('vm0', 1, StatementKind.WRITE, 'new')
    world.run_until(3.3)
    assert is_success(written)


@pytest.mark.parametrize('record_late_s', [0.2, CUT_S], ids=['record in time', 'record late'])
@pytest.mark.parametrize('blank_s', [0.0, 0.5, 3.0])
@pytest.mark.parametrize('database', ['orders', 'prices', 'stock'])
def test_target_that_lost_its_log_proves_nothing_until_it_caught_up(
    database, blank_s, record_late_s
):
    # t0 and t2 held a commit that t1 lacked. After t2 had started again with the log of t1, a VM
    # that did not reach t0 took its sample from t1 and t2.
    world = World(vms=2)
    for vm in world.vms:
        world.connect(vm, 1, database)
        world.connect(vm, 2, 'orders')
        world.send(vm, 2, StatementKind.READ)
    world.run_until(0.2)
    world.cut('t0', 't1', 9.0)
    written = world.send('vm0', 2, StatementKind.WRITE, 'new')
    world.run_until(0.5)
    assert is_success(written)
    poll_targets(world.vms['vm1'])
    world.run_until(0.6)
    world.cut('vm1', 't0', 9.0)
    world.cut('t2', 't0', 9.0)
    world.wipe('t2', blank_s, record_late_s)
    for _ in range(40):
        read = world.send('vm1', 1, StatementKind.READ)
        world.run_until(world.now + 1.0)
        due = database == 'orders' or read.sent_at > written.answered_at + MAX_AGE_S
        assert not (due and is_success(read) and 'new' not in read.answer.rows), read
        if world.now > 14:
            break
    assert is_success(read)


@pytest.mark.parametrize('in_transaction', [False, True])
def test_commit_without_a_position_is_not_acknowledged(in_transaction, monkeypatch):
    # Without a position no majority can be counted; the commit was answered with success at once.
    world = World(vms=1)
    world.connect('vm0', 1, 'orders')
    world.send('vm0', 1, StatementKind.READ)
    world.run_until(0.3)
    if in_transaction:
        for kind in (StatementKind.BEGIN, StatementKind.WRITE):
            world.send('vm0', 1, kind, 'own')
            world.run_until(world.now + 0.2)
    reply = FakeTarget.reply
    monkeypatch.setattr(
        FakeTarget,
        'reply',
        lambda *args, **fields: dataclasses.replace(reply(*args, **fields), position=None),
    )
    kind = StatementKind.COMMIT if in_transaction else StatementKind.WRITE
    call = world.send('vm0', 1, kind, 'own')
    world.run_until(2)
    assert get_error(call) is ErrorKind.OUTCOME_UNKNOWN
