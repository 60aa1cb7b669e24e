"""Messages between daemons other than requests and answers."""

from dataclasses import dataclass

from cassiaseam.messages import TimelineRecord


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of each side on a new connection.

    Attributes:
        vm: Name of the VM that sends it.
        incarnation: Start of the daemon in milliseconds since 1970; higher after a restart.
        protocol_version: Version of the wire format.
    """

    vm: str
    incarnation: int
    protocol_version: int


@dataclass(frozen=True, slots=True)
class Ping:
    """Heartbeat on a connection.

    Attributes:
        wants_answer: Whether the receiver has to send one back.
    """

    wants_answer: bool


@dataclass(frozen=True, slots=True)
class Goodbye:
    """The sender starts no further request on this connection."""


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """The entry daemon no longer waits for a request."""

    database: str
    request_id: str


@dataclass(frozen=True, slots=True)
class ConfigDigest:
    """Version of every configuration shard at the sender.

    Attributes:
        versions: One version per shard; 0 for a shard that is unknown.
        wanted: Whether the sender asks for its missing shards.
    """

    versions: tuple[int, ...]
    wanted: bool


@dataclass(frozen=True, slots=True)
class EncodedShard:
    """One configuration shard as it travels.

    Attributes:
        number: Number of the shard.
        version: Revision of the store.
        document: Compressed JSON document, see `cassiaseam.configuration.document`.
    """

    number: int
    version: int
    document: bytes


@dataclass(frozen=True, slots=True)
class ConfigShards:
    """Shards that the receiver may lack."""

    shards: tuple[EncodedShard, ...]


@dataclass(frozen=True, slots=True)
class TimelineQuery:
    """Request for the records that a daemon has buffered.

    Attributes:
        query_id: Chosen by the sender; repeated in `TimelineEvents`.
        since_ms: Earliest wall time in milliseconds.
        limit: Most records to send.
        database: Database concerned, or '' for all.
    """

    query_id: str
    since_ms: int
    limit: int
    database: str = ''


@dataclass(frozen=True, slots=True)
class TimelineEvents:
    """Answer to a `TimelineQuery`; `truncated` tells that records are missing."""

    query_id: str
    records: tuple[TimelineRecord, ...]
    truncated: bool = False
