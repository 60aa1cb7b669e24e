import pytest

from cassiaseam_standin.sql_dialect import StatementKind, translate_statement
from cassiaseam_standin.standin_errors import StandinError

TRANSLATIONS = {
    'backslash in a string ends it too early': (
        r"INSERT INTO t VALUES ('it\'s')",
        "INSERT INTO t VALUES ('it''s')",
    ),
    'keyword inside a string is translated': (
        "INSERT INTO t VALUES ('NOW() # x')",
        "INSERT INTO t VALUES ('NOW() # x')",
    ),
    'double quotes are taken for a column name': (
        'UPDATE t SET v = "a"',
        "UPDATE t SET v = 'a'",
    ),
    'column option unknown to sqlite': (
        'CREATE TABLE t (id INT UNSIGNED NOT NULL AUTO_INCREMENT, v INT, PRIMARY KEY (id))',
        'CREATE TABLE t (id INTEGER PRIMARY KEY AUTOINCREMENT, v INT)',
    ),
    'table option unknown to sqlite': (
        'CREATE TABLE t (v INT) ENGINE=InnoDB DEFAULT CHARSET=utf8mb4',
        'CREATE TABLE t (v INT)',
    ),
    'upsert syntax of MySQL': (
        'INSERT INTO t (k, v) VALUES (1, 2) ON DUPLICATE KEY UPDATE v = VALUES(v)',
        'INSERT INTO t (k, v) VALUES (1, 2)  ON CONFLICT DO UPDATE SET  v = excluded.v',
    ),
    'locking clause unknown to sqlite': (
        'SELECT v FROM t WHERE k = 1 FOR UPDATE',
        'SELECT v FROM t WHERE k = 1',
    ),
}


@pytest.mark.parametrize(('sql', 'expected'), TRANSLATIONS.values(), ids=TRANSLATIONS)
def test_statement_changes_its_meaning_for_sqlite(sql, expected):
    assert translate_statement(sql).sql == expected


@pytest.mark.parametrize(
    ('sql', 'kind'),
    [
        ('/* c */ select 1', StatementKind.READ),
        ('(SELECT 1)', StatementKind.READ),
        ('WITH x AS (SELECT 1) SELECT * FROM x', StatementKind.READ),
        ('WITH x AS (SELECT 1) DELETE FROM t', StatementKind.WRITE),
        ('SELECT 1 FOR UPDATE', StatementKind.LOCKING_READ),
        ('START TRANSACTION', StatementKind.BEGIN),
        ('drop table t', StatementKind.WRITE),
        ('SET NAMES utf8mb4', StatementKind.IGNORED),
    ],
)
def test_statement_is_taken_for_another_kind(sql, kind):
    assert translate_statement(sql).kind is kind


@pytest.mark.parametrize(
    'sql', ['ROLLBACK TO s', 'SAVEPOINT s', 'SET autocommit=0', 'END', 'PRAGMA x', '']
)
def test_statement_that_would_change_the_transaction_unnoticed_is_accepted(sql):
    with pytest.raises(StandinError):
        translate_statement(sql)


def test_time_differs_between_primary_and_replica():
    sql = translate_statement('INSERT INTO t VALUES (NOW(), CURRENT_TIMESTAMP)').sql
    assert 'NOW' not in sql
    assert 'CURRENT' not in sql
