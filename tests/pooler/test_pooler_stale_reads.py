"""Reads that could lack an acknowledged commit, each in the state that two VMs differ in."""

import dataclasses

import pytest
from fake_target import GROUP, FakeTarget
from pooler_world import MAX_AGE_S, World, build_config, get_error, is_success, poll_targets
from virtual_vm import VirtualVm

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


def is_stale(written, read):
    """Return whether a read lacks a write that was acknowledged before it was sent."""
    acknowledged = is_success(written) and written.answered_at < read.sent_at
    return acknowledged and is_success(read) and 'new' not in read.answer.rows


def step_down_unseen(world, apply_delay_s=CUT_S):
    """Hand the group over to t1; vm0 and t2 do not see it, and t0 applies its log late."""
    for vm in world.vms:
        world.connect(vm, 1, 'orders')
        world.send(vm, 1, StatementKind.READ)
    world.run_until(0.3)
    world.cut_store('vm0', CUT_S)
    for side in ('vm0', 't2'):
        world.cut('t1', side, CUT_S)
    former = world.targets['t0']
    former.apply_delay_s = apply_delay_s
    former.leaving = True
    world.announce(former)
    world.run_until(2)
    assert world.find_primary().name == 't1'


def keep_reading(world, until, vms=('vm0',)):
    """Send reads of some VMs until a time, each after the answer to the one before."""
    while world.now < until:
        for vm in vms:
            if world.calls[vm, 1].answer is not None:
                world.send(vm, 1, StatementKind.READ)
        world.run_until(world.now + 0.1)


def write_and_read(world):
    """Write on vm1 and then read on vm0, both in new sessions on the primary route."""
    world.connect('vm1', 2, 'orders')
    written = world.send('vm1', 2, StatementKind.WRITE, 'new')
    world.run_until(world.now + 0.4)
    world.connect('vm0', 2, 'orders')
    read = world.send('vm0', 2, StatementKind.READ)
    world.run_until(world.now + 0.5)
    return written, read


@pytest.mark.parametrize('until', [2, 8])
def test_vm_that_missed_a_handover_does_not_read_from_the_former_primary(until):
    # The former primary had received a commit of its successor and not applied it. It answered
    # reads like a primary, confirmed by the third target, which had not heard of the new term.
    world = World(vms=2)
    step_down_unseen(world)
    keep_reading(world, until)
    written, read = write_and_read(world)
    assert is_success(written)
    assert not is_stale(written, read)


@pytest.mark.parametrize('route', ['orders', 'prices'])
def test_former_primary_that_steps_down_late_is_not_read_from(route):
    # After an unplanned promotion the former primary leads until it reaches its successor, so that
    # no time since the promotion bounds for how long other VMs take it for the primary.
    world = World(vms=2)
    for vm in world.vms:
        world.connect(vm, 1, 'orders')
        world.send(vm, 1, StatementKind.READ)
    world.connect('vm0', 3, route)
    world.run_until(0.3)
    world.cut_store('vm0', CUT_S)
    for side in ('vm0', 't2'):
        world.cut('t1', side, CUT_S)
    for side in ('t1', 'vm1'):
        world.cut('t0', side, 9.7)
    former = world.targets['t0']
    former.apply_delay_s = CUT_S
    keep_reading(world, 11.9, ['vm0', 'vm1'])
    assert former.is_primary
    assert world.find_primary().name == 't1'
    former.is_primary, former.applied = False, len(former.log)
    world.announce(former)
    world.replicate()
    world.run_until(world.now + 0.2)
    written, read = write_and_read(world)
    assert is_success(written)
    assert not is_stale(written, read)
    keep_reading(world, world.now + MAX_AGE_S)
    read = world.send('vm0', 3, StatementKind.READ)
    world.run_until(world.now + 0.5)
    assert not is_stale(written, read)


def test_commits_do_not_wait_for_replicas_to_apply_them():
    # Replicas that lag apply their log seconds late; writes after a handover ended in doubt when
    # targets that had led before counted by what they had applied.
    world = World(vms=1)
    world.connect('vm0', 1, 'orders')
    world.send('vm0', 1, StatementKind.READ)
    world.run_until(0.3)
    for target in world.targets.values():
        target.apply_delay_s = 3
    world.targets['t0'].leaving = True
    world.announce(world.targets['t0'])
    world.run_until(2)
    assert world.find_primary().name != 't0'
    calls = []
    for number in range(4):
        world.connect('vm0', 20 + number, 'orders')
        calls.append(world.send('vm0', 20 + number, StatementKind.WRITE, f'w{number}'))
        world.run_until(world.now + 0.3)
    assert all(is_success(call) for call in calls)


def test_poll_that_shows_a_newer_term_counts_although_a_later_reply_came_first():
    # The reply to a later command arrives first on another connection; the poll was then dropped,
    # and the VM went on with a primary that follows its successor.
    group = World(vms=1).vms['vm0'].state.groups[GROUP]
    leads = ReportedStatus(True, 1, LogPosition(1, 5), 0, 0, 0, 1)
    follows = ReportedStatus(False, 2, LogPosition(1, 5), 0, 0, 0, 1)
    quorum.record_status(group, 't0', 10, leads, 10)
    quorum.record_primary_position(group, 't0', 12.1, LogPosition(1, 5), 12.2)
    quorum.record_status(group, 't0', 12.0, follows, 12.3)
    assert group.monitor.primary != 't0'


@pytest.mark.parametrize(
    ('kind', 'begin', 'proves'),
    [
        (StatementKind.READ, None, False),
        (StatementKind.WRITE, None, True),
        (StatementKind.READ, 'BEGIN', True),
        (StatementKind.READ, 'BEGIN READ', False),
    ],
)
def test_only_replies_that_replicas_refuse_prove_that_a_target_leads(kind, begin, proves):
    world = World(vms=1)
    world.connect('vm0', 1, 'orders')
    world.send('vm0', 1, StatementKind.READ)
    world.run_until(1)
    if begin:
        world.send('vm0', 1, StatementKind.BEGIN, begin, read_only=begin == 'BEGIN READ')
    view = world.vms['vm0'].state.groups[GROUP].monitor.targets['t0']
    world.targets['t0'].polls_busy_until = CUT_S
    before = view.status_started_at
    world.send('vm0', 1, kind, 'w')
    world.run_until(1.3)
    assert (view.status_started_at > before) is proves


def follow_unseen_successor(world):
    """Let t0 follow t1 in term 2 and lack its commit; vm0 and t2 do not hear of the term."""
    for side in ('vm0', 't2'):
        world.cut('t1', side, CUT_S)
    world.cut('t0', 't2', CUT_S)
    former, successor = world.targets['t0'], world.targets['t1']
    former.is_primary, successor.is_primary = False, True
    for target in (former, successor):
        target.term, target.log, target.applied = 2, [(2, 'new')], 0


def test_late_reply_to_a_read_proves_no_lead_by_a_later_transaction_of_its_session():
    # The reply of t0 to a read that a replica had answered meanwhile arrived after its session had
    # begun a transaction that may write. It counted as the vote of the primary, although replicas
    # answer such a read as well, and confirmed the read of another session.
    world = World(vms=1)
    for session, database in ((1, 'prices'), (2, 'orders')):
        world.connect('vm0', session, database)
        world.send('vm0', session, StatementKind.READ)
    world.run_until(0.3)
    follow_unseen_successor(world)
    world.targets['t0'].polls_busy_until = CUT_S
    answer = world.vms['vm0'].answer
    late = []

    def delay_first_reply(connection_id, event, target):
        if target.name == 't0' and not late:
            late.append((connection_id, event, target))
        else:
            answer(connection_id, event, target)

    world.vms['vm0'].answer = delay_first_reply
    answered = world.send('vm0', 1, StatementKind.READ)
    read = world.send('vm0', 2, StatementKind.READ)
    world.run_until(0.7)
    assert is_success(answered)
    assert late
    world.send('vm0', 1, StatementKind.BEGIN)
    answer(*late[0])
    world.run_until(1.5)
    assert not is_success(read)


def test_write_of_a_later_term_does_not_confirm_a_read_of_a_former_one():
    # t0 answered a read while it followed t1, led again in term 3 and answered a write. The reply
    # to the write counted as a status of term 1, which confirmed the read.
    world = World(vms=1)
    for session in (1, 2):
        world.connect('vm0', session, 'orders')
    world.send('vm0', 1, StatementKind.READ)
    world.run_until(0.3)
    follow_unseen_successor(world)
    first, second = world.targets['t0'], world.targets['t1']
    first.polls_busy_until = CUT_S
    read = world.send('vm0', 1, StatementKind.READ)
    world.run_until(0.34)
    first.is_primary, second.is_primary = True, False
    first.term = second.term = 3
    world.send('vm0', 2, StatementKind.WRITE, 'own')
    world.run_until(1.5)
    assert not is_success(read)


def test_commit_of_a_primary_that_leads_again_unseen_is_acknowledged():
    # The reply with a position of the newer term has to make the VM poll the primary.
    world = World(vms=1)
    world.connect('vm0', 1, 'orders')
    world.send('vm0', 1, StatementKind.READ)
    world.run_until(0.3)
    for target in world.targets.values():
        target.term = 3
    written = world.send('vm0', 1, StatementKind.WRITE, 'own')
    world.run_until(1.5)
    assert is_success(written)
    assert written.answered_at - written.sent_at < 0.4


def test_lost_reply_to_a_poll_of_the_primary_does_not_hold_up_its_reads():
    # Reads wait for a poll of the primary that was sent after they began. A poll whose answer was
    # lost was in flight for 1 s.
    world = World(vms=1)
    world.connect('vm0', 1, 'orders')
    world.send('vm0', 1, StatementKind.READ)
    world.run_until(1)
    answer = world.vms['vm0'].answer
    lost = []

    def lose_first_status(connection_id, event, target):
        if target.name == 't0' and event.reply.status is not None and not lost:
            lost.append(event)
        else:
            answer(connection_id, event, target)

    world.vms['vm0'].answer = lose_first_status
    call = world.send('vm0', 1, StatementKind.READ)
    world.run_until(2)
    assert lost
    assert is_success(call)
    assert call.answered_at - call.sent_at < 0.4


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


@pytest.mark.parametrize('kind', [StatementKind.READ, StatementKind.WRITE])
def test_farther_replica_is_polled_if_the_nearest_has_not_heard_of_the_term(kind):
    # Only the nearest replica was polled, again and again. Writes of such a VM were refused after
    # 1 s, although another replica followed the primary.
    world = World(vms=2)
    step_down_unseen(world, apply_delay_s=0.02)
    vm = VirtualVm(world, 'vm9', 'p2')
    world.vms['vm9'] = vm
    world.targets['t0'].leaving = False
    world.announce(world.targets['t0'])
    world.run_until(world.now + 0.1)
    vm.follow_store()
    world.start_vm(vm, build_config(), world.targets)
    world.run_until(world.now + 0.1)
    calls = []
    for number in range(3):
        world.connect('vm9', number, 'orders')
        calls.append(world.send('vm9', number, kind, f'w{number}'))
        world.run_until(world.now + 0.4)
    assert all(is_success(call) for call in calls[1:])
