"""Targets that lost entries of their log.

A target may start again under its name without its log. The record that announces the restart
arrives seconds late, or not at all on a VM without the store, and the target answers polls before.
A commit that it held may then be missing in a majority that counts it. What tells is a position
that went back within a term: only a promotion, which begins a term, takes entries back.

Such a target counts neither for samples and confirmations nor for commits and fences, until it
holds what a majority of the other targets held after the loss. That majority meets every majority
that the lost copy was part of. A newer term alone does not end this: the target may hear of the
term before it has the log of the new primary. An entry of that term follows all entries that the
promotion kept.

A VM that has not polled the target before sees a loss only while the log is blank.
"""

from cassiaseam.group.quorum import count_majority
from cassiaseam.messages import TargetStatus
from cassiaseam.pooler.commands import ReportedStatus
from cassiaseam.pooler.events import WriteLog
from cassiaseam.pooler.evidence.log_history import LogHistory
from cassiaseam.pooler.state import GroupView, TargetState
from cassiaseam.positions import LogPosition


def track_report(
    group: GroupView, name: str, started_at: float, reported: ReportedStatus, now: float
) -> None:
    """Note what a target reported for a poll sent at `started_at`, and whether it lost entries."""
    history = group.targets[name].history
    if reported.term > history.term:
        history.term = reported.term
        if reported.last.offset and reported.last.term == reported.term:
            history.forget_loss()
        elif history.lost_at is not None:
            # The promotion may have taken back entries that the others held before.
            history.lost_at = now
            history.catch_up = None
    elif started_at < history.answered_at:
        # Commands on two connections may be answered in another order than they were sent.
        return
    elif reported.last < history.last and not may_be_rolled_back(history, reported):
        history.lost_at = now
        history.catch_up = None
    history.last = reported.last
    history.answered_at = now
    if history.lost_at is None:
        return
    if history.catch_up is None:
        find_catch_up_position(group, name)
    if history.catch_up is not None and history.last >= history.catch_up:
        history.forget_loss()


def track_primary_position(group: GroupView, name: str, last: LogPosition, now: float) -> None:
    """Note the position of the primary as replies to statements give it."""
    history = group.targets[name].history
    history.last = last
    history.answered_at = now


def may_be_rolled_back(history: LogHistory, reported: ReportedStatus) -> bool:
    """Return whether a newer term explains that a log went back.

    A replica may know the term of its new primary before it rolls back entries of an older one.
    """
    has_newer_term = history.last.term < history.term
    return has_newer_term and reported.term == history.term


def find_catch_up_position(group: GroupView, name: str) -> None:
    """Set the position that a target must reach, once a majority of the others is known."""
    history = group.targets[name].history
    held = [
        view.status.last
        for other, view in group.monitor.targets.items()
        if other != name and view.status is not None and view.status_started_at >= history.lost_at
    ]
    if len(held) >= count_majority(group.monitor):
        history.catch_up = max(held)


def has_lost_log(target: TargetState) -> bool:
    """Return whether a target lacks entries that it had reported."""
    return target.history.lost_at is not None


def counts_as_evidence(
    group: GroupView, name: str, reported: ReportedStatus | TargetStatus
) -> bool:
    """Return whether a status may count towards a majority.

    A target without term and entries in a group that has entries is new or lost its log. Among an
    even number of targets, two majorities have two members in common, so that one blank target
    does no harm: a planned replacement does not wait for the log of the new target.
    """
    if has_lost_log(group.targets[name]):
        return False
    blank = not (reported.term or reported.fenced_term or reported.last.offset)
    return not blank or group.size % 2 == 0 or not has_entries(group)


def has_entries(group: GroupView) -> bool:
    """Return whether any target of a group has reported an entry."""
    return any(target.history.last.offset for target in group.targets.values())


def count_lost_logs(group: GroupView) -> int:
    """Return how many targets have to be polled besides a majority."""
    return sum(has_lost_log(target) for target in group.targets.values())


def build_log(group: GroupView, target: TargetState) -> WriteLog:
    """Return the log line for a target that lost entries or holds what the others hold."""
    history = target.history
    kind = 'target_log_caught_up' if history.lost_at is None else 'target_log_lost'
    return WriteLog(
        kind,
        {
            'target': target.record.name,
            'group': group.name,
            'term': history.term,
            'position': history.last,
        },
    )
