"""Refusal of statements whose account gets no connection to a full target."""

from cassiaseam.errors import ErrorKind
from cassiaseam.pooler import completion, connections, targets
from cassiaseam.pooler.accounts import pool
from cassiaseam.pooler.state import GroupView, Job, PoolerState, Purpose, TargetState


def list_stranded_jobs(state: PoolerState, target: TargetState, now: float) -> list[Job]:
    """Return the queued jobs whose account has no connection to a full target.

    Load pattern: the target is full, and this VM has only connections of other accounts, which are
    in use. Without accounts, such a VM has no connection at all and refuses at once.
    """
    full_since = target.full_since
    if full_since is None or not target.queue or not pool.has_accounts(state):
        return []
    waited_since = now - connections.FULL_TARGET_WAIT_S
    if full_since > waited_since:
        return []
    held = pool.count_connections(target)
    return [
        job
        for job in target.queue
        if job.purpose is not Purpose.CONTROL
        and not job.cancelled
        and job.created_at < waited_since
        and not held[job.account]
    ]


def fail_stranded_jobs(
    state: PoolerState, group: GroupView, target: TargetState, now: float
) -> list:
    """Send the reads among the stranded jobs to another target, and refuse other statements."""
    effects: list = []
    for job in list_stranded_jobs(state, target, now):
        if job not in target.queue:
            continue
        target.queue.remove(job)
        effects += targets.fail_job(state, group, job, 'no connection left', now)
        operation = job.operation
        if operation is not None and not operation.done and not operation.jobs:
            text = 'the target has no connection left for the account'
            effects += completion.fail_operation(state, operation, ErrorKind.OVERLOADED, text, now)
    return effects
