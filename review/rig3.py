"""Stand-ins and process control that the cases 11 to 15 share; standard library only.

The store, the promotion API, the instances and the clients run in the process of the case. The
daemons are separate processes, started with the command of `deploy/system.toml` and with settings
filled in from its template `deploy/settings.yaml`. Everything listens on the loopback address.
"""

import asyncio
import contextlib
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = '127.0.0.1'
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ZONES = ('huye-a', 'kigali-b', 'nairobi-c')
REGIONS = {'huye-a': 'rw-south', 'kigali-b': 'rw-kigali', 'nairobi-c': 'ke-nairobi'}
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not run."""


def now() -> float:
    """Return the steady clock in seconds."""
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder: Path):
        self.started = now()
        self.file = (folder / 'record.txt').open('w', encoding='utf-8')

    def note(self, text: str) -> None:
        self.file.write(f'{now() - self.started:8.3f} {text}\n')
        self.file.flush()


def free_ports(count: int) -> list[int]:
    """Return ports that are free for TCP and UDP."""
    held, ports = [], []
    while len(ports) < count:
        tcp = socket.socket()
        tcp.bind((HOST, 0))
        udp = socket.socket(type=socket.SOCK_DGRAM)
        held += [tcp, udp]
        with contextlib.suppress(OSError):
            udp.bind((HOST, tcp.getsockname()[1]))
            ports.append(tcp.getsockname()[1])
    for one in held:
        one.close()
    return ports


class Store:
    """The platform's store and its promotion API. Each daemon has an address of its own.

    Attributes:
        lost_watches: Pairs of daemon and kind whose pending watch loses its next answer. The
            connection then returns nothing further and stays open.
    """

    def __init__(self, record: Record):
        self.record = record
        self.objects: dict[str, dict[str, dict]] = {}
        self.revision = 1
        self.events: list[tuple[int, str, dict, bool]] = []
        self.changed = asyncio.Condition()
        self.lost_watches: set[tuple[str, str]] = set()
        self.on_promotion = None
        self.stale_s = 0.0
        self.servers: list[asyncio.Server] = []
        self.tasks: set[asyncio.Task] = set()

    async def open(self, vm: str) -> int:
        """Listen for one daemon and return the port."""

        async def serve(reader, writer):
            task = asyncio.current_task()
            self.tasks.add(task)
            try:
                while await self.serve_call(vm, reader, writer):
                    pass
            except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
                pass
            finally:
                self.tasks.discard(task)
                writer.close()

        server = await asyncio.start_server(serve, HOST, 0)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    def close(self) -> None:
        for server in self.servers:
            server.close()

    def put(self, kind: str, name: str, spec, finalizers=()) -> dict:
        """Write an object and wake the watches."""
        known = self.objects.setdefault(kind, {}).get(name)
        if known is not None and known['spec'] == spec:
            return known
        self.revision += 1
        created = known['meta']['createdRevision'] if known else self.revision
        meta = {
            'name': name,
            'revision': self.revision,
            'createdRevision': created,
            'finalizers': list(finalizers),
            'deletionPending': False,
        }
        stored = {'meta': meta, 'spec': spec, 'status': None}
        self.objects[kind][name] = stored
        self.add_event(kind, stored, deleted=False)
        return stored

    def delete(self, kind: str, name: str) -> None:
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            self.add_event(kind, stored, deleted=True)

    def add_event(self, kind: str, stored: dict, deleted: bool) -> None:
        self.events.append((self.revision, kind, stored, deleted, now()))
        del self.events[:-5000]
        task = asyncio.get_running_loop().create_task(self.wake())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def wake(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    async def serve_call(self, vm: str, reader, writer) -> bool:
        method, target, _ = (await reader.readuntil(b'\r\n')).decode().split(' ')
        headers = {}
        while line := (await reader.readuntil(b'\r\n')).decode().strip():
            name, _, text = line.partition(':')
            headers[name.lower()] = text.strip()
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        await asyncio.sleep(0.004)
        parts = urlsplit(target)
        query = {name: found[0] for name, found in parse_qs(parts.query).items()}
        names = [unquote(name) for name in parts.path.split('/')[2:]]
        if parts.path == '/promotion':
            status, content = await self.on_promotion(vm, headers, json.loads(body))
        elif method == 'GET' and 'watch' in query:
            status, content = await self.watch(
                names[0], int(query['watch']), int(query['waitMs']) / 1000, 'allowStale' in query
            )
            if (vm, names[0]) in self.lost_watches:
                self.lost_watches.discard((vm, names[0]))
                self.record.note(f'store: the answer to the watch of {names[0]} by {vm} is lost')
                await asyncio.sleep(3600)
        elif method == 'GET':
            status, content = self.read(names)
        else:
            status, content = self.change(method, names, query, json.loads(body) if body else {})
        encoded = json.dumps(content).encode()
        writer.write(
            f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
            f'Content-Length: {len(encoded)}\r\n\r\n'.encode()
            + encoded
        )
        await writer.drain()
        return True

    def read(self, names: list[str]) -> tuple[int, dict]:
        if len(names) > 1 and names[1]:
            stored = self.objects.get(names[0], {}).get(names[1])
            return (200, stored) if stored else (404, {})
        items = [stored for _, stored in sorted(self.objects.get(names[0], {}).items())]
        return 200, {'items': items, 'hasMore': False, 'at': self.revision}

    async def watch(self, kind: str, since: int, wait_s: float, stale: bool) -> tuple[int, dict]:
        end = now() + wait_s
        delay = self.stale_s if stale else 0.0
        async with self.changed:
            while True:
                ripe = [event for event in self.events if now() - event[4] >= delay]
                found = [
                    {'object': stored, 'deleted': deleted}
                    for at, of, stored, deleted, _ in ripe
                    if at > since and of == kind
                ]
                at = max([since, *(event[0] for event in ripe)])
                if found or now() >= end:
                    return 200, {'events': found, 'at': at}
                pause = end - now() if not delay else min(0.05, end - now())
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), max(pause, 0.001))

    def change(self, method: str, names: list[str], query: dict, document: dict):
        kind = names[0]
        if method == 'DELETE':
            known = self.objects.get(kind, {}).get(names[1])
            if known is None:
                return 404, {}
            if query.get('revision', str(known['meta']['revision'])) != str(
                known['meta']['revision']
            ):
                return 409, known
            self.delete(kind, names[1])
            return 200, known
        name = names[1] if len(names) > 1 else document['meta']['name']
        known = self.objects.get(kind, {}).get(name)
        if method == 'POST':
            return (409, known) if known else (200, self.put(kind, name, document['spec']))
        if known is None:
            return 404, {}
        wanted = document['meta'].get('revision')
        if wanted is not None and wanted != known['meta']['revision']:
            return 409, known
        return 200, self.put(kind, name, document['spec'])


class Link:
    """One connection to an instance."""

    def __init__(self, writer):
        self.writer = writer
        self.caller = ''
        self.open = False
        self.read_only = False
        self.failed = False
        self.writes: list[tuple[str, str]] = []
        self.variables: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}


class Instance:
    """One instance; the log is a list of (term, item, data).

    Attributes:
        deaf: Whether it receives nothing from the primary.
        delay_s: Round trip to it, for an instance in another region.
        rows_of: Rows that reading an item returns, per item; other items return the newest data.
        ran: Statements that ran: (time, id, text).
    """

    births = itertools.count(int(time.time() * 1000))

    def __init__(self, service: 'Service', name: str, zone: str, primary: bool):
        self.service = service
        self.name = name
        self.zone = zone
        self.primary = primary
        self.term = 1
        self.held = 0
        self.log: list[tuple[int, str, str]] = []
        self.deaf = False
        self.delay_s = 0.0
        self.leaving = False
        self.received = asyncio.Event()
        self.born = next(self.births)
        self.port = 0
        self.server: asyncio.Server | None = None
        self.links: set[Link] = set()
        self.slots = asyncio.Semaphore(service.slots)
        self.rows_of: dict[str, object] = {}
        self.ran: list[tuple[float, str, str]] = []

    async def start(self) -> None:
        self.server = await asyncio.start_server(
            self.serve, HOST, self.port, limit=1 << 22, backlog=512
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Die without a word."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for link in list(self.links):
            link.writer.transport.abort()
        self.links.clear()

    @property
    def last(self) -> tuple[int, int]:
        return (self.log[-1][0] if self.log else 0, len(self.log))

    def entry(self) -> dict:
        return {
            'service': self.service.name,
            'address': f'{HOST}:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.service.slots,
            'state': 'draining' if self.leaving else 'ready',
            'coldRemainingMs': 0,
            'sequence': 1,
            'databaseRole': 'primary' if self.primary else 'replica',
            'born': self.born,
        }

    async def serve(self, reader, writer) -> None:
        link = Link(writer)
        self.links.add(link)
        try:
            words = (await reader.readuntil(b'\r\n')).decode('latin-1').rstrip('\r\n').split(' ')
            if words[0] != 'START' or words[1] != self.service.name or words[3:4] != [self.name]:
                writer.write(b'ERROR MISROUTED\r\n')
                return
            if len(self.links) > self.service.max_connections:
                writer.write(b'ERROR TOOMANY\r\n')
                return
            link.caller = words[2]
            async with self.slots:
                await asyncio.sleep(0.012)
            self.ready(link)
            while True:
                line = (await reader.readuntil(b'\r\n')).decode('latin-1').rstrip('\r\n')
                _, number, text = line.split(' ', 2)
                await asyncio.sleep(self.delay_s)
                for reply in await self.run(link, number, text):
                    writer.write(f'{reply}\r\n'.encode('latin-1'))
                self.ready(link)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            return
        finally:
            self.links.discard(link)
            writer.close()

    def ready(self, link: Link) -> None:
        state = 'E' if link.failed else 'T' if link.open else 'I'
        term, number = self.last
        link.writer.write(f'READY {state} {f"{term}.{number}" if number else "-"}\r\n'.encode())

    def fail(self, link: Link, code: str) -> list[str]:
        link.failed = link.open
        return [f'ERROR {code} {self.name}']

    async def run(self, link: Link, number: str, text: str) -> list[str]:
        after = None
        if text.startswith('AFTER '):
            _, place, text = text.split(' ', 2)
            after = tuple(int(part) for part in place.split('.'))
        verb, _, rest = text.partition(' ')
        if verb == 'STATUS':
            return self.status()
        if verb == 'PAUSE':
            if not self.primary and int(rest) > max(self.term, self.held):
                self.held = int(rest)
            return self.status()
        if verb == 'RESUME':
            self.held = 0
            return self.status()
        if verb == 'DEMOTE':
            if self.primary and self.term < int(rest):
                self.primary = False
                self.service.announce(self)
            return self.status()
        if verb == 'ROLLBACK':
            link.open = link.read_only = link.failed = False
            link.writes = []
            return ['DONE -']
        if link.failed:
            return ['ERROR MALFORMED the transaction has failed']
        if verb == 'SET':
            name, _, setting = rest.partition(' ')
            link.variables[name] = setting
            return ['DONE -']
        if verb == 'PREPARE':
            name, kind, shape = rest.split(' ', 2)
            link.prepared[name] = (kind, shape)
            return ['DONE -']
        if verb == 'DEALLOCATE':
            link.prepared.pop(rest, None)
            return ['DONE -']
        if verb == 'RESET':
            link.variables.clear()
            link.prepared.clear()
            return ['DONE -']
        if after is not None and self.last < after:
            return self.fail(link, 'LAGGING')
        if verb == 'BEGIN':
            if rest != 'READ' and not self.primary:
                return self.fail(link, 'READONLY')
            link.open, link.read_only = True, rest == 'READ'
            return ['DONE -']
        return await self.run_work(link, number, text, after)

    async def run_work(self, link: Link, number: str, text: str, after) -> list[str]:
        async with self.slots:
            await asyncio.sleep(self.service.work_s)
        if after is not None and self.last < after:
            return self.fail(link, 'LAGGING')
        verb, _, rest = text.partition(' ')
        if verb == 'EXECUTE':
            name, _, rest = rest.partition(' ')
            if name not in link.prepared:
                return self.fail(link, 'UNKNOWN')
            verb = link.prepared[name][0]
        if link.open and not link.read_only and not self.primary:
            if verb != 'COMMIT' or link.writes:
                return self.fail(link, 'READONLY')
        signed = f'DONE {self.name}.{number}'
        if verb == 'WRITE':
            if not self.primary or link.read_only:
                return self.fail(link, 'READONLY')
            item, _, data = rest.partition(' ')
            self.ran.append((now(), number, text[:80]))
            if link.open:
                link.writes.append((item, data))
            else:
                await self.commit([(item, data)])
            return [signed]
        if verb == 'COMMIT':
            self.ran.append((now(), number, text))
            await self.commit(link.writes)
            link.open = link.read_only = False
            link.writes = []
            return [signed]
        self.ran.append((now(), number, text[:80]))
        rows = self.rows_of.get(rest)
        if rows is not None:
            return [*(f'ROW {row}' for row in rows()), signed]
        newest = next((data for _, item, data in reversed(self.log) if item == rest), '')
        return [f'ROW {newest[:200]}', signed]

    def status(self) -> list[str]:
        role = 'primary' if self.primary else 'replica'
        term, number = self.last
        return [
            f'ROW {role} {self.term} {term}.{number} {self.held} 0 0 {len(self.links)}',
            'DONE -',
        ]

    async def commit(self, writes: list[tuple[str, str]]) -> None:
        self.log += [(self.term, item, data) for item, data in writes]
        count = len(self.log)
        self.service.replicate(self)
        while self.service.sync_replicas and not any(
            other is not self and other.log[:count] == self.log[:count]
            for other in self.service.instances.values()
        ):
            await asyncio.sleep(0.002)


class Service:
    """A primary with its replicas. Replicas receive 20 ms late."""

    lag_s = 0.02
    sync_replicas = 0
    promote_s = 0.3

    def __init__(self, store: Store, name: str, record: Record, slots=2, max_connections=76):
        self.store = store
        self.name = name
        self.record = record
        self.slots = slots
        self.max_connections = max_connections
        self.work_s = 0.003
        self.promotions_down = False
        self.instances = {
            f'i-{name}{index}': Instance(self, f'i-{name}{index}', zone, index == 0)
            for index, zone in enumerate(ZONES)
        }

    async def start(self) -> None:
        for instance in self.instances.values():
            await instance.start()
            self.announce(instance)

    async def stop(self) -> None:
        for instance in self.instances.values():
            await instance.stop()

    def announce(self, instance: Instance) -> None:
        if instance.server is not None:
            self.store.put('servers', instance.name, instance.entry())

    @property
    def primary(self) -> Instance | None:
        leading = [it for it in self.instances.values() if it.primary and it.server is not None]
        return max(leading, key=lambda it: it.term, default=None)

    def replicate(self, primary: Instance) -> None:
        count = len(primary.log)
        for other in self.instances.values():
            if other is not primary:
                asyncio.get_running_loop().call_later(
                    self.lag_s, self.deliver, primary, other, count
                )

    def deliver(self, primary: Instance, other: Instance, count: int) -> None:
        if other.primary or other.deaf or other.server is None or primary.server is None:
            return
        if other.term > primary.term or other.held > primary.term:
            return
        other.term = primary.term
        if len(other.log) < count or other.log[:count] != primary.log[:count]:
            other.log = primary.log[:count]

    async def promote(self, vm: str, headers: dict, document: dict) -> tuple[int, dict]:
        if self.promotions_down:
            return 503, {}
        self.record.note(f'platform: POST /promotion {document} token {headers["fencing-token"]}')
        chosen = self.instances.get(document['id'])
        if chosen is None or chosen.server is None:
            return 409, {}
        if not chosen.primary:
            asyncio.get_running_loop().call_later(self.promote_s, self.lead, chosen)
        return 200, {}

    def lead(self, chosen: Instance) -> None:
        if chosen.server is None:
            return
        chosen.term = max(it.term for it in self.instances.values()) + 1
        chosen.primary = True
        chosen.held = 0
        for other in self.instances.values():
            if other is chosen:
                continue
            other.held = 0
            if other.primary:
                asyncio.get_running_loop().call_later(1.0, self.step_down, other, chosen)
            else:
                other.term = chosen.term
        self.announce(chosen)
        self.replicate(chosen)

    def step_down(self, former: Instance, successor: Instance) -> None:
        if former.primary and former.term < successor.term:
            former.primary = False
            self.announce(former)
            self.replicate(successor)


def route(host: str, kind: str, service: str, timeout_ms=800, stale_ms=1500) -> dict:
    return {
        'name': f'r-{host}',
        'host': host,
        'routeKind': kind,
        'service': service,
        'timeoutMs': timeout_ms,
        'targetLatencyMs': 500,
        'maxStalenessMs': stale_ms,
        'priority': 1,
    }


def config(version: int, routes: list[dict], service: Service) -> dict:
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': service.name,
                'maxConnections': service.max_connections,
                'syncReplicas': service.sync_replicas,
            }
        ],
        'limits': {'transactionIdleMs': 3000},
    }


class Daemon:
    """One process of the pooler role."""

    def __init__(self, vm: str, zone: str, folder: Path, store_port: int):
        self.vm = vm
        self.folder = folder
        self.port, self.ready_port, self.metrics_port, peers = free_ports(4)
        self.settings = folder / f'{vm}.yaml'
        zones = json.dumps(REGIONS)
        self.settings.write_text(
            f'vm: "{vm}"\nplace: "{zone}"\nregions: {zones}\nenvironment: platform\n'
            f'listen:\n  callers: "{HOST}:{self.port}"\n  readiness: "{HOST}:{self.ready_port}"\n'
            f'  metrics: "{HOST}:{self.metrics_port}"\n  peers: "{HOST}:{peers}"\n'
            f'store: "{HOST}:{store_port}"\npromotions: "{HOST}:{store_port}"\n'
            'stop_limit: "6s"\nstore_history: "20s"\n'
            'terms: ["base", "drain", "config", "cost", "recover", "sql", "platform"]\n'
        )
        self.process: subprocess.Popen | None = None
        self.starts = 0

    def start(self) -> None:
        self.starts += 1
        with (self.folder / f'{self.vm}.log').open('ab') as output:
            self.process = subprocess.Popen(
                [
                    'python3', '-S', '-m', 'cassiaseam.daemon.main',
                    '--role', 'pooler', '--settings', str(self.settings),
                ],
                cwd=ROOT,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'HOME': os.environ.get('HOME', ''),
                    'LANG': os.environ.get('LANG', 'C.UTF-8'),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                },
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def send(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self) -> None:
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def rss_mb(self) -> float:
        """Return the resident memory in MB, or 0 without a process."""
        with contextlib.suppress(OSError, IndexError):
            text = Path(f'/proc/{self.process.pid}/status').read_text()
            line = next(it for it in text.splitlines() if it.startswith('VmRSS:'))
            return int(line.split()[1]) / 1000
        return 0.0

    async def is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready_port)
        except OSError:
            return False
        try:
            writer.write(b'GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 1)
            return line.startswith(b'HTTP/1.1 200')
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, seconds: float = 20) -> None:
        end = now() + seconds
        while not await self.is_ready():
            if now() > end or self.process.poll() is not None:
                raise NotRun(f'{self.vm} is not ready')
            await asyncio.sleep(0.05)


class Answer:
    """Answer to one statement; `code` is '' on success and 'LOST' without an answer."""

    def __init__(self, code='', rows=(), signature='', state=''):
        self.code, self.rows, self.signature, self.state = code, tuple(rows), signature, state

    def __str__(self) -> str:
        return self.code or f'DONE {self.signature}'


class Client:
    """One session of a client."""

    numbers = itertools.count(1)

    def __init__(self, record: Record, port: int, database: str):
        self.record = record
        self.port = port
        self.database = database
        self.reader = self.writer = None

    async def open(self) -> str:
        """Start the session and return '' or the code of the refusal."""
        try:
            self.reader, self.writer = await asyncio.open_connection(HOST, self.port, limit=1 << 22)
            self.writer.write(f'START {self.database} u1\r\n'.encode())
            line = (await asyncio.wait_for(self.reader.readuntil(b'\r\n'), 2)).decode('latin-1')
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return 'LOST'
        if line.startswith('READY'):
            return ''
        self.close()
        return line.split()[1]

    async def run(self, text: str, timeout_s: float = 4.0) -> Answer:
        number = f'{next(self.numbers):016x}'
        shown = text if len(text) < 80 else f'{text[:60]}... ({len(text)} bytes)'
        if self.writer is None:
            return Answer('LOST')
        self.record.note(f'client: {number} {self.database} at {self.port}: {shown}')
        rows, signature, code = [], '', ''
        try:
            self.writer.write(f'QUERY {number} {text}\r\n'.encode('latin-1'))
            while True:
                line = await asyncio.wait_for(self.reader.readuntil(b'\r\n'), timeout_s)
                word, _, rest = line.decode('latin-1').rstrip('\r\n').partition(' ')
                if word == 'ROW':
                    rows.append(rest)
                elif word == 'DONE':
                    signature = rest
                elif word == 'ERROR':
                    code = rest.split(' ')[0]
                elif word == 'READY':
                    answer = Answer(code, rows, signature, rest.split(' ')[0])
                    self.record.note(f'answer: {number} {answer} {answer.state}')
                    return answer
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.record.note(f'answer: {number} none ({type(error).__name__})')
            self.close()
            return Answer('LOST')

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class Rig:
    """Store, one service and daemons."""

    def __init__(self, folder: Path, daemons: int, zones=ZONES):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix='case-')
        self.store = Store(self.record)
        self.service = Service(self.store, 'label', self.record)
        self.store.on_promotion = self.service.promote
        self.count = daemons
        self.zones = zones
        self.daemons: list[Daemon] = []

    async def start(self, routes: list[dict]) -> None:
        if not (ROOT / 'target' / 'deps' / 'cassiaseam').exists():
            raise NotRun('the build of the deploy file is missing')
        await self.service.start()
        self.store.put('config', 'main', config(1, routes, self.service))
        for index in range(self.count):
            vm = f'frontend-{index + 1}'
            port = await self.store.open(vm)
            zone = self.zones[index % len(self.zones)]
            self.daemons.append(Daemon(vm, zone, Path(self.temporary.name), port))
        for daemon in self.daemons:
            daemon.start()
        for daemon in self.daemons:
            await daemon.wait_ready()

    def write_config(self, version: int, routes: list[dict]) -> float:
        """Write a version and return the time of its acknowledgement."""
        self.store.put('config', 'main', config(version, routes, self.service))
        hosts = ' '.join(it['host'] for it in routes)
        self.record.note(f'operator: version {version} is acknowledged, routes: {hosts}')
        return now()

    async def stop(self) -> None:
        for daemon in self.daemons:
            daemon.stop()
        await self.service.stop()
        self.store.close()
        self.temporary.cleanup()


def main(folder: Path, daemons: int, case, zones=ZONES) -> None:
    """Run a case, which returns whether the rule held, and exit with its result."""

    async def run() -> int:
        rig = Rig(folder, daemons, zones)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        try:
            async with asyncio.timeout(110):
                held = await case(rig)
        except (NotRun, TimeoutError, OSError, asyncio.CancelledError) as error:
            rig.record.note(f'not run: {error!r}')
            sys.stderr.write(f'not run: {error!r}\n')
            return NOT_RUN
        finally:
            await rig.stop()
        verdict = 'held' if held else 'broken'
        rig.record.note(f'rule {verdict}')
        sys.stdout.write(f'trouble={int(TROUBLE)} rule {verdict}\n')
        return HELD if held else BROKEN

    result = asyncio.get_event_loop_policy().new_event_loop().run_until_complete(run())
    sys.stdout.flush()
    # Calls that the store left unanswered still wait; their connections end with the process.
    os._exit(result)
