"""Counters that tell apart why targets are polled and why connections are opened and closed."""

import random
import re

import pytest
from pooler_world import World

from cassiaseam.pooler.admission import headroom
from cassiaseam.pooler.admission.mode import Admission
from cassiaseam.pooler.commands import (
    Fence,
    Forward,
    ReadStatus,
    Statement,
    StatementKind,
    TargetFailure,
    TargetReply,
)
from cassiaseam.pooler.metrics import render_metrics
from cassiaseam.pooler.state import Connection, Job, PoolerState, Purpose
from cassiaseam.pooler.target_use import polls
from cassiaseam.pooler.target_use.causes import (
    CloseCause,
    OpenCause,
    PollCause,
    PollOutcome,
    TargetUse,
)

READ = Forward(Statement('r', StatementKind.READ, 'read'))


def build_poll(sent_at=1.0, cause=PollCause.OWN_SAMPLE):
    return Job('t0', ReadStatus(), Purpose.CONTROL, 1.0, sent_at=sent_at, poll_cause=cause)


def render(state):
    return render_metrics(state).decode()


def restart(world):
    world.crash('t1', 0.3)
    world.run_until(world.now + 0.3)
    world.send('vm0', 1, StatementKind.READ)
    world.run_until(world.now + 1)


def read_again(world):
    world.send('vm0', 1, StatementKind.READ)
    world.run_until(world.now + 1)


def lose_primary(world):
    world.mute('t0', 2)
    world.send('vm0', 1, StatementKind.READ)
    world.run_until(world.now + 3)


def fill_up(world):
    for target in world.targets.values():
        target.max_connections = 0
    for state in (vm.state for vm in world.vms.values()):
        for connection_id in list(state.connections):
            world.vms[state.vm].lose(connection_id)
    for _ in range(20):
        world.connect('vm0', 7, 'orders')
        world.send('vm0', 7, StatementKind.READ)
        world.run_until(world.now + 0.3)
        world.disconnect('vm0', 7)


def forget_counts(world):
    world.send('vm0', 1, StatementKind.READ)
    world.run_until(world.now + 0.1)
    for target in world.vms['vm0'].state.groups['g'].targets.values():
        target.reported_connections = headroom.FULL_TARGET_CONNECTIONS
    world.run_until(world.now + 0.2)


def idle(world):
    world.run_until(world.now + 30)


SCENARIOS = {
    'reads': (lambda world: None, 'polls', 'own_sample'),
    'confirmations': (read_again, 'polls', 'primary_confirmation'),
    'commits': (lambda world: None, 'polls', 'commit_confirmation'),
    'statements': (lambda world: None, 'opened', 'statement'),
    'status-polls': (lambda world: None, 'opened', 'status_poll'),
    'restart': (restart, 'polls', 'target_restart'),
    'restart-losses': (restart, 'closed', 'lost'),
    'silence': (lose_primary, 'polls', 'silent_target'),
    'promotion': (lose_primary, 'polls', 'promotion'),
    'role': (lose_primary, 'polls', 'role_change'),
    'fences': (lose_primary, 'closed', 'reply_timed_out'),
    'full': (fill_up, 'closed', 'refused'),
    'full-retries': (fill_up, 'opened', 'full_target_retry'),
    'unknown-counts': (forget_counts, 'polls', 'unknown_connection_count'),
    'idle': (idle, 'closed', 'idle'),
}


@pytest.mark.parametrize(('disturb', 'kind', 'cause'), SCENARIOS.values(), ids=SCENARIOS)
def test_causes_are_served_and_account_for_all_connections(disturb, kind, cause):
    # When VMs opened 6,431 connections and sent 133,567 status polls in 8 s, neither logs nor
    # metrics told why.
    world = World(vms=2, seed=5)
    world.run_until(0.5)
    for session, database in enumerate(['orders', 'prices', 'stock'], 1):
        world.connect('vm0', session, database)
        world.send('vm0', session, StatementKind.READ)
    world.connect('vm0', 9, 'orders')
    world.send('vm0', 9, StatementKind.WRITE, 'w')
    world.run_until(1)
    disturb(world)
    state = world.vms['vm0'].state
    name = {
        'polls': 'cassiaseam_status_polls_total',
        'opened': 'cassiaseam_target_connections_opened_total',
        'closed': 'cassiaseam_target_connections_closed_total',
    }[kind]
    lines = [it for it in render(state).splitlines() if it.startswith(f'{name}{{')]
    assert any(f'cause="{cause}"' in it for it in lines), lines
    use = state.target_use
    assert use.opened.total() - use.closed.total() == len(state.connections)


@pytest.mark.parametrize(
    ('failure', 'outcome'),
    [
        (None, PollOutcome.ANSWERED),
        (TargetFailure.BUSY, PollOutcome.BUSY),
        (TargetFailure.FAILED, PollOutcome.FAILED),
    ],
)
def test_replies_count_by_outcome(failure, outcome):
    # A poll that a target answered as BUSY looked like one that it answered.
    state = PoolerState('vm9', 'p0', random.Random(1))
    polls.count_poll_reply(state, build_poll(), TargetReply(failure=failure))
    assert state.target_use.polls == {(PollCause.OWN_SAMPLE, outcome): 1}


@pytest.mark.parametrize(
    ('sent_at', 'outcome'), [(1.0, PollOutcome.LOST), (None, PollOutcome.NO_CONNECTION)]
)
def test_losses_count_by_whether_the_poll_was_sent(sent_at, outcome):
    # A poll that waits in vain for a connection says nothing about the target.
    state = PoolerState('vm9', 'p0', random.Random(1))
    polls.count_poll_loss(state, build_poll(sent_at))
    assert state.target_use.polls == {(PollCause.OWN_SAMPLE, outcome): 1}


def test_other_commands_are_no_polls():
    # Fences and demotions are answered with a status too.
    state = PoolerState('vm9', 'p0', random.Random(1))
    fence = Job('t0', Fence(2), Purpose.CONTROL, 1.0, sent_at=1.0)
    polls.count_poll_reply(state, fence, TargetReply())
    polls.count_poll_loss(state, fence)
    assert not state.target_use.polls


@pytest.mark.parametrize(
    ('command', 'purpose', 'cause'),
    [
        (READ, Purpose.STATEMENT, OpenCause.STATEMENT),
        (ReadStatus(), Purpose.CONTROL, OpenCause.STATUS_POLL),
        (Fence(2), Purpose.CONTROL, OpenCause.CONTROL_COMMAND),
    ],
)
def test_connections_count_by_the_job_that_needs_them(command, purpose, cause):
    assert polls.find_open_cause(Job('t0', command, purpose, 1.0)) is cause


@pytest.mark.parametrize(
    ('count', 'admission', 'connected', 'shares'),
    [
        (25, Admission.ADAPTIVE, True, {'0.250'}),
        (25, Admission.ADAPTIVE, False, {'0.250'}),
        (25, Admission.FIXED, True, {'0.250'}),
        (25, Admission.FIXED, False, set()),
        (headroom.FULL_TARGET_CONNECTIONS, Admission.ADAPTIVE, True, {'1.000'}),
    ],
)
def test_share_of_the_connection_limit_is_served(count, admission, connected, shares):
    # A VM with thousands of groups must not list targets that it does not use.
    world = World(vms=1, max_connections=100)
    state = world.vms['vm0'].state
    state.admission = admission
    for target in state.groups['g'].targets.values():
        target.connections = {1: Connection(1, 't1', 0)} if connected else {}
        target.reported_connections = count
    found = re.findall(r'target_connection_share{group="g",target="t1"} (\S+)', render(state))
    assert set(found) == shares


def test_label_sets_are_bounded():
    # A target or a statement as label of these counters would grow with the deployment.
    use = TargetUse()
    for cause in PollCause:
        for outcome in PollOutcome:
            use.polls[cause, outcome] += 1
    use.opened.update(OpenCause)
    use.closed.update(CloseCause)
    state = PoolerState('vm9', 'p0', random.Random(1))
    state.target_use = use
    pattern = r'^cassiaseam_(?:status_polls|target_connections_\w+)_total{.*} 1$'
    lines = re.findall(pattern, render(state), re.MULTILINE)
    assert len(lines) == len(PollCause) * len(PollOutcome) + len(OpenCause) + len(CloseCause)
