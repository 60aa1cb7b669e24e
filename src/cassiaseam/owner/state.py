"""State of the owner role."""

import enum
import heapq
import itertools
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from cassiaseam.configuration.model import DatabaseConfig, TargetConfig
from cassiaseam.group.state import GroupState
from cassiaseam.messages import Request, ResultSet
from cassiaseam.owner.breaker import CircuitBreaker
from cassiaseam.owner.estimates import DurationEstimate, RetryBudget
from cassiaseam.owner.queues import FairQueue
from cassiaseam.positions import ZERO_POSITION, LogPosition
from cassiaseam.reducer.node_state import NodeState


class RequestPhase(enum.Enum):
    """Stage of a request at the owner."""

    QUEUED = 'queued'
    PARKED = 'parked'
    RUNNING = 'running'
    COMMITTING = 'committing'
    DONE = 'done'


class ConnectionPhase(enum.Enum):
    """Stage of a connection to a target."""

    OPENING = 'opening'
    IDLE = 'idle'
    RUNNING = 'running'
    HELD = 'held'
    RESETTING = 'resetting'
    CLOSING = 'closing'


class TimerKind(enum.Enum):
    """Kind of a timer."""

    DEADLINE = 'deadline'
    READ_WAIT = 'read_wait'
    WRITE_WAIT = 'write_wait'
    TRANSACTION_IDLE = 'transaction_idle'
    CONNECTION_PHASE = 'connection_phase'
    POOL_IDLE = 'pool_idle'
    BREAKER = 'breaker'
    DRAIN = 'drain'
    OWNERSHIP = 'ownership'
    POLL = 'poll'
    ADOPTION = 'adoption'


@dataclass(slots=True, eq=False)
class PendingRequest:
    """Accepted request that has no answer yet, or whose statement is still running.

    Attributes:
        request: Request as it arrived.
        arrived_at: Time of arrival in seconds.
        max_age_s: Maximum staleness of a read in seconds, or None for the primary only.
        phase: Stage of the request.
        queue: Queue that holds the request, or None.
        connection: Connection that runs the statement, or None.
        transaction: Transaction that the request begins or belongs to, or None.
        started_at: Time in seconds at which the statement was sent.
        finished_at: Time in seconds at which the target answered.
        target: Target that serves or served the request.
        replica: Whether that target is a replica.
        term: Term under which a write was sent or committed.
        position: Position of the commit, or the position that a read observed.
        result_set: Result of a write that waits for a majority.
        attempts: Number of times that the statement was sent.
        may_have_run: Whether an earlier attempt of a write has an unknown outcome.
        cancelled: Whether the answer is suppressed because nobody waits for it.
        parked: Whether the read has been parked before.
    """

    request: Request
    arrived_at: float
    max_age_s: float | None = None
    phase: RequestPhase = RequestPhase.QUEUED
    queue: FairQueue | None = None
    connection: 'Connection | None' = None
    transaction: 'Transaction | None' = None
    started_at: float = 0
    finished_at: float = 0
    target: str = ''
    replica: bool = False
    term: int = 0
    position: LogPosition | None = None
    result_set: ResultSet | None = None
    attempts: int = 0
    may_have_run: bool = False
    cancelled: bool = False
    parked: bool = False


@dataclass(slots=True, eq=False)
class Connection:
    """One connection to a target.

    Attributes:
        connection_id: Unique within the daemon.
        pool: Pool that the connection belongs to.
        phase: Stage of the connection.
        phase_started_at: Time in seconds at which the phase began.
        opened_at: Time in seconds at which the connection was opened.
        incarnation: Incarnation of the target that accepted the connection.
        pending: Request whose statement is running, or None.
        transaction: Transaction that holds the connection, or None.
        writes: Whether the running statement counts against the write slots.
    """

    connection_id: str
    pool: 'TargetPool'
    phase: ConnectionPhase
    phase_started_at: float
    opened_at: float = 0
    incarnation: str = ''
    pending: PendingRequest | None = None
    transaction: 'Transaction | None' = None
    writes: bool = False


@dataclass(slots=True, eq=False)
class Transaction:
    """One open transaction.

    Attributes:
        transaction_id: Id that its statements carry.
        session_id: Session that began the transaction; no other session may use it.
        entry: Entry daemon of the session.
        begun_at: Time in seconds at which BEGIN arrived.
        begin: BEGIN request, until it is answered.
        connection: Connection that the transaction holds, or None while BEGIN is queued.
        term: Term under which BEGIN was sent.
        waiting: Queued statements, in order.
        running: Statement in flight, or None.
        idle_since: End of the latest statement in seconds.
        may_hold_locks: Whether a statement that may acquire locks was sent.
    """

    transaction_id: str
    session_id: str
    entry: str
    begun_at: float
    begin: PendingRequest | None = None
    connection: Connection | None = None
    term: int = 0
    waiting: deque[PendingRequest] = field(default_factory=deque)
    running: PendingRequest | None = None
    idle_since: float = 0
    may_hold_locks: bool = False


@dataclass(slots=True, eq=False)
class TargetPool:
    """Connections and slots of one target.

    Attributes:
        config: Configuration of the target.
        connections: All connections by id, including those being opened or closed.
        idle: Idle connections; the most recently used comes last.
        ready_transactions: Transactions with a statement that waits for a slot.
        running: Statements in flight.
        running_writes: Statements in flight that count as writes.
        opening: Connections being opened.
        transaction_connections: Connections held by transactions.
        breaker: Circuit breaker.
        incarnation: Incarnation in the latest status.
        status_started_at: Start in seconds of the poll of the latest status.
        writes_refused_at: Time in seconds at which the target refused a write as read-only,
            until a later poll; None otherwise.
        drain_started_at: Time in seconds at which the drain began, or None.
        removed: Whether the target is no longer configured.
        idle_timer_due: Whether a check of idle connections is scheduled.
        last_statement_was_read: Whether the latest statement sent was a read.
    """

    config: TargetConfig
    connections: dict[str, Connection] = field(default_factory=dict)
    idle: list[Connection] = field(default_factory=list)
    ready_transactions: deque[Transaction] = field(default_factory=deque)
    running: int = 0
    running_writes: int = 0
    opening: int = 0
    transaction_connections: int = 0
    breaker: CircuitBreaker = field(default_factory=CircuitBreaker)
    incarnation: str = ''
    status_started_at: float = 0
    writes_refused_at: float | None = None
    drain_started_at: float | None = None
    removed: bool = False
    idle_timer_due: bool = False
    last_statement_was_read: bool = False


@dataclass(slots=True)
class DatabaseState:
    """State of one database at its owner.

    Attributes:
        name: Name of the database.
        config: Configuration in force.
        group: Monitoring state of the database. After the loss of ownership the group is no longer
            monitored, and only statuses that the owner role requests are stored.
        owns: Whether this daemon accepts new requests for the database.
        term: Latest group term that was applied.
        targets: Pool per target.
        pending_requests: Requests without an answer, by request id.
        replica_reads: Queued reads that accept staleness.
        primary_reads: Queued reads that only the primary may serve.
        parked: Reads that no target can serve before another poll, by request id.
        writes: Queued autocommit writes.
        begins: Queued BEGIN requests.
        transactions: Open transactions by id.
        committing: Writes that wait for a majority, by request id.
        read_time: Service time of reads.
        write_time: Service time of writes.
        transaction_time: Duration of transactions.
        retry_budget: Retry budget of reads.
        writes_blocked_at: Time in seconds at which writes became blocked, or None.
        poll_requested_at: Time in seconds of the latest request for polls.
        poll_interval_s: Minimum time in seconds until the next request for polls.
        poll_timer_due: Whether a timer for the next request for polls is scheduled.
        replica_reads_served: Reads that a replica answered.
        reads_served: Reads that any target answered.
        adopted_until: Time in seconds until which this daemon serves the database in place of
            owners that an entry passed over, or None when membership made it the owner.
    """

    name: str
    config: DatabaseConfig
    group: GroupState
    owns: bool = True
    term: int = 0
    targets: dict[str, TargetPool] = field(default_factory=dict)
    pending_requests: dict[str, PendingRequest] = field(default_factory=dict)
    replica_reads: FairQueue = field(default_factory=FairQueue)
    primary_reads: FairQueue = field(default_factory=FairQueue)
    parked: dict[str, PendingRequest] = field(default_factory=dict)
    writes: FairQueue = field(default_factory=FairQueue)
    begins: FairQueue = field(default_factory=FairQueue)
    transactions: dict[str, Transaction] = field(default_factory=dict)
    committing: dict[str, PendingRequest] = field(default_factory=dict)
    read_time: DurationEstimate = field(default_factory=DurationEstimate)
    write_time: DurationEstimate = field(default_factory=DurationEstimate)
    transaction_time: DurationEstimate = field(default_factory=DurationEstimate)
    retry_budget: RetryBudget = field(default_factory=RetryBudget)
    writes_blocked_at: float | None = None
    poll_requested_at: float = float('-inf')
    poll_interval_s: float = 0
    poll_timer_due: bool = False
    replica_reads_served: int = 0
    reads_served: int = 0
    adopted_until: float | None = None


@dataclass(slots=True)
class OwnerState:
    """State of the owner role shared by all databases.

    Attributes:
        timers: Heap of `(due, sequence, kind, database, subject)`.
        sequence: Tie-breaker of the timer heap and source of connection ids.
        shutting_down: Whether the daemon is about to stop.
        requests_by_entry: Database per request id, per entry daemon.
        transactions_by_entry: Database per transaction id, per entry daemon.
    """

    timers: list[tuple[float, int, TimerKind, str, Any]] = field(default_factory=list)
    sequence: Iterator[int] = field(default_factory=itertools.count)
    shutting_down: bool = False
    requests_by_entry: dict[str, dict[str, str]] = field(default_factory=dict)
    transactions_by_entry: dict[str, dict[str, str]] = field(default_factory=dict)


@dataclass(slots=True)
class EventContext:
    """Context for handling one event of one database.

    Attributes:
        node: State of the daemon.
        owner: State shared by all databases.
        database: State of the database.
        group: Monitoring state of the database.
        now: Time in seconds.
        effects: Effects collected so far.
        write_route: Route (`cassiaseam.owner.routing.WriteRoute`) found at the admission of a
            write, or None; cached because finding it is the costliest part of the admission.
    """

    node: NodeState
    owner: OwnerState
    database: DatabaseState
    group: GroupState
    now: float
    effects: list[Any]
    write_route: Any = None


def ensure_owner_state(node: NodeState) -> OwnerState:
    """Return the shared state of the owner role, creating it on first use."""
    if node.owner is None:
        node.owner = OwnerState()
    return node.owner


def create_context(
    node: NodeState, database: DatabaseState, now: float, effects: list[Any]
) -> EventContext:
    """Return the context of an event for one database."""
    group = node.groups.get(database.name)
    if group is not None:
        database.group = group
    return EventContext(node, ensure_owner_state(node), database, database.group, now, effects)


def is_monitored(context: EventContext) -> bool:
    """Return whether the group role still monitors the group of the database."""
    return context.database.name in context.node.groups


def schedule_timer(
    context: EventContext, due: float, kind: TimerKind, subject: Any = None
) -> None:
    """Schedule a timer of the database for the time `due` in seconds."""
    entry = (due, next(context.owner.sequence), kind, context.database.name, subject)
    heapq.heappush(context.owner.timers, entry)


def read_applied_position(context: EventContext, target: str) -> LogPosition:
    """Return the applied position in the latest status of a target."""
    view = context.group.targets.get(target)
    if view is None or view.status is None:
        return ZERO_POSITION
    return view.status.applied
