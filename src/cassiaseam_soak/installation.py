"""Deployment of one soak run: daemon processes, and stand-ins inside the soak process."""

import asyncio
import os
import random
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

from cassiaseam_soak.accounts import CHECK_QUOTAS, QUOTA_SETTINGS, AccountBook
from cassiaseam_soak.promotion_holds import PromotionHolds
from cassiaseam_soak.proxy import LOOPBACK, FaultyProxy, HoldingProxy
from cassiaseam_soak.socket_owners import find_owner
from cassiaseam_standin.line_group import LineGroup
from cassiaseam_standin.line_store import LineStore
from cassiaseam_standin.line_target import LineTarget
from cassiaseam_standin.ports import ReservedPorts

PLACES = ('north', 'middle', 'south')
ROUTES = {'orders': 'primary', 'prices': 'bounded_staleness', 'stock': 'read_your_writes'}
GROUP = 'shop'
STOP_TIMEOUT_S = 6.0
READY_TIMEOUT_S = 20.0
POLL_S = 0.02


def get_version_database(version: int) -> str:
    """Return the name of the database that only one version of the configuration has."""
    return f'version-{version}'


def build_config(version: int) -> dict:
    """Return a configuration document in the format of the platform."""
    names = {**ROUTES, get_version_database(version): 'primary'}
    routes = [
        {
            'name': f'r-{name}',
            'host': name,
            'routeKind': kind,
            'service': GROUP,
            'timeoutMs': 1000,
            'targetLatencyMs': 500,
            'maxStalenessMs': 1500,
            'priority': 1,
        }
        for name, kind in names.items()
    ]
    services = [{'name': GROUP, 'maxConnections': 60, 'syncReplicas': 0}]
    return {'version': version, 'routes': routes, 'services': services, 'limits': {}}


@dataclass(slots=True)
class Daemon:
    """One daemon process.

    Attributes:
        paused: Whether the process is suspended.
        stopped: Whether a fault has stopped the process and will restart it.
        exit_codes: Exit codes after SIGTERM; those of injected SIGKILLs are left out.
    """

    name: str
    settings: Path
    callers_port: int
    readiness_port: int
    log: Path
    process: subprocess.Popen | None = None
    paused: bool = False
    stopped: bool = False
    exit_codes: list[int] = field(default_factory=list)

    def start(self) -> None:
        """Start the process."""
        self.paused = False
        command = [sys.executable, '-m', 'cassiaseam.daemon.main', '--role', 'pooler']
        with self.log.open('ab') as output:
            self.process = subprocess.Popen(
                [*command, '--settings', str(self.settings)],
                stdout=output,
                stderr=subprocess.STDOUT,
                # Lets the soak run from a checkout without an installed package.
                env={**os.environ, 'PYTHONPATH': os.pathsep.join(sys.path)},
            )

    def send_signal(self, number: int) -> None:
        """Send a signal if the process is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            if number in {signal.SIGSTOP, signal.SIGCONT}:
                self.paused = number == signal.SIGSTOP

    async def wait_for_exit(self) -> None:
        """Wait until the process exits; kill it after the stop timeout."""
        loop = asyncio.get_running_loop()
        end = loop.time() + STOP_TIMEOUT_S + 1
        while self.process is not None and self.process.poll() is None:
            if loop.time() > end:
                self.send_signal(signal.SIGKILL)
            await asyncio.sleep(POLL_S)
        if self.process is not None:
            self.exit_codes.append(self.process.returncode)


class Installation:
    """Store, targets, proxies and daemons of one run.

    Attributes:
        store_proxies: Proxy to the store per daemon.
        promotion_proxies: Proxy to the promotion API per daemon if `separate_promotions` is set.
            Otherwise the proxy to the store carries these calls too, as older seeds require.
        promotion_holds: Bounds on how long these proxies hold a call.
        ports: Ports of the daemons, kept also while a daemon is killed.
        extra_settings: Lines that are added to the settings of each daemon.
        accounts: Client accounts of the configuration, or None if it has none.
    """

    def __init__(
        self,
        folder: Path,
        daemons: int,
        separate_promotions: bool = False,
        extra_settings: str = '',
        accounts: AccountBook | None = None,
    ):
        self.folder = folder
        self.group = LineGroup(GROUP, PLACES)
        self.store = LineStore({GROUP: self.group})
        self.target_proxies: dict[str, FaultyProxy] = {}
        self.store_proxies: list[FaultyProxy] = []
        self.promotion_proxies: list[HoldingProxy] = []
        self.promotion_holds = PromotionHolds()
        self.store.write_observers.append(self.promotion_holds.observe_write)
        self.separate_promotions = separate_promotions
        self.extra_settings = extra_settings
        self.daemons: list[Daemon] = []
        self.count = daemons
        self.ports = ReservedPorts()
        self.version = 1
        self.accounts = accounts

    async def start(self) -> None:
        """Start all components and wait until the daemons are ready."""
        await self.store.start()
        for name, target in self.group.targets.items():
            await target.start()
            proxy = FaultyProxy(lambda proxied=target: proxied.port, read_vm_name)
            await proxy.start()
            if self.accounts is not None:
                proxy.find_client_name = partial(self.find_vm_name, proxy)
            self.target_proxies[name] = proxy
        self.group.announce = self.announce
        for target in self.group.targets.values():
            self.announce(target)
        self.rewrite_config()
        for index in range(self.count):
            await self.add_daemon(index)
        await self.wait_until_ready()

    def announce(self, target: LineTarget) -> None:
        """Publish the record of a target under the address of its proxy."""
        own_port = target.port
        target.port = self.target_proxies[target.name].port
        self.store.announce(target)
        target.port = own_port

    def find_vm_name(self, proxy: FaultyProxy, port: int) -> str:
        """Return the name of the VM that connects to a proxy from a port, or an empty string."""
        names = {
            daemon.process.pid: daemon.name
            for daemon in self.daemons
            if daemon.process is not None
        }
        return names.get(find_owner(names, port, proxy.port), '')

    async def add_promotion_proxy(self, vm: str) -> HoldingProxy:
        """Start the proxy to the promotion API for a VM."""
        proxy = HoldingProxy(lambda: self.store.port)
        proxy.find_hold_limit = partial(self.promotion_holds.find_limit, vm)
        await proxy.start()
        self.promotion_proxies.append(proxy)
        return proxy

    async def add_daemon(self, index: int) -> None:
        """Write the settings of a daemon and start it."""
        proxy = FaultyProxy(lambda: self.store.port)
        # A silent watch lasts for up to 12 s, but keys must be followed within 5 s.
        proxy.ends_lossy_connections = self.accounts is not None
        await proxy.start()
        self.store_proxies.append(proxy)
        promotions: FaultyProxy = proxy
        if self.separate_promotions:
            promotions = await self.add_promotion_proxy(f'vm-{index}')
        callers_port, readiness_port, peers_port = self.ports.reserve(3, random.Random())
        settings = self.folder / f'vm-{index}.yaml'
        regions = ''.join(f'  {place}: {place}\n' for place in PLACES)
        quotas = ''
        if CHECK_QUOTAS and self.accounts is not None:
            quotas = QUOTA_SETTINGS
        settings.write_text(
            f'vm: vm-{index}\n'
            f'place: {PLACES[index % len(PLACES)]}\n'
            f'regions:\n{regions}'
            'environment: platform\n'
            'listen:\n'
            f'  callers: 127.0.0.1:{callers_port}\n'
            f'  readiness: 127.0.0.1:{readiness_port}\n'
            f'  peers: 127.0.0.1:{peers_port}\n'
            f'store: 127.0.0.1:{proxy.port}\n'
            f'promotions: 127.0.0.1:{promotions.port}\n'
            f'stop_limit: {STOP_TIMEOUT_S:g}s\n'
            f'{self.extra_settings}'
            f'{quotas}'
        )
        log = self.folder / f'vm-{index}.log'
        daemon = Daemon(f'vm-{index}', settings, callers_port, readiness_port, log)
        daemon.start()
        self.daemons.append(daemon)

    async def wait_until_ready(self) -> None:
        """Wait until every daemon accepts callers.

        Raises:
            TimeoutError: A daemon is not ready in time.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            for daemon in self.daemons:
                while not await is_ready(daemon.readiness_port):
                    await asyncio.sleep(POLL_S * 2)

    def change_config(self) -> None:
        """Publish a new version of the configuration."""
        self.version += 1
        self.rewrite_config()

    def rewrite_config(self) -> None:
        """Write the newest version of the configuration, which a restore may have lost."""
        config = build_config(self.version)
        if self.accounts is not None:
            self.accounts.extend_config(config)
        self.store.put('config', 'main', config)

    def is_disturbed(self, index: int) -> bool:
        """Return whether a daemon may lack the newest configuration because of a fault."""
        daemon = self.daemons[index]
        if daemon.paused or daemon.stopped or self.store.down:
            return True
        stored = self.store.objects['config'].get('main')
        if stored is None or stored['spec']['version'] != self.version:
            return True
        return self.store_proxies[index].find_fault('') is not None

    async def stop(self) -> None:
        """Shut down the daemons and close the stand-ins."""
        for daemon in self.daemons:
            daemon.send_signal(signal.SIGCONT)
            daemon.send_signal(signal.SIGTERM)
        for daemon in self.daemons:
            await daemon.wait_for_exit()
        proxies = [*self.target_proxies.values(), *self.store_proxies, *self.promotion_proxies]
        for proxy in proxies:
            proxy.stop()
        for target in self.group.targets.values():
            await target.crash()
        await self.store.stop()
        self.ports.release()


def read_vm_name(first: bytes) -> str:
    """Return the VM name from the first message to a target, or an empty string."""
    words = first.decode('latin-1').split()
    return words[2] if len(words) > 2 else ''


async def is_ready(port: int) -> bool:
    """Return whether a daemon reports itself ready."""
    try:
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
    except OSError:
        return False
    try:
        writer.write(b'GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n')
        async with asyncio.timeout(1):
            return (await reader.readline()).startswith(b'HTTP/1.1 200')
    except (OSError, TimeoutError):
        return False
    finally:
        writer.close()
