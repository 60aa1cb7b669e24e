"""Fences and commands to targets when a promotion attempt ends."""

import dataclasses

import pytest
from test_pooler_lease import build_state, grant_lease, promote, select_effects

from cassiaseam.pooler import failover
from cassiaseam.pooler.commands import ReportedStatus
from cassiaseam.pooler.events import (
    ConnectionLost,
    LeaseRead,
    LeaseRecord,
    LeaseWritten,
    PromotionAnswered,
    TargetChanged,
    WriteLease,
    WriteLog,
    WriteOutcome,
)
from cassiaseam.pooler.quorum import record_status
from cassiaseam.pooler.state import Connection, PromotionStage
from cassiaseam.positions import LogPosition
from cassiaseam.reducer.registry import reduce_event


def list_queued_commands(state):
    """Return the queued commands to the targets of g that are not cancelled."""
    jobs = [job for target in state.groups['g'].targets.values() for job in target.queue]
    return [job.command for job in jobs if not job.cancelled]


def test_fences_stay_when_too_few_targets_could_be_fenced():
    # The VM lifted its fences and released the lease. A resent lift command arrived while the next
    # holder relied on its own fence of that target, and a write was lost.
    state = build_state()
    grant_lease(state, promote(state, 'g', 1), 5, 1)
    group = state.groups['g']
    fenced = ReportedStatus(False, 1, LogPosition(1, 5), 2, 0, 0, 1)
    record_status(group, 'g1', 1.1, fenced, 1.1)
    failover.enter_stage(group.promotion, PromotionStage.FENCE, 1)
    failover.advance_promotion(state, group, 1 + failover.FENCE_TIMEOUT_S + 0.1)
    assert group.promotion is None
    assert list_queued_commands(state) == []


@pytest.mark.parametrize(('age_s', 'lifts'), [(0.1, True), (0.6, False)])
def test_abandoned_fences_are_lifted_under_a_fresh_lease_that_is_not_released(age_s, lifts):
    # A lift command carries no term. As it may be resent for 3 s, it must be sent early enough to
    # arrive before another VM may take over.
    state = build_state()
    group = state.groups['g']
    group.targets['g0'].unreachable_since = None
    for name in ('g1', 'g2'):
        status = ReportedStatus(False, 1, LogPosition(1, 5), 2, 0, 0, 1)
        record_status(group, name, 0.1, status, 0.1)
    group.fenced_since = -5
    failover.start_promotion(state, group, 'abandoned_fence', True, 1)
    write = select_effects(reduce_event(state, LeaseRead(5, None), 1), WriteLease)[0]
    written = LeaseWritten(write.record, WriteOutcome.WRITTEN, 6)
    effects = reduce_event(state, written, 1 + age_s)
    outcomes = {effect.fields.get('outcome') for effect in effects if isinstance(effect, WriteLog)}
    assert ('done' in outcomes) is lifts
    assert bool(select_effects(effects, WriteLease)) is not lifts
    assert list_queued_commands(state) == []


def test_restart_of_a_target_ends_its_fence():
    # A restart ends a fence, but the target still counted as fenced.
    state = build_state()
    grant_lease(state, promote(state, 'g', 1), 5, 1)
    group = state.groups['g']
    group.promotion.fenced_positions = {'g2': LogPosition(1, 7)}
    record = dataclasses.replace(group.targets['g2'].record, incarnation='2')
    reduce_event(state, TargetChanged(record), 1.1)
    assert group.promotion.fenced_positions == {}


@pytest.mark.parametrize(
    ('answered_at', 'asked_at', 'claims'), [(2.5, 5.4, False), (None, 4.1, False)]
)
def test_reacquire_delay_begins_with_the_answer_or_the_latest_call(answered_at, asked_at, claims):
    # The platform received a call of another VM between two of this VM, less than 3 s apart.
    state = build_state()
    grant_lease(state, promote(state, 'g', 1), 5, 1)
    group = state.groups['g']
    failover.promote(state, group, 'g1', 1.2)
    if answered_at is not None:
        reduce_event(state, PromotionAnswered('g', 'g1', accepted=True), answered_at)
    state.lease.platform_calls = 0
    failover.abort_promotion(state, group, 'test', asked_at - 0.1)
    promote(state, 'g', asked_at)
    record = LeaseRecord('vm1', 'n1', released=True)
    effects = reduce_event(state, LeaseRead(9, record), asked_at)
    assert bool(select_effects(effects, WriteLease)) is claims


@pytest.mark.parametrize(('fenced', 'released'), [(False, True), (True, False)])
def test_planned_promotion_releases_the_lease_unless_it_lifted_fences(fenced, released):
    # Otherwise every planned promotion blocks the lease for the other VMs for seconds.
    state = build_state()
    group = state.groups['g']
    group.targets['g0'].unreachable_since = None
    group.targets['g0'].record = dataclasses.replace(group.targets['g0'].record, leaving=True)
    if fenced:
        status = ReportedStatus(False, 1, LogPosition(1, 5), 2, 0, 0, 1)
        record_status(group, 'g1', 0.1, status, 0.1)
    effects = failover.start_promotion(state, group, 'primary_leaving', True, 1)
    grant_lease(state, effects, 5, 1)
    assert group.promotion.stage is PromotionStage.DEMOTE
    effects = failover.abort_promotion(state, group, 'test', 1.2)
    assert bool(select_effects(effects, WriteLease)) is released


@pytest.mark.parametrize(
    ('stage', 'kept'), [(PromotionStage.FENCE, False), (PromotionStage.AWAIT_PRIMARY, True)]
)
def test_fence_on_a_lost_connection_is_sent_again_before_the_call(stage, kept):
    # The target may have restarted without its fence while the choice of the target waited.
    state = build_state()
    grant_lease(state, promote(state, 'g', 1), 5, 1)
    group = state.groups['g']
    group.promotion.fenced_positions = {'g2': LogPosition(1, 7)}
    failover.enter_stage(group.promotion, stage, 1)
    group.promotion.sent_at = 1
    connection = Connection(77, 'g2', 0)
    state.connections[77] = group.targets['g2'].connections[77] = connection
    reduce_event(state, ConnectionLost(77, 'reset'), 1.1)
    assert ('g2' in group.promotion.fenced_positions) is kept
    assert (group.promotion.sent_at == 1) is kept
