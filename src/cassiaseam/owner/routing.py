"""Choice of the target for a read and of the primary for a write."""

from dataclasses import dataclass

from cassiaseam.errors import ErrorKind
from cassiaseam.group import view as group_view
from cassiaseam.group.detection import UNKNOWN_PRIMARY_GRACE_S
from cassiaseam.group.failover import CATCH_UP_TIMEOUT_S
from cassiaseam.owner.pool import accepts_new_work, has_free_slot, request_connections
from cassiaseam.owner.state import TargetPool, TimerKind, Turn, Work, schedule_timer
from cassiaseam.positions import ZERO_POSITION, LogPosition

# Reads leave the primary to the writes unless the replicas stay saturated for this long.
OVERFLOW_WAIT_S = 0.05
EXPECTED_GAP_S = 2.0
SHORTEST_EXPECTED_WAIT_S = 0.2
WRITE_WAIT_LIMIT_S = 5.0


@dataclass(slots=True)
class ReadRoute:
    """Where a read may run.

    Attributes:
        pool: Target that can run it now, or None.
        eligible: Whether any target may serve it once it has a free slot and a connection.
    """

    pool: TargetPool | None
    eligible: bool


@dataclass(slots=True)
class WriteGate:
    """Whether writes may be sent.

    Attributes:
        pool: Primary that takes them, or None.
        kind: Reason when `pool` is None.
        delay_s: Expected time in seconds until a majority holds a new write.
    """

    pool: TargetPool | None
    kind: ErrorKind = ErrorKind.NO_PRIMARY
    delay_s: float = 0


def resolve_floor(turn: Turn, work: Work) -> LogPosition | None:
    """Return the position that a read must cover, or None while it is unknown."""
    request = work.request
    if request.floor is not None:
        return request.floor
    return group_view.find_quorum_floor(turn.group, request.session_opened_at)


def list_read_pools(turn: Turn, work: Work) -> list[TargetPool]:
    """Return the targets that may serve a read and take new work, replicas first."""
    floor = resolve_floor(turn, work)
    if floor is None:
        return []
    names = group_view.find_read_targets(turn.group, floor, work.max_age_s, turn.now)
    targets = turn.database.targets
    pools = [targets[name] for name in names if name in targets]
    return [pool for pool in pools if accepts_new_work(pool)]


def choose_read_route(turn: Turn, work: Work, contended: TargetPool | None) -> ReadRoute:
    """Choose the least loaded target for a read.

    Args:
        turn: Event being handled.
        work: Read to place.
        contended: Primary that writes wait for, or None.

    Returns:
        The route; a target without an idle connection is asked to open one.
    """
    pools = list_read_pools(turn, work)
    if not pools:
        return ReadRoute(None, eligible=False)
    if len(pools) > 1:
        pools = leave_out_worse_targets(turn, work, pools)
    ready: TargetPool | None = None
    closed: TargetPool | None = None
    for pool in pools:
        if not has_read_slot(pool, contended):
            continue
        if pool.idle:
            if ready is None or measure_load(pool) < measure_load(ready):
                ready = pool
        elif closed is None or measure_load(pool) < measure_load(closed):
            closed = pool
    if closed is not None and (ready is None or measure_load(closed) < measure_load(ready)):
        request_connections(turn, closed, count_waiting_reads(turn) + 1)
    return ReadRoute(ready, eligible=True)


def leave_out_worse_targets(turn: Turn, work: Work, pools: list[TargetPool]) -> list[TargetPool]:
    """Leave out the target that lost the read, and the primary while replicas may serve it."""
    if work.runs:
        pools = [pool for pool in pools if pool.config.name != work.target]
    if work.max_age_s is None or turn.now - work.arrived_at >= OVERFLOW_WAIT_S:
        return pools
    primary = turn.group.primary
    replicas = [pool for pool in pools if pool.config.name != primary]
    return replicas or pools


def measure_load(pool: TargetPool) -> float:
    """Return the share of the slots that are in use."""
    return pool.running / pool.config.slots


def count_waiting_reads(turn: Turn) -> int:
    """Return how many reads wait, for a slot or for a poll."""
    database = turn.database
    return database.replica_reads.size + database.primary_reads.size + len(database.parked)


def has_read_slot(pool: TargetPool, contended: TargetPool | None) -> bool:
    """Return whether a read may start; while writes wait, reads leave them one slot."""
    if not has_free_slot(pool):
        return False
    if pool is not contended:
        return True
    if pool.config.slots == 1:
        return not pool.last_was_read
    return pool.running - pool.running_writes < pool.config.slots - 1


def is_any_target_reachable(turn: Turn) -> bool:
    """Return whether any target could serve a read without a floor and of any age."""
    names = group_view.find_read_targets(turn.group, ZERO_POSITION, float('inf'), turn.now)
    targets = turn.database.targets
    return any(name in targets and accepts_new_work(targets[name]) for name in names)


def find_write_gate(turn: Turn) -> WriteGate:
    """Return the primary that takes writes now, or the reason why there is none."""
    primary = group_view.find_write_primary(turn.group, turn.now)
    pool = turn.database.targets.get(primary) if primary is not None else None
    if pool is None or not accepts_new_work(pool) or pool.writes_refused_at is not None:
        return WriteGate(None)
    delay_s = group_view.estimate_commit_delay_s(turn.group, turn.now)
    if delay_s is None:
        return WriteGate(None, ErrorKind.REPLICAS_BEHIND)
    return WriteGate(pool, delay_s=delay_s)


def note_write_gate(turn: Turn, gate: WriteGate) -> bool:
    """Remember since when writes are blocked and return whether that began just now."""
    database = turn.database
    if gate.pool is not None:
        database.writes_blocked_at = None
        return False
    if database.writes_blocked_at is not None:
        return False
    database.writes_blocked_at = turn.now
    due = turn.now + WRITE_WAIT_LIMIT_S
    schedule_timer(turn, due, TimerKind.WRITE_WAIT, turn.now)
    return True


def estimate_blocked_s(turn: Turn) -> float | None:
    """Return the expected time in seconds until writes can be sent; None when not foreseeable."""
    blocked_at = turn.database.writes_blocked_at
    if blocked_at is None:
        return 0
    elapsed_s = turn.now - blocked_at
    if elapsed_s >= WRITE_WAIT_LIMIT_S:
        return None
    heard = any(view.status is not None for view in turn.group.targets.values())
    if not heard and elapsed_s < UNKNOWN_PRIMARY_GRACE_S:
        # This daemon has just taken the database over; its first poll tells the primary.
        return SHORTEST_EXPECTED_WAIT_S
    gap_s = turn.group.last_failover_gap_s
    expected_s = EXPECTED_GAP_S if gap_s is None else min(gap_s, WRITE_WAIT_LIMIT_S)
    if turn.group.failover is not None and turn.group.failover.planned:
        # No failure has to be noticed, so the gap of a failover would be too long a guess.
        expected_s = min(expected_s, CATCH_UP_TIMEOUT_S)
    return max(expected_s - elapsed_s, SHORTEST_EXPECTED_WAIT_S)
