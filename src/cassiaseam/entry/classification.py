"""Classification of statement texts.

Literals and comments are masked, and the leading keyword selects the rule that classifies the
text. The SQL parser runs only when no rule matches the leading keyword. Results are cached by
statement text.
"""

import enum
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from cachetools import LRUCache

from cassiaseam.errors import ErrorKind

MAX_CACHED_STATEMENTS = 4096
# Longer texts are mostly bulk inserts; they rarely repeat and would evict useful entries.
MAX_CACHED_TEXT_CHARS = 4096
# The parser blocks the event loop for about 0.3 ms per 60 characters.
MAX_PARSED_TEXT_CHARS = 16384


class StatementKind(enum.Enum):
    """How the entry daemon handles a statement."""

    READ = 'read'
    WRITE = 'write'
    BEGIN = 'begin'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'
    SESSION = 'session'
    REFUSED = 'refused'


@dataclass(frozen=True, slots=True)
class Classification:
    """Result of classifying one statement text.

    Attributes:
        kind: How the entry daemon handles the statement.
        reason: Why the statement is rejected.
        error: Error kind of a rejected statement.
        needs_transaction: The statement depends on the state of one target connection, so it runs
            only inside a transaction.
        implicit_commit: The statement commits an open transaction before it runs, as DDL does.
    """

    kind: StatementKind
    reason: str = ''
    error: ErrorKind = ErrorKind.UNSUPPORTED
    needs_transaction: bool = False
    implicit_commit: bool = False


Rule = Callable[[str], Classification]
RuleT = TypeVar('RuleT', bound=Rule)
RULES: dict[str, Rule] = {}

_READ = Classification(StatementKind.READ)
_WRITE = Classification(StatementKind.WRITE)
_SESSION = Classification(StatementKind.SESSION)
_SCHEMA_CHANGE = Classification(StatementKind.WRITE, implicit_commit=True)
_PINNED_READ = Classification(StatementKind.READ, needs_transaction=True)
_PINNED_WRITE = Classification(StatementKind.WRITE, needs_transaction=True)

# An unterminated literal or comment matches up to the end of the text, which keeps the scan
# linear.
_LITERAL_OR_COMMENT = re.compile(
    r"""'(?:[^'\\]+|\\.|'')*+(?:'|\Z)
    |"(?:[^"\\]+|\\.|"")*+(?:"|\Z)
    |`(?:[^`]+|``)*+(?:`|\Z)
    |/\*(?!!).*?(?:\*/|\Z)
    |(?:--(?=[\s\0])|\#)[^\n\0]*""",
    re.VERBOSE | re.DOTALL,
)
_SENTINEL = '\0'
_EXECUTABLE_COMMENT = re.compile(r'/\*!\d*|\*/')
_LEADING_WORD = re.compile(r'\s*([A-Za-z]+)')
_CONTROL_ROUTINE = re.compile(
    r'cassiaseam_(?:status|last_commit|fence|promote|follow)[`"\s]*\(', re.IGNORECASE
)
_LOCKING_READ = re.compile(r'\bFOR\s+(?:UPDATE|SHARE)\b|\bLOCK\s+IN\s+SHARE\s+MODE\b')
_NAMED_LOCK = re.compile(
    r'\b(?:GET_LOCK|RELEASE_LOCK|RELEASE_ALL_LOCKS|IS_FREE_LOCK|IS_USED_LOCK)\s*\('
)
_SEQUENCE = re.compile(r'\b(?:NEXTVAL|SETVAL)\s*\(|\bNEXT\s+VALUE\s+FOR\b')
_CONNECTION_STATE = re.compile(
    r'\b(?:LAST_INSERT_ID|ROW_COUNT|FOUND_ROWS)\s*\(\s*\)|(?<![@\w])@(?![@\s])'
)
_SESSION_SELECT = re.compile(
    r'@@|@CASSIASEAM_|^SELECT\s+LAST_INSERT_ID\s*\(\s*\)(?:\s+AS\s+\w+)?$|'
    r'\b(?:DATABASE|SCHEMA|VERSION|CONNECTION_ID|(?:CURRENT_|SESSION_|SYSTEM_)?USER)\s*\(\s*\)'
)
_STORED_PROGRAM = re.compile(r'\b(?:PROCEDURE|FUNCTION|TRIGGER|EVENT)\b')
_ACCOUNT = re.compile(r'^\w+\s+(?:USER|ROLE)\b')
_DATABASE = re.compile(r'^\w+\s+(?:DATABASE|SCHEMA)\b')
_TEMPORARY = re.compile(r'^\w+\s+(?:OR\s+REPLACE\s+)?TEMPORARY\b')
_GLOBAL_SET = re.compile(
    r'(?:^SET|,)\s*(?:GLOBAL|PERSIST|PERSIST_ONLY|PASSWORD|ROLE|DEFAULT\s+ROLE|RESOURCE)\b'
    r'|@@(?:GLOBAL|PERSIST|PERSIST_ONLY)\s*\.'
)
_SESSION_SHOW = re.compile(
    r'^SHOW\s+(?:(?:SESSION|GLOBAL|LOCAL)\s+)?'
    r'(?:VARIABLES|STATUS|WARNINGS|ERRORS|DATABASES|SCHEMAS)\b'
)
_PLAIN_BEGIN = re.compile(r'^(?:BEGIN(?:\s+WORK)?|START\s+TRANSACTION(?:\s+READ\s+WRITE)?)$')
_PLAIN_END = re.compile(r'^(?:COMMIT|ROLLBACK)(?:\s+WORK)?(?:\s+AND\s+NO\s+CHAIN)?$')
_TO_SAVEPOINT = re.compile(r'^ROLLBACK(?:\s+WORK)?\s+TO\b')

_CACHE: LRUCache = LRUCache(maxsize=MAX_CACHED_STATEMENTS)


def classify_statement(sql: str) -> Classification:
    """Return the classification of one statement text, using the cache."""
    found = _CACHE.get(sql)
    if found is None:
        found = classify_without_cache(sql)
        if len(sql) <= MAX_CACHED_TEXT_CHARS:
            _CACHE[sql] = found
    return found


def classify_without_cache(sql: str) -> Classification:
    """Classify one statement text without reading or filling the cache."""
    masked = _LITERAL_OR_COMMENT.sub(' ', sql + _SENTINEL)
    if not masked.endswith(_SENTINEL):
        return refuse('unterminated literal or comment', ErrorKind.BAD_SQL)
    if 'cassiaseam_' in sql.lower() and _CONTROL_ROUTINE.search(sql):
        return refuse('routines of the target group are not open to callers')
    text = masked[:-1].rstrip('; \t\r\n')
    if '/*!' in text:
        text = _EXECUTABLE_COMMENT.sub(' ', text)
    text = text.strip().upper()
    if not text:
        return refuse('empty statement', ErrorKind.BAD_SQL)
    word_match = _LEADING_WORD.match(text)
    word = word_match.group(1) if word_match else ''
    if ';' in text and not (word == 'CREATE' and _STORED_PROGRAM.search(text)):
        return refuse('multiple statements in one text')
    rule = RULES.get(word)
    if rule is not None:
        return rule(text)
    if len(sql) > MAX_PARSED_TEXT_CHARS:
        return refuse('statement too long for its leading word', ErrorKind.TOO_LARGE)
    return _classify_by_parser(sql, text)


def refuse(reason: str, error: ErrorKind = ErrorKind.UNSUPPORTED) -> Classification:
    """Return the classification of a rejected statement."""
    return Classification(StatementKind.REFUSED, reason=reason, error=error)


def classifies(*words: str) -> Callable[[RuleT], RuleT]:
    """Register the rule for statements that start with one of `words`."""

    def register(rule: RuleT) -> RuleT:
        RULES.update(dict.fromkeys(words, rule))
        return rule

    return register


def _register_constant(words: str, outcome: Classification) -> None:
    RULES.update(dict.fromkeys(words.split(), lambda _text: outcome))


_register_constant('ALTER TRUNCATE RENAME ANALYZE OPTIMIZE REPAIR', _SCHEMA_CHANGE)
_register_constant('USE', _SESSION)
_register_constant('SAVEPOINT RELEASE', _PINNED_WRITE)
_register_constant('LOCK UNLOCK', refuse('LOCK TABLES holds a target connection'))
_register_constant('XA', refuse('XA transactions'))
_register_constant('PREPARE EXECUTE DEALLOCATE', refuse('use the binary protocol to prepare'))
_register_constant('HANDLER', refuse('HANDLER holds a target connection'))
_register_constant('LOAD IMPORT', refuse('reading files into a target'))
_register_constant(
    'GRANT REVOKE FLUSH RESET KILL SHUTDOWN RESTART CHANGE STOP PURGE INSTALL UNINSTALL CLONE '
    'BINLOG CACHE HELP SIGNAL RESIGNAL GET',
    refuse('administration of a target'),
)


@classifies('SELECT', 'TABLE', 'VALUES', 'EXPLAIN', 'DESCRIBE', 'DESC', 'CHECK', 'CHECKSUM', 'DO')
def classify_query(text: str) -> Classification:
    """Classify a query by the functions and clauses in its text."""
    if re.search(r'\bINTO\b', text) and not text.startswith(('EXPLAIN', 'DESC')):
        return refuse('SELECT ... INTO')
    if _NAMED_LOCK.search(text):
        return refuse('named locks hold a target connection')
    if not re.search(r'\bFROM\b', text) and _SESSION_SELECT.search(text):
        return _SESSION
    writes = _LOCKING_READ.search(text) or _SEQUENCE.search(text)
    if _CONNECTION_STATE.search(text):
        return _PINNED_WRITE if writes else _PINNED_READ
    return _WRITE if writes else _READ


@classifies('INSERT', 'UPDATE', 'DELETE', 'REPLACE', 'CALL')
def classify_data_change(text: str) -> Classification:
    """Classify a DML statement."""
    if _NAMED_LOCK.search(text):
        return refuse('named locks hold a target connection')
    return _PINNED_WRITE if _CONNECTION_STATE.search(text) else _WRITE


@classifies('CREATE', 'DROP')
def classify_schema_change(text: str) -> Classification:
    """Classify a DDL statement."""
    if _TEMPORARY.match(text):
        return refuse('temporary tables hold a target connection')
    if _ACCOUNT.match(text):
        return refuse('administration of a target')
    if _DATABASE.match(text):
        return refuse('databases are set up by operators')
    return _SCHEMA_CHANGE


@classifies('SET')
def classify_set(text: str) -> Classification:
    """Classify a SET statement; only session variables can be set."""
    if _GLOBAL_SET.search(text):
        return refuse('SET of a global variable')
    return _SESSION


@classifies('SHOW')
def classify_show(text: str) -> Classification:
    """Classify a SHOW statement: about the session, or about the tables of a target."""
    return _SESSION if _SESSION_SHOW.match(text) else _READ


@classifies('BEGIN', 'START')
def classify_begin(text: str) -> Classification:
    """Classify a BEGIN or START statement."""
    if _PLAIN_BEGIN.match(text):
        return Classification(StatementKind.BEGIN)
    return refuse('START TRANSACTION with READ ONLY or a snapshot, and START of other things')


@classifies('COMMIT', 'ROLLBACK')
def classify_end(text: str) -> Classification:
    """Classify COMMIT, ROLLBACK and ROLLBACK TO SAVEPOINT."""
    if _TO_SAVEPOINT.match(text):
        return _PINNED_WRITE
    if _PLAIN_END.match(text):
        return Classification(StatementKind[text.split()[0]])
    return refuse('COMMIT or ROLLBACK with CHAIN or RELEASE')


def _classify_by_parser(sql: str, text: str) -> Classification:
    import sqlglot  # noqa: PLC0415  (imports in 0.2 s and is rarely needed)
    from sqlglot import expressions as exp  # noqa: PLC0415

    try:
        tree = sqlglot.parse_one(sql, dialect='mysql')
    except (sqlglot.ParseError, sqlglot.errors.TokenError, RecursionError):
        return refuse('not a statement of the MySQL language', ErrorKind.BAD_SQL)
    if tree.find(exp.Insert, exp.Update, exp.Delete):
        return classify_data_change(text)
    if isinstance(tree, exp.Query | exp.Subquery):
        return classify_query(text)
    return refuse('not a statement of the MySQL language', ErrorKind.BAD_SQL)
