"""Assignment of waiting work to free slots and connections."""

from collections.abc import Callable
from typing import TypeVar

from cassiaseam.errors import ErrorKind
from cassiaseam.owner.acknowledgement import keep_polling
from cassiaseam.owner.answers import answer_kind
from cassiaseam.owner.pool import (
    find_transaction_limit,
    has_free_slot,
    has_write_slot,
    request_connections,
    take_idle_connection,
)
from cassiaseam.owner.queues import FairQueue
from cassiaseam.owner.routing import (
    WriteGate,
    choose_read_route,
    estimate_blocked_s,
    find_write_gate,
    note_write_gate,
)
from cassiaseam.owner.state import TargetPool, Turn, Work
from cassiaseam.owner.statements import queue_read, start_read, start_write
from cassiaseam.owner.transactions import run_ready_statements, start_begin, withdraw_statement

# Callers whose oldest read has to wait are skipped, but not without bound (cost per event).
MAX_SKIPPED_CALLERS = 8
# A statement that reaches its deadline while it runs wastes its slot and costs its connection.
START_MARGIN = 1.25

Discipline = Callable[[Turn], None]
DisciplineT = TypeVar('DisciplineT', bound=Discipline)
DISCIPLINES: dict[str, Discipline] = {}


def starts_work(name: str) -> Callable[[DisciplineT], DisciplineT]:
    """Register a function that starts the waiting work of a database in some order."""

    def register(discipline: DisciplineT) -> DisciplineT:
        DISCIPLINES[name] = discipline
        return discipline

    return register


def dispatch_work(turn: Turn) -> None:
    """Start what can run now and keep polls going for what cannot."""
    database = turn.database
    for pool in database.targets.values():
        if pool.ready:
            run_ready_statements(turn, pool)
    DISCIPLINES[database.config.queue_discipline](turn)
    keep_polling(turn)


@starts_work('separate')
def dispatch_separately(turn: Turn) -> None:
    """Start reads and writes from queues of their own."""
    database = turn.database
    if database.writes.size or database.begins.size:
        dispatch_with_writes(turn)
    elif database.primary_reads.size or database.replica_reads.size:
        dispatch_reads(turn, None)


@starts_work('first_come')
def dispatch_first_come(turn: Turn) -> None:
    """Start reads and writes in their order of arrival, with no slot set apart for either.

    The baseline of the bench: the oldest request holds up all others until it can start.
    """
    gate = turn.gate or find_write_gate(turn)
    if note_write_gate(turn, gate):
        refuse_hopeless_writes(turn, gate)
    if gate.pool is not None:
        dispatch_begins(turn, gate)
    waiting = list_waiting_queues(turn)
    while waiting:
        queue = min(waiting, key=lambda candidate: candidate.peek_work().arrived_at)
        if not start_oldest(turn, queue, gate):
            return
        waiting = list_waiting_queues(turn)


def list_waiting_queues(turn: Turn) -> list[FairQueue]:
    """Return the queues of reads and autocommit writes that hold work."""
    database = turn.database
    queues = (database.primary_reads, database.replica_reads, database.writes)
    return [queue for queue in queues if queue.size]


def start_oldest(turn: Turn, queue: FairQueue, gate: WriteGate) -> bool:
    """Start the next request of a queue or refuse it; return whether it left the queue."""
    work = queue.peek_work()
    database = turn.database
    if queue is not database.writes:
        if refuse_late_start(turn, work, database.read_time.estimate_s(turn.now)):
            return True
        return start_read(turn, work, None)
    pool = gate.pool
    if pool is None or not has_free_slot(pool):
        return False
    service_s = database.write_time.estimate_s(turn.now)
    if refuse_late_commit(turn, work, gate):
        return True
    if refuse_late_start(turn, work, service_s + gate.delay_s):
        return True
    connection = take_idle_connection(pool, None)
    if connection is None:
        request_connections(turn, pool, queue.size)
        return False
    start_write(turn, connection, work)
    return True


def dispatch_with_writes(turn: Turn) -> None:
    """Start reads and writes; reads come first but leave the writes one slot."""
    gate = turn.gate or find_write_gate(turn)
    if note_write_gate(turn, gate):
        refuse_hopeless_writes(turn, gate)
    contended = gate.pool if can_write_start_soon(turn, gate) else None
    dispatch_reads(turn, contended)
    if gate.pool is not None:
        dispatch_begins(turn, gate)
        dispatch_writes(turn, gate)
    if contended is not None and not turn.database.writes.size:
        dispatch_reads(turn, None)


def can_write_start_soon(turn: Turn, gate: WriteGate) -> bool:
    """Return whether a waiting write or BEGIN needs only a slot or a connection."""
    pool = gate.pool
    if pool is None:
        return False
    if turn.database.writes.size:
        return True
    return turn.database.begins.size > 0 and pool.held < find_transaction_limit(pool)


def dispatch_reads(turn: Turn, contended: TargetPool | None) -> None:
    """Start waiting reads, those that only the primary may serve first."""
    for queue in (turn.database.primary_reads, turn.database.replica_reads):
        dispatch_read_queue(turn, queue, contended)


def dispatch_read_queue(turn: Turn, queue: FairQueue, contended: TargetPool | None) -> None:
    """Start reads of one queue until every caller's oldest read has to wait."""
    skipped = 0
    while queue.size and skipped < min(len(queue.lanes), MAX_SKIPPED_CALLERS):
        if not any(has_free_slot(pool) for pool in turn.database.targets.values()):
            return
        work = queue.peek_work()
        if refuse_late_start(turn, work, turn.database.read_time.estimate_s(turn.now)):
            continue
        queue.pass_turn()
        if start_read(turn, work, contended):
            skipped = 0
        else:
            skipped += 1


def dispatch_begins(turn: Turn, gate: WriteGate) -> None:
    """Start waiting BEGIN requests within the share of the transactions."""
    pool = gate.pool
    queue = turn.database.begins
    while queue.size and has_write_slot(pool) and pool.held < find_transaction_limit(pool):
        work = queue.peek_work()
        if refuse_late_commit(turn, work, gate):
            withdraw_statement(turn, work)
            continue
        connection = take_idle_connection(pool, work.transaction)
        if connection is None:
            request_connections(turn, pool, queue.size)
            return
        queue.pass_turn()
        queue.remove_work(work)
        start_begin(turn, connection, work)


def dispatch_writes(turn: Turn, gate: WriteGate) -> None:
    """Start waiting writes while the primary has slots and connections for them."""
    pool = gate.pool
    queue = turn.database.writes
    service_s = turn.database.write_time.estimate_s(turn.now)
    while queue.size and has_write_slot(pool):
        work = queue.peek_work()
        if refuse_late_commit(turn, work, gate):
            continue
        if refuse_late_start(turn, work, service_s + gate.delay_s):
            continue
        connection = take_idle_connection(pool, None)
        if connection is None:
            request_connections(turn, pool, queue.size)
            return
        queue.pass_turn()
        start_write(turn, connection, work)


def refuse_late_commit(turn: Turn, work: Work, gate: WriteGate) -> bool:
    """Refuse a write that a majority would not hold by its deadline."""
    remaining_s = work.request.deadline - turn.now
    if gate.delay_s < remaining_s:
        return False
    message = f'a majority needs {gate.delay_s:.3f} s, {remaining_s:.3f} s remain'
    answer_kind(turn, work, ErrorKind.REPLICAS_BEHIND, message, gate.delay_s)
    return True


def refuse_late_start(turn: Turn, work: Work, service_s: float) -> bool:
    """Refuse a statement that is not expected to end by its deadline.

    A write that may have run before is exempt, because the answer would not be 'not run'.
    """
    remaining_s = work.request.deadline - turn.now
    if work.may_have_run or service_s * START_MARGIN < remaining_s:
        return False
    message = f'needs {service_s:.3f} s service, {remaining_s:.3f} s remain'
    answer_kind(turn, work, ErrorKind.OVERLOADED, message, service_s)
    return True


def refuse_hopeless_writes(turn: Turn, gate: WriteGate) -> None:
    """Refuse the waiting writes whose deadline passes before writes are expected to work."""
    wait_s = estimate_blocked_s(turn)
    due = turn.now + wait_s
    for work in turn.database.writes.list_works() + turn.database.begins.list_works():
        if work.request.deadline <= due:
            refuse_blocked_write(turn, work, gate, wait_s)


def refuse_all_writes(turn: Turn) -> None:
    """Refuse all waiting writes after they have been blocked for the longest time."""
    gate = find_write_gate(turn)
    for work in turn.database.writes.list_works() + turn.database.begins.list_works():
        refuse_blocked_write(turn, work, gate, 1.0)


def refuse_blocked_write(turn: Turn, work: Work, gate: WriteGate, wait_s: float) -> None:
    """Refuse one write or BEGIN that cannot be sent in time."""
    answer_kind(turn, work, gate.kind, 'writes cannot be sent now', wait_s)
    if work.transaction is not None:
        withdraw_statement(turn, work)


def retry_parked_reads(turn: Turn) -> None:
    """Queue the parked reads that a target may serve after the latest poll."""
    for work in tuple(turn.database.parked.values()):
        if choose_read_route(turn, work, None).eligible:
            queue_read(turn, work)
