"""Promotion of another target when the primary leaves, fails or is cut off.

A VM acts while it holds the duty to promote, see `duty`. A primary that answers is demoted first,
and a replica has to catch up with it. Then enough targets are fenced that no majority can
acknowledge commits of an older term any longer, and one that holds the most is promoted.
"""

from cassiaseam.pooler import candidates, connections, detection, fencing, lease, quorum
from cassiaseam.pooler.commands import Demote, Fence, TargetReply
from cassiaseam.pooler.events import (
    CallPromotion,
    DutyRead,
    DutyReadFailed,
    DutyWritten,
    PromotionAnswered,
    WriteLog,
)
from cassiaseam.pooler.state import (
    GroupView,
    Job,
    PoolerState,
    Promotion,
    PromotionStage,
)
from cassiaseam.reducer.registry import handles

# Longest random pause in seconds by which the VMs spread their claims.
CLAIM_SPREAD_S = 0.15
# Pause in seconds after a failed attempt.
RETRY_PAUSE_S = 0.4
# Longest duration in seconds of the steps.
DEMOTE_LIMIT_S = 0.5
CATCH_UP_LIMIT_S = 1.0
# Ends before the claim does, so that the claim is not renewed for an attempt without prospects.
FENCE_LIMIT_S = 1.8
AWAIT_LIMIT_S = 2.0
ATTEMPT_LIMIT_S = 6.0
# Pause in seconds before a message of a step is sent again.
RESEND_S = 0.3
# Pause in seconds between status polls while a step waits for a position or a role.
POLL_S = 0.03
# Seconds for which a former primary is told to step down.
DEMOTE_FORMER_S = 6.0
# Steps that change targets. Another VM may rely on its own fences once the claim has expired.
STAGES_UNDER_CLAIM = frozenset(
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
    cause, planned = detection.find_cause(group, now)
    if not cause:
        group.cause_since = None
        return effects
    if group.cause_since is None:
        group.cause_since = now + state.rng.random() * CLAIM_SPREAD_S
    may_start = state.store_reachable and state.sizes.known and state.stopping_since is None
    if not may_start or now < max(group.cause_since, group.retry_promotion_at):
        return effects
    return effects + start_promotion(state, group, cause, planned, now)


def start_promotion(
    state: PoolerState, group: GroupView, cause: str, planned: bool, now: float
) -> list:
    """Ask for the duty, the first step of a promotion."""
    group.promotion = Promotion(
        cause, now, planned, PromotionStage.AWAIT_DUTY, now, old_primary=group.monitor.primary
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
    return [log, *run_duty_step(state, group, group.promotion, now)]


def find_waiting(state: PoolerState) -> list[GroupView]:
    """Return the groups whose promotion waits for the duty."""
    return [
        group
        for group in state.groups.values()
        if group.promotion is not None and group.promotion.stage is PromotionStage.AWAIT_DUTY
    ]


@handles(DutyRead)
def handle_duty_record(state: PoolerState, event: DutyRead, now: float) -> list:
    """Claim the duty when it is free, or learn what became of a claim without an answer."""
    return settle_duty(state, lease.take_record(state, event, now), now)


@handles(DutyReadFailed)
def handle_failed_read(state: PoolerState, event: DutyReadFailed, now: float) -> list:
    """Try again later when the duty record cannot be read."""
    return settle_duty(state, lease.take_failed_read(state), now)


@handles(DutyWritten)
def handle_claim_result(state: PoolerState, event: DutyWritten, now: float) -> list:
    """Use a claim that was written, or find out what became of it."""
    return settle_duty(state, lease.take_written(state, event, now), now)


def settle_duty(state: PoolerState, step: lease.DutyStep, now: float) -> list:
    """Let the promotions that wait for the duty go on or end."""
    effects: list = list(step.effects)
    for group in find_waiting(state) if step.is_settled else []:
        if step.refusal:
            effects.extend(give_up(state, group, step.refusal, now))
        else:
            effects.extend(use_claim(state, group, now))
    return effects


def run_duty_step(state: PoolerState, group: GroupView, promotion: Promotion, now: float) -> list:
    """Go on with the claim that this VM holds, or ask for the duty."""
    if lease.is_claim_valid(state, now):
        return use_claim(state, group, now)
    return lease.request_duty(state, now)


def use_claim(state: PoolerState, group: GroupView, now: float) -> list:
    """Begin with the targets once the duty is held."""
    promotion = group.promotion
    promotion.token = state.duty.token
    # Fences of an earlier attempt prove nothing under the new term.
    promotion.grants = {}
    promotion.final = None
    monitor = group.monitor
    if is_obsolete(group, now):
        return give_up(state, group, 'the primary is in charge again', now)
    terms = [monitor.term, monitor.known_term]
    for view in monitor.targets.values():
        if view.status is not None:
            terms += [view.status.term, view.status.fenced_term]
    promotion.term = max(terms) + 1
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
    """Lift the fences that a VM has left behind."""
    if not lease.may_lift_fences(state, now):
        return give_up(state, group, 'the claim is too old to lift fences', now)
    effects = lift_fences_now(state, group, now)
    return effects + end_promotion(state, group, now)


def lift_fences_now(state: PoolerState, group: GroupView, now: float) -> list:
    """Lift fences by commands that leave at once, and keep the claim until it lapses.

    A fence that is lifted late would be one on which the next holder counts.
    """
    effects = fencing.lift_fences(state, group, now)
    fencing.cancel_unsent_commands(group)
    state.duty.lifted = state.duty.lifted or bool(effects)
    return effects


def renew_claim(state: PoolerState, group: GroupView, now: float) -> list:
    """Ask for the duty again when the claim has expired; nothing is sent to targets meanwhile."""
    promotion = group.promotion
    fencing.cancel_unsent_commands(group)
    promotion.token = 0
    enter_stage(promotion, PromotionStage.AWAIT_DUTY, now)
    return lease.request_duty(state, now)


def is_obsolete(group: GroupView, now: float) -> bool:
    """Return whether the reason for a promotion is gone."""
    return not detection.find_cause(group, now)[0]


def enter_stage(promotion: Promotion, stage: PromotionStage, now: float) -> None:
    """Go on to the next step."""
    promotion.stage = stage
    promotion.stage_at = now
    promotion.sent_at = -1


def advance_promotion(state: PoolerState, group: GroupView, now: float) -> list:
    """Send what the current step needs, and end steps that take too long."""
    promotion = group.promotion
    if now - promotion.started_at > ATTEMPT_LIMIT_S:
        return give_up(state, group, f'timed out at {promotion.stage.value}', now)
    if promotion.stage in STAGES_UNDER_CLAIM and not lease.is_claim_valid(state, now):
        return renew_claim(state, group, now)
    step = STEPS.get(promotion.stage)
    return step(state, group, promotion, now) if step else []


def run_demote_step(
    state: PoolerState, group: GroupView, promotion: Promotion, now: float
) -> list:
    """Ask the primary to step down, so that its log is complete."""
    if now - promotion.stage_at > DEMOTE_LIMIT_S or promotion.old_primary not in group.targets:
        enter_stage(promotion, PromotionStage.FENCE, now)
        return run_fence_step(state, group, promotion, now)
    if promotion.sent_at >= 0:
        return []
    promotion.sent_at = now
    effects: list = []
    if lease.may_lift_fences(state, now):
        effects += lift_fences_now(state, group, now)
    command = Demote(promotion.term)
    return effects + fencing.send_control(state, group, promotion.old_primary, command, now)


def run_catch_up_step(
    state: PoolerState, group: GroupView, promotion: Promotion, now: float
) -> list:
    """Wait until a replica holds the whole log of the demoted primary, then fence.

    Another target may lead a newer term without this VM knowing; the fences exclude that it
    acknowledges commits which the promoted target lacks.
    """
    for name in candidates.list_candidates(state, group, now):
        status = group.monitor.targets[name].status
        if status is not None and status.last >= promotion.final:
            enter_stage(promotion, PromotionStage.FENCE, now)
            return run_fence_step(state, group, promotion, now)
    if now - promotion.stage_at > CATCH_UP_LIMIT_S:
        enter_stage(promotion, PromotionStage.FENCE, now)
        return []
    if now - promotion.sent_at < POLL_S:
        return []
    promotion.sent_at = now
    effects: list = []
    for name in candidates.list_candidates(state, group, now):
        effects.extend(connections.submit_status_poll(state, group, name, now))
    return effects


def run_fence_step(state: PoolerState, group: GroupView, promotion: Promotion, now: float) -> list:
    """Fence the replicas and tell the former primary to step down."""
    if quorum.are_fences_enough(group, promotion.grants, now):
        chosen = candidates.choose_most_complete(group, promotion, now)
        if chosen:
            return promote(state, group, chosen, now)
    if now - promotion.stage_at > FENCE_LIMIT_S:
        # The fences stay until the next promotion, or until some VM lifts them as abandoned.
        return give_up(state, group, f'only {len(promotion.grants)} targets were fenced', now)
    if promotion.sent_at >= 0 and now - promotion.sent_at < RESEND_S:
        return []
    promotion.sent_at = now
    effects: list = []
    for name in group.targets:
        if name not in promotion.grants:
            is_old = name == promotion.old_primary and promotion.final is None
            command = Demote(promotion.term) if is_old else Fence(promotion.term)
            effects += fencing.send_control(state, group, name, command, now)
    return effects


def run_promote_step(
    state: PoolerState, group: GroupView, promotion: Promotion, now: float
) -> list:
    """Call the platform, again after a pause when it did not accept."""
    if promotion.sent_at >= 0 and now - promotion.sent_at < RESEND_S:
        return []
    return call_platform(state, group, now)


def run_await_step(state: PoolerState, group: GroupView, promotion: Promotion, now: float) -> list:
    """Wait until the promoted target leads."""
    if group.monitor.primary == promotion.chosen:
        return end_promotion(state, group, now)
    if now - promotion.stage_at > AWAIT_LIMIT_S:
        return give_up(state, group, 'the promoted target does not lead', now)
    if now - promotion.sent_at < POLL_S:
        return []
    promotion.sent_at = now
    return (
        connections.submit_status_poll(state, group, promotion.chosen, now)
        if (promotion.chosen in group.targets)
        else give_up(state, group, 'the promoted target is gone', now)
    )


STEPS = {
    PromotionStage.AWAIT_DUTY: run_duty_step,
    PromotionStage.DEMOTE: run_demote_step,
    PromotionStage.CATCH_UP: run_catch_up_step,
    PromotionStage.FENCE: run_fence_step,
    PromotionStage.PROMOTE: run_promote_step,
    PromotionStage.AWAIT: run_await_step,
}


def promote(state: PoolerState, group: GroupView, name: str, now: float) -> list:
    """Make the platform promote a target."""
    promotion = group.promotion
    promotion.chosen = name
    enter_stage(promotion, PromotionStage.PROMOTE, now)
    return call_platform(state, group, now)


def call_platform(state: PoolerState, group: GroupView, now: float) -> list:
    """Call the platform while the claim is valid, and claim again otherwise."""
    promotion = group.promotion
    if not lease.is_claim_valid(state, now):
        return renew_claim(state, group, now)
    promotion.token = state.duty.token
    promotion.sent_at = now
    send_by = lease.note_call(state, now)
    log = WriteLog(
        'promotion_called',
        {
            'group': group.name,
            'target': promotion.chosen,
            'fencing': promotion.token,
            'claim_age_ms': round((now - state.duty.claimed_at) * 1000),
        },
    )
    call = CallPromotion(group.name, promotion.chosen, state.vm, promotion.token, send_by)
    return [log, call]


@handles(PromotionAnswered)
def handle_platform_answer(state: PoolerState, event: PromotionAnswered, now: float) -> list:
    """Wait for the promoted target, call again, or choose another one.

    A call without an answer may have been carried out, which ends the fences: another target must
    not be promoted on them, so the same one is called again.
    """
    lease.note_call_ended(state, event.may_arrive, now)
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
        enter_stage(promotion, PromotionStage.AWAIT, now)
    elif not event.accepted and not event.may_have_run:
        promotion.grants.pop(event.target, None)
        enter_stage(promotion, PromotionStage.FENCE, now)
    return [log]


def handle_control_reply(
    state: PoolerState, group: GroupView, name: str, job: Job, reply: TargetReply, now: float
) -> list:
    """Take the reply to a fence or a demotion."""
    promotion = group.promotion
    if promotion is None or reply.status is None or not promotion.token:
        return []
    command = job.command
    if isinstance(command, Demote) and command.term == promotion.term:
        if not reply.status.is_primary:
            promotion.final = reply.status.last
            if reply.status.fenced_term >= promotion.term:
                promotion.grants[name] = reply.status.last
            if promotion.stage is PromotionStage.DEMOTE:
                enter_stage(promotion, PromotionStage.CATCH_UP, now)
    elif isinstance(command, Fence) and reply.status.fenced_term >= promotion.term:
        promotion.grants[name] = reply.status.last
    return advance_promotion(state, group, now)


def give_up(state: PoolerState, group: GroupView, reason: str, now: float) -> list:
    """End an attempt that did not succeed."""
    log = WriteLog(
        'promotion_ended',
        {'group': group.name, 'outcome': 'given_up', 'cause': reason},
    )
    group.retry_promotion_at = now + RETRY_PAUSE_S * (1 + state.rng.random())
    return [log, *leave_promotion(state, group, now)]


def end_promotion(state: PoolerState, group: GroupView, now: float) -> list:
    """End an attempt after which a primary is in charge."""
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
    group.demote_until = now + DEMOTE_FORMER_S
    group.cause_since = None
    return [log, *leave_promotion(state, group, now)]


def leave_promotion(state: PoolerState, group: GroupView, now: float) -> list:
    """Forget an attempt and release the duty when this VM holds it for nothing else."""
    fencing.cancel_unsent_commands(group)
    group.promotion = None
    if any(other.promotion is not None for other in state.groups.values()):
        return []
    return lease.release_duty(state, now)
