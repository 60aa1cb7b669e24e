import asyncio

import pytest

from cassiaseam.messages import TargetRole
from cassiaseam.positions import LogPosition
from cassiaseam.reducer.target_io import ExecutionMode, StatementFailure
from cassiaseam_standin.in_process_group import run_in_group, run_mode

CREATE = 'CREATE TABLE t (v INT)'


async def write(group, name, *statements):
    connection = await group.connect(name)
    for sql in statements:
        finished = await run_mode(connection, ExecutionMode.WRITE, sql)
        assert finished.failure is None, finished.message
    connection.close()
    return finished.position


async def read_values(group, name):
    connection = await group.connect(name)
    finished = await run_mode(connection, ExecutionMode.READ, 'SELECT v FROM t ORDER BY v')
    connection.close()
    assert finished.failure is None, finished.message
    return [row[0] for row in finished.result_set.rows]


def test_replica_misses_a_write():
    async def scenario(group):
        position = await write(group, 'a', CREATE, 'INSERT INTO t VALUES (1)')
        for name in 'bc':
            await group.wait_until_applied(name, position)
            assert await read_values(group, name) == [1]

    run_in_group(scenario)


@pytest.mark.parametrize('paused', ['a', 'b'])
def test_paused_replica_receives_entries_or_loses_contact(paused):
    async def scenario(group):
        position = await write(group, 'a', CREATE)
        await group.wait_until_applied('b', position)
        await group.set_fault(paused, 'replication_pause', '1')
        later = await write(group, 'a', 'INSERT INTO t VALUES (1)')
        instance = group.find_instance('b')
        first_contact = instance.last_contact
        while instance.last_contact == first_contact:
            await asyncio.sleep(0.01)
        assert (await group.read_status('b')).last == position
        await group.set_fault(paused, 'replication_pause', '0')
        await group.wait_until_applied('b', later)

    run_in_group(scenario, names=('a', 'b'))


@pytest.mark.parametrize('cut', [('a', 'b'), ('b', 'a')])
def test_cut_replica_still_hears_of_its_primary(cut):
    async def scenario(group):
        position = await write(group, 'a', CREATE)
        await group.wait_until_applied('b', position)
        await group.set_fault(cut[0], 'cut_from', cut[1])
        later = await write(group, 'a', 'INSERT INTO t VALUES (1)')
        await group.wait_until_applied('c', later)
        contact = group.find_instance('b').last_contact
        await asyncio.sleep(0.3)
        assert group.find_instance('b').last_contact == contact
        assert (await group.read_status('b')).last == position
        await group.set_fault(cut[0], 'cut_from', '')
        await group.wait_until_applied('b', later)

    run_in_group(scenario)


def test_held_entry_is_visible_before_it_is_applied():
    async def scenario(group):
        position = await write(group, 'a', CREATE)
        await group.wait_until_applied('b', position)
        await group.set_fault('b', 'apply_delay_ms', '60000')
        later = await write(group, 'a', 'INSERT INTO t VALUES (1)')
        while (await group.read_status('b')).last != later:
            await asyncio.sleep(0.01)
        assert (await group.read_status('b')).applied == position
        assert await read_values(group, 'b') == []
        await group.set_fault('b', 'apply_delay_ms', '0')
        await group.wait_until_applied('b', await write(group, 'a', 'INSERT INTO t VALUES (2)'))
        assert await read_values(group, 'b') == [1, 2]

    run_in_group(scenario, names=('a', 'b'))


def test_replaced_primary_keeps_its_unreplicated_entries():
    async def scenario(group):
        position = await write(group, 'a', CREATE, 'INSERT INTO t VALUES (1)')
        for name in 'bc':
            await group.wait_until_applied(name, position)
        await group.set_fault('a', 'cut_from', 'b,c')
        lost = await write(group, 'a', 'INSERT INTO t VALUES (2)', 'INSERT INTO t VALUES (3)')
        await group.change_primary('b', 2, names=('b', 'c'))
        kept = await write(group, 'b', 'INSERT INTO t VALUES (4)')
        assert (lost, kept) == (LogPosition(1, 4), LogPosition(2, 3))
        await group.set_fault('a', 'cut_from', '')
        await group.follow('a', 'b', 2)
        status = await group.read_status('a')
        assert (status.role, status.term, status.follows) == (TargetRole.REPLICA, 2, 'b')
        await group.wait_until_applied('a', kept)
        assert await read_values(group, 'a') == [1, 4]
        assert group.find_instance('a').log.entries == group.find_instance('b').log.entries

    run_in_group(scenario)


def test_follow_reports_the_new_term_while_diverging_entries_are_held():
    async def scenario(group):
        await group.set_fault('a', 'cut_from', 'b,c')
        await write(group, 'a', CREATE)
        await group.change_primary('b', 2, names=('b', 'c'))
        with pytest.raises(Exception, match='has not answered'):
            await group.follow('a', 'b', 2)
        status = await group.read_status('a')
        assert (status.term, status.fenced_term, status.last) == (1, 2, LogPosition(1, 1))

    run_in_group(scenario)


def test_restarted_instance_is_not_rebuilt_by_follow():
    async def scenario(group):
        position = await write(group, 'a', CREATE, 'INSERT INTO t VALUES (1)')
        before = await group.read_status('b')
        await group.restart_target('b')
        status = await group.read_status('b')
        assert status.incarnation != before.incarnation
        assert (status.role, status.fenced_term) == (TargetRole.FENCED, 0)
        await group.follow('b', 'a', 1)
        await group.wait_until_applied('b', position)
        assert await read_values(group, 'b') == [1]

    run_in_group(scenario, names=('a', 'b'))


def test_promoted_replica_writes_on_old_data():
    async def scenario(group):
        position = await write(group, 'a', CREATE, 'INSERT INTO t VALUES (1)')
        await group.wait_until_applied('b', position)
        await group.change_primary('b', 2)
        position = await write(group, 'b', 'INSERT INTO t SELECT v + 1 FROM t')
        assert position == LogPosition(2, 3)
        await group.wait_until_applied('a', position)
        assert await read_values(group, 'a') == await read_values(group, 'b') == [1, 2]

    run_in_group(scenario)


@pytest.mark.parametrize(
    ('term', 'promoter', 'granted'),
    [(1, 'launcher', True), (1, 'other', False), (0, 'launcher', False), (2, 'other', True)],
)
def test_term_is_granted_twice_or_to_two_promoters(term, promoter, granted):
    async def scenario(group):
        instance = group.find_instance('a')
        assert instance.fence(term, promoter) is granted
        expected = TargetRole.FENCED if term == 2 else TargetRole.PRIMARY
        assert instance.role is expected
        assert instance.fence(2, 'late') is (term != 2)

    run_in_group(scenario, names=('a',))


def test_fenced_instance_accepts_entries_or_writes_of_an_older_term():
    async def scenario(group):
        position = await write(group, 'a', CREATE)
        await group.wait_until_applied('b', position)
        await group.fence('b', 2)
        later = await write(group, 'a', 'INSERT INTO t VALUES (1)')
        await group.wait_until_applied('c', later)
        assert (await group.read_status('b')).last == position
        connection = await group.connect('b')
        finished = await run_mode(connection, ExecutionMode.WRITE, 'INSERT INTO t VALUES (2)')
        assert finished.failure is StatementFailure.READ_ONLY
        with pytest.raises(Exception, match='cannot follow'):
            await group.follow('b', 'a', 1)

    run_in_group(scenario)
