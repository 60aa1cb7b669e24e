import asyncio

import pytest
from result import Err

from cassiaseam.configuration.model import TargetConfig
from cassiaseam.errors import ErrorKind
from cassiaseam.messages import TargetRole
from cassiaseam.positions import LogPosition
from cassiaseam.reducer.target_io import ExecutionMode, StatementFailure
from cassiaseam.targets import adapter
from cassiaseam.targets import connection as target_connection
from cassiaseam_standin.in_process_group import run_in_group, run_mode
from cassiaseam_standin.instance import InstanceLimits

Mode = ExecutionMode
Failure = StatementFailure
CREATE = (
    'CREATE TABLE t (id INT NOT NULL AUTO_INCREMENT, v VARCHAR(20), f DOUBLE, b BLOB,'
    ' PRIMARY KEY (id))'
)
INSERT = "INSERT INTO t (v) VALUES ('x')"


async def connect_with_table(group):
    connection = await group.connect('a', 'app')
    assert (await run_mode(connection, Mode.WRITE, CREATE)).failure is None
    return connection


async def count_rows(group):
    probe = await group.connect('a')
    return (await run_mode(probe, Mode.READ, 'SELECT COUNT(*) FROM t')).result_set.rows[0][0]


def test_types_and_nulls_are_preserved():
    async def scenario(group):
        connection = await connect_with_table(group)
        insert = "INSERT INTO t (v, f, b) VALUES ('ő', 1.5, x'00ff'), ('12', NULL, NULL)"
        written = (await run_mode(connection, Mode.WRITE, insert)).result_set
        assert (written.affected_rows, written.last_insert_id) == (2, 1)
        read = (await run_mode(connection, Mode.READ, 'SELECT * FROM t ORDER BY id')).result_set
        assert read.columns == ('id', 'v', 'f', 'b')
        assert read.rows == ((1, 'ő', 1.5, b'\x00\xff'), (2, '12', None, None))
        assert read.column_types == (8, 253, 5, 252)
        empty = (await run_mode(connection, Mode.READ, 'SELECT v FROM t WHERE id=9')).result_set
        assert (empty.columns, empty.rows) == (('v',), ())

    run_in_group(scenario, names=('a',))


# Statements that run in order on one connection: mode, SQL, failure, code, commit position.
CONTRACT = {
    'read': [(Mode.READ, 'SELECT 1', None, 0, None)],
    'write': [(Mode.WRITE, INSERT, None, 0, LogPosition(1, 2))],
    'write without effect': [(Mode.WRITE, 'SET NAMES utf8mb4', None, 0, LogPosition(1, 1))],
    'transaction': [
        (Mode.BEGIN, '', None, 0, None),
        (Mode.IN_TRANSACTION, INSERT, None, 0, None),
        (Mode.IN_TRANSACTION, INSERT, None, 0, None),
        (Mode.COMMIT, '', None, 0, LogPosition(1, 2)),
    ],
    'rollback': [
        (Mode.BEGIN, '', None, 0, None),
        (Mode.IN_TRANSACTION, INSERT, None, 0, None),
        (Mode.ROLLBACK, '', None, 0, None),
        (Mode.WRITE, INSERT, None, 0, LogPosition(1, 2)),
    ],
    'syntax error': [
        (Mode.READ, 'SELEC 1', Failure.SQL_ERROR, 1064, None),
        (Mode.READ, 'SELECT 1', None, 0, None),
    ],
    'unknown table': [(Mode.READ, 'SELECT * FROM u', Failure.SQL_ERROR, 1146, None)],
    'unknown column': [(Mode.READ, 'SELECT u FROM t', Failure.SQL_ERROR, 1054, None)],
    'two statements': [(Mode.READ, 'SELECT 1; SELECT 2', Failure.SQL_ERROR, 1064, None)],
    'duplicate row': [
        (Mode.WRITE, 'INSERT INTO t (id) VALUES (1)', None, 0, LogPosition(1, 2)),
        (Mode.WRITE, 'INSERT INTO t (id) VALUES (1)', Failure.SQL_ERROR, 1062, None),
    ],
    'text that cannot be encoded': [
        (Mode.READ, "SELECT '\ud800'", Failure.SQL_ERROR, 1300, None),
        (Mode.READ, 'SELECT 1', None, 0, None),
    ],
    'missing key': [(Mode.KEYED_WRITE, INSERT, Failure.SQL_ERROR, 1210, None)],
}


@pytest.mark.parametrize('steps', CONTRACT.values(), ids=CONTRACT)
def test_statement_outcome_follows_the_contract(steps):
    async def scenario(group):
        connection = await connect_with_table(group)
        for mode, sql, failure, code, position in steps:
            finished = await run_mode(connection, mode, sql)
            assert (finished.failure, finished.mysql_code) == (failure, code), finished.message
            assert finished.position == position
            assert (finished.result_set is None) == (failure is not None)
        assert not connection.is_closed

    run_in_group(scenario, names=('a',))


# Fault, its value, mode, expected failure, number of rows afterwards.
FAULTS = {
    'killed before commit': ('drop_before_commit', '1', Mode.WRITE, Failure.LOST, 0),
    'killed after commit': ('drop_after_commit', '1', Mode.WRITE, Failure.LOST, 1),
    'keyed, killed before commit': ('drop_before_commit', '1', Mode.KEYED_WRITE, Failure.LOST, 0),
    'keyed, killed after commit': ('drop_after_commit', '1', Mode.KEYED_WRITE, Failure.LOST, 1),
    'slow': ('statement_delay_ms', '60000', Mode.WRITE, Failure.TIMEOUT, None),
    'slow read': ('statement_delay_ms', '60000', Mode.READ, Failure.TIMEOUT, None),
}


@pytest.mark.parametrize(
    ('fault', 'setting', 'mode', 'failure', 'rows'), FAULTS.values(), ids=FAULTS
)
def test_lost_or_timed_out_statement_is_reported_and_closes_the_connection(
    fault, setting, mode, failure, rows
):
    async def scenario(group):
        connection = await connect_with_table(group)
        # Creates the table of keys first; otherwise its commit would trigger the fault.
        await run_mode(connection, Mode.KEYED_WRITE, 'UPDATE t SET v = 1', key='first')
        await group.set_fault('a', fault, setting)
        timeout_s = 0.2 if failure is Failure.TIMEOUT else 5.0
        finished = await run_mode(connection, mode, INSERT, key='key', timeout_s=timeout_s)
        assert finished.failure is failure, finished.message
        assert connection.is_closed
        if rows is not None:
            assert await count_rows(group) == rows
        again = await run_mode(connection, mode, INSERT, key='key')
        assert again.failure is Failure.NOT_SENT

    run_in_group(scenario, names=('a',))


@pytest.mark.parametrize('mode', [Mode.COMMIT, Mode.IN_TRANSACTION])
def test_dropped_connection_rolls_its_transaction_back(mode):
    async def scenario(group):
        connection = await connect_with_table(group)
        await run_mode(connection, Mode.BEGIN)
        await run_mode(connection, Mode.IN_TRANSACTION, INSERT)
        if mode is Mode.COMMIT:
            await group.set_fault('a', 'drop_before_commit', '1')
            assert (await run_mode(connection, mode)).failure is Failure.LOST
        else:
            await group.set_fault('a', 'client_cut', '1')
            lost = await run_mode(connection, mode, INSERT)
            assert lost.failure in {Failure.LOST, Failure.NOT_SENT}
        assert await count_rows(group) == 0
        probe = await group.connect('a')
        assert (await run_mode(probe, Mode.WRITE, INSERT)).failure is None

    run_in_group(scenario, names=('a',))


def test_closing_a_connection_ends_its_running_statement():
    async def scenario(group):
        connection = await connect_with_table(group)
        lost = []
        connection.call_when_lost(lambda: lost.append(True))
        await group.set_fault('a', 'statement_delay_ms', '60000')
        running = asyncio.create_task(run_mode(connection, Mode.READ, 'SELECT 1', timeout_s=60))
        await asyncio.sleep(0.02)
        connection.close()
        assert (await running).failure is Failure.LOST
        assert lost == [True]

    run_in_group(scenario, names=('a',))


def test_loss_of_an_idle_connection_is_reported():
    async def scenario(group):
        connection = await group.connect('a', 'app')
        lost = asyncio.Event()
        connection.call_when_lost(lost.set)
        await group.set_fault('a', 'client_cut', '1')
        await lost.wait()
        assert connection.is_closed
        finished = await run_mode(connection, Mode.READ, 'SELECT 1')
        assert finished.failure is Failure.NOT_SENT

    run_in_group(scenario, names=('a',))


@pytest.mark.parametrize('name', ['b', 'c'])
@pytest.mark.parametrize('mode', [Mode.WRITE, Mode.KEYED_WRITE, Mode.KEYED_BEGIN])
def test_write_on_a_non_primary_target_fails_as_read_only(name, mode):
    async def scenario(group):
        await group.fence('c', 2)
        connection = await group.connect(name, 'app')
        finished = await run_mode(connection, mode, 'CREATE TABLE u (v INT)', key='key')
        assert finished.failure is Failure.READ_ONLY
        assert finished.mysql_code == 1290
        assert (await run_mode(connection, Mode.READ, 'SELECT 1')).failure is None

    run_in_group(scenario)


def test_oversized_result_is_refused_and_keeps_the_connection(monkeypatch):
    async def scenario(group):
        connection = await connect_with_table(group)
        await run_mode(connection, Mode.WRITE, "INSERT INTO t (v) VALUES ('12345678')")
        monkeypatch.setattr(target_connection, 'MAX_RESULT_BYTES', 16)
        read = [
            await run_mode(connection, Mode.READ, f'SELECT id, v {more} FROM t')
            for more in ('', ', 1', '')
        ]
        assert [one.failure for one in read] == [None, Failure.SQL_ERROR, None]
        assert read[1].mysql_code == 1153

    run_in_group(scenario, names=('a',))


def test_read_takes_one_round_trip(monkeypatch):
    async def scenario(group):
        connection = await connect_with_table(group)
        commands = []
        send = connection.protocol._execute_command

        async def count(command, sql):
            commands.append(sql)
            await send(command, sql)

        monkeypatch.setattr(connection.protocol, '_execute_command', count)
        await run_mode(connection, Mode.READ, 'SELECT * FROM t')
        assert len(commands) == 1

    run_in_group(scenario, names=('a',))


def test_reset_rolls_back_and_fails_on_a_closed_connection():
    async def scenario(group):
        connection = await connect_with_table(group)
        await run_mode(connection, Mode.BEGIN)
        await run_mode(connection, Mode.IN_TRANSACTION, INSERT)
        assert await adapter.reset_connection(connection, 5)
        assert await count_rows(group) == 0
        assert (await run_mode(connection, Mode.WRITE, INSERT)).failure is None
        connection.close()
        assert not await adapter.reset_connection(connection, 5)

    run_in_group(scenario, names=('a',))


def test_status_matches_the_state_of_the_target():
    async def scenario(group):
        connection = await connect_with_table(group)
        status = (await adapter.read_status(connection, 5)).unwrap()
        assert status.incarnation == connection.incarnation != ''
        assert (status.instance, status.role) == ('a', TargetRole.PRIMARY)
        assert (status.term, status.fenced_term) == (1, 1)
        assert status.last == status.applied == LogPosition(1, 1)
        replica = await group.read_status('b')
        assert (replica.follows, replica.role) == ('a', TargetRole.REPLICA)

    run_in_group(scenario, names=('a', 'b'))


def test_refused_fence_promote_or_follow_is_not_reported_as_granted():
    async def scenario(group):
        connection = await group.connect('a', 'app')
        primary = group.build_target_config('b')
        first = (await adapter.fence(connection, 2, 'x', 5)).unwrap()
        rival = (await adapter.fence(connection, 2, "y'", 5)).unwrap()
        assert (first.granted, rival.granted, rival.status.fenced_term) == (True, False, 2)
        refused = [
            await adapter.promote(connection, 2, "y'", 5),
            await adapter.promote(connection, 3, 'x', 5),
            await adapter.follow(connection, primary, 1, 5),
        ]
        assert all(isinstance(one, Err) for one in refused)
        assert {one.err_value.mysql_code for one in refused} == {1290}
        promoted = (await adapter.promote(connection, 2, 'x', 5)).unwrap()
        assert (promoted.role, promoted.term) == (TargetRole.PRIMARY, 2)

    run_in_group(scenario, names=('a', 'b'))


def test_connection_limit_is_reported_as_overload():
    async def scenario(group):
        config = group.build_target_config('a')
        await group.connect('a', 'app')
        opened = await adapter.open_connection(config, 'app', '', 5)
        assert opened.err_value.kind is ErrorKind.OVERLOADED
        assert opened.err_value.mysql_code == 1040

    run_in_group(scenario, names=('a',), limits=InstanceLimits(connections=1, connect_ms=0))


@pytest.mark.parametrize('silent', [True, False])
def test_connect_to_an_unreachable_target_times_out(silent):
    async def scenario():
        server = await asyncio.start_server(lambda reader, writer: None, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        if not silent:
            server.close()
        target = TargetConfig('a', '127.0.0.1', port, '')
        opened = await adapter.open_connection(target, 'app', '', 0.1)
        server.close()
        assert opened.err_value.kind is ErrorKind.NO_TARGET

    asyncio.run(scenario())
