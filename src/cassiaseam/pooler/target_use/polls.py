"""Counting of status polls that have ended, and the cause of a connection for a job."""

from cassiaseam.pooler.commands import ReadStatus, TargetFailure, TargetReply
from cassiaseam.pooler.state import Job, PoolerState, Purpose
from cassiaseam.pooler.target_use.causes import OpenCause, PollOutcome


def count_poll_reply(state: PoolerState, job: Job, reply: TargetReply) -> None:
    """Count the reply to a control command if it is a status poll."""
    if job.poll_cause is None:
        return
    outcome = PollOutcome.ANSWERED
    if reply.failure is TargetFailure.BUSY:
        outcome = PollOutcome.BUSY
    elif reply.failure is not None:
        outcome = PollOutcome.FAILED
    state.target_use.polls[job.poll_cause, outcome] += 1


def count_poll_loss(state: PoolerState, job: Job) -> None:
    """Count a job whose reply will not arrive if it is a status poll."""
    if job.poll_cause is not None:
        outcome = PollOutcome.NO_CONNECTION if job.sent_at is None else PollOutcome.LOST
        state.target_use.polls[job.poll_cause, outcome] += 1


def find_open_cause(job: Job) -> OpenCause:
    """Return why a connection is opened for a job."""
    if job.purpose is not Purpose.CONTROL:
        return OpenCause.STATEMENT
    is_poll = isinstance(job.command, ReadStatus)
    return OpenCause.STATUS_POLL if is_poll else OpenCause.CONTROL_COMMAND
