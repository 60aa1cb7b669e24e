import pymysql
import pytest


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


def test_transaction(served):
    with served.connect(autocommit=True) as connection:
        connection.begin()
        assert connection.server_status & 1
        run(connection, 'UPDATE t SET n = 1')
        connection.commit()
        assert not connection.server_status & 1
    assert served.owner.kinds() == ['begin', 'write', 'commit']


def test_token(served):
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
def test_wrong_login(served, changes, code):
    with pytest.raises(pymysql.err.OperationalError) as failure:
        served.connect(**changes)
    assert failure.value.args[0] == code
    assert 'kind=access_denied ran=no' in failure.value.args[1]
