"""Adoption of a database whose better-ranked owners an entry passed over."""

import random
from dataclasses import replace

import pytest
from group_model import NodeState
from owner_harness import NAMES, OwnerHarness, make_config

import cassiaseam.reducer.roles  # noqa: F401
from cassiaseam.configuration.model import DatabaseConfigured, OwnershipChanged
from cassiaseam.errors import OWNER_CUT_OFF, ErrorKind
from cassiaseam.group.view import CUT_OFF_LIMIT_S, is_owner_cut_off
from cassiaseam.membership.messages import ListedVm, VmListReceived
from cassiaseam.membership.ranking import rank_owners
from cassiaseam.membership.state import create_membership
from cassiaseam.messages import Request, RequestKind, ResultSet, TargetRole, TargetStatus
from cassiaseam.owner.adoption import ADOPTION_TTL_S
from cassiaseam.owner.events import ShutdownStarted
from cassiaseam.owner.pool import find_connection_limit
from cassiaseam.positions import LogPosition
from cassiaseam.reducer.common import AnswerRequest, RecordTimeline, RequestArrived, Tick
from cassiaseam.reducer.registry import reduce_event
from cassiaseam.reducer.target_io import (
    ConnectionOpened,
    ExecutionMode,
    FenceTarget,
    OpenConnection,
    PollTarget,
    RunStatement,
    StatementFinished,
    TargetStatusFailed,
    TargetStatusReceived,
)
from cassiaseam_load.cluster_simulation import make_record

KINDS = {'database_adopted', 'adoption_ended'}
READ, WRITE, BEGIN = RequestKind.READ, RequestKind.WRITE, RequestKind.BEGIN
VMS = [make_record(number, 'place-a') for number in range(4)]


class DaemonHarness:
    """Daemon with all roles, at a given rank among four for database `db`."""

    def __init__(self, rank):
        self.now, self.ids, self.primary_up = 100.0, 0, True
        self.answers, self.records, self.effects = {}, [], []
        probe = self.build(VMS[0])
        self.ranked = list(rank_owners(probe.membership, make_config(), 0))
        own = next(record for record in VMS if record.vm == self.ranked[rank])
        self.state = self.build(own)

    def build(self, own):
        state = NodeState(own.vm, own.place, random.Random(1))
        state.membership = create_membership(own, 0)
        listed = tuple(ListedVm(vm.vm, vm.place, vm.host, vm.port) for vm in VMS)
        reduce_event(state, VmListReceived(listed), 0)
        reduce_event(state, DatabaseConfigured(make_config()), 0)
        return state

    def send(self, event):
        for effect in reduce_event(self.state, event, self.now):
            self.effects.append(effect)
            if isinstance(effect, AnswerRequest):
                self.answers[effect.answer.request_id] = effect.answer
            elif isinstance(effect, RecordTimeline):
                self.records.append(effect.record)
            elif isinstance(effect, PollTarget):
                self.send(self.poll(effect.target))
            elif isinstance(effect, OpenConnection):
                self.send(ConnectionOpened('db', effect.target, effect.connection_id, '1'))
            elif isinstance(effect, RunStatement) and effect.mode is ExecutionMode.READ:
                place = ('db', effect.target, effect.connection_id, effect.request_id)
                self.send(StatementFinished(*place, ResultSet(), None))

    def poll(self, name):
        if name == 'a' and not self.primary_up:
            return TargetStatusFailed('db', name, self.now, 'timeout')
        role = TargetRole.PRIMARY if name == 'a' else TargetRole.REPLICA
        position = LogPosition(1, 10)
        follows = '' if name == 'a' else 'a'
        status = TargetStatus(name, '1', 1, 1, position, position, role, follows)
        return TargetStatusReceived('db', name, self.now, status)

    def request(self, passed, kind=WRITE, **fields):
        self.ids += 1
        request = Request(f'r{self.ids}', 'entry', 'caller', 's', 'db', kind)
        request = replace(request, deadline=self.now + 5, passed_over=tuple(passed), **fields)
        self.send(RequestArrived(request))
        return request.request_id

    def run_for(self, duration_s):
        end = self.now + duration_s
        while self.now < end:
            self.now += 0.05
            self.send(Tick())

    def list_kinds(self):
        return [record.kind for record in self.records if record.kind in KINDS]


@pytest.mark.parametrize(
    ('rank', 'passed', 'fields', 'adopts'),
    [
        (1, [0], {}, True),
        (1, [0], {'kind': READ}, True),
        (1, [0], {'kind': BEGIN, 'transaction_id': 't'}, True),
        (1, [0], {'transaction_id': 't'}, False),
        (1, [], {}, False),
        (2, [0], {}, False),
        (2, [1], {}, False),
        (2, [1, 0], {}, True),
        (1, [0, 2], {}, True),
        (1, [0, 1], {}, False),
    ],
)
def test_only_the_first_owner_that_was_not_passed_over_adopts(rank, passed, fields, adopts):
    daemon = DaemonHarness(rank)
    request_id = daemon.request([daemon.ranked[index] for index in passed], **fields)
    assert ('db' in daemon.state.databases) is adopts
    assert daemon.list_kinds() == ['database_adopted'] * adopts
    error = daemon.answers[request_id].error if request_id in daemon.answers else None
    assert (error is not None and error.kind is ErrorKind.NOT_OWNER) is not adopts


def test_adoption_stays_within_half_of_the_connections():
    daemon = DaemonHarness(1)
    for _ in range(40):
        daemon.request(daemon.ranked[:1], READ)
        daemon.run_for(0.05)
    opened = [effect for effect in daemon.effects if isinstance(effect, OpenConnection)]
    limit = find_connection_limit(daemon.state.databases['db'].targets['a'])
    assert opened
    assert all(sum(e.target == name for e in opened) <= limit for name in NAMES)


def test_adoption_ends_after_the_latest_request_and_lets_work_in_flight_finish():
    daemon = DaemonHarness(1)
    for _ in range(3):
        daemon.request(daemon.ranked[:1], READ)
        daemon.run_for(ADOPTION_TTL_S - 1)
        assert daemon.state.databases['db'].owns
    daemon.state.databases['db'].adopted_until = daemon.now + 1
    daemon.run_for(0.8)
    # Shorter than the time after which a write counts as blocked by inherited locks.
    daemon.request([], BEGIN, transaction_id='t')
    daemon.run_for(0.4)
    assert daemon.list_kinds() == ['database_adopted', 'adoption_ended']
    assert 'db' not in daemon.state.groups
    assert not daemon.state.databases['db'].owns
    assert 'r4' not in daemon.answers
    late = daemon.request([])
    assert daemon.answers[late].error.kind is ErrorKind.NOT_OWNER


def test_owner_chosen_by_membership_keeps_an_adopted_database():
    daemon = DaemonHarness(1)
    daemon.request(daemon.ranked[:1])
    daemon.send(OwnershipChanged('db', owns=True))
    daemon.run_for(ADOPTION_TTL_S + 1)
    assert daemon.state.databases['db'].owns
    assert daemon.list_kinds() == ['database_adopted', 'adoption_ended']
    daemon.send(OwnershipChanged('db', owns=False))
    assert not daemon.state.groups


def test_daemon_that_shuts_down_adopts_nothing():
    daemon = DaemonHarness(1)
    daemon.send(ShutdownStarted())
    daemon.request(daemon.ranked[:1])
    assert 'db' not in daemon.state.databases


def test_adopting_owner_does_not_promote_while_replicas_hear_the_primary():
    daemon = DaemonHarness(1)
    daemon.primary_up = False
    for _ in range(4):
        daemon.request(daemon.ranked[:1])
        daemon.run_for(1)
    assert daemon.state.databases['db'].owns
    assert not any(isinstance(effect, FenceTarget) for effect in daemon.effects)


@pytest.mark.parametrize(
    ('silent', 'silence_s', 'cut_off'),
    [
        ((), 0, False),
        (('a',), 5, False),
        (('a', 'b'), CUT_OFF_LIMIT_S - 0.01, False),
        (('a', 'b'), CUT_OFF_LIMIT_S, True),
        (NAMES, 5, True),
    ],
)
def test_owner_is_cut_off_only_without_a_majority(silent, silence_s, cut_off):
    harness = OwnerHarness()
    for name in silent:
        harness.group.targets[name].unanswered_since = harness.now - silence_s
    assert is_owner_cut_off(harness.group, harness.now) is cut_off
    for kind, refusal in ((WRITE, ErrorKind.NO_PRIMARY), (READ, ErrorKind.NO_TARGET)):
        request_id = harness.request(kind, floor=LogPosition(1, 99))
        answer = harness.answers.get(request_id)
        cause = answer.error.detail.get('cause') if answer is not None and answer.error else None
        assert (cause == OWNER_CUT_OFF) is cut_off
        assert not cut_off or answer.error.kind is refusal


def test_cut_off_owner_still_serves_a_read_from_a_target_within_reach():
    harness = OwnerHarness()
    for name in ('a', 'b'):
        harness.group.targets[name].unanswered_since = harness.now - 2
    harness.request(READ, floor=LogPosition(1, 1), max_age_s=10)
    assert [run.target for run in harness.statements] == ['c']


def test_write_that_waits_at_an_owner_is_refused_when_the_owner_is_cut_off():
    harness = OwnerHarness()
    harness.group.primary = ''
    request_id = harness.request(WRITE)
    assert request_id not in harness.answers
    for view in harness.group.targets.values():
        view.unanswered_since = harness.now - 2
    harness.send(TargetStatusFailed('db', 'a', harness.now, 'timeout'))
    assert harness.answers[request_id].error.detail == {'cause': OWNER_CUT_OFF}


@pytest.mark.parametrize(('since_promotion_s', 'inherits'), [(1, False), (6, True)])
def test_locks_of_an_owner_that_fails_again_during_an_adoption_are_inherited(
    since_promotion_s, inherits
):
    daemon = DaemonHarness(1)
    daemon.request(daemon.ranked[:1], READ)
    group = daemon.state.groups['db']
    group.taken_over_at = None
    group.last_failover_at = daemon.now - since_promotion_s
    daemon.request(daemon.ranked[:1], READ)
    assert (group.taken_over_at is not None) is inherits
