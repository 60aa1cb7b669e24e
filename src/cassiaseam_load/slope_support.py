"""Shared helpers of the scaling measurements: event loop threads, CPU time and memory."""

import asyncio
import gc
import os
import threading
import time
import tracemalloc
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, TypeVar

RUN_TIMEOUT_S = 60.0
WAIT_STEP_S = 0.02
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
MS_PER_S = 1e3
US_PER_S = 1e6
LOOPBACK = '127.0.0.1'

AnswerT = TypeVar('AnswerT')


class LoopThread:
    """Event loop in a dedicated thread whose CPU time can be read.

    Attributes:
        loop: The event loop.
    """

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def run(self, work: Coroutine[Any, Any, AnswerT]) -> AnswerT:
        """Run a coroutine on the loop and return its result."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(RUN_TIMEOUT_S)

    def call(self, function: Callable[[], AnswerT]) -> AnswerT:
        """Run a function on the loop and return its result."""

        async def run() -> AnswerT:
            return function()

        return self.run(run())

    def read_cpu_s(self) -> float:
        """Return the CPU time in seconds of the loop's thread."""
        return self.call(time.thread_time)

    def stop(self) -> None:
        """Stop the loop and join the thread."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(RUN_TIMEOUT_S)
        self.loop.close()


@contextmanager
def run_loop_thread() -> Iterator[LoopThread]:
    """Start a loop thread and stop it on exit."""
    thread = LoopThread()
    try:
        yield thread
    finally:
        thread.stop()


def read_resident_bytes() -> int:
    """Return the resident set size of this process in bytes."""
    return int(Path('/proc/self/statm').read_text().split()[1]) * PAGE_BYTES


@contextmanager
def trace_memory() -> Iterator[Callable[[], int]]:
    """Yield a function that returns the bytes allocated since the start and still in use."""
    gc.collect()
    tracemalloc.start()
    try:
        yield _read_traced_bytes
    finally:
        tracemalloc.stop()


def _read_traced_bytes() -> int:
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


def measure_cpu_s(function: Callable[[], Any]) -> float:
    """Call a function and return its CPU time in seconds in this thread."""
    started = time.thread_time()
    function()
    return time.thread_time() - started


def wait_until(condition: Callable[[], Any], timeout_s: float = RUN_TIMEOUT_S) -> None:
    """Wait until a condition holds.

    Raises:
        TimeoutError: The condition does not hold within `timeout_s`.
    """
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError(f'{condition} did not hold within {timeout_s} s')
        time.sleep(WAIT_STEP_S)
