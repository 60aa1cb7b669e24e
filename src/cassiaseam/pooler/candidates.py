"""Choice of the target to promote when a primary is replaced."""

from cassiaseam.pooler import routing
from cassiaseam.pooler.state import GroupView, PoolerState, Promotion, TargetState

# Seconds to wait for an up-to-date target that stays before one that is leaving is promoted.
PREFERRED_CANDIDATE_WAIT_S = 0.5


def list_candidates(state: PoolerState, group: GroupView, now: float) -> list[str]:
    """Return the targets that may become the primary, nearest first."""
    promotion = group.promotion
    return [
        name
        for name in routing.list_replicas_by_access_cost(state, group, now)
        if name != promotion.old_primary and is_promotable(group.targets[name])
    ]


def is_promotable(target: TargetState) -> bool:
    """Return whether a target is reachable, has a record and is not leaving.

    A target without a record would be replaced as soon as it leads.
    """
    in_store = not target.record.leaving and target.missing_since is None
    return in_store and target.unreachable_since is None and not target.failure_streak.is_long()


def choose_most_up_to_date(group: GroupView, promotion: Promotion, now: float) -> str:
    """Return a fenced target with the highest position of all fenced targets, or ''.

    A target that is leaving, has no record or is the primary to replace is only chosen when no
    other one has that position after `PREFERRED_CANDIDATE_WAIT_S`: without a primary the others
    cannot catch up.
    """
    if not promotion.fenced_positions:
        return ''
    most = max(promotion.fenced_positions.values())
    complete = [
        name
        for name, position in promotion.fenced_positions.items()
        if position >= most and name in group.targets
    ]
    preferred = [
        name
        for name in complete
        if name != promotion.old_primary and is_promotable(group.targets[name])
    ]
    if preferred:
        return preferred[0]
    if now - promotion.stage_started_at < PREFERRED_CANDIDATE_WAIT_S:
        return ''
    reachable = [name for name in complete if group.targets[name].unreachable_since is None]
    return reachable[0] if reachable else ''
