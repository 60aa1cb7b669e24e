"""Messages that the entry role, the owner role and the transport share."""

import enum
from dataclasses import dataclass, field
from typing import Any

from cassiaseam.errors import RequestError
from cassiaseam.positions import ZERO_POSITION, LogPosition


class RequestKind(enum.Enum):
    """What a statement does to the session and the data."""

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
        entry: Name of the VM whose daemon took the statement.
        caller: User name the caller logged in with.
        session_id: Unique over all daemons.
        database: Name of the database group.
        kind: What the statement does.
        sql: Statement text; empty for BEGIN, COMMIT and ROLLBACK.
        deadline: Time in seconds, on the receiver's clock, by which the final answer is due.
        floor: Position that a read has to cover; None when unknown.
        session_opened_at: Time in seconds, on the receiver's clock, at which the session opened.
        max_age_s: Accepted age of data in seconds; None means that only the primary may serve.
        idempotency_key: Key of a request that must run at most once over all submissions.
        repeatable: Whether the caller allows the statement to be run again.
        transaction_id: Set for BEGIN and for every statement of that transaction.
        passed_over: Better-ranked owners that the entry did not reach or that are cut off from
            the targets; the next-ranked owner serves the request in their place.
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
    """Rows or counters that a target returned.

    Attributes:
        columns: Column names; empty for statements without rows.
        rows: Row values: str, int, float, bytes or None.
        affected_rows: Rows changed by a write.
        last_insert_id: Value generated for an AUTO_INCREMENT column, or 0.
        column_types: MySQL type codes of the columns, as the target sent them.
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
        result_set: Answer of the target.
        error: Reason why there is no answer of the target.
        target: Name of the target that served the request, or ''.
        position: Position that the session has now observed; becomes part of its floor.
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
        fenced_term: Highest term that the target granted; lower terms are refused.
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
    """One decision on the time line.

    Attributes:
        stamp: Hybrid logical timestamp `(wall_ms, counter)`, or (0, 0) until the shell stamps it.
        vm: Name of the VM that decided.
        place: Place of the VM.
        kind: Name of the event, such as `promotion_started`.
        database: Database concerned, or ''.
        term: Term concerned, or 0.
        cause: Why the decision was taken.
        fields: Further values.
    """

    kind: str
    database: str = ''
    term: int = 0
    cause: str = ''
    fields: dict[str, str] = field(default_factory=dict)
    stamp: tuple[int, int] = (0, 0)
    vm: str = ''
    place: str = ''
