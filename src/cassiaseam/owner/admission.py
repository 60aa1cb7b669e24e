"""Admission control: requests are accepted or refused on arrival."""

from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.group.view import is_owner_cut_off
from cassiaseam.messages import Request, RequestKind
from cassiaseam.owner.answers import build_refusal, refuse_request, register_request
from cassiaseam.owner.cut_off import find_cut_off_error
from cassiaseam.owner.dispatch import refuse_expiring_writes
from cassiaseam.owner.pool import find_transaction_limit, find_write_limit, has_write_slot
from cassiaseam.owner.routing import (
    estimate_blocked_s,
    find_write_route,
    list_read_pools,
    update_writes_blocked_at,
)
from cassiaseam.owner.state import (
    EventContext,
    PendingRequest,
    TargetPool,
    TimerKind,
    schedule_timer,
)
from cassiaseam.owner.statements import queue_read
from cassiaseam.owner.transactions import accept_begin, accept_statement

WRITE_KINDS = frozenset((RequestKind.WRITE, RequestKind.BEGIN))
BLOCKED_RETRY_AFTER_S = 1.0
# Estimates are averages: without a margin, half of the requests admitted last miss their deadline.
ADMISSION_MARGIN_FACTOR = 1.25


def accept_request(context: EventContext, request: Request) -> None:
    """Queue a request, or refuse it at once with the reason and a retry delay."""
    if request.request_id in context.database.pending_requests:
        return
    error = check_request(context, request)
    if error is not None:
        context.effects.append(refuse_request(request, error))
        return
    pending = PendingRequest(request, context.now)
    schedule_timer(context, request.deadline, TimerKind.DEADLINE, pending)
    if request.kind is RequestKind.BEGIN:
        accept_begin(context, pending)
    elif request.transaction_id is not None:
        accept_statement(context, pending)
    elif request.kind is RequestKind.READ:
        accept_read(context, pending)
    else:
        register_request(context, pending)
        context.database.writes.enqueue_request(pending)


def accept_read(context: EventContext, pending: PendingRequest) -> None:
    """Queue a read with the age that the request or the configuration accepts."""
    pending.max_age_s = find_accepted_age(context, pending.request)
    context.database.retry_budget.add_request()
    register_request(context, pending)
    queue_read(context, pending)


def find_accepted_age(context: EventContext, request: Request) -> float | None:
    """Return the age in seconds that the request accepts, or else its service."""
    if request.max_age_s is not None:
        return request.max_age_s
    return context.database.config.find_accepted_age(request.caller)


def check_request(context: EventContext, request: Request) -> RequestError | None:
    """Return the error of a request that has to be refused at once, or None."""
    begins = request.kind is RequestKind.BEGIN
    continues = request.transaction_id is not None and not begins
    if not continues:
        error = check_availability(context)
        if error is not None:
            return error
    if request.deadline <= context.now:
        late_s = context.now - request.deadline
        return build_refusal(
            ErrorKind.DEADLINE_EXCEEDED, f'arrived {late_s:.3f} s after its deadline'
        )
    if continues:
        return None
    error = check_kind(context, request)
    if error is None and is_owner_cut_off(context.group, context.now):
        pending = PendingRequest(
            request, context.now, max_age_s=find_accepted_age(context, request)
        )
        error = find_cut_off_error(context, pending)
    if error is not None:
        return error
    if request.kind in WRITE_KINDS:
        return check_write(context, request)
    return check_read(context, request)


def check_availability(context: EventContext) -> RequestError | None:
    """Return an error when this daemon accepts no new requests for the database."""
    if not context.database.owns:
        return build_refusal(ErrorKind.NOT_OWNER, f'{context.node.vm} no longer owns the database')
    if context.owner.shutting_down:
        return build_refusal(ErrorKind.SHUTTING_DOWN, f'{context.node.vm} is shutting down')
    return None


def check_kind(context: EventContext, request: Request) -> RequestError | None:
    """Return an error when the fields of a request do not fit its kind."""
    kind = request.kind
    if kind in {RequestKind.COMMIT, RequestKind.ROLLBACK}:
        return RequestError(ErrorKind.BAD_REQUEST, f'{kind.value} without a transaction')
    if kind is not RequestKind.BEGIN:
        return None
    if request.transaction_id is None:
        return RequestError(ErrorKind.BAD_REQUEST, 'BEGIN without a transaction id')
    if request.transaction_id in context.database.transactions:
        message = f'transaction {request.transaction_id!r} is already open'
        return RequestError(ErrorKind.BAD_REQUEST, message)
    return None


def check_read(context: EventContext, request: Request) -> RequestError | None:
    """Return an error when the read queue is full or too slow for the deadline."""
    database = context.database
    queued = database.replica_reads.size + database.primary_reads.size
    waiting = queued + len(database.parked)
    service_s = database.read_time.estimate_s(context.now)
    if waiting >= database.config.queue_limit:
        wait_s = service_s * waiting / max(1, count_read_slots(context, request))
        return build_refusal(ErrorKind.OVERLOADED, f'{waiting} reads wait', wait_s)
    wait_s = 0
    if queued:
        wait_s = service_s * (queued + 1) / max(1, count_read_slots(context, request))
    return check_time(context, request, wait_s, service_s)


def count_read_slots(context: EventContext, request: Request) -> int:
    """Return how many slots serve reads like this one."""
    pending = PendingRequest(request, context.now, max_age_s=find_accepted_age(context, request))
    pools = list_read_pools(context, pending)
    return sum(pool.config.slots - pool.running_writes for pool in pools)


def check_time(
    context: EventContext, request: Request, wait_s: float, service_s: float
) -> RequestError | None:
    """Return an error when wait and service do not fit into the time left to the deadline."""
    remaining_s = request.deadline - context.now
    if (wait_s + service_s) * ADMISSION_MARGIN_FACTOR < remaining_s:
        return None
    message = (
        f'needs {wait_s:.3f} s wait and {service_s:.3f} s service, {remaining_s:.3f} s remain'
    )
    return build_refusal(ErrorKind.OVERLOADED, message, wait_s)


def check_write(context: EventContext, request: Request) -> RequestError | None:
    """Return an error when a write or BEGIN cannot be sent and acknowledged in time."""
    database = context.database
    waiting = database.writes.size + database.begins.size
    service_s = database.write_time.estimate_s(context.now)
    write_route = find_write_route(context)
    context.write_route = write_route
    if update_writes_blocked_at(context, write_route):
        refuse_expiring_writes(context, write_route)
    if write_route.pool is None:
        return check_blocked_write(context, request, write_route.kind, service_s)
    wait_s = estimate_write_wait_s(context, request, write_route.pool, service_s)
    if waiting >= database.config.queue_limit:
        return build_refusal(ErrorKind.OVERLOADED, f'{waiting} writes wait', wait_s)
    remaining_s = request.deadline - context.now
    if write_route.delay_s >= remaining_s:
        message = f'a majority needs {write_route.delay_s:.3f} s, {remaining_s:.3f} s remain'
        return build_refusal(ErrorKind.REPLICAS_BEHIND, message, write_route.delay_s)
    return check_time(context, request, wait_s, service_s + write_route.delay_s)


def check_blocked_write(
    context: EventContext, request: Request, kind: ErrorKind, service_s: float
) -> RequestError | None:
    """Return an error when a write expires before writes are expected to be possible again."""
    database = context.database
    wait_s = estimate_blocked_s(context)
    if wait_s is None:
        return build_refusal(kind, 'writes cannot be sent', BLOCKED_RETRY_AFTER_S)
    waiting = database.writes.size + database.begins.size
    if waiting >= database.config.queue_limit:
        return build_refusal(kind, f'{waiting} writes wait for a primary', wait_s)
    remaining_s = request.deadline - context.now
    if wait_s + service_s >= remaining_s:
        message = f'writes resume in {wait_s:.3f} s, {remaining_s:.3f} s remain'
        return build_refusal(kind, message, wait_s)
    return None


def estimate_write_wait_s(
    context: EventContext, request: Request, pool: TargetPool, service_s: float
) -> float:
    """Return the expected time in seconds that a write or BEGIN waits for a slot."""
    database = context.database
    if (
        request.kind is RequestKind.BEGIN
        and pool.transaction_connections >= find_transaction_limit(pool)
    ):
        length_s = database.transaction_time.estimate_s(context.now)
        return length_s * (database.begins.size + 1) / find_transaction_limit(pool)
    queued = database.writes.size
    if not queued and has_write_slot(pool):
        return 0
    return service_s * (queued + 1) / find_write_limit(pool)
