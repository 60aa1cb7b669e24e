"""Messages between daemons, except requests and answers."""

from dataclasses import dataclass

from cassiaseam.messages import TimelineRecord


@dataclass(frozen=True, slots=True)
class Hello:
    """First message from each side of a new connection.

    Attributes:
        vm: Name of the sending VM.
        incarnation: Start time of the daemon in milliseconds since the epoch; increases with each
            restart.
        protocol_version: Version of the wire protocol.
    """

    vm: str
    incarnation: int
    protocol_version: int


@dataclass(frozen=True, slots=True)
class Ping:
    """Heartbeat on a connection.

    Attributes:
        wants_answer: Whether the receiver has to answer with a ping.
    """

    wants_answer: bool


@dataclass(frozen=True, slots=True)
class Goodbye:
    """The sender sends no further requests on this connection."""


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """The entry daemon no longer waits for the answer to a request."""

    database: str
    request_id: str


@dataclass(frozen=True, slots=True)
class ConfigDigest:
    """Version of every configuration shard at the sender.

    Attributes:
        versions: One version per shard; 0 for an unknown shard.
        wanted: Whether the sender requests the shards that it lacks.
    """

    versions: tuple[int, ...]
    wanted: bool


@dataclass(frozen=True, slots=True)
class EncodedShard:
    """Configuration shard in its wire format.

    Attributes:
        number: Number of the shard.
        version: Version of the shard: a revision of the store.
        document: Compressed JSON document; see `cassiaseam.configuration.document`.
    """

    number: int
    version: int
    document: bytes


@dataclass(frozen=True, slots=True)
class ConfigShards:
    """Configuration shards that the receiver may lack."""

    shards: tuple[EncodedShard, ...]


@dataclass(frozen=True, slots=True)
class TimelineQuery:
    """Request for the time line records buffered by a daemon.

    Attributes:
        query_id: Correlation id chosen by the sender; returned in `TimelineEvents`.
        since_ms: Earliest wall time in milliseconds.
        limit: Maximum number of records to return.
        database: Database to filter by, or '' for all.
    """

    query_id: str
    since_ms: int
    limit: int
    database: str = ''


@dataclass(frozen=True, slots=True)
class TimelineEvents:
    """Answer to a `TimelineQuery`; `truncated` means that some records are missing."""

    query_id: str
    records: tuple[TimelineRecord, ...]
    truncated: bool = False
