"""Headroom: connections that a target keeps free for VMs that have lost theirs.

Load pattern: all VMs lose power at once. A target keeps their connections for 3 s, because their
remote ends are silent. When the VMs are back after one or two seconds, they need as many
connections again. They only get them if less than half of the limit was in use before.
"""

import math

from cassiaseam.pooler.state import PoolerState, TargetState

# Pairs of a share of the target's connection limit and the idle timeout in seconds below it. A
# new connection briefly occupies a slot of the target, and a full target refuses further VMs.
IDLE_TIMEOUT_STEPS = ((0.5, 20.0), (0.7, 5.0), (0.85, 1.0), (math.inf, 0.3))
# The same with headroom: a crowded target gets its connections back soon after their use, so that
# the VMs take turns.
HEADROOM_IDLE_TIMEOUT_STEPS = ((0.2, 20.0), (0.3, 5.0), (0.4, 0.3), (0.7, 0.1), (math.inf, 0.02))
# Slot time in seconds that a target spends on a new connection.
OPENING_SLOT_TIME_S = 0.012
# Largest share of the slots of a target that VMs use up by opening the connections again that they
# closed for headroom. 123 VMs that closed theirs after 0.1 s used up both slots of each target.
MAX_REOPENING_SHARE = 0.25
# Minimum backoff in seconds after a target refused a connection because it has too many, and the
# same with headroom, where connections become free sooner.
FULL_TARGET_BACKOFF_S = 0.2
HEADROOM_FULL_TARGET_BACKOFF_S = 0.1
# Connection count that is assumed for a target at its connection limit, and with headroom for one
# whose count is not known yet. A VM that assumes an idle target opens ten connections at once;
# when all VMs start together, that is many times the limit.
FULL_TARGET_CONNECTIONS = 10**6


def is_count_assumed(target: TargetState) -> bool:
    """Return whether the connection count of a target is assumed instead of reported.

    An assumed count changes by the connections that this VM opens and closes.
    """
    return target.reported_connections >= FULL_TARGET_CONNECTIONS // 2


def find_idle_timeout_s(used_share: float, reopening_s: float | None = None) -> float:
    """Return the idle timeout of a connection in seconds.

    Load pattern: more VMs than a target has connections, each with a statement every few seconds.

    Args:
        used_share: Share of the connection limit of the target that all VMs use.
        reopening_s: Minimum idle timeout with headroom in seconds, so that VMs do not spend too
            many slots of the target on opening connections again; None without headroom.
    """
    longest_s = _find_step(IDLE_TIMEOUT_STEPS, used_share)
    if reopening_s is None:
        return longest_s
    return max(_find_step(HEADROOM_IDLE_TIMEOUT_STEPS, used_share), min(longest_s, reopening_s))


def _find_step(steps: tuple[tuple[float, float], ...], used_share: float) -> float:
    return next(timeout_s for share, timeout_s in steps if used_share < share)


def find_reopening_time_s(state: PoolerState, target: TargetState) -> float:
    """Return the minimum idle timeout with headroom in seconds.

    A VM with one connection to the target opens it again at most once per idle timeout. All VMs
    together then spend at most `MAX_REOPENING_SHARE` of the slots of the target on that. Where the
    idle timeout without headroom is shorter, connections are scarcer than slots, and it holds.
    """
    vms = len(state.peers) + 1
    slots = max(target.record.slots, 1)
    return vms * OPENING_SLOT_TIME_S / (MAX_REOPENING_SHARE * slots)


def keeps_headroom(state: PoolerState, max_connections: int) -> bool:
    """Return whether connections are kept free at a target.

    With more VMs than connections, VMs take turns all the time. Closing connections sooner would
    then only cost slots of the target.
    """
    return state.adaptive_admission and len(state.peers) < max_connections


def find_full_target_backoff_s(state: PoolerState, max_connections: int) -> float:
    """Return the minimum backoff in seconds after a target refused a connection as too many."""
    if keeps_headroom(state, max_connections):
        return HEADROOM_FULL_TARGET_BACKOFF_S
    return FULL_TARGET_BACKOFF_S


def find_initial_connection_count(state: PoolerState) -> int:
    """Return the connection count that is assumed for a target that has not reported yet."""
    return FULL_TARGET_CONNECTIONS if state.adaptive_admission else 0
