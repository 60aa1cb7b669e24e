"""Fences, and what a VM sends to targets, when an attempt to promote ends."""

import dataclasses

import pytest
from test_pooler_lease import build_state, claim, find, promote

from cassiaseam.pooler import failover
from cassiaseam.pooler.commands import ReportedStatus
from cassiaseam.pooler.events import (
    DutyRead,
    DutyRecord,
    DutyWritten,
    PromotionAnswered,
    TargetChanged,
    WriteDuty,
    WriteLog,
    WriteOutcome,
)
from cassiaseam.pooler.quorum import note_status
from cassiaseam.pooler.state import PromotionStage
from cassiaseam.positions import LogPosition
from cassiaseam.reducer.registry import reduce_event


def list_waiting(state):
    """Return the commands to the targets of g that still leave."""
    jobs = [job for target in state.groups['g'].targets.values() for job in target.queue]
    return [job.command for job in jobs if not job.cancelled]


def test_fences_stay_when_too_few_targets_could_be_fenced():
    # The VM lifted its fences and released the duty: a command to lift that was resent arrived
    # when the next holder counted on its own fence of that target, and a write was lost.
    state = build_state()
    claim(state, promote(state, 'g', 1), 5, 1)
    group = state.groups['g']
    fenced = ReportedStatus(False, 1, LogPosition(1, 5), 2, 0, 0, 1)
    note_status(group, 'g1', 1.1, fenced, 1.1)
    failover.enter_stage(group.promotion, PromotionStage.FENCE, 1)
    failover.advance_promotion(state, group, 1 + failover.FENCE_LIMIT_S + 0.1)
    assert group.promotion is None
    assert list_waiting(state) == []


@pytest.mark.parametrize(('age_s', 'lifts'), [(0.1, True), (0.6, False)])
def test_abandoned_fences_are_lifted_under_a_fresh_claim_that_is_not_released(age_s, lifts):
    # A command to lift a fence has no term: resent for 3 s it must arrive before others may act.
    state = build_state()
    group = state.groups['g']
    group.targets['g0'].failing_since = None
    for name in ('g1', 'g2'):
        status = ReportedStatus(False, 1, LogPosition(1, 5), 2, 0, 0, 1)
        note_status(group, name, 0.1, status, 0.1)
    group.fenced_since = -5
    failover.start_promotion(state, group, 'abandoned_fence', True, 1)
    write = find(reduce_event(state, DutyRead(5, None), 1), WriteDuty)[0]
    written = DutyWritten(write.record, WriteOutcome.WRITTEN, 6)
    effects = reduce_event(state, written, 1 + age_s)
    outcomes = {it.fields.get('outcome') for it in effects if isinstance(it, WriteLog)}
    assert ('done' in outcomes) is lifts
    assert bool(find(effects, WriteDuty)) is not lifts
    assert list_waiting(state) == []


def test_grant_of_a_target_ends_with_its_restart():
    # A fence ends with a restart; the target was counted as fenced all the same.
    state = build_state()
    claim(state, promote(state, 'g', 1), 5, 1)
    group = state.groups['g']
    group.promotion.grants = {'g2': LogPosition(1, 7)}
    record = dataclasses.replace(group.targets['g2'].record, incarnation='2')
    reduce_event(state, TargetChanged(record), 1.1)
    assert group.promotion.grants == {}


@pytest.mark.parametrize(
    ('answered_at', 'asked_at', 'claims'), [(2.5, 5.4, False), (None, 4.1, False)]
)
def test_return_pause_begins_with_the_answer_or_the_latest_call(answered_at, asked_at, claims):
    # The platform saw the call of the other VM between two of this one, less than 3 s apart.
    state = build_state()
    claim(state, promote(state, 'g', 1), 5, 1)
    group = state.groups['g']
    failover.promote(state, group, 'g1', 1.2)
    if answered_at is not None:
        reduce_event(state, PromotionAnswered('g', 'g1', accepted=True), answered_at)
    state.duty.calls = 0
    failover.give_up(state, group, 'test', asked_at - 0.1)
    promote(state, 'g', asked_at)
    record = DutyRecord('vm1', 'n1', released=True)
    effects = reduce_event(state, DutyRead(9, record), asked_at)
    assert bool(find(effects, WriteDuty)) is claims


@pytest.mark.parametrize(('fenced', 'released'), [(False, True), (True, False)])
def test_planned_promotion_releases_the_duty_unless_it_lifted_fences(fenced, released):
    # Every planned promotion would keep the duty from the other VMs for seconds.
    state = build_state()
    group = state.groups['g']
    group.targets['g0'].failing_since = None
    group.targets['g0'].record = dataclasses.replace(group.targets['g0'].record, leaving=True)
    if fenced:
        status = ReportedStatus(False, 1, LogPosition(1, 5), 2, 0, 0, 1)
        note_status(group, 'g1', 0.1, status, 0.1)
    effects = failover.start_promotion(state, group, 'primary_leaving', True, 1)
    claim(state, effects, 5, 1)
    assert group.promotion.stage is PromotionStage.DEMOTE
    effects = failover.give_up(state, group, 'test', 1.2)
    assert bool(find(effects, WriteDuty)) is released
