"""Refusals, statement failures and limits of the owner role."""

from dataclasses import replace

import pytest
from owner_harness import NAMES, OwnerHarness, make_config

from cassiaseam.configuration.model import DatabaseConfigured, OwnershipChanged, TargetState
from cassiaseam.errors import ErrorKind
from cassiaseam.messages import RequestKind
from cassiaseam.owner.description import describe_database
from cassiaseam.owner.drain import has_requests_in_flight
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


def lose_primary(harness):
    harness.group.primary = ''


def delay_commits(harness):
    harness.group.primary_positions = [
        (harness.now - 9, LogPosition(1, 10)),
        (harness.now, LogPosition(1, 11)),
    ]


def lose_replicas(harness):
    for name in ('b', 'c'):
        harness.group.targets[name].failures = 9


def fill_queue(kind, **fields):
    def fill(harness):
        harness.auto_connect = False
        for _ in range(harness.config.queue_limit):
            harness.request(kind, **fields)

    return fill


def slow_down(harness):
    harness.state.read_time.add_sample(9, harness.now)
    harness.state.write_time.add_sample(9, harness.now)


REFUSALS = {
    'not owner': (
        lambda harness: harness.send(OwnershipChanged('db', owns=False)),
        READ,
        {},
        'NOT_OWNER',
    ),
    'shutdown': (lambda harness: harness.send(ShutdownStarted()), WRITE, {}, 'SHUTTING_DOWN'),
    'late': (lambda harness: None, READ, {'deadline': 99.0}, 'DEADLINE_EXCEEDED'),
    'read queue full': (fill_queue(READ, **AGED), READ, AGED, 'OVERLOADED'),
    'write queue full': (fill_queue(WRITE), WRITE, {}, 'OVERLOADED'),
    'slow reads': (slow_down, READ, AGED, 'OVERLOADED'),
    'slow writes': (slow_down, WRITE, {}, 'OVERLOADED'),
    'no primary, short deadline': (lose_primary, WRITE, {'deadline': 100.5}, 'NO_PRIMARY'),
    'no primary, queue full': (
        lambda harness: (lose_primary(harness), fill_queue(WRITE)(harness)),
        WRITE,
        {},
        'NO_PRIMARY',
    ),
    'slow majority': (delay_commits, WRITE, {'deadline': 100.5}, 'REPLICAS_BEHIND'),
    'no majority': (lose_replicas, WRITE, {'deadline': 100.5}, 'REPLICAS_BEHIND'),
    'BEGIN without id': (lambda harness: None, BEGIN, {}, 'BAD_REQUEST'),
    'COMMIT without id': (lambda harness: None, COMMIT, {}, 'BAD_REQUEST'),
    'unknown transaction': (lambda harness: None, COMMIT, T1, 'TRANSACTION_ABORTED'),
}


@pytest.mark.parametrize('name', REFUSALS)
def test_refusal_is_immediate_and_has_a_retry_delay(name):
    prepare, kind, fields, expected = REFUSALS[name]
    harness = OwnerHarness(make_config(queue_limit=4))
    prepare(harness)
    request_id = harness.request(kind, **fields)
    error = harness.answers[request_id].error
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
    harness = OwnerHarness()
    request_id = harness.request(READ, deadline=120.0, **fields)
    for _ in range(8):
        assert request_id not in harness.answers
        harness.advance(0.4)
        harness.poll(answering)
    assert harness.error(request_id) is expected


def test_read_with_an_unknown_floor_waits_for_a_quorum_poll():
    harness = OwnerHarness()
    request_id = harness.request(READ, session_opened_at=100.5, max_age_s=5)
    harness.now = 101.0
    harness.poll()
    harness.finish()
    assert harness.answers[request_id].error is None


LOST, TIMEOUT = StatementFailure.LOST, StatementFailure.TIMEOUT
READ_ONLY, NOT_SENT = StatementFailure.READ_ONLY, StatementFailure.NOT_SENT
SQL_ERROR, KEY_REUSED = StatementFailure.SQL_ERROR, StatementFailure.KEY_REUSED
RETRIED = 'again'
FAILURES = {
    READ: {
        SQL_ERROR: 'STATEMENT_FAILED',
        READ_ONLY: 'STATEMENT_FAILED',
        NOT_SENT: RETRIED,
        LOST: RETRIED,
        TIMEOUT: RETRIED,
        KEY_REUSED: 'KEY_REUSED',
    },
    WRITE: {
        SQL_ERROR: 'STATEMENT_FAILED',
        READ_ONLY: RETRIED,
        NOT_SENT: RETRIED,
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
def test_each_failure_of_each_kind_maps_to_its_error(kind, failure):
    harness = OwnerHarness()
    fields = {}
    if kind in {COMMIT, ROLLBACK}:
        harness.request(BEGIN, **T1)
        harness.finish()
    if kind in {BEGIN, COMMIT, ROLLBACK}:
        fields = T1
    request_id = harness.request(kind, **fields)
    run = harness.finish(failure)
    expected = FAILURES[kind][failure]
    if expected is not RETRIED:
        assert harness.error(request_id) is ErrorKind[expected]
    else:
        harness.now += 0.01
        harness.poll()
        assert harness.statements[-1].request_id == request_id
    used = [e for e in harness.effects if getattr(e, 'connection_id', '') == run.connection_id]
    cleared = CloseConnection if failure in {LOST, TIMEOUT, NOT_SENT} else ResetConnection
    assert cleared in {type(effect) for effect in used}


@pytest.mark.parametrize('failure', [LOST, TIMEOUT])
def test_lost_keyed_write_is_retried_and_never_reported_as_not_run(failure):
    harness = OwnerHarness()
    request_id = harness.request(WRITE, idempotency_key='k')
    harness.finish(failure)
    assert [run.request_id for run in harness.statements] == [request_id]
    harness.finish(READ_ONLY)
    harness.advance(6)
    assert harness.error(request_id) is ErrorKind.OUTCOME_UNKNOWN


def test_deadlock_ends_the_transaction_because_later_statements_would_autocommit():
    harness = OwnerHarness()
    harness.request(BEGIN, **T1)
    harness.finish()
    first = harness.request(WRITE, **T1)
    harness.finish(SQL_ERROR, mysql_code=1213)
    second = harness.request(WRITE, **T1)
    assert harness.error(first) is harness.error(second) is ErrorKind.TRANSACTION_ABORTED


@pytest.mark.parametrize(
    ('kind', 'expected'),
    [(READ, ErrorKind.DEADLINE_EXCEEDED), (WRITE, ErrorKind.OUTCOME_UNKNOWN)],
)
def test_statement_that_runs_at_its_deadline_is_answered_then_and_its_connection_closed(
    kind, expected
):
    harness = OwnerHarness(make_config(slots=1))
    request_id = harness.request(kind, **AGED)
    run = harness.statements[-1]
    harness.advance(5)
    assert harness.error(request_id) is expected
    assert CloseConnection('db', run.target, run.connection_id) in harness.effects
    pool = harness.state.targets[run.target]
    assert pool.running == 1
    harness.finish(LOST)
    assert pool.running == 0
    assert not pool.connections


def test_write_without_a_commit_waits_for_a_majority_of_its_own_term():
    harness = OwnerHarness()
    harness.fail_over('b', 2)
    harness.poll()
    request_id = harness.request(WRITE)
    harness.finish()
    harness.targets['b'].last_term, harness.targets['b'].offset = 2, 11
    harness.replicate()
    for name in ('a', 'c'):
        harness.targets[name].term = 1
    for _ in range(2):
        harness.now += 0.01
        harness.poll()
        assert request_id not in harness.answers
    harness.targets['a'].term = 2
    harness.now += 0.01
    harness.poll()
    assert harness.answers[request_id].error is None


def test_late_end_of_another_request_does_not_answer_the_running_one():
    harness = OwnerHarness()
    request_id = harness.request(WRITE)
    run = harness.statements[-1]
    harness.statements.append(replace(run, request_id='another'))
    harness.finish(SQL_ERROR)
    assert request_id not in harness.answers
    assert harness.state.targets['a'].running == 1


def test_statements_of_a_transaction_run_one_at_a_time_and_in_order():
    harness = OwnerHarness()
    harness.request(BEGIN, **T1)
    sent = [harness.request(WRITE, **T1)]
    harness.finish()
    sent.extend(harness.request(WRITE, **T1) for _ in range(2))
    for request_id in sent:
        assert [run.request_id for run in harness.statements] == [request_id]
        harness.finish()


def test_outcome_of_a_write_of_an_old_term_is_unknown_right_after_a_promotion():
    harness = OwnerHarness()
    committing = harness.request(WRITE)
    harness.commit()
    running = harness.request(WRITE)
    harness.fail_over('b', 2)
    harness.poll()
    assert harness.error(committing) is harness.error(running) is ErrorKind.OUTCOME_UNKNOWN


@pytest.mark.parametrize(
    'event', [EntryLost('entry-1'), SessionClosed('db', 'session-1')], ids=['entry', 'session']
)
def test_transaction_of_a_disconnected_caller_is_rolled_back_before_connection_reuse(event):
    harness = OwnerHarness()
    harness.auto_connect = True
    harness.request(BEGIN, **T1)
    run = harness.finish()
    harness.send(event)
    assert ResetConnection('db', 'a', run.connection_id) in harness.effects
    assert not harness.state.transactions
    assert harness.state.targets['a'].transaction_connections == 0


def test_connection_is_closed_when_its_reset_fails():
    harness = OwnerHarness()
    harness.request(BEGIN, **T1)
    harness.finish()
    harness.auto_connect = False
    harness.request(ROLLBACK, **T1)
    run = harness.finish()
    harness.send(ConnectionReset('db', 'a', run.connection_id, succeeded=False))
    assert CloseConnection('db', 'a', run.connection_id) in harness.effects


def test_lost_held_connection_aborts_its_transaction():
    harness = OwnerHarness()
    harness.request(BEGIN, **T1)
    run = harness.finish()
    harness.send(ConnectionFailed('db', 'a', run.connection_id, 'reset by peer'))
    assert harness.error(harness.request(WRITE, **T1)) is ErrorKind.TRANSACTION_ABORTED


def test_idle_transaction_is_aborted_at_the_limit():
    harness = OwnerHarness()
    harness.request(BEGIN, deadline=1000.0, **T1)
    harness.finish()
    harness.advance(29)
    assert harness.state.transactions
    harness.advance(2)
    assert not harness.state.transactions


def test_reads_and_writes_leave_each_other_a_slot():
    harness = OwnerHarness(make_config(slots=3))
    for kind in (WRITE, READ):
        for _ in range(6):
            harness.request(kind, floor=ZERO_POSITION)
    assert sorted(run.mode.value for run in harness.statements) == ['read', 'write', 'write']
    for _ in range(9):
        harness.finish(index=0, position=LogPosition(1, 11))
        assert {run.mode.value for run in harness.statements} == {'read', 'write'}


def test_a_quiet_caller_does_not_wait_behind_the_queue_of_a_busy_one():
    harness = OwnerHarness(make_config(slots=1))
    for _ in range(6):
        harness.request(WRITE, caller='busy')
    quiet = harness.request(WRITE, caller='quiet')
    harness.commit()
    harness.commit()
    assert [run.request_id for run in harness.statements] == [quiet]


def test_idle_transactions_leave_connections_to_autocommit_work():
    harness = OwnerHarness(make_config(slots=3, connections=8))
    for number in range(4):
        harness.request(BEGIN, transaction_id=f't{number}')
        if harness.statements:
            harness.finish()
    assert harness.state.targets['a'].transaction_connections == 2
    harness.request(WRITE)
    assert len(harness.statements) == 1


def test_draining_target_gets_no_new_statement_and_its_transactions_end_at_the_limit():
    harness = OwnerHarness(make_config(drain_limit_s=10))
    harness.request(BEGIN, deadline=1000.0, **T1)
    harness.finish()
    targets = tuple(
        replace(t, state=TargetState.DRAINING) if t.name == 'a' else t
        for t in harness.config.targets
    )
    harness.group.config = replace(harness.config, targets=targets)
    harness.send(DatabaseConfigured(harness.group.config))
    harness.request(WRITE)
    assert not harness.statements
    allowed = harness.request(WRITE, **T1)
    harness.finish()
    assert harness.answers[allowed].error is None
    harness.advance(11)
    assert not harness.state.transactions
    assert not harness.state.targets['a'].connections


def test_lost_ownership_lets_a_sent_write_finish_and_then_removes_the_database():
    harness = OwnerHarness()
    request_id = harness.request(WRITE)
    del harness.node.groups['db']
    harness.send(OwnershipChanged('db', owns=False))
    assert has_requests_in_flight(harness.node)
    harness.commit()
    harness.replicate()
    harness.now += 0.01
    harness.poll()
    assert harness.answers[request_id].error is None
    assert harness.state is None
    assert not has_requests_in_flight(harness.node)


def test_breaker_opens_after_failures_and_a_probe_closes_it():
    harness = OwnerHarness()
    for _ in range(3):
        harness.request(READ, repeatable=False, floor=ZERO_POSITION)
        harness.finish(LOST)
    pool = harness.state.targets['a']
    assert not pool.breaker.closed
    opened = sum(isinstance(effect, OpenConnection) for effect in harness.effects)
    harness.advance(0.2)
    assert sum(isinstance(effect, OpenConnection) for effect in harness.effects) == opened + 1
    assert pool.breaker.closed


def test_connections_of_an_earlier_incarnation_are_removed():
    harness = OwnerHarness()
    harness.request(WRITE)
    harness.commit()
    harness.targets['a'].incarnation = '2'
    harness.now += 1
    harness.poll()
    assert not harness.state.targets['a'].connections


def test_connections_to_a_former_address_are_not_used():
    harness = OwnerHarness()
    harness.request(WRITE)
    harness.commit()
    targets = tuple(replace(target, port=3307) for target in harness.config.targets)
    harness.group.config = replace(harness.config, targets=targets)
    harness.send(DatabaseConfigured(harness.group.config))
    assert not harness.state.targets['a'].connections


def test_cancelled_request_gets_no_answer_and_frees_its_slot():
    harness = OwnerHarness(make_config(slots=1))
    running = harness.request(WRITE)
    queued = harness.request(WRITE)
    harness.send(RequestCancelled('db', queued))
    harness.send(RequestCancelled('db', running))
    assert harness.state.writes.size == 0
    harness.commit()
    assert harness.state.targets['a'].running == 0
    harness.advance(10)
    assert running not in harness.answers
    assert queued not in harness.answers


def test_retries_of_lost_reads_stay_within_the_budget():
    harness = OwnerHarness()
    for _ in range(40):
        harness.request(READ, **AGED)
        harness.state.targets['b'].breaker.failures = harness.state.targets[
            'c'
        ].breaker.failures = 0
        harness.finish(LOST)
        while harness.statements:
            harness.finish()
    runs = sum(isinstance(effect, RunStatement) for effect in harness.effects)
    assert runs <= 40 + 10 + 4 + 1


def test_summary_counts_resources_in_use():
    harness = OwnerHarness()
    harness.request(READ, **AGED)
    harness.finish()
    harness.request(BEGIN, **T1)
    harness.finish()
    summary = describe_database(harness.state, harness.now)
    assert summary.open_transactions == 1
    assert summary.replica_read_share == 1
    assert set(summary.targets) == set(NAMES)
    assert summary.targets['a'].connections >= 1
