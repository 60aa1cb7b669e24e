"""Order in which waiting work is started."""

from collections import Counter

from cassiaseam.pooler.admission import fairness
from cassiaseam.pooler.state import GroupView, Job, Operation, PoolerState, Purpose, TargetState

# Sort key of an operation: late, priority, use by its account, due time.
OrderKey = tuple[bool, int, float, float]


def is_adaptive(state: PoolerState) -> bool:
    """Return whether the settings enable adaptive admission."""
    return state.adaptive_admission


def order_waiting_jobs(state: PoolerState, target: TargetState, now: float) -> list[Job]:
    """Return the queued jobs of a target in the order in which they are started.

    Control commands come first, then statements in the order of `order_operations`.
    """
    jobs = list(target.queue)
    if not is_adaptive(state) or len(jobs) < 2:
        return jobs
    first = [job for job in jobs if not is_waiting_statement(job)]
    statements = [job for job in jobs if is_waiting_statement(job)]
    waiting = [job.operation for job in statements]
    ordered = sort_operations(state, waiting, target.service_time_s, now)
    job_by_operation = {id(job.operation): job for job in statements}
    return first + [job_by_operation[id(operation)] for operation in ordered]


def is_waiting_statement(job: Job) -> bool:
    """Return whether a queued job is a statement whose reply is still wanted."""
    return job.purpose is not Purpose.CONTROL and not job.cancelled


def order_operations(state: PoolerState, group: GroupView, now: float) -> list[Operation]:
    """Return the operations of a group in the order in which they are advanced.

    With adaptive admission, operations that can still meet their latency objective come first, by
    priority of the route, then fairly between accounts, then by due time.
    """
    operations = list(group.operations)
    if not is_adaptive(state) or len(operations) < 2:
        return operations
    return sort_operations(state, operations, 0, now)


def sort_operations(
    state: PoolerState, operations: list[Operation], service_s: float, now: float
) -> list[Operation]:
    """Return operations in the order of waiting work.

    Load pattern: a burst of one kind of operation or of one account fills the queue. Each further
    operation of an account counts as if the earlier ones had been served, so that accounts take
    turns.

    Args:
        state: State of the daemon.
        operations: Waiting operations.
        service_s: Expected service time in seconds once an operation is started.
        now: Present time.
    """
    waiting: Counter[tuple[str, bool, int]] = Counter()
    keys: dict[int, OrderKey] = {}
    by_due = sorted(operations, key=find_due_time)
    for operation in by_due:
        account = find_account(state, operation)
        is_late = now + service_s > find_due_time(operation)
        priority = operation.route.priority
        turn = (account, is_late, priority)
        use = fairness.find_use(state.account_use, account, now) + waiting[turn]
        waiting[turn] += 1
        keys[id(operation)] = (is_late, priority, use, find_due_time(operation))
    return sorted(by_due, key=lambda waiting_operation: keys[id(waiting_operation)])


def find_due_time(operation: Operation) -> float:
    """Return the time until which an operation meets its latency objective."""
    return min(operation.arrived_at + operation.route.latency_objective_s, operation.deadline)


def find_account(state: PoolerState, operation: Operation) -> str:
    """Return the client account of an operation, or ''."""
    session = state.sessions.get(operation.session_id)
    return session.account if session is not None else ''


def record_start(state: PoolerState, job: Job, now: float) -> None:
    """Count a started job for the fairness between accounts."""
    if is_adaptive(state) and job.operation is not None:
        fairness.record_use(state.account_use, job.account, now)
