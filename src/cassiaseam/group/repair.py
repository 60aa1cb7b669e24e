"""Repair of instances that do not follow the current primary."""

from cassiaseam.group.quorum import is_reachable, require_catch_up
from cassiaseam.group.records import record_decision
from cassiaseam.group.state import GroupState, TargetView
from cassiaseam.messages import TargetRole
from cassiaseam.reducer.node_state import NodeState
from cassiaseam.reducer.registry import Effect
from cassiaseam.reducer.target_io import FollowPrimary, MarkTerm

REPAIR_INTERVAL_S = 1.0


def repair_followers(node_state: NodeState, group: GroupState, now: float) -> list[Effect]:
    """Make every reachable instance follow the current primary.

    This covers instances that return with an old term, follow a dead primary or none, or missed
    the follow request of the promotion.
    """
    effects: list[Effect] = []
    for name, view in group.targets.items():
        if name == group.primary or not _needs_follow(group, view, now):
            continue
        effects.extend(follow_target(node_state, group, name, group.primary, group.term, now))
    return effects


def mark_new_term(group: GroupState, now: float) -> list[Effect]:
    """Make a primary whose log ends in an earlier term commit an entry of its own term.

    Entries of earlier terms are durable only once an entry of the current term follows them: a
    returning instance may hold an entry of an intermediate term and win the next promotion.
    """
    view = group.targets.get(group.primary)
    if group.failover is not None or view is None or view.status is None:
        return []
    status = view.status
    leads = status.role is TargetRole.PRIMARY and status.term == group.term
    if not leads or status.last.term >= group.term or not is_reachable(view, now):
        return []
    if group.term_marked_at is not None and now - group.term_marked_at < REPAIR_INTERVAL_S:
        return []
    group.term_marked_at = now
    return [MarkTerm(group.config.name, group.primary, group.term)]


def follow_target(
    node_state: NodeState,
    group: GroupState,
    name: str,
    primary: str,
    term: int,
    now: float,
) -> list[Effect]:
    """Return the effects that make one target follow a primary."""
    view = group.targets[name]
    view.follow_sent_at = now
    require_catch_up(group, name)
    follows = '' if view.status is None else view.status.follows
    cause = f'followed {follows or "nobody"}'
    return [
        record_decision(
            node_state,
            group,
            'follow_requested',
            cause,
            target=name,
            primary=primary,
        ),
        FollowPrimary(group.config.name, name, primary, term),
    ]


def _needs_follow(group: GroupState, view: TargetView, now: float) -> bool:
    status = view.status
    if status is None or status.fenced_term > group.term:
        return False
    follows = status.role is TargetRole.REPLICA and status.follows == group.primary
    if follows and status.term == group.term:
        return False
    if view.follow_sent_at is not None and now - view.follow_sent_at < REPAIR_INTERVAL_S:
        return False
    return is_reachable(view, now)
