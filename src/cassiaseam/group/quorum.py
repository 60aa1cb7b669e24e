"""Quorum checks over the reported statuses of a group.

A target that restarted without its log may lack entries that it acknowledged and fences that it
granted. Its status counts towards a majority again only after its log has caught up. An owner that
started after the restart detects such a target only while it is blank, because a status does not
show that a partial log was longer before.
"""

from cassiaseam.group.state import GroupState, TargetView
from cassiaseam.messages import TargetRole
from cassiaseam.positions import ZERO_POSITION

MAX_FAILED_POLLS = 3
SILENCE_TIMEOUT_S = 0.7


def count_majority(group: GroupState) -> int:
    """Return the number of instances that form a majority of the configured group."""
    return len(group.config.targets) // 2 + 1


def is_reachable(view: TargetView, now: float) -> bool:
    """Return whether a target answers its polls."""
    if view.status is None or view.failures >= MAX_FAILED_POLLS:
        return False
    return view.unanswered_since is None or now - view.unanswered_since < SILENCE_TIMEOUT_S


def is_trusted(group: GroupState, name: str) -> bool:
    """Return whether the status of a target may count towards a majority.

    A blank instance in a group that has entries is new or lost its data.
    """
    view = group.targets[name]
    status = view.status
    if status is None:
        return False
    if view.catch_up_position is not None:
        return status.last >= view.catch_up_position
    if status.term or status.fenced_term or status.last.offset:
        return True
    return group.known_position == ZERO_POSITION


def require_catch_up(group: GroupState, name: str) -> None:
    """Require an untrusted instance to catch up before its status counts.

    Called before a fence or a follow, which gives a blank instance a term and so hides its loss.
    """
    view = group.targets[name]
    if view.status is not None and view.catch_up_position is None and not is_trusted(group, name):
        view.catch_up_position = group.known_position


def is_leaving(group: GroupState, name: str) -> bool:
    """Return whether operators drain a target or the vendor announced its removal."""
    view = group.targets.get(name)
    if name in group.draining:
        return True
    return view is not None and view.status is not None and view.status.leaving


def has_confirmed_primary(
    group: GroupState, polled_after: float = -1, in_term: bool = False
) -> bool:
    """Return whether the known primary leads the highest term known to a majority.

    Args:
        group: State of the group.
        polled_after: Only statuses whose poll started at or after this time in seconds count.
        in_term: Whether only instances that are in the term of the primary count.
    """
    view = group.targets.get(group.primary)
    if view is None or not _leads(view, group.term) or view.status_started_at < polled_after:
        return False
    return count_supporters(group, group.term, polled_after, in_term) >= count_majority(group)


def count_supporters(
    group: GroupState, term: int, polled_after: float = -1, in_term: bool = False
) -> int:
    """Return how many trusted instances are not fenced above `term`, and are in it if asked."""
    supporters = 0
    for name, view in group.targets.items():
        status = view.status
        if status is None or status.fenced_term > term or view.status_started_at < polled_after:
            continue
        if in_term and status.term != term:
            continue
        # The first condition avoids the call in the common case.
        if (status.term and view.catch_up_position is None) or is_trusted(group, name):
            supporters += 1
    return supporters


def _leads(view: TargetView, term: int) -> bool:
    status = view.status
    if status is None or status.role is not TargetRole.PRIMARY:
        return False
    return status.term == term and status.fenced_term <= term
