"""Concurrency limit of a VM at each target, found from how the target answers."""

from cassiaseam.pooler.commands import TargetFailure, TargetReply
from cassiaseam.pooler.events import WriteLog
from cassiaseam.pooler.pacing import pace as pacing
from cassiaseam.pooler.pacing.pace import CutCause, Pace, Stage, StartCause
from cassiaseam.pooler.state import Job, PoolerState, Purpose, TargetState

# Full share of a VM at a target, per slot: as many statements are on the way as run.
FULL_SHARE_PER_SLOT = 2
# Seconds after which a statement without an answer no longer counts as in flight: at least this,
# at least this multiple of the mean service time, and at most this. A lost answer would otherwise
# hold back other statements until its deadline.
LOST_ANSWER_MIN_S = 0.25
LOST_ANSWER_FACTOR = 4
LOST_ANSWER_MAX_S = 1.0
# Seconds of silence after which a target counts as recovered when it replies again. The same as
# `routing.UNRESPONSIVE_TIMEOUT_S`, after which other targets are preferred.
SILENCE_S = 0.4
LOG_EVENTS = {
    Stage.WARMING: 'target_pace_began',
    Stage.CUT: 'target_pace_cut',
    Stage.FULL: 'target_pace_full',
}
FAILURE_CAUSES = {
    TargetFailure.BUSY: CutCause.BUSY,
    TargetFailure.FAILED: CutCause.FAILED,
    TargetFailure.TIMED_OUT: CutCause.FAILED,
}


def is_paced(state: PoolerState) -> bool:
    """Return whether the settings enable pacing."""
    return state.adaptive_admission


def may_start(state: PoolerState, target: TargetState, job: Job, now: float) -> bool:
    """Return whether a job may be sent to a target now.

    Control commands and the only statement in flight are never held back.
    """
    if not is_paced(state) or job.purpose is Purpose.CONTROL:
        return True
    begin_when_due(state, target, now)
    return count_in_flight(target, now) < find_limit(state, target, now)


def select_startable(state: PoolerState, target: TargetState, jobs: list, now: float) -> list:
    """Return the queued jobs that only lack a connection; the limit holds back the others."""
    if not is_paced(state):
        return jobs
    room = max(find_limit(state, target, now) - count_in_flight(target, now), 0)
    control = [job for job in jobs if job.purpose is Purpose.CONTROL]
    statements = [job for job in jobs if job.purpose is not Purpose.CONTROL]
    return control + statements[:room]


def find_full_share(target: TargetState) -> int:
    """Return the full share of this VM at a target, in statements in flight."""
    return FULL_SHARE_PER_SLOT * max(target.record.slots, 1)


def find_limit(state: PoolerState, target: TargetState, now: float) -> int:
    """Return how many statements this VM may have in flight at a target, at least 1.

    While every other target of the group is unreachable or warms up too, a warm-up starts with
    all slots, because nothing else can serve the first callers.
    """
    pace = target.pace
    pacing.end_by_time(pace, find_full_share(target), now)
    limit = int(pace.limit)
    is_warm_up = pace.stage in {Stage.WARMING, Stage.UNUSED}
    if is_warm_up and not has_warm_alternative(state, target):
        limit = max(limit, target.record.slots)
    return max(limit, 1)


def has_warm_alternative(state: PoolerState, target: TargetState) -> bool:
    """Return whether another target of the group is in reach and past its warm-up."""
    group = state.groups.get(target.record.group)
    others = group.targets.values() if group is not None else ()
    return any(
        other is not target
        and other.unreachable_since is None
        and other.pace.stage in {Stage.FULL, Stage.CUT}
        for other in others
    )


def count_in_flight(target: TargetState, now: float) -> int:
    """Return the number of statements in flight, without those whose answer is probably lost."""
    window_s = max(LOST_ANSWER_MIN_S, LOST_ANSWER_FACTOR * target.service_time_s)
    oldest = now - min(window_s, LOST_ANSWER_MAX_S)
    jobs = [connection.job for connection in target.connections.values() if connection.job]
    return sum(
        job.purpose is not Purpose.CONTROL and (job.sent_at is None or job.sent_at > oldest)
        for job in jobs
    )


def begin_when_due(state: PoolerState, target: TargetState, now: float) -> None:
    """Begin a warm-up at the first use of a target and when it has become the primary."""
    pace = target.pace
    if pace.stage is Stage.UNUSED:
        pacing.begin(pace, StartCause.FIRST_USE, now)
    group = state.groups.get(target.record.group)
    if group is None or group.monitor.primary != target.record.name:
        return
    if group.monitor.term > pace.primary_term:
        is_promoted = pace.primary_term > 0 or pace.answered
        pace.primary_term = group.monitor.term
        if is_promoted:
            pacing.begin(pace, StartCause.PROMOTED, now)


def record_contact(target: TargetState, now: float) -> None:
    """Begin the warm-up anew when a target replies after it was silent or unreachable.

    Must be called before the silence of the target is reset.
    """
    is_silent = target.silent_since is not None and now - target.silent_since > SILENCE_S
    if is_silent or target.unreachable_since is not None:
        restart(target, now)


def restart(target: TargetState, now: float) -> None:
    """Begin the warm-up of a target anew if it was in use."""
    if target.pace.stage is not Stage.UNUSED:
        pacing.begin(target.pace, StartCause.RECOVERED, now)


def record_answer(
    state: PoolerState, target: TargetState, job: Job, reply: TargetReply, now: float
) -> None:
    """Adjust the pace of a target to its reply to a statement."""
    if not is_paced(state) or job.operation is None or job.sent_at is None:
        return
    pace, full = target.pace, find_full_share(target)
    cause = FAILURE_CAUSES.get(reply.failure)
    if cause is not None:
        pacing.cut(pace, cause, full, job.sent_at, now)
    elif reply.failure is None and job.purpose is Purpose.STATEMENT:
        operation = job.operation
        kind = f'{operation.route.name} {operation.statement.kind.value}'
        elapsed_s = now - job.sent_at
        is_cautious = now - pace.began_at < target.record.warming_s
        objective_s = operation.route.latency_objective_s
        pacing.record_success(pace, kind, elapsed_s, objective_s, full, is_cautious, now)


def record_loss(state: PoolerState, target: TargetState, job: Job, now: float) -> None:
    """Cut the pace of a target after a statement whose reply will not arrive."""
    if is_paced(state) and job.operation is not None and job.sent_at is not None:
        pacing.cut(target.pace, CutCause.LOST, find_full_share(target), job.sent_at, now)


def record_status(target: TargetState, job: Job, reply: TargetReply, now: float) -> None:
    """Adjust the pace of a target to the load that it reports."""
    if reply.status is not None and job.sent_at is not None:
        full = find_full_share(target)
        running, slots = reply.status.running, target.record.slots
        pacing.record_report(target.pace, running, slots, full, job.sent_at, now)


def log_changes(state: PoolerState, target: TargetState) -> list:
    """Return the log lines for the changes of the pace of a target since the last call."""
    pace: Pace = target.pace
    changes, pace.changes = pace.changes, []
    if not is_paced(state):
        return []
    return [
        WriteLog(
            LOG_EVENTS[change.stage],
            {
                'target': target.record.name,
                'group': target.record.group,
                'limit': int(change.limit),
                **({'cause': change.cause} if change.cause else {}),
                **({'took_ms': round(change.took_s * 1000)} if change.took_s else {}),
            },
        )
        for change in changes
    ]
