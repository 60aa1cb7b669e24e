"""MySQL protocol connection of one caller, based on `mysql_mimic`."""

import asyncio
import io
from collections.abc import Awaitable, Callable
from typing import Any

from absl import logging
from mysql_mimic import packets as mimic_packets
from mysql_mimic.connection import Connection
from mysql_mimic.constants import DEFAULT_SERVER_CAPABILITIES
from mysql_mimic.prepared import PreparedStatement
from mysql_mimic.results import ResultSet as SentResultSet
from mysql_mimic.stream import ConnectionClosed
from mysql_mimic.types import Capabilities, Commands, ServerStatus, read_uint_4, uint_len

from cassiaseam.entry.packets import CallerError, convert_error, make_error_packet
from cassiaseam.entry.parameters import StatementTemplate, read_literals, split_placeholders
from cassiaseam.entry.stream import MalformedPacketError, StatementTooLargeError
from cassiaseam.errors import ErrorKind, RequestError

LOGIN_TIMEOUT_S = 10.0
MAX_PREPARED_STATEMENTS = 1024
SERVER_CAPABILITIES = DEFAULT_SERVER_CAPABILITIES | Capabilities.CLIENT_TRANSACTIONS

FATAL_ERRORS = (MalformedPacketError, ConnectionError, ConnectionClosed, TimeoutError)

CommandHandler = Callable[['CallerConnection', bytes], Awaitable[None]]
COMMANDS: dict[int, CommandHandler] = {
    Commands.COM_QUERY: Connection.handle_query,
    Commands.COM_PING: Connection.handle_ping,
    Commands.COM_INIT_DB: Connection.handle_init_db,
}


def handles_command(command: Commands) -> Callable[[CommandHandler], CommandHandler]:
    """Register the handler of one protocol command."""

    def register(handler: CommandHandler) -> CommandHandler:
        COMMANDS[command] = handler
        return handler

    return register


class CallerConnection(Connection):
    """MySQL connection of one caller.

    Attributes:
        busy: Whether a command is running.
        closing: Whether the connection closes as soon as it is idle.
        templates: Templates of prepared statements by statement id.
        cursors: Unfetched rows of open cursors by statement id.
    """

    def __init__(self, *args: Any, login_timeout_s: float = LOGIN_TIMEOUT_S, **kwargs: Any):
        super().__init__(*args, **kwargs)
        self.login_timeout_s = login_timeout_s
        # Drivers read the autocommit mode from the handshake; without this flag they skip
        # SET autocommit=0.
        self.status_flags = ServerStatus.SERVER_STATUS_AUTOCOMMIT
        self.busy = False
        self.closing = False
        self.templates: dict[int, StatementTemplate] = {}
        self.cursors: dict[int, list[bytes]] = {}
        self.affected_rows = 0
        self.last_insert_id = 0

    def handle_disconnect(self) -> None:
        """Cancel the running command after the caller disconnected."""
        if self.busy and self._task is not None:
            self._task.cancel()

    def close_when_idle(self) -> None:
        """Close the connection as soon as no command is running and no transaction is open."""
        self.closing = True
        if not self.busy and not self.session.is_in_transaction():
            self.stream.writer.close()

    def set_counters(self, affected_rows: int, last_insert_id: int) -> None:
        """Set the affected rows and last insert id of the next OK packet."""
        self.affected_rows = affected_rows
        self.last_insert_id = last_insert_id

    def ok(self, **kwargs: Any) -> bytes:
        """Return an OK packet with the counters and status flags of the session.

        During the login it returns an error packet if the session rejects the login, because
        `mysql_mimic` has no hook between the password check and the OK packet.
        """
        refusal = self.session.find_login_refusal(self.client_connect_attrs)
        if refusal is not None:
            return make_error_packet(refusal, self.capabilities)
        self.status_flags = ServerStatus(self.session.read_status_flags())
        if not kwargs.get('eof'):
            kwargs.setdefault('affected_rows', self.affected_rows)
            kwargs.setdefault('last_insert_id', self.last_insert_id)
            self.set_counters(0, 0)
        return super().ok(**kwargs)

    def eof(self, **kwargs: Any) -> bytes:
        """Return an EOF packet with the status flags of the session."""
        self.status_flags = ServerStatus(self.session.read_status_flags())
        return super().eof(**kwargs)

    def error(self, **kwargs: Any) -> bytes:
        """Return an error packet for an exception or a `mysql_mimic` error code."""
        error = kwargs.get('msg')
        if not isinstance(error, Exception):
            error = _build_mysql_error(kwargs)
        return make_error_packet(convert_error(error), self.capabilities)

    async def _start(self) -> None:
        try:
            async with asyncio.timeout(self.login_timeout_s):
                await self.connection_phase()
            if self.session.username is None:
                return
            await self.session.init(self)
            await self.command_phase()
        except (ConnectionClosed, ConnectionError):
            return
        except TimeoutError:
            logging.info('event=caller_timed_out connection=%d', self.connection_id)
        except Exception as error:
            await self._report_fatal_error(error)
        finally:
            await self.session.close()

    async def command_phase(self) -> None:
        """Read and run commands until either side closes the connection."""
        while True:
            payload: bytes | None = None
            failure: Exception | None = None
            try:
                payload = await self.stream.read()
            except StatementTooLargeError as error:
                failure = CallerError(RequestError(ErrorKind.TOO_LARGE, str(error)))
            self.busy = True
            if payload is not None and not await self._run_command(payload):
                return
            if failure is not None:
                await self.stream.write(self.error(msg=failure))
            self.busy = False
            self.stream.reset_seq()
            if self.closing and not self.session.is_in_transaction():
                return

    async def query(self, sql: str, query_attrs: dict[str, str]) -> SentResultSet:
        """Run one statement text."""
        return await self.session.run_text(sql, query_attrs)

    @handles_command(Commands.COM_STMT_PREPARE)
    async def handle_stmt_prepare(self, data: bytes) -> None:
        """Prepare a statement on the entry; targets only receive texts with bound parameters."""
        if len(self.templates) >= MAX_PREPARED_STATEMENTS:
            message = f'{MAX_PREPARED_STATEMENTS} prepared statements are open'
            raise CallerError(RequestError(ErrorKind.OVERLOADED, message))
        sql = self.client_charset.decode(data)
        template = split_placeholders(sql)
        number = next(self.prepared_stmt_seq)
        statement = PreparedStatement(number, sql, num_params=len(template.parts) - 1)
        self.prepared_stmts[number] = statement
        self.templates[number] = template
        for packet in self.com_stmt_prepare_response(statement):
            await self.stream.write(packet, drain=False)
        await self.stream.drain()

    @handles_command(Commands.COM_STMT_SEND_LONG_DATA)
    async def handle_stmt_send_long_data(self, data: bytes) -> None:
        """Buffer part of a parameter value; this command has no response."""
        await super().handle_stmt_send_long_data(data)
        for statement in self.prepared_stmts.values():
            sizes = [len(buffer) for buffer in (statement.param_buffers or {}).values()]
            if sum(sizes) > self.stream.max_payload_bytes:
                raise MalformedPacketError('long data exceeds the limit on statements')

    @handles_command(Commands.COM_STMT_EXECUTE)
    async def handle_stmt_execute(self, data: bytes) -> None:
        """Run a prepared statement."""
        reader = io.BytesIO(data)
        statement = self.get_stmt(read_uint_4(reader))
        use_cursor, names_flag = mimic_packets._read_cursor_flags(reader)
        read_uint_4(reader)
        with_attributes = Capabilities.CLIENT_QUERY_ATTRIBUTES in self.capabilities
        names_sent = with_attributes and (statement.num_params > 0 or names_flag)
        buffers = statement.param_buffers or {}
        statement.param_buffers = None
        template = self.templates[statement.stmt_id]
        literals, attributes = read_literals(
            reader, template, self.client_charset, buffers, names_sent
        )
        result_set = await self.query(template.render(literals), attributes)
        if result_set:
            await self._write_binary_rows(result_set, statement if use_cursor else None)
        else:
            await self.stream.write(self.ok())

    @handles_command(Commands.COM_STMT_RESET)
    async def handle_stmt_reset(self, data: bytes) -> None:
        """Clear the buffered parameters and the cursor of a prepared statement."""
        reset = mimic_packets.parse_com_stmt_reset(data)
        statement = self.get_stmt(reset.stmt_id)
        statement.param_buffers = None
        self.cursors.pop(reset.stmt_id, None)
        await self.stream.write(self.ok())

    @handles_command(Commands.COM_STMT_CLOSE)
    async def handle_stmt_close(self, data: bytes) -> None:
        """Remove a prepared statement; this command has no response."""
        number = mimic_packets.parse_com_stmt_close(data).stmt_id
        for table in (self.prepared_stmts, self.templates, self.cursors):
            table.pop(number, None)

    @handles_command(Commands.COM_STMT_FETCH)
    async def handle_stmt_fetch(self, data: bytes) -> None:
        """Send the next rows of a cursor.

        Overrides `mysql_mimic`, which loses a row per fetch: it reads one more than it sends.
        """
        fetch = mimic_packets.parse_handle_stmt_fetch(data)
        rows = self.cursors.get(fetch.stmt_id)
        if rows is None:
            message = f'statement {fetch.stmt_id} has no open cursor'
            raise CallerError(RequestError(ErrorKind.BAD_REQUEST, message))
        self.stream.write_many(rows[: fetch.num_rows])
        del rows[: fetch.num_rows]
        flags = ServerStatus.SERVER_STATUS_CURSOR_EXISTS
        if not rows:
            flags = ServerStatus.SERVER_STATUS_LAST_ROW_SENT
        await self.stream.write(self.ok_or_eof(flags=flags))

    @handles_command(Commands.COM_RESET_CONNECTION)
    async def handle_reset_connection(self, data: bytes) -> None:
        """Roll back the open transaction and reset the session."""
        self._drop_prepared_statements()
        self.session.reset_session()
        await self.stream.write(self.ok())

    @handles_command(Commands.COM_CHANGE_USER)
    async def handle_change_user(self, data: bytes) -> None:
        """Roll back the open transaction, reset the session and authenticate another user."""
        self._drop_prepared_statements()
        self.session.reset_session()
        self.session.username = None
        await super().handle_change_user(data)

    async def _run_command(self, payload: bytes) -> bool:
        if not payload or payload[0] == Commands.COM_QUIT:
            return False
        handler = COMMANDS.get(payload[0])
        try:
            if handler is None:
                message = f'command {payload[0]:#x}'
                raise CallerError(RequestError(ErrorKind.UNSUPPORTED, message))
            await handler(self, payload[1:])
        except FATAL_ERRORS:
            raise
        except Exception as error:
            if not isinstance(error, CallerError):
                logging.info('event=command_failed command=%d error=%r', payload[0], error)
            await self.stream.write(self.error(msg=error))
        return self.session.username is not None

    async def _write_binary_rows(
        self, result_set: SentResultSet, cursor_statement: PreparedStatement | None
    ) -> None:
        columns = result_set.columns
        await self.stream.write(uint_len(len(columns)), drain=False)
        for column in columns:
            definition = mimic_packets.make_column_definition_41(
                server_charset=self.server_charset,
                name=column.name,
                column_type=column.type,
                character_set=column.character_set,
            )
            await self.stream.write(definition, drain=False)
        rows = [mimic_packets.make_binary_resultrow(row, columns) for row in result_set.rows]
        if cursor_statement is not None:
            self.cursors[cursor_statement.stmt_id] = rows
            flags = ServerStatus.SERVER_STATUS_CURSOR_EXISTS
            await self.stream.write(self.ok_or_eof(flags=flags))
            return
        if not self.deprecate_eof():
            await self.stream.write(self.eof(), drain=False)
        self.stream.write_many(rows)
        await self.stream.write(self.ok_or_eof())

    async def _report_fatal_error(self, error: Exception) -> None:
        logging.info('event=caller_refused connection=%d error=%r', self.connection_id, error)
        try:
            await self.stream.write(self.error(msg=error))
        except (ConnectionError, TimeoutError):
            return

    def _drop_prepared_statements(self) -> None:
        self.prepared_stmts.clear()
        self.templates.clear()
        self.cursors.clear()


def _build_mysql_error(fields: dict[str, Any]) -> Exception:
    from mysql_mimic.errors import ErrorCode, MysqlError  # noqa: PLC0415

    return MysqlError(str(fields.get('msg', '')), fields.get('code', ErrorCode.UNKNOWN_ERROR))
