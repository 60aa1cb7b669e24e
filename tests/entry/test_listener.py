import asyncio
import socket
import struct

import mysql.connector
import pymysql
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cassiaseam.entry.classification import classify_statement
from cassiaseam.messages import Answer, ResultSet


def run(connection, sql):
    with connection.cursor() as cursor:
        cursor.execute(sql)
        return cursor.fetchall()


def test_rows_and_counters_reach_the_caller(served):
    with served.connect() as connection:
        assert run(connection, 'SELECT n, text FROM t') == ((1, 'one'), (2, None))
        with connection.cursor() as cursor:
            assert cursor.execute('INSERT INTO t VALUES (1)') == 3
            assert cursor.lastrowid == 17


def test_status_flag_follows_the_transaction(served):
    with served.connect(autocommit=True) as connection:
        connection.begin()
        assert connection.server_status & 1
        run(connection, 'UPDATE t SET n = 1')
        connection.commit()
        assert not connection.server_status & 1
    assert served.owner.kinds() == ['begin', 'write', 'commit']


def test_session_token_carries_the_floor_to_another_session(served):
    with served.connect(autocommit=True) as connection:
        assert run(connection, 'SELECT @cassiaseam_token') == ((None,),)
        run(connection, 'INSERT INTO t VALUES (1)')
        token = run(connection, 'SELECT @cassiaseam_token')[0][0]
        assert run(connection, 'SELECT @cassiaseam_last_target') == (('a',),)
    with served.connect() as connection:
        run(connection, f"SET @cassiaseam_token = '{token}'")
        run(connection, 'SELECT 1 FROM t')
    assert served.owner.requests[-1].floor.offset == 1


@pytest.mark.parametrize(
    ('changes', 'code'),
    [({'password': 'x'}, 1045), ({'user': 'nobody'}, 1045), ({'database': 'internal'}, 1045)],
)
def test_invalid_login_is_rejected(served, changes, code):
    with pytest.raises(pymysql.err.OperationalError) as failure:
        served.connect(**changes)
    assert failure.value.args[0] == code
    assert 'kind=access_denied ran=no' in failure.value.args[1]


@pytest.mark.parametrize(
    ('sql', 'code'),
    [
        ('LOCK TABLES t WRITE', 1235),
        ('SELECT 1; SELECT 2', 1235),
        ('nonsense', 1064),
        ('SET GLOBAL a = 1', 1235),
        ('SET @a = 1', 1235),
        ("SET time_zone = '+01:00'", 1235),
        ("SET @cassiaseam_max_age = '5'", 1210),
        ('/* cassiaseam: colour=red */ SELECT 1 FROM t', 1210),
        ('SAVEPOINT a', 1235),
        ('USE internal', 1045),
        ('KILL 1', 1235),
        ('SELECT ' + '1,' * 600_000 + '1 FROM t', 1153),
    ],
)
def test_rejected_statement_is_not_forwarded_and_keeps_the_session(served, sql, code):
    with served.connect(autocommit=True) as connection:
        with pytest.raises(pymysql.err.MySQLError) as failure:
            run(connection, sql)
        assert failure.value.args[0] == code
        assert 'ran=no' in failure.value.args[1]
        assert served.owner.requests == []
        assert run(connection, 'SELECT 1 FROM t')


def test_autocommit_off_opens_a_transaction_and_on_commits_it(served):
    with served.connect(autocommit=False) as connection:
        run(connection, 'SELECT 1 FROM t')
        connection.autocommit(True)
    assert served.owner.kinds() == ['begin', 'read', 'commit']


def test_session_key_applies_to_one_write_only(served):
    with served.connect(autocommit=True) as connection:
        run(connection, "SET @cassiaseam_key = 'k1'")
        run(connection, 'INSERT INTO t VALUES (1)')
        run(connection, 'INSERT INTO t VALUES (2)')
        run(connection, '/* cassiaseam: key=k2, max_age=5s */ INSERT INTO t VALUES (3)')
    assert [request.idempotency_key for request in served.owner.requests] == ['k1', None, 'k2']


def test_reset_rolls_back_and_keeps_the_floor(served):
    with served.connect(autocommit=True) as connection:
        run(connection, 'INSERT INTO t VALUES (1)')
        connection.begin()
        connection._execute_command(0x1F, '')
        connection._read_ok_packet()
        assert not connection.server_status & 1
        run(connection, 'SELECT 1 FROM t')
    assert 'rollback' in served.owner.kinds()
    assert served.owner.requests[-1].floor is not None


@pytest.mark.parametrize('text', ["it's", 'a\\', "\\' OR 1=1 -- ", '?', 'é', '"`'])
def test_parameter_is_escaped_inside_its_literal(served, text):
    connection = mysql.connector.connect(
        host='127.0.0.1',
        port=served.port,
        user='shop',
        password='secret',
        database='orders',
        use_pure=True,
    )
    cursor = connection.cursor(prepared=True)
    cursor.execute("SELECT n, text FROM t WHERE a = '?' AND b = %s AND c = %s", (text, 7))
    assert cursor.fetchall() == [(1, 'one'), (2, None)]
    cursor.execute("SELECT n, text FROM t WHERE a = '?' AND b = %s AND c = %s", (text, 8))
    cursor.fetchall()
    connection.close()
    escaped = text.replace('\\', '\\\\').replace("'", "''")
    expected = f"SELECT n, text FROM t WHERE a = '?' AND b = '{escaped}' AND c = 8"
    assert [found.sql for found in served.owner.requests if found.sql][-1] == expected
    assert classify_statement(expected).kind.value == 'read'


def test_caller_that_disconnects_cancels_its_statement_and_transaction(served):
    async def never(request):
        await asyncio.Event().wait()

    served.owner.replies['SELECT slow FROM t'] = never
    connection = served.connect()
    connection.begin()
    connection._execute_command(3, 'SELECT slow FROM t')
    assert served.wait_until(lambda: 'read' in served.owner.kinds())
    connection._force_close()
    assert served.wait_until(lambda: 'rollback' in served.owner.kinds())
    assert len(served.owner.cancelled) == 1
    assert served.wait_until(lambda: not served.listener.connections)


def test_statement_without_an_answer_ends_at_its_deadline(served):
    async def never(request):
        await asyncio.Event().wait()

    served.owner.replies['SELECT 1 FROM t'] = never
    with served.connect(autocommit=True) as connection:
        with pytest.raises(pymysql.err.MySQLError) as failure:
            run(connection, '/* cassiaseam: deadline=50ms */ SELECT 1 FROM t')
        assert 'kind=deadline_exceeded ran=no' in failure.value.args[1]
        assert run(connection, 'SELECT 2 FROM t')


MALFORMED_INPUTS = [
    b'',
    b'\x05',
    b'\xff\xff\xff\x01' + b'a' * 100,
    b'\x05\x00\x00\x07abcde',
    b'\x00\x00\x00\x01',
    b'\x20\x00\x00\x01' + b'\xff' * 32,
    b'GET / HTTP/1.1\r\n\r\n',
]


@pytest.mark.parametrize('sent', MALFORMED_INPUTS)
@pytest.mark.parametrize('half_open', [True, False])
def test_malformed_input_closes_only_its_own_connection(served, sent, half_open):
    with served.connect(autocommit=True) as other:
        with socket.create_connection(('127.0.0.1', served.port)) as caller:
            caller.recv(4096)
            caller.sendall(sent)
            if not half_open:
                caller.shutdown(socket.SHUT_WR)
            caller.settimeout(5)
            while caller.recv(4096):
                pass
        assert run(other, 'SELECT 1 FROM t')


@given(command=st.integers(0, 255), body=st.binary(max_size=60))
@settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
def test_any_command_gets_an_answer_or_ends_its_connection(served, command, body):
    connection = served.connect(autocommit=True)
    connection._next_seq_id = 0
    connection.write_packet(bytes([command]) + body)
    connection._sock.settimeout(5)
    connection._sock.shutdown(socket.SHUT_WR)
    while connection._sock.recv(4096):
        pass
    connection._force_close()


def test_sessions_over_the_limit_are_rejected(served):
    connections = [served.connect() for _ in range(8)]
    with pytest.raises(pymysql.err.MySQLError) as failure:
        served.connect()
    assert 'kind=overloaded' in failure.value.args[1]
    for connection in connections:
        connection.close()


def test_shutdown_waits_for_an_open_transaction(served):
    connection = served.connect()
    connection.begin()
    idle = served.connect()
    stopping = asyncio.run_coroutine_threadsafe(served.listener.stop(5), served.loop)
    assert served.wait_until(lambda: len(served.listener.connections) == 1)
    run(connection, 'UPDATE t SET n = 1')
    connection.commit()
    assert stopping.result(5) is True
    assert served.owner.kinds() == ['begin', 'write', 'commit']
    idle._force_close()
    connection._force_close()


def test_schema_change_commits_the_open_transaction_first(served):
    with served.connect(autocommit=False) as connection:
        run(connection, 'INSERT INTO t VALUES (1)')
        run(connection, 'CREATE TABLE u (a INT)')
        assert not connection.server_status & 1
    assert served.owner.kinds() == ['begin', 'write', 'commit', 'write']


@pytest.mark.parametrize(
    ('attribute', 'code'), [('max_age=5s', None), ('max_age=5', 1210), ('key=k', 1210)]
)
def test_connection_attributes_are_checked_at_the_login(served, attribute, code):
    name, text = attribute.split('=')
    original = pymysql.connections.Connection._request_authentication

    def add_attribute(connection):
        connection._connect_attrs[f'cassiaseam_{name}'] = text
        original(connection)

    pymysql.connections.Connection._request_authentication = add_attribute
    try:
        if code is not None:
            with pytest.raises(pymysql.err.MySQLError) as failure:
                served.connect()
            assert failure.value.args[0] == code
            return
        with served.connect(autocommit=True) as connection:
            run(connection, 'SELECT 1 FROM t')
        assert served.owner.requests[-1].max_age_s == 5
    finally:
        pymysql.connections.Connection._request_authentication = original


def test_cursor_returns_every_row(served):
    rows = tuple((number, 'x') for number in range(7))

    async def reply(request):
        return Answer(request.request_id, ResultSet(('n', 'text'), rows, column_types=(8, 253)))

    served.owner.replies['SELECT n FROM t'] = reply
    connection = served.connect(autocommit=True)
    connection._execute_command(0x16, 'SELECT n FROM t')
    connection._read_packet()
    connection._execute_command(0x17, struct.pack('<IBI', 0, 1, 1))
    for _ in range(4):
        connection._read_packet()
    fetched = 0
    while fetched < 7:
        connection._execute_command(0x1C, struct.pack('<II', 0, 3))
        packet = connection._read_packet()
        while packet.get_all_data()[0] == 0:
            fetched += 1
            packet = connection._read_packet()
    assert fetched == 7
    connection.close()


@pytest.mark.parametrize(
    ('user', 'password', 'code'), [('open', 'other', None), ('open', 'x', 1045)]
)
def test_change_user_rolls_back_and_checks_the_login(served, user, password, code):
    connection = mysql.connector.connect(
        host='127.0.0.1', port=served.port, user='shop', password='secret', use_pure=True
    )
    connection.cmd_query('USE orders')
    connection.start_transaction()
    try:
        connection.cmd_change_user(user, password, 'labels')
    except mysql.connector.Error as failure:
        assert failure.errno == code
    else:
        assert code is None
        connection.cmd_query('SELECT 1 FROM t')
        connection.get_rows()
        assert served.owner.requests[-1].caller == 'open'
        assert served.owner.requests[-1].database == 'labels'
    assert served.wait_until(lambda: 'rollback' in served.owner.kinds())
    connection.close()


def test_oversized_multi_packet_statement_is_rejected_and_keeps_the_session(served):
    with served.connect(autocommit=True, max_allowed_packet=1 << 26) as connection:
        with pytest.raises(pymysql.err.MySQLError) as failure:
            run(connection, 'SELECT ' + '1' * (20 << 20))
        assert failure.value.args[0] == 1153
        assert run(connection, 'SELECT 1 FROM t')


@pytest.mark.parametrize(
    ('charset', 'expected'), [('latin1', 'é ?'), ('utf8mb4', 'é €'), ('utf8', 'é €')]
)
def test_text_outside_the_character_set_does_not_break_the_answer(served, charset, expected):
    async def reply(request):
        assert request.sql == "SELECT n FROM t WHERE a = 'é'"
        rows = (('é €',),)
        return Answer(request.request_id, ResultSet(('n',), rows, column_types=(253,)))

    served.owner.replies["SELECT n FROM t WHERE a = 'é'"] = reply
    with served.connect(autocommit=True, charset=charset) as connection:
        rows = run(connection, "SELECT n FROM t WHERE a = 'é'")
        assert rows[0] == (expected,)
        assert run(connection, 'SELECT 1 FROM t')
