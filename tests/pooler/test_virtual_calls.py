"""Delayed platform calls in the virtual deployment, on which the property tests rely."""

import dataclasses
import math
from types import SimpleNamespace

import pytest
import virtual_calls
from fake_target import GROUP
from pooler_world import World
from virtual_calls import CONNECTION, DELIVERY

from cassiaseam.pooler.events import CallPromotion, WriteLog
from cassiaseam.store_revisions import join_revision

CALL = CallPromotion(GROUP, 't1', 'vm0', 6, send_by=math.inf)
CALL_AT_S = 0.5


def make_call(monkeypatch, faults=(), send_by=math.inf, timeout_s=None):
    """Make a promotion call; return its arrival times, and its outcomes with their times."""
    monkeypatch.setattr(virtual_calls, 'DELIVERY_TIMEOUT_S', timeout_s)
    world = World(vms=1)
    world.run_until(CALL_AT_S)
    vm = world.vms['vm0']
    received = []
    monkeypatch.setattr(
        vm, 'dispatch', lambda event: received.append((world.now - CALL_AT_S, event))
    )
    for kind, *arguments in faults:
        getattr(world, kind)('vm0', *arguments)
    virtual_calls.call_promotion(vm, dataclasses.replace(CALL, send_by=send_by))
    world.run_until(CALL_AT_S + 8)
    answers = [(at, event) for at, event in received if getattr(event, 'target', '') == 't1']
    answers = [(at, event) for at, event in answers if not isinstance(event, WriteLog)]
    arrived = [arrival.at - CALL_AT_S for arrival in world.platform.arrivals]
    return arrived, answers


@pytest.mark.parametrize(
    ('faults', 'options', 'arrives_s', 'answered_s', 'accepted', 'may_have_run'),
    [
        ([], {}, 0.012, 0.016, True, False),
        # Delayed before it is written, but written in time.
        ([('hold_promotions', CONNECTION, 0.5)], {}, 0.512, 0.516, True, False),
        # Not written within the connect timeout: it never arrives.
        ([('hold_promotions', CONNECTION, 3.0)], {}, None, 1.0, False, False),
        # Written and delayed: it arrives after the call timed out on the VM.
        ([('hold_promotions', DELIVERY, 3.0)], {}, 3.004, 1.5, False, True),
        ([('hold_promotions', DELIVERY, 3.0)], {'timeout_s': 0.5}, None, 0.508, False, True),
        ([('hold_promotions', DELIVERY, 0.4)], {'timeout_s': 0.5}, 0.404, 0.408, True, False),
        # The connection is established while the VM is suspended; the call is written on resume.
        ([('freeze', 3.0)], {}, 3.004, 3.0, False, True),
        ([('freeze', 3.0)], {'send_by': CALL_AT_S + 2.9}, None, 3.0, False, False),
        ([('freeze', 1.2)], {'send_by': CALL_AT_S + 2.9}, 1.204, 1.208, True, False),
        (
            [('hold_promotions', CONNECTION, 0.5)],
            {'send_by': CALL_AT_S + 0.4},
            None,
            0.508,
            False,
            False,
        ),
    ],
)
def test_call_delivery_and_outcome_follow_the_faults(
    monkeypatch, faults, options, arrives_s, answered_s, accepted, may_have_run
):
    arrived, answers = make_call(monkeypatch, faults, **options)
    assert arrived == ([] if arrives_s is None else [pytest.approx(arrives_s, abs=0.002)])
    assert len(answers) == 1
    at, answer = answers[0]
    assert at == pytest.approx(answered_s, abs=0.002)
    assert (answer.accepted, answer.may_have_run) == (accepted, may_have_run)


@pytest.mark.parametrize(('name', 'late'), [('t0', True), ('t1', False)])
def test_commit_on_a_replaced_primary_is_detected(name, late):
    world = World()
    world.platform.promote(world.targets['t1'])
    world.targets[name].commit(['a'])
    assert ('a' in world.late_commits) is late


@pytest.mark.parametrize(('late_s', 'changed_first'), [(0.0, False), (4.0, False), (4.0, True)])
def test_delayed_duty_write_is_applied_only_if_its_condition_holds(late_s, changed_first):
    world = World(vms=1)
    platform = world.platform
    platform.late_duty_writes(late_s, 1)
    answers = []
    call = SimpleNamespace(vm=world.vms['vm0'], answer=answers.append)
    record = SimpleNamespace(released=False)
    platform.write_duty(call, SimpleNamespace(record=record, revision=0))
    if changed_first:
        platform.duty_revision = 9
    world.run_until(5)
    assert not answers
    assert platform.duty_revision == (9 if changed_first else join_revision(1, 2))
    assert platform.lease is (None if changed_first else record)
