import asyncio
import threading

import pytest

from cassiaseam_standin.group_launcher import start_group


class LoopThread:
    """Event loop in a thread of its own, so that blocking drivers can call what runs on it."""

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


@pytest.fixture(scope='session')
def group():
    started = asyncio.run(start_group())
    yield started
    started.stop()
