"""Storage engine of a stand-in target: two in-memory sqlite databases.

Reads use the database `committed`, which changes only by whole log entries. The database `writer`
serves the single open write transaction. So readers never see uncommitted data, and never wait for
a writer.

Databases are brought up to date by replaying statements. Nondeterministic statements, such as
`random()`, are therefore not supported.
"""

import sqlite3
from collections.abc import Iterable
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from cassiaseam_standin.replication_log import LogEntry
from cassiaseam_standin.sql_dialect import find_inserted_table
from cassiaseam_standin.standin_errors import convert_sqlite_error


@dataclass(frozen=True, slots=True)
class StatementOutcome:
    """Result of one statement; `columns` is empty for statements without rows."""

    columns: tuple[str, ...] = ()
    rows: tuple[tuple[Any, ...], ...] = ()
    affected_rows: int = 0
    last_insert_id: int = 0


def concatenate_values(*parts: Any) -> str | None:
    """Implement `CONCAT` of MySQL, which sqlite lacks; NULL gives NULL."""
    if None in parts:
        return None
    return ''.join(str(part) for part in parts)


def open_database() -> sqlite3.Connection:
    """Open an empty in-memory database without implicit transactions."""
    database = sqlite3.connect(':memory:', isolation_level=None, cached_statements=512)
    database.create_function('concat', -1, concatenate_values, deterministic=True)
    return database


@contextmanager
def translate_errors():
    """Convert sqlite errors to errors with a MySQL code."""
    try:
        yield
    except (sqlite3.Error, sqlite3.Warning) as error:
        raise convert_sqlite_error(error) from error


class Engine:
    """Data of one instance.

    Attributes:
        committed: Database that holds exactly the applied log entries.
        writer: Database of the open write transaction.
        writer_is_current: Whether `writer` holds the same entries as `committed`.
    """

    def __init__(self) -> None:
        self.committed = open_database()
        self.writer = open_database()
        self.writer_is_current = True
        self.committed.execute('PRAGMA query_only = ON')

    def read_committed(self, sql: str) -> StatementOutcome:
        """Run a read on the committed data."""
        return self.fetch_rows(self.committed, sql)

    def read_in_transaction(self, sql: str) -> StatementOutcome:
        """Run a read that sees the changes of the open write transaction."""
        return self.fetch_rows(self.writer, sql)

    def fetch_rows(self, database: sqlite3.Connection, sql: str) -> StatementOutcome:
        """Run a statement and return all of its rows."""
        with translate_errors():
            cursor = database.execute(sql)
            columns = tuple(column[0] for column in cursor.description or ())
            rows = tuple(cursor.fetchall())
        return StatementOutcome(columns=columns, rows=rows)

    def begin_write(self) -> None:
        """Open the write transaction."""
        if not self.writer_is_current:
            self.committed.backup(self.writer)
            self.writer_is_current = True
        self.writer.execute('BEGIN')

    def write(self, sql: str) -> StatementOutcome:
        """Run a statement in the write transaction."""
        with translate_errors():
            cursor = self.writer.execute(sql)
            columns = tuple(column[0] for column in cursor.description or ())
            rows = tuple(cursor.fetchall())
        return StatementOutcome(
            columns=columns,
            rows=rows,
            affected_rows=max(cursor.rowcount, 0),
            last_insert_id=self.find_generated_id(sql, cursor),
        )

    def find_generated_id(self, sql: str, cursor: sqlite3.Cursor) -> int:
        """Return the first value that an INSERT generated, as MySQL reports it, or 0."""
        table = find_inserted_table(sql)
        if table is None or cursor.rowcount < 1 or not cursor.lastrowid:
            return 0
        query = "SELECT sql FROM sqlite_master WHERE type = 'table' AND lower(name) = lower(?)"
        row = self.writer.execute(query, (table,)).fetchone()
        if row is None or 'AUTOINCREMENT' not in row[0]:
            return 0
        return cursor.lastrowid - cursor.rowcount + 1

    def commit_write(self, entry: LogEntry) -> None:
        """Commit the write transaction, whose statements are those of `entry`."""
        self.writer.execute('COMMIT')
        self.apply_entries([entry])
        self.writer_is_current = True

    def roll_back_write(self) -> None:
        """Roll the write transaction back."""
        if self.writer.in_transaction:
            self.writer.execute('ROLLBACK')

    def apply_entries(self, entries: Iterable[LogEntry]) -> None:
        """Make log entries visible to reads."""
        self.writer_is_current = False
        self.committed.execute('PRAGMA query_only = OFF')
        self.committed.execute('BEGIN')
        for entry in entries:
            for sql in entry.statements:
                self.committed.execute(sql).fetchall()
        self.committed.execute('COMMIT')
        self.committed.execute('PRAGMA query_only = ON')

    def rebuild(self, entries: Iterable[LogEntry]) -> None:
        """Replace the data by an empty database with `entries` applied."""
        self.roll_back_write()
        self.committed.close()
        self.committed = open_database()
        self.apply_entries(entries)
