"""Which target is promoted when a primary is replaced."""

from cassiaseam.pooler import routing
from cassiaseam.pooler.state import GroupView, PoolerState, Promotion, TargetState

# Seconds for which targets that leave are not promoted while others may turn out to be complete.
PREFERENCE_S = 0.5


def list_candidates(state: PoolerState, group: GroupView, now: float) -> list[str]:
    """Return the targets that may become the primary, near ones first."""
    promotion = group.promotion
    return [
        name
        for name in routing.list_replicas_by_access_cost(state, group, now)
        if name != promotion.old_primary and may_lead(group.targets[name])
    ]


def may_lead(target: TargetState) -> bool:
    """Return whether a target stays long enough to be promoted.

    One without a record would be replaced as soon as it leads.
    """
    in_store = not target.record.leaving and target.missing_since is None
    return in_store and target.unreachable_since is None


def choose_most_complete(group: GroupView, promotion: Promotion, now: float) -> str:
    """Return the fenced target that holds all that any fenced target holds, or ''.

    A target that leaves, has no record or is the former primary is only chosen when no other one
    is complete after `PREFERENCE_S`: without a primary the others cannot catch up.
    """
    if not promotion.grants:
        return ''
    most = max(promotion.grants.values())
    complete = [
        name
        for name, position in promotion.grants.items()
        if position >= most and name in group.targets
    ]
    preferred = [
        name
        for name in complete
        if name != promotion.old_primary and may_lead(group.targets[name])
    ]
    if preferred:
        return preferred[0]
    if now - promotion.stage_at < PREFERENCE_S:
        return ''
    reachable = [name for name in complete if group.targets[name].unreachable_since is None]
    return reachable[0] if reachable else ''
