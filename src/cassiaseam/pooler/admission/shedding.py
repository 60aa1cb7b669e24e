"""Early refusal of statements that cannot be served within their time."""

from cassiaseam.errors import ErrorKind
from cassiaseam.pooler import completion, routing
from cassiaseam.pooler.admission import ordering
from cassiaseam.pooler.events import WriteLog
from cassiaseam.pooler.state import GroupView, Job, Operation, PoolerState, TargetState

# The rate of a target is known well enough after this many answers within these seconds, during
# which statements waited all the time.
MIN_ANSWERS = 8
MAX_ANSWER_AGE_S = 2.0
# Factor by which the rate may still rise without a statement having been refused wrongly, such as
# when the burst of another VM ends.
RATE_MARGIN = 2
REFUSAL_TEXT = 'the expected wait is longer than the time left'


def refuse_hopeless_operations(state: PoolerState, group: GroupView, now: float) -> list:
    """Refuse the queued operations of a group that no target can serve within their time.

    Load pattern: a burst, or a target that has become slow, builds up a queue. Statements at its
    end would be refused only at their timeout, when it is too late to try another VM.
    """
    if not ordering.is_adaptive(state):
        return []
    effects: list = []
    for target in list(group.targets.values()):
        track_backlog(target, now)
        for job in find_hopeless_jobs(state, group, target, now):
            effects.extend(refuse(state, job, target, now))
    return effects


def find_hopeless_jobs(
    state: PoolerState, group: GroupView, target: TargetState, now: float
) -> list[Job]:
    """Return the queued jobs of a target whose operations cannot be served within their time.

    Low priorities wait behind the others, so they are the first ones. Jobs that will not be served
    in time do not count as ahead of the others.
    """
    if len(target.queue) < 2 or find_rate(target, now) is None:
        return []
    ordered = ordering.order_waiting_jobs(state, target, now)
    jobs = [job for job in ordered if ordering.is_waiting_statement(job)]
    hopeless: list[Job] = []
    ahead = 0
    for job in jobs:
        if can_serve(target, job.operation, ahead, now):
            ahead += 1
        elif is_refusable(state, job.operation) and not has_alternative(
            group, target, job.operation, now
        ):
            hopeless.append(job)
    return hopeless


def is_refusable(state: PoolerState, operation: Operation) -> bool:
    """Return whether the refusal of an operation is true: it was never sent to a target."""
    session = state.sessions.get(operation.session_id)
    if operation.done or session is None or session.transaction is not None:
        return False
    return operation.attempts == 0 and all(job.sent_at is None for job in operation.jobs)


def can_serve(target: TargetState, operation: Operation, ahead: int, now: float) -> bool:
    """Return whether a target may serve an operation in time behind other statements.

    Args:
        target: The target.
        operation: The operation.
        ahead: Number of statements that are started before it.
        now: Present time.
    """
    rate = find_rate(target, now)
    if rate is None:
        return True
    fastest_s = min(elapsed_s for _, elapsed_s in target.pace.recent)
    left_s = operation.deadline - now - fastest_s
    return left_s > 0 and ahead < 1 + rate * RATE_MARGIN * left_s


def find_rate(target: TargetState, now: float) -> float | None:
    """Return the statements per second that a target serves this VM, or None if not known well.

    Only answers since statements began to wait count. Before, the rate was that of the callers.
    """
    since = target.pace.backlog_since
    if since is None:
        return None
    oldest = max(since, now - MAX_ANSWER_AGE_S)
    times = [at for at, _ in target.pace.recent if at >= oldest]
    if len(times) < MIN_ANSWERS or now <= times[0]:
        return None
    return len(times) / (now - times[0])


def track_backlog(target: TargetState, now: float) -> None:
    """Track since when statements wait for a target."""
    if not any(ordering.is_waiting_statement(job) for job in target.queue):
        target.pace.backlog_since = None
    elif target.pace.backlog_since is None:
        target.pace.backlog_since = now


def has_alternative(
    group: GroupView, target: TargetState, operation: Operation, now: float
) -> bool:
    """Return whether another target may serve a read in time."""
    if operation.needs_primary:
        return False
    return any(
        other is not target
        and routing.may_serve_read(other, operation.floor, now)
        and routing.is_responsive(other, now)
        and can_serve(other, operation, count_more_urgent(other, operation), now)
        for other in group.targets.values()
    )


def count_more_urgent(target: TargetState, operation: Operation) -> int:
    """Return the number of queued statements that are certainly started before an operation."""
    own = (operation.route.priority, ordering.find_due_time(operation))
    others = [job.operation for job in target.queue if ordering.is_waiting_statement(job)]
    return sum(
        other is not operation and (other.route.priority, ordering.find_due_time(other)) < own
        for other in others
    )


def refuse(state: PoolerState, job: Job, target: TargetState, now: float) -> list:
    """Refuse the operation of a queued job."""
    operation = job.operation
    log = WriteLog(
        'request_shed',
        {
            'request_id': operation.statement.request_id,
            'route': operation.route.name,
            'target': target.record.name,
            'queued': len(target.queue),
            'limit': int(target.pace.limit),
        },
    )
    state.shed[operation.route.name] = state.shed.get(operation.route.name, 0) + 1
    kind = ErrorKind.OVERLOADED
    return [log, *completion.fail_operation(state, operation, kind, REFUSAL_TEXT, now)]
