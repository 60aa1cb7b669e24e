"""Scheduling of status polls and timers of a group."""

import heapq

from cassiaseam.group.state import GroupState, TargetView
from cassiaseam.reducer.node_state import NodeState
from cassiaseam.reducer.target_io import PollTarget

IDLE_POLL_INTERVAL_S = 1.0
# Late failure detection does not matter for a group without requests, because the first request
# polls it at once. Polls of unused groups were the largest part of a daemon's control traffic.
UNUSED_POLL_INTERVAL_S = 2.5
UNUSED_AFTER_S = 10.0
FAST_POLL_INTERVAL_S = 0.05
# A group that stays without a primary, for example after losing its majority, is polled less often
# after a while, because no promotion can succeed until instances return.
SLOW_POLL_INTERVAL_S = 0.25
SLOW_POLL_AFTER_S = 10.0
POLL_TIMEOUT_S = 0.3
# Minimum time between polls of one target. Without it, an owner that waits for a commit polls a
# nearby target thousands of times per second.
MIN_POLL_SPACING_S = 0.005
# Fast polling continues this long after a request, so that a lost poll is retried.
FAST_POLL_DURATION_S = 0.5


def request_poll(group: GroupState, now: float) -> list[PollTarget]:
    """Poll the group at once, then at the fast interval for `FAST_POLL_DURATION_S`.

    The owner calls this while it waits for a commit, a floor or a confirmed primary. A target with
    a poll in flight is polled again after the answer, because that poll may have been too early.

    Args:
        group: State of the group.
        now: Time in seconds.

    Returns:
        Effects that start the polls.
    """
    group.poll_requested_at = now
    group.fast_poll_until = now + FAST_POLL_DURATION_S
    group.next_round_at = min(group.next_round_at, now + FAST_POLL_INTERVAL_S)
    polls = start_due_polls(group, now)
    schedule_group(group, now)
    return polls


def start_due_polls(group: GroupState, now: float) -> list[PollTarget]:
    """Start the polls due by a round or a request; at most one per target is in flight."""
    round_due = now >= group.next_round_at
    if round_due:
        group.next_round_at = _find_idle_round(group, now)
        expedite_next_round(group, now)
    polls = []
    for name, view in group.targets.items():
        if view.poll_started_at is not None:
            continue
        if round_due or _is_requested(group, view, now):
            view.poll_started_at = now
            view.last_poll_at = now
            if view.unanswered_since is None:
                view.unanswered_since = now
            polls.append(PollTarget(group.config.name, name))
    return polls


def expire_polls(group: GroupState, now: float) -> None:
    """Count polls without an answer within `POLL_TIMEOUT_S` as failed."""
    for view in group.targets.values():
        started_at = view.poll_started_at
        if started_at is not None and now >= started_at + POLL_TIMEOUT_S:
            fail_poll(view, started_at)


def fail_poll(view: TargetView, started_at: float) -> None:
    """Count the poll in flight as failed; ignore failures of earlier polls."""
    if view.poll_started_at is not None and started_at >= view.poll_started_at:
        view.poll_started_at = None
        view.failures += 1


def expedite_next_round(group: GroupState, now: float) -> None:
    """Bring the next round of polls forward if the group needs a shorter interval."""
    interval_s = _choose_short_interval_s(group, now)
    if interval_s is not None and now + interval_s < group.next_round_at:
        group.next_round_at = now + interval_s


def schedule_group(group: GroupState, now: float) -> None:
    """Push the time at which the group next needs a Tick onto the heap of the daemon."""
    due_at = group.next_round_at
    for view in group.targets.values():
        if view.poll_started_at is not None:
            due_at = min(due_at, view.poll_started_at + POLL_TIMEOUT_S)
        elif view.last_poll_at < group.poll_requested_at:
            due_at = min(due_at, _find_requested_poll(view))
    if group.due_at is None or due_at < group.due_at or group.due_at <= now:
        group.due_at = due_at
        heapq.heappush(group.due_heap, (due_at, group.config.name))


def pop_due_groups(node_state: NodeState, now: float) -> list[GroupState]:
    """Pop and return the groups that are due, without visiting the others."""
    due = []
    heap = node_state.group_due
    while heap and heap[0][0] <= now:
        due_at, database = heapq.heappop(heap)
        group = node_state.groups.get(database)
        # An entry is stale if the group was removed or has been rescheduled since.
        if group is not None and group.due_at == due_at:
            group.due_at = None
            due.append(group)
    return due


def find_next_due(node_state: NodeState) -> float | None:
    """Return the time in seconds of the earliest timer of all groups, for the shell's Tick."""
    return node_state.group_due[0][0] if node_state.group_due else None


def _find_idle_round(group: GroupState, now: float) -> float:
    if _is_unused(group, now):
        return now + UNUSED_POLL_INTERVAL_S
    wait_s = IDLE_POLL_INTERVAL_S - (now - group.idle_phase_s) % IDLE_POLL_INTERVAL_S
    # A round that is almost due has just run a little early; skip to the next one.
    if wait_s < FAST_POLL_INTERVAL_S:
        wait_s += IDLE_POLL_INTERVAL_S
    return now + wait_s


def _is_requested(group: GroupState, view: TargetView, now: float) -> bool:
    return view.last_poll_at < group.poll_requested_at and now >= _find_requested_poll(view)


def _find_requested_poll(view: TargetView) -> float:
    # A target whose polls fail at once is not polled more often than in fast rounds.
    spacing_s = FAST_POLL_INTERVAL_S if view.failures else MIN_POLL_SPACING_S
    return view.last_poll_at + spacing_s


def _choose_short_interval_s(group: GroupState, now: float) -> float | None:
    # None for a healthy group: its rounds keep the phase that spreads the polls of all groups.
    if group.failover is not None or now < group.fast_poll_until:
        return FAST_POLL_INTERVAL_S
    if group.no_primary_since is None:
        may_hold_locks = group.taken_over_at is not None and group.oldest_write_at is not None
        healthy_interval_s = SLOW_POLL_INTERVAL_S if may_hold_locks else None
        return FAST_POLL_INTERVAL_S if group.suspicious else healthy_interval_s
    is_long_outage = now - group.no_primary_since >= SLOW_POLL_AFTER_S
    return SLOW_POLL_INTERVAL_S if is_long_outage else FAST_POLL_INTERVAL_S


def _is_unused(group: GroupState, now: float) -> bool:
    return now - group.poll_requested_at >= UNUSED_AFTER_S
