"""Owner role: configuration and conditional writes around a restore of the platform's store."""

import asyncio
import itertools
import json
import random
from types import SimpleNamespace

import pytest
from twisted.internet.asyncioreactor import AsyncioSelectorReactor

from cassiaseam.configuration.distribution import handle_shard
from cassiaseam.configuration.document import find_shard, format_shard_key
from cassiaseam.configuration.messages import ShardReceived
from cassiaseam.configuration.model import DatabaseConfig, TargetConfig
from cassiaseam.configuration.state import create_configuration
from cassiaseam.errors import ErrorKind
from cassiaseam.objectstore.breaker import BackoffSettings
from cassiaseam.objectstore.client import PlatformClient
from cassiaseam.peers import store_loops
from cassiaseam.peers.store_loops import StoreLoops
from cassiaseam.plans.codec import encode_shard
from cassiaseam.plans.model import Confirmed
from cassiaseam.store_revisions import get_number
from cassiaseam_standin.platform_store import ObjectStore

SHARD = 3
KEY = format_shard_key(SHARD)


def find_name(prefix):
    """Return a database name with a prefix that belongs to the shard under test."""
    names = (f'{prefix}{number}' for number in itertools.count())
    return next(name for name in names if find_shard(name) == SHARD)


FIRST, SECOND, THIRD, FOURTH, FIFTH = (find_name(prefix) for prefix in 'abcde')


def build_document(name, stamp):
    """Return a shard with one database, confirmed at a stamp."""
    config = DatabaseConfig(name, (TargetConfig('t1', '127.0.0.1', 3306, 'a'),))
    return encode_shard({name: config}, Confirmed(f'p-{name}', 'team', 'at', (stamp, 0)))


class RestorablePlatform:
    """HTTP interface of the objects of the stand-in platform."""

    def __init__(self):
        self.store = ObjectStore()
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.url = f'http://127.0.0.1:{port}'
        return self

    def restore(self, writes):
        self.store.restore(writes)
        for writer in self.writers:
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                await self.serve_call(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()
        finally:
            self.writers.discard(writer)

    async def serve_call(self, reader, writer):
        head = (await reader.readuntil(b'\r\n\r\n')).decode().split('\r\n')
        method, path, _ = head[0].split(' ')
        headers = dict(line.lower().split(': ', 1) for line in head[1:] if line)
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        status, answer = await self.answer(method, path, headers, body)
        content = json.dumps(answer).encode()
        lines = f'HTTP/1.1 {status} X\r\nStore-Era: {self.store.era}\r\n'
        writer.write(f'{lines}Content-Length: {len(content)}\r\n\r\n'.encode() + content)
        await writer.drain()

    async def answer(self, method, path, headers, body):
        if method == 'PUT':
            key = path.removeprefix('/objects/')
            version = self.store.write_object(key, int(headers['if-match']), json.loads(body))
            if version is not None:
                return 200, {'version': version}
            stored = self.store.objects.get(key)
            return 409, stored.describe() if stored else {'version': 0, 'value': None}
        after = 0
        if path.startswith('/watch'):
            after = int(path.partition('after=')[2].partition('&')[0])
            for _ in range(100):
                if self.store.list_objects('', after):
                    break
                await asyncio.sleep(0.01)
        found = [stored.describe() for stored in self.store.list_objects('', after)]
        return 200, {'revision': self.store.revision, 'objects': found}


class Daemon:
    """Store loops of a daemon that applies the shards that it reads."""

    def __init__(self, platform):
        reactor = AsyncioSelectorReactor(asyncio.get_running_loop())
        settings = BackoffSettings(first_s=0.005, max_s=0.02, failures_to_open=50)
        self.client = PlatformClient(platform.url, reactor, random.Random(1), settings)
        membership = SimpleNamespace(digest=0, members={})
        self.state = SimpleNamespace(
            configuration=create_configuration(), membership=membership, rng=random.Random(1)
        )
        node = SimpleNamespace(state=self.state, dispatch=self.dispatch)
        self.loops = StoreLoops(node, self.client, None)

    def dispatch(self, event):
        if isinstance(event, ShardReceived):
            handle_shard(self.state, event, 0)

    @property
    def databases(self):
        return set(self.state.configuration.databases)

    async def wait_for(self, *names):
        async with asyncio.timeout(5):
            while self.databases != set(names):
                await asyncio.sleep(0.01)

    async def stop(self):
        await self.loops.stop()
        await self.client.close()


def run_daemon(scenario, monkeypatch):
    """Run a scenario with a platform whose shard has been written three times."""
    monkeypatch.setattr(store_loops, 'MAX_REWRITE_DELAY_S', 0.05)

    async def run():
        platform = await RestorablePlatform().start()
        for stamp, name in enumerate((FIRST, SECOND, THIRD), start=1):
            version = platform.store.find_version(KEY)
            platform.store.write_object(KEY, version, build_document(name, stamp))
        daemon = Daemon(platform)
        try:
            daemon.loops.set_watching(True)
            await daemon.wait_for(THIRD)
            await scenario(platform, daemon)
        finally:
            await daemon.stop()
            platform.server.close()

    asyncio.run(run())


def test_change_below_the_watched_revision_of_a_restored_store_is_applied(monkeypatch):
    # The daemon watched from revision 3; the change was written as revision 2 of the new era.
    async def scenario(platform, daemon):
        platform.restore(2)
        platform.store.write_object(KEY, 1, build_document(FOURTH, 4))
        await daemon.wait_for(FOURTH)

    run_daemon(scenario, monkeypatch)


@pytest.mark.parametrize('lost', [1, 3], ids=['older copy', 'no copy'])
def test_confirmed_change_that_a_restore_lost_stays_and_is_written_again(monkeypatch, lost):
    # The store had lost an acknowledged change that the daemon had applied.
    async def scenario(platform, daemon):
        platform.restore(lost)
        async with asyncio.timeout(5):
            while platform.store.find_version(KEY) != 4 - lost:
                await asyncio.sleep(0.01)
        stored = platform.store.objects[KEY].content
        assert set(stored['databases']) == {THIRD}
        assert daemon.databases == {THIRD}

    run_daemon(scenario, monkeypatch)


def test_write_that_expects_a_version_of_a_former_era_is_refused(monkeypatch):
    # The version had been given out again, to another content, which was overwritten.
    async def scenario(platform, daemon):
        version = daemon.state.configuration.shards[SHARD].version
        platform.restore(2)
        platform.store.write_object(KEY, 1, build_document(FOURTH, 4))
        platform.store.write_object(KEY, 2, build_document(FIFTH, 5))
        assert platform.store.find_version(KEY) == get_number(version)
        await daemon.wait_for(FIFTH)
        written = await daemon.client.write_object(KEY, build_document(FIRST, 6), version)
        assert written.unwrap_err().kind is ErrorKind.VERSION_CONFLICT
        assert set(platform.store.objects[KEY].content['databases']) == {FIFTH}

    run_daemon(scenario, monkeypatch)
