"""Interval of ticks, activity of groups, and isolation of errors in one group."""

import pytest
from fake_target import GROUP
from pooler_world import World, is_success

from cassiaseam.pooler import ticks
from cassiaseam.pooler.commands import StatementKind
from cassiaseam.pooler.peer_state import SampleRequest


def test_error_in_one_group_does_not_stop_the_others(monkeypatch):
    # An exception in a tick stopped all ticks of the daemon: nothing expired or was retried.
    world = World(vms=1)
    world.connect('vm0', 1, 'orders')
    world.send('vm0', 1, StatementKind.WRITE, 'a')
    world.run_until(0.5)
    vm = world.vms['vm0']
    broken = type(vm.state.groups[GROUP])('broken', vm.state.groups[GROUP].monitor)
    vm.state.groups = {'broken': broken, **vm.state.groups}
    checked = ticks.failover.check_primary

    def check_primary(state, group, now):
        if group.name == 'broken':
            raise RuntimeError('no such thing')
        return checked(state, group, now)

    monkeypatch.setattr(ticks.failover, 'check_primary', check_primary)
    world.crash('t0', 20)
    world.run_until(4)
    assert world.find_primary().name != 't0'
    failures = [line for line in world.log_lines if line[2] == 'group_sweep_failed']
    assert failures
    assert 'no such thing' in failures[0][3]['cause']


def test_idle_daemon_ticks_rarely_until_it_has_work():
    # 195 daemons with 30 targets each spent half of their CPU time on ticks without work.
    world = World(vms=1)
    world.run_until(2)
    state = world.vms['vm0'].state
    group = state.groups[GROUP]
    assert not ticks.is_active(group)
    assert ticks.find_tick_interval_s(state) == ticks.IDLE_TICK_INTERVAL_S
    world.connect('vm0', 1, 'orders')
    call = world.send('vm0', 1, StatementKind.WRITE, 'a')
    assert ticks.is_active(group)
    assert ticks.find_tick_interval_s(state) == ticks.TICK_INTERVAL_S
    world.run_until(2.5)
    assert is_success(call)
    assert ticks.find_tick_interval_s(state) == ticks.IDLE_TICK_INTERVAL_S


@pytest.mark.parametrize(('field', 'value'), [('silent_since', 2.0), ('unreachable_since', 2.0)])
def test_unreachable_target_keeps_a_group_active(field, value):
    world = World(vms=1)
    world.run_until(2)
    group = world.vms['vm0'].state.groups[GROUP]
    setattr(group.targets['t0'], field, value)
    assert ticks.is_active(group)


@pytest.mark.parametrize(('expired', 'active'), [(False, True), (True, False)])
def test_expired_question_does_not_keep_a_group_active(expired, active):
    world = World(vms=1)
    world.run_until(2)
    group = world.vms['vm0'].state.groups[GROUP]
    group.sample_request = SampleRequest(1, 'vm1', 2.0, expired)
    assert ticks.is_active(group) is active
