import asyncio
import time

import pymysql
import pytest
from twisted.internet.asyncioreactor import AsyncioSelectorReactor

from cassiaseam.configuration.model import DatabaseConfig
from cassiaseam.daemon.runtime import Runtime, RuntimeSettings
from cassiaseam.daemon.target_service import TargetCredentials
from cassiaseam.entry.identity import CallerLogin, hash_password
from cassiaseam.peers.services import PeerSettings
from cassiaseam_standin.group_launcher import start_group

LOOPBACK = ('127.0.0.1', 0)
LOGIN = CallerLogin('shop', hash_password('secret'), ('*',))


def build_settings(group, platform_url, vm='vm1', seeds=()):
    peers = PeerSettings(vm, 'p1', '127.0.0.1', 0, platform_url, seeds=seeds)
    return RuntimeSettings(
        callers=LOOPBACK,
        peers=peers,
        credentials=TargetCredentials('proxy', ''),
        logins=(LOGIN,),
        databases=(DatabaseConfig('orders', group.list_target_configs()),),
        shutdown_timeout_s=2,
    )


async def start_daemon(settings, seed):
    reactor = AsyncioSelectorReactor(asyncio.get_running_loop())
    runtime = Runtime(settings, reactor, seed)
    await runtime.start()
    return runtime


@pytest.fixture
def daemon(loop_thread, group, platform_url):
    runtime = loop_thread.run(start_daemon(build_settings(group, platform_url), 1))
    yield runtime
    loop_thread.run(runtime.stop())


def connect(runtime, **changes):
    settings = {'user': 'shop', 'password': 'secret', 'database': 'orders', 'autocommit': True}
    settings.update(changes)
    port = runtime.callers_port
    return pymysql.connect(host='127.0.0.1', port=port, ssl_disabled=True, **settings)


def run(connection, sql):
    with connection.cursor() as cursor:
        cursor.execute(sql)
        return cursor.fetchall()


def test_write_is_visible_to_the_next_read_of_the_session(daemon):
    with connect(daemon) as connection:
        run(connection, 'CREATE TABLE t (id INT PRIMARY KEY, name VARCHAR(20))')
        for number in range(20):
            run(connection, f"INSERT INTO t VALUES ({number}, 'x')")
            found = run(
                connection, f'/* cassiaseam: max_age=30s */ SELECT name FROM t WHERE id = {number}'
            )
            assert found == (('x',),)
        token = run(connection, 'SELECT @cassiaseam_token')[0][0]
    with connect(daemon) as other:
        run(other, f"SET @cassiaseam_token = '{token}'")
        run(other, "SET @cassiaseam_max_age = '30s'")
        assert run(other, 'SELECT COUNT(*) FROM t') == ((20,),)


def test_transaction_is_atomic(daemon):
    with connect(daemon) as connection:
        run(connection, 'CREATE TABLE u (id INT PRIMARY KEY)')
        connection.begin()
        run(connection, 'INSERT INTO u VALUES (1)')
        connection.rollback()
        connection.begin()
        run(connection, 'INSERT INTO u VALUES (2)')
        run(connection, 'INSERT INTO u VALUES (3)')
        connection.commit()
        assert run(connection, 'SELECT id FROM u ORDER BY id') == ((2,), (3,))


def test_statement_failure_of_a_target_keeps_its_code_and_the_session(daemon):
    with connect(daemon) as connection:
        with pytest.raises(pymysql.err.MySQLError) as failure:
            run(connection, 'SELECT * FROM missing')
        assert 'kind=statement_failed ran=no' in failure.value.args[1]
        assert failure.value.args[0] == 1146
        run(connection, 'SELECT 1')


def test_disconnect_of_a_caller_releases_the_locks_of_its_transaction(daemon):
    with connect(daemon) as connection:
        run(connection, 'CREATE TABLE v (id INT PRIMARY KEY)')
        leaving = connect(daemon)
        leaving.begin()
        run(leaving, 'INSERT INTO v VALUES (1)')
        leaving._force_close()
        run(connection, '/* cassiaseam: deadline=10s */ INSERT INTO v VALUES (1)')
        assert run(connection, 'SELECT COUNT(*) FROM v') == ((1,),)


@pytest.fixture
def pair(loop_thread, group, platform_url):
    first = loop_thread.run(start_daemon(build_settings(group, platform_url), 1))
    seeds = (('127.0.0.1', first.peers.port),)
    second = loop_thread.run(start_daemon(build_settings(group, platform_url, 'vm2', seeds), 2))
    runtimes = {'vm1': first, 'vm2': second}
    yield runtimes
    for runtime in runtimes.values():
        if not runtime.stopping:
            loop_thread.run(runtime.stop())


async def wait_for_agreement(runtimes):
    async with asyncio.timeout(15):
        while True:
            ranked = {tuple(runtime.rank_owners('orders')) for runtime in runtimes.values()}
            owners = [vm for vm, found in runtimes.items() if found.node.state.databases]
            if len(ranked) == 1 and len(ranked.copy().pop()) == 2 and len(owners) == 1:
                return owners[0]
            await asyncio.sleep(0.05)


def test_token_gives_read_your_writes_across_daemons(loop_thread, pair):
    owner = loop_thread.run(wait_for_agreement(pair))
    other = next(vm for vm in pair if vm != owner)
    with connect(pair[other]) as remote_session, connect(pair[owner]) as owner_session:
        run(remote_session, 'CREATE TABLE w (id INT PRIMARY KEY)')
        run(owner_session, "SET @cassiaseam_max_age = '30s'")
        for number in range(10):
            run(remote_session, f'INSERT INTO w VALUES ({number})')
            token = run(remote_session, 'SELECT @cassiaseam_token')[0][0]
            run(owner_session, f"SET @cassiaseam_token = '{token}'")
            assert run(owner_session, f'SELECT id FROM w WHERE id = {number}') == ((number,),)
        remote_session.begin()
        run(remote_session, 'INSERT INTO w VALUES (100)')
        remote_session.commit()
        assert run(owner_session, 'SELECT COUNT(*) FROM w') == ((11,),)


@pytest.mark.parametrize('sql', ['INSERT INTO {table} VALUES ({n})', 'SELECT {n} FROM {table}'])
def test_shutdown_of_an_owner_fails_no_statement_of_other_daemons(loop_thread, pair, sql):
    owner = loop_thread.run(wait_for_agreement(pair))
    other = next(vm for vm in pair if vm != owner)
    table = f'handover_{len(sql)}'
    with connect(pair[other]) as connection:
        run(connection, f'CREATE TABLE {table} (id INT PRIMARY KEY)')
        for number in range(20):
            run(connection, sql.format(table=table, n=number))
        stopping = asyncio.run_coroutine_threadsafe(pair[owner].stop(), loop_thread.loop)
        for number in range(20, 120):
            run(connection, sql.format(table=table, n=number))
        assert stopping.result(10) is True
        run(connection, sql.format(table=table, n=120))


def test_entry_uses_the_next_owner_after_the_owner_stops(loop_thread, pair):
    owner = loop_thread.run(wait_for_agreement(pair))
    other = next(vm for vm in pair if vm != owner)
    with connect(pair[other]) as connection:
        run(connection, 'CREATE TABLE x (id INT PRIMARY KEY)')
        connection.begin()
        run(connection, 'INSERT INTO x VALUES (1)')
        loop_thread.run(pair[owner].stop())
        with pytest.raises(pymysql.err.MySQLError) as failure:
            run(connection, 'INSERT INTO x VALUES (2)')
        assert 'kind=transaction_aborted ran=no' in failure.value.args[1]
        write_until_accepted(connection, 'INSERT INTO x VALUES (3)')
        assert run(connection, 'SELECT id FROM x') == ((3,),)


def write_until_accepted(connection, sql):
    for _ in range(100):
        try:
            return run(connection, sql)
        except pymysql.err.MySQLError as error:
            if 'ran=no' not in error.args[1]:
                raise
            time.sleep(0.1)
    raise AssertionError('no owner took over')


def test_no_acknowledged_write_is_lost_when_the_primary_is_killed(loop_thread, platform_url):
    own_group = loop_thread.run(start_group())
    runtime = loop_thread.run(start_daemon(build_settings(own_group, platform_url), 3))
    try:
        with connect(runtime) as connection:
            write_until_accepted(connection, 'CREATE TABLE t (id INT PRIMARY KEY)')
            acknowledged = set()
            refused = []
            for number in range(160):
                if number == 30:
                    own_group.targets['a'].kill()
                try:
                    run(connection, f'INSERT INTO t VALUES ({number})')
                except pymysql.err.MySQLError as error:
                    refused.append(error.args[1])
                    time.sleep(0.1)
                    continue
                acknowledged.add(number)
                if len(acknowledged) - 30 >= 30:
                    break
            found = {row[0] for row in run(connection, 'SELECT id FROM t')}
            assert acknowledged <= found, f'lost {acknowledged - found}, refused {refused}'
            assert len(acknowledged) == 60, f'writes did not resume: {refused}'
    finally:
        loop_thread.run(runtime.stop())
        own_group.stop()


def test_daemon_serves_without_a_platform(loop_thread, group):
    # Nothing listens on the discard port, so the platform is unreachable.
    settings = build_settings(group, 'http://127.0.0.1:9')
    runtime = loop_thread.run(start_daemon(settings, 1))
    try:
        with connect(runtime) as connection:
            assert run(connection, 'SELECT 1') == ((1,),)
    finally:
        loop_thread.run(runtime.stop())
