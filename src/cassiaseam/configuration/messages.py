"""Events and effects of the configuration role."""

from dataclasses import dataclass

from cassiaseam.configuration.model import DatabaseConfig
from cassiaseam.peers.messages import EncodedShard


@dataclass(frozen=True, slots=True)
class ShardReceived:
    """Event: a valid shard came from the store or from a peer.

    Attributes:
        number: Number of the shard.
        version: Store revision of the shard.
        databases: Databases of the shard.
        document: Compressed document, forwarded to peers unchanged.
        source: `store`, or the VM that sent it.
    """

    number: int
    version: int
    databases: tuple[DatabaseConfig, ...]
    document: bytes
    source: str


@dataclass(frozen=True, slots=True)
class ShardRejected:
    """Event: a shard could not be decoded; the active version stays."""

    number: int
    version: int
    reason: str


@dataclass(frozen=True, slots=True)
class VersionsReceived:
    """Event: a peer sent its versions; `wanted` if it requests newer shards in return."""

    vm: str
    versions: tuple[int, ...]
    wanted: bool


@dataclass(frozen=True, slots=True)
class SendVersions:
    """Effect: send the active versions to a peer; `wanted` to request newer shards."""

    vm: str
    versions: tuple[int, ...]
    wanted: bool


@dataclass(frozen=True, slots=True)
class SendShards:
    """Effect: send shards to a peer."""

    vm: str
    shards: tuple[EncodedShard, ...]


@dataclass(frozen=True, slots=True)
class SetWatching:
    """Effect: start or stop watching the configuration in the store."""

    is_active: bool


@dataclass(frozen=True, slots=True)
class ReadStore:
    """Effect: read every shard from the store once."""
