import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiaseam.entry.classification import classify_statement
from cassiaseam.errors import ErrorKind

CLASSIFICATION_CASES = [
    ('SELECT 1 FROM t', 'read'),
    ('  select a from t where b = "for update"', 'read'),
    ("SELECT 'a;b' -- ; x", 'read'),
    ('/* note */ SELECT a FROM t; ', 'read'),
    ('SELECT SLEEP(1)', 'read'),
    ('SHOW TABLES', 'read'),
    ('EXPLAIN SELECT 1', 'read'),
    ('(SELECT 1) UNION (SELECT 2)', 'read'),
    ('WITH x AS (SELECT 1) SELECT * FROM x', 'read'),
    ('WITH x AS (SELECT 1) DELETE FROM t WHERE a IN (SELECT * FROM x)', 'write'),
    ('SELECT a FROM t FOR UPDATE', 'write'),
    ('SELECT a FROM t LOCK IN SHARE MODE', 'write'),
    ('SELECT a FROM t FOR/**/SHARE SKIP LOCKED', 'write'),
    ('SELECT NEXTVAL(s)', 'write'),
    ('INSERT INTO t VALUES (1)', 'write'),
    ('CALL p(1)', 'write'),
    ('CREATE TABLE t (a INT)', 'write'),
    ('CREATE TRIGGER x BEFORE INSERT ON t FOR EACH ROW BEGIN SET @a = 1; END', 'write'),
    ('BEGIN', 'begin'),
    ('START TRANSACTION', 'begin'),
    ('COMMIT', 'commit'),
    ('ROLLBACK WORK;', 'rollback'),
    ('ROLLBACK TO SAVEPOINT a', 'write'),
    ('SET autocommit = 0', 'session'),
    ("SET @cassiaseam_max_age = '5s'", 'session'),
    ('SELECT @cassiaseam_token', 'session'),
    ('SELECT @@version, DATABASE()', 'session'),
    ('SELECT LAST_INSERT_ID()', 'session'),
    ('/*!40101 SET NAMES utf8 */', 'session'),
    ('USE orders', 'session'),
    ('SELECT a INTO OUTFILE "x" FROM t', 'refused'),
    ('SELECT a INTO @b FROM t', 'refused'),
    ('SELECT GET_LOCK("a", 1)', 'refused'),
    ('INSERT INTO t VALUES (GET_LOCK("a", 1))', 'refused'),
    ('SELECT 1; DROP TABLE t', 'refused'),
    ('SELECT 1 /*!; DROP TABLE t */', 'refused'),
    ('LOCK TABLES t WRITE', 'refused'),
    ('CREATE TEMPORARY TABLE t (a INT)', 'refused'),
    ('SET GLOBAL x = 1', 'refused'),
    ('SET autocommit = 1, GLOBAL x = 1', 'refused'),
    ('SET @@global.x = 1', 'refused'),
    ("XA START 'a'", 'refused'),
    ('START TRANSACTION READ ONLY', 'refused'),
    ('COMMIT AND CHAIN', 'refused'),
    ('KILL 7', 'refused'),
    ("CALL `cassiaseam_fence` (9, 'me')", 'refused'),
    ('SELECT cassiaseam_status()', 'refused'),
]


@pytest.mark.parametrize(('sql', 'kind'), CLASSIFICATION_CASES)
def test_statement_kind_is_classified(sql, kind):
    assert classify_statement(sql).kind.value == kind


@pytest.mark.parametrize('sql', ['', ' ; ', '-- x', "SELECT 'a", 'SELECT /* a', 'foo bar', '1'])
def test_invalid_text_is_rejected_as_bad_sql(sql):
    assert classify_statement(sql).error is ErrorKind.BAD_SQL


@pytest.mark.parametrize(
    'sql', ['SELECT @a FROM t', 'SAVEPOINT a', 'INSERT INTO t VALUES (LAST_INSERT_ID())']
)
def test_connection_dependent_statement_needs_a_transaction(sql):
    assert classify_statement(sql).needs_transaction


@settings(derandomize=True)
@given(st.text(), st.sampled_from(['INSERT INTO t VALUES (1)', 'DELETE FROM t', 'CALL p()']))
def test_a_change_is_never_a_read_whatever_follows(tail, sql):
    assert classify_statement(f'{sql} {tail}').kind.value in {'write', 'refused'}


@settings(derandomize=True)
@given(st.text())
def test_text_in_a_literal_does_not_change_the_kind(text):
    literal = text.replace('\\', '\\\\').replace("'", "''").replace('cassiaseam_', '')
    assert classify_statement(f"SELECT a FROM t WHERE b = '{literal}'").kind.value == 'read'


@pytest.mark.parametrize('piece', ['/*', "'", "\\'", '(', '-- ', '@ ', 'FOR '])
def test_long_malformed_text_does_not_block_the_event_loop(piece):
    classify_statement(f'SELECT {piece * 100_000}')
    assert classify_statement(f'({piece * 100_000}').error in ErrorKind
