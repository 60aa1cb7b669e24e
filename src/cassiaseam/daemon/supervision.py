"""Runs one daemon on a Twisted reactor and shuts it down on a signal."""

import asyncio
from typing import Any

from absl import logging
from twisted.internet.defer import Deferred

from cassiaseam.daemon.runtime import Runtime, RuntimeSettings

EXIT_START_FAILED = 1


class DaemonSupervisor:
    """Starts a daemon when the reactor starts and stops it before the reactor shuts down.

    Attributes:
        reactor: Reactor of Twisted.
        loop: Event loop that the reactor runs on.
        runtime: The daemon, or None before it is built.
        exit_code: Exit code of the process.
    """

    def __init__(self, reactor: Any, loop: asyncio.AbstractEventLoop, settings: RuntimeSettings):
        self.reactor = reactor
        self.loop = loop
        self.settings = settings
        self.runtime: Runtime | None = None
        self.start_task: asyncio.Task | None = None
        self.exit_code = 0

    def schedule(self) -> None:
        """Register the start and stop of the daemon; SIGTERM and SIGINT stop the reactor."""
        self.reactor.callWhenRunning(self._start)
        self.reactor.addSystemEventTrigger('before', 'shutdown', self._stop)

    def _start(self) -> None:
        self.start_task = self.loop.create_task(self._start_runtime())

    async def _start_runtime(self) -> None:
        try:
            self.runtime = Runtime(self.settings, self.reactor)
            await self.runtime.start()
        except Exception as error:
            logging.error('event=daemon_start_failed reason=%r', error)
            self.exit_code = EXIT_START_FAILED
            self.reactor.stop()

    def _stop(self) -> Deferred | None:
        if self.start_task is not None and not self.start_task.done():
            self.start_task.cancel()
            return None
        if self.runtime is None or self.exit_code:
            return None
        return Deferred.fromFuture(self.loop.create_task(self.runtime.stop()))
