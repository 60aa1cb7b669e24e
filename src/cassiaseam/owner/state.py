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
from cassiaseam.owner.breaker import Breaker
from cassiaseam.owner.estimates import DurationEstimate, RetryBudget
from cassiaseam.owner.queues import FairQueue
from cassiaseam.positions import ZERO_POSITION, LogPosition
from cassiaseam.reducer.node_state import NodeState


class WorkPhase(enum.Enum):
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
    """What is due at a time."""

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


@dataclass(slots=True, eq=False)
class Work:
    """One request that has not received its answer, or whose statement still runs.

    Attributes:
        request: Request as it arrived.
        arrived_at: Time of arrival in seconds.
        max_age_s: Accepted age of a read in seconds, or None for the primary alone.
        phase: Stage of the request.
        queue: Queue that holds the request, or None.
        connection: Connection that runs the statement, or None.
        transaction: Transaction that the request begins or belongs to, or None.
        started_at: Time in seconds at which the statement was sent.
        finished_at: Time in seconds at which the target answered.
        target: Target that serves or served the request.
        replica: Whether that target is a replica.
        term: Term under which a write was sent or committed.
        position: Position of the commit, or the position that a read has observed.
        result_set: Result of a write that waits for a majority.
        runs: Times that the statement was sent.
        may_have_run: Whether an earlier sending of a write has an unknown outcome.
        cancelled: Whether nobody waits for the answer.
        parked: Whether the read waited for a poll before.
    """

    request: Request
    arrived_at: float
    max_age_s: float | None = None
    phase: WorkPhase = WorkPhase.QUEUED
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
    runs: int = 0
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
        since: Time in seconds at which the phase began.
        opened_at: Time in seconds at which the connection was ready.
        incarnation: Incarnation of the target that accepted it.
        work: Request whose statement runs, or None.
        transaction: Transaction that holds the connection, or None.
        writes: Whether the running statement occupies a slot of the writes.
    """

    connection_id: str
    pool: 'TargetPool'
    phase: ConnectionPhase
    since: float
    opened_at: float = 0
    incarnation: str = ''
    work: Work | None = None
    transaction: 'Transaction | None' = None
    writes: bool = False


@dataclass(slots=True, eq=False)
class Transaction:
    """One open transaction.

    Attributes:
        transaction_id: Id that its statements carry.
        session_id: Session that began it; no other session reaches it.
        entry: Entry daemon of the session.
        begun_at: Time in seconds at which BEGIN arrived.
        begin: Request that begins it, until it has been answered.
        connection: Connection that the transaction holds, or None while BEGIN is queued.
        term: Term under which BEGIN was sent.
        waiting: Statements that wait for their turn, in order.
        running: Statement under way, or None.
        idle_since: Time in seconds at which the latest statement ended.
        may_hold_locks: Whether a statement was sent that may have taken locks.
    """

    transaction_id: str
    session_id: str
    entry: str
    begun_at: float
    begin: Work | None = None
    connection: Connection | None = None
    term: int = 0
    waiting: deque[Work] = field(default_factory=deque)
    running: Work | None = None
    idle_since: float = 0
    may_hold_locks: bool = False


@dataclass(slots=True, eq=False)
class TargetPool:
    """Connections and slots of one target.

    Attributes:
        config: Configuration of the target.
        connections: All connections by id, from the request to open to the close.
        idle: Connections ready for use; the most recently used comes last.
        ready: Transactions with a statement that waits for a slot.
        running: Statements under way.
        running_writes: Statements under way that count as writes.
        opening: Connections being opened.
        held: Connections held by transactions.
        breaker: Circuit breaker.
        incarnation: Incarnation in the latest status.
        status_started_at: Start in seconds of the poll of the latest status.
        writes_refused_at: Time in seconds at which the target refused a write as read-only,
            until a later poll; None otherwise.
        drain_started_at: Time in seconds at which the drain began, or None.
        removed: Whether the target is no longer configured.
        idle_timer_due: Whether a check of idle connections is scheduled.
        last_was_read: Whether the latest statement sent was a read.
    """

    config: TargetConfig
    connections: dict[str, Connection] = field(default_factory=dict)
    idle: list[Connection] = field(default_factory=list)
    ready: deque[Transaction] = field(default_factory=deque)
    running: int = 0
    running_writes: int = 0
    opening: int = 0
    held: int = 0
    breaker: Breaker = field(default_factory=Breaker)
    incarnation: str = ''
    status_started_at: float = 0
    writes_refused_at: float | None = None
    drain_started_at: float | None = None
    removed: bool = False
    idle_timer_due: bool = False
    last_was_read: bool = False


@dataclass(slots=True)
class DatabaseState:
    """State of one database at its owner.

    Attributes:
        name: Name of the database.
        config: Configuration in force.
        group: Monitoring state of the database. After the loss of ownership it is no longer
            monitored, and only statuses that the owner role asks for are entered.
        owns: Whether this daemon accepts new work for it.
        term: Term of the group that was last acted on.
        targets: Pool per target.
        works: Requests without an answer, by request id.
        replica_reads: Reads that accept an age.
        primary_reads: Reads that only the primary may serve.
        parked: Reads that no target can serve before a further poll, by request id.
        writes: Autocommit writes.
        begins: BEGIN requests.
        transactions: Open transactions by id.
        committing: Writes that wait for a majority, by request id.
        read_time: Service time of reads.
        write_time: Service time of writes.
        transaction_time: Length of transactions.
        budget: Budget for retries of reads.
        writes_blocked_at: Time in seconds since when writes cannot be sent, or None.
        poll_requested_at: Time in seconds of the latest request for polls.
        poll_gap_s: Shortest time until the next request for polls.
        poll_timer_due: Whether the next request for polls is scheduled.
        replica_reads_served: Reads that a replica answered.
        reads_served: Reads that any target answered.
    """

    name: str
    config: DatabaseConfig
    group: GroupState
    owns: bool = True
    term: int = 0
    targets: dict[str, TargetPool] = field(default_factory=dict)
    works: dict[str, Work] = field(default_factory=dict)
    replica_reads: FairQueue = field(default_factory=FairQueue)
    primary_reads: FairQueue = field(default_factory=FairQueue)
    parked: dict[str, Work] = field(default_factory=dict)
    writes: FairQueue = field(default_factory=FairQueue)
    begins: FairQueue = field(default_factory=FairQueue)
    transactions: dict[str, Transaction] = field(default_factory=dict)
    committing: dict[str, Work] = field(default_factory=dict)
    read_time: DurationEstimate = field(default_factory=DurationEstimate)
    write_time: DurationEstimate = field(default_factory=DurationEstimate)
    transaction_time: DurationEstimate = field(default_factory=DurationEstimate)
    budget: RetryBudget = field(default_factory=RetryBudget)
    writes_blocked_at: float | None = None
    poll_requested_at: float = float('-inf')
    poll_gap_s: float = 0
    poll_timer_due: bool = False
    replica_reads_served: int = 0
    reads_served: int = 0


@dataclass(slots=True)
class OwnerState:
    """State that all databases of the owner role share.

    Attributes:
        timers: Heap of `(due, sequence, kind, database, subject)`.
        sequence: Tie-breaker of the heap and source of connection ids.
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
class Turn:
    """Everything that the handling of one event for one database needs.

    Attributes:
        node: State of the daemon.
        owner: State shared by all databases.
        database: State of the database.
        group: Monitoring state of the database.
        now: Time in seconds.
        effects: Effects collected so far.
        gate: Gate of the writes (`cassiaseam.owner.routing.WriteGate`) found by the check of an
            arriving write, or None; finding it is the dearest part of a write's arrival.
    """

    node: NodeState
    owner: OwnerState
    database: DatabaseState
    group: GroupState
    now: float
    effects: list[Any]
    gate: Any = None


def ensure_owner_state(node: NodeState) -> OwnerState:
    """Return the shared state of the role and create it on first use."""
    if node.owner is None:
        node.owner = OwnerState()
    return node.owner


def start_turn(node: NodeState, database: DatabaseState, now: float, effects: list[Any]) -> Turn:
    """Return the turn of one database."""
    group = node.groups.get(database.name)
    if group is not None:
        database.group = group
    return Turn(node, ensure_owner_state(node), database, database.group, now, effects)


def is_monitored(turn: Turn) -> bool:
    """Return whether the group role still monitors the group of the database."""
    return turn.database.name in turn.node.groups


def schedule_timer(turn: Turn, due: float, kind: TimerKind, subject: Any = None) -> None:
    """Schedule something for the database of the turn at `due` seconds."""
    entry = (due, next(turn.owner.sequence), kind, turn.database.name, subject)
    heapq.heappush(turn.owner.timers, entry)


def read_applied_position(turn: Turn, target: str) -> LogPosition:
    """Return the applied position in the latest status of a target."""
    view = turn.group.targets.get(target)
    if view is None or view.status is None:
        return ZERO_POSITION
    return view.status.applied
