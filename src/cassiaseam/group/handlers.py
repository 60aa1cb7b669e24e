"""Event handlers of the group role and the decisions after each event."""

from cassiaseam.configuration.model import (
    DatabaseConfig,
    DatabaseConfigured,
    DatabaseRemoved,
    OwnershipChanged,
    TargetState,
)
from cassiaseam.group.detection import (
    detect_failure,
    detect_inherited_locks,
    detect_leaving_primary,
    find_fenced_above,
    is_healthy,
    update_health,
)
from cassiaseam.group.events import PromotionRequested
from cassiaseam.group.failover import (
    advance_failover,
    handle_claim_answer,
    handle_fence_answer,
    handle_promote_answer,
    start_failover,
)
from cassiaseam.group.monitoring import (
    IDLE_POLL_INTERVAL_S,
    expedite_next_round,
    expire_polls,
    fail_poll,
    pop_due_groups,
    request_poll,
    schedule_group,
    start_due_polls,
)
from cassiaseam.group.records import record_decision
from cassiaseam.group.repair import mark_new_term, repair_followers
from cassiaseam.group.state import GroupState, TargetView
from cassiaseam.group.statuses import accept_status
from cassiaseam.membership.state import has_failed_member
from cassiaseam.reducer.common import Tick
from cassiaseam.reducer.node_state import NodeState
from cassiaseam.reducer.registry import Effect, handles
from cassiaseam.reducer.target_io import (
    FenceAnswered,
    FollowAnswered,
    PromoteAnswered,
    TargetStatusFailed,
    TargetStatusReceived,
    TermClaimAnswered,
)

# An instance that a failed promoter fenced cannot follow the current term. Promoting the primary
# again lets it rejoin; the delay gives that promoter time to succeed.
FENCED_ABOVE_GRACE_S = 2.0


@handles(DatabaseConfigured)
def apply_config(node_state: NodeState, event: DatabaseConfigured, now: float) -> list[Effect]:
    """Store a configuration unless a newer one is known, and apply it to the group."""
    config = event.config
    known = node_state.database_configs.get(config.name)
    if known is not None and known.version > config.version:
        return []
    node_state.database_configs[config.name] = config
    group = node_state.groups.get(config.name)
    if group is None:
        return []
    _apply_targets(group, config)
    group.next_round_at = now
    return advance_group(node_state, group, now)


@handles(DatabaseRemoved)
def remove_database(node_state: NodeState, event: DatabaseRemoved, now: float) -> list[Effect]:
    """Remove a database that is no longer configured."""
    node_state.database_configs.pop(event.database, None)
    _drop_group(node_state, event.database)
    return []


@handles(OwnershipChanged)
def change_ownership(node_state: NodeState, event: OwnershipChanged, now: float) -> list[Effect]:
    """Start or stop monitoring the group of a database."""
    if not event.owns:
        _drop_group(node_state, event.database)
        return []
    config = node_state.database_configs.get(event.database)
    monitored = node_state.groups.get(event.database)
    if monitored is not None and has_failed_member(node_state.membership):
        # This daemon adopted the database before. Its owner has failed since, possibly with new
        # open transactions.
        monitored.taken_over_at = now
    if config is None or monitored is not None:
        return []
    group = GroupState(config, due_heap=node_state.group_due, next_round_at=now)
    group.idle_phase_s = node_state.rng.uniform(0, IDLE_POLL_INTERVAL_S)
    group.known_term = node_state.group_terms.get(event.database, 0)
    if has_failed_member(node_state.membership):
        group.taken_over_at = now
    _apply_targets(group, config)
    node_state.groups[event.database] = group
    return advance_group(node_state, group, now)


@handles(Tick)
def run_due_groups(node_state: NodeState, event: Tick, now: float) -> list[Effect]:
    """Advance the groups whose timers are due."""
    effects: list[Effect] = []
    for group in pop_due_groups(node_state, now):
        effects.extend(advance_group(node_state, group, now))
    return effects


@handles(TargetStatusReceived)
def receive_status(
    node_state: NodeState,
    event: TargetStatusReceived,
    now: float,
) -> list[Effect]:
    """Process a reported status."""
    group = _find_group(node_state, event.database, event.target)
    if group is None or event.status.instance != event.target:
        return []
    effects: list[Effect] = []
    effects.extend(accept_status(node_state, group, event.started_at, event.status, now))
    effects.extend(advance_group(node_state, group, now))
    return effects


@handles(TargetStatusFailed)
def receive_poll_failure(
    node_state: NodeState,
    event: TargetStatusFailed,
    now: float,
) -> list[Effect]:
    """Record a failed poll."""
    group = _find_group(node_state, event.database, event.target)
    if group is None:
        return []
    fail_poll(group.targets[event.target], event.started_at)
    return advance_group(node_state, group, now)


@handles(TermClaimAnswered)
def receive_claim(node_state: NodeState, event: TermClaimAnswered, now: float) -> list[Effect]:
    """Continue a promotion after the claim of its term."""
    group = node_state.groups.get(event.database)
    if group is None:
        return []
    effects = handle_claim_answer(node_state, group, event, now)
    return effects + advance_group(node_state, group, now)


@handles(FenceAnswered)
def receive_fence(node_state: NodeState, event: FenceAnswered, now: float) -> list[Effect]:
    """Continue a promotion after the answer to a fence."""
    group = _find_group(node_state, event.database, event.target)
    if group is None:
        return []
    effects = handle_fence_answer(node_state, group, event, now)
    if event.status is not None:
        group.known_term = max(group.known_term, event.status.fenced_term)
    return effects + advance_group(node_state, group, now)


@handles(PromoteAnswered)
def receive_promotion(node_state: NodeState, event: PromoteAnswered, now: float) -> list[Effect]:
    """Continue a promotion after the answer of the chosen target."""
    group = _find_group(node_state, event.database, event.target)
    if group is None:
        return []
    effects = handle_promote_answer(node_state, group, event, now)
    return effects + advance_group(node_state, group, now)


@handles(FollowAnswered)
def receive_follow(node_state: NodeState, event: FollowAnswered, now: float) -> list[Effect]:
    """Poll after a successful follow, so that its effect shows at once."""
    group = _find_group(node_state, event.database, event.target)
    if group is None or not event.succeeded:
        return []
    return request_poll(group, now) + advance_group(node_state, group, now)


@handles(PromotionRequested)
def request_promotion(
    node_state: NodeState,
    event: PromotionRequested,
    now: float,
) -> list[Effect]:
    """Start a planned promotion, or record why it is not started."""
    group = node_state.groups.get(event.database)
    if group is None:
        return []
    update_health(group, now)
    refusal = _find_refusal(group, event.target)
    if refusal:
        record = record_decision(
            node_state,
            group,
            'promotion_refused',
            refusal,
            reason=event.reason,
        )
        return [record]
    effects = start_failover(
        node_state,
        group,
        now,
        event.reason,
        planned=True,
        preferred=event.target,
    )
    return effects + advance_group(node_state, group, now)


def advance_group(node_state: NodeState, group: GroupState, now: float) -> list[Effect]:
    """Run the due steps of one group and schedule its next timer."""
    expire_polls(group, now)
    update_health(group, now)
    effects: list[Effect] = []
    if group.failover is not None:
        effects.extend(advance_failover(node_state, group, now))
    elif not is_healthy(group):
        effects.extend(_repair_group(node_state, group, now))
    expedite_next_round(group, now)
    effects.extend(start_due_polls(group, now))
    schedule_group(group, now)
    return effects


def _repair_group(node_state: NodeState, group: GroupState, now: float) -> list[Effect]:
    effects: list[Effect] = []
    if now >= group.retry_at:
        effects.extend(_start_needed_promotion(node_state, group, now))
    if group.failover is None and group.no_primary_since is None:
        effects.extend(repair_followers(node_state, group, now))
        effects.extend(mark_new_term(group, now))
    return effects


def _start_needed_promotion(
    node_state: NodeState,
    group: GroupState,
    now: float,
) -> list[Effect]:
    cause = detect_failure(group, now)
    if cause:
        return start_failover(node_state, group, now, cause)
    cause = detect_leaving_primary(group, now)
    if cause:
        return start_failover(node_state, group, now, cause, planned=True)
    cause = detect_inherited_locks(group, now)
    if cause:
        group.taken_over_at = None
        return start_failover(node_state, group, now, cause, preferred=group.primary)
    if group.no_primary_since is not None or not find_fenced_above(group, now):
        group.fenced_above_since = None
        return []
    if group.fenced_above_since is None:
        group.fenced_above_since = now
    if now - group.fenced_above_since < FENCED_ABOVE_GRACE_S:
        return []
    group.fenced_above_since = None
    cause = 'an instance is fenced above the term in charge'
    return start_failover(
        node_state,
        group,
        now,
        cause,
        planned=True,
        preferred=group.primary,
    )


def _find_refusal(group: GroupState, target: str) -> str:
    if group.failover is not None:
        return 'a promotion is under way'
    if group.no_primary_since is not None:
        return 'no primary is in charge'
    if target and target not in group.targets:
        return f'unknown target {target!r}'
    return ''


def _find_group(node_state: NodeState, database: str, target: str) -> GroupState | None:
    group = node_state.groups.get(database)
    return group if group is not None and target in group.targets else None


def _apply_targets(group: GroupState, config: DatabaseConfig) -> None:
    group.config = config
    group.sampled_at.clear()
    group.draining = frozenset(
        target.name for target in config.targets if target.state is TargetState.DRAINING
    )
    names = [target.name for target in config.targets]
    for name in group.targets.keys() - set(names):
        del group.targets[name]
    for name in names:
        group.targets.setdefault(name, TargetView())


def _drop_group(node_state: NodeState, database: str) -> None:
    group = node_state.groups.pop(database, None)
    if group is not None:
        node_state.group_terms[database] = group.known_term
