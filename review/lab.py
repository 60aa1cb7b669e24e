"""Small stand-ins of the platform for the cases 6 to 8: store, database instances and clients.

They follow PROTOCOL.md of the users' pages. Instances and store run in the process of a case, the
daemons are processes of their own.
"""

import asyncio
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

LOOPBACK = '127.0.0.1'
ROOT = Path(__file__).resolve().parent.parent
ENCODING = 'latin-1'
# A connection whose remote end is unreachable is dropped after this time.
UNREACHABLE_DROP_S = 3.0
# A former primary follows the new one a second after it can reach it.
STEP_DOWN_S = 1.0
BEAT_S = 1.2
REPLICATION_TICK_S = 0.005
WORK_S = 0.004
REASONS = {200: 'OK', 404: 'Not Found', 409: 'Conflict', 410: 'Gone', 503: 'Unavailable'}


class Record:
    """Writes what was sent, answered and run to record.txt.

    Attributes:
        started_at: Start of the case on the monotonic clock.
    """

    def __init__(self, folder):
        self.file = (Path(folder) / 'record.txt').open('w', encoding='utf-8')
        self.started_at = time.monotonic()

    def now(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def write(self, text):
        """Write one line with the time."""
        self.file.write(f'{self.now():8.3f} {text}\n')
        self.file.flush()


class Instance:
    """One database instance.

    Attributes:
        fenced: Term of the fence (PAUSE), or 0.
        log: Entries as (term, request id, text).
        busy: Whether its slots and its queue are full, so that it sheds reads, writes and commits.
        unreachable_from: Names of machines whose packets do not arrive.
        register_delay_s: Time from its start until its record is in the store.
    """

    def __init__(self, group, name, zone):
        self.group = group
        self.name = name
        self.zone = zone
        self.term = 1
        self.fenced = 0
        self.log = []
        self.is_primary = False
        self.leaving = False
        self.running = False
        self.unreachable_from = set()
        self.busy = False
        self.register_delay_s = 0.0
        self.born = 0
        self.sequence = 0
        self.port = 0
        self.server = None
        self.writers = set()
        self.tasks = set()

    async def start(self):
        """Listen, on the same port after a restart, and write the record."""
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.server = await asyncio.start_server(self.serve, LOOPBACK, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.running = True
        self.spawn(self.beat(self.born))

    def spawn(self, coroutine):
        """Run a coroutine until the end of the case."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def crash(self):
        """Stop at once and reset all connections."""
        self.running = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.fenced = 0

    async def beat(self, born):
        """Write the record about every heartbeat interval."""
        await asyncio.sleep(self.register_delay_s)
        while self.running and self.born == born:
            self.announce()
            await asyncio.sleep(BEAT_S)

    def announce(self):
        """Write the record."""
        self.sequence += 1
        spec = {
            'service': self.group.name,
            'address': f'{LOOPBACK}:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 5,
            'state': 'draining' if self.leaving else 'ready',
            'coldRemainingMs': 0,
            'databaseRole': 'primary' if self.is_primary else 'replica',
            'sequence': self.sequence,
            'born': self.born,
        }
        self.group.store.put('servers', self.name, spec)

    @property
    def last(self):
        """Return the position of the last entry as (term, number)."""
        return (self.log[-1][0] if self.log else 0, len(self.log))

    def describe_position(self):
        """Return the position for a READY message."""
        term, number = self.last
        return f'{term}.{number}' if number else '-'

    async def serve(self, reader, writer):
        """Serve one connection."""
        self.writers.add(writer)
        try:
            words = (await reader.readline()).decode(ENCODING).split()
            if len(words) < 3:
                return
            client = words[2]
            if await self.is_silent(client, reader):
                return
            if words[1] != self.group.name or (len(words) > 3 and words[3] != self.name):
                writer.write(f'ERROR MISROUTED {self.name}\r\n'.encode())
                return
            writer.write(f'READY I {self.describe_position()}\r\n'.encode())
            session = {'open': False, 'read': False, 'failed': False, 'writes': []}
            session |= {'prepared': {}, 'term': self.term, 'id': client}
            while line := await reader.readline():
                if await self.is_silent(client, reader):
                    return
                reply = await self.answer(session, line.decode(ENCODING).rstrip('\r\n'))
                if reply is None or await self.is_silent(client, reader):
                    return
                state = ('E' if session['failed'] else 'T') if session['open'] else 'I'
                reply.append(f'READY {state} {self.describe_position()}')
                writer.write(''.join(f'{part}\r\n' for part in reply).encode(ENCODING))
        except (ConnectionError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.transport.abort() if not self.running else writer.close()

    async def is_silent(self, client, reader):
        """Swallow everything of a client that is cut off, until its connection is dropped."""
        if client not in self.unreachable_from:
            return False
        end = time.monotonic() + UNREACHABLE_DROP_S
        while time.monotonic() < end:
            try:
                async with asyncio.timeout(end - time.monotonic()):
                    if not await reader.read(65536):
                        return True
            except TimeoutError:
                return True
        return True

    async def answer(self, session, line):
        """Return the reply lines to a message without READY, or None to close the connection."""
        word, _, rest = line.partition(' ')
        request_id, _, text = rest.partition(' ')
        if word != 'QUERY':
            return None
        floor = None
        if text.startswith('AFTER '):
            _, position, text = text.split(' ', 2)
            term, _, number = position.partition('.')
            floor = (int(term), int(number))
        verb, _, rest = text.partition(' ')
        if floor is not None and self.last < floor:
            return self.fail(session, 'LAGGING')
        if verb in {'STATUS', 'PAUSE', 'RESUME', 'DEMOTE'}:
            return self.control(verb, rest, session)
        if verb == 'BEGIN':
            if rest != 'READ' and not self.is_primary:
                return self.fail(session, 'READONLY')
            session.update(open=True, read=rest == 'READ', failed=False, writes=[])
            return ['DONE -']
        if verb == 'ROLLBACK':
            session.update(open=False, failed=False, writes=[])
            return ['DONE -']
        if verb in {'SET', 'RESET'}:
            if verb == 'RESET':
                session['prepared'].clear()
            return ['DONE -']
        if verb == 'PREPARE':
            name, kind, _ = rest.split(' ', 2)
            session['prepared'][name] = kind
            return ['DONE -']
        if self.busy:
            self.group.record.write(f'busy {request_id} {verb} at {self.name}')
            return [f'ERROR BUSY {self.name}']
        await asyncio.sleep(WORK_S)
        if not self.running:
            return None
        if session['failed']:
            return ['ERROR MALFORMED failed']
        if verb == 'EXECUTE':
            name, _, rest = rest.partition(' ')
            if name not in session['prepared']:
                return self.fail(session, 'UNKNOWN')
            verb = session['prepared'][name]
        return await self.run(session, request_id, verb, rest)

    async def run(self, session, request_id, verb, rest):
        """Run a read, a write or a commit."""
        signature = f'{self.name}.{request_id}'
        if verb == 'READ':
            self.group.record.write(f'run {request_id} READ {rest} at {self.name} {self.last}')
            rows = [entry[2] for entry in self.log if entry[2].split(' ')[0] == rest]
            self.group.runs.append((time.monotonic(), self.name, request_id, verb))
            return [f'ROW {rows[-1] if rows else "none"}', f'DONE {signature}']
        if verb == 'WRITE':
            if not self.is_primary or session['read']:
                return self.fail(session, 'READONLY')
            if session['open']:
                session['writes'].append((request_id, rest))
                return [f'DONE {signature}']
            writes = [(request_id, rest)]
        else:
            if session['writes'] and not self.is_primary:
                session['open'] = False
                return self.fail(session, 'READONLY')
            writes, session['writes'], session['open'] = session['writes'], [], False
        if not writes:
            return [f'DONE {signature}']
        if not await self.commit(writes):
            return None
        return [f'DONE {signature}']

    async def commit(self, writes):
        """Append writes; wait for a replica if the service asks for it."""
        for request_id, text in writes:
            self.log.append((self.term, request_id, text))
            self.group.runs.append((time.monotonic(), self.name, request_id, 'WRITE'))
            self.group.record.write(f'commit {request_id} {text} at {self.name} {self.last}')
        count, term = len(self.log), self.term
        while self.group.sync and not any(
            other.running
            and other is not self
            and other.log[:count] == self.log[:count]
            for other in self.group.instances.values()
        ):
            await asyncio.sleep(REPLICATION_TICK_S)
            if not self.running or not self.is_primary or self.term != term:
                return False
        return True

    def fail(self, session, code):
        """Return an error; an open transaction fails."""
        session['failed'] = session['open']
        return [f'ERROR {code} {self.name}']

    def control(self, verb, rest, session):
        """Run a control command and return the status row."""
        if verb == 'PAUSE' and not self.is_primary and int(rest) > max(self.term, self.fenced):
            self.fenced = int(rest)
            self.group.record.write(f'{self.name} is fenced for term {rest} by {session["id"]}')
        if verb == 'RESUME':
            self.fenced = 0
        if verb == 'DEMOTE' and self.is_primary and self.term < int(rest):
            self.is_primary = False
            self.group.record.write(f'{self.name} is demoted by {session["id"]}')
            self.announce()
        role = 'primary' if self.is_primary else 'replica'
        term, number = self.last
        count = len(self.writers)
        return [f'ROW {role} {self.term} {term}.{number} {self.fenced} 0 0 {count}', 'DONE -']


class Group:
    """One service: instances with replication and promotions.

    Attributes:
        sync: Whether a commit waits until one replica has received it.
        promote_s: Time from the call until a promotion takes effect.
        lag_s: Delay of the replication.
        on_promotion_call: Called with the id when a promotion call arrives, or None.
        on_promotion: Called with the instance that begins to lead, or None.
        ends_all_fences: Whether a promotion also ends the fences of instances that the new primary
            does not reach.
        runs: Runs of clients' statements as (time, instance, request id, verb).
        promotions: Promotions that took effect as (time, id, term, log).
    """

    def __init__(self, store, record, name, zones, sync=False, promote_s=0.3, lag_s=0.02):
        self.store = store
        self.record = record
        self.name = name
        self.sync = sync
        self.promote_s = promote_s
        self.lag_s = lag_s
        self.on_promotion_call = None
        self.on_promotion = None
        self.ends_all_fences = False
        self.runs = []
        self.promotions = []
        self.cuts = set()
        self.instances = {
            f'{name}-{index}': Instance(self, f'{name}-{index}', zone)
            for index, zone in enumerate(zones)
        }
        next(iter(self.instances.values())).is_primary = True
        store.groups[name] = self

    async def start(self):
        """Start all instances."""
        for instance in self.instances.values():
            await instance.start()
        self.task = asyncio.ensure_future(self.replicate_forever())

    def has_link(self, first, second):
        """Return whether two instances reach each other."""
        return frozenset((first.name, second.name)) not in self.cuts

    async def replicate_forever(self):
        """Copy new entries of each primary to the instances that follow it."""
        while True:
            await asyncio.sleep(REPLICATION_TICK_S)
            for primary in self.instances.values():
                if primary.running and primary.is_primary:
                    for other in self.instances.values():
                        if other is not primary:
                            self.replicate(primary, other)

    def replicate(self, primary, other):
        """Copy entries that are older than the lag to one instance."""
        if not other.running or not self.has_link(primary, other):
            return
        if other.term > primary.term or other.fenced > primary.term:
            return
        if other.is_primary:
            if other.term < primary.term and not getattr(other, 'stepping_down', False):
                other.stepping_down = True
                asyncio.get_running_loop().call_later(STEP_DOWN_S, self.step_down, other)
            return
        other.term = primary.term
        same = 0
        limit = min(len(other.log), len(primary.log))
        if other.log[:limit] == primary.log[:limit]:
            same = limit
        else:
            while other.log[same] == primary.log[same]:
                same += 1
        other.log = other.log[:same]
        other.log += primary.log[same : len(self.ripe(primary))]

    def ripe(self, primary):
        """Return the entries of a primary that are older than the lag."""
        stamps = primary.__dict__.setdefault('stamps', [])
        now = time.monotonic()
        del stamps[len(primary.log) :]
        while len(stamps) < len(primary.log):
            stamps.append(now)
        count = len(stamps)
        while count and now - stamps[count - 1] < self.lag_s:
            count -= 1
        return primary.log[:count]

    def step_down(self, former):
        """Make a former primary a replica."""
        former.stepping_down = False
        newer = any(it.is_primary and it.term > former.term for it in self.instances.values())
        if former.is_primary and newer:
            former.is_primary = False
            former.announce()

    def accept_promotion(self, name):
        """Promote an instance after the delay; return whether it is running."""
        instance = self.instances.get(name)
        if instance is None or not instance.running:
            return False
        if self.on_promotion_call is not None:
            self.on_promotion_call(name)
        if not instance.is_primary:
            loop = asyncio.get_running_loop()
            loop.call_later(self.promote_s, self.promote, instance)
        return True

    def promote(self, instance):
        """Let an instance lead the next term with what it has received, unless it has crashed."""
        if not instance.running or instance.is_primary:
            return
        instance.term = max(it.term for it in self.instances.values()) + 1
        instance.is_primary = True
        if self.on_promotion is not None:
            self.on_promotion(instance)
        for other in self.instances.values():
            if self.ends_all_fences or self.has_link(instance, other):
                other.fenced = 0
        self.promotions.append((time.monotonic(), instance.name, instance.term, list(instance.log)))
        self.record.write(f'promoted {instance.name} term {instance.term} log {instance.last}')
        instance.announce()


class Store:
    """The platform's store and its promotion call.

    Attributes:
        promotions: Promotion calls as (time, machine, service, id, token).
    """

    def __init__(self, record):
        self.record = record
        self.groups = {}
        self.objects = {}
        self.revision = 1
        self.events = []
        self.changed = asyncio.Condition()
        self.promotions = []

    async def listen(self, machine):
        """Return the port of the store for one machine."""
        server = await asyncio.start_server(
            lambda reader, writer: self.serve(machine, reader, writer), LOOPBACK, 0
        )
        return server.sockets[0].getsockname()[1]

    def put(self, kind, name, spec):
        """Write an object and notify the watches."""
        self.revision += 1
        known = self.objects.setdefault(kind, {}).get(name)
        created = known['meta']['createdRevision'] if known else self.revision
        meta = {'name': name, 'revision': self.revision, 'createdRevision': created}
        meta |= {'finalizers': [], 'deletionPending': False}
        stored = {'meta': meta, 'spec': spec, 'status': None}
        self.objects[kind][name] = stored
        self.events.append((self.revision, kind, stored, False))
        asyncio.ensure_future(self.notify())
        return stored

    async def notify(self):
        """Wake the watches."""
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, machine, reader, writer):
        """Answer the calls of one connection."""
        try:
            while True:
                method, path, _ = (await reader.readuntil(b'\r\n')).decode().split(' ')
                headers = {}
                while line := (await reader.readuntil(b'\r\n')).decode().strip():
                    name, _, text = line.partition(':')
                    headers[name.lower()] = text.strip()
                body = await reader.readexactly(int(headers.get('content-length', 0)))
                status, content = await self.handle(machine, method, path, headers, body)
                encoded = json.dumps(content).encode()
                head = f'HTTP/1.1 {status} {REASONS[status]}\r\nContent-Length: {len(encoded)}\r\n\r\n'
                writer.write(head.encode() + encoded)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def handle(self, machine, method, path, headers, body):
        """Return the status and the content of an answer."""
        parts = urlsplit(path)
        if parts.path == '/promotion':
            document = json.loads(body)
            service, name = document['service'], document['id']
            token = int(headers['fencing-token'])
            self.promotions.append((time.monotonic(), machine, service, name, token))
            self.record.write(f'promotion call of {machine}: {service} {name} token {token}')
            return (200, {}) if self.groups[service].accept_promotion(name) else (409, {})
        query = {name: found[0] for name, found in parse_qs(parts.query).items()}
        names = [unquote(name) for name in parts.path.split('/')[2:]]
        objects = self.objects.setdefault(names[0], {})
        if method == 'GET' and len(names) > 1:
            return (200, objects[names[1]]) if names[1] in objects else (404, {})
        if method == 'GET' and 'watch' in query:
            wait_s = int(query['waitMs']) / 1000
            return 200, await self.watch(names[0], int(query['watch']), wait_s)
        if method == 'GET':
            items = [objects[name] for name in sorted(objects)]
            return 200, {'items': items, 'hasMore': False, 'at': self.revision}
        if method == 'DELETE':
            known = objects.get(names[1])
            if known is None:
                return 404, {}
            if query.get('revision', str(known['meta']['revision'])) != str(known['meta']['revision']):
                return 409, known
            self.revision += 1
            del objects[names[1]]
            self.events.append((self.revision, names[0], known, True))
            await self.notify()
            return 200, known
        document = json.loads(body)
        if len(names) == 1:
            name = document['meta']['name']
            return (409, objects[name]) if name in objects else (200, self.put(names[0], name, document['spec']))
        known = objects.get(names[1])
        if known is None:
            return 404, {}
        if document['meta'].get('revision', known['meta']['revision']) != known['meta']['revision']:
            return 409, known
        return 200, self.put(names[0], names[1], document['spec'])

    async def watch(self, kind, revision, wait_s):
        """Wait for changes after a revision."""
        end = time.monotonic() + wait_s
        async with self.changed:
            while True:
                found = [
                    {'object': stored, 'deleted': deleted}
                    for at, changed, stored, deleted in self.events
                    if at > revision and changed == kind
                ]
                if found or time.monotonic() >= end:
                    return {'events': found, 'at': self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                except TimeoutError:
                    continue


class Machine:
    """One daemon in the pooler role, a process of its own."""

    def __init__(self, lab, name, zone):
        self.lab = lab
        self.name = name
        self.zone = zone
        self.process = None

    async def prepare(self):
        """Choose the ports and write the settings as the template of the deploy file does."""
        ports = reserve_ports(self.lab.reserved, 4)
        self.callers, self.ready, self.metrics, self.peers = ports
        store = await self.lab.store.listen(self.name)
        zones = ''.join(f'  {zone}: {region}\n' for zone, region in self.lab.zones.items())
        self.settings = self.lab.temporary / f'{self.name}.yaml'
        self.settings.write_text(
            f'vm: {self.name}\nplace: {self.zone}\nregions:\n{zones}environment: platform\n'
            f'listen:\n  callers: {LOOPBACK}:{self.callers}\n  readiness: {LOOPBACK}:{self.ready}\n'
            f'  metrics: {LOOPBACK}:{self.metrics}\n  peers: {LOOPBACK}:{self.peers}\n'
            f'store: {LOOPBACK}:{store}\npromotions: {LOOPBACK}:{store}\n'
            'stop_limit: 6s\nstore_history: 20s\n'
            f'terms: [{self.lab.terms}]\n'
        )

    def start(self):
        """Start the process with the command of the deploy file."""
        environment = {key: os.environ[key] for key in ('PATH', 'HOME', 'LANG') if key in os.environ}
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        command = 'python3 -S -m cassiaseam.daemon.main --role pooler --settings'.split()
        with (self.lab.temporary / f'{self.name}.log').open('ab') as output:
            self.process = subprocess.Popen(
                [*command, str(self.settings)],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.lab.record.write(f'started {self.name}')

    def send_signal(self, number):
        """Send a signal if the process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def stop(self, number=signal.SIGTERM, limit_s=7.0):
        """Stop the process and wait for its end."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(number)
        end = time.monotonic() + limit_s
        while self.process is not None and self.process.poll() is None:
            if time.monotonic() > end:
                self.send_signal(signal.SIGKILL)
            await asyncio.sleep(0.02)

    async def is_ready(self):
        """Return whether it reports itself ready."""
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, self.ready)
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

    async def wait_until_ready(self, limit_s=20.0):
        """Wait until it is ready.

        Raises:
            TimeoutError: It is not ready in time.
        """
        async with asyncio.timeout(limit_s):
            while not await self.is_ready():
                await asyncio.sleep(0.05)


class Client:
    """One session of a client.

    Attributes:
        answers: Results by request id: (outcome word, rows, time of sending, time of the answer).
    """

    counter = 0

    def __init__(self, lab, machine, database, name):
        self.lab = lab
        self.machine = machine
        self.database = database
        self.name = name
        self.reader = None
        self.writer = None
        self.answers = {}

    async def connect(self):
        """Open the session; return whether it was accepted."""
        try:
            async with asyncio.timeout(2):
                self.reader, self.writer = await asyncio.open_connection(
                    LOOPBACK, self.machine.callers
                )
                self.writer.write(f'START {self.database} {self.name}\r\n'.encode())
                line = (await self.reader.readline()).decode(ENCODING)
        except (OSError, TimeoutError):
            line = ''
        if not line.startswith('READY I'):
            self.close()
            return False
        return True

    def close(self):
        """Close the session."""
        if self.writer is not None:
            self.writer.close()
        self.writer = None

    async def query(self, text, limit_s=5.0):
        """Send a statement and return (outcome, rows, request id); reconnect if needed."""
        Client.counter += 1
        request_id = f'{self.name}-{Client.counter}'
        sent_at = time.monotonic()
        if self.writer is None and not await self.connect():
            return 'NOSESSION', [], request_id
        self.lab.record.write(f'sent {self.machine.name} {request_id} {text}')
        rows, outcome = [], 'CLOSED'
        try:
            self.writer.write(f'QUERY {request_id} {text}\r\n'.encode(ENCODING))
            async with asyncio.timeout(limit_s):
                while line := (await self.reader.readline()).decode(ENCODING).rstrip('\r\n'):
                    word, _, rest = line.partition(' ')
                    if word == 'ROW':
                        rows.append(rest)
                    elif word == 'DONE':
                        result = 'OK'
                    elif word == 'ERROR':
                        result = rest.split(' ')[0]
                    elif word == 'READY':
                        outcome = result
                        break
        except (OSError, TimeoutError):
            outcome = 'CLOSED'
        if outcome == 'CLOSED':
            self.close()
        self.answers[request_id] = (outcome, rows, sent_at, time.monotonic(), text)
        self.lab.record.write(f'answered {self.machine.name} {request_id} {outcome} {rows}')
        return outcome, rows, request_id


class Lab:
    """Stand-ins, machines and clients of one case.

    Attributes:
        trouble: Whether the disruption of the case takes place.
        terms: Contracts of the site, as in its settings.
    """

    def __init__(self, folder, zones):
        self.record = Record(folder)
        self.zones = zones
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.holder = tempfile.TemporaryDirectory()
        self.temporary = Path(self.holder.name)
        self.store = Store(self.record)
        self.terms = 'base, drain, config, cost, recover, sql, platform'
        self.machines = []
        self.reserved = []

    async def add_machines(self, names_and_zones):
        """Start machines and wait until they are ready."""
        for name, zone in names_and_zones:
            machine = Machine(self, name, zone)
            await machine.prepare()
            machine.start()
            self.machines.append(machine)
        for machine in self.machines:
            await machine.wait_until_ready()

    async def close(self):
        """End all processes, and keep the logs of the daemons if KEEP names a folder."""
        await asyncio.gather(*(machine.stop(signal.SIGKILL) for machine in self.machines))
        for opened in self.reserved:
            opened.close()
        keep = os.environ.get('KEEP')
        if keep:
            for log in self.temporary.glob('*.log'):
                (Path(keep) / log.name).write_bytes(log.read_bytes())
        self.holder.cleanup()


def reserve_ports(sockets, count):
    """Return free ports that nobody else gets while their sockets are open.

    A daemon can still listen on them, because the sockets do not.
    """
    ports = []
    for _ in range(count):
        opened = socket.socket()
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        opened.bind((LOOPBACK, 0))
        sockets.append(opened)
        ports.append(opened.getsockname()[1])
    return ports


def build_config(version, routes, services, sync=0, timeout_ms=1000):
    """Return a configuration; routes as (name, database, kind, service)."""
    return {
        'version': version,
        'routes': [
            {
                'name': name,
                'host': database,
                'routeKind': kind,
                'service': service,
                'timeoutMs': timeout_ms,
                'targetLatencyMs': 400,
                'maxStalenessMs': 1500,
                'priority': 1,
            }
            for name, database, kind, service in routes
        ],
        'services': [
            {'name': name, 'maxConnections': 76, 'syncReplicas': sync} for name in services
        ],
        'limits': {'transactionIdleMs': 3000},
    }


def run_case(play, folder, zones):
    """Run a case and exit with 0 if the rule held, 1 if it was broken, 2 if it could not run."""

    async def run():
        lab = Lab(folder, zones)
        try:
            return await play(lab)
        finally:
            await lab.close()

    try:
        broken = asyncio.run(run())
    except Exception as error:  # The case could not run.
        print(f'the case could not run: {error!r}')
        sys.exit(2)
    sys.exit(1 if broken else 0)
