"""Targets that lost entries of their log are no evidence until they caught up."""

import pytest
from fake_target import GROUP
from pooler_world import MAX_AGE_S, World, is_success, poll_targets
from test_pooler_quorum import FAR, NEAR, PRIMARY, build_group, follows, leads

from cassiaseam.group.view import find_quorum_floor
from cassiaseam.pooler import quorum
from cassiaseam.pooler.commands import ReportedStatus, StatementKind
from cassiaseam.pooler.evidence import log_loss
from cassiaseam.positions import LogPosition

CUT_S = 30.0
AHEAD = follows(2, 9, position_term=1)

# Reports of a target as (sent at, answered at, status), and whether it lost entries then.
REPORTS = {
    'went back in its term': ([(1, 1.1, follows(1, 9)), (2, 2.1, follows(1, 8))], True),
    'forgot its term as well': ([(1, 1.1, AHEAD), (2, 2.1, follows(1, 8))], True),
    'went back to nothing': ([(1, 1.1, follows(1, 9)), (2, 2.1, follows(0, 0))], True),
    # A target that counts as damaged although it is not would stop its group.
    'answered out of order': ([(1, 1.5, follows(1, 9)), (1.2, 1.6, follows(1, 8))], False),
    'rolled back by a newer term': (
        [(1, 1.1, follows(1, 9)), (2, 2.1, follows(2, 8, position_term=1))],
        False,
    ),
    'rolled back once it knew a newer term': (
        [(1, 1.1, follows(1, 9)), (2, 2.1, AHEAD), (3, 3.1, follows(2, 8, position_term=1))],
        False,
    ),
    'lost entries before a newer term': (
        [(1, 1.1, follows(1, 9)), (2, 2.1, follows(1, 8)), (3, 3.1, follows(2, 9))],
        False,
    ),
    'lost entries and heard of a newer term': (
        [(1, 1.1, follows(1, 9)), (2, 2.1, follows(0, 0)), (3, 3.1, follows(2, 0))],
        True,
    ),
    'kept its entries': ([(1, 1.1, AHEAD), (2, 2.1, follows(1, 9))], False),
}


@pytest.mark.parametrize('case', REPORTS, ids=str)
def test_log_that_went_back_within_a_term_is_a_loss(case):
    reports, lost = REPORTS[case]
    group = build_group([])
    for started_at, answered_at, status in reports:
        quorum.record_status(group, NEAR, started_at, status, answered_at)
    assert log_loss.has_lost_log(group.targets[NEAR]) is lost
    assert (group.monitor.targets[NEAR].status is None) is lost


def test_target_that_forgot_its_term_does_not_support_a_former_primary():
    # The vote of a replica for the newer term was lost with its restart.
    group = build_group([(NEAR, 1, AHEAD), (PRIMARY, 2, leads(1, 9)), (NEAR, 2, follows(1, 9))])
    assert not quorum.is_primary_confirmed(group, PRIMARY, 2)


@pytest.mark.parametrize(
    ('others', 'last', 'counts'),
    [
        ([], 9, False),
        ([(PRIMARY, 3, leads(1, 12))], 12, False),
        ([(PRIMARY, 1, leads(1, 9)), (FAR, 3, follows(1, 9))], 12, False),
        ([(PRIMARY, 3, leads(1, 12)), (FAR, 3, follows(1, 9))], 11, False),
        ([(PRIMARY, 3, leads(1, 12)), (FAR, 3, follows(1, 9))], 12, True),
    ],
    ids=['no other', 'no majority', 'one before the loss', 'behind', 'caught up'],
)
def test_target_counts_again_when_it_holds_what_a_majority_of_the_others_held(
    others, last, counts
):
    # A commit that only its former copy and one other target held is missing in all majorities
    # without that one.
    group = build_group([(NEAR, 1, follows(1, 9)), (NEAR, 2, follows(1, 1)), *others])
    quorum.record_status(group, NEAR, 4, follows(1, last), 4)
    assert (group.monitor.targets[NEAR].status is not None) is counts


def test_target_that_lost_its_log_does_not_count_because_it_has_heard_of_a_newer_term():
    # t0 and t2 held a commit that t1 lacked. t2 lost its log, which vm1 saw, and t0 was promoted
    # again. t2 knew the new term before it had the log; a sample of t1 and t2 lacked the commit.
    world = World(vms=2)
    for vm in world.vms:
        world.connect(vm, 1, 'prices')
        world.connect(vm, 2, 'orders')
        world.send(vm, 2, StatementKind.READ)
    world.run_until(0.2)
    world.cut('t0', 't1', CUT_S)
    written = world.send('vm0', 2, StatementKind.WRITE, 'new')
    world.run_until(0.5)
    assert is_success(written)
    poll_targets(world.vms['vm1'])
    world.run_until(0.6)
    world.cut('vm1', 't0', CUT_S)
    world.wipe('t2', CUT_S, CUT_S)
    for _ in range(3):
        poll_targets(world.vms['vm1'])
        world.run_until(world.now + 0.1)
    assert log_loss.has_lost_log(world.vms['vm1'].state.groups[GROUP].targets['t2'])
    world.targets['t0'].is_primary = False
    world.platform.promote(world.targets['t0'])
    world.run_until(written.answered_at + MAX_AGE_S + 0.1)
    for _ in range(3):
        read = world.send('vm1', 1, StatementKind.READ)
        world.run_until(world.now + 1.2)
        assert not is_success(read) or 'new' in read.answer.rows


def test_target_that_lost_its_log_counts_in_a_newer_term_once_it_has_the_log_again():
    # Positions that a promotion took back must not keep it out until the next write.
    lost = [(NEAR, 1, follows(1, 9)), (NEAR, 2, follows(0, 0))]
    before = [(PRIMARY, 3, leads(1, 12)), (FAR, 3, follows(1, 9)), (NEAR, 3.5, follows(1, 1))]
    follower = follows(2, 9, position_term=1)
    leader = ReportedStatus(True, 2, LogPosition(1, 9), 0, 0, 0, 1)
    after = [(NEAR, 4, follower), (FAR, 5, leader), (PRIMARY, 5, follower)]
    group = build_group([*lost, *before, *after])
    assert log_loss.has_lost_log(group.targets[NEAR])
    quorum.record_status(group, NEAR, 6, follower, 6)
    assert not log_loss.has_lost_log(group.targets[NEAR])


def test_restart_that_is_known_from_the_record_does_not_hide_a_loss():
    # What the target had reported was forgotten with its former incarnation.
    world = World(vms=1)
    world.connect('vm0', 1, 'orders')
    group = world.vms['vm0'].state.groups[GROUP]
    quorum.record_status(group, 't2', 0, follows(1, 9), 0)
    world.targets['t2'].incarnation += 1
    world.announce(world.targets['t2'])
    world.run_until(5)
    quorum.record_status(group, 't2', 5, follows(1, 8), 5)
    assert log_loss.has_lost_log(group.targets['t2'])


@pytest.mark.parametrize(('size', 'counts'), [(3, False), (4, True)])
def test_blank_target_counts_only_among_an_even_number(size, counts):
    # Among three, a sample of the blank target and one other lacks a commit of the other two.
    # Among four, reads must not wait for the log of a new target.
    group = build_group([(PRIMARY, 1, leads(1, 9))])
    group.size = size
    quorum.record_status(group, FAR, 1, follows(0, 0), 1)
    assert (group.monitor.targets[FAR].status is not None) is counts


def test_blank_status_counts_no_more_once_a_target_has_reported_entries():
    # A VM that polled a blank target before any other one counted it, in a sample that lacks a
    # commit of the other two targets.
    group = build_group([(FAR, 1, follows(0, 0)), (NEAR, 1, follows(1, 8))])
    assert find_quorum_floor(group.monitor, 1) is None
    quorum.record_status(group, PRIMARY, 1, leads(1, 9), 1)
    assert find_quorum_floor(group.monitor, 1) == LogPosition(1, 9)


def test_blank_status_counts_no_more_once_a_reply_shows_entries():
    group = build_group([(PRIMARY, 1, leads(1, 0)), (FAR, 1, follows(0, 0))])
    quorum.record_primary_position(group, PRIMARY, 2, LogPosition(1, 9), 2)
    assert group.monitor.targets[FAR].status is None


def test_group_without_entries_is_served_while_targets_are_blank():
    # Guards the start of a deployment.
    group = build_group([(PRIMARY, 1, follows(0, 0)), (FAR, 1, follows(0, 0))])
    assert find_quorum_floor(group.monitor, 1) == LogPosition(0, 0)


@pytest.mark.parametrize('record_late_s', [0.2, CUT_S], ids=['record in time', 'record late'])
def test_fence_of_a_target_that_lost_its_log_does_not_count(record_late_s):
    # t0 and t2 held a commit. t2 lost it, t0 crashed, and the fences of t1 and t2 promoted a
    # target without it.
    world = World(vms=1)
    world.connect('vm0', 1, 'orders')
    world.cut('t0', 't1', 3.0)
    written = world.send('vm0', 1, StatementKind.WRITE, 'new')
    world.run_until(0.5)
    assert is_success(written)
    world.wipe('t2', 0.2, record_late_s)
    world.crash('t0', 7.0)
    for number in range(12):
        world.send('vm0', 1, StatementKind.READ)
        world.run_until(1.7 + 1.2 * number)
    assert 'new' in [value for _, value in world.find_primary().log]
    written = world.send('vm0', 1, StatementKind.WRITE, 'later')
    world.run_until(world.now + 1.2)
    assert is_success(written)


@pytest.mark.parametrize('database', ['orders', 'prices'])
def test_reads_go_on_when_the_nearest_target_has_lost_its_log(database):
    # The nearest majority contains the target that counts for nothing.
    world = World(vms=2)
    world.vms['vm0'].state.place = 'p2'
    world.connect('vm0', 1, database)
    world.connect('vm1', 1, 'orders')
    world.send('vm1', 1, StatementKind.WRITE, 'new')
    world.run_until(0.5)
    poll_targets(world.vms['vm0'])
    world.run_until(0.6)
    world.wipe('t2', CUT_S, CUT_S)
    world.run_until(3.0)
    for number in range(3):
        read = world.send('vm0', 1, StatementKind.READ)
        world.run_until(4.2 + 1.2 * number)
        assert is_success(read)


def test_primary_that_lost_its_log_is_replaced():
    # Its statuses do not count, and it does not count as a target that may lead either.
    world = World(vms=1)
    world.connect('vm0', 1, 'orders')
    world.send('vm0', 1, StatementKind.WRITE, 'new')
    world.run_until(0.5)
    world.targets['t0'].log = []
    poll_targets(world.vms['vm0'])
    world.run_until(0.6)
    for number in range(4):
        world.send('vm0', 1, StatementKind.READ)
        world.run_until(1.7 + 1.2 * number)
    assert world.find_primary().name != 't0'
    assert [value for _, value in world.find_primary().log] == ['new']


def test_vm_that_had_not_polled_a_target_does_not_count_its_shorter_log():
    # t0 and t2 held a commit that t1 lacked, and t2 lost it. A VM that had never polled t2 has
    # nothing to compare its log with, and the record of the restart is late.
    world = World(vms=2)
    world.connect('vm0', 1, 'orders')
    world.connect('vm1', 1, 'prices')
    world.run_until(0.2)
    world.cut('t0', 't1', CUT_S)
    written = world.send('vm0', 1, StatementKind.WRITE, 'new')
    world.run_until(0.5)
    assert is_success(written)
    world.cut('vm1', 't0', CUT_S)
    world.cut('t2', 't0', CUT_S)
    world.wipe('t2', 0.2, CUT_S)
    world.run_until(written.answered_at + MAX_AGE_S + 0.1)
    read = world.send('vm1', 1, StatementKind.READ)
    world.run_until(world.now + 1.2)
    assert not is_success(read) or 'new' in read.answer.rows
