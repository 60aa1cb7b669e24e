"""Messages shared by the entry role, the owner role and the transport."""

import enum
from dataclasses import dataclass, field
from typing import Any

from cassiaseam.errors import RequestError
from cassiaseam.positions import ZERO_POSITION, LogPosition


class RequestKind(enum.Enum):
    """Effect of a statement on the session and the data."""

    READ = 'read'
    WRITE = 'write'
    BEGIN = 'begin'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'


@dataclass(frozen=True, slots=True)
class Request:
    """One statement of a caller on its way to the owner of a database.

    Attributes:
        request_id: Unique over all daemons.
        entry: Name of the VM whose daemon received the statement.
        caller: User name that the caller logged in with.
        session_id: Unique over all daemons.
        database: Name of the database group.
        kind: Kind of the statement.
        sql: Statement text; empty for BEGIN, COMMIT and ROLLBACK.
        deadline: Time in seconds, on the receiver's clock, by which the final answer is due.
        floor: Minimum log position that a target must have applied to serve the read; None if
            unknown.
        session_opened_at: Time in seconds, on the receiver's clock, at which the session opened.
        max_age_s: Accepted data age in seconds; None means that only the primary may serve.
        idempotency_key: Key of a request that must run at most once over all submissions, or None.
        repeatable: Whether the caller allows the statement to run again.
        transaction_id: Set for BEGIN and for every statement of that transaction.
        passed_over: Higher-ranked owners that the entry did not reach or that are cut off from
            the targets; the next-ranked owner serves the request instead.
    """

    request_id: str
    entry: str
    caller: str
    session_id: str
    database: str
    kind: RequestKind
    sql: str = ''
    deadline: float = 0
    floor: LogPosition | None = None
    session_opened_at: float = 0
    max_age_s: float | None = None
    idempotency_key: str | None = None
    repeatable: bool = True
    transaction_id: str | None = None
    passed_over: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ResultSet:
    """Rows or counters returned by a target.

    Attributes:
        columns: Column names; empty for statements without rows.
        rows: Row values: str, int, float, bytes or None.
        affected_rows: Rows changed by a write.
        last_insert_id: Value generated for an AUTO_INCREMENT column, or 0.
        column_types: MySQL type codes of the columns, as sent by the target.
    """

    columns: tuple[str, ...] = ()
    rows: tuple[tuple[Any, ...], ...] = ()
    affected_rows: int = 0
    last_insert_id: int = 0
    column_types: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Answer:
    """Final answer to one request: either `result_set` or `error` is set.

    Attributes:
        request_id: Id of the request.
        result_set: Result of the target.
        error: Reason why there is no result.
        target: Name of the target that served the request, or ''.
        position: Log position that the session has observed; raises its floor.
        replica: Whether a replica served the request.
    """

    request_id: str
    result_set: ResultSet | None = None
    error: RequestError | None = None
    target: str = ''
    position: LogPosition = ZERO_POSITION
    replica: bool = False


class TargetRole(enum.Enum):
    """Role that a target reports for itself."""

    PRIMARY = 'primary'
    REPLICA = 'replica'
    FENCED = 'fenced'


@dataclass(frozen=True, slots=True)
class TargetStatus:
    """Status that a target reports.

    Attributes:
        instance: Name of the target.
        incarnation: Changes with every start of the target.
        term: Term that the target follows or leads.
        fenced_term: Highest term that the target granted; it rejects lower terms.
        last: Last log entry held.
        applied: Last log entry visible to reads.
        role: Role of the target.
        follows: Name of the primary it follows, or ''.
        primary_contact_age_s: Seconds since it last heard from its primary.
        leaving: Whether the vendor announced that the target is going away.
    """

    instance: str
    incarnation: str
    term: int
    fenced_term: int
    last: LogPosition
    applied: LogPosition
    role: TargetRole
    follows: str = ''
    primary_contact_age_s: float = 0
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class TimelineRecord:
    """One decision on the timeline.

    Attributes:
        stamp: Hybrid logical timestamp `(wall_ms, counter)`, or (0, 0) before it is stamped.
        vm: Name of the VM that decided.
        place: Place of the VM.
        kind: Name of the event, such as `promotion_started`.
        database: Database concerned, or ''.
        term: Term concerned, or 0.
        cause: Reason for the decision.
        fields: Additional values.
    """

    kind: str
    database: str = ''
    term: int = 0
    cause: str = ''
    fields: dict[str, str] = field(default_factory=dict)
    stamp: tuple[int, int] = (0, 0)
    vm: str = ''
    place: str = ''
