"""Fences that end before the promotion that relies on them shows: restarts and unreached targets.

Each test guards against acknowledging a write of the former primary that the promoted target lacks
(LOST, rule ONE).
"""

import dataclasses
import os

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from pooler_world import GROUP, World, is_success, poll_targets
from test_pooler_promises import (
    CALLERS_UNTIL_S,
    END_S,
    Callers,
    apply_fault,
    check_fences,
    check_late_commits,
    check_promises,
    check_tokens,
    check_turns,
)
from test_pooler_quorum import FAR, NEAR, PRIMARY, build_group, follows, leads

from cassiaseam.pooler import fencing, quorum
from cassiaseam.pooler.commands import StatementKind
from cassiaseam.pooler.datagrams import PeerProtocol, decode_datagram
from cassiaseam.pooler.duty import LEASE_TAKEOVER_S
from cassiaseam.pooler.events import TargetChanged
from cassiaseam.pooler.evidence.fence_history import FENCE_RELIANCE_S, LIFT_DELIVERY_S
from cassiaseam.pooler.notices import decisions
from cassiaseam.pooler.notices.events import FencesLifted, PromotionNotice, SendNotice
from cassiaseam.pooler.notices.messages import build_message
from cassiaseam.positions import LogPosition
from cassiaseam.reducer.registry import reduce_event

# Sessions that write steadily, so that some write always waits for a majority.
BUSY_SESSIONS = range(11, 15)
PAUSE_S = 0.01
COMMIT = LogPosition(1, 9)
HOLDERS = [(PRIMARY, 5, leads(1, 9)), (NEAR, 5, follows(1, 9))]
FENCED = (NEAR, 2, follows(1, 8, 2))
# Statuses in the order of their arrival, and whether the commit is acknowledged at 5.
STATUSES = {
    'never fenced': (HOLDERS, True),
    'fence ended': ([FENCED, *HOLDERS], False),
    'fence ended long ago': ([(NEAR, 5 - FENCE_RELIANCE_S - 0.1, FENCED[2]), *HOLDERS], True),
    'fence of the same term again': (
        [(NEAR, 0, FENCED[2]), (NEAR, 1, follows(1, 8)), (NEAR, 4, FENCED[2]), *HOLDERS],
        False,
    ),
    'fence reported for long': ([(NEAR, 0, FENCED[2]), (NEAR, 4, FENCED[2]), *HOLDERS], True),
    'late report of an older poll': ([*HOLDERS, FENCED], True),
    'newer term is known': ([*HOLDERS, (FAR, 5, leads(2, 8))], False),
    'newer term of a replica': ([*HOLDERS, (FAR, 5, follows(2, 8))], False),
    'another target was fenced': ([(FAR, 4, follows(1, 8, 2)), *HOLDERS], True),
}


@pytest.mark.parametrize('case', STATUSES, ids=str)
def test_commit_is_not_acknowledged_by_a_target_whose_fence_ended(case):
    statuses, expected = STATUSES[case]
    group = build_group(statuses)
    assert quorum.has_commit_quorum(group, COMMIT, 5) is expected
    assert quorum.can_acknowledge(group, 5) is expected


# The term of a fence may be above the next term, after attempts that ended.
@pytest.mark.parametrize('fenced_term', [2, 5])
def test_promotion_ends_the_promises_of_all_fences_that_it_used(fenced_term):
    # Otherwise writes at the new primary wait until the promises are over.
    fenced = follows(1, 8, fenced_term)
    promoted = [(NEAR, 2, leads(2, 9)), (FAR, 2, follows(2, 9))]
    group = build_group([(NEAR, 1, fenced), (FAR, 1, fenced), *promoted])
    assert quorum.has_commit_quorum(group, LogPosition(2, 9), 2)
    assert quorum.can_acknowledge(group, 2)


NOTICE = PromotionNotice(GROUP, FAR, 2, 1, 7, 3.0)
OLDER_NOTICE = dataclasses.replace(NOTICE, fencing_token=6, valid_s=0.5)
LED_BY_FAR = (FAR, 5, leads(2, 9))
# Notices as (time, notice), and whether writes of term 1 are acknowledged at 5.
NOTICES = {
    'none': ([], True),
    'of a promotion': ([(4, NOTICE)], False),
    'of a promotion that is over': ([(1, NOTICE)], True),
    'of the known term': ([(4, dataclasses.replace(NOTICE, term=1, base_term=0))], True),
    'an older one arrives later': ([(4, NOTICE), (4.1, OLDER_NOTICE)], False),
    'fences were lifted later': ([(4, NOTICE), (4.1, FencesLifted(GROUP, 2, 8))], True),
    'fences were lifted before': ([(4, NOTICE), (4.1, FencesLifted(GROUP, 2, 6))], False),
    'lift under the same claim': ([(4, NOTICE), (4.1, FencesLifted(GROUP, 2, 7))], False),
    'lift of a fence seen here': ([(4, FencesLifted(GROUP, 2, 8))], True),
}


def build_state_with(group):
    """Return the state of a VM with one group."""
    state = World(vms=1).vms['vm0'].state
    state.groups[GROUP] = group
    return state


HANDLERS = {
    PromotionNotice: decisions.handle_promotion_notice,
    FencesLifted: decisions.handle_lifted_fences,
}


@pytest.mark.parametrize('case', NOTICES, ids=str)
def test_vm_that_is_told_of_a_promotion_acknowledges_no_older_commit(case):
    notices, expected = NOTICES[case]
    seen = [FENCED] if case == 'lift of a fence seen here' else []
    group = build_group([*seen, *HOLDERS])
    state = build_state_with(group)
    for at, notice in notices:
        HANDLERS[type(notice)](state, notice, at)
    assert quorum.has_commit_quorum(group, COMMIT, 5) is expected
    assert quorum.can_acknowledge(group, 5) is expected


@pytest.mark.parametrize('was_seen_fenced', [False, True])
def test_notice_allows_commits_of_the_promoted_target(was_seen_fenced):
    # The term of the fences may be above the next term.
    group = build_group([(NEAR, 3, follows(1, 8, 5))] if was_seen_fenced else [])
    state = build_state_with(group)
    decisions.handle_promotion_notice(state, dataclasses.replace(NOTICE, term=5), 4)
    for name, started_at, status in [LED_BY_FAR, (NEAR, 5, follows(2, 9))]:
        quorum.record_status(group, name, started_at, status, started_at)
    assert quorum.has_commit_quorum(group, LogPosition(2, 9), 5)


@pytest.mark.parametrize(('reported_after_s', 'waits'), [(0.1, False), (1.1, True)])
def test_fence_that_is_reported_while_it_is_lifted_is_not_remembered(reported_after_s, waits):
    # A poll that was answered before the lift arrived made writes wait for seconds.
    assert LIFT_DELIVERY_S < 1.1
    group = build_group([FENCED])
    decisions.handle_lifted_fences(build_state_with(group), FencesLifted(GROUP, 2, 8), 2)
    for name, started_at, status in [(NEAR, 2 + reported_after_s, FENCED[2]), *HOLDERS]:
        quorum.record_status(group, name, started_at, status, started_at)
    assert quorum.has_commit_quorum(group, COMMIT, 5) is not waits


def test_record_of_a_restart_does_not_end_the_promise_of_a_fence():
    group = build_group([FENCED, *HOLDERS])
    state = build_state_with(group)
    state.target_groups = dict.fromkeys(group.targets, GROUP)
    record = dataclasses.replace(group.targets[NEAR].record, incarnation='2')
    reduce_event(state, TargetChanged(record), 5)
    assert group.targets[NEAR].fence.term == 2


@pytest.mark.parametrize('notice', [NOTICE, FencesLifted(GROUP, 2, 1 << 62)])
def test_notice_reaches_the_other_vm(notice):
    sent = []
    protocol = PeerProtocol(sent.append, lambda event, **fields: None)
    protocol.transport = type('Transport', (), {'write': lambda self, *args: sent.append(args)})()
    protocol.send_notice(SendNotice(notice, (('10.0.0.2', 1), ('10.0.0.3', 2))))
    assert [address for _, address in sent] == [('10.0.0.2', 1), ('10.0.0.3', 2)]
    event = decode_datagram(sent[0][0], '10.0.0.1', 1)
    if isinstance(event, PromotionNotice):
        assert 0 <= event.valid_s - notice.valid_s <= 0.001
        event = dataclasses.replace(event, valid_s=notice.valid_s)
    assert event == notice


def test_validity_of_a_notice_is_at_most_that_of_a_claim():
    assert build_message(dataclasses.replace(NOTICE, valid_s=LEASE_TAKEOVER_S)).valid_ms == 3500


@pytest.mark.parametrize(('shared', 'limit_s'), [(True, 0.7), (False, 4)])
def test_writes_go_on_after_fences_are_lifted(shared, limit_s):
    # A VM that is told of the lift goes on at once, another one when the promises are over.
    world = World(shared=shared, vms=2)
    world.run_until(0.5)
    for target in ('t1', 't2'):
        world.targets[target].fenced = 2
    for vm in world.vms.values():
        poll_targets(vm)
    world.run_until(0.9)
    other = world.vms['vm1']
    other.execute(fencing.lift_fences(other.state, other.state.groups[GROUP], world.now))
    lifted_at = world.now
    session = 0
    while True:
        session += 1
        world.connect('vm0', session, 'orders')
        call = world.send('vm0', session, StatementKind.WRITE, f'v{session}')
        while call.answer is None:
            world.run_until(world.now + 0.01)
        if is_success(call):
            break
    assert world.now - lifted_at < limit_s


def keep_writing(world, callers, vm, session):
    """Write values on a session with a short pause after each answer."""
    if world.now > CALLERS_UNTIL_S or (vm, session) in world.closed:
        return
    value = f'{vm}-{session}-{next(callers.numbers)}'
    call = world.send(vm, session, StatementKind.WRITE, value)

    def go_on():
        callers.record_outcome(call, [value], [])
        world.after(PAUSE_S, lambda: keep_writing(world, callers, vm, session))

    callers.wait(call, go_on)


def run_with_busy_vms(faults, seed, vms, shared, busy):
    """Run a deployment in which some VMs write without a pause."""
    world = World(vms=vms, seed=seed, shared=shared)
    world.run_until(0.5)
    callers = Callers(world)
    for vm in busy:
        for session in BUSY_SESSIONS:
            world.connect(vm, session, 'orders')
            keep_writing(world, callers, vm, session)
    for fault in faults:
        world.at(fault[1], lambda fault_arguments=fault: apply_fault(world, fault_arguments))
    world.run_until(END_S)
    return world, callers


def check_all(world, callers):
    """Check all promises to callers and those of the lease."""
    check_tokens(world)
    check_turns(world)
    check_fences(world)
    check_late_commits(world, callers)
    check_promises(world, callers)


def list_restart_faults(crash_at, down_s, late_s):
    """Return the faults that let t2 restart while vm0 promotes t1 on the fences of t1 and t2.

    The other VMs reach the former primary, and get the changed record of t2 late.
    """
    return [
        ('cut_vm', 2.0, 'vm0', 't0', 5.5),
        ('slow_promotions', 1.0, 1.0, 9.0),
        ('delay_records', 2.5, 'vm1', late_s, 4.0),
        ('delay_records', 2.5, 'vm2', late_s, 4.0),
        ('crash', crash_at, 't2', down_s),
    ]


@pytest.mark.parametrize(
    ('vms', 'shared', 'busy'),
    [
        # The other VM polls the replicas while they are fenced.
        pytest.param(2, False, ['vm1'], id='fence-seen'),
        # One of the other VMs does not, but is told.
        pytest.param(3, True, ['vm2'], id='told'),
    ],
)
def test_write_is_not_lost_by_a_fence_that_ends_in_a_restart(vms, shared, busy):
    faults = list_restart_faults(2.95, 0.2, 1.5)
    faults = [fault for fault in faults if fault[2] != 'vm2' or vms == 3]
    world, callers = run_with_busy_vms(faults, 1, vms, shared, busy)
    assert world.platform.arrivals
    check_all(world, callers)


@settings(
    max_examples=int(os.environ.get('POOLER_EXAMPLES', '20')),
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
    derandomize='POOLER_EXAMPLES' not in os.environ,
)
@given(
    crash_at=st.floats(2.7, 4.2),
    down_s=st.floats(0.02, 0.8),
    late_s=st.floats(0, 2.5),
    cut=st.none()
    | st.tuples(st.floats(2.5, 4.0), st.sampled_from(['t0', 't2']), st.floats(0.1, 3.0)),
    dropped=st.integers(0, 2),
    seed=st.integers(0, 10**6),
)
def test_no_write_is_lost_when_fences_end_early(crash_at, down_s, late_s, cut, dropped, seed):
    faults = list_restart_faults(crash_at, down_s, late_s)
    if cut is not None:
        cut_at, other, for_s = cut
        faults.append(('cut_targets', cut_at, 't1', other, for_s))
    faults.append(('lose_datagrams', 2.8, dropped))
    world, callers = run_with_busy_vms(faults, seed, 3, True, ['vm1', 'vm2'])
    check_all(world, callers)
