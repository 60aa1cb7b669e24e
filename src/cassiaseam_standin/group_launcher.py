"""Starts stand-in groups and platforms as processes, for tests, the demo and benchmarks.

The daemon itself never starts a process.
"""

import asyncio
import re
import signal
import subprocess
import sys
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from cassiaseam.configuration.model import TargetConfig
from cassiaseam_standin.group_control import FIRST_TERM, LOOPBACK, GroupControl, GroupError

READY_PATTERN = re.compile(r'ready name=(\S+) port=(\d+)')
TARGET_MODULE = 'cassiaseam_standin.target_main'
PLATFORM_MODULE = 'cassiaseam_standin.platform_main'
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 5.0


@dataclass(slots=True)
class StandinProcess:
    """One stand-in process.

    Attributes:
        name: Name in the ready line.
        command: Module and arguments, without the port.
        port: TCP port; stays the same after a restart.
        process: Running process, or None.
        exit_with_parent: Whether the process exits when this one exits, also after a crash.
    """

    name: str
    command: tuple[str, ...]
    port: int = 0
    process: subprocess.Popen[str] | None = None
    exit_with_parent: bool = True

    @property
    def pid(self) -> int:
        """Return the process id; raises `GroupError` if the process is not running."""
        if self.process is None:
            raise GroupError(f'{self.name} does not run')
        return self.process.pid

    def start(self) -> None:
        """Start the process, on its former port if it ran before."""
        command = [sys.executable, '-m', *self.command, f'--port={self.port}']
        if self.exit_with_parent:
            command.append('--exit-with-parent')
        self.process = subprocess.Popen(
            command,
            stdin=subprocess.PIPE if self.exit_with_parent else subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            text=True,
        )

    async def wait_until_ready(self) -> None:
        """Wait for the ready line and read the port from it."""
        reading = asyncio.to_thread(self.process.stdout.readline)
        async with asyncio.timeout(READY_TIMEOUT_S):
            line = await reading
        found = READY_PATTERN.match(line)
        if found is None or found[1] != self.name:
            raise GroupError(f'{self.name} printed {line!r} instead of its ready line')
        self.port = int(found[2])

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to this process only."""
        if self.process is not None:
            self.process.send_signal(signal_number)

    def freeze(self) -> None:
        """Suspend the process; its connections stay open."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process; its state is lost."""
        if self.process is None:
            return
        self.process.kill()
        self.process.wait(STOP_TIMEOUT_S)
        if self.process.stdin is not None:
            self.process.stdin.close()
        self.process.stdout.close()
        self.process = None

    async def restart(self) -> None:
        """Kill the process and start it again on the same port, with empty state."""
        self.kill()
        self.start()
        await self.wait_until_ready()


@dataclass(slots=True)
class StandinGroup(GroupControl):
    """A database group of stand-in targets, each in its own process.

    Attributes:
        targets: Processes by name, in start order; the first one is the initial primary.
        places: Place per target.
        slots: Statements that each target runs at the same time.
        connections: Client connections that each target accepts.
    """

    targets: dict[str, StandinProcess]
    places: dict[str, str] = field(default_factory=dict)
    slots: int = 5
    connections: int = 75

    def list_names(self) -> tuple[str, ...]:
        """Return the names of the targets, the initial primary first."""
        return tuple(self.targets)

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

    def stop(self) -> None:
        """Kill all targets."""
        kill_processes(self.targets.values())


async def start_processes(processes: Sequence[StandinProcess]) -> None:
    """Start processes concurrently and wait until all are ready; on failure kill all."""
    try:
        for process in processes:
            process.start()
        await asyncio.gather(*[started.wait_until_ready() for started in processes])
    except BaseException:
        kill_processes(processes)
        raise


def kill_processes(processes: Iterable[StandinProcess]) -> None:
    """Kill processes that this module started."""
    for process in processes:
        process.kill()


async def start_platform(
    arguments: Sequence[str] = (), exit_with_parent: bool = True
) -> StandinProcess:
    """Start a stand-in platform."""
    command = (PLATFORM_MODULE, *arguments)
    platform = StandinProcess('platform', command, exit_with_parent=exit_with_parent)
    await start_processes([platform])
    return platform


async def start_group(
    names: Sequence[str] = ('a', 'b', 'c'),
    places: Sequence[str] = (),
    slots: int = 5,
    connections: int = 75,
    arguments: Sequence[str] = (),
    exit_with_parent: bool = True,
) -> StandinGroup:
    """Start a group whose first target is the primary of term 1.

    Args:
        names: Names of the targets.
        places: Place of each target, in the same order.
        slots: Statements that each target runs at the same time.
        connections: Client connections that each target accepts.
        arguments: Further arguments of every target, such as `--statement-ms=2`.
        exit_with_parent: Whether the targets exit when this process exits, also after a crash.
    """
    limits = (f'--slots={slots}', f'--connections={connections}', *arguments)
    targets = {
        name: StandinProcess(
            name,
            (TARGET_MODULE, f'--name={name}', *limits),
            exit_with_parent=exit_with_parent,
        )
        for name in names
    }
    await start_processes(tuple(targets.values()))
    group = StandinGroup(targets, dict(zip(names, places, strict=False)), slots, connections)
    try:
        await group.change_primary(names[0], FIRST_TERM)
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
