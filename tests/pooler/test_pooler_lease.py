"""The duty to promote: one claim for all groups of a VM, and what loses it."""

import dataclasses
import random

import pytest

from cassiaseam.pooler import candidates, discovery, failover, lease, targets, ticks
from cassiaseam.pooler.commands import Demote, Fence, LiftFence
from cassiaseam.pooler.events import (
    CallPromotion,
    DutyRead,
    DutyReadFailed,
    DutyRecord,
    DutyWritten,
    PromotionAnswered,
    ReadDuty,
    StoreContact,
    TargetsListed,
    WriteDuty,
    WriteOutcome,
)
from cassiaseam.pooler.model import TargetRecord
from cassiaseam.pooler.state import PoolerState, PromotionStage
from cassiaseam.positions import LogPosition
from cassiaseam.reducer.registry import reduce_event

REGISTERED = (discovery, failover, targets, ticks)
GROUPS = ('g', 'h')


def build_state():
    """Return the state of a VM whose groups have lost their primaries."""
    state = PoolerState('vm0', 'p0', random.Random(1))
    reduce_event(state, StoreContact(True), 0)
    records = tuple(
        TargetRecord(f'{group}{number}', group, '10.0.0.1', 1, 'p0', 5, False, number == 0, '1')
        for group in GROUPS
        for number in range(3)
    )
    reduce_event(state, TargetsListed(records), 0)
    for name in GROUPS:
        group = state.groups[name]
        group.monitor.primary = f'{name}0'
        group.targets[f'{name}0'].failing_since = 0
    return state


def promote(state, name, now):
    return failover.start_promotion(state, state.groups[name], 'primary_failed', False, now)


def find(effects, kind):
    return [effect for effect in effects if isinstance(effect, kind)]


def claim(state, effects, revision, now):
    """Answer the read and the claim among effects, and return the effects that follow."""
    if not find(effects, ReadDuty):
        return []
    writes = find(reduce_event(state, DutyRead(revision, state.duty.record), now), WriteDuty)
    written = DutyWritten(writes[0].record, WriteOutcome.WRITTEN, revision + 1)
    return reduce_event(state, written, now)


def test_groups_of_a_vm_promote_under_one_token():
    # A second group claimed anew, so that the next call of the first one carried a lower token
    # than the platform had seen.
    state = build_state()
    claim(state, promote(state, 'g', 1), 5, 1)
    claim(state, promote(state, 'h', 1.5), 6, 1.5)
    assert [state.groups[name].promotion.token for name in GROUPS] == [6, 6]


def test_groups_that_wait_share_the_read_and_the_claim():
    state = build_state()
    first = promote(state, 'g', 1)
    second = promote(state, 'h', 1.01)
    assert len(find(first, ReadDuty)) == 1
    assert not find(second, ReadDuty)
    claim(state, first, 5, 1.02)
    assert [state.groups[name].promotion.token for name in GROUPS] == [6, 6]


OTHER = DutyRecord('vm1', 'n1', released=False)
CLAIMED = object()
PROCESS = 'p0'
EARLIER_CLAIM = DutyRecord('vm0', f'{PROCESS}-n0', released=False)


@pytest.mark.parametrize(
    ('news', 'refusal'),
    [
        ([DutyRead(5, OTHER)], 'another VM holds the duty'),
        ([DutyReadFailed()], 'the duty record cannot be read'),
        ([DutyRead(5, None), WriteOutcome.CONFLICT], 'another VM claimed the duty'),
        (
            [DutyRead(5, None), WriteOutcome.UNKNOWN, DutyRead(7, OTHER)],
            'the claim was not written',
        ),
        (
            [DutyRead(5, None), WriteOutcome.UNKNOWN, DutyReadFailed()],
            'the duty record cannot be read',
        ),
        ([DutyRead(5, None), WriteOutcome.UNKNOWN, CLAIMED], ''),
        ([DutyRead(5, DutyRecord('vm1', 'n1', released=True)), WriteOutcome.WRITTEN], ''),
        ([DutyRead(5, DutyRecord('vm0', 'n0', released=False))], 'another VM holds the duty'),
        ([DutyRead(5, DutyRecord('vm0', 'n0', released=True)), WriteOutcome.WRITTEN], ''),
        ([DutyRead(5, EARLIER_CLAIM), WriteOutcome.WRITTEN], ''),
    ],
)
def test_what_gives_and_refuses_the_duty(news, refusal):
    # A record of an earlier process of the same VM counted as an own one: a call of that process
    # could still arrive.
    state = build_state()
    state.duty.process = PROCESS
    promote(state, 'g', 1)
    own = None
    effects = []
    for event in news:
        if isinstance(event, WriteOutcome):
            event = DutyWritten(own, event, 6 if event is WriteOutcome.WRITTEN else 0)
        elif event is CLAIMED:
            event = DutyRead(6, own)
        effects = reduce_event(state, event, 1.1)
        own = next((write.record for write in find(effects, WriteDuty)), own)
    promotion = state.groups['g'].promotion
    if refusal:
        assert promotion is None
        assert refusal in {
            effect.fields.get('cause') for effect in effects if hasattr(effect, 'fields')
        }
    else:
        assert promotion.token == 6


@pytest.mark.parametrize(
    ('calls', 'waited_s', 'asks'), [(0, 0, True), (1, 0.5, False), (1, 4.0, True)]
)
def test_new_claim_waits_for_a_call_under_the_former_token(calls, waited_s, asks):
    # The call would arrive with a lower token than the platform has seen from the new claim.
    state = build_state()
    state.duty.calls = calls
    state.duty.called_at = 1
    assert bool(find(lease.request_duty(state, 1 + waited_s), ReadDuty)) is asks


@pytest.mark.parametrize(('age_s', 'valid'), [(0, True), (1.9, True), (2.1, False)])
def test_claim_is_valid_for_a_limited_time(age_s, valid):
    state = build_state()
    claim(state, promote(state, 'g', 1), 5, 1)
    assert lease.is_claim_valid(state, 1 + age_s) is valid


@pytest.mark.parametrize(('age_s', 'free'), [(0, False), (3.4, False), (3.6, True)])
def test_abandoned_claim_of_another_vm_is_taken_over(age_s, free):
    state = build_state()
    reduce_event(state, DutyRead(5, OTHER), 1)
    assert lease.is_duty_free(state, 1 + age_s) is free


@pytest.mark.parametrize(
    ('grants', 'leaving', 'missing', 'waited_s', 'chosen'),
    [
        ({'g1': 5, 'g2': 7}, (), (), 0, 'g2'),
        ({'g1': 7, 'g2': 5}, ('g1',), (), 0, ''),
        ({'g1': 7, 'g2': 5}, ('g1',), (), 1, 'g1'),
        ({'g0': 7, 'g1': 7}, (), (), 0, 'g1'),
        ({'g0': 7, 'g1': 5}, (), (), 0, ''),
        ({'g0': 7, 'g1': 5}, (), (), 1, 'g0'),
        ({}, (), (), 1, ''),
        ({'g1': 7, 'g2': 7}, (), ('g1',), 0, 'g2'),
        ({'g1': 7, 'g2': 5}, (), ('g1',), 0, ''),
        ({'g1': 7, 'g2': 5}, (), ('g1',), 1, 'g1'),
    ],
)
def test_target_that_lacks_what_another_fenced_one_holds_is_never_promoted(
    grants, leaving, missing, waited_s, chosen
):
    # A replica that lagged was promoted when the complete one had announced that it leaves; one
    # without a record was promoted and replaced 0.4 s later.
    state = build_state()
    claim(state, promote(state, 'g', 1), 5, 1)
    group = state.groups['g']
    group.targets['g0'].failing_since = None
    for name in leaving:
        record = group.targets[name].record
        group.targets[name].record = dataclasses.replace(record, leaving=True)
    for name in missing:
        group.targets[name].missing_since = 0
    group.promotion.grants = {name: LogPosition(1, held) for name, held in grants.items()}
    now = group.promotion.stage_at + waited_s
    assert candidates.choose_most_complete(group, group.promotion, now) == chosen


def test_fences_of_an_expired_claim_do_not_count_under_the_next_one():
    state = build_state()
    claim(state, promote(state, 'g', 1), 5, 1)
    group = state.groups['g']
    promotion = group.promotion
    promotion.grants = {'g1': LogPosition(1, 7), 'g2': LogPosition(1, 7)}
    promotion.chosen = 'g1'
    state.duty.token = 0
    effects = failover.call_platform(state, group, 4)
    claim(state, effects, 6, 4)
    assert promotion.token == 7
    assert promotion.grants == {}


@pytest.mark.parametrize(('may_have_run', 'next_target'), [(True, 'g1'), (False, 'g2')])
def test_promotion_without_an_answer_is_repeated_for_the_same_target(may_have_run, next_target):
    # A call whose answer was lost had been carried out and ended the fences; another target was
    # promoted on them and lacked what the first one had acknowledged (soak, seed 202).
    state = build_state()
    claim(state, promote(state, 'g', 1), 5, 1)
    group = state.groups['g']
    promotion = group.promotion
    promotion.grants = {'g1': LogPosition(1, 7), 'g2': LogPosition(1, 7)}
    failover.promote(state, group, 'g1', 1.1)
    answer = PromotionAnswered('g', 'g1', False, 'connection lost', may_have_run)
    reduce_event(state, answer, 1.2)
    promotion.grants.setdefault('g0', LogPosition(1, 7))
    effects = failover.advance_promotion(state, group, 1.5)
    assert [call.target for call in find(effects, CallPromotion)] == [next_target]


def finish_promotion(state, name, now):
    """Let the platform accept the call for a group, and the promoted target lead."""
    group = state.groups[name]
    group.promotion.grants = {f'{name}1': LogPosition(1, 7), f'{name}2': LogPosition(1, 7)}
    calls = find(failover.promote(state, group, f'{name}1', now), CallPromotion)
    reduce_event(state, PromotionAnswered(name, f'{name}1', accepted=True), now)
    group.monitor.primary = f'{name}1'
    failover.advance_promotion(state, group, now)
    return calls


@pytest.mark.parametrize(
    ('record', 'waited_s', 'claims'),
    [
        (DutyRecord('vm1', 'n1', released=True), 0.5, False),
        (DutyRecord('vm1', 'n1', released=True), 2.9, False),
        (DutyRecord('vm1', 'n1', released=True), 3.1, True),
        (None, 0.5, True),
    ],
    ids=['at once', 'within the lease', 'after the lease', 'nobody in between'],
)
def test_vm_does_not_take_the_duty_back_while_its_lease_would_run(record, waited_s, claims):
    # Promotions by vm0, vm1 and vm0 reached the platform within 2.3 s: two VMs acted in turn.
    state = build_state()
    claim(state, promote(state, 'g', 1), 5, 1)
    assert finish_promotion(state, 'g', 1.2)
    own = dataclasses.replace(state.duty.record, released=True)
    now = 1.2 + waited_s
    asked = promote(state, 'h', now)
    assert find(asked, ReadDuty)
    effects = reduce_event(state, DutyRead(9, record or own), now)
    assert bool(find(effects, WriteDuty)) is claims


@pytest.mark.parametrize(
    ('may_arrive', 'waited_s', 'released', 'asks'),
    [
        (True, 0.1, False, False),
        (True, 2.9, False, False),
        (True, 3.1, True, True),
        (False, 0.1, True, True),
    ],
    ids=['sent, just given up', 'sent, still pending', 'sent, long ago', 'never sent'],
)
def test_call_without_an_answer_keeps_the_duty(may_arrive, waited_s, released, asks):
    # A call under token 6 that had got no answer counted as over: the VM released the duty and
    # claimed it anew, and the call could reach the platform after one with a higher token.
    state = build_state()
    claim(state, promote(state, 'g', 1), 5, 1)
    group = state.groups['g']
    group.promotion.grants = {'g1': LogPosition(1, 7), 'g2': LogPosition(1, 7)}
    failover.promote(state, group, 'g1', 1.1)
    given_up = PromotionAnswered(
        'g', 'g1', False, 'no answer in time', may_arrive, may_arrive=may_arrive
    )
    reduce_event(state, given_up, 1.1)
    now = 1.1 + waited_s
    effects = failover.give_up(state, group, 'test', now)
    assert bool(find(effects, WriteDuty)) is released
    state.duty.asked_at = None
    assert bool(find(lease.request_duty(state, now), ReadDuty)) is asks


def test_call_may_be_sent_for_as_long_as_the_claim_is_valid():
    # A call that waited for its connection left after other VMs had taken the duty over.
    state = build_state()
    claim(state, promote(state, 'g', 1), 5, 1)
    effects = failover.promote(state, state.groups['g'], 'g1', 1.5)
    assert [call.send_by for call in find(effects, CallPromotion)] == [1 + lease.CLAIM_VALID_S]


@pytest.mark.parametrize(('waited_s', 'held'), [(1.9, True), (2.1, False)])
def test_claim_that_is_confirmed_late_is_not_used(waited_s, held):
    # A VM that was paused while the answer to its claim was on its way went on as the holder.
    state = build_state()
    asked = promote(state, 'g', 1)
    assert find(asked, ReadDuty)
    write = find(reduce_event(state, DutyRead(5, None), 1), WriteDuty)[0]
    reduce_event(state, DutyWritten(write.record, WriteOutcome.WRITTEN, 6), 1 + waited_s)
    assert bool(state.duty.token) is held
    assert (state.groups['g'].promotion is not None) is held


@pytest.mark.parametrize('stage', ['DEMOTE', 'CATCH_UP', 'FENCE', 'PROMOTE'])
@pytest.mark.parametrize(('age_s', 'acts'), [(1.0, True), (2.1, False), (4.0, False)])
def test_vm_sends_nothing_to_targets_after_its_claim_has_expired(stage, age_s, acts):
    # A VM that gave its attempt up 4 s after its claim lifted the fences on which its successor
    # counted; others take over after 3.5 s.
    state = build_state()
    claim(state, promote(state, 'g', 1), 5, 1)
    group = state.groups['g']
    promotion = group.promotion
    promotion.final = LogPosition(1, 7)
    promotion.chosen = 'g1'
    promotion.sent_at = -1
    failover.enter_stage(promotion, PromotionStage[stage], 1)
    effects = failover.advance_promotion(state, group, 1 + age_s)
    waiting = [job for target in group.targets.values() for job in target.queue]
    sent = [
        job.command
        for job in waiting
        if isinstance(job.command, Demote | Fence | LiftFence) and not job.cancelled
    ]
    if acts:
        assert promotion.token
        assert sent
    else:
        assert promotion.stage is PromotionStage.AWAIT_DUTY
        assert find(effects, ReadDuty)
        assert not sent
