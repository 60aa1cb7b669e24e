"""Assignment of queued requests to free slots and connections."""

from collections.abc import Callable
from typing import TypeVar

from cassiaseam.errors import ErrorKind
from cassiaseam.owner.acknowledgement import schedule_polls
from cassiaseam.owner.answers import answer_error_kind
from cassiaseam.owner.pool import (
    acquire_idle_connection,
    find_transaction_limit,
    has_free_slot,
    has_write_slot,
    request_connections,
)
from cassiaseam.owner.queues import FairQueue
from cassiaseam.owner.routing import (
    WriteRoute,
    choose_read_route,
    estimate_blocked_s,
    find_write_route,
    update_writes_blocked_at,
)
from cassiaseam.owner.state import EventContext, PendingRequest, TargetPool
from cassiaseam.owner.statements import queue_read, start_read, start_write
from cassiaseam.owner.transactions import run_ready_statements, start_begin, withdraw_statement

# Bounds the cost of an event: callers whose oldest read has to wait are skipped one by one.
MAX_SKIPPED_CALLERS = 8
# A statement that reaches its deadline while it runs wastes its slot and loses its connection.
START_MARGIN_FACTOR = 1.25

Discipline = Callable[[EventContext], None]
DisciplineT = TypeVar('DisciplineT', bound=Discipline)
DISCIPLINES: dict[str, Discipline] = {}


def register_discipline(name: str) -> Callable[[DisciplineT], DisciplineT]:
    """Register a function that starts the queued requests of a database in some order."""

    def register(discipline: DisciplineT) -> DisciplineT:
        DISCIPLINES[name] = discipline
        return discipline

    return register


def dispatch_requests(context: EventContext) -> None:
    """Start the requests that can run now and schedule polls for those that cannot."""
    database = context.database
    for pool in database.targets.values():
        if pool.ready_transactions:
            run_ready_statements(context, pool)
    DISCIPLINES[database.config.queue_discipline](context)
    schedule_polls(context)


@register_discipline('separate')
def dispatch_separately(context: EventContext) -> None:
    """Start reads and writes from separate queues."""
    database = context.database
    if database.writes.size or database.begins.size:
        dispatch_with_writes(context)
    elif database.primary_reads.size or database.replica_reads.size:
        dispatch_reads(context, None)


@register_discipline('first_come')
def dispatch_first_come(context: EventContext) -> None:
    """Start reads and writes in order of arrival, with no slot reserved for either.

    The baseline of the bench: the oldest request blocks all others until it can start.
    """
    write_route = context.write_route or find_write_route(context)
    if update_writes_blocked_at(context, write_route):
        refuse_expiring_writes(context, write_route)
    if write_route.pool is not None:
        dispatch_begins(context, write_route)
    waiting = list_waiting_queues(context)
    while waiting:
        queue = min(waiting, key=lambda candidate: candidate.peek_request().arrived_at)
        if not start_oldest_request(context, queue, write_route):
            return
        waiting = list_waiting_queues(context)


def list_waiting_queues(context: EventContext) -> list[FairQueue]:
    """Return the non-empty queues of reads and autocommit writes."""
    database = context.database
    queues = (database.primary_reads, database.replica_reads, database.writes)
    return [queue for queue in queues if queue.size]


def start_oldest_request(context: EventContext, queue: FairQueue, write_route: WriteRoute) -> bool:
    """Start the next request of a queue or refuse it; return whether it left the queue."""
    pending = queue.peek_request()
    database = context.database
    if queue is not database.writes:
        if refuse_late_start(context, pending, database.read_time.estimate_s(context.now)):
            return True
        return start_read(context, pending, None)
    pool = write_route.pool
    if pool is None or not has_free_slot(pool):
        return False
    service_s = database.write_time.estimate_s(context.now)
    if refuse_late_commit(context, pending, write_route):
        return True
    if refuse_late_start(context, pending, service_s + write_route.delay_s):
        return True
    connection = acquire_idle_connection(pool, None)
    if connection is None:
        request_connections(context, pool, queue.size)
        return False
    start_write(context, connection, pending)
    return True


def dispatch_with_writes(context: EventContext) -> None:
    """Start reads and writes; reads start first but leave one slot to writes."""
    write_route = context.write_route or find_write_route(context)
    if update_writes_blocked_at(context, write_route):
        refuse_expiring_writes(context, write_route)
    contended_primary = write_route.pool if can_write_start_soon(context, write_route) else None
    dispatch_reads(context, contended_primary)
    if write_route.pool is not None:
        dispatch_begins(context, write_route)
        dispatch_writes(context, write_route)
    if contended_primary is not None and not context.database.writes.size:
        dispatch_reads(context, None)


def can_write_start_soon(context: EventContext, write_route: WriteRoute) -> bool:
    """Return whether a waiting write or BEGIN lacks only a slot or a connection."""
    pool = write_route.pool
    if pool is None:
        return False
    if context.database.writes.size:
        return True
    return (
        context.database.begins.size > 0
        and pool.transaction_connections < find_transaction_limit(pool)
    )


def dispatch_reads(context: EventContext, contended_primary: TargetPool | None) -> None:
    """Start waiting reads; those that only the primary may serve come first."""
    for queue in (context.database.primary_reads, context.database.replica_reads):
        dispatch_read_queue(context, queue, contended_primary)


def dispatch_read_queue(
    context: EventContext, queue: FairQueue, contended_primary: TargetPool | None
) -> None:
    """Start reads of one queue until every caller's oldest read has to wait."""
    skipped = 0
    while queue.size and skipped < min(len(queue.lanes), MAX_SKIPPED_CALLERS):
        if not any(has_free_slot(pool) for pool in context.database.targets.values()):
            return
        pending = queue.peek_request()
        if refuse_late_start(context, pending, context.database.read_time.estimate_s(context.now)):
            continue
        queue.rotate_callers()
        if start_read(context, pending, contended_primary):
            skipped = 0
        else:
            skipped += 1


def dispatch_begins(context: EventContext, write_route: WriteRoute) -> None:
    """Start waiting BEGIN requests within the connection limit of transactions."""
    pool = write_route.pool
    queue = context.database.begins
    while (
        queue.size
        and has_write_slot(pool)
        and pool.transaction_connections < find_transaction_limit(pool)
    ):
        pending = queue.peek_request()
        if refuse_late_commit(context, pending, write_route):
            withdraw_statement(context, pending)
            continue
        connection = acquire_idle_connection(pool, pending.transaction)
        if connection is None:
            request_connections(context, pool, queue.size)
            return
        queue.rotate_callers()
        queue.remove_request(pending)
        start_begin(context, connection, pending)


def dispatch_writes(context: EventContext, write_route: WriteRoute) -> None:
    """Start waiting writes while the primary has slots and connections for them."""
    pool = write_route.pool
    queue = context.database.writes
    service_s = context.database.write_time.estimate_s(context.now)
    while queue.size and has_write_slot(pool):
        pending = queue.peek_request()
        if refuse_late_commit(context, pending, write_route):
            continue
        if refuse_late_start(context, pending, service_s + write_route.delay_s):
            continue
        connection = acquire_idle_connection(pool, None)
        if connection is None:
            request_connections(context, pool, queue.size)
            return
        queue.rotate_callers()
        start_write(context, connection, pending)


def refuse_late_commit(
    context: EventContext, pending: PendingRequest, write_route: WriteRoute
) -> bool:
    """Refuse a write that a majority is not expected to hold by its deadline."""
    remaining_s = pending.request.deadline - context.now
    if write_route.delay_s < remaining_s:
        return False
    message = f'a majority needs {write_route.delay_s:.3f} s, {remaining_s:.3f} s remain'
    answer_error_kind(context, pending, ErrorKind.REPLICAS_BEHIND, message, write_route.delay_s)
    return True


def refuse_late_start(context: EventContext, pending: PendingRequest, service_s: float) -> bool:
    """Refuse a statement that is not expected to end by its deadline.

    A write that may have run is exempt, because it must not be answered as not run.
    """
    remaining_s = pending.request.deadline - context.now
    if pending.may_have_run or service_s * START_MARGIN_FACTOR < remaining_s:
        return False
    message = f'needs {service_s:.3f} s service, {remaining_s:.3f} s remain'
    answer_error_kind(context, pending, ErrorKind.OVERLOADED, message, service_s)
    return True


def refuse_expiring_writes(context: EventContext, write_route: WriteRoute) -> None:
    """Refuse the waiting writes that expire before writes are expected to be possible."""
    wait_s = estimate_blocked_s(context)
    due = context.now + wait_s
    for pending in (
        context.database.writes.list_requests() + context.database.begins.list_requests()
    ):
        if pending.request.deadline <= due:
            refuse_blocked_write(context, pending, write_route, wait_s)


def refuse_all_writes(context: EventContext) -> None:
    """Refuse all waiting writes after writes were blocked for the maximum time."""
    write_route = find_write_route(context)
    for pending in (
        context.database.writes.list_requests() + context.database.begins.list_requests()
    ):
        refuse_blocked_write(context, pending, write_route, 1.0)


def refuse_blocked_write(
    context: EventContext, pending: PendingRequest, write_route: WriteRoute, wait_s: float
) -> None:
    """Refuse one write or BEGIN that cannot be sent in time."""
    answer_error_kind(context, pending, write_route.kind, 'writes cannot be sent now', wait_s)
    if pending.transaction is not None:
        withdraw_statement(context, pending)


def retry_parked_reads(context: EventContext) -> None:
    """Queue the parked reads that a target may serve according to the latest poll."""
    for pending in tuple(context.database.parked.values()):
        if choose_read_route(context, pending, None).eligible:
            queue_read(context, pending)
