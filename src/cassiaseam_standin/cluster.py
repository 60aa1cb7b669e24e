"""A complete deployment on loopback: platform, database groups and daemons as processes."""

import asyncio
import random
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from cassiaseam.configuration.model import TargetConfig
from cassiaseam_standin.daemon_process import (
    DaemonError,
    DaemonPorts,
    DaemonProcess,
)
from cassiaseam_standin.group_control import LOOPBACK
from cassiaseam_standin.group_launcher import (
    StandinGroup,
    StandinProcess,
    kill_processes,
    start_group,
    start_platform,
)
from cassiaseam_standin.ports import ReservedPorts

PORTS_PER_DAEMON = 3
START_ATTEMPTS = 3
TARGET_USER = 'cassiaseam'
TARGET_PASSWORD = 'standin'
CALLER_USER = 'dealer'
CALLER_PASSWORD = 'reservation'
ADMIN_TOKEN = 'administrator-token'
SECRETS = {
    'target.password': TARGET_PASSWORD,
    'caller.password': CALLER_PASSWORD,
    'admin.token': ADMIN_TOKEN,
}


@dataclass(frozen=True, slots=True)
class ClusterShape:
    """Size and options of a cluster.

    Attributes:
        places: Places; each group has one target per place.
        databases: Names of the database groups.
        daemons: Number of daemons, spread over the places.
        slots: Statements that a target runs at the same time.
        connections: Connections that a target accepts.
        target_arguments: Further arguments of every target, such as `--statement-ms=2`.
        exit_with_parent: Whether the stand-ins exit when this process exits, also after a crash.
        log_level: Lowest level that the daemons log.
    """

    places: tuple[str, ...] = ('gyor-a', 'budapest-a', 'debrecen-a')
    databases: tuple[str, ...] = ('orders',)
    daemons: int = 3
    slots: int = 5
    connections: int = 75
    target_arguments: tuple[str, ...] = ()
    exit_with_parent: bool = True
    log_level: str = 'info'


@dataclass(slots=True)
class Cluster:
    """A running cluster.

    Attributes:
        shape: Size and options.
        folder: Settings, secrets and logs of the daemons.
        platform: Stand-in platform.
        groups: Stand-in groups by database name.
        daemons: Daemons by VM name.
        ports: Ports of the daemons.
    """

    shape: ClusterShape
    folder: Path
    platform: StandinProcess | None = None
    groups: dict[str, StandinGroup] = field(default_factory=dict)
    daemons: dict[str, DaemonProcess] = field(default_factory=dict)
    ports: ReservedPorts = field(default_factory=ReservedPorts)

    def list_daemons(self) -> list[DaemonProcess]:
        """Return the daemons in start order."""
        return list(self.daemons.values())

    async def start_stores(self) -> None:
        """Start the platform and the database groups."""
        shape = self.shape
        self.platform = await start_platform(exit_with_parent=shape.exit_with_parent)
        started = await asyncio.gather(
            *(self.start_database(name) for name in shape.databases), return_exceptions=True
        )
        for outcome in started:
            if isinstance(outcome, BaseException):
                raise outcome

    async def start_database(self, name: str) -> None:
        """Start the targets of one database group."""
        shape = self.shape
        self.groups[name] = await start_group(
            names=tuple(f'{name}-{place}' for place in shape.places),
            places=shape.places,
            slots=shape.slots,
            connections=shape.connections,
            arguments=(f'--password={TARGET_PASSWORD}', *shape.target_arguments),
            exit_with_parent=shape.exit_with_parent,
        )

    async def start_daemons(self) -> None:
        """Start the daemons; retry with other ports if another process binds one first.

        Raises:
            DaemonError: A daemon fails to start in every attempt.
        """
        for attempt in range(START_ATTEMPTS):
            self.prepare_daemons(random.Random())
            try:
                await self.launch_daemons()
            except DaemonError:
                self.kill_daemons()
                if attempt == START_ATTEMPTS - 1:
                    raise
            else:
                return

    def prepare_daemons(self, rng: random.Random) -> None:
        """Choose ports and write the settings files."""
        for name, secret in SECRETS.items():
            (self.folder / name).write_text(secret)
        self.ports.release()
        ports = iter(self.ports.reserve(self.shape.daemons * PORTS_PER_DAEMON, rng))
        for number in range(self.shape.daemons):
            place = self.shape.places[number % len(self.shape.places)]
            vm = f'vm-{number + 1}'
            chosen = DaemonPorts(next(ports), next(ports), next(ports))
            self.daemons[vm] = DaemonProcess(
                vm,
                place,
                chosen,
                self.folder / f'{vm}.yaml',
                exit_with_parent=self.shape.exit_with_parent,
            )
        for prepared in self.daemons.values():
            prepared.write_settings(self.build_settings(prepared))

    def build_settings(self, daemon: DaemonProcess) -> dict[str, Any]:
        """Return the settings of one daemon."""
        ports = daemon.ports
        others = [other for other in self.daemons.values() if other is not daemon]
        return {
            'vm': daemon.vm,
            'place': daemon.place,
            'region': f'region-{daemon.place}',
            'listen': {
                'callers': f'{LOOPBACK}:{ports.callers}',
                'peers': f'{LOOPBACK}:{ports.peers}',
                'admin': f'{LOOPBACK}:{ports.admin}',
            },
            'platform': {'url': f'http://{LOOPBACK}:{self.platform.port}'},
            'seeds': [f'{LOOPBACK}:{other.ports.peers}' for other in others],
            'target_login': {
                'user': TARGET_USER,
                'password_file': str(self.folder / 'target.password'),
            },
            'users': [
                {
                    'name': CALLER_USER,
                    'password_file': str(self.folder / 'caller.password'),
                    'databases': ['*'],
                }
            ],
            'tokens': [
                {
                    'team': 'operations',
                    'role': 'administrator',
                    'token_file': str(self.folder / 'admin.token'),
                }
            ],
            'log_level': self.shape.log_level,
            'databases': {name: self.describe_database(name) for name in self.groups},
        }

    def describe_database(self, name: str) -> dict[str, Any]:
        """Return the static settings of one database."""
        targets = self.groups[name].list_target_configs()
        return {'targets': [describe_target(target) for target in targets]}

    async def launch_daemons(self) -> None:
        """Start the daemon processes and wait until they listen."""
        daemons = self.list_daemons()
        for daemon in daemons:
            daemon.start()
        await asyncio.gather(*[started.wait_until_listening() for started in daemons])

    def kill_daemons(self) -> None:
        """Kill all daemons."""
        for daemon in self.daemons.values():
            daemon.kill()

    def stop(self) -> None:
        """Kill all processes."""
        self.kill_daemons()
        for group in self.groups.values():
            group.stop()
        if self.platform is not None:
            kill_processes([self.platform])
        self.ports.release()


def describe_target(target: TargetConfig) -> dict[str, Any]:
    """Return the settings of one target."""
    return {
        'name': target.name,
        'host': target.host,
        'port': target.port,
        'place': target.place,
        'slots': target.slots,
        'connections': target.connections,
    }


async def start_cluster(shape: ClusterShape, folder: Path | None = None) -> Cluster:
    """Start a complete cluster; on failure stop everything that was started."""
    chosen = folder or Path(tempfile.mkdtemp(prefix='cassiaseam-'))
    chosen.mkdir(parents=True, exist_ok=True)
    cluster = Cluster(shape, chosen)
    try:
        await cluster.start_stores()
        await cluster.start_daemons()
    except BaseException:
        cluster.stop()
        raise
    return cluster
