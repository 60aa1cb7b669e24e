"""Runs one daemon on a Twisted reactor and shuts it down on a signal."""

import asyncio
from typing import Any

from absl import logging
from twisted.internet.defer import Deferred

from cassiaseam.daemon.runtime import Runtime, RuntimeSettings

EXIT_START_FAILED = 1


class DaemonSupervisor:
    """Starts a daemon with the reactor and stops it before the reactor ends.

    Attributes:
        reactor: Reactor on the asyncio loop.
        runtime: The daemon, once it was built.
        exit_code: Exit code of the process.
    """

    def __init__(self, reactor: Any, settings: RuntimeSettings):
        self.reactor = reactor
        self.settings = settings
        self.runtime: Runtime | None = None
        self.exit_code = 0

    def schedule(self) -> None:
        """Start the daemon when the reactor runs; SIGTERM and SIGINT stop the reactor."""
        self.reactor.callWhenRunning(self._start)
        self.reactor.addSystemEventTrigger('before', 'shutdown', self._stop)

    def _start(self) -> None:
        started = Deferred.fromCoroutine(self._start_runtime())
        started.addErrback(self._report_failed_start)

    async def _start_runtime(self) -> None:
        loop = asyncio.get_running_loop()
        self.runtime = Runtime(self.settings)
        await Deferred.fromFuture(loop.create_task(self.runtime.start()))

    def _report_failed_start(self, failure: Any) -> None:
        logging.error('event=daemon_start_failed reason=%r', failure.getErrorMessage())
        self.exit_code = EXIT_START_FAILED
        self.reactor.stop()

    def _stop(self) -> Deferred | None:
        if self.runtime is None or self.exit_code:
            return None
        return Deferred.fromFuture(asyncio.ensure_future(self.runtime.stop()))
