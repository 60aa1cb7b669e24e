"""Events and effects between the reducer and the targets.

Times are seconds on the monotonic clock of the daemon.
"""

import enum
from dataclasses import dataclass

from cassiaseam.messages import ResultSet, TargetStatus
from cassiaseam.positions import LogPosition


class ExecutionMode(enum.Enum):
    """How the adapter runs a statement on a connection."""

    READ = 'read'
    WRITE = 'write'
    KEYED_WRITE = 'keyed_write'
    BEGIN = 'begin'
    KEYED_BEGIN = 'keyed_begin'
    IN_TRANSACTION = 'in_transaction'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'


class StatementFailure(enum.Enum):
    """Why a statement has no result.

    `SQL_ERROR`: the target rejected the statement; the connection stays usable.
    `READ_ONLY`: the target is no primary or is fenced; nothing was committed.
    `NOT_SENT`: the connection was lost before anything was sent.
    `LOST`: the connection was lost after sending; the statement may have run.
    `TIMEOUT`: no answer within the time limit; the statement may have run.
    `KEY_REUSED`: the idempotency key belongs to another statement; nothing ran.
    """

    SQL_ERROR = 'sql_error'
    READ_ONLY = 'read_only'
    NOT_SENT = 'not_sent'
    LOST = 'lost'
    TIMEOUT = 'timeout'
    KEY_REUSED = 'key_reused'


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Effect: open a connection; answered by `ConnectionOpened` or `ConnectionFailed`."""

    database: str
    target: str
    connection_id: str


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Effect: close a connection, even with a statement running on it."""

    database: str
    target: str
    connection_id: str


@dataclass(frozen=True, slots=True)
class ResetConnection:
    """Effect: clear the session on a connection; answered by `ConnectionReset`."""

    database: str
    target: str
    connection_id: str


@dataclass(frozen=True, slots=True)
class RunStatement:
    """Effect: run a statement; answered by exactly one `StatementFinished`."""

    database: str
    target: str
    connection_id: str
    request_id: str
    mode: ExecutionMode
    sql: str
    timeout_s: float
    idempotency_key: str | None = None


@dataclass(frozen=True, slots=True)
class ConnectionOpened:
    """Event: a connection is ready."""

    database: str
    target: str
    connection_id: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class ConnectionFailed:
    """Event: a connection could not be opened or was lost while idle."""

    database: str
    target: str
    connection_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class ConnectionReset:
    """Event: the reset of a connection ended; after a failure the connection is closed."""

    database: str
    target: str
    connection_id: str
    succeeded: bool


@dataclass(frozen=True, slots=True)
class StatementFinished:
    """Event: a statement ended.

    Attributes:
        position: Position of the commit for WRITE, KEYED_WRITE and COMMIT; for reads the
            applied position of the target, or None if it is unknown.
        replayed: Whether the idempotency key was found, so that `result_set` is the original
            outcome.
    """

    database: str
    target: str
    connection_id: str
    request_id: str
    result_set: ResultSet | None = None
    failure: StatementFailure | None = None
    mysql_code: int = 0
    message: str = ''
    position: LogPosition | None = None
    replayed: bool = False


@dataclass(frozen=True, slots=True)
class PollTarget:
    """Effect: read the status of a target over its status connection."""

    database: str
    target: str


@dataclass(frozen=True, slots=True)
class TargetStatusReceived:
    """Event: a status poll that started at `started_at` was answered."""

    database: str
    target: str
    started_at: float
    status: TargetStatus


@dataclass(frozen=True, slots=True)
class TargetStatusFailed:
    """Event: a status poll that started at `started_at` failed or timed out."""

    database: str
    target: str
    started_at: float
    reason: str


@dataclass(frozen=True, slots=True)
class FenceTarget:
    """Effect: fence a target; answered by `FenceAnswered`."""

    database: str
    target: str
    term: int
    promoter: str


@dataclass(frozen=True, slots=True)
class FenceAnswered:
    """Event: outcome of a fence; `status` is None if the target did not answer."""

    database: str
    target: str
    term: int
    granted: bool
    status: TargetStatus | None


@dataclass(frozen=True, slots=True)
class PromoteTarget:
    """Effect: promote a fenced target; answered by `PromoteAnswered`."""

    database: str
    target: str
    term: int
    promoter: str


@dataclass(frozen=True, slots=True)
class PromoteAnswered:
    """Event: outcome of a promotion."""

    database: str
    target: str
    term: int
    succeeded: bool


@dataclass(frozen=True, slots=True)
class MarkTerm:
    """Effect: commit a first log entry in the term of a new primary; no answer is awaited."""

    database: str
    target: str
    term: int


@dataclass(frozen=True, slots=True)
class FollowPrimary:
    """Effect: make a target follow a primary; answered by `FollowAnswered`."""

    database: str
    target: str
    primary: str
    term: int


@dataclass(frozen=True, slots=True)
class FollowAnswered:
    """Event: outcome of a follow request."""

    database: str
    target: str
    primary: str
    term: int
    succeeded: bool


class TermClaim(enum.Enum):
    """Outcome of a claim of a term on the platform."""

    CLAIMED = 'claimed'
    CONFLICT = 'conflict'
    UNAVAILABLE = 'unavailable'


@dataclass(frozen=True, slots=True)
class ClaimTerm:
    """Effect: claim a term on `groups/<database>`; answered by `TermClaimAnswered`."""

    database: str
    term: int
    promoter: str
    timeout_s: float


@dataclass(frozen=True, slots=True)
class TermClaimAnswered:
    """Event: outcome of a claim; `recorded_term` is the highest term on the platform."""

    database: str
    term: int
    outcome: TermClaim
    recorded_term: int = 0
    recorded_promoter: str = ''


@dataclass(frozen=True, slots=True)
class RecordPrimary:
    """Effect: record the primary of a term on the platform; no answer is awaited."""

    database: str
    term: int
    primary: str
