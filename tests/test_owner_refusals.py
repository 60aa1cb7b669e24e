"""Refusals, failures of statements and limits of the owner role."""

from dataclasses import replace

import pytest
from owner_world import NAMES, OwnerWorld, make_config

from cassiaseam.configuration.model import DatabaseConfigured, OwnershipChanged, TargetState
from cassiaseam.errors import ErrorKind
from cassiaseam.messages import RequestKind
from cassiaseam.owner.description import describe_database
from cassiaseam.owner.drain import has_work_in_flight
from cassiaseam.owner.events import ShutdownStarted
from cassiaseam.positions import ZERO_POSITION, LogPosition
from cassiaseam.reducer.common import EntryLost, RequestCancelled, SessionClosed
from cassiaseam.reducer.target_io import (
    CloseConnection,
    ConnectionFailed,
    ConnectionReset,
    OpenConnection,
    ResetConnection,
    RunStatement,
    StatementFailure,
)

READ, WRITE, BEGIN = RequestKind.READ, RequestKind.WRITE, RequestKind.BEGIN
COMMIT, ROLLBACK = RequestKind.COMMIT, RequestKind.ROLLBACK
T1 = {'transaction_id': 't1'}
AGED = {'max_age_s': 5, 'floor': ZERO_POSITION}


def lose_primary(world):
    world.group.primary = ''


def delay_commits(world):
    world.group.primary_positions = [
        (world.now - 9, LogPosition(1, 10)),
        (world.now, LogPosition(1, 11)),
    ]


def lose_replicas(world):
    for name in ('b', 'c'):
        world.group.targets[name].failures = 9


def fill_queue(kind, **fields):
    def fill(world):
        world.automatic = False
        for _ in range(world.config.queue_limit):
            world.request(kind, **fields)

    return fill


def slow_down(world):
    world.state.read_time.add_sample(9, world.now)
    world.state.write_time.add_sample(9, world.now)


REFUSALS = {
    'not owner': (lambda w: w.send(OwnershipChanged('db', owns=False)), READ, {}, 'NOT_OWNER'),
    'shutdown': (lambda w: w.send(ShutdownStarted()), WRITE, {}, 'SHUTTING_DOWN'),
    'late': (lambda w: None, READ, {'deadline': 99.0}, 'DEADLINE_EXCEEDED'),
    'read queue full': (fill_queue(READ, **AGED), READ, AGED, 'OVERLOADED'),
    'write queue full': (fill_queue(WRITE), WRITE, {}, 'OVERLOADED'),
    'slow reads': (slow_down, READ, AGED, 'OVERLOADED'),
    'slow writes': (slow_down, WRITE, {}, 'OVERLOADED'),
    'no primary, short deadline': (lose_primary, WRITE, {'deadline': 100.5}, 'NO_PRIMARY'),
    'no primary, queue full': (
        lambda w: (lose_primary(w), fill_queue(WRITE)(w)),
        WRITE,
        {},
        'NO_PRIMARY',
    ),
    'slow majority': (delay_commits, WRITE, {'deadline': 100.5}, 'REPLICAS_BEHIND'),
    'no majority': (lose_replicas, WRITE, {'deadline': 100.5}, 'REPLICAS_BEHIND'),
    'BEGIN without id': (lambda w: None, BEGIN, {}, 'BAD_REQUEST'),
    'COMMIT without id': (lambda w: None, COMMIT, {}, 'BAD_REQUEST'),
    'unknown transaction': (lambda w: None, COMMIT, T1, 'TRANSACTION_ABORTED'),
}


@pytest.mark.parametrize('name', REFUSALS)
def test_refusal_is_immediate_and_tells_when_to_come_back(name):
    prepare, kind, fields, expected = REFUSALS[name]
    world = OwnerWorld(make_config(queue_limit=4))
    prepare(world)
    request_id = world.request(kind, **fields)
    error = world.answers[request_id].error
    assert error.kind is ErrorKind[expected]
    if error.kind is not ErrorKind.BAD_REQUEST:
        assert error.retry_after_s > 0


@pytest.mark.parametrize(
    ('answering', 'fields', 'expected'),
    [
        ([], {'floor': LogPosition(1, 99), 'max_age_s': 5}, ErrorKind.NO_TARGET),
        (NAMES, {'floor': LogPosition(1, 99), 'max_age_s': 5}, ErrorKind.TOO_OLD),
        (['a'], {'floor': None, 'session_opened_at': 200.0}, ErrorKind.TOO_OLD),
    ],
)
def test_read_that_no_target_may_serve_is_refused_before_its_deadline(answering, fields, expected):
    world = OwnerWorld()
    request_id = world.request(READ, deadline=120.0, **fields)
    for _ in range(8):
        assert request_id not in world.answers
        world.advance(0.4)
        world.poll(answering)
    assert world.error(request_id) is expected


def test_read_with_an_unknown_floor_waits_for_a_quorum_poll():
    world = OwnerWorld()
    request_id = world.request(READ, session_opened_at=100.5, max_age_s=5)
    world.now = 101.0
    world.poll()
    world.finish()
    assert world.answers[request_id].error is None


LOST, TIMEOUT = StatementFailure.LOST, StatementFailure.TIMEOUT
READ_ONLY, NOT_SENT = StatementFailure.READ_ONLY, StatementFailure.NOT_SENT
SQL_ERROR, KEY_REUSED = StatementFailure.SQL_ERROR, StatementFailure.KEY_REUSED
AGAIN = 'again'
FAILURES = {
    READ: {
        SQL_ERROR: 'STATEMENT_FAILED',
        READ_ONLY: 'STATEMENT_FAILED',
        NOT_SENT: AGAIN,
        LOST: AGAIN,
        TIMEOUT: AGAIN,
        KEY_REUSED: 'KEY_REUSED',
    },
    WRITE: {
        SQL_ERROR: 'STATEMENT_FAILED',
        READ_ONLY: AGAIN,
        NOT_SENT: AGAIN,
        LOST: 'OUTCOME_UNKNOWN',
        TIMEOUT: 'OUTCOME_UNKNOWN',
        KEY_REUSED: 'KEY_REUSED',
    },
    BEGIN: {
        SQL_ERROR: 'STATEMENT_FAILED',
        READ_ONLY: 'TRANSACTION_ABORTED',
        NOT_SENT: 'TRANSACTION_ABORTED',
        LOST: 'TRANSACTION_ABORTED',
        TIMEOUT: 'TRANSACTION_ABORTED',
        KEY_REUSED: 'KEY_REUSED',
    },
    COMMIT: {
        SQL_ERROR: 'TRANSACTION_ABORTED',
        READ_ONLY: 'TRANSACTION_ABORTED',
        NOT_SENT: 'TRANSACTION_ABORTED',
        LOST: 'OUTCOME_UNKNOWN',
        TIMEOUT: 'OUTCOME_UNKNOWN',
        KEY_REUSED: 'KEY_REUSED',
    },
    ROLLBACK: {
        SQL_ERROR: 'TRANSACTION_ABORTED',
        READ_ONLY: 'TRANSACTION_ABORTED',
        NOT_SENT: 'TRANSACTION_ABORTED',
        LOST: 'TRANSACTION_ABORTED',
        TIMEOUT: 'TRANSACTION_ABORTED',
        KEY_REUSED: 'KEY_REUSED',
    },
}
CASES = [(kind, failure) for kind, row in FAILURES.items() for failure in row]


@pytest.mark.parametrize(('kind', 'failure'), CASES)
def test_each_failure_of_each_kind_is_reported_as_what_happened(kind, failure):
    world = OwnerWorld()
    fields = {}
    if kind in {COMMIT, ROLLBACK}:
        world.request(BEGIN, **T1)
        world.finish()
    if kind in {BEGIN, COMMIT, ROLLBACK}:
        fields = T1
    request_id = world.request(kind, **fields)
    run = world.finish(failure)
    expected = FAILURES[kind][failure]
    if expected is not AGAIN:
        assert world.error(request_id) is ErrorKind[expected]
    else:
        world.now += 0.01
        world.poll()
        assert world.statements[-1].request_id == request_id
    used = [e for e in world.effects if getattr(e, 'connection_id', '') == run.connection_id]
    cleared = CloseConnection if failure in {LOST, TIMEOUT, NOT_SENT} else ResetConnection
    assert cleared in {type(effect) for effect in used}


@pytest.mark.parametrize('failure', [LOST, TIMEOUT])
def test_keyed_write_runs_again_and_is_never_called_not_run(failure):
    world = OwnerWorld()
    request_id = world.request(WRITE, idempotency_key='k')
    world.finish(failure)
    assert [run.request_id for run in world.statements] == [request_id]
    world.finish(READ_ONLY)
    world.advance(6)
    assert world.error(request_id) is ErrorKind.OUTCOME_UNKNOWN


def test_deadlock_ends_the_transaction_because_later_statements_would_autocommit():
    world = OwnerWorld()
    world.request(BEGIN, **T1)
    world.finish()
    first = world.request(WRITE, **T1)
    world.finish(SQL_ERROR, mysql_code=1213)
    second = world.request(WRITE, **T1)
    assert world.error(first) is world.error(second) is ErrorKind.TRANSACTION_ABORTED


@pytest.mark.parametrize(
    ('kind', 'expected'),
    [(READ, ErrorKind.DEADLINE_EXCEEDED), (WRITE, ErrorKind.OUTCOME_UNKNOWN)],
)
def test_statement_that_runs_at_its_deadline_is_answered_then_and_its_connection_closed(
    kind, expected
):
    world = OwnerWorld(make_config(slots=1))
    request_id = world.request(kind, **AGED)
    run = world.statements[-1]
    world.advance(5)
    assert world.error(request_id) is expected
    assert CloseConnection('db', run.target, run.connection_id) in world.effects
    pool = world.state.targets[run.target]
    assert pool.running == 1
    world.finish(LOST)
    assert pool.running == 0
    assert not pool.connections


def test_write_without_a_commit_waits_for_a_majority_of_its_own_term():
    world = OwnerWorld()
    world.fail_over('b', 2)
    world.poll()
    request_id = world.request(WRITE)
    world.finish()
    world.targets['b'].last_term, world.targets['b'].offset = 2, 11
    world.replicate()
    for name in ('a', 'c'):
        world.targets[name].term = 1
    for _ in range(2):
        world.now += 0.01
        world.poll()
        assert request_id not in world.answers
    world.targets['a'].term = 2
    world.now += 0.01
    world.poll()
    assert world.answers[request_id].error is None


def test_late_end_of_another_request_does_not_answer_the_running_one():
    world = OwnerWorld()
    request_id = world.request(WRITE)
    run = world.statements[-1]
    world.statements.append(replace(run, request_id='another'))
    world.finish(SQL_ERROR)
    assert request_id not in world.answers
    assert world.state.targets['a'].running == 1


def test_statements_of_a_transaction_run_one_at_a_time_and_in_order():
    world = OwnerWorld()
    world.request(BEGIN, **T1)
    sent = [world.request(WRITE, **T1)]
    world.finish()
    sent.extend(world.request(WRITE, **T1) for _ in range(2))
    for request_id in sent:
        assert [run.request_id for run in world.statements] == [request_id]
        world.finish()


def test_write_under_an_old_term_is_unknown_at_once_after_a_promotion():
    world = OwnerWorld()
    committing = world.request(WRITE)
    world.commit()
    running = world.request(WRITE)
    world.fail_over('b', 2)
    world.poll()
    assert world.error(committing) is world.error(running) is ErrorKind.OUTCOME_UNKNOWN


@pytest.mark.parametrize(
    'event', [EntryLost('entry-1'), SessionClosed('db', 'session-1')], ids=['entry', 'session']
)
def test_transaction_of_a_gone_caller_is_rolled_back_before_the_connection_is_reused(event):
    world = OwnerWorld()
    world.automatic = True
    world.request(BEGIN, **T1)
    run = world.finish()
    world.send(event)
    assert ResetConnection('db', 'a', run.connection_id) in world.effects
    assert not world.state.transactions
    assert world.state.targets['a'].held == 0


def test_connection_is_closed_when_its_reset_fails():
    world = OwnerWorld()
    world.request(BEGIN, **T1)
    world.finish()
    world.automatic = False
    world.request(ROLLBACK, **T1)
    run = world.finish()
    world.send(ConnectionReset('db', 'a', run.connection_id, succeeded=False))
    assert CloseConnection('db', 'a', run.connection_id) in world.effects


def test_lost_held_connection_aborts_its_transaction():
    world = OwnerWorld()
    world.request(BEGIN, **T1)
    run = world.finish()
    world.send(ConnectionFailed('db', 'a', run.connection_id, 'reset by peer'))
    assert world.error(world.request(WRITE, **T1)) is ErrorKind.TRANSACTION_ABORTED


def test_idle_transaction_is_aborted_at_the_limit():
    world = OwnerWorld()
    world.request(BEGIN, deadline=1000.0, **T1)
    world.finish()
    world.advance(29)
    assert world.state.transactions
    world.advance(2)
    assert not world.state.transactions


def test_reads_and_writes_leave_each_other_a_slot():
    world = OwnerWorld(make_config(slots=3))
    for kind in (WRITE, READ):
        for _ in range(6):
            world.request(kind, floor=ZERO_POSITION)
    assert sorted(run.mode.value for run in world.statements) == ['read', 'write', 'write']
    for _ in range(9):
        world.finish(index=0, position=LogPosition(1, 11))
        assert {run.mode.value for run in world.statements} == {'read', 'write'}


def test_a_quiet_caller_does_not_wait_behind_the_queue_of_a_busy_one():
    world = OwnerWorld(make_config(slots=1))
    for _ in range(6):
        world.request(WRITE, caller='busy')
    quiet = world.request(WRITE, caller='quiet')
    world.commit()
    world.commit()
    assert [run.request_id for run in world.statements] == [quiet]


def test_idle_transactions_leave_connections_to_autocommit_work():
    world = OwnerWorld(make_config(slots=3, connections=8))
    for number in range(4):
        world.request(BEGIN, transaction_id=f't{number}')
        if world.statements:
            world.finish()
    assert world.state.targets['a'].held == 2
    world.request(WRITE)
    assert len(world.statements) == 1


def test_draining_target_gets_no_new_statement_and_its_transactions_end_at_the_limit():
    world = OwnerWorld(make_config(drain_limit_s=10))
    world.request(BEGIN, deadline=1000.0, **T1)
    world.finish()
    targets = tuple(
        replace(t, state=TargetState.DRAINING) if t.name == 'a' else t
        for t in world.config.targets
    )
    world.group.config = replace(world.config, targets=targets)
    world.send(DatabaseConfigured(world.group.config))
    world.request(WRITE)
    assert not world.statements
    allowed = world.request(WRITE, **T1)
    world.finish()
    assert world.answers[allowed].error is None
    world.advance(11)
    assert not world.state.transactions
    assert not world.state.targets['a'].connections


def test_lost_ownership_lets_a_sent_write_finish_and_then_forgets_the_database():
    world = OwnerWorld()
    request_id = world.request(WRITE)
    del world.node.groups['db']
    world.send(OwnershipChanged('db', owns=False))
    assert has_work_in_flight(world.node)
    world.commit()
    world.replicate()
    world.now += 0.01
    world.poll()
    assert world.answers[request_id].error is None
    assert world.state is None
    assert not has_work_in_flight(world.node)


def test_breaker_opens_after_failures_and_a_probe_closes_it():
    world = OwnerWorld()
    for _ in range(3):
        world.request(READ, repeatable=False, floor=ZERO_POSITION)
        world.finish(LOST)
    pool = world.state.targets['a']
    assert not pool.breaker.closed
    opened = sum(isinstance(effect, OpenConnection) for effect in world.effects)
    world.advance(0.2)
    assert sum(isinstance(effect, OpenConnection) for effect in world.effects) == opened + 1
    assert pool.breaker.closed


def test_connections_of_an_earlier_incarnation_are_forgotten():
    world = OwnerWorld()
    world.request(WRITE)
    world.commit()
    world.targets['a'].incarnation = '2'
    world.now += 1
    world.poll()
    assert not world.state.targets['a'].connections


def test_connections_to_a_former_address_are_not_used():
    world = OwnerWorld()
    world.request(WRITE)
    world.commit()
    targets = tuple(replace(target, port=3307) for target in world.config.targets)
    world.group.config = replace(world.config, targets=targets)
    world.send(DatabaseConfigured(world.group.config))
    assert not world.state.targets['a'].connections


def test_cancelled_request_gets_no_answer_and_frees_its_place():
    world = OwnerWorld(make_config(slots=1))
    running = world.request(WRITE)
    queued = world.request(WRITE)
    world.send(RequestCancelled('db', queued))
    world.send(RequestCancelled('db', running))
    assert world.state.writes.size == 0
    world.commit()
    assert world.state.targets['a'].running == 0
    world.advance(10)
    assert running not in world.answers
    assert queued not in world.answers


def test_retries_of_lost_reads_stay_within_the_budget():
    world = OwnerWorld()
    for _ in range(40):
        world.request(READ, **AGED)
        world.state.targets['b'].breaker.failures = world.state.targets['c'].breaker.failures = 0
        world.finish(LOST)
        while world.statements:
            world.finish()
    runs = sum(isinstance(effect, RunStatement) for effect in world.effects)
    assert runs <= 40 + 10 + 4 + 1


def test_description_counts_what_is_in_use():
    world = OwnerWorld()
    world.request(READ, **AGED)
    world.finish()
    world.request(BEGIN, **T1)
    world.finish()
    summary = describe_database(world.state, world.now)
    assert summary.open_transactions == 1
    assert summary.replica_read_share == 1
    assert set(summary.targets) == set(NAMES)
    assert summary.targets['a'].connections >= 1
