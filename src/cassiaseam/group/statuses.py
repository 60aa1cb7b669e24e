"""Processing of target statuses and selection of the current primary."""

from cassiaseam.group.quorum import (
    SILENCE_TIMEOUT_S,
    count_majority,
    count_supporters,
)
from cassiaseam.group.records import record_decision
from cassiaseam.group.samples import add_quorum_samples, record_primary_position, update_freshness
from cassiaseam.group.state import GroupState, Stage, TargetView
from cassiaseam.messages import TargetRole, TargetStatus
from cassiaseam.reducer.common import RecordTimeline
from cassiaseam.reducer.node_state import NodeState
from cassiaseam.reducer.target_io import RecordPrimary


def accept_status(
    node_state: NodeState,
    group: GroupState,
    started_at: float,
    status: TargetStatus,
    now: float,
) -> list[RecordTimeline | RecordPrimary]:
    """Apply a status that a target reported.

    Args:
        node_state: State of the daemon.
        group: State of the group.
        started_at: Time in seconds at or before which the target was asked.
        status: Reported status. It is ignored if it is not newer than the known one.
        now: Time in seconds.

    Returns:
        Effects that record the detected changes.
    """
    view = group.targets[status.instance]
    if status.incarnation == view.former_incarnation:
        return []
    _end_poll(view, started_at)
    if view.status is not None and started_at <= view.status_started_at:
        return []
    effects = []
    if view.status is not None and status.incarnation != view.status.incarnation:
        effects.append(_reset_view(node_state, group, view, status))
    _record_answer(view, started_at, now)
    view.status = status
    view.status_started_at = started_at
    if status.fenced_term > group.known_term or status.term > group.known_term:
        group.known_term = max(status.term, status.fenced_term)
    if status.last > group.known_position:
        group.known_position = status.last
    if view.catch_up_position is not None and status.last >= view.catch_up_position:
        view.catch_up_position = None
    effects.extend(refresh_primary(node_state, group, now))
    if status.instance == group.primary and status.role is TargetRole.PRIMARY:
        record_primary_position(group, started_at, status.last)
    add_quorum_samples(group)
    update_freshness(group, view)
    return effects


def refresh_primary(
    node_state: NodeState,
    group: GroupState,
    now: float,
) -> list[RecordTimeline | RecordPrimary]:
    """Adopt the primary that leads the highest term known to a majority."""
    name, term = _find_leader(group)
    if not name or term <= group.term or term < _find_fencing_term(group):
        return []
    if count_supporters(group, term) < count_majority(group):
        return []
    return _adopt_primary(node_state, group, name, term, now)


def _find_fencing_term(group: GroupState) -> int:
    # Once fences are sent, a leader of a lower term is about to be replaced.
    failover = group.failover
    if failover is None or failover.stage not in {Stage.FENCE, Stage.PROMOTE}:
        return 0
    return failover.term


def _find_leader(group: GroupState) -> tuple[str, int]:
    leader, highest = '', 0
    for name, view in group.targets.items():
        status = view.status
        if status is None or status.role is not TargetRole.PRIMARY:
            continue
        if status.term > highest and status.fenced_term <= status.term:
            leader, highest = name, status.term
    return leader, highest


def _adopt_primary(
    node_state: NodeState,
    group: GroupState,
    name: str,
    term: int,
    now: float,
) -> list[RecordTimeline | RecordPrimary]:
    failover = group.failover
    won = failover is not None and failover.term == term and failover.chosen == name
    replaced = bool(group.primary) or failover is not None
    gap_from = _find_gap_start(group)
    group.failover = None
    group.primary = name
    group.term = term
    group.primary_positions.clear()
    group.failed_attempts = 0
    if replaced and gap_from is not None:
        group.last_failover_gap_s = max(now - gap_from, 0)
        group.failovers += 1
        group.last_failover_at = now
    group.no_primary_since = None
    gap_ms = '' if gap_from is None or not replaced else f'{(now - gap_from) * 1000:.0f}'
    kind = 'primary_promoted' if won else 'primary_adopted'
    cause = failover.cause if won else 'highest term known to a majority'
    record = record_decision(node_state, group, kind, cause, primary=name, gap_ms=gap_ms)
    if won:
        return [record, RecordPrimary(group.config.name, term, name)]
    return [record]


def _find_gap_start(group: GroupState) -> float | None:
    failover = group.failover
    if failover is not None and failover.planned:
        return failover.started_at
    return group.no_primary_since if group.primary_contact_at is None else group.primary_contact_at


def _end_poll(view: TargetView, started_at: float) -> None:
    if view.poll_started_at is not None and started_at >= view.poll_started_at:
        view.poll_started_at = None


def _record_answer(view: TargetView, started_at: float, now: float) -> None:
    # An answer that took longer than the silence timeout says nothing about the current state.
    if now - started_at <= SILENCE_TIMEOUT_S:
        view.answered_at = now
        view.failures = 0
        view.unanswered_since = view.poll_started_at


def _reset_view(
    node_state: NodeState,
    group: GroupState,
    view: TargetView,
    status: TargetStatus,
) -> RecordTimeline:
    """Reset the state that belongs to the earlier incarnation of a restarted target.

    A shorter log may lack acknowledged entries, so the target must catch up first.
    """
    known = view.status
    view.former_incarnation = known.incarnation
    view.fresh_as_of = None
    view.follow_sent_at = None
    lost = status.last < known.last
    if lost:
        view.catch_up_position = group.known_position
        if group.failover is not None:
            group.failover.grants.pop(status.instance, None)
    cause = f'log went back from {known.last} to {status.last}' if lost else 'new incarnation'
    return record_decision(
        node_state,
        group,
        'target_restarted',
        cause,
        target=status.instance,
        incarnation=status.incarnation,
    )
