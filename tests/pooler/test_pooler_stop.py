"""Statements that are outstanding when a daemon stops get an answer before its process ends.

The connections of callers were closed without an answer at the stop limit (LOST, review/8).
"""

import dataclasses
import math
from dataclasses import dataclass
from types import SimpleNamespace

import pytest
from fake_target import GROUP
from pooler_world import World, build_config, get_error, is_success
from twisted.internet.task import Clock

from cassiaseam.errors import ErrorKind
from cassiaseam.pooler.commands import StatementKind
from cassiaseam.pooler.events import ConfigurationRead, PoolerStopping
from cassiaseam.pooler.runtime import FLUSH_S, PoolerRuntime

# Timeout of the statements, which is longer than a stop.
TIMEOUT_S = 20
ANSWER_WITHIN_S = 5.3
TICK_SLACK_S = 0.05
READ, WRITE, COMMIT = StatementKind.READ, StatementKind.WRITE, StatementKind.COMMIT
BEGIN = StatementKind.BEGIN


def keep_all_busy(world):
    for target in world.targets.values():
        target.busy = 10**9


def mute_all(world):
    for name in world.targets:
        world.mute(name, 30)


def cut_replicas(world):
    world.cut('t0', 't1', 30)
    world.cut('t0', 't2', 30)


def fence_replicas(world):
    for name in ('t1', 't2'):
        world.targets[name].fenced = 2


@dataclass(frozen=True)
class Case:
    """Statements of a session around a stop.

    Attributes:
        database: Database of the session.
        before: Kinds of the statements that are answered before the fault.
        fault: Fault that keeps the last statement from an answer.
        last: Kind of the statement that is outstanding.
        sent_after_s: Seconds after the stop request at which it is sent.
        error: Kind of its answer.
        committed: How often its write is in the log of a target.
    """

    database: str
    before: tuple
    fault: object
    last: StatementKind
    sent_after_s: float
    error: ErrorKind
    committed: int = 0


CASES = {
    'busy-in-transaction': Case(
        'prices', (BEGIN, READ), keep_all_busy, READ, 2.8, ErrorKind.TRANSACTION_ABORTED
    ),
    'busy': Case('prices', (), keep_all_busy, READ, 1.5, ErrorKind.OVERLOADED),
    'busy-write': Case('orders', (), keep_all_busy, WRITE, 1.5, ErrorKind.OVERLOADED),
    # An attempt is on the way when the time is up.
    'sent-before-the-stop': Case(
        'prices', (), keep_all_busy, READ, -0.5, ErrorKind.STATEMENT_TIMEOUT
    ),
    'silent-targets': Case('prices', (READ,), mute_all, READ, 1.5, ErrorKind.NO_TARGET),
    'silent-primary': Case('orders', (READ,), mute_all, WRITE, 1.5, ErrorKind.OUTCOME_UNKNOWN),
    'commit-without-majority': Case(
        'orders', (), cut_replicas, WRITE, 1.5, ErrorKind.OUTCOME_UNKNOWN, 1
    ),
    'commit-of-a-transaction': Case(
        'orders', (BEGIN, WRITE), cut_replicas, COMMIT, 2.0, ErrorKind.OUTCOME_UNKNOWN
    ),
    'held-write': Case('orders', (), fence_replicas, WRITE, 1.5, ErrorKind.OVERLOADED),
}


def run_until_answered(world, call):
    while call.answer is None and world.now < call.sent_at + TIMEOUT_S:
        world.run_until(world.now + 0.01)


@pytest.mark.parametrize('name', CASES, ids=str)
def test_outstanding_statement_is_answered_before_the_process_ends(name):
    case = CASES[name]
    world = World(vms=1)
    vm = world.vms['vm0']
    config = build_config(version=2)
    routes = {
        database: dataclasses.replace(route, statement_timeout_s=TIMEOUT_S)
        for database, route in config.routes.items()
    }
    vm.dispatch(ConfigurationRead(dataclasses.replace(config, routes=routes)))
    stop_at = 3
    world.run_until(stop_at - 0.6)
    world.connect('vm0', 1, case.database)
    for kind in case.before:
        call = world.send('vm0', 1, kind)
        run_until_answered(world, call)
        assert get_error(call) is None
    if case.sent_after_s >= 0:
        world.at(stop_at, lambda: vm.dispatch(PoolerStopping(ANSWER_WITHIN_S)))
        world.run_until(stop_at)
    else:
        world.run_until(stop_at + case.sent_after_s)
        world.at(stop_at, lambda: vm.dispatch(PoolerStopping(ANSWER_WITHIN_S)))
    case.fault(world)
    world.run_until(stop_at + case.sent_after_s)
    call = world.send('vm0', 1, case.last, 'last')
    run_until_answered(world, call)
    assert call.answer is not None
    assert call.answered_at <= stop_at + ANSWER_WITHIN_S + TICK_SLACK_S
    assert get_error(call) is case.error
    assert world.committed['last'] == case.committed


@pytest.mark.parametrize(('flushed', 'delay_s'), [(True, 0), (False, FLUSH_S)])
def test_process_ends_at_once_if_no_caller_is_connected(flushed, delay_s):
    # A caller that connected during the delay was cut (esoviz trouble-2, LOST at 20.711 s).
    clock, ended = Clock(), []
    runtime = SimpleNamespace(
        reactor=clock, finished=False, finish=lambda: ended.append(clock.seconds())
    )
    PoolerRuntime.end_process(runtime, flushed)
    assert runtime.finished
    clock.advance(FLUSH_S)
    assert ended == [delay_s]


@pytest.mark.parametrize('kind', [READ, WRITE])
def test_statement_that_arrives_too_late_is_refused_at_once(kind):
    # It was sent to a target although its answer could not be delivered any more.
    world = World(vms=1)
    world.run_until(0.5)
    world.connect('vm0', 1, 'orders')
    state = world.vms['vm0'].state
    state.answer_by = world.now
    call = world.send('vm0', 1, kind, 'late')
    assert get_error(call) is ErrorKind.OVERLOADED
    assert not world.runs


def test_second_stop_request_does_not_extend_the_time():
    world = World(vms=1)
    vm = world.vms['vm0']
    vm.dispatch(PoolerStopping(ANSWER_WITHIN_S))
    first = vm.state.answer_by
    world.run_until(2)
    vm.dispatch(PoolerStopping(ANSWER_WITHIN_S))
    assert vm.state.answer_by == first


def test_statements_keep_their_deadline_while_the_daemon_runs():
    world = World(vms=1)
    world.run_until(0.5)
    world.connect('vm0', 1, 'orders')
    call = world.send('vm0', 1, WRITE, 'kept')
    assert world.vms['vm0'].state.answer_by == math.inf
    assert world.vms['vm0'].state.groups[GROUP].operations[0].deadline < TIMEOUT_S
    run_until_answered(world, call)
    assert is_success(call)
