"""Placement of reads: the target that serves a read that any target may serve.

Each VM has a home target per group: the nearest one with a warm connection, by a rank of the VM
among equals. The home is compared with one other target drawn at random (power of two choices),
and the read moves there with a probability that grows with the ratio of their expected times. VMs
that see the same reports therefore neither choose the same target nor change together.
"""

import math
from dataclasses import dataclass

from cassiaseam.pooler import routing
from cassiaseam.pooler.accounts import pool
from cassiaseam.pooler.admission import target_load
from cassiaseam.pooler.events import WriteLog
from cassiaseam.pooler.state import GroupView, Operation, PoolerState, TargetState
from cassiaseam.positions import LogPosition

# Time constant in seconds with which a report of running statements loses weight. A full queue of
# 32 statements of 15 ms drains from four slots in 0.12 s; load that lasts is reported again.
REPORT_DECAY_S = 0.5
# Weight of the queue that follows from reported running statements. All VMs see the same reports
# late. With a weight of 1 they move together: in a replayed burst of 700 reads/s on targets for
# 800 reads/s, the 95th percentile was 0.13 s instead of 0.04 s.
REPORT_WEIGHT = 0.3
# Expected answer time in seconds while no target of a group has served a read.
DEFAULT_ANSWER_TIME_S = 0.02
# Weight, in reads, of the assumption that a target answers as fast as the fastest of its group.
PRIOR_READS = 2.0
# Weight, in reads, of the assumption that a target does not fail. One failure alone then costs a
# quarter of `FAILURE_COST_S`, which is more than the distance to another region.
PRIOR_SUCCESSES = 4.0
# Cost in seconds of a failure per success: a failed read is run again, on another target, within
# an objective of about 0.5 s.
FAILURE_COST_S = 0.25
# Penalty of the primary in seconds. It is lower than that of another place, so that the primary is
# relieved among equally near targets without more bytes between data centres.
PRIMARY_COST_S = 0.008
# Exponent of the ratio of two expected times. A read leaves a target that takes 10% longer in one
# of three cases, and one that takes twice as long in 15 of 16.
SHIFT_EXPONENT = 4
# Seconds for which a target that answered BUSY is expected to refuse the next statement too.
BUSY_MEMORY_S = 0.15
# Reads are logged as avoiding a target that is expected to take this factor longer than the best
# one of its group, plus this time in seconds.
AVOIDED_FACTOR = 2.0
AVOIDED_EXCESS_S = 0.05
# Seconds between these checks; one takes 23 us, and ticks are 20 ms apart.
JUDGE_INTERVAL_S = 0.5


@dataclass(frozen=True, slots=True)
class Quality:
    """How well a target answers.

    Attributes:
        answer_s: Expected answer time in seconds, without the network.
        failures: Expected number of failures per success.
    """

    answer_s: float
    failures: float

    @property
    def cost_s(self) -> float:
        """Expected time in seconds, including the runs that failures cost."""
        return self.answer_s + self.failures * FAILURE_COST_S


def find_read_target(
    state: PoolerState,
    group: GroupView,
    operation: Operation,
    floor: LogPosition | None,
    now: float,
) -> str:
    """Return the target for a read that any target may serve, or '' while there is none."""
    if not state.adaptive_admission:
        return routing.find_read_target(state, group, operation, floor, now)
    candidates = routing.list_read_candidates(group, operation, floor, now)
    candidates = [it for it in candidates if not is_busy(it, now)] or candidates
    if not candidates:
        return ''
    account = find_account(state, operation)
    home = min(candidates, key=lambda target: rank_as_home(state, group, target, account))
    others = [target for target in candidates if target is not home]
    if not others:
        return home.record.name
    other = state.rng.choice(others)
    home_s = estimate_time_s(state, group, home, account, now)
    other_s = estimate_time_s(state, group, other, account, now)
    shift = find_shift_probability(home_s, other_s)
    return (other if shift and state.rng.random() < shift else home).record.name


def find_shift_probability(home_s: float, other_s: float) -> float:
    """Return the probability with which a read goes to the other target instead of the home."""
    if home_s <= other_s:
        return 0
    return 1 - (other_s / home_s) ** SHIFT_EXPONENT


def find_account(state: PoolerState, operation: Operation) -> str:
    """Return the client account of an operation, or ''."""
    session = state.sessions.get(operation.session_id)
    return session.account if session is not None else ''


def rank_as_home(
    state: PoolerState, group: GroupView, target: TargetState, account: str
) -> tuple[float, int]:
    """Return the order of a target as home: near, connected and replica first, then by VM."""
    warm = any(
        connection.ready and connection.account == account
        for connection in target.connections.values()
    )
    cost_s = routing.find_distance_cost_s(state, target)
    cost_s += 0 if warm else routing.OPEN_CONNECTION_COST_S
    cost_s += PRIMARY_COST_S if target.record.name == group.monitor.primary else 0
    return cost_s, routing.rank_for_vm(state, target)


def estimate_time_s(
    state: PoolerState, group: GroupView, target: TargetState, account: str, now: float
) -> float:
    """Return the expected time of a read on a target in seconds, including penalties."""
    best_s = find_best_answer_time_s(group, now)
    quality = find_quality(target, best_s, now)
    queueing_s = REPORT_WEIGHT * best_s * count_excess(target, now) / max(target.record.slots, 1)
    time_s = max(quality.answer_s, best_s + queueing_s) + quality.failures * FAILURE_COST_S
    time_s += count_own_jobs(target) * quality.answer_s
    time_s += find_connection_wait_s(target, account, quality.answer_s)
    time_s += routing.find_distance_cost_s(state, target)
    if target.record.name == group.monitor.primary:
        # Statements that only the primary can run wait in the same queue.
        time_s += PRIMARY_COST_S + queueing_s
    return time_s


def find_best_answer_time_s(group: GroupView, now: float) -> float:
    """Return the expected answer time in seconds of the fastest target of a group."""
    known = [target_load.sum_up(target, now) for target in group.targets.values()]
    return min(
        (evidence.time_s / evidence.served for evidence in known if evidence.served >= 1),
        default=DEFAULT_ANSWER_TIME_S,
    )


def find_quality(target: TargetState, best_s: float, now: float) -> Quality:
    """Return how well a target is expected to answer, given the fastest of its group."""
    known = target_load.sum_up(target, now)
    answer_s = (known.time_s + PRIOR_READS * best_s) / (known.served + PRIOR_READS)
    return Quality(answer_s, known.failed / (known.served + PRIOR_SUCCESSES))


def count_excess(target: TargetState, now: float) -> float:
    """Return the expected number of statements ahead of a new one beyond the slots."""
    load = target.load
    reported_at = load.reported_at if load.reported_at is not None else now
    others = load.others * math.exp(-max(now - reported_at, 0) / REPORT_DECAY_S)
    return max(count_own_jobs(target) + others + 1 - target.record.slots, 0)


def count_own_jobs(target: TargetState) -> int:
    """Return the number of jobs of this VM that wait for a target or run on it."""
    return target_load.count_own_statements(target) + len(target.queue)


def find_connection_wait_s(target: TargetState, account: str, answer_s: float) -> float:
    """Return the expected wait of a read in seconds for a connection of its account."""
    usable = [
        connection
        for connection in target.connections.values()
        if connection.account == account and not connection.pinned_to
    ]
    idle = sum(pool.is_idle(connection) for connection in usable)
    waiting = len(target.queue)
    if idle > waiting:
        return 0
    if not usable:
        return routing.OPEN_CONNECTION_COST_S + waiting * answer_s
    return (waiting + 1 - idle) * answer_s / len(usable)


def can_move_at_once(
    state: PoolerState, group: GroupView, operation: Operation, now: float
) -> bool:
    """Return whether a read that was refused as busy goes to another target without a backoff.

    With adaptive admission, that target must not be known to be busy.
    """
    if operation.needs_primary:
        return False
    candidates = routing.list_read_candidates(group, operation, operation.floor, now)
    return not state.adaptive_admission or any(not is_busy(target, now) for target in candidates)


def is_busy(target: TargetState, now: float) -> bool:
    """Return whether a target is expected to answer BUSY."""
    return target.load.busy_at is not None and now - target.load.busy_at < BUSY_MEMORY_S


def log_avoided_targets(state: PoolerState, group: GroupView, now: float) -> list:
    """Return a log line for each target that reads begin or cease to avoid."""
    if not state.adaptive_admission or not group.targets:
        return []
    if now - group.targets_judged_at < JUDGE_INTERVAL_S:
        return []
    group.targets_judged_at = now
    best_s = find_best_answer_time_s(group, now)
    found = {name: find_quality(it, best_s, now) for name, it in group.targets.items()}
    limit_s = AVOIDED_FACTOR * min(quality.cost_s for quality in found.values())
    effects: list = []
    for name, quality in found.items():
        load = group.targets[name].load
        # Half of the excess ends the state, so that it does not change with every answer.
        excess_s = AVOIDED_EXCESS_S / 2 if load.avoided else AVOIDED_EXCESS_S
        avoided = quality.cost_s > limit_s + excess_s
        if avoided != load.avoided:
            load.avoided = avoided
            fields = {
                'target': name,
                'group': group.name,
                'answer_ms': round(quality.answer_s * 1000),
                'failures_per_success': round(quality.failures, 2),
            }
            effects.append(WriteLog('target_avoided' if avoided else 'target_resumed', fields))
    return effects
