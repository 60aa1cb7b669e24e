"""Connections of one daemon to its targets."""

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

CHANNEL_IDLE_LIMIT_S = 20.0
CHANNEL_CHECK_S = 5.0
TargetKey = tuple[str, str]


@dataclass(frozen=True, slots=True)
class TargetCredentials:
    """Login of the daemon on targets.

    Attributes:
        user: User name.
        password: Password; never part of a `repr`.
    """

    user: str
    password: str

    def __repr__(self) -> str:
        """Return a text without the password."""
        return f'TargetCredentials(user={self.user!r})'


class ControlChannel:
    """One connection for short control operations on a target; it reconnects when needed.

    Operations run one after the other. A limit covers the wait, the connect and the operation.

    Attributes:
        connection: Open connection, or None.
        used_at: Time in seconds of the latest operation, on the clock of the loop.
    """

    def __init__(self, target: TargetConfig, credentials: TargetCredentials):
        self.target = target
        self.credentials = credentials
        self.connection: TargetConnection | None = None
        self.lock = asyncio.Lock()
        self.used_at: float = 0

    async def run(
        self,
        operation: Callable[[TargetConnection, float], Coroutine[Any, Any, Result[Any, Any]]],
        timeout_s: float,
    ) -> Result[Any, RequestError]:
        """Run `operation(connection, remaining seconds)`."""
        loop = asyncio.get_running_loop()
        self.used_at = loop.time()
        end = self.used_at + timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                await self.lock.acquire()
        except TimeoutError:
            message = f'{self.target.name} is busy with an earlier operation'
            return Err(RequestError(ErrorKind.NO_TARGET, message))
        try:
            connection = await self._obtain_connection(end - loop.time())
            if isinstance(connection, Err):
                return connection
            return await operation(connection.ok_value, end - loop.time())
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
    """Connections that the effects of the reducer refer to.

    Attributes:
        configs: Configuration in force per database.
        credentials: Login on targets.
        connections: Open connections by id.
        opening: Ids of connections that are being opened.
        running: Ids of connections with a statement or a reset under way.
        channels: Control channel per purpose, database and target.
        refusals: Targets that refuse status polls.
    """

    def __init__(self, configs: dict[str, DatabaseConfig], credentials: TargetCredentials):
        self.configs = configs
        self.credentials = credentials
        self.connections: dict[str, TargetConnection] = {}
        self.opening: set[str] = set()
        self.running: set[str] = set()
        self.channels: dict[tuple[str, TargetKey], ControlChannel] = {}
        self.refusals = PollRefusals()
        self.tasks: set[asyncio.Task] = set()

    def find_target(self, database: str, target: str) -> TargetConfig | None:
        """Return the configuration of a target, or None when it is no longer configured."""
        config = self.configs.get(database)
        if config is None:
            return None
        return next((found for found in config.targets if found.name == target), None)

    def obtain_channel(self, purpose: str, database: str, target: str) -> ControlChannel | None:
        """Return the channel of a target, or None when the target is not configured."""
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
        """Close channels without use, such as those of databases that other daemons own now."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(CHANNEL_CHECK_S)
            oldest = loop.time() - CHANNEL_IDLE_LIMIT_S
            idle = [key for key, channel in self.channels.items() if channel.used_at < oldest]
            for key in idle:
                self.channels.pop(key).close()
                self.refusals.forget_target(key[1])

    def run_in_background(self, work: Coroutine[Any, Any, None]) -> asyncio.Task:
        """Run a coroutine as a task that is kept until it ends."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._forget_task)
        return task

    async def stop(self) -> None:
        """Close every connection and cancel what still runs."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for connection in self.connections.values():
            connection.close()
        for channel in self.channels.values():
            channel.close()
        self.connections.clear()
        self.channels.clear()

    def _forget_task(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logging.error('event=target_task_failed error=%r', task.exception())
