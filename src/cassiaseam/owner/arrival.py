"""Acceptance or immediate refusal of requests."""

from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.group.view import is_owner_cut_off
from cassiaseam.messages import Request, RequestKind
from cassiaseam.owner.answers import build_refusal, refuse_request, register_work
from cassiaseam.owner.cut_off import find_cut_off_error
from cassiaseam.owner.dispatch import refuse_hopeless_writes
from cassiaseam.owner.pool import find_transaction_limit, find_write_limit, has_write_slot
from cassiaseam.owner.routing import (
    estimate_blocked_s,
    find_write_gate,
    list_read_pools,
    note_write_gate,
)
from cassiaseam.owner.state import TargetPool, TimerKind, Turn, Work, schedule_timer
from cassiaseam.owner.statements import queue_read
from cassiaseam.owner.transactions import accept_begin, accept_statement

WRITE_KINDS = frozenset((RequestKind.WRITE, RequestKind.BEGIN))
BLOCKED_RETRY_AFTER_S = 1.0
# Estimates are averages: without a margin half of the requests admitted last miss their deadline.
ADMISSION_MARGIN = 1.25


def accept_request(turn: Turn, request: Request) -> None:
    """Queue a request, or refuse it at once with the reason and the time to come back."""
    if request.request_id in turn.database.works:
        return
    error = check_request(turn, request)
    if error is not None:
        turn.effects.append(refuse_request(request, error))
        return
    work = Work(request, turn.now)
    schedule_timer(turn, request.deadline, TimerKind.DEADLINE, work)
    if request.kind is RequestKind.BEGIN:
        accept_begin(turn, work)
    elif request.transaction_id is not None:
        accept_statement(turn, work)
    elif request.kind is RequestKind.READ:
        accept_read(turn, work)
    else:
        register_work(turn, work)
        turn.database.writes.add_work(work)


def accept_read(turn: Turn, work: Work) -> None:
    """Queue a read, with the age that the request or the configuration accepts."""
    work.max_age_s = find_accepted_age(turn, work.request)
    turn.database.budget.add_request()
    register_work(turn, work)
    queue_read(turn, work)


def find_accepted_age(turn: Turn, request: Request) -> float | None:
    """Return the accepted age in seconds of the request, else of its service."""
    if request.max_age_s is not None:
        return request.max_age_s
    return turn.database.config.find_accepted_age(request.caller)


def check_request(turn: Turn, request: Request) -> RequestError | None:
    """Return the reason to refuse a request at once, or None."""
    begins = request.kind is RequestKind.BEGIN
    continues = request.transaction_id is not None and not begins
    if not continues:
        error = check_availability(turn)
        if error is not None:
            return error
    if request.deadline <= turn.now:
        late_s = turn.now - request.deadline
        return build_refusal(
            ErrorKind.DEADLINE_EXCEEDED, f'arrived {late_s:.3f} s after its deadline'
        )
    if continues:
        return None
    error = check_kind(turn, request)
    if error is None and is_owner_cut_off(turn.group, turn.now):
        work = Work(request, turn.now, max_age_s=find_accepted_age(turn, request))
        error = find_cut_off_error(turn, work)
    if error is not None:
        return error
    if request.kind in WRITE_KINDS:
        return check_write(turn, request)
    return check_read(turn, request)


def check_availability(turn: Turn) -> RequestError | None:
    """Return an error when this daemon takes no new work for the database."""
    if not turn.database.owns:
        return build_refusal(ErrorKind.NOT_OWNER, f'{turn.node.vm} no longer owns the database')
    if turn.owner.shutting_down:
        return build_refusal(ErrorKind.SHUTTING_DOWN, f'{turn.node.vm} is shutting down')
    return None


def check_kind(turn: Turn, request: Request) -> RequestError | None:
    """Return an error when the fields of a request do not fit its kind."""
    kind = request.kind
    if kind in {RequestKind.COMMIT, RequestKind.ROLLBACK}:
        return RequestError(ErrorKind.BAD_REQUEST, f'{kind.value} without a transaction')
    if kind is not RequestKind.BEGIN:
        return None
    if request.transaction_id is None:
        return RequestError(ErrorKind.BAD_REQUEST, 'BEGIN without a transaction id')
    if request.transaction_id in turn.database.transactions:
        message = f'transaction {request.transaction_id!r} is already open'
        return RequestError(ErrorKind.BAD_REQUEST, message)
    return None


def check_read(turn: Turn, request: Request) -> RequestError | None:
    """Return an error when the queue of the reads is full or too slow for the deadline."""
    database = turn.database
    queued = database.replica_reads.size + database.primary_reads.size
    waiting = queued + len(database.parked)
    service_s = database.read_time.estimate_s(turn.now)
    if waiting >= database.config.queue_limit:
        wait_s = service_s * waiting / max(1, count_read_slots(turn, request))
        return build_refusal(ErrorKind.OVERLOADED, f'{waiting} reads wait', wait_s)
    wait_s = 0
    if queued:
        wait_s = service_s * (queued + 1) / max(1, count_read_slots(turn, request))
    return check_time(turn, request, wait_s, service_s)


def count_read_slots(turn: Turn, request: Request) -> int:
    """Return how many slots serve reads like this one."""
    work = Work(request, turn.now, max_age_s=find_accepted_age(turn, request))
    pools = list_read_pools(turn, work)
    return sum(pool.config.slots - pool.running_writes for pool in pools)


def check_time(
    turn: Turn, request: Request, wait_s: float, service_s: float
) -> RequestError | None:
    """Return an error when waiting and service do not fit into the remaining time."""
    remaining_s = request.deadline - turn.now
    if (wait_s + service_s) * ADMISSION_MARGIN < remaining_s:
        return None
    message = (
        f'needs {wait_s:.3f} s wait and {service_s:.3f} s service, {remaining_s:.3f} s remain'
    )
    return build_refusal(ErrorKind.OVERLOADED, message, wait_s)


def check_write(turn: Turn, request: Request) -> RequestError | None:
    """Return an error when a write or BEGIN cannot be sent and acknowledged in time."""
    database = turn.database
    waiting = database.writes.size + database.begins.size
    service_s = database.write_time.estimate_s(turn.now)
    gate = find_write_gate(turn)
    turn.gate = gate
    if note_write_gate(turn, gate):
        refuse_hopeless_writes(turn, gate)
    if gate.pool is None:
        return check_blocked_write(turn, request, gate.kind, service_s)
    wait_s = estimate_write_wait_s(turn, request, gate.pool, service_s)
    if waiting >= database.config.queue_limit:
        return build_refusal(ErrorKind.OVERLOADED, f'{waiting} writes wait', wait_s)
    remaining_s = request.deadline - turn.now
    if gate.delay_s >= remaining_s:
        message = f'a majority needs {gate.delay_s:.3f} s, {remaining_s:.3f} s remain'
        return build_refusal(ErrorKind.REPLICAS_BEHIND, message, gate.delay_s)
    return check_time(turn, request, wait_s, service_s + gate.delay_s)


def check_blocked_write(
    turn: Turn, request: Request, kind: ErrorKind, service_s: float
) -> RequestError | None:
    """Return an error when a write cannot wait until writes are expected to work again."""
    database = turn.database
    wait_s = estimate_blocked_s(turn)
    if wait_s is None:
        return build_refusal(kind, 'writes cannot be sent', BLOCKED_RETRY_AFTER_S)
    waiting = database.writes.size + database.begins.size
    if waiting >= database.config.queue_limit:
        return build_refusal(kind, f'{waiting} writes wait for a primary', wait_s)
    remaining_s = request.deadline - turn.now
    if wait_s + service_s >= remaining_s:
        message = f'writes resume in {wait_s:.3f} s, {remaining_s:.3f} s remain'
        return build_refusal(kind, message, wait_s)
    return None


def estimate_write_wait_s(
    turn: Turn, request: Request, pool: TargetPool, service_s: float
) -> float:
    """Return the expected time in seconds that a write or BEGIN waits for a slot."""
    database = turn.database
    if request.kind is RequestKind.BEGIN and pool.held >= find_transaction_limit(pool):
        length_s = database.transaction_time.estimate_s(turn.now)
        return length_s * (database.begins.size + 1) / find_transaction_limit(pool)
    queued = database.writes.size
    if not queued and has_write_slot(pool):
        return 0
    return service_s * (queued + 1) / find_write_limit(pool)
