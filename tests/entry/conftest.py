import asyncio
import threading
import time

import pymysql
import pytest

from cassiaseam.configuration.model import DatabaseConfig
from cassiaseam.entry.forwarding import Forwarder
from cassiaseam.entry.identity import CallerDirectory, CallerLogin, hash_password
from cassiaseam.entry.listener import CallerListener, ListenerLimits
from cassiaseam.messages import Answer, RequestKind, ResultSet
from cassiaseam.positions import LogPosition


class FakeOwner:
    """Owner that records requests and answers them with functions registered by statement text."""

    def __init__(self):
        self.requests = []
        self.cancelled = []
        self.replies = {}
        self.offset = 0

    async def send_request(self, vm, request, now):
        self.requests.append(request)
        try:
            return await self.reply(request)
        except asyncio.CancelledError:
            self.cancelled.append(request.request_id)
            raise

    async def reply(self, request):
        plain = request.sql.split('*/')[-1].strip()
        if plain in self.replies:
            return await self.replies[plain](request)
        if request.kind is RequestKind.READ:
            rows = ResultSet(('n', 'text'), ((1, 'one'), (2, None)), column_types=(8, 253))
            return Answer(request.request_id, rows, target='b', replica=True)
        self.offset += 1
        position = LogPosition(1, self.offset)
        changed = ResultSet(affected_rows=3, last_insert_id=17)
        return Answer(request.request_id, changed, target='a', position=position)

    def kinds(self):
        return [request.kind.value for request in self.requests]


class ListenerThread:
    """Listener on the event loop of its own thread, so that tests can use blocking drivers."""

    def __init__(self, limits):
        self.owner = FakeOwner()
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        logins = [
            CallerLogin('shop', hash_password('secret'), ('orders', 'labels')),
            CallerLogin('open', hash_password('other'), ('*',)),
        ]
        forwarder = Forwarder('vm1', lambda _: ['vm1'], self.owner, time.monotonic)
        configs = {name: DatabaseConfig(name, ()) for name in ('orders', 'labels', 'internal')}
        directory = CallerDirectory(logins, configs)
        self.listener = CallerListener(forwarder, directory, limits)
        self.port = self.run(self.listener.start('127.0.0.1', 0))

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    def connect(self, **changes):
        settings = {'user': 'shop', 'password': 'secret', 'database': 'orders'}
        settings.update(changes)
        return pymysql.connect(host='127.0.0.1', port=self.port, ssl_disabled=True, **settings)

    def wait_until(self, condition):
        for _ in range(500):
            if condition():
                return True
            time.sleep(0.01)
        return False

    def stop(self):
        self.run(self.listener.stop(0))
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(10)
        self.loop.close()


@pytest.fixture
def served():
    thread = ListenerThread(ListenerLimits(login_timeout_s=0.3, sessions=8))
    yield thread
    thread.stop()
