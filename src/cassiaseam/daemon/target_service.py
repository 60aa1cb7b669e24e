"""Connections from one daemon to its targets."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from absl import logging
from result import Err, Ok, Result

from cassiaseam.configuration.model import DatabaseConfig, TargetConfig
from cassiaseam.daemon.poll_refusals import PollRefusals
from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.targets import adapter
from cassiaseam.targets.connection import TargetConnection

CHANNEL_IDLE_TIMEOUT_S = 20.0
CHANNEL_CHECK_INTERVAL_S = 5.0
TargetKey = tuple[str, str]


@dataclass(frozen=True, slots=True)
class TargetCredentials:
    """Credentials of the daemon on targets.

    Attributes:
        user: User name.
        password: Password; never part of a `repr`.
    """

    user: str
    password: str

    def __repr__(self) -> str:
        """Return a representation without the password."""
        return f'TargetCredentials(user={self.user!r})'


class ControlChannel:
    """Reconnecting connection for short control operations on a target.

    Operations run one at a time. Their timeout covers the wait for earlier operations, the connect
    and the operation itself.

    Attributes:
        connection: Open connection, or None.
        last_used_at: Start of the latest operation in seconds, on the clock of the event loop.
    """

    def __init__(self, target: TargetConfig, credentials: TargetCredentials):
        self.target = target
        self.credentials = credentials
        self.connection: TargetConnection | None = None
        self.lock = asyncio.Lock()
        self.last_used_at: float = 0

    async def run(
        self,
        operation: Callable[[TargetConnection, float], Coroutine[Any, Any, Result[Any, Any]]],
        timeout_s: float,
    ) -> Result[Any, RequestError]:
        """Run `operation(connection, remaining_s)` and return its result."""
        loop = asyncio.get_running_loop()
        self.last_used_at = loop.time()
        deadline = self.last_used_at + timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                await self.lock.acquire()
        except TimeoutError:
            message = f'{self.target.name} is busy with an earlier operation'
            return Err(RequestError(ErrorKind.NO_TARGET, message))
        try:
            connection = await self._obtain_connection(deadline - loop.time())
            if isinstance(connection, Err):
                return connection
            return await operation(connection.ok_value, deadline - loop.time())
        finally:
            self.lock.release()

    def close(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    async def _obtain_connection(self, timeout_s: float) -> Result[TargetConnection, RequestError]:
        if self.connection is not None and not self.connection.is_closed:
            return Ok(self.connection)
        credentials = self.credentials
        opened = await adapter.open_connection(
            self.target, credentials.user, credentials.password, timeout_s
        )
        self.connection = opened.ok_value if isinstance(opened, Ok) else None
        return opened


class TargetService:
    """Connections to targets that the effects of the reducer refer to.

    Attributes:
        configs: Active configuration per database.
        credentials: Login on targets.
        connections: Open connections by id.
        opening: Ids of connections that are being opened.
        running: Ids of connections with a statement or a reset in flight.
        channels: Control channels by purpose, database and target.
        poll_refusals: Targets that refuse status polls.
    """

    def __init__(self, configs: dict[str, DatabaseConfig], credentials: TargetCredentials):
        self.configs = configs
        self.credentials = credentials
        self.connections: dict[str, TargetConnection] = {}
        self.opening: set[str] = set()
        self.running: set[str] = set()
        self.channels: dict[tuple[str, TargetKey], ControlChannel] = {}
        self.poll_refusals = PollRefusals()
        self.tasks: set[asyncio.Task] = set()

    def find_target(self, database: str, target: str) -> TargetConfig | None:
        """Return the configuration of a target, or None when it is no longer configured."""
        config = self.configs.get(database)
        if config is None:
            return None
        return next((found for found in config.targets if found.name == target), None)

    def obtain_channel(self, purpose: str, database: str, target: str) -> ControlChannel | None:
        """Return the channel of a target, created on first use; None for an unknown target."""
        config = self.find_target(database, target)
        if config is None:
            return None
        key = (purpose, (database, target))
        channel = self.channels.get(key)
        if channel is None or (channel.target.host, channel.target.port) != (
            config.host,
            config.port,
        ):
            if channel is not None:
                channel.close()
            channel = ControlChannel(config, self.credentials)
            self.channels[key] = channel
        return channel

    async def close_idle_channels(self) -> None:
        """Close idle channels, such as those of databases now owned by other daemons."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(CHANNEL_CHECK_INTERVAL_S)
            idle_before = loop.time() - CHANNEL_IDLE_TIMEOUT_S
            idle = [
                key for key, channel in self.channels.items() if channel.last_used_at < idle_before
            ]
            for key in idle:
                self.channels.pop(key).close()
                self.poll_refusals.remove_target(key[1])

    def run_in_background(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task:
        """Run a coroutine as a task; a reference to the task is kept until it ends."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._discard_task)
        return task

    async def stop(self) -> None:
        """Cancel all running tasks and close all connections."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for connection in self.connections.values():
            connection.close()
        for channel in self.channels.values():
            channel.close()
        self.connections.clear()
        self.channels.clear()

    def _discard_task(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logging.error('event=target_task_failed error=%r', task.exception())
