"""Session of one caller; runs session statements and passes all others to the runner."""

import re
from typing import Any

from mysql_mimic.results import ResultSet as SentResultSet
from mysql_mimic.results import ensure_result_set
from mysql_mimic.session import Session
from mysql_mimic.types import ServerStatus
from mysql_mimic.variables import SYSTEM_VARIABLES, GlobalVariables, SessionVariables
from result import Err
from sqlglot import expressions as exp

from cassiaseam.entry.classification import StatementKind, classify_statement
from cassiaseam.entry.identity import CallerDirectory
from cassiaseam.entry.options import OPTION_PARSERS, OPTION_PREFIX, select_prefixed_options
from cassiaseam.entry.packets import CallerError, convert_result_set
from cassiaseam.entry.session_state import read_token, reset_session
from cassiaseam.entry.statements import StatementRunner
from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.messages import Answer

SERVER_VERSION = '8.0.29-cassiaseam'
_LAST_INSERT_ID = re.compile(
    r'\s*SELECT\s+LAST_INSERT_ID\s*\(\s*\)(?:\s+AS\s+(\w+))?\s*;?\s*', re.IGNORECASE
)
_SHOW_DATABASES = re.compile(r'\s*SHOW\s+(?:DATABASES|SCHEMAS)\s*;?\s*', re.IGNORECASE)
# Default modes of the targets; any other mode would change how a target parses statements.
_DEFAULT_SQL_MODES = frozenset(
    (
        '',
        'ONLY_FULL_GROUP_BY',
        'STRICT_TRANS_TABLES',
        'STRICT_ALL_TABLES',
        'NO_ZERO_IN_DATE',
        'NO_ZERO_DATE',
        'ERROR_FOR_DIVISION_BY_ZERO',
        'NO_ENGINE_SUBSTITUTION',
        'TRADITIONAL',
    )
)
# Target connections are shared between callers, so a session cannot set these variables.
_FIXED_VARIABLES = frozenset(('time_zone', 'sql_select_limit', 'sql_auto_is_null'))
_GLOBAL_VARIABLES = GlobalVariables(
    {
        **SYSTEM_VARIABLES,
        'version': (str, SERVER_VERSION, False),
        'version_comment': (str, 'cassiaseam', False),
        'sql_mode': (str, 'STRICT_TRANS_TABLES,NO_ENGINE_SUBSTITUTION', True),
        'tx_isolation': (str, 'READ-COMMITTED', True),
    }
)


class CallerSession(Session):
    """Session of one caller.

    Attributes:
        runner: Runs the statements that are forwarded to owners.
        directory: Logins and grants of callers.
        statement_bytes: Largest accepted size of a statement text.
        login_done: Whether the caller has logged in.
    """

    def __init__(self, runner: StatementRunner, directory: CallerDirectory, statement_bytes: int):
        super().__init__(SessionVariables(_GLOBAL_VARIABLES))
        self.runner = runner
        self.directory = directory
        self.statement_bytes = statement_bytes
        self.state = runner.state
        self.login_done = False

    def find_login_refusal(self, attributes: dict[str, str]) -> RequestError | None:
        """Return why an authenticated login is rejected, or None after marking it as done.

        A rejected login clears the user name, which closes the connection.

        Args:
            attributes: Connection attributes; request options among them apply to the session.
        """
        if self.login_done or self.username is None:
            return None
        refusal = None
        if self.database:
            refusal = self.directory.find_refusal(self.username, self.database)
        if refusal is None:
            self._apply_client_charset()
            self.state.caller = self.username
            self.state.database = self.database or ''
            refusal = self._apply_attributes(attributes)
        self.login_done = refusal is None
        if refusal is not None:
            self.username = None
        return refusal

    def read_status_flags(self) -> int:
        """Return the server status flags: autocommit mode and open transaction."""
        flags = 0
        if self.state.autocommit:
            flags |= ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if self.is_in_transaction():
            flags |= ServerStatus.SERVER_STATUS_IN_TRANS
        return flags

    def is_in_transaction(self) -> bool:
        """Return whether the session has a transaction open."""
        return self.state.transaction is not None

    async def close(self) -> None:
        """Roll back the open transaction and close the session."""
        self.runner.abandon_transaction()
        await super().close()

    def reset_session(self) -> None:
        """Roll back the open transaction and reset options and variables."""
        self.runner.abandon_transaction()
        reset_session(self.state, self.runner.clock())
        self.runner.reset_options()
        login_name = self.variables.get('external_user')
        self.variables._values.clear()
        self.variables.set('external_user', login_name, force=True)
        self.login_done = False

    async def use(self, database: str) -> None:
        """Select another database.

        Raises:
            CallerError: The database is unknown or not granted, or another one has an open
                transaction.
        """
        if self.is_in_transaction() and database != self.state.database:
            message = 'a transaction is open in another database'
            raise CallerError(RequestError(ErrorKind.UNSUPPORTED, message))
        refusal = self.directory.find_refusal(self.username or '', database)
        if refusal is not None:
            raise CallerError(refusal)
        self.database = database
        self.state.database = database

    async def run_text(self, sql: str, attributes: dict[str, str]) -> SentResultSet:
        """Run one statement text and return its result set.

        Raises:
            CallerError: The statement failed.
        """
        if len(sql) > self.statement_bytes:
            message = f'{len(sql)} characters exceed {self.statement_bytes}'
            raise CallerError(RequestError(ErrorKind.TOO_LARGE, message))
        found = classify_statement(sql)
        if found.kind is StatementKind.SESSION:
            return await ensure_result_set(await self.handle_query(sql, attributes))
        return self._convert_answer(await self.runner.run_statement(sql, found, attributes))

    async def handle_query(self, sql: str, attrs: dict[str, str]) -> Any:
        """Run a session statement with the parser of `mysql_mimic`."""
        match = _LAST_INSERT_ID.fullmatch(sql)
        if match:
            return [(self.state.last_insert_id,)], [match.group(1) or 'LAST_INSERT_ID()']
        if _SHOW_DATABASES.fullmatch(sql):
            granted = self.directory.list_granted(self.username or '')
            return [(name,) for name in granted], ['Database']
        autocommit = self.state.autocommit
        answer = await super().handle_query(sql, attrs)
        self.state.autocommit = bool(self.variables.get('autocommit'))
        if self.state.autocommit and not autocommit:
            committed = await self.runner.commit_transaction(self.runner.options)
            self._convert_answer(committed)
        return answer

    async def _static_query_middleware(self, q: Any) -> Any:
        values = [_find_user_variable(item) for item in q.expression.expressions]
        if isinstance(q.expression, exp.Select) and all(values) and values:
            names = [
                item.alias_or_name or f'@{found}'
                for item, found in _pair_with_variables(q, values)
            ]
            return [tuple(self._read_variable(found) for found in values)], names
        return await super()._static_query_middleware(q)

    def _set_variable(self, setitem: exp.SetItem) -> None:
        left = setitem.this.left
        name = left.name.lower()
        if isinstance(left, exp.Parameter):
            if not name.startswith(OPTION_PREFIX):
                message = f'user variable @{name}: targets share their connections'
                raise CallerError(RequestError(ErrorKind.UNSUPPORTED, message))
            self._set_option(name[len(OPTION_PREFIX) :], _read_literal(setitem.this.right))
            return
        _check_variable(name, _read_literal(setitem.this.right))
        super()._set_variable(setitem)

    def _set_transaction(self, item: exp.SetItem) -> None:
        characteristics = ' '.join(found.name.upper() for found in item.expressions)
        if 'SERIALIZABLE' in characteristics or 'READ ONLY' in characteristics:
            message = f'SET TRANSACTION {characteristics}'
            raise CallerError(RequestError(ErrorKind.UNSUPPORTED, message))
        super()._set_transaction(item)

    def _apply_client_charset(self) -> None:
        # As in MySQL, the character set of the handshake sets all three variables.
        charset = self.variables.get('character_set_client')
        for name in ('character_set_connection', 'character_set_results'):
            self.variables.set(name, charset)

    def _apply_attributes(self, attributes: dict[str, str]) -> RequestError | None:
        for name, text in select_prefixed_options(attributes).items():
            if name == 'key':
                message = 'a key belongs to one statement, not to a connection'
                return RequestError(ErrorKind.BAD_REQUEST, message)
            outcome = self.runner.set_option(name, text)
            if isinstance(outcome, Err):
                return outcome.err_value
        return None

    def _set_option(self, name: str, text: str | None) -> None:
        if text is None and name in OPTION_PARSERS:
            self.runner.remove_option(name)
            return
        outcome = self.runner.set_option(name, text or '')
        if isinstance(outcome, Err):
            raise CallerError(outcome.err_value)

    def _read_variable(self, name: str) -> str | None:
        if name == 'cassiaseam_token':
            return read_token(self.state)
        if name == 'cassiaseam_last_target':
            return self.state.last_target
        if name == 'cassiaseam_last_replica':
            return str(int(self.state.last_replica))
        option = name[len(OPTION_PREFIX) :]
        if option in OPTION_PARSERS:
            return self.state.option_texts.get(option)
        raise CallerError(RequestError(ErrorKind.UNSUPPORTED, f'user variable @{name}'))

    def _convert_answer(self, answer: Answer) -> SentResultSet:
        if answer.error is not None:
            raise CallerError(answer.error)
        found = answer.result_set
        if found is None:
            return SentResultSet([], [])
        if found.columns:
            return convert_result_set(found, self.connection.server_charset)
        self.connection.set_counters(found.affected_rows, found.last_insert_id)
        return SentResultSet([], [])


def _pair_with_variables(query: Any, values: list[str]) -> list[tuple[Any, str]]:
    return list(zip(query.expression.expressions, values, strict=True))


def _find_user_variable(item: exp.Expression) -> str:
    plain = item.this if isinstance(item, exp.Alias) else item
    return plain.name.lower() if isinstance(plain, exp.Parameter) else ''


def _read_literal(right: exp.Expression) -> str | None:
    if isinstance(right, exp.Null) or right.name.upper() == 'DEFAULT':
        return None
    return right.name if isinstance(right, exp.Literal | exp.Column) else right.sql('mysql')


def _check_variable(name: str, text: str | None) -> None:
    refused = name in _FIXED_VARIABLES
    if name == 'sql_mode' and text is not None:
        refused = not _DEFAULT_SQL_MODES.issuperset(text.upper().replace(' ', '').split(','))
    if name in {'transaction_isolation', 'tx_isolation'}:
        refused = (text or '').upper() == 'SERIALIZABLE'
    if name in {'transaction_read_only', 'tx_read_only'}:
        refused = (text or '0').upper() not in {'0', 'OFF', 'FALSE'}
    if refused:
        message = f'SET {name} = {text}: targets share their connections'
        raise CallerError(RequestError(ErrorKind.UNSUPPORTED, message))
