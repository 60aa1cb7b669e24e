"""Promotion of another primary (docs/design.md, section 4, point 4)."""

from collections.abc import Callable

from cassiaseam.group.candidates import choose_candidate, list_counted_grants
from cassiaseam.group.monitoring import expedite_next_round, request_poll
from cassiaseam.group.quorum import (
    count_majority,
    is_leaving,
    is_reachable,
    require_catch_up,
)
from cassiaseam.group.records import record_decision
from cassiaseam.group.repair import follow_target
from cassiaseam.group.state import Failover, GroupState, Stage
from cassiaseam.reducer.node_state import NodeState
from cassiaseam.reducer.registry import Effect
from cassiaseam.reducer.target_io import (
    ClaimTerm,
    FenceAnswered,
    FenceTarget,
    PromoteAnswered,
    PromoteTarget,
    TermClaim,
    TermClaimAnswered,
)

CLAIM_TIMEOUT_S = 0.3
# Time to wait for further grants after a majority; more grants may include a more advanced log.
GRANT_GRACE_S = 0.1
RESEND_INTERVAL_S = 0.2
STAGE_TIMEOUT_S = 1.0
# Writes stop while a planned promotion waits for a replica to catch up, so the timeout is shorter
# than the maximum failover gap.
CATCH_UP_TIMEOUT_S = 1.0
BACKOFF_BASE_S = 0.1
MAX_BACKOFF_S = 2.0
MAX_BACKOFF_DOUBLINGS = 6


def start_failover(
    node_state: NodeState,
    group: GroupState,
    now: float,
    cause: str,
    planned: bool = False,
    preferred: str = '',
) -> list[Effect]:
    """Start a promotion with a term higher than every known one.

    Args:
        node_state: State of the daemon.
        group: State of the group, without an active promotion.
        now: Time in seconds.
        cause: Why the promotion is started.
        planned: Whether the promotion first waits for a replica to catch up with the current
            primary.
        preferred: Target to prefer among equally advanced ones, or ''.

    Returns:
        Effects that claim the term.
    """
    term = max(group.known_term, group.term) + 1
    group.known_term = term
    avoided = {name for name in group.targets if is_leaving(group, name)}
    # Avoid the old primary unless it is preferred: its replicas may not hear from it.
    if group.primary and preferred != group.primary:
        avoided.add(group.primary)
    group.failover = Failover(
        term=term,
        promoter=f'{node_state.vm}/{node_state.rng.getrandbits(64):016x}',
        cause=cause,
        started_at=now,
        planned=planned,
        preferred=preferred,
        avoided=frozenset(avoided),
        stage_started_at=now,
    )
    expedite_next_round(group, now)
    failover = group.failover
    return [
        record_decision(node_state, group, 'promotion_started', cause, promoter=failover.promoter),
        ClaimTerm(group.config.name, term, failover.promoter, CLAIM_TIMEOUT_S),
    ]


def advance_failover(node_state: NodeState, group: GroupState, now: float) -> list[Effect]:
    """Run the next step of the active promotion if it is due."""
    if group.failover is None:
        return []
    return _ADVANCE[group.failover.stage](node_state, group, now)


def abandon_failover(
    node_state: NodeState,
    group: GroupState,
    now: float,
    cause: str,
) -> list[Effect]:
    """Abandon the active promotion and delay the next one by a jittered exponential backoff."""
    record = record_decision(node_state, group, 'promotion_abandoned', cause)
    doublings = min(group.failed_attempts, MAX_BACKOFF_DOUBLINGS)
    delay_s = min(BACKOFF_BASE_S * 2**doublings, MAX_BACKOFF_S)
    group.retry_at = now + delay_s * node_state.rng.uniform(0.5, 1.5)
    group.failed_attempts += 1
    group.failover = None
    return [record]


def handle_claim_answer(
    node_state: NodeState,
    group: GroupState,
    answer: TermClaimAnswered,
    now: float,
) -> list[Effect]:
    """Continue after the claim of the term, or abandon the promotion on a conflict."""
    group.known_term = max(group.known_term, answer.recorded_term)
    failover = group.failover
    if failover is None or failover.stage is not Stage.CLAIM or answer.term != failover.term:
        return []
    if answer.outcome is TermClaim.CONFLICT:
        cause = f'term {answer.recorded_term} is claimed by {answer.recorded_promoter}'
        return abandon_failover(node_state, group, now, cause)
    return _finish_claim(node_state, group, now, f'claim {answer.outcome.value}')


def handle_fence_answer(
    node_state: NodeState,
    group: GroupState,
    answer: FenceAnswered,
    now: float,
) -> list[Effect]:
    """Record a grant or a refusal of the term."""
    failover = group.failover
    if failover is None or failover.stage is not Stage.FENCE or answer.term != failover.term:
        return []
    view = group.targets[answer.target]
    if answer.status is None:
        failover.unreached.add(answer.target)
    elif answer.status.incarnation == view.former_incarnation:
        return []
    elif answer.granted:
        failover.grants[answer.target] = answer.status
    else:
        failover.refused.add(answer.target)
    return _advance_fence(node_state, group, now)


def handle_promote_answer(
    node_state: NodeState,
    group: GroupState,
    answer: PromoteAnswered,
    now: float,
) -> list[Effect]:
    """Make the other targets follow the promoted one; its next status confirms the promotion."""
    failover = group.failover
    if failover is None or failover.stage is not Stage.PROMOTE or answer.term != failover.term:
        return []
    if answer.target != failover.chosen or not answer.succeeded:
        return []
    effects: list[Effect] = list(request_poll(group, now))
    for name in group.targets:
        if name != failover.chosen:
            effects.extend(
                follow_target(node_state, group, name, failover.chosen, failover.term, now),
            )
    return effects


def _advance_claim(node_state: NodeState, group: GroupState, now: float) -> list[Effect]:
    if now - group.failover.stage_started_at < CLAIM_TIMEOUT_S:
        return []
    return _finish_claim(node_state, group, now, 'no answer from the platform')


def _finish_claim(
    node_state: NodeState,
    group: GroupState,
    now: float,
    cause: str,
) -> list[Effect]:
    record = record_decision(node_state, group, 'term_chosen', cause)
    if not group.failover.planned:
        return [record, *_enter_fence(group, now)]
    group.failover.stage = Stage.CATCH_UP
    group.failover.stage_started_at = now
    return [record, *request_poll(group, now), *_advance_catch_up(node_state, group, now)]


def _advance_catch_up(node_state: NodeState, group: GroupState, now: float) -> list[Effect]:
    failover = group.failover
    waited_s = now - failover.stage_started_at
    if _has_caught_up(group, now) and (not group.open_writes or waited_s >= CATCH_UP_TIMEOUT_S):
        return _enter_fence(group, now)
    # Nothing is fenced yet, so the current primary keeps its role.
    if waited_s > CATCH_UP_TIMEOUT_S:
        return abandon_failover(node_state, group, now, 'no replica has all entries')
    return []


def _has_caught_up(group: GroupState, now: float) -> bool:
    """Return whether an eligible target holds the whole log of the primary."""
    failover = group.failover
    views = {
        name: view
        for name, view in group.targets.items()
        if is_reachable(view, now) and view.status_started_at >= failover.stage_started_at
    }
    primary = views.get(group.primary)
    if primary is None:
        return False
    return any(
        view.status.last >= primary.status.last
        for name, view in views.items()
        if name not in failover.avoided
    )


def _enter_fence(group: GroupState, now: float) -> list[Effect]:
    failover = group.failover
    failover.stage = Stage.FENCE
    failover.stage_started_at = now
    failover.fenced_at = now
    return _send_fences(group, now)


def _send_fences(group: GroupState, now: float) -> list[Effect]:
    failover = group.failover
    failover.sent_at = now
    failover.unreached.clear()
    for target in group.targets:
        require_catch_up(group, target)
    answered = failover.refused | failover.grants.keys()
    return [
        FenceTarget(group.config.name, name, failover.term, failover.promoter)
        for name in group.targets
        if name not in answered
    ]


def _advance_fence(node_state: NodeState, group: GroupState, now: float) -> list[Effect]:
    failover = group.failover
    majority = count_majority(group)
    if len(group.targets) - len(failover.refused) < majority:
        return abandon_failover(node_state, group, now, 'a majority refused the term')
    if len(list_counted_grants(group)) >= majority:
        if failover.majority_at is None:
            failover.majority_at = now
        answered = failover.refused | failover.unreached | failover.grants.keys()
        if len(answered) == len(group.targets) or now - failover.majority_at >= GRANT_GRACE_S:
            return _enter_promote(node_state, group, now)
        return []
    if now - failover.stage_started_at >= STAGE_TIMEOUT_S:
        return abandon_failover(node_state, group, now, 'no majority granted the term')
    return _send_fences(group, now) if now - failover.sent_at >= RESEND_INTERVAL_S else []


def _enter_promote(node_state: NodeState, group: GroupState, now: float) -> list[Effect]:
    failover = group.failover
    failover.chosen = choose_candidate(group)
    failover.stage = Stage.PROMOTE
    failover.stage_started_at = now
    granted = ','.join(sorted(failover.grants))
    cause = f'most advanced of {granted}'
    record = record_decision(node_state, group, 'target_chosen', cause, target=failover.chosen)
    return [record, *_send_promotion(group, now)]


def _send_promotion(group: GroupState, now: float) -> list[Effect]:
    failover = group.failover
    failover.sent_at = now
    return [
        PromoteTarget(group.config.name, failover.chosen, failover.term, failover.promoter),
    ]


def _advance_promote(node_state: NodeState, group: GroupState, now: float) -> list[Effect]:
    # From here on the term is bound to the chosen target. Another target needs a new term, because
    # this promotion may have taken effect although its answer was lost.
    failover = group.failover
    if now - failover.stage_started_at >= STAGE_TIMEOUT_S:
        return abandon_failover(node_state, group, now, f'{failover.chosen} was not confirmed')
    return _send_promotion(group, now) if now - failover.sent_at >= RESEND_INTERVAL_S else []


_ADVANCE: dict[Stage, Callable[[NodeState, GroupState, float], list[Effect]]] = {
    Stage.CLAIM: _advance_claim,
    Stage.CATCH_UP: _advance_catch_up,
    Stage.FENCE: _advance_fence,
    Stage.PROMOTE: _advance_promote,
}
