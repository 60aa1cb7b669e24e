"""Starts a small deployment for a case: daemons as processes, stand-ins in this process.

The daemons are started with the command of `deploy/system.toml` and settings of the fields of
`deploy/settings.yaml`. The store, the promotion API and the instances are the stand-ins of the
project. Each daemon reaches the store and the instances through proxies of its own.
"""

import asyncio
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / 'src'))

from cassiaseam_standin.line_group import LineGroup  # noqa: E402
from cassiaseam_standin.line_store import LineStore  # noqa: E402
from cassiaseam_standin.line_target import LineTarget  # noqa: E402

LOOPBACK = '127.0.0.1'
SERVICE = 'label-catalogue'
PLACES = ('huye-a', 'kigali-b', 'nairobi-c')
REGIONS = {'huye-a': 'rw-south', 'kigali-b': 'rw-kigali', 'nairobi-c': 'ke-nairobi'}
# Bounds of the site nls-kigali, in seconds.
SETTLE_WINDOW_S = 4.0
CONFIG_APPLY_S = 3.0
DRAIN_S = 7.0
GRACE_S = 6.0
# A traceback ends Python with 1, so `run.sh` maps this code to 1 and all others but 0 to 2.
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 10, 2


def find_free_ports(count: int) -> list[int]:
    """Return ports that were free a moment ago, for TCP and UDP."""
    sockets = [socket.socket() for _ in range(count)]
    for it in sockets:
        it.bind((LOOPBACK, 0))
    ports = [it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return ports


class Record:
    """Writes what happens to `record.txt`, with seconds since the start."""

    def __init__(self, folder: Path):
        self.file = (folder / 'record.txt').open('w', encoding='utf-8')
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Return seconds since the start."""
        return time.monotonic() - self.started_at

    def write(self, text: str) -> None:
        """Write one line."""
        self.file.write(f'{self.now():8.3f} {text}\n')
        self.file.flush()


class Proxy:
    """Forwards connections; those that are open can be made silent for good."""

    def __init__(self, find_port):
        self.find_port = find_port
        self.generation = 0
        self.refuses = False
        self.port = 0
        self.server = None
        self.writers = set()

    async def start(self) -> None:
        """Accept connections."""
        self.server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def silence_open_connections(self) -> int:
        """Discard all further bytes of the connections that are open, and return their number."""
        self.generation += 1
        return len(self.writers) // 2

    async def serve(self, reader, writer) -> None:
        """Forward one connection."""
        if self.refuses:
            writer.transport.abort()
            return
        generation = self.generation
        try:
            up_reader, up_writer = await asyncio.open_connection(LOOPBACK, self.find_port())
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, up_writer}
        pipes = [
            asyncio.ensure_future(self.pipe(reader, up_writer, generation)),
            asyncio.ensure_future(self.pipe(up_reader, writer, generation)),
        ]
        await asyncio.wait(pipes, return_when=asyncio.FIRST_COMPLETED)
        while generation != self.generation and writer.transport.is_closing() is False:
            # A silent connection shows neither bytes nor an end; the daemon may close it.
            if pipes[0].done():
                break
            await asyncio.sleep(0.05)
        for pipe in pipes:
            pipe.cancel()
        for it in (writer, up_writer):
            self.writers.discard(it)
            it.transport.abort()

    async def pipe(self, reader, writer, generation: int) -> None:
        """Forward bytes in one direction, or discard them on a silent connection."""
        try:
            while chunk := await reader.read(65536):
                if generation == self.generation:
                    writer.write(chunk)
                    await writer.drain()
        except (ConnectionError, OSError):
            return

    def stop(self) -> None:
        """Close all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Session:
    """A client session."""

    def __init__(self, reader, writer, name: str):
        self.reader, self.writer, self.name = reader, writer, name

    @classmethod
    async def open(cls, port: int, database: str, name: str):
        """Open a session; return it and the first answer."""
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        writer.write(f'START {database} {name}\r\n'.encode())
        line = (await asyncio.wait_for(reader.readline(), 3)).decode().strip()
        return cls(reader, writer, name), line

    async def query(self, text: str, timeout_s: float = 5.0) -> tuple[str, list[str]]:
        """Send a statement; return its id and the lines of its answer."""
        query_id = f'{random.getrandbits(64):016x}'
        lines: list[str] = []
        try:
            self.writer.write(f'QUERY {query_id} {text}\r\n'.encode())
            async with asyncio.timeout(timeout_s):
                while not lines or not lines[-1].startswith('READY'):
                    line = await self.reader.readline()
                    if not line:
                        return query_id, [*lines, 'closed']
                    lines.append(line.decode().strip())
        except (ConnectionError, TimeoutError) as error:
            return query_id, [*lines, type(error).__name__]
        return query_id, lines

    def close(self) -> None:
        """End the session."""
        self.writer.close()


class Daemon:
    """A daemon process."""

    def __init__(self, name: str, place: str, folder: Path):
        self.name, self.place, self.folder = name, place, folder
        self.store_proxy: Proxy | None = None
        self.port = self.ready_port = self.peers_port = 0
        self.process: subprocess.Popen | None = None

    def write_settings(self, store_port: int, promotion_port: int) -> None:
        """Write the settings file with the fields of `deploy/settings.yaml`."""
        regions = ''.join(f'  {place}: {region}\n' for place, region in REGIONS.items())
        (self.folder / f'{self.name}.yaml').write_text(
            f'vm: {self.name}\nplace: {self.place}\nregions:\n{regions}'
            'environment: platform\nlisten:\n'
            f'  callers: {LOOPBACK}:{self.port}\n  readiness: {LOOPBACK}:{self.ready_port}\n'
            f'  peers: {LOOPBACK}:{self.peers_port}\n'
            f'store: {LOOPBACK}:{store_port}\npromotions: {LOOPBACK}:{promotion_port}\n'
            f'stop_limit: "{GRACE_S:g}s"\nstore_history: "20s"\n'
            'terms: [base, drain, config, cost, recover, sql, platform]\n'
        )

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        command = ['python3', '-S', '-m', 'cassiaseam.daemon.main', '--role', 'pooler']
        with (self.folder / f'{self.name}.log').open('ab') as output:
            self.process = subprocess.Popen(
                [*command, '--settings', str(self.folder / f'{self.name}.yaml')],
                cwd=ROOT,
                stdout=output,
                stderr=subprocess.STDOUT,
                env={'PATH': os.environ['PATH'], 'PYTHONPATH': str(ROOT / 'target/deps')},
            )

    async def is_ready(self) -> bool:
        """Return whether the readiness probe is answered with 200."""
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, self.ready_port)
            writer.write(b'GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return line.startswith(b'HTTP/1.1 200')


def build_config(
    version: int, databases: dict[str, str], others: tuple[str, ...] = (), sync_replicas: int = 0
) -> dict:
    """Return a configuration with a route per database, and the services of other teams."""
    routes = [
        {
            'name': f'r-{name}', 'host': name, 'routeKind': kind, 'service': SERVICE,
            'timeoutMs': 1000, 'targetLatencyMs': 400, 'maxStalenessMs': 1500, 'priority': 1,
        }
        for name, kind in databases.items()
    ]
    services = [
        {'name': name, 'maxConnections': 76, 'syncReplicas': sync_replicas}
        for name in (SERVICE, *others)
    ]
    return {'version': version, 'routes': routes, 'services': services, 'limits': {}}


class PagedStore(LineStore):
    """A store that answers a list in pages, as the pages of the platform say.

    Attributes:
        answer_s: Seconds that an answer takes.
        on_page: Called with the kind, the first name of the page or '', and whether a page
            follows, after the content of the page was read.
    """

    PAGE_ITEMS = 500

    def __init__(self, groups):
        super().__init__(groups)
        self.answer_s = 0.004
        self.on_page = lambda kind, after, has_more: None

    async def read(self, names, query):
        """Return one object, one page of a list, or the changes after a revision."""
        status, content = await super().read(names, query)
        if len(names) == 1 and 'watch' not in query:
            after = query.get('after', '')
            items = [it for it in content['items'] if it['meta']['name'] > after]
            has_more = len(items) > self.PAGE_ITEMS
            content = {
                'items': items[: self.PAGE_ITEMS], 'hasMore': has_more, 'at': content['at'],
            }
            self.on_page(names[0], after, has_more)
            await asyncio.sleep(self.answer_s)
        return status, content


class SyncTarget(LineTarget):
    """An instance whose commits are acknowledged once one replica has received them."""

    async def run(self, connection, request_id, text):
        """Run a statement; a commit waits for one replica (`syncReplicas` 1)."""
        before = len(self.log)
        lines = await super().run(connection, request_id, text)
        count = len(self.log)
        while self.is_primary and count > before and not self.is_replicated(count):
            await asyncio.sleep(0.002)
        return lines

    def is_replicated(self, count: int) -> bool:
        """Return whether a running replica holds the first `count` entries."""
        return any(
            other.is_running and len(other.log) >= count and other.log[count - 1] is entry
            for entry in (self.log[count - 1],)
            for other in self.group.targets.values()
            if other is not self
        )


class Deployment:
    """Store, instances and daemons."""

    def __init__(
        self, folder: Path, record: Record, count: int = 2, sync_replicas: int = 0
    ):
        self.folder, self.record, self.count = folder, record, count
        self.sync_replicas = sync_replicas
        self.group = LineGroup(SERVICE, PLACES)
        if sync_replicas:
            self.group.targets = {
                name: SyncTarget(self.group, name, it.place, it.is_primary)
                for name, it in self.group.targets.items()
            }
        self.store = PagedStore({SERVICE: self.group})
        self.daemons: list[Daemon] = []
        self.other_services: tuple[str, ...] = ()

    def write_config(self, version: int, databases: dict[str, str]) -> float:
        """Write a configuration; the store has acknowledged it at the returned time."""
        config = build_config(version, databases, self.other_services, self.sync_replicas)
        self.store.put('config', 'main', config)
        at = self.record.now()
        names = ' '.join(databases)
        self.record.write(f'operator: version {version} is acknowledged, databases: {names}')
        return at

    def register_other_instances(self, count: int) -> None:
        """Write the entries of other teams' services; no client asks for them."""
        self.other_services = tuple(f'team-{index:03}' for index in range(count))
        for index, service in enumerate(self.other_services):
            for copy, place in enumerate(PLACES):
                spec = {
                    'service': service, 'address': f'{LOOPBACK}:{20000 + index * 3 + copy}',
                    'zone': place, 'version': 'v1', 'slots': 5, 'state': 'ready',
                    'coldRemainingMs': 0, 'sequence': 1,
                    'databaseRole': 'replica' if copy else 'primary', 'born': 1_700_000_000_000,
                }
                self.store.put('servers', f'z-{service}-{copy}', spec)

    async def start(self, databases: dict[str, str]) -> None:
        """Start everything and wait until the daemons are ready.

        Raises:
            TimeoutError: A daemon does not get ready.
        """
        await self.store.start()
        for target in self.group.targets.values():
            await target.start()
            self.store.announce(target)
        self.write_config(1, databases)
        for index in range(self.count):
            daemon = Daemon(f'vm-{index}', PLACES[index % len(PLACES)], self.folder)
            daemon.store_proxy = Proxy(lambda: self.store.port)
            await daemon.store_proxy.start()
            daemon.port, daemon.ready_port, daemon.peers_port = find_free_ports(3)
            daemon.write_settings(daemon.store_proxy.port, self.store.port)
            daemon.start()
            self.daemons.append(daemon)
        async with asyncio.timeout(20):
            for daemon in self.daemons:
                while not await daemon.is_ready():
                    await asyncio.sleep(0.05)
        self.record.write('all daemons are ready')

    async def stop(self) -> None:
        """End the daemons that this script started, and close the stand-ins."""
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                daemon.process.wait()
            if daemon.store_proxy is not None:
                daemon.store_proxy.stop()
        for target in self.group.targets.values():
            await target.crash()
        await self.store.stop()


def run_case(folder: Path, play, count: int = 2, sync_replicas: int = 0) -> int:
    """Run a case and return the exit code.

    Args:
        folder: Folder of the case, for `record.txt`.
        play: Coroutine function of the deployment, the record and whether to disturb; it returns
            the breaks of the rule that it saw.
        count: Number of daemons.
        sync_replicas: `syncReplicas` of the service.
    """
    record = Record(folder)
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record.write(f'trouble: {"yes" if trouble else "no"}')

    async def run() -> int:
        with tempfile.TemporaryDirectory() as name:
            deployment = Deployment(Path(name), record, count, sync_replicas)
            try:
                async with asyncio.timeout(110):
                    breaks = await play(deployment, record, trouble)
            except (OSError, TimeoutError, RuntimeError) as error:
                record.write(f'the case could not run: {type(error).__name__} {error}')
                return EXIT_NOT_RUN
            finally:
                await deployment.stop()
                if os.environ.get('KEEP_LOGS'):
                    for log in Path(name).glob('*.log'):
                        (folder / log.name).write_bytes(log.read_bytes())
        for line in breaks:
            record.write(f'BROKEN: {line}')
        record.write(f'{len(breaks)} breaks of the rule')
        return EXIT_BROKEN if breaks else EXIT_HELD

    return asyncio.run(run())
