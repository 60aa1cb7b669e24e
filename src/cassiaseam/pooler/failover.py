"""Promotes another target when the primary leaves, fails or is unreachable.

A VM acts while it holds the promotion lease, see `duty`. A primary that answers is demoted first,
and a replica has to catch up with it. Then enough targets are fenced that no majority can still
acknowledge commits of an older term, and the most up-to-date fenced target is promoted.
"""

from cassiaseam.pooler import candidates, connections, detection, duty, fencing, quorum
from cassiaseam.pooler.commands import Demote, Fence, TargetReply
from cassiaseam.pooler.events import (
    CallPromotion,
    LeaseRead,
    LeaseReadFailed,
    LeaseWritten,
    PromotionAnswered,
    WriteLog,
)
from cassiaseam.pooler.evidence import log_loss
from cassiaseam.pooler.notices import decisions as notices
from cassiaseam.pooler.state import (
    GroupView,
    Job,
    PoolerState,
    Promotion,
    PromotionStage,
)
from cassiaseam.pooler.target_use.causes import PollCause
from cassiaseam.reducer.registry import handles

# Maximum jitter in seconds between the claims of the VMs.
CLAIM_JITTER_S = 0.15
# Minimum backoff in seconds after a failed attempt; jitter up to doubles it.
RETRY_BACKOFF_S = 0.4
# Timeouts in seconds of the stages.
DEMOTE_TIMEOUT_S = 0.5
CATCH_UP_TIMEOUT_S = 1.0
# Shorter than the lease, which is therefore not renewed for an attempt that cannot succeed.
FENCE_TIMEOUT_S = 1.8
AWAIT_PRIMARY_TIMEOUT_S = 2.0
ATTEMPT_TIMEOUT_S = 6.0
# Seconds after which the commands or the call of a stage are sent again.
RESEND_INTERVAL_S = 0.3
# Seconds between status polls while a stage waits for a position or a role.
POLL_INTERVAL_S = 0.03
# Seconds after a promotion for which the former primary is told to step down.
DEMOTE_FORMER_DURATION_S = 6.0
# Stages that change targets. Once the lease has expired, another VM may rely on its own fences.
LEASE_STAGES = frozenset(
    (
        PromotionStage.DEMOTE,
        PromotionStage.CATCH_UP,
        PromotionStage.FENCE,
        PromotionStage.PROMOTE,
    )
)


def check_primary(state: PoolerState, group: GroupView, now: float) -> list:
    """Start a promotion when the primary has to be replaced."""
    effects = detection.survey_targets(state, group, now)
    if group.promotion is not None:
        return effects + advance_promotion(state, group, now)
    effects += fencing.demote_former_primary(state, group, now)
    cause, planned = detection.find_promotion_cause(group, now)
    if not cause:
        group.promotion_not_before = None
        return effects
    if group.promotion_not_before is None:
        group.promotion_not_before = now + state.rng.random() * CLAIM_JITTER_S
    may_start = state.store_reachable and state.sizes.known and state.stopping_since is None
    if not may_start or now < max(group.promotion_not_before, group.retry_promotion_at):
        return effects
    return effects + start_promotion(state, group, cause, planned, now)


def start_promotion(
    state: PoolerState, group: GroupView, cause: str, planned: bool, now: float
) -> list:
    """Start a promotion, which begins with acquiring the lease."""
    group.promotion = Promotion(
        cause, now, planned, PromotionStage.AWAIT_LEASE, now, old_primary=group.monitor.primary
    )
    log = WriteLog(
        'promotion_considered',
        {
            'group': group.name,
            'cause': cause,
            'primary': group.monitor.primary,
            'term': group.monitor.term,
            'targets': len(group.targets),
            'group_size': group.size,
        },
    )
    return [log, *run_lease_step(state, group, group.promotion, now)]


def find_groups_awaiting_lease(state: PoolerState) -> list[GroupView]:
    """Return the groups whose promotion waits for the lease."""
    return [
        group
        for group in state.groups.values()
        if group.promotion is not None and group.promotion.stage is PromotionStage.AWAIT_LEASE
    ]


@handles(LeaseRead)
def handle_lease_record(state: PoolerState, event: LeaseRead, now: float) -> list:
    """Claim the lease when it is available, or resolve a claim without an answer."""
    return apply_lease_update(state, duty.process_lease_record(state, event, now), now)


@handles(LeaseReadFailed)
def handle_lease_read_failure(state: PoolerState, event: LeaseReadFailed, now: float) -> list:
    """Abort the waiting promotions when the lease record cannot be read."""
    return apply_lease_update(state, duty.process_failed_read(state), now)


@handles(LeaseWritten)
def handle_lease_write(state: PoolerState, event: LeaseWritten, now: float) -> list:
    """Use the lease when the claim was written, or find out whether it was."""
    return apply_lease_update(state, duty.process_lease_write(state, event, now), now)


def apply_lease_update(state: PoolerState, step: duty.LeaseUpdate, now: float) -> list:
    """Continue or abort the promotions that wait for the lease."""
    effects: list = list(step.effects)
    for group in find_groups_awaiting_lease(state) if step.is_settled else []:
        if step.refusal:
            effects.extend(abort_promotion(state, group, step.refusal, now))
        else:
            effects.extend(proceed_with_lease(state, group, now))
    return effects


def run_lease_step(state: PoolerState, group: GroupView, promotion: Promotion, now: float) -> list:
    """Continue under the lease that this VM holds, or request it."""
    if duty.is_lease_valid(state, now):
        return proceed_with_lease(state, group, now)
    return duty.request_lease(state, now)


def proceed_with_lease(state: PoolerState, group: GroupView, now: float) -> list:
    """Choose the new term and begin to change targets, under a lease that this VM holds."""
    promotion = group.promotion
    promotion.token = state.lease.token
    # Fences of an earlier attempt do not count for the new term.
    promotion.fenced_positions = {}
    promotion.final_position = None
    promotion.announced_at = None
    monitor = group.monitor
    if is_obsolete(group, now):
        return abort_promotion(state, group, 'the primary is in charge again', now)
    terms = [monitor.term, monitor.known_term]
    fenced_terms = []
    for view in monitor.targets.values():
        if view.status is not None:
            terms.append(view.status.term)
            fenced_terms.append(view.status.fenced_term)
    promotion.base_term = max(terms)
    promotion.term = max(terms + fenced_terms) + 1
    log = WriteLog(
        'promotion_started',
        {
            'group': group.name,
            'cause': promotion.cause,
            'term': promotion.term,
            'fencing': promotion.token,
            'planned': promotion.planned,
            'primary': promotion.old_primary,
        },
    )
    if promotion.cause == 'abandoned_fence':
        return [log, *lift_abandoned_fences(state, group, now)]
    stage = PromotionStage.DEMOTE if promotion.planned else PromotionStage.FENCE
    enter_stage(promotion, stage, now)
    return [log, *advance_promotion(state, group, now)]


def lift_abandoned_fences(state: PoolerState, group: GroupView, now: float) -> list:
    """Lift the fences that an unfinished promotion left behind."""
    if not duty.may_lift_fences(state, now):
        return abort_promotion(state, group, 'the claim is too old to lift fences', now)
    effects = lift_fences_and_keep_lease(state, group, now)
    return effects + complete_promotion(state, group, now)


def lift_fences_and_keep_lease(state: PoolerState, group: GroupView, now: float) -> list:
    """Lift fences by commands that are sent at once, and keep the lease until it expires.

    A fence that is lifted later could be one that the next holder relies on.
    """
    effects = fencing.lift_fences(state, group, now)
    fencing.cancel_unsent_commands(group)
    state.lease.fences_lifted = state.lease.fences_lifted or bool(effects)
    return effects


def renew_lease(state: PoolerState, group: GroupView, now: float) -> list:
    """Request the lease again after it has expired; no target gets a command meanwhile."""
    promotion = group.promotion
    fencing.cancel_unsent_commands(group)
    promotion.token = 0
    enter_stage(promotion, PromotionStage.AWAIT_LEASE, now)
    return duty.request_lease(state, now)


def is_obsolete(group: GroupView, now: float) -> bool:
    """Return whether the primary no longer has to be replaced."""
    return not detection.find_promotion_cause(group, now)[0]


def enter_stage(promotion: Promotion, stage: PromotionStage, now: float) -> None:
    """Enter a stage of the promotion."""
    promotion.stage = stage
    promotion.stage_started_at = now
    promotion.sent_at = -1


def advance_promotion(state: PoolerState, group: GroupView, now: float) -> list:
    """Run the current stage, and abort the promotion when it takes too long."""
    promotion = group.promotion
    if now - promotion.started_at > ATTEMPT_TIMEOUT_S:
        return abort_promotion(state, group, f'timed out at {promotion.stage.value}', now)
    if promotion.stage in LEASE_STAGES and not duty.is_lease_valid(state, now):
        return renew_lease(state, group, now)
    step = STEPS.get(promotion.stage)
    return step(state, group, promotion, now) if step else []


def run_demote_step(
    state: PoolerState, group: GroupView, promotion: Promotion, now: float
) -> list:
    """Demote the primary, after which its log does not grow."""
    if (
        now - promotion.stage_started_at > DEMOTE_TIMEOUT_S
        or promotion.old_primary not in group.targets
    ):
        enter_stage(promotion, PromotionStage.FENCE, now)
        return run_fence_step(state, group, promotion, now)
    if promotion.sent_at >= 0:
        return []
    promotion.sent_at = now
    effects: list = []
    if duty.may_lift_fences(state, now):
        effects += lift_fences_and_keep_lease(state, group, now)
    command = Demote(promotion.term)
    return effects + fencing.send_control_command(
        state, group, promotion.old_primary, command, now
    )


def run_catch_up_step(
    state: PoolerState, group: GroupView, promotion: Promotion, now: float
) -> list:
    """Wait until a replica holds the whole log of the demoted primary, then fence.

    Another target may lead a newer term that this VM does not know of. The fences prevent it from
    acknowledging commits that the promoted target lacks.
    """
    for name in candidates.list_candidates(state, group, now):
        status = group.monitor.targets[name].status
        if status is not None and status.last >= promotion.final_position:
            enter_stage(promotion, PromotionStage.FENCE, now)
            return run_fence_step(state, group, promotion, now)
    if now - promotion.stage_started_at > CATCH_UP_TIMEOUT_S:
        enter_stage(promotion, PromotionStage.FENCE, now)
        return []
    if now - promotion.sent_at < POLL_INTERVAL_S:
        return []
    promotion.sent_at = now
    effects: list = []
    for name in candidates.list_candidates(state, group, now):
        cause = PollCause.PROMOTION
        effects.extend(connections.submit_status_poll(state, group, name, cause, now))
    return effects


def run_fence_step(state: PoolerState, group: GroupView, promotion: Promotion, now: float) -> list:
    """Fence the replicas and tell the former primary to step down."""
    if quorum.has_fence_quorum(group, promotion.fenced_positions, now):
        chosen = candidates.choose_most_up_to_date(group, promotion, now)
        if chosen:
            return promote(state, group, chosen, now)
    if now - promotion.stage_started_at > FENCE_TIMEOUT_S:
        # The fences stay until the next promotion, or until a VM lifts them as abandoned.
        return abort_promotion(
            state, group, f'only {len(promotion.fenced_positions)} targets were fenced', now
        )
    if promotion.sent_at >= 0 and now - promotion.sent_at < RESEND_INTERVAL_S:
        return []
    promotion.sent_at = now
    effects: list = []
    for name in group.targets:
        if name not in promotion.fenced_positions:
            is_old = name == promotion.old_primary and promotion.final_position is None
            command = Demote(promotion.term) if is_old else Fence(promotion.term)
            effects += fencing.send_control_command(state, group, name, command, now)
    return effects


def run_promote_step(
    state: PoolerState, group: GroupView, promotion: Promotion, now: float
) -> list:
    """Call the platform, and repeat the call until it is accepted."""
    if promotion.sent_at >= 0 and now - promotion.sent_at < RESEND_INTERVAL_S:
        return notices.announce_promotion(state, group, promotion, now)
    return call_platform(state, group, now)


def run_await_primary_step(
    state: PoolerState, group: GroupView, promotion: Promotion, now: float
) -> list:
    """Wait until the promoted target leads."""
    if group.monitor.primary == promotion.chosen:
        return complete_promotion(state, group, now)
    if now - promotion.stage_started_at > AWAIT_PRIMARY_TIMEOUT_S:
        return abort_promotion(state, group, 'the promoted target does not lead', now)
    effects = notices.announce_promotion(state, group, promotion, now)
    if now - promotion.sent_at < POLL_INTERVAL_S:
        return effects
    promotion.sent_at = now
    if promotion.chosen not in group.targets:
        return effects + abort_promotion(state, group, 'the promoted target is gone', now)
    cause = PollCause.PROMOTION
    return effects + connections.submit_status_poll(state, group, promotion.chosen, cause, now)


STEPS = {
    PromotionStage.AWAIT_LEASE: run_lease_step,
    PromotionStage.DEMOTE: run_demote_step,
    PromotionStage.CATCH_UP: run_catch_up_step,
    PromotionStage.FENCE: run_fence_step,
    PromotionStage.PROMOTE: run_promote_step,
    PromotionStage.AWAIT_PRIMARY: run_await_primary_step,
}


def promote(state: PoolerState, group: GroupView, name: str, now: float) -> list:
    """Call the platform to promote a target."""
    promotion = group.promotion
    promotion.chosen = name
    promotion.announced_at = None
    enter_stage(promotion, PromotionStage.PROMOTE, now)
    return call_platform(state, group, now)


def call_platform(state: PoolerState, group: GroupView, now: float) -> list:
    """Call the platform under a valid lease, and renew an expired one first."""
    promotion = group.promotion
    if not duty.is_lease_valid(state, now):
        return renew_lease(state, group, now)
    promotion.token = state.lease.token
    promotion.sent_at = now
    send_by = duty.record_call_start(state, now)
    log = WriteLog(
        'promotion_called',
        {
            'group': group.name,
            'target': promotion.chosen,
            'fencing': promotion.token,
            'claim_age_ms': round((now - state.lease.claimed_at) * 1000),
        },
    )
    call = CallPromotion(group.name, promotion.chosen, state.vm, promotion.token, send_by)
    return [log, call, *notices.announce_promotion(state, group, promotion, now)]


@handles(PromotionAnswered)
def handle_platform_answer(state: PoolerState, event: PromotionAnswered, now: float) -> list:
    """Wait for the promoted target, repeat the call, or choose another target.

    An unanswered call may have been carried out, which ends the fences. No other target may be
    promoted on the strength of these fences, so the call is repeated for the same one.
    """
    duty.record_call_end(state, event.may_arrive, now)
    log = WriteLog(
        'promotion_answered',
        {
            'group': event.group,
            'target': event.target,
            'accepted': event.accepted,
            'cause': event.reason,
            'fencing': event.fencing_token,
            'may_have_run': event.accepted or event.may_have_run,
            'may_arrive': event.may_arrive,
        },
    )
    group = state.groups.get(event.group)
    promotion = group.promotion if group else None
    if promotion is None or promotion.chosen != event.target:
        return [log]
    if event.accepted and promotion.stage is PromotionStage.PROMOTE:
        enter_stage(promotion, PromotionStage.AWAIT_PRIMARY, now)
    elif not event.accepted and not event.may_have_run:
        promotion.fenced_positions.pop(event.target, None)
        enter_stage(promotion, PromotionStage.FENCE, now)
    return [log]


def handle_control_reply(
    state: PoolerState, group: GroupView, name: str, job: Job, reply: TargetReply, now: float
) -> list:
    """Handle the reply to a fence or a demotion."""
    promotion = group.promotion
    if promotion is None or reply.status is None or not promotion.token:
        return []
    command = job.command
    # What a target has lost may be missing in all other targets that are fenced.
    is_fenced = reply.status.fenced_term >= promotion.term and log_loss.counts_as_evidence(
        group, name, reply.status
    )
    if isinstance(command, Demote) and command.term == promotion.term:
        if not reply.status.is_primary:
            promotion.final_position = reply.status.last
            if is_fenced:
                promotion.fenced_positions[name] = reply.status.last
            if promotion.stage is PromotionStage.DEMOTE:
                enter_stage(promotion, PromotionStage.CATCH_UP, now)
    elif isinstance(command, Fence) and is_fenced:
        promotion.fenced_positions[name] = reply.status.last
    return advance_promotion(state, group, now)


def forget_lost_fence(group: GroupView, name: str) -> None:
    """Fence a target again that may have restarted before a promotion was called for.

    A fence that ends after the call cannot be replaced: a target that is fenced then would not
    follow the new primary.
    """
    promotion = group.promotion
    if promotion is None or promotion.stage is not PromotionStage.FENCE:
        return
    if promotion.fenced_positions.pop(name, None) is not None:
        promotion.sent_at = -1


def abort_promotion(state: PoolerState, group: GroupView, reason: str, now: float) -> list:
    """End an attempt that did not succeed, and retry after a backoff."""
    log = WriteLog(
        'promotion_ended',
        {'group': group.name, 'outcome': 'given_up', 'cause': reason},
    )
    group.retry_promotion_at = now + RETRY_BACKOFF_S * (1 + state.rng.random())
    return [log, *clear_promotion(state, group, now)]


def complete_promotion(state: PoolerState, group: GroupView, now: float) -> list:
    """End a successful attempt."""
    promotion = group.promotion
    log = WriteLog(
        'promotion_ended',
        {
            'group': group.name,
            'outcome': 'done',
            'target': promotion.chosen,
            'term': group.monitor.term,
            'took_ms': round((now - promotion.started_at) * 1000),
        },
    )
    group.demote_until = now + DEMOTE_FORMER_DURATION_S
    group.promotion_not_before = None
    return [log, *clear_promotion(state, group, now)]


def clear_promotion(state: PoolerState, group: GroupView, now: float) -> list:
    """Remove an attempt, and release the lease unless another group still needs it."""
    fencing.cancel_unsent_commands(group)
    group.promotion = None
    if any(other.promotion is not None for other in state.groups.values()):
        return []
    return duty.release_lease(state, now)
