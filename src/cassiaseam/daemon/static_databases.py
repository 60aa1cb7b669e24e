"""Databases of the settings file, used while the platform holds no configuration."""

import asyncio
from typing import Any

from absl import logging

from cassiaseam.configuration.document import SHARD_PREFIX
from cassiaseam.configuration.model import DatabaseConfig, DatabaseConfigured, DatabaseRemoved
from cassiaseam.daemon.node import Node

STORE_TIMEOUT_S = 1.0
STORED_CONFIGURATION_POLL_INTERVAL_S = 0.5


class StaticDatabases:
    """Applies the databases of the settings file until a stored configuration replaces them.

    Attributes:
        node: Daemon that receives the events.
        client: `cassiaseam.objectstore.client.PlatformClient`.
        configs: Databases of the settings file.
    """

    def __init__(self, node: Node, client: Any, configs: tuple[DatabaseConfig, ...]):
        self.node = node
        self.client = client
        self.configs = configs

    async def start(self) -> None:
        """Configure the databases unless the store holds a configuration."""
        if not self.configs or await self._has_stored_configuration():
            return
        logging.info('event=static_configuration databases=%d', len(self.configs))
        for config in self.configs:
            if config.name not in self.node.state.configuration.databases:
                self.node.dispatch(DatabaseConfigured(config))

    async def remove_when_superseded(self) -> None:
        """Wait for a stored configuration, then remove the databases it does not contain."""
        configuration = self.node.state.configuration
        while not any(configuration.list_versions()):
            await asyncio.sleep(STORED_CONFIGURATION_POLL_INTERVAL_S)
        for config in self.configs:
            applied_config = self.node.state.database_configs.get(config.name)
            if applied_config is not None and config.name not in configuration.databases:
                self.node.dispatch(DatabaseRemoved(config.name))

    async def _has_stored_configuration(self) -> bool:
        try:
            async with asyncio.timeout(STORE_TIMEOUT_S):
                listed = await self.client.list_objects(SHARD_PREFIX)
        except TimeoutError:
            return False
        return listed.is_ok() and bool(listed.unwrap().objects)
