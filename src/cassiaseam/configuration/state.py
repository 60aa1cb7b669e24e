"""State of the configuration role."""

import struct
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

import xxhash

from cassiaseam.configuration.document import SHARD_COUNT, format_shard_key
from cassiaseam.configuration.model import DatabaseConfig
from cassiaseam.reducer.node_state import NodeState


@dataclass(frozen=True, slots=True)
class Shard:
    """One active shard.

    Attributes:
        version: Store revision of the shard; 0 if the shard is unknown.
        document: Compressed document.
        names: Names of its databases.
    """

    version: int = 0
    document: bytes = b''
    names: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Pull:
    """A shard version requested from a peer.

    Attributes:
        version: Version of the shard.
        requested_at: Time in seconds of the request.
    """

    version: int
    requested_at: float


@dataclass(slots=True)
class ConfigurationState:
    """Active configuration on one daemon.

    Attributes:
        shards: Active shards by number.
        databases: Configuration by database.
        rejected: Highest unreadable version by shard.
        pulls: Requested version by shard.
        asked_peers: Peers asked for their shards at the start.
        has_read_store: Whether the read of the store at the start was requested.
        is_watching: Whether this daemon watches the store.
        compared_at: Time in seconds of the latest version exchange due to a different digest, or
            None.
        watch_checked_at: Time in seconds at which the watchers were last determined, or None.
    """

    shards: list[Shard] = field(default_factory=list)
    databases: dict[str, DatabaseConfig] = field(default_factory=dict)
    rejected: dict[int, int] = field(default_factory=dict)
    pulls: dict[int, Pull] = field(default_factory=dict)
    asked_peers: set[str] = field(default_factory=set)
    has_read_store: bool = False
    is_watching: bool = False
    compared_at: float | None = None
    watch_checked_at: float | None = None

    def list_versions(self) -> tuple[int, ...]:
        """Return the version of every shard."""
        return tuple(shard.version for shard in self.shards)

    def compute_digest(self) -> int:
        """Return a hash of 8 bytes over all versions."""
        packed = struct.pack(f'>{SHARD_COUNT}Q', *self.list_versions())
        return xxhash.xxh3_64_intdigest(packed)


def create_configuration() -> ConfigurationState:
    """Return the state of a daemon without any configuration."""
    return ConfigurationState(shards=[Shard() for _ in range(SHARD_COUNT)])


def read_versions_in_force(state: NodeState) -> dict[str, int]:
    """Return the active version by shard key, without unknown shards."""
    configuration: ConfigurationState = state.configuration
    versions = enumerate(configuration.list_versions())
    return {format_shard_key(number): version for number, version in versions if version}


def find_database(state: NodeState, database: str) -> DatabaseConfig | None:
    """Return the active configuration of a database, or None."""
    return state.configuration.databases.get(database)


def find_changed(
    before: dict[str, DatabaseConfig], databases: Iterable[DatabaseConfig]
) -> list[DatabaseConfig]:
    """Return the databases whose configuration differs in more than its version."""
    changed = []
    for config in databases:
        known = before.get(config.name)
        if known is None or replace(known, version=config.version) != config:
            changed.append(config)
    return changed
