"""Guards against a driver that waits for answers (closed loop) or ignores missing ones."""

import asyncio

import pymysql
import pytest

from cassiaseam_load import driver
from cassiaseam_load.caller import CallerFailure, CallerSession, RunContext, classify_failure
from cassiaseam_load.driver import SessionPool, make_sessions, run_schedule
from cassiaseam_load.schedule import Arrival, Operation


def make_pool(count: int = 2) -> SessionPool:
    return SessionPool(make_sessions(RunContext([]), ('orders',), count, 's'))


def stub_execute(monkeypatch, delay_s: float, answer) -> None:
    async def execute(session: CallerSession, sql: str):
        await asyncio.sleep(delay_s)
        if isinstance(answer, Exception):
            raise answer
        return answer(session)

    monkeypatch.setattr(CallerSession, 'execute', execute)


async def run_requests(pool: SessionPool, operation: Operation, count: int = 4) -> RunContext:
    await run_schedule(pool, [Arrival(0, operation)] * count)
    return pool.sessions[0].context


def test_latency_includes_wait_for_a_free_session(monkeypatch):
    stub_execute(monkeypatch, 0.05, lambda session: ((session.ledger.session, 0),))
    context = asyncio.run(run_requests(make_pool(1), Operation.FRESH_READ, 3))
    assert context.recorder.reads.total_count == 3
    assert context.recorder.reads.get_max_value() >= 150_000


def test_requests_without_an_answer_are_counted_as_hanging(monkeypatch):
    stub_execute(monkeypatch, 60, lambda session: ())
    monkeypatch.setattr(driver, 'ANSWER_TIMEOUT_S', 0.02)
    context = asyncio.run(run_requests(make_pool(), Operation.WRITE, 2))
    assert context.violations.hanging == 2


@pytest.mark.parametrize(
    ('error', 'journal_field'),
    [
        (pymysql.err.OperationalError(1, 'kind=overloaded ran=no retry_after_ms=5'), 'refused'),
        (pymysql.err.OperationalError(1, 'kind=outcome_unknown ran=unknown'), 'unknown'),
        (pymysql.err.OperationalError(2013, 'Lost connection'), 'unknown'),
        (ConnectionError('no daemon'), 'unknown'),
        (TimeoutError(), 'unknown'),
    ],
)
def test_failed_writes_are_recorded_by_their_known_outcome(monkeypatch, error, journal_field):
    stub_execute(monkeypatch, 0, error)
    context = asyncio.run(run_requests(make_pool(), Operation.WRITE, 1))
    assert getattr(context.journal, journal_field) == {'s-0/1'}
    assert not context.journal.acknowledged
    assert context.violations.hanging == int(isinstance(error, TimeoutError))


def test_read_that_misses_an_acknowledged_write_is_stale(monkeypatch):
    stub_execute(monkeypatch, 0, lambda session: ((session.ledger.session, 0),))
    pool = make_pool(1)
    context = asyncio.run(run_requests(pool, Operation.KEYED_WRITE, 1))
    assert context.journal.acknowledged == {'s-0/1'}
    asyncio.run(pool.sessions[0].read_own_rows(Operation.FRESH_READ, 0))
    assert context.violations.stale_reads == 1


def test_error_kind_and_ran_are_parsed_from_daemon_errors():
    found = classify_failure(Exception('kind=no_primary ran=no retry_after_ms=200'))
    assert found == CallerFailure('no_primary', 'no')
