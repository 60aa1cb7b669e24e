"""A stand-in group on the event loop of the test."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from types import TracebackType

from cassiaseam.configuration.model import TargetConfig
from cassiaseam.reducer.target_io import ExecutionMode, RunStatement, StatementFinished
from cassiaseam.targets.adapter import run_statement
from cassiaseam.targets.connection import TargetConnection
from cassiaseam_standin.group_control import FIRST_TERM, LOOPBACK, GroupControl
from cassiaseam_standin.instance import InstanceLimits, TargetInstance
from cassiaseam_standin.mysql_session import CONTROL_USER, TargetServer


class InProcessGroup(GroupControl):
    """Asynchronous context manager that starts a group with the first target as primary.

    Attributes:
        names: Names of the targets.
        limits: Limits of every target.
        servers: Server per target.
        starts: Number of target starts so far.
        opened: Connections opened through the group; closed on exit.
    """

    def __init__(
        self, names: Sequence[str] = ('a', 'b', 'c'), limits: InstanceLimits | None = None
    ):
        self.names = tuple(names)
        self.limits = limits or InstanceLimits(connect_ms=0)
        self.servers: dict[str, TargetServer] = {}
        self.starts = 0
        self.opened: list[TargetConnection] = []

    def list_names(self) -> tuple[str, ...]:
        """Return the names of the targets, the initial primary first."""
        return self.names

    def build_target_config(self, name: str) -> TargetConfig:
        """Return the configuration of one target."""
        return TargetConfig(
            name=name,
            host=LOOPBACK,
            port=self.servers[name].port,
            place='',
            slots=self.limits.slots,
            connections=self.limits.connections,
        )

    def find_instance(self, name: str) -> TargetInstance:
        """Return the state of one target."""
        return self.servers[name].instance

    async def connect(self, name: str, user: str = CONTROL_USER) -> TargetConnection:
        """Open a connection; it is closed no later than the group."""
        connection = await super().connect(name, user)
        self.opened.append(connection)
        return connection

    async def start_target(self, name: str, port: int = 0) -> None:
        """Start one target with empty state."""
        self.starts += 1
        instance = TargetInstance(name, f'{name}-{self.starts}', self.limits)
        server = TargetServer(instance)
        await server.start_server(host=LOOPBACK, port=port)
        self.servers[name] = server

    async def restart_target(self, name: str) -> None:
        """Stop one target and start it again on the same port, with empty state."""
        port = self.servers[name].port
        await self.servers.pop(name).stop()
        await self.start_target(name, port)

    async def __aenter__(self) -> 'InProcessGroup':
        """Start the targets and set up replication."""
        for name in self.names:
            await self.start_target(name)
        await self.change_primary(self.names[0], FIRST_TERM)
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the connections and stop the targets."""
        for connection in self.opened:
            connection.close()
        for server in self.servers.values():
            await server.stop()


def run_in_group(
    scenario: Callable[[InProcessGroup], Awaitable[None]],
    names: Sequence[str] = ('a', 'b', 'c'),
    limits: InstanceLimits | None = None,
) -> None:
    """Run a scenario on a fresh event loop with a fresh group."""

    async def run() -> None:
        async with InProcessGroup(names, limits) as group:
            await scenario(group)

    asyncio.run(run())


async def run_mode(
    connection: TargetConnection,
    mode: ExecutionMode,
    sql: str = '',
    key: str | None = None,
    timeout_s: float = 5.0,
) -> StatementFinished:
    """Run a statement through the adapter, as the daemon would."""
    effect = RunStatement(
        database='database',
        target=connection.target.name,
        connection_id='connection',
        request_id='request',
        mode=mode,
        sql=sql,
        timeout_s=timeout_s,
        idempotency_key=key,
    )
    return await run_statement(connection, effect)
