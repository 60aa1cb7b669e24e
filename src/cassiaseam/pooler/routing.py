"""Selection of the target that serves a statement.

A VM prefers targets that it already has connections to. Each VM then uses few targets, so that
many VMs can share the connections of one target.
"""

import zlib

from cassiaseam.group.quorum import count_majority
from cassiaseam.pooler import connections
from cassiaseam.pooler.accounts import pool
from cassiaseam.pooler.state import GroupView, Operation, PoolerState, TargetState
from cassiaseam.positions import LogPosition

# Seconds without any reply after which no statement is sent to a target while others can serve it.
UNRESPONSIVE_TIMEOUT_S = 0.4
# Seconds without a reply or a connection after which a target is unreachable.
UNREACHABLE_TIMEOUT_S = 0.8
# Penalties added to the expected wait for a target in another place and in another region.
OTHER_PLACE_COST_S = 0.01
OTHER_REGION_COST_S = 0.03
# Seconds after which a target with a missing record counts as removed. The records of live targets
# are back two seconds after the store has recovered.
MISSING_RECORD_TIMEOUT_S = 2.5
# Seconds for which a leaving primary takes new work. A promotion is complete by then, and a target
# may stop seven seconds after it announces that it leaves.
LEAVING_PRIMARY_GRACE_S = 5.0
# Penalty added to the expected wait when a connection has to be opened first: a round trip and the
# time that the target takes to accept it.
OPEN_CONNECTION_COST_S = 0.02
# Penalty added to the expected wait at a failure rate of 1.
FAILURE_COST_S = 2.0


def find_write_target(group: GroupView, now: float) -> str:
    """Return the current primary, or '' while none can take writes."""
    name = group.monitor.primary
    target = group.targets.get(name)
    if target is None or target.unreachable_since is not None or is_record_expired(target, now):
        return ''
    if group.promotion is not None and group.promotion.token:
        return ''
    # No majority confirms a commit behind a fence, so its outcome would be unknown.
    if group.fenced_since is not None:
        return ''
    leaving_s = now - target.leaving_since if target.leaving_since is not None else 0
    return name if leaving_s < LEAVING_PRIMARY_GRACE_S else ''


def is_primary_at_connection_limit(group: GroupView, now: float) -> bool:
    """Return whether the primary, or a target that may be it, refuses connections from this VM."""
    primary = group.targets.get(group.monitor.primary)
    candidates = group.targets.values() if primary is None else (primary,)
    return any(connections.is_at_connection_limit(target, now) for target in candidates)


def is_responsive(target: TargetState, now: float) -> bool:
    """Return whether a target is expected to answer soon."""
    if target.unreachable_since is not None or connections.is_at_connection_limit(target, now):
        return False
    return target.silent_since is None or now - target.silent_since < UNRESPONSIVE_TIMEOUT_S


def is_unavailable(target: TargetState, now: float) -> bool:
    """Return whether a target is unreachable or at its connection limit."""
    return connections.is_at_connection_limit(target, now) or is_unreachable(target, now)


def is_unreachable(target: TargetState, now: float) -> bool:
    """Return whether a target has not answered this VM within `UNREACHABLE_TIMEOUT_S`."""
    since = min(
        (at for at in (target.unreachable_since, target.silent_since) if at is not None),
        default=now,
    )
    return now - since > UNREACHABLE_TIMEOUT_S


def is_majority_unreachable(group: GroupView, now: float) -> bool:
    """Return whether this VM reaches no majority of a group.

    Another VM may reach one, so callers are better served there. A target at its connection limit
    counts as reachable. If VMs left rotation because of full targets, their callers would move to
    VMs that are refused as well, although a replica could serve their reads.
    """
    lost = sum(is_unreachable(target, now) for target in group.targets.values())
    return lacks_majority(group, lost)


def is_majority_unavailable(group: GroupView, now: float) -> bool:
    """Return whether this VM cannot poll a majority to confirm a commit."""
    return lacks_majority(
        group, sum(is_unavailable(member, now) for member in group.targets.values())
    )


def lacks_majority(group: GroupView, lost: int) -> bool:
    """Return whether a group has no majority after the loss of `lost` of its known targets."""
    missing = max(group.size - len(group.targets), 0)
    return group.size - lost - missing < count_majority(group.monitor)


def are_all_targets_unavailable(group: GroupView, now: float) -> bool:
    """Return whether every target of a group is unreachable or at its connection limit."""
    return all(is_unavailable(target, now) for target in group.targets.values())


def find_read_target(
    state: PoolerState,
    group: GroupView,
    operation: Operation,
    floor: LogPosition | None,
    now: float,
) -> str:
    """Return the target with the least expected wait that may serve a read, or ''."""
    candidates = list_read_candidates(group, operation, floor, now)
    if not candidates:
        return ''
    best = min(
        candidates,
        key=lambda target: (
            estimate_wait_s(state, target) + find_opening_cost_s(state, target, operation),
            rank_for_vm(state, target),
        ),
    )
    return best.record.name


def list_read_candidates(
    group: GroupView, operation: Operation, floor: LogPosition | None, now: float
) -> list[TargetState]:
    """Return the responsive targets that may serve a read and have not refused it recently."""
    return [
        target
        for name, target in group.targets.items()
        if name not in operation.tried
        and may_serve_read(target, floor, now)
        and is_responsive(target, now)
    ]


def is_record_expired(target: TargetState, now: float) -> bool:
    """Return whether the record of a target is missing for longer than a store outage explains."""
    return (
        target.missing_since is not None and now - target.missing_since > MISSING_RECORD_TIMEOUT_S
    )


def may_serve_read(target: TargetState, floor: LogPosition | None, now: float) -> bool:
    """Return whether a target takes reads and may have reached the floor."""
    if target.record.leaving or is_record_expired(target, now):
        return False
    if floor is None or now >= target.lagging_until or target.missing_position is None:
        return True
    return floor < target.missing_position


def estimate_wait_s(state: PoolerState, target: TargetState) -> float:
    """Return the expected wait for a target in seconds, including penalties."""
    waiting = len(target.queue)
    running = sum(connection.job is not None for connection in target.connections.values())
    load = (waiting + running) * target.service_time_s
    return load + find_access_cost_s(state, target) + target.failure_rate * FAILURE_COST_S


def find_access_cost_s(state: PoolerState, target: TargetState) -> float:
    """Return the penalty in seconds for distance and for opening a connection."""
    connected = any(connection.ready for connection in target.connections.values())
    opening_s = 0 if connected else OPEN_CONNECTION_COST_S
    return find_distance_cost_s(state, target) + opening_s


def rank_for_vm(state: PoolerState, target: TargetState) -> int:
    """Return a rank that distributes the VMs evenly over targets of equal cost."""
    return zlib.crc32(f'{state.vm} {target.record.name}'.encode())


def find_opening_cost_s(state: PoolerState, target: TargetState, operation: Operation) -> float:
    """Return the penalty in seconds if only other accounts have connections to a target."""
    session = state.sessions.get(operation.session_id)
    if session is None or not pool.has_accounts(state):
        return 0
    accounts = {it.account for it in target.connections.values() if it.ready}
    return OPEN_CONNECTION_COST_S if accounts and session.account not in accounts else 0


def find_distance_cost_s(state: PoolerState, target: TargetState) -> float:
    """Return the penalty in seconds for the distance to a target."""
    place = target.record.place
    if place == state.place:
        return 0
    if state.regions.get(place) == state.regions.get(state.place):
        return OTHER_PLACE_COST_S
    return OTHER_REGION_COST_S


def list_replicas_by_access_cost(state: PoolerState, group: GroupView, now: float) -> list[str]:
    """Return the targets other than the primary; responsive, near and connected ones first."""
    names = list_by_access_cost(state, group, now)
    return [name for name in names if name != group.monitor.primary]


def list_by_access_cost(state: PoolerState, group: GroupView, now: float) -> list[str]:
    """Return all targets; responsive, near and connected ones first."""
    return sorted(
        group.targets,
        key=lambda name: (
            not is_responsive(group.targets[name], now),
            find_access_cost_s(state, group.targets[name]),
            rank_for_vm(state, group.targets[name]),
        ),
    )
