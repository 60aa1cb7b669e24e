"""The virtual deployment shows calls that arrive late; otherwise the properties prove nothing."""

import dataclasses
import math
from types import SimpleNamespace

import pytest
import virtual_calls
from fake_target import GROUP
from pooler_world import World
from virtual_calls import CONNECTION, DELIVERY

from cassiaseam.pooler.events import CallPromotion, WriteLog

CALL = CallPromotion(GROUP, 't1', 'vm0', 6, send_by=math.inf)
AT_S = 0.5


def make_call(monkeypatch, faults=(), send_by=math.inf, limit_s=None):
    """Return when a call arrives and what the VM hears of it, and when, after the decision."""
    monkeypatch.setattr(virtual_calls, 'DELIVERY_LIMIT_S', limit_s)
    world = World(vms=1)
    world.run_until(AT_S)
    vm = world.vms['vm0']
    heard = []
    monkeypatch.setattr(vm, 'dispatch', lambda event: heard.append((world.now - AT_S, event)))
    for kind, *arguments in faults:
        getattr(world, kind)('vm0', *arguments)
    virtual_calls.call_promotion(vm, dataclasses.replace(CALL, send_by=send_by))
    world.run_until(AT_S + 8)
    answers = [(at, it) for at, it in heard if getattr(it, 'target', '') == 't1']
    answers = [(at, it) for at, it in answers if not isinstance(it, WriteLog)]
    arrived = [arrival.at - AT_S for arrival in world.platform.arrivals]
    return arrived, answers


@pytest.mark.parametrize(
    ('faults', 'options', 'arrives_s', 'heard_s', 'accepted', 'may_have_run'),
    [
        ([], {}, 0.012, 0.016, True, False),
        # Held before it is written, and let go in time.
        ([('hold_promotions', CONNECTION, 0.5)], {}, 0.512, 0.516, True, False),
        # Not written within the time limit of the connection: it never arrives.
        ([('hold_promotions', CONNECTION, 3.0)], {}, None, 1.0, False, False),
        # Written and held: it arrives after the VM has ended it.
        ([('hold_promotions', DELIVERY, 3.0)], {}, 3.004, 1.5, False, True),
        ([('hold_promotions', DELIVERY, 3.0)], {'limit_s': 0.5}, None, 0.508, False, True),
        ([('hold_promotions', DELIVERY, 0.4)], {'limit_s': 0.5}, 0.404, 0.408, True, False),
        # The connection stands while the VM is suspended; it is written first thing afterwards.
        ([('freeze', 3.0)], {}, 3.004, 3.0, False, True),
        ([('freeze', 3.0)], {'send_by': AT_S + 2.9}, None, 3.0, False, False),
        ([('freeze', 1.2)], {'send_by': AT_S + 2.9}, 1.204, 1.208, True, False),
        (
            [('hold_promotions', CONNECTION, 0.5)],
            {'send_by': AT_S + 0.4},
            None,
            0.508,
            False,
            False,
        ),
    ],
)
def test_call_is_written_and_arrives_at_separate_times(
    monkeypatch, faults, options, arrives_s, heard_s, accepted, may_have_run
):
    arrived, answers = make_call(monkeypatch, faults, **options)
    assert arrived == ([] if arrives_s is None else [pytest.approx(arrives_s, abs=0.002)])
    assert len(answers) == 1
    at, answer = answers[0]
    assert at == pytest.approx(heard_s, abs=0.002)
    assert (answer.accepted, answer.may_have_run) == (accepted, may_have_run)


@pytest.mark.parametrize(('name', 'late'), [('t0', True), ('t1', False)])
def test_commit_of_a_replaced_primary_is_noticed(name, late):
    world = World()
    world.platform.promote(world.targets['t1'])
    world.targets[name].commit(['a'])
    assert ('a' in world.late_commits) is late


@pytest.mark.parametrize(('late_s', 'changed_first'), [(0.0, False), (4.0, False), (4.0, True)])
def test_late_write_of_the_duty_is_carried_out_if_its_condition_holds(late_s, changed_first):
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
    assert platform.duty_revision == (9 if changed_first else 1)
    assert platform.lease is (None if changed_first else record)
