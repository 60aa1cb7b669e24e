import asyncio

import pytest

from cassiaseam.positions import LogPosition
from cassiaseam.reducer.target_io import ExecutionMode, StatementFailure
from cassiaseam_standin.in_process_group import run_in_group, run_mode
from cassiaseam_standin.instance import InstanceLimits

Mode = ExecutionMode
Failure = StatementFailure
CREATE = 'CREATE TABLE t (id INT NOT NULL AUTO_INCREMENT PRIMARY KEY, v INT)'
INSERT = 'INSERT INTO t (v) VALUES (1), (2)'
KEY = "order-1'\\"


async def connect_with_table(group, count=1):
    connections = [await group.connect('a', 'app') for _ in range(count)]
    assert (await run_mode(connections[0], Mode.WRITE, CREATE)).failure is None
    return connections


async def count_rows(connection, table='t'):
    finished = await run_mode(connection, Mode.READ, f'SELECT COUNT(*) FROM {table}')
    return finished.result_set.rows[0][0]


def test_repeated_request_returns_the_stored_outcome_without_running_again():
    async def scenario(group):
        first, second = await connect_with_table(group, 2)
        ran = await run_mode(first, Mode.KEYED_WRITE, INSERT, key=KEY)
        assert (ran.replayed, ran.failure) == (False, None)
        assert ran.position == LogPosition(1, 3)
        await run_mode(first, Mode.WRITE, 'UPDATE t SET v = 3')
        again = await run_mode(second, Mode.KEYED_WRITE, INSERT, key=KEY)
        assert again.replayed
        assert again.result_set == ran.result_set
        assert (again.result_set.affected_rows, again.result_set.last_insert_id) == (2, 1)
        assert again.position.covers(ran.position)
        assert await count_rows(first) == 2

    run_in_group(scenario, names=('a',))


@pytest.mark.parametrize(
    ('mode', 'sql'),
    [(Mode.KEYED_WRITE, 'DELETE FROM t'), (Mode.KEYED_BEGIN, '')],
)
def test_key_reused_for_another_statement_is_refused(mode, sql):
    async def scenario(group):
        (connection,) = await connect_with_table(group)
        await run_mode(connection, Mode.KEYED_WRITE, INSERT, key=KEY)
        reused = await run_mode(connection, mode, sql, key=KEY)
        assert reused.failure is Failure.KEY_REUSED
        assert await count_rows(connection) == 2
        other = await run_mode(connection, Mode.KEYED_WRITE, INSERT, key=KEY.upper())
        assert (other.failure, other.replayed) == (None, False)

    run_in_group(scenario, names=('a',))


def test_refused_statement_neither_consumes_its_key_nor_leaves_a_transaction_open():
    async def scenario(group):
        first, second = await connect_with_table(group, 2)
        sql = 'INSERT INTO u VALUES (1)'
        refused = await run_mode(first, Mode.KEYED_WRITE, sql, key=KEY)
        assert (refused.failure, refused.mysql_code) == (Failure.SQL_ERROR, 1146)
        assert await count_rows(second, 'cassiaseam_requests') == 0
        await run_mode(second, Mode.WRITE, 'CREATE TABLE u (v INT)')
        ran = await run_mode(first, Mode.KEYED_WRITE, sql, key=KEY)
        assert (ran.failure, ran.replayed) == (None, False)

    run_in_group(scenario, names=('a',))


@pytest.mark.parametrize('ending', [Mode.COMMIT, Mode.ROLLBACK])
def test_duplicate_waits_for_the_open_transaction_with_its_key(ending):
    async def scenario(group):
        first, second = await connect_with_table(group, 2)
        assert (await run_mode(first, Mode.KEYED_BEGIN, key=KEY)).failure is None
        await run_mode(first, Mode.IN_TRANSACTION, INSERT)
        duplicate = asyncio.create_task(run_mode(second, Mode.KEYED_BEGIN, key=KEY))
        await asyncio.sleep(0.05)
        assert not duplicate.done()
        ended = await run_mode(first, ending)
        finished = await duplicate
        assert (finished.failure, finished.replayed) == (None, ending is Mode.COMMIT)
        if ending is Mode.COMMIT:
            assert finished.position.covers(ended.position)
        else:
            assert (await run_mode(second, Mode.COMMIT)).failure is None
        assert await count_rows(first, 'cassiaseam_requests') == 1

    run_in_group(scenario, names=('a',))


@pytest.mark.parametrize(('sql', 'key'), [("SELECT '\ud800'", KEY), (INSERT, '\ud800')])
def test_unencodable_text_leaves_no_transaction_open(sql, key):
    async def scenario(group):
        first, second = await connect_with_table(group, 2)
        finished = await run_mode(first, Mode.KEYED_WRITE, sql, key=key)
        assert (finished.failure, finished.mysql_code) == (Failure.SQL_ERROR, 1300)
        assert not first.protocol.get_transaction_status()
        assert (await run_mode(second, Mode.KEYED_WRITE, INSERT, key=KEY)).failure is None

    run_in_group(scenario, names=('a',))


def test_duplicate_that_exceeds_the_lock_wait_fails_and_keeps_its_connection():
    async def scenario(group):
        first, second = await connect_with_table(group, 2)
        await run_mode(first, Mode.KEYED_BEGIN, key=KEY)
        finished = await run_mode(second, Mode.KEYED_BEGIN, key=KEY)
        assert (finished.failure, finished.mysql_code) == (Failure.SQL_ERROR, 1205)
        assert not second.protocol.get_transaction_status()
        assert (await run_mode(first, Mode.COMMIT)).failure is None
        assert (await run_mode(second, Mode.KEYED_BEGIN, key=KEY)).replayed

    run_in_group(scenario, names=('a',), limits=InstanceLimits(connect_ms=0, lock_wait_ms=50))


def test_concurrent_duplicates_run_once():
    async def scenario(group):
        connections = await connect_with_table(group, 5)
        finished = await asyncio.gather(
            *(run_mode(one, Mode.KEYED_WRITE, INSERT, key=KEY) for one in connections)
        )
        assert [one.failure for one in finished] == [None] * 5
        assert sorted(one.replayed for one in finished) == [False, True, True, True, True]
        assert len({one.result_set for one in finished}) == 1
        assert await count_rows(connections[0]) == 2

    run_in_group(scenario, names=('a',))


@pytest.mark.parametrize(
    ('fault', 'replayed'), [('drop_before_commit', False), ('drop_after_commit', True)]
)
def test_retry_after_an_unknown_outcome_runs_exactly_once(fault, replayed):
    async def scenario(group):
        first, second = await connect_with_table(group, 2)
        await run_mode(first, Mode.KEYED_WRITE, 'DELETE FROM t', key='other')
        await group.set_fault('a', fault, '1')
        lost = await run_mode(first, Mode.KEYED_WRITE, INSERT, key=KEY)
        assert lost.failure is Failure.LOST
        again = await run_mode(second, Mode.KEYED_WRITE, INSERT, key=KEY)
        assert (again.failure, again.replayed) == (None, replayed)
        assert await count_rows(second) == 2

    run_in_group(scenario, names=('a',))


def test_promoted_replica_does_not_rerun_a_request_of_the_former_primary():
    async def scenario(group):
        (connection,) = await connect_with_table(group)
        ran = await run_mode(connection, Mode.KEYED_WRITE, INSERT, key=KEY)
        await group.wait_until_applied('b', ran.position)
        await group.change_primary('b', 2)
        promoted = await group.connect('b', 'app')
        again = await run_mode(promoted, Mode.KEYED_WRITE, INSERT, key=KEY)
        assert (again.replayed, again.result_set) == (True, ran.result_set)
        assert await count_rows(promoted) == 2

    run_in_group(scenario, names=('a', 'b'))


def test_fence_prevents_the_commit_of_a_keyed_transaction():
    async def scenario(group):
        (connection,) = await connect_with_table(group)
        await run_mode(connection, Mode.KEYED_BEGIN, key=KEY)
        await run_mode(connection, Mode.IN_TRANSACTION, INSERT)
        await group.fence('a', 2)
        assert (await run_mode(connection, Mode.COMMIT)).failure is Failure.READ_ONLY
        assert await count_rows(connection, 'cassiaseam_requests') == 0

    run_in_group(scenario, names=('a',))
