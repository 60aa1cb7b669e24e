import asyncio
import threading

import pytest
from twisted.internet.asyncioreactor import AsyncioSelectorReactor

from cassiaseam_standin.group_launcher import start_group, start_platform
from cassiaseam_standin.platform_http import build_platform_site


class LoopThread:
    """Event loop in a separate thread, so that blocking drivers can use servers that run on it."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def run(self, coroutine, timeout_s=20):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(timeout_s)

    def stop(self):
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(10)
        self.loop.close()


@pytest.fixture
def loop_thread():
    thread = LoopThread()
    yield thread
    thread.stop()


@pytest.fixture
def platform_url(loop_thread):
    """Stand-in platform on the event loop of the daemons, empty for every test."""

    async def listen():
        reactor = AsyncioSelectorReactor(asyncio.get_running_loop())
        return reactor.listenTCP(0, build_platform_site(reactor), interface='127.0.0.1')

    async def close(port):
        await port.stopListening().asFuture(asyncio.get_running_loop())

    port = loop_thread.run(listen())
    yield f'http://127.0.0.1:{port.getHost().port}'
    loop_thread.run(close(port))


@pytest.fixture
def platform():
    started = asyncio.run(start_platform())
    yield started
    started.kill()


@pytest.fixture(scope='session')
def group():
    started = asyncio.run(start_group())
    yield started
    started.stop()
