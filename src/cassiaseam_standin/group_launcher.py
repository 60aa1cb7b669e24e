"""Starts stand-in groups and platforms as processes, for tests, the demo and the bench.

The daemon itself never starts a process.
"""

import asyncio
import re
import signal
import subprocess
import sys
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from result import Err

from cassiaseam.configuration.model import TargetConfig
from cassiaseam.messages import TargetStatus
from cassiaseam.targets import adapter
from cassiaseam.targets.connection import TargetConnection, execute_sql
from cassiaseam_standin.mysql_session import CONTROL_USER

LOOPBACK = '127.0.0.1'
READY_PATTERN = re.compile(r'ready name=(\S+) port=(\d+)')
TARGET_MODULE = 'cassiaseam_standin.target_main'
PLATFORM_MODULE = 'cassiaseam_standin.platform_main'
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 5.0
CALL_TIMEOUT_S = 5.0
FIRST_TERM = 1
LAUNCHER_PROMOTER = 'launcher'


class LaunchError(Exception):
    """A stand-in did not start or a group could not be set up."""


@dataclass(slots=True)
class StandinProcess:
    """One stand-in process.

    Attributes:
        name: Name in the ready line.
        command: Module and arguments, without the port.
        port: TCP port; kept over a restart.
        process: Process at work, or None.
    """

    name: str
    command: tuple[str, ...]
    port: int = 0
    process: subprocess.Popen[str] | None = None

    @property
    def pid(self) -> int:
        """Return the process id; raises `LaunchError` when the process does not run."""
        if self.process is None:
            raise LaunchError(f'{self.name} does not run')
        return self.process.pid

    def start(self) -> None:
        """Start the process, on its former port if it ran before."""
        command = [sys.executable, '-m', *self.command, '--port', str(self.port)]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)

    async def wait_until_ready(self) -> None:
        """Wait for the ready line and learn the port from it."""
        reading = asyncio.to_thread(self.process.stdout.readline)
        async with asyncio.timeout(READY_TIMEOUT_S):
            line = await reading
        found = READY_PATTERN.match(line)
        if found is None or found[1] != self.name:
            raise LaunchError(f'{self.name} printed {line!r} instead of its ready line')
        self.port = int(found[2])

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to this process only."""
        if self.process is not None:
            self.process.send_signal(signal_number)

    def freeze(self) -> None:
        """Stop the process without closing its connections."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process go on."""
        self.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """End the process at once; its state is lost."""
        if self.process is None:
            return
        self.process.kill()
        self.process.wait(STOP_TIMEOUT_S)
        self.process.stdout.close()
        self.process = None

    async def restart(self) -> None:
        """Kill the process and start it again on the same port, with empty state."""
        self.kill()
        self.start()
        await self.wait_until_ready()


@dataclass(slots=True)
class StandinGroup:
    """A database group of stand-in targets.

    Attributes:
        targets: Processes by name, in the order of their start; the first is the first primary.
        places: Place per target.
        slots: Statements that each target runs at the same time.
        connections: Client connections that each target accepts.
    """

    targets: dict[str, StandinProcess]
    places: dict[str, str] = field(default_factory=dict)
    slots: int = 5
    connections: int = 75

    def build_target_config(self, name: str) -> TargetConfig:
        """Return the configuration of one target."""
        return TargetConfig(
            name=name,
            host=LOOPBACK,
            port=self.targets[name].port,
            place=self.places.get(name, ''),
            slots=self.slots,
            connections=self.connections,
        )

    def list_target_configs(self) -> tuple[TargetConfig, ...]:
        """Return the configuration of all targets."""
        return tuple(self.build_target_config(name) for name in self.targets)

    async def connect(self, name: str) -> TargetConnection:
        """Open a connection that no fault and no connection limit refuses."""
        config = self.build_target_config(name)
        opened = await adapter.open_connection(config, CONTROL_USER, '', CALL_TIMEOUT_S)
        if isinstance(opened, Err):
            raise LaunchError(opened.err_value.message)
        return opened.ok_value

    async def read_status(self, name: str) -> TargetStatus:
        """Return the status of one target."""
        connection = await self.connect(name)
        try:
            status = await adapter.read_status(connection, CALL_TIMEOUT_S)
        finally:
            connection.close()
        return status.unwrap()

    async def set_fault(self, name: str, fault: str, setting: str) -> None:
        """Set a fault on one target."""
        connection = await self.connect(name)
        escape = connection.protocol.escape
        sql = f'CALL standin_fault({escape(fault)}, {escape(setting)})'
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                await execute_sql(connection.protocol, sql)
        finally:
            connection.close()

    async def set_up_replication(
        self, primary: str, term: int = FIRST_TERM, promoter: str = LAUNCHER_PROMOTER
    ) -> None:
        """Fence all targets, promote `primary` and make the others follow it."""
        connections = {name: await self.connect(name) for name in self.targets}
        try:
            for connection in connections.values():
                fenced = await adapter.fence(connection, term, promoter, CALL_TIMEOUT_S)
                if not fenced.unwrap().granted:
                    raise LaunchError(f'{connection.target.name} refused term {term}')
            promoted = connections.pop(primary)
            (await adapter.promote(promoted, term, promoter, CALL_TIMEOUT_S)).unwrap()
            for connection in connections.values():
                followed = await adapter.follow(connection, promoted.target, term, CALL_TIMEOUT_S)
                followed.unwrap()
        finally:
            for connection in (*connections.values(), promoted):
                connection.close()

    async def follow(self, name: str, primary: str, term: int) -> None:
        """Make one target follow `primary`, for instance after a restart."""
        connection = await self.connect(name)
        config = self.build_target_config(primary)
        try:
            followed = await adapter.follow(connection, config, term, CALL_TIMEOUT_S)
        finally:
            connection.close()
        followed.unwrap()

    def stop(self) -> None:
        """End all targets."""
        kill_processes(self.targets.values())


async def start_processes(processes: Sequence[StandinProcess]) -> None:
    """Start processes side by side and wait until all are ready; on failure all are ended."""
    try:
        for process in processes:
            process.start()
        await asyncio.gather(*[started.wait_until_ready() for started in processes])
    except BaseException:
        kill_processes(processes)
        raise


def kill_processes(processes: Iterable[StandinProcess]) -> None:
    """End processes that this module started."""
    for process in processes:
        process.kill()


async def start_platform(arguments: Sequence[str] = ()) -> StandinProcess:
    """Start a stand-in platform."""
    platform = StandinProcess('platform', (PLATFORM_MODULE, *arguments))
    await start_processes([platform])
    return platform


async def start_group(
    names: Sequence[str] = ('a', 'b', 'c'),
    places: Sequence[str] = (),
    slots: int = 5,
    connections: int = 75,
    arguments: Sequence[str] = (),
) -> StandinGroup:
    """Start a group whose first target is the primary of term 1.

    Args:
        names: Names of the targets.
        places: Place of each target, in the same order.
        slots: Statements that each target runs at the same time.
        connections: Client connections that each target accepts.
        arguments: Further arguments of every target, such as `--statement-ms=2`.
    """
    limits = (f'--slots={slots}', f'--connections={connections}', *arguments)
    targets = {
        name: StandinProcess(name, (TARGET_MODULE, f'--name={name}', *limits)) for name in names
    }
    await start_processes(tuple(targets.values()))
    group = StandinGroup(targets, dict(zip(names, places, strict=False)), slots, connections)
    try:
        await group.set_up_replication(names[0])
    except BaseException:
        group.stop()
        raise
    return group


async def start_group_and_platform(
    names: Sequence[str] = ('a', 'b', 'c'),
) -> tuple[StandinGroup, StandinProcess]:
    """Start a group with default limits and a platform."""
    platform = await start_platform()
    try:
        return await start_group(names), platform
    except BaseException:
        platform.kill()
        raise
