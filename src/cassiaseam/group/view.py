"""Queries of the owner role on the monitored state of a group."""

from collections.abc import Collection

from cassiaseam.group.quorum import (
    count_majority,
    has_confirmed_primary,
    is_leaving,
    is_reachable,
    is_trusted,
)
from cassiaseam.group.state import GroupState, TargetView
from cassiaseam.messages import TargetRole
from cassiaseam.positions import ZERO_POSITION, LogPosition

# Maximum age of the poll that confirms the primary for a read without an accepted age. It spans
# four fast poll rounds, so that a lost answer does not delay reads.
CONFIRMATION_AGE_S = 0.2
# An owner is cut off if a majority has not answered its polls for this long.
CUT_OFF_LIMIT_S = 1.0


def find_write_primary(group: GroupState, now: float) -> str | None:
    """Return the confirmed primary that accepts writes, or None, for example in a failover."""
    if group.failover is not None or not has_confirmed_primary(group):
        return None
    return group.primary if is_reachable(group.targets[group.primary], now) else None


def is_owner_cut_off(group: GroupState, now: float) -> bool:
    """Return whether no majority of the targets has answered polls for `CUT_OFF_LIMIT_S`.

    A target without an unanswered poll counts as reached, because idle groups are polled only
    every second or less often.
    """
    reached = sum(
        view.unanswered_since is None or now - view.unanswered_since < CUT_OFF_LIMIT_S
        for view in group.targets.values()
    )
    return reached < count_majority(group)


def is_committed(
    group: GroupState,
    position: LogPosition,
    term: int,
    excluded: Collection[str] = (),
) -> bool:
    """Return whether a majority holds a write of the primary of `term`.

    Only statuses that the instances report count, including that of the primary. An old status
    stays valid: an instance that held the entry while it was not fenced above `term` still holds
    it when it grants a later fence, and every later promoter needs a grant from at least one
    instance of this majority. An entry of a term older than `term` is never confirmed here,
    because a log that ends in `term` need not contain it.

    Args:
        group: State of the group.
        position: Position of the write.
        term: Term of the primary that reported the position.
        excluded: Names of instances that do not count.
    """
    if position.term != term or position == ZERO_POSITION:
        return False
    holders = 0
    for name, view in group.targets.items():
        status = view.status
        if name in excluded or status is None:
            continue
        if status.term != term or status.fenced_term > term:
            continue
        if status.last.covers(position):
            holders += 1
    return holders >= count_majority(group)


def find_quorum_floor(group: GroupState, opened_at: float) -> LogPosition | None:
    """Return a position that covers every write acknowledged before `opened_at`.

    Args:
        group: State of the group.
        opened_at: Time in seconds at which the session opened.

    Returns:
        Lowest position of a quorum sample started at or after `opened_at`, or None.
    """
    return min(
        (sample.position for sample in group.samples if sample.started_at >= opened_at),
        default=None,
    )


def find_read_targets(
    group: GroupState,
    floor: LogPosition,
    max_age_s: float | None,
    now: float,
) -> list[str]:
    """Return the targets that may serve a read.

    Args:
        group: State of the group.
        floor: Minimum position that the target must have applied.
        max_age_s: Accepted age in seconds; None means that only the primary may serve.
        now: Time in seconds.

    Returns:
        Target names: replicas, freshest first, then the primary.
    """
    if max_age_s is None:
        return _find_confirmed_primary(group, floor, now)
    eligible = [
        (name == group.primary, now - view.fresh_as_of, name)
        for name, view in group.targets.items()
        if _may_serve_read(view, floor, now)
        and view.fresh_as_of is not None
        and now - view.fresh_as_of <= max_age_s
        and (name == group.primary or not is_leaving(group, name))
    ]
    return [name for _, _, name in sorted(eligible)]


def estimate_commit_delay_s(group: GroupState, now: float) -> float | None:
    """Return the expected time in seconds until a majority holds a new write.

    The estimate is the lag of the slowest replica that the majority needs.

    Returns:
        None if no primary accepts writes or too few replicas follow it.
    """
    if find_write_primary(group, now) is None:
        return None
    delays = sorted(
        _measure_lag_s(group, view) + max(view.answered_at - view.status_started_at, 0)
        for name, view in group.targets.items()
        if name != group.primary and _follows_primary(group, view, now)
    )
    needed = count_majority(group) - 1
    if needed == 0:
        return 0
    return delays[needed - 1] if len(delays) >= needed else None


def _find_confirmed_primary(group: GroupState, floor: LogPosition, now: float) -> list[str]:
    if group.failover is not None:
        return []
    if not has_confirmed_primary(group, polled_after=now - CONFIRMATION_AGE_S):
        return []
    return [group.primary] if _may_serve_read(group.targets[group.primary], floor, now) else []


def _may_serve_read(view: TargetView, floor: LogPosition, now: float) -> bool:
    return (
        view.status is not None and is_reachable(view, now) and view.status.applied.covers(floor)
    )


def _follows_primary(group: GroupState, view: TargetView, now: float) -> bool:
    status = view.status
    if status is None or status.role is not TargetRole.REPLICA or not is_reachable(view, now):
        return False
    if status.fenced_term > group.term or not is_trusted(group, status.instance):
        return False
    return status.term == group.term and status.follows == group.primary


def _measure_lag_s(group: GroupState, view: TargetView) -> float:
    # A replica behind the whole history lags at least as long as the history reaches back.
    history = group.primary_positions
    if view.status is None or not history:
        return 0
    newest = history[-1][0]
    for started_at, position in reversed(history):
        if view.status.last >= position:
            return newest - started_at
    return newest - history[0][0]
