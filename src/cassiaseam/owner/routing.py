"""Choice of the target for a read and of the primary for a write."""

from dataclasses import dataclass

from cassiaseam.errors import ErrorKind
from cassiaseam.group import view as group_view
from cassiaseam.group.detection import UNKNOWN_PRIMARY_GRACE_S
from cassiaseam.group.failover import CATCH_UP_TIMEOUT_S
from cassiaseam.owner.pool import accepts_statements, has_free_slot, request_connections
from cassiaseam.owner.state import (
    EventContext,
    PendingRequest,
    TargetPool,
    TimerKind,
    schedule_timer,
)
from cassiaseam.positions import ZERO_POSITION, LogPosition

# Reads that a replica may serve use the primary only after the replicas were saturated this long.
PRIMARY_OVERFLOW_DELAY_S = 0.05
DEFAULT_FAILOVER_GAP_S = 2.0
MIN_EXPECTED_WAIT_S = 0.2
WRITE_WAIT_TIMEOUT_S = 5.0


@dataclass(slots=True)
class ReadRoute:
    """Target for a read.

    Attributes:
        pool: Target that can run the read now, or None.
        eligible: Whether any target may serve the read once it has a free slot and a connection.
    """

    pool: TargetPool | None
    eligible: bool


@dataclass(slots=True)
class WriteRoute:
    """Primary for writes, or the reason why writes cannot be sent.

    Attributes:
        pool: Primary that accepts writes, or None.
        kind: Error kind when `pool` is None.
        delay_s: Expected time in seconds until a majority holds a new write.
    """

    pool: TargetPool | None
    kind: ErrorKind = ErrorKind.NO_PRIMARY
    delay_s: float = 0


def find_required_position(context: EventContext, pending: PendingRequest) -> LogPosition | None:
    """Return the position that a read must cover, or None while it is unknown."""
    request = pending.request
    if request.floor is not None:
        return request.floor
    return group_view.find_quorum_floor(context.group, request.session_opened_at)


def list_read_pools(context: EventContext, pending: PendingRequest) -> list[TargetPool]:
    """Return the targets that may serve a read and accept statements, replicas first."""
    floor = find_required_position(context, pending)
    if floor is None:
        return []
    names = group_view.find_read_targets(context.group, floor, pending.max_age_s, context.now)
    targets = context.database.targets
    pools = [targets[name] for name in names if name in targets]
    return [pool for pool in pools if accepts_statements(pool)]


def choose_read_route(
    context: EventContext, pending: PendingRequest, contended_primary: TargetPool | None
) -> ReadRoute:
    """Choose the least loaded target for a read.

    Args:
        context: Context of the event.
        pending: Read to route.
        contended_primary: Primary that writes wait for, or None.

    Returns:
        The route. Connections are requested on the least loaded target if it has no idle one.
    """
    pools = list_read_pools(context, pending)
    if not pools:
        return ReadRoute(None, eligible=False)
    if len(pools) > 1:
        pools = filter_read_pools(context, pending, pools)
    connected: TargetPool | None = None
    unconnected: TargetPool | None = None
    for pool in pools:
        if not has_read_slot(pool, contended_primary):
            continue
        if pool.idle:
            if connected is None or compute_load(pool) < compute_load(connected):
                connected = pool
        elif unconnected is None or compute_load(pool) < compute_load(unconnected):
            unconnected = pool
    if unconnected is not None and (
        connected is None or compute_load(unconnected) < compute_load(connected)
    ):
        request_connections(context, unconnected, count_waiting_reads(context) + 1)
    return ReadRoute(connected, eligible=True)


def filter_read_pools(
    context: EventContext, pending: PendingRequest, pools: list[TargetPool]
) -> list[TargetPool]:
    """Exclude the target that lost the read, and the primary while replicas may serve it."""
    if pending.attempts:
        pools = [pool for pool in pools if pool.config.name != pending.target]
    if pending.max_age_s is None or context.now - pending.arrived_at >= PRIMARY_OVERFLOW_DELAY_S:
        return pools
    primary = context.group.primary
    replicas = [pool for pool in pools if pool.config.name != primary]
    return replicas or pools


def compute_load(pool: TargetPool) -> float:
    """Return the share of the slots that are in use."""
    return pool.running / pool.config.slots


def count_waiting_reads(context: EventContext) -> int:
    """Return how many reads wait for a slot or for a poll."""
    database = context.database
    return database.replica_reads.size + database.primary_reads.size + len(database.parked)


def has_read_slot(pool: TargetPool, contended_primary: TargetPool | None) -> bool:
    """Return whether a read may start; while writes wait, one slot is reserved for them."""
    if not has_free_slot(pool):
        return False
    if pool is not contended_primary:
        return True
    if pool.config.slots == 1:
        return not pool.last_statement_was_read
    return pool.running - pool.running_writes < pool.config.slots - 1


def is_any_target_reachable(context: EventContext) -> bool:
    """Return whether any target could serve a read of any position and age."""
    names = group_view.find_read_targets(context.group, ZERO_POSITION, float('inf'), context.now)
    targets = context.database.targets
    return any(name in targets and accepts_statements(targets[name]) for name in names)


def find_write_route(context: EventContext) -> WriteRoute:
    """Return the primary that accepts writes now, or the reason why there is none."""
    primary = group_view.find_write_primary(context.group, context.now)
    pool = context.database.targets.get(primary) if primary is not None else None
    if pool is None or not accepts_statements(pool) or pool.writes_refused_at is not None:
        return WriteRoute(None)
    delay_s = group_view.estimate_commit_delay_s(context.group, context.now)
    if delay_s is None:
        return WriteRoute(None, ErrorKind.REPLICAS_BEHIND)
    return WriteRoute(pool, delay_s=delay_s)


def update_writes_blocked_at(context: EventContext, write_route: WriteRoute) -> bool:
    """Record since when writes are blocked and return whether the blocking has just begun."""
    database = context.database
    if write_route.pool is not None:
        database.writes_blocked_at = None
        return False
    if database.writes_blocked_at is not None:
        return False
    database.writes_blocked_at = context.now
    due = context.now + WRITE_WAIT_TIMEOUT_S
    schedule_timer(context, due, TimerKind.WRITE_WAIT, context.now)
    return True


def estimate_blocked_s(context: EventContext) -> float | None:
    """Return the expected time in seconds until writes can be sent; None when unknown."""
    blocked_at = context.database.writes_blocked_at
    if blocked_at is None:
        return 0
    elapsed_s = context.now - blocked_at
    if elapsed_s >= WRITE_WAIT_TIMEOUT_S:
        return None
    has_status_since = any(view.status is not None for view in context.group.targets.values())
    if not has_status_since and elapsed_s < UNKNOWN_PRIMARY_GRACE_S:
        # The daemon has just taken over the database; its first poll identifies the primary.
        return MIN_EXPECTED_WAIT_S
    gap_s = context.group.last_failover_gap_s
    expected_s = DEFAULT_FAILOVER_GAP_S if gap_s is None else min(gap_s, WRITE_WAIT_TIMEOUT_S)
    if context.group.failover is not None and context.group.failover.planned:
        # No failure has to be detected, so the gap of a failover overestimates the wait.
        expected_s = min(expected_s, CATCH_UP_TIMEOUT_S)
    return max(expected_s - elapsed_s, MIN_EXPECTED_WAIT_S)
