"""Which target serves a statement.

A VM keeps to the targets that it has connections to, so that many VMs share the connections of a
target by each using few targets.
"""

import zlib

from cassiaseam.group.quorum import count_majority
from cassiaseam.pooler import connections
from cassiaseam.pooler.state import GroupView, Operation, PoolerState, TargetState
from cassiaseam.positions import LogPosition

# Seconds without a reply to anything after which no statement is sent to a target if others can
# serve it.
SILENCE_LIMIT_S = 0.4
# Seconds without a reply, or without a connection, after which a target is out of reach.
OUT_OF_REACH_S = 0.8
# Seconds of expected wait that distance stands for: another place, another region.
OTHER_PLACE_COST_S = 0.01
OTHER_REGION_COST_S = 0.03
# Seconds after which a target whose record stays missing counts as gone: live ones are back two
# seconds after the store is.
RETURN_LIMIT_S = 2.5
# Seconds for which a primary that leaves takes new work; a promotion is over by then, and a
# target may end seven seconds after its announcement.
LEAVING_LIMIT_S = 5.0
# Seconds of expected wait that a connection stands for that has to be opened first: two ways and
# the time that a target takes for it.
OPEN_CONNECTION_COST_S = 0.02
# Expected wait in seconds that a share of failing statements of 1 stands for.
FAILURE_COST_S = 2.0


def find_write_target(group: GroupView, now: float) -> str:
    """Return the primary in charge, or '' while there is none that answers."""
    name = group.monitor.primary
    target = group.targets.get(name)
    if target is None or target.failing_since is not None or is_gone(target, now):
        return ''
    if group.promotion is not None and group.promotion.token:
        return ''
    # Behind a fence no majority confirms a commit; it would only be in doubt.
    if group.fenced_since is not None:
        return ''
    left_s = now - target.leaving_since if target.leaving_since is not None else 0
    return name if left_s < LEAVING_LIMIT_S else ''


def is_shut_out_of_primary(group: GroupView, now: float) -> bool:
    """Return whether the primary, or what may be the primary, gives this VM no connection."""
    primary = group.targets.get(group.monitor.primary)
    suspects = group.targets.values() if primary is None else (primary,)
    return any(connections.is_shut_out(target, now) for target in suspects)


def is_responsive(target: TargetState, now: float) -> bool:
    """Return whether a target may be expected to answer."""
    if target.failing_since is not None or connections.is_shut_out(target, now):
        return False
    return target.silent_since is None or now - target.silent_since < SILENCE_LIMIT_S


def is_out_of_reach(target: TargetState, now: float) -> bool:
    """Return whether this VM has lost a target, or gets no connection to it."""
    return connections.is_shut_out(target, now) or is_lost(target, now)


def is_lost(target: TargetState, now: float) -> bool:
    """Return whether a target has not answered to this VM for long."""
    since = min(
        (at for at in (target.failing_since, target.silent_since) if at is not None),
        default=now,
    )
    return now - since > OUT_OF_REACH_S


def is_cut_off(group: GroupView, now: float) -> bool:
    """Return whether this VM reaches no majority of a group.

    Another VM may reach it, so callers are better served there. A target that is only full at the
    moment is not lost: VMs that left rotation for that sent their callers to VMs that were shut
    out as well, while a replica could have served their reads.
    """
    lost = sum(is_lost(target, now) for target in group.targets.values())
    return lacks_majority(group, lost)


def is_shut_out_of_majority(group: GroupView, now: float) -> bool:
    """Return whether this VM cannot ask a majority whether it holds a commit."""
    return lacks_majority(group, sum(is_out_of_reach(it, now) for it in group.targets.values()))


def lacks_majority(group: GroupView, lost: int) -> bool:
    """Return whether a group has no majority without a number of its known targets."""
    missing = max(group.size - len(group.targets), 0)
    return group.size - lost - missing < count_majority(group.monitor)


def is_shut_out_of_all(group: GroupView, now: float) -> bool:
    """Return whether no target of a group gives this VM a connection."""
    return all(is_out_of_reach(target, now) for target in group.targets.values())


def find_read_target(
    state: PoolerState,
    group: GroupView,
    operation: Operation,
    floor: LogPosition | None,
    now: float,
) -> str:
    """Return the target with the least expected wait that may serve a read, or ''."""
    candidates = [
        target
        for name, target in group.targets.items()
        if name not in operation.tried
        and may_serve_read(target, floor, now)
        and is_responsive(target, now)
    ]
    if not candidates:
        return ''
    best = min(
        candidates,
        key=lambda target: (estimate_wait_s(state, target), rank_for_vm(state, target)),
    )
    return best.record.name


def is_gone(target: TargetState, now: float) -> bool:
    """Return whether the record of a target is missing for longer than an outage explains."""
    return target.missing_since is not None and now - target.missing_since > RETURN_LIMIT_S


def may_serve_read(target: TargetState, floor: LogPosition | None, now: float) -> bool:
    """Return whether a target takes reads and may hold the floor."""
    if target.record.leaving or is_gone(target, now):
        return False
    if floor is None or now >= target.lagging_until or target.lag_floor is None:
        return True
    return floor < target.lag_floor


def estimate_wait_s(state: PoolerState, target: TargetState) -> float:
    """Return the expected time in seconds until a target answers, with a cost of distance."""
    waiting = len(target.queue)
    running = sum(connection.job is not None for connection in target.connections.values())
    load = (waiting + running) * target.service_time_s
    return load + find_reach_cost_s(state, target) + target.failure_rate * FAILURE_COST_S


def find_reach_cost_s(state: PoolerState, target: TargetState) -> float:
    """Return the cost in seconds of the way to a target and of a connection to it."""
    connected = any(connection.ready for connection in target.connections.values())
    opening_s = 0 if connected else OPEN_CONNECTION_COST_S
    return find_distance_cost_s(state, target) + opening_s


def rank_for_vm(state: PoolerState, target: TargetState) -> int:
    """Return a rank that spreads the VMs evenly over targets of equal cost."""
    return zlib.crc32(f'{state.vm} {target.record.name}'.encode())


def find_distance_cost_s(state: PoolerState, target: TargetState) -> float:
    """Return the cost in seconds of the way to a target."""
    place = target.record.place
    if place == state.place:
        return 0
    if state.regions.get(place) == state.regions.get(state.place):
        return OTHER_PLACE_COST_S
    return OTHER_REGION_COST_S


def list_by_distance(state: PoolerState, group: GroupView, now: float) -> list[str]:
    """Return the targets beside the primary, responsive, near and connected ones first."""
    names = list_by_reach(state, group, now)
    return [name for name in names if name != group.monitor.primary]


def list_by_reach(state: PoolerState, group: GroupView, now: float) -> list[str]:
    """Return all targets, responsive, near and connected ones first."""
    return sorted(
        group.targets,
        key=lambda name: (
            not is_responsive(group.targets[name], now),
            find_reach_cost_s(state, group.targets[name]),
            rank_for_vm(state, group.targets[name]),
        ),
    )
