"""Translates the MySQL statements used by tests and the demo to sqlite."""

import enum
import re
from dataclasses import dataclass
from datetime import UTC, datetime

from cassiaseam_standin.standin_errors import NOT_SUPPORTED, PARSE_ERROR, StandinError


class StatementKind(enum.Enum):
    """Kind of a statement, which determines how the session runs it."""

    READ = 'read'
    LOCKING_READ = 'locking_read'
    WRITE = 'write'
    BEGIN = 'begin'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'
    IGNORED = 'ignored'


@dataclass(frozen=True, slots=True)
class Statement:
    """A statement in the dialect of sqlite."""

    kind: StatementKind
    sql: str


# Strings, quoted names and comments, in which no keyword may be replaced.
LITERAL_PATTERN = re.compile(
    r"(?P<text>'(?:[^'\\]|\\.|'')*'|"
    r'"(?:[^"\\]|\\.|"")*")'
    r'|(?P<name>`[^`]*`)'
    r'|(?P<comment>/\*.*?\*/|--\s[^\n]*|\#[^\n]*)',
    re.DOTALL,
)
PLACEHOLDER_PATTERN = re.compile(r'\x01(\d+)\x01')
ESCAPE_PATTERN = re.compile(r'\\(.)', re.DOTALL)
ESCAPES = {'0': '\0', 'n': '\n', 'r': '\r', 't': '\t', 'b': '\b', 'Z': '\x1a'}

KEYWORD_PATTERN = re.compile(r'\s*\(*\s*([A-Za-z]+)')
WRITE_PATTERN = re.compile(r'\b(INSERT|UPDATE|DELETE|REPLACE)\b', re.IGNORECASE)
LOCKING_PATTERN = re.compile(
    r'\s+(FOR\s+UPDATE|FOR\s+SHARE|LOCK\s+IN\s+SHARE\s+MODE)(\s+NOWAIT|\s+SKIP\s+LOCKED)?\s*$',
    re.IGNORECASE,
)
INSERTED_TABLE_PATTERN = re.compile(
    r'\s*(?:INSERT|REPLACE)(?:\s+OR\s+\w+)?\s+INTO\s+["`]?(\w+)', re.IGNORECASE
)

KEYWORD_KINDS: dict[str, StatementKind] = {
    'SELECT': StatementKind.READ,
    'VALUES': StatementKind.READ,
    'WITH': StatementKind.READ,
    'EXPLAIN': StatementKind.READ,
    'BEGIN': StatementKind.BEGIN,
    'START': StatementKind.BEGIN,
    'COMMIT': StatementKind.COMMIT,
    'ROLLBACK': StatementKind.ROLLBACK,
    'SET': StatementKind.IGNORED,
    'USE': StatementKind.IGNORED,
    'INSERT': StatementKind.WRITE,
    'UPDATE': StatementKind.WRITE,
    'DELETE': StatementKind.WRITE,
    'REPLACE': StatementKind.WRITE,
    'CREATE': StatementKind.WRITE,
    'DROP': StatementKind.WRITE,
    'ALTER': StatementKind.WRITE,
}
# Treating these as simpler statements would give a session a wrong transaction state.
UNSUPPORTED_PATTERN = re.compile(
    r'\s*(SAVEPOINT|RELEASE|SHOW|ROLLBACK\s+(WORK\s+)?TO|SET\s.*AUTOCOMMIT\s*=\s*(0|OFF))\b',
    re.IGNORECASE,
)

CREATE_TABLE_PATTERN = re.compile(r'\s*CREATE\s+TABLE\b', re.IGNORECASE)
INSERT_IGNORE_PATTERN = re.compile(r'^\s*INSERT\s+IGNORE\b', re.IGNORECASE)
ON_DUPLICATE_PATTERN = re.compile(r'\bON\s+DUPLICATE\s+KEY\s+UPDATE\b', re.IGNORECASE)
INSERTED_VALUE_PATTERN = re.compile(r'\bVALUES\s*\(\s*([\w\x01]+)\s*\)', re.IGNORECASE)
TIME_PATTERN = re.compile(
    r'\bNOW\s*\(\s*\d?\s*\)|\bCURRENT_TIMESTAMP\b(\s*\(\s*\d?\s*\))?', re.IGNORECASE
)
AUTO_INCREMENT_PATTERN = re.compile(
    r'([\w\x01]+)\s+\w*INT\w*(?:\s*\(\s*\d+\s*\))?[^,()]*?\bAUTO_INCREMENT\b([^,()]*)',
    re.IGNORECASE,
)
TABLE_OPTIONS_PATTERN = re.compile(
    r'\)\s*(ENGINE|DEFAULT|CHARSET|COLLATE|AUTO_INCREMENT)\b[^)]*$', re.IGNORECASE
)
COLUMN_OPTIONS_PATTERN = re.compile(
    r'\bUNSIGNED\b|\bCHARACTER\s+SET\s+\w+|\bCOLLATE\s+\w+', re.IGNORECASE
)
PRIMARY_KEY_CLAUSE_PATTERN = re.compile(r',\s*PRIMARY\s+KEY\s*\([^)]*\)', re.IGNORECASE)


def decode_text(literal: str) -> str:
    """Return the value of a MySQL string literal."""
    quote = literal[0]
    body = literal[1:-1].replace(quote * 2, quote)
    return ESCAPE_PATTERN.sub(lambda found: ESCAPES.get(found[1], found[1]), body)


def format_text(text: str) -> str:
    """Return a string literal of sqlite."""
    if '\0' in text:
        # A NUL character would end the statement.
        return f"CAST(x'{text.encode().hex()}' AS TEXT)"
    doubled = text.replace("'", "''")
    return f"'{doubled}'"


class LiteralStore:
    """Literals of one statement, replaced by placeholders during keyword translation."""

    def __init__(self) -> None:
        self.literals: list[str] = []

    def extract_literals(self, sql: str) -> str:
        """Return `sql` with placeholders for literals and without comments."""
        return LITERAL_PATTERN.sub(self.replace_literal, sql)

    def replace_literal(self, found: re.Match[str]) -> str:
        """Return the placeholder of one literal."""
        if found['comment'] is not None:
            return ' '
        literal = found['name'] or format_text(decode_text(found['text']))
        self.literals.append(literal)
        return f'\x01{len(self.literals) - 1}\x01'

    def restore_literals(self, sql: str) -> str:
        """Return `sql` with its literals."""
        return PLACEHOLDER_PATTERN.sub(lambda found: self.literals[int(found[1])], sql)


def translate_create_table(sql: str) -> str:
    """Translate the column options of MySQL that sqlite does not know."""
    sql = COLUMN_OPTIONS_PATTERN.sub('', TABLE_OPTIONS_PATTERN.sub(')', sql))
    found = AUTO_INCREMENT_PATTERN.search(sql)
    if found is None:
        return sql
    column = f'{found[1]} INTEGER PRIMARY KEY AUTOINCREMENT'
    sql = f'{sql[: found.start()]}{column}{sql[found.end() :]}'
    return PRIMARY_KEY_CLAUSE_PATTERN.sub('', sql)


def translate_write(sql: str, now: datetime) -> str:
    """Translate a statement that changes data; the time becomes a constant for replicas."""
    if CREATE_TABLE_PATTERN.match(sql):
        return translate_create_table(sql)
    sql = INSERT_IGNORE_PATTERN.sub('INSERT OR IGNORE', sql)
    head, *updates = ON_DUPLICATE_PATTERN.split(sql, maxsplit=1)
    if updates:
        tail = INSERTED_VALUE_PATTERN.sub(r'excluded.\1', updates[0])
        sql = f'{head} ON CONFLICT DO UPDATE SET {tail}'
    return TIME_PATTERN.sub(now.strftime("'%Y-%m-%d %H:%M:%S'"), sql)


def find_kind(sql: str) -> StatementKind:
    """Return the kind of a statement without its literals.

    Raises:
        StandinError: The statement is unknown or not supported.
    """
    if UNSUPPORTED_PATTERN.match(sql):
        raise StandinError(NOT_SUPPORTED, f'not supported by the stand-in: {sql[:80]!r}')
    found = KEYWORD_PATTERN.match(sql)
    keyword = found[1].upper() if found else ''
    kind = KEYWORD_KINDS.get(keyword)
    if kind is None:
        raise StandinError(PARSE_ERROR, f'syntax error near {sql[:80]!r}')
    if kind is not StatementKind.READ:
        return kind
    if keyword == 'WITH' and WRITE_PATTERN.search(sql):
        return StatementKind.WRITE
    return StatementKind.LOCKING_READ if LOCKING_PATTERN.search(sql) else kind


def translate_statement(sql: str) -> Statement:
    """Return the kind of a MySQL statement and its text for sqlite."""
    store = LiteralStore()
    plain = store.extract_literals(sql).strip().rstrip(';')
    kind = find_kind(plain)
    if kind is StatementKind.WRITE:
        plain = translate_write(plain, datetime.now(UTC))
    if kind is StatementKind.LOCKING_READ:
        plain = LOCKING_PATTERN.sub('', plain)
    return Statement(kind, store.restore_literals(plain))


def find_inserted_table(sql: str) -> str | None:
    """Return the target table of an INSERT or REPLACE, or None for other statements."""
    found = INSERTED_TABLE_PATTERN.match(sql)
    return found[1] if found else None
