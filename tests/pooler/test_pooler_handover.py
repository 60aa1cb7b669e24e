"""Lease handover while calls, claims and fences of the former holder are in flight."""

import pytest
from pooler_world import World
from test_pooler_lease import build_state, select_effects
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
from virtual_calls import DELIVERY

from cassiaseam.pooler import failover
from cassiaseam.pooler.commands import Demote, LiftFence, ReportedStatus, StatementKind
from cassiaseam.pooler.duty import LEASE_VALIDITY_S
from cassiaseam.pooler.events import LeaseRead, LeaseWritten, WriteLease, WriteOutcome
from cassiaseam.pooler.quorum import record_status
from cassiaseam.pooler.state import PromotionStage
from cassiaseam.positions import LogPosition

# Sessions that write without a pause, so that some write always waits for a majority.
BUSY_SESSIONS = range(11, 17)


def keep_writing(world, callers, vm, session):
    """Write values on a session, one after the other."""
    if world.now > CALLERS_UNTIL_S or (vm, session) in world.closed:
        return
    value = f'{vm}-{session}-{next(callers.numbers)}'
    call = world.send(vm, session, StatementKind.WRITE, value)

    def go_on():
        callers.record_outcome(call, [value], [])
        world.after(0.001, lambda: keep_writing(world, callers, vm, session))

    callers.wait(call, go_on)


def run_deployment(faults, vms=2, busy=''):
    """Run a deployment with callers on every VM and faults at given times."""
    world = World(vms=vms, seed=1)
    world.run_until(0.5)
    callers = Callers(world)
    for session in BUSY_SESSIONS if busy else ():
        world.connect(busy, session, 'orders')
        keep_writing(world, callers, busy, session)
    for fault in faults:
        world.at(fault[1], lambda fault_arguments=fault: apply_fault(world, fault_arguments))
    world.run_until(END_S)
    return world, callers


# vm0 claims the lease first because vm1 cannot reach the store at that time.
FIRST_HOLDER = [('cut_store', 1.0, 'vm1', 1.5), ('crash', 1.1, 't0', 9.0)]
# vm0 fences only t1 and freezes. vm1 takes over, fences t1 and t2, and promotes t2, which has the
# highest position. vm0 resumes before t2 leads. vm2 serves callers from t0 throughout, and t1 can
# receive from t0.
OVERTAKEN_FENCES = [
    ('cut_store', 0.9, 'vm2', 10.0),
    ('cut_store', 0.9, 'vm1', 1.5),
    ('cut_targets', 1.0, 't0', 't1', 4.0),
    ('cut_vm', 1.1, 'vm0', 't0', 9.0),
    ('cut_vm', 1.1, 'vm0', 't2', 9.0),
    ('cut_vm', 2.0, 'vm1', 't0', 9.0),
    ('slow_promotions', 1.0, 1.5, 9.0),
    ('freeze', 2.8, 'vm0', 4.0),
]


@pytest.mark.parametrize(
    ('faults', 'vms', 'busy'),
    [
        # The call arrives seconds after the platform has seen the token of the next holder.
        pytest.param(
            [
                *FIRST_HOLDER,
                ('hold_promotions', 1.0, 'vm0', DELIVERY, 7.0),
                ('cut_store', 3.0, 'vm0', 9.0),
            ],
            2,
            '',
            id='late-call-after-takeover',
        ),
        # The same VM claims the lease again after its calls have ended.
        pytest.param(
            [
                *FIRST_HOLDER,
                ('hold_promotions', 1.0, 'vm0', DELIVERY, 7.0),
                ('hold_promotions', 3.9, 'vm0', DELIVERY, 0.0),
            ],
            2,
            '',
            id='late-call-after-own-claim',
        ),
        # Only the first call is delayed. The second one finds its target down, and the fence stage
        # of the next attempt ends with the release of the lease.
        pytest.param(
            [
                *FIRST_HOLDER,
                ('hold_promotions', 1.0, 'vm0', DELIVERY, 6.0),
                ('hold_promotions', 1.8, 'vm0', DELIVERY, 0.0),
                ('crash', 1.75, 't1', 3.0),
            ],
            2,
            '',
            id='late-call-after-release',
        ),
        # The VM is suspended while connected; it writes the call when it resumes.
        pytest.param(
            [*FIRST_HOLDER, ('freeze_holder', 1.0, 'vm0', 'call', 5.0)],
            2,
            '',
            id='frozen-before-call-is-written',
        ),
        # The same for the result of a claim, which is read late.
        pytest.param(
            [*FIRST_HOLDER, ('freeze_holder', 1.0, 'vm0', 'claimed', 5.0)],
            2,
            '',
            id='frozen-after-claim',
        ),
        # The claim itself is written when the VM resumes.
        pytest.param(
            [*FIRST_HOLDER, ('freeze_holder', 1.0, 'vm0', 'claim', 5.0)],
            2,
            '',
            id='frozen-before-claim',
        ),
        # The store applies the claim after the VM has abandoned it.
        pytest.param(
            [*FIRST_HOLDER, ('late_duty_writes', 1.0, 4.0, 1)], 2, '', id='claim-written-late'
        ),
        pytest.param(OVERTAKEN_FENCES, 3, '', id='fences-lifted-under-expired-claim'),
        # A write lacks a majority because of the fences of vm1. vm0 lifts one of them, t1 receives
        # the write, it is acknowledged, and t2 is promoted without it.
        pytest.param(OVERTAKEN_FENCES, 3, 'vm2', id='write-lost-by-lifted-fences'),
        # The promotion of t1 ends the fence of t2, which cannot reach t1 and receives from t0
        # again: a pending write is acknowledged although the new primary t1 lacks it.
        pytest.param(
            [('cut_vm', 2.0, 'vm0', 't0', 5.5), ('cut_targets', 2.5, 't1', 't2', 3.0)],
            3,
            'vm2',
            id='write-lost-by-fence-that-ends-out-of-reach',
        ),
    ],
)
def test_former_holder_does_not_disturb_the_next_one(faults, vms, busy):
    world, callers = run_deployment(faults, vms, busy)
    assert world.platform.arrivals
    check_tokens(world)
    check_turns(world)
    check_fences(world)
    check_late_commits(world, callers)
    check_promises(world, callers)


def list_disruptive_commands(state):
    """Return the types of queued commands that could disturb a promotion of another VM."""
    jobs = [job for target in state.groups['g'].targets.values() for job in target.queue]
    return {type(job.command) for job in jobs} & {Demote, LiftFence}


def claim_late(state, cause, planned, answered_at):
    """Claim the lease at 1 s and handle the successful result at `answered_at`."""
    group = state.groups['g']
    failover.start_promotion(state, group, cause, planned, 1)
    writes = select_effects(failover.handle_lease_record(state, LeaseRead(5, None), 1), WriteLease)
    written = LeaseWritten(writes[0].record, WriteOutcome.WRITTEN, 6)
    failover.handle_lease_write(state, written, answered_at)
    return group


def fence_targets(state):
    """Make the replicas report fences above the current term since 0 s."""
    group = state.groups['g']
    for name in ('g1', 'g2'):
        status = ReportedStatus(False, 1, LogPosition(1, 5), 2, 0, 0, 1)
        record_status(group, name, 0.1, status, 0.1)
    group.fenced_since = 0
    return group


# Time at which the lease claimed at 1 s has expired; other VMs take over 3.5 s after the claim.
EXPIRED_S = 1 + LEASE_VALIDITY_S + 1.5


@pytest.mark.parametrize(
    ('cause', 'planned'),
    [('abandoned_fence', True), ('primary_leaving', True), ('primary_failed', False)],
)
def test_claim_answered_after_expiry_sends_no_commands_to_targets(cause, planned):
    # A VM that was suspended between its claim and the answer lifted fences of the next holder, or
    # demoted targets concurrently with it.
    state = build_state()
    group = fence_targets(state)
    if cause != 'primary_failed':
        group.targets['g0'].unreachable_since = None
    claim_late(state, cause, planned, EXPIRED_S)
    assert list_disruptive_commands(state) == set()


@pytest.mark.parametrize(
    ('stage', 'began_at'),
    [
        (PromotionStage.DEMOTE, 4.4),
        (PromotionStage.CATCH_UP, 3.0),
        (PromotionStage.FENCE, 3.5),
        (PromotionStage.FENCE, 1.5),
    ],
    ids=['demote', 'catch-up-ends', 'fence', 'fence-ends'],
)
def test_stage_under_an_expired_lease_sends_no_commands_to_targets(stage, began_at):
    # The stages of a planned promotion take up to 4 s; other VMs take over after 3.5 s.
    state = build_state()
    group = fence_targets(state)
    claim_late(state, 'primary_failed', False, 1.1)
    for target in group.targets.values():
        target.queue.clear()
    if stage is PromotionStage.CATCH_UP:
        group.promotion.final_position = LogPosition(1, 9)
    failover.enter_stage(group.promotion, stage, began_at)
    failover.advance_promotion(state, group, EXPIRED_S)
    if group.promotion is not None:
        failover.advance_promotion(state, group, EXPIRED_S + 0.01)
    assert list_disruptive_commands(state) == set()
