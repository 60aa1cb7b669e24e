"""MySQL protocol of the stand-in target, on top of mysql-mimic."""

import asyncio
import struct
from typing import Any

from absl import logging
from mysql_mimic import IdentityProvider, MysqlServer, ResultColumn, ResultSet, Session, User
from mysql_mimic.auth import NativePasswordAuthPlugin
from mysql_mimic.charset import CharacterSet
from mysql_mimic.connection import Connection
from mysql_mimic.stream import ConnectionClosed, MysqlStream
from mysql_mimic.types import ColumnType, ServerStatus

from cassiaseam_standin.control_functions import ControlContext, run_control_function
from cassiaseam_standin.engine import StatementOutcome
from cassiaseam_standin.instance import MS_PER_S, TargetInstance
from cassiaseam_standin.replication import REPLICATION_USER, Replication
from cassiaseam_standin.sql_dialect import translate_statement
from cassiaseam_standin.standin_errors import (
    ACCESS_DENIED,
    SQLSTATES,
    TOO_MANY_CONNECTIONS,
    ConnectionDropped,
    StandinError,
)
from cassiaseam_standin.transactions import SessionTransaction

# Logins exempt from the fault `client_cut` and the connection limit. Without `CONTROL_USER`, a
# client cut could not be ended.
CONTROL_USER = 'standin_control'
EXEMPT_USERS = frozenset((REPLICATION_USER, CONTROL_USER))


class LoginPolicy(IdentityProvider):
    """Accepts every user name with the password of the instance."""

    def __init__(self, password: str):
        self.password = password

    async def get_user(self, username: str) -> User:
        """Return the login `username`."""
        auth_string = None
        # The control login needs no password, whatever password callers need.
        if self.password and username != CONTROL_USER:
            auth_string = NativePasswordAuthPlugin.create_auth_string(self.password)
        return User(username, auth_string, NativePasswordAuthPlugin.name)


def find_column_type(values: list[Any]) -> ColumnType:
    """Return the type of a column; sqlite stores a type per value, MySQL one per column."""
    kinds = {type(value) for value in values if value is not None}
    if kinds == {int}:
        return ColumnType.LONGLONG
    if kinds and kinds <= {int, float}:
        return ColumnType.DOUBLE
    if bytes in kinds:
        return ColumnType.BLOB
    return ColumnType.VAR_STRING


def build_result_set(outcome: StatementOutcome) -> ResultSet:
    """Return the rows of a statement with typed columns."""
    columns = []
    for index, name in enumerate(outcome.columns):
        column_type = find_column_type([row[index] for row in outcome.rows])
        charset = CharacterSet.utf8mb4
        if column_type is ColumnType.BLOB:
            charset = CharacterSet.binary
        columns.append(ResultColumn(name, column_type, charset))
    return ResultSet(list(outcome.rows), columns)


class TargetSession(Session):
    """One client session.

    Attributes:
        server: Server that accepted the connection.
        transaction: Transaction state.
        outcome: Outcome of the current statement; its counters go into the OK packet.
    """

    def __init__(self, server: 'TargetServer'):
        super().__init__()
        self.server = server
        self.transaction = SessionTransaction(server.instance)
        self.outcome = StatementOutcome()

    async def handle_query(self, sql: str, attrs: dict[str, str]) -> ResultSet:
        """Run one statement; raises `StandinError` or `ConnectionDropped`."""
        self.outcome = StatementOutcome()
        context = ControlContext(
            self.server.instance,
            self.server.replication,
            self.transaction.last_commit,
            self.server.apply_faults,
        )
        answer = await run_control_function(context, sql)
        if answer is None:
            self.outcome = await self.transaction.run_statement(translate_statement(sql))
        else:
            self.outcome = StatementOutcome((answer[0],), ((answer[1],),))
        return build_result_set(self.outcome)

    async def reset(self) -> None:
        """Roll back the open transaction."""
        self.outcome = StatementOutcome()
        self.transaction.end_transaction()
        self.transaction.last_commit = type(self.transaction.last_commit)()

    async def close(self) -> None:
        """Roll back when the client disconnects."""
        self.transaction.end_transaction()
        await super().close()


class TargetConnection(Connection):
    """Connection that reports counters, rolls back on reset and refuses failed logins."""

    session: TargetSession

    @property
    def is_exempt(self) -> bool:
        """Return whether the login belongs to the stand-in itself."""
        return self.session.username in EXEMPT_USERS

    def drop(self) -> None:
        """Close the socket without an answer."""
        self.stream.writer.transport.abort()

    async def authenticate(self, *args: Any, **kwargs: Any) -> None:
        """Check limits and the login; a refused connection is closed."""
        username = kwargs['username']
        server = self.session.server
        if username not in EXEMPT_USERS:
            await asyncio.sleep(server.instance.limits.connect_ms / MS_PER_S)
            await self.refuse_client_if_needed(server)
        await super().authenticate(*args, **kwargs)
        if self.session.username is None:
            # The base class would serve commands even after a failed login.
            raise ConnectionClosed

    async def refuse_client_if_needed(self, server: 'TargetServer') -> None:
        """Raise `ConnectionClosed` if the instance accepts no further client."""
        if server.instance.faults.client_cut:
            self.drop()
            raise ConnectionClosed
        if server.count_clients() >= server.instance.limits.connections:
            error = StandinError(TOO_MANY_CONNECTIONS, 'Too many connections')
            await self.stream.write(self.format_error(error))
            raise ConnectionClosed

    async def handle_query(self, data: bytes) -> None:
        """Run a statement and send its result or error."""
        await self.run_command(super().handle_query, data)

    async def handle_stmt_execute(self, data: bytes) -> None:
        """Run a prepared statement and send its result or error."""
        await self.run_command(super().handle_stmt_execute, data)

    async def run_command(self, command: Any, data: bytes) -> None:
        """Run a command with simulated network latency and error packets of the stand-in."""
        if self.session.username is None:
            await self.stream.write(self.format_error(StandinError(ACCESS_DENIED, 'no login')))
            return
        latency_s = self.session.server.instance.limits.latency_ms / MS_PER_S
        await self.spend_latency(latency_s)
        try:
            await command(data)
        except StandinError as error:
            await self.spend_latency(latency_s)
            await self.stream.write(self.format_error(error))
        except ConnectionDropped as dropped:
            self.drop()
            raise ConnectionClosed from dropped

    async def query(self, sql: str, query_attrs: dict[str, str]) -> ResultSet:
        """Run a statement; the answer is delayed by the simulated network latency."""
        result_set = await super().query(sql, query_attrs)
        await self.spend_latency(self.session.server.instance.limits.latency_ms / MS_PER_S)
        return result_set

    async def spend_latency(self, latency_s: float) -> None:
        """Wait for the one-way latency of a client connection."""
        if latency_s and not self.is_exempt:
            await asyncio.sleep(latency_s)

    async def handle_reset_connection(self, data: bytes) -> None:
        """Roll back; the base class would answer without any effect."""
        round_trip_ms = 2 * self.session.server.instance.limits.latency_ms
        await self.spend_latency(round_trip_ms / MS_PER_S)
        await self.session.reset()
        await self.stream.write(self.ok())

    def ok(self, **kwargs: Any) -> bytes:
        """Return an OK packet with the counters of the statement and the session state."""
        outcome = self.session.outcome
        self.status_flags = ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if self.session.transaction.is_explicit:
            self.status_flags |= ServerStatus.SERVER_STATUS_IN_TRANS
        if 'eof' not in kwargs:
            kwargs['affected_rows'] = outcome.affected_rows
            kwargs['last_insert_id'] = outcome.last_insert_id
        return super().ok(**kwargs)

    def format_error(self, error: StandinError) -> bytes:
        """Return an error packet; mysql-mimic only knows the codes that it uses itself."""
        sqlstate = SQLSTATES.get(error.code, 'HY000').encode()
        header = struct.pack('<BH', 0xFF, error.code)
        return b'%s#%s%s' % (header, sqlstate, error.message.encode())


class TargetServer(MysqlServer):
    """Accepts the connections of one instance.

    Attributes:
        instance: Instance that is served.
        replication: Replication of the instance.
        connections: Open connections and the tasks that serve them.
    """

    def __init__(self, instance: TargetInstance, password: str = ''):
        super().__init__(identity_provider=LoginPolicy(password))
        self.instance = instance
        self.replication = Replication(instance, password)
        self.connections: dict[TargetConnection, asyncio.Task[None]] = {}

    def count_clients(self) -> int:
        """Return the number of logged-in client connections."""
        users = [connection.session.username for connection in self.connections]
        return sum(user is not None and user not in EXEMPT_USERS for user in users)

    def apply_faults(self) -> None:
        """Apply changed faults to open connections and calls in progress."""
        self.instance.notify_changed()
        if self.instance.faults.client_cut:
            for connection in tuple(self.connections):
                if not connection.is_exempt:
                    connection.drop()

    async def _client_connected_cb(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = TargetConnection(
            stream=MysqlStream(reader, writer),
            session=TargetSession(self),
            control=self.control,
            identity_provider=self.identity_provider,
        )
        connection.status_flags = ServerStatus.SERVER_STATUS_AUTOCOMMIT
        connection.connection_id = await self.control.add(connection)
        self.connections[connection] = asyncio.current_task()
        try:
            await connection.start()
        except (ConnectionClosed, OSError, EOFError) as error:
            logging.debug('event=connection_ended cause=%r', error)
        except asyncio.CancelledError:
            # The stream server of asyncio logs a traceback for a cancelled task.
            logging.debug('event=connection_cancelled')
        finally:
            await self.close_connection(connection)

    async def close_connection(self, connection: TargetConnection) -> None:
        """Close the socket of a connection that is no longer served."""
        self.connections.pop(connection, None)
        await self.control.remove(connection.connection_id)
        connection.stream.writer.close()

    @property
    def port(self) -> int:
        """Return the TCP port that the server listens on."""
        return self.sockets()[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and replicating, and close all connections."""
        self.replication.stop()
        self.close()
        tasks = tuple(self.connections.values())
        for connection in tuple(self.connections):
            connection.drop()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
