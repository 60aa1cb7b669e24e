"""The promotion lease: one lease for all groups of a VM, and how it is claimed and lost."""

import dataclasses
import random

import pytest

from cassiaseam.pooler import candidates, discovery, duty, failover, store_era, targets, ticks
from cassiaseam.pooler.commands import Demote, Fence, LiftFence
from cassiaseam.pooler.events import (
    CallPromotion,
    LeaseRead,
    LeaseReadFailed,
    LeaseRecord,
    LeaseWritten,
    PromotionAnswered,
    ReadLease,
    StoreListed,
    StoreReachability,
    TargetsListed,
    WriteLease,
    WriteOutcome,
)
from cassiaseam.pooler.model import TargetRecord
from cassiaseam.pooler.state import PoolerState, PromotionStage
from cassiaseam.positions import LogPosition
from cassiaseam.reducer.registry import reduce_event

HANDLER_MODULES = (discovery, failover, store_era, targets, ticks)
GROUPS = ('g', 'h')


def build_state():
    """Return the state of a VM whose groups have lost their primaries."""
    state = PoolerState('vm0', 'p0', random.Random(1))
    # The VM has followed the store for long enough to take over a lease.
    reduce_event(state, StoreListed(5), -2 * duty.LEASE_TAKEOVER_S)
    reduce_event(state, StoreReachability(True), 0)
    records = tuple(
        TargetRecord(f'{group}{number}', group, '10.0.0.1', 1, 'p0', 5, False, number == 0, '1')
        for group in GROUPS
        for number in range(3)
    )
    reduce_event(state, TargetsListed(records), 0)
    for name in GROUPS:
        group = state.groups[name]
        group.monitor.primary = f'{name}0'
        group.targets[f'{name}0'].unreachable_since = 0
    return state


def promote(state, name, now):
    return failover.start_promotion(state, state.groups[name], 'primary_failed', False, now)


def select_effects(effects, kind):
    return [effect for effect in effects if isinstance(effect, kind)]


def grant_lease(state, effects, revision, now):
    """Answer the read and the claim in `effects`, and return the effects that follow."""
    if not select_effects(effects, ReadLease):
        return []
    writes = select_effects(
        reduce_event(state, LeaseRead(revision, state.lease.record), now), WriteLease
    )
    written = LeaseWritten(writes[0].record, WriteOutcome.WRITTEN, revision + 1)
    return reduce_event(state, written, now)


def test_groups_of_a_vm_promote_under_one_token():
    # A second claim by the same VM made the next call of the first group carry a lower token than
    # the platform had seen.
    state = build_state()
    grant_lease(state, promote(state, 'g', 1), 5, 1)
    grant_lease(state, promote(state, 'h', 1.5), 6, 1.5)
    assert [state.groups[name].promotion.token for name in GROUPS] == [6, 6]


def test_waiting_groups_share_one_read_and_one_claim():
    state = build_state()
    first = promote(state, 'g', 1)
    second = promote(state, 'h', 1.01)
    assert len(select_effects(first, ReadLease)) == 1
    assert not select_effects(second, ReadLease)
    grant_lease(state, first, 5, 1.02)
    assert [state.groups[name].promotion.token for name in GROUPS] == [6, 6]


OTHER = LeaseRecord('vm1', 'n1', released=False)
CLAIMED = object()
PROCESS = 'p0'
EARLIER_CLAIM = LeaseRecord('vm0', f'{PROCESS}-n0', released=False)


@pytest.mark.parametrize(
    ('received', 'refusal'),
    [
        ([LeaseRead(5, OTHER)], 'another VM holds the duty'),
        ([LeaseReadFailed()], 'the duty record cannot be read'),
        ([LeaseRead(5, None), WriteOutcome.CONFLICT], 'another VM claimed the duty'),
        (
            [LeaseRead(5, None), WriteOutcome.UNKNOWN, LeaseRead(7, OTHER)],
            'the claim was not written',
        ),
        (
            [LeaseRead(5, None), WriteOutcome.UNKNOWN, LeaseReadFailed()],
            'the duty record cannot be read',
        ),
        ([LeaseRead(5, None), WriteOutcome.UNKNOWN, CLAIMED], ''),
        ([LeaseRead(5, LeaseRecord('vm1', 'n1', released=True)), WriteOutcome.WRITTEN], ''),
        ([LeaseRead(5, LeaseRecord('vm0', 'n0', released=False))], 'another VM holds the duty'),
        ([LeaseRead(5, LeaseRecord('vm0', 'n0', released=True)), WriteOutcome.WRITTEN], ''),
        ([LeaseRead(5, EARLIER_CLAIM), WriteOutcome.WRITTEN], ''),
    ],
)
def test_lease_is_refused_while_another_process_may_act(received, refusal):
    # A record of an earlier process of the same VM counted as its own, although a call of that
    # process could still arrive.
    state = build_state()
    state.lease.process_id = PROCESS
    promote(state, 'g', 1)
    own = None
    effects = []
    for event in received:
        if isinstance(event, WriteOutcome):
            event = LeaseWritten(own, event, 6 if event is WriteOutcome.WRITTEN else 0)
        elif event is CLAIMED:
            event = LeaseRead(6, own)
        effects = reduce_event(state, event, 1.1)
        own = next((write.record for write in select_effects(effects, WriteLease)), own)
    promotion = state.groups['g'].promotion
    if refusal:
        assert promotion is None
        assert refusal in {
            effect.fields.get('cause') for effect in effects if hasattr(effect, 'fields')
        }
    else:
        assert promotion.token == 6


@pytest.mark.parametrize(
    ('platform_calls', 'waited_s', 'asks'), [(0, 0, True), (1, 0.5, False), (1, 4.0, True)]
)
def test_new_claim_waits_for_calls_with_the_former_token(platform_calls, waited_s, asks):
    # Otherwise the call could arrive after a call with the higher token of the new claim.
    state = build_state()
    state.lease.platform_calls = platform_calls
    state.lease.last_call_at = 1
    assert bool(select_effects(duty.request_lease(state, 1 + waited_s), ReadLease)) is asks


@pytest.mark.parametrize(('age_s', 'valid'), [(0, True), (1.9, True), (2.1, False)])
def test_lease_is_valid_for_a_limited_time(age_s, valid):
    state = build_state()
    grant_lease(state, promote(state, 'g', 1), 5, 1)
    assert duty.is_lease_valid(state, 1 + age_s) is valid


@pytest.mark.parametrize(('age_s', 'free'), [(0, False), (3.4, False), (3.6, True)])
def test_expired_lease_of_another_vm_is_taken_over(age_s, free):
    state = build_state()
    reduce_event(state, LeaseRead(5, OTHER), 1)
    assert duty.is_lease_available(state, 1 + age_s) is free


@pytest.mark.parametrize(
    ('fenced_positions', 'leaving', 'missing', 'waited_s', 'chosen'),
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
def test_target_behind_another_fenced_target_is_never_promoted(
    fenced_positions, leaving, missing, waited_s, chosen
):
    # A lagging replica was promoted because the up-to-date one was leaving; a target without a
    # record was promoted and replaced 0.4 s later.
    state = build_state()
    grant_lease(state, promote(state, 'g', 1), 5, 1)
    group = state.groups['g']
    group.targets['g0'].unreachable_since = None
    for name in leaving:
        record = group.targets[name].record
        group.targets[name].record = dataclasses.replace(record, leaving=True)
    for name in missing:
        group.targets[name].missing_since = 0
    group.promotion.fenced_positions = {
        name: LogPosition(1, held) for name, held in fenced_positions.items()
    }
    now = group.promotion.stage_started_at + waited_s
    assert candidates.choose_most_up_to_date(group, group.promotion, now) == chosen


def test_fences_of_an_expired_lease_do_not_count_under_the_next_one():
    state = build_state()
    grant_lease(state, promote(state, 'g', 1), 5, 1)
    group = state.groups['g']
    promotion = group.promotion
    promotion.fenced_positions = {'g1': LogPosition(1, 7), 'g2': LogPosition(1, 7)}
    promotion.chosen = 'g1'
    state.lease.token = 0
    effects = failover.call_platform(state, group, 4)
    grant_lease(state, effects, 6, 4)
    assert promotion.token == 7
    assert promotion.fenced_positions == {}


@pytest.mark.parametrize(('may_have_run', 'next_target'), [(True, 'g1'), (False, 'g2')])
def test_unanswered_promotion_is_repeated_for_the_same_target(may_have_run, next_target):
    # A call whose answer was lost had been carried out and had ended the fences. Another target
    # was then promoted without commits that the first one had acknowledged (soak, seed 202).
    state = build_state()
    grant_lease(state, promote(state, 'g', 1), 5, 1)
    group = state.groups['g']
    promotion = group.promotion
    promotion.fenced_positions = {'g1': LogPosition(1, 7), 'g2': LogPosition(1, 7)}
    failover.promote(state, group, 'g1', 1.1)
    answer = PromotionAnswered('g', 'g1', False, 'connection lost', may_have_run)
    reduce_event(state, answer, 1.2)
    promotion.fenced_positions.setdefault('g0', LogPosition(1, 7))
    effects = failover.advance_promotion(state, group, 1.5)
    assert [call.target for call in select_effects(effects, CallPromotion)] == [next_target]


def finish_promotion(state, name, now):
    """Let the platform accept the call for a group, and the promoted target lead."""
    group = state.groups[name]
    group.promotion.fenced_positions = {
        f'{name}1': LogPosition(1, 7),
        f'{name}2': LogPosition(1, 7),
    }
    platform_calls = select_effects(failover.promote(state, group, f'{name}1', now), CallPromotion)
    reduce_event(state, PromotionAnswered(name, f'{name}1', accepted=True), now)
    group.monitor.primary = f'{name}1'
    failover.advance_promotion(state, group, now)
    return platform_calls


@pytest.mark.parametrize(
    ('record', 'waited_s', 'claims'),
    [
        (LeaseRecord('vm1', 'n1', released=True), 0.5, False),
        (LeaseRecord('vm1', 'n1', released=True), 2.9, False),
        (LeaseRecord('vm1', 'n1', released=True), 3.1, True),
        (None, 0.5, True),
    ],
    ids=['at once', 'within the lease', 'after the lease', 'nobody in between'],
)
def test_vm_does_not_reacquire_the_lease_soon_after_another_vm_held_it(record, waited_s, claims):
    # Promotions by vm0, vm1 and vm0 reached the platform within 2.3 s: two VMs acted in turn.
    state = build_state()
    grant_lease(state, promote(state, 'g', 1), 5, 1)
    assert finish_promotion(state, 'g', 1.2)
    own = dataclasses.replace(state.lease.record, released=True)
    now = 1.2 + waited_s
    asked = promote(state, 'h', now)
    assert select_effects(asked, ReadLease)
    effects = reduce_event(state, LeaseRead(9, record or own), now)
    assert bool(select_effects(effects, WriteLease)) is claims


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
def test_unanswered_call_blocks_release_and_renewal_of_the_lease(
    may_arrive, waited_s, released, asks
):
    # An unanswered call with token 6 counted as finished: the VM released the lease and claimed it
    # again, so that the call could reach the platform after one with a higher token.
    state = build_state()
    grant_lease(state, promote(state, 'g', 1), 5, 1)
    group = state.groups['g']
    group.promotion.fenced_positions = {'g1': LogPosition(1, 7), 'g2': LogPosition(1, 7)}
    failover.promote(state, group, 'g1', 1.1)
    given_up = PromotionAnswered(
        'g', 'g1', False, 'no answer in time', may_arrive, may_arrive=may_arrive
    )
    reduce_event(state, given_up, 1.1)
    now = 1.1 + waited_s
    effects = failover.abort_promotion(state, group, 'test', now)
    assert bool(select_effects(effects, WriteLease)) is released
    state.lease.request_sent_at = None
    assert bool(select_effects(duty.request_lease(state, now), ReadLease)) is asks


def test_call_is_only_sent_while_the_lease_is_valid():
    # A call that waited for its connection was sent after another VM had taken over.
    state = build_state()
    grant_lease(state, promote(state, 'g', 1), 5, 1)
    effects = failover.promote(state, state.groups['g'], 'g1', 1.5)
    assert [call.send_by for call in select_effects(effects, CallPromotion)] == [
        1 + duty.LEASE_VALIDITY_S
    ]


@pytest.mark.parametrize(('waited_s', 'held'), [(1.9, True), (2.1, False)])
def test_claim_confirmed_after_expiry_is_not_used(waited_s, held):
    # A VM that was paused before it read the answer to its claim acted on the expired lease.
    state = build_state()
    asked = promote(state, 'g', 1)
    assert select_effects(asked, ReadLease)
    write = select_effects(reduce_event(state, LeaseRead(5, None), 1), WriteLease)[0]
    reduce_event(state, LeaseWritten(write.record, WriteOutcome.WRITTEN, 6), 1 + waited_s)
    assert bool(state.lease.token) is held
    assert (state.groups['g'].promotion is not None) is held


@pytest.mark.parametrize('stage', ['DEMOTE', 'CATCH_UP', 'FENCE', 'PROMOTE'])
@pytest.mark.parametrize(('age_s', 'acts'), [(1.0, True), (2.1, False), (4.0, False)])
def test_vm_sends_nothing_to_targets_after_its_lease_has_expired(stage, age_s, acts):
    # A VM that aborted its attempt 4 s after its claim lifted fences that its successor relied on;
    # other VMs take over after 3.5 s.
    state = build_state()
    grant_lease(state, promote(state, 'g', 1), 5, 1)
    group = state.groups['g']
    promotion = group.promotion
    promotion.final_position = LogPosition(1, 7)
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
        assert promotion.stage is PromotionStage.AWAIT_LEASE
        assert select_effects(effects, ReadLease)
        assert not sent
