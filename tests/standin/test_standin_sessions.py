import asyncio

import pytest

from cassiaseam.reducer.target_io import ExecutionMode, StatementFailure
from cassiaseam_standin.in_process_group import run_in_group, run_mode
from cassiaseam_standin.instance import InstanceLimits

BEGIN = ExecutionMode.BEGIN
COMMIT = ExecutionMode.COMMIT
INSIDE = ExecutionMode.IN_TRANSACTION
READ = ExecutionMode.READ
ROLLBACK = ExecutionMode.ROLLBACK
WRITE = ExecutionMode.WRITE
COUNT = 'SELECT COUNT(*) FROM t'
INSERT = 'INSERT INTO t VALUES (1)'
CREATE = 'CREATE TABLE t (v INT)'


async def connect_with_table(group, *users):
    connections = [await group.connect('a', user) for user in users]
    assert (await run_mode(connections[0], WRITE, CREATE)).failure is None
    return connections


async def count_rows(connection):
    return (await run_mode(connection, READ, COUNT)).result_set.rows[0][0]


def test_reader_sees_uncommitted_rows_or_waits_for_the_writer():
    async def scenario(group):
        writer, reader = await connect_with_table(group, 'w', 'r')
        await run_mode(writer, BEGIN)
        await run_mode(writer, INSIDE, INSERT)
        assert (await count_rows(writer), await count_rows(reader)) == (1, 0)
        await run_mode(writer, COMMIT)
        assert await count_rows(reader) == 1

    run_in_group(scenario, names=('a',))


def test_two_write_transactions_are_open_at_the_same_time():
    async def scenario(group):
        first, second = await connect_with_table(group, 'x', 'y')
        await run_mode(first, BEGIN)
        await run_mode(first, INSIDE, INSERT)
        waiting = asyncio.create_task(run_mode(second, WRITE, INSERT))
        await asyncio.sleep(0.05)
        assert not waiting.done()
        await run_mode(first, ROLLBACK)
        assert (await waiting).failure is None
        assert await count_rows(first) == 1

    run_in_group(scenario, names=('a',))


def test_blocked_writer_waits_forever():
    async def scenario(group):
        first, second = await connect_with_table(group, 'x', 'y')
        await run_mode(first, BEGIN)
        await run_mode(first, INSIDE, INSERT)
        finished = await run_mode(second, WRITE, INSERT)
        assert (finished.failure, finished.mysql_code) == (StatementFailure.SQL_ERROR, 1205)

    run_in_group(scenario, names=('a',), limits=InstanceLimits(connect_ms=0, lock_wait_ms=50))


def test_statements_that_wait_for_a_lock_keep_the_holder_from_its_slot():
    async def scenario(group):
        first, second, third = await connect_with_table(group, 'x', 'y', 'z')
        await run_mode(first, BEGIN)
        await run_mode(first, INSIDE, INSERT)
        waiting = [
            asyncio.create_task(run_mode(other, WRITE, INSERT)) for other in (second, third)
        ]
        await asyncio.sleep(0.05)
        assert (await run_mode(first, COMMIT)).failure is None
        assert [(await task).failure for task in waiting] == [None, None]

    run_in_group(scenario, names=('a',), limits=InstanceLimits(slots=1, connect_ms=0))


@pytest.mark.parametrize('ending', ['close', 'reset'])
def test_open_transaction_outlives_its_connection(ending):
    async def scenario(group):
        writer, other = await connect_with_table(group, 'w', 'o')
        await run_mode(writer, BEGIN)
        await run_mode(writer, INSIDE, INSERT)
        if ending == 'close':
            writer.close()
        else:
            await writer.protocol.reset_session()
        assert (await run_mode(other, WRITE, INSERT)).failure is None
        assert await count_rows(other) == 1

    run_in_group(scenario, names=('a',))


@pytest.mark.parametrize('wrote_before_fence', [True, False])
@pytest.mark.parametrize('promoted_again', [True, False])
def test_transaction_begun_before_a_fence_commits_after_it(wrote_before_fence, promoted_again):
    async def scenario(group):
        writer, other = await connect_with_table(group, 'w', 'o')
        await run_mode(writer, BEGIN)
        if wrote_before_fence:
            assert (await run_mode(writer, INSIDE, INSERT)).failure is None
        await group.fence('a', 2)
        if promoted_again:
            await group.promote('a', 2)
        if not wrote_before_fence:
            finished = await run_mode(writer, INSIDE, INSERT)
            assert finished.failure is StatementFailure.READ_ONLY
        else:
            finished = await run_mode(writer, COMMIT)
            assert (finished.failure, finished.mysql_code) == (StatementFailure.READ_ONLY, 1290)
        assert await count_rows(other) == 0
        assert (await run_mode(writer, BEGIN)).failure is None

    run_in_group(scenario, names=('a',))


def test_aborted_transaction_reads_other_data():
    async def scenario(group):
        (writer,) = await connect_with_table(group, 'w')
        await run_mode(writer, BEGIN)
        await run_mode(writer, INSIDE, INSERT)
        await group.fence('a', 2)
        assert (await run_mode(writer, INSIDE, COUNT)).failure is StatementFailure.READ_ONLY
        await run_mode(writer, ROLLBACK)
        assert await count_rows(writer) == 0

    run_in_group(scenario, names=('a',))


@pytest.mark.parametrize('mode', [WRITE, COMMIT])
def test_write_waiting_in_a_slot_commits_after_a_fence(mode):
    async def scenario(group):
        (writer,) = await connect_with_table(group, 'w')
        if mode is COMMIT:
            await run_mode(writer, BEGIN)
            await run_mode(writer, INSIDE, INSERT)
        await group.set_fault('a', 'statement_delay_ms', '100')
        waiting = asyncio.create_task(run_mode(writer, mode, INSERT))
        while not group.find_instance('a').running_statements:
            await asyncio.sleep(0.001)
        group.find_instance('a').fence(2, 'other')
        assert (await waiting).failure is StatementFailure.READ_ONLY
        assert not group.find_instance('a').write_lock.locked()
        assert group.find_instance('a').log.last.offset == 1

    run_in_group(scenario, names=('a',))


def test_more_statements_run_than_there_are_slots():
    async def scenario(group):
        instance = group.find_instance('a')
        connections = [await group.connect('a', 'app') for _ in range(4)]
        await group.set_fault('a', 'statement_delay_ms', '50')
        finished = await asyncio.gather(*(run_mode(one, READ, 'SELECT 1') for one in connections))
        assert [one.failure for one in finished] == [None] * 4
        assert (instance.peak_statements, instance.running_statements) == (2, 0)

    run_in_group(scenario, names=('a',), limits=InstanceLimits(slots=2, connect_ms=0))


def test_instance_takes_more_clients_than_its_limit_or_never_frees_their_places():
    async def scenario(group):
        first = await group.connect('a', 'app')
        await group.connect('a', 'app')
        with pytest.raises(Exception, match='Too many connections'):
            await group.connect('a', 'app')
        await group.connect('a')
        first.close()
        while group.servers['a'].count_clients() > 1:
            await asyncio.sleep(0.01)
        await group.connect('a', 'app')

    run_in_group(scenario, names=('a',), limits=InstanceLimits(connections=2, connect_ms=0))


def test_client_cut_spares_clients_or_hits_replication():
    async def scenario(group):
        (client,) = await connect_with_table(group, 'app')
        await group.set_fault('a', 'client_cut', '1')
        finished = await run_mode(client, READ, COUNT)
        assert finished.failure in {StatementFailure.NOT_SENT, StatementFailure.LOST}
        with pytest.raises(Exception, match='connect on a: lost'):
            await group.connect('a', 'app')
        contact = group.find_instance('b').last_contact
        while group.find_instance('b').last_contact == contact:
            await asyncio.sleep(0.01)
        await group.set_fault('a', 'client_cut', '0')
        await group.connect('a', 'app')

    run_in_group(scenario, names=('a', 'b'))


def test_unknown_fault_is_ignored():
    async def scenario(group):
        with pytest.raises(Exception, match='unknown fault'):
            await group.set_fault('a', 'no_such_fault', '1')
        await group.set_fault('a', 'leaving', '1')
        assert (await group.read_status('a')).leaving

    run_in_group(scenario, names=('a',))


def test_failed_login_can_run_statements():
    async def scenario(group):
        group.servers['a'].identity_provider.password = 'secret'
        with pytest.raises(Exception, match='Access denied'):
            await group.connect('a', 'app')
        assert group.servers['a'].count_clients() == 0

    run_in_group(scenario, names=('a',))
