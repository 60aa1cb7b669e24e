"""What the reported statuses of a group prove.

A target that restarted without its log may have forgotten entries that it acknowledged and fences
that it granted. Its evidence counts again only when its log has caught up. An owner that started
after the restart recognises such a target only while it is blank, because statuses do not tell
that a partial log was longer before.
"""

from cassiaseam.group.state import GroupState, TargetView
from cassiaseam.messages import TargetRole
from cassiaseam.positions import ZERO_POSITION

FAILURE_LIMIT = 3
SILENCE_LIMIT_S = 0.7


def count_majority(group: GroupState) -> int:
    """Return the number of instances that form a majority of the configured group."""
    return len(group.config.targets) // 2 + 1


def is_reachable(view: TargetView, now: float) -> bool:
    """Return whether a target answers polls."""
    if view.status is None or view.failures >= FAILURE_LIMIT:
        return False
    return view.unanswered_since is None or now - view.unanswered_since < SILENCE_LIMIT_S


def is_trusted(group: GroupState, name: str) -> bool:
    """Return whether the status of a target may count towards a majority.

    A blank instance in a group that has entries is new or lost its data.
    """
    view = group.targets[name]
    status = view.status
    if status is None:
        return False
    if view.catch_up is not None:
        return status.last >= view.catch_up
    if status.term or status.fenced_term or status.last.offset:
        return True
    return group.known_position == ZERO_POSITION


def remember_lost_data(group: GroupState, name: str) -> None:
    """Keep the distrust in a blank instance before a fence or a follow gives it a term."""
    view = group.targets[name]
    if view.status is not None and view.catch_up is None and not is_trusted(group, name):
        view.catch_up = group.known_position


def is_leaving(group: GroupState, name: str) -> bool:
    """Return whether operators drain a target or the vendor announced that it goes away."""
    view = group.targets.get(name)
    if name in group.draining:
        return True
    return view is not None and view.status is not None and view.status.leaving


def is_in_charge(group: GroupState, polled_after: float = -1) -> bool:
    """Return whether the known primary leads the highest term known to a majority.

    Args:
        group: State of the group.
        polled_after: Only statuses whose poll started at or after this time in seconds count.
    """
    view = group.targets.get(group.primary)
    if view is None or not _leads(view, group.term) or view.status_started_at < polled_after:
        return False
    return count_supporters(group, group.term, polled_after) >= count_majority(group)


def count_supporters(group: GroupState, term: int, polled_after: float = -1) -> int:
    """Return how many trusted instances are not fenced above `term`."""
    supporters = 0
    for name, view in group.targets.items():
        status = view.status
        if status is None or status.fenced_term > term or view.status_started_at < polled_after:
            continue
        # The first test spares the call in the usual case.
        if (status.term and view.catch_up is None) or is_trusted(group, name):
            supporters += 1
    return supporters


def _leads(view: TargetView, term: int) -> bool:
    status = view.status
    if status is None or status.role is not TargetRole.PRIMARY:
        return False
    return status.term == term and status.fenced_term <= term
