"""Decision whether a plan takes effect."""

from dataclasses import dataclass

from result import Err, Ok, Result

from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.plans.model import Plan, PlanState, ShardState, format_time

MAX_SHOWN_CHANGES = 5


@dataclass(frozen=True, slots=True)
class Confirmation:
    """Outcome of a permitted confirmation.

    Attributes:
        applied: Whether the plan is in force already, so that nothing has to be written.
        operator: Team that confirmed it, when applied.
        at: Time in ISO form of that confirmation, when applied.
    """

    applied: bool
    operator: str = ''
    at: str = ''


def decide_confirmation(
    plan: Plan, current: ShardState, now: float
) -> Result[Confirmation, RequestError]:
    """Return whether a plan may be written to its shard, or was already.

    Args:
        plan: The plan as it is stored.
        current: The shard as it is stored, with the plans that led to its version.
        now: Seconds since the epoch.

    Returns:
        The confirmation; otherwise PLAN_EXPIRED, VERSION_CONFLICT with what changed, by whom and
        when, or OUTCOME_UNKNOWN when a confirmation was under way and the history is incomplete.
    """
    applied = _find_application(plan, current)
    if applied is not None:
        return Ok(applied)
    if plan.state is PlanState.CANCELLED:
        message = f'cancelled by {plan.decided_by} at {format_time(plan.decided_at)}'
        return Err(RequestError(ErrorKind.PLAN_EXPIRED, f'plan {plan.plan_id} was {message}'))
    if current.version != plan.base_version:
        return Err(_explain_conflict(plan, current))
    # A confirmation that began in time may be finished later, because its write may be pending.
    if plan.state is not PlanState.CONFIRMING and now >= plan.expires_at:
        message = f'plan {plan.plan_id} expired at {format_time(plan.expires_at)}'
        return Err(RequestError(ErrorKind.PLAN_EXPIRED, message))
    return Ok(Confirmation(applied=False))


def decide_cancellation(plan: Plan, current: ShardState, now: float) -> Result[bool, RequestError]:
    """Return whether a plan has to be marked as cancelled; False when it is already.

    A plan that is in force, or whose confirmation may still take effect, is not cancelled.
    """
    if plan.state is PlanState.CANCELLED:
        return Ok(False)
    applied = _find_application(plan, current)
    if applied is not None:
        message = f'plan {plan.plan_id} was confirmed by {applied.operator} at {applied.at}'
        return Err(RequestError(ErrorKind.VERSION_CONFLICT, message))
    if plan.state is PlanState.CONFIRMING and current.version == plan.base_version:
        since = format_time(plan.decided_at)
        message = f'{plan.decided_by} is confirming plan {plan.plan_id} since {since}'
        return Err(RequestError(ErrorKind.VERSION_CONFLICT, message))
    return Ok(True)


def find_shown_state(plan: Plan, now: float) -> PlanState:
    """Return the state to show to an operator; a pending plan expires without a write."""
    if plan.state is PlanState.PENDING and now >= plan.expires_at:
        return PlanState.EXPIRED
    return plan.state


def _find_application(plan: Plan, current: ShardState) -> Confirmation | None:
    confirmed = current.confirmed
    if confirmed is not None and confirmed.plan == plan.plan_id:
        return Confirmation(True, confirmed.operator, confirmed.at)
    followed = plan.plan_id in {later.base_plan for later in current.history}
    if plan.state is PlanState.CONFIRMED or followed:
        return Confirmation(True, plan.decided_by, format_time(plan.decided_at))
    return None


def _explain_conflict(plan: Plan, current: ShardState) -> RequestError:
    winner = next((it for it in current.history if it.base_version == plan.base_version), None)
    if plan.state is PlanState.CONFIRMING and winner is None:
        message = f'plan {plan.plan_id} may have been confirmed; the history is incomplete'
        return RequestError(ErrorKind.OUTCOME_UNKNOWN, message)
    versions = f'shard {current.shard} moved from version {plan.base_version} to {current.version}'
    confirmed = current.confirmed
    if confirmed is None:
        return RequestError(ErrorKind.VERSION_CONFLICT, f'{versions}, by an unknown writer')
    parts = [f'{versions}, last by {confirmed.operator} at {confirmed.at} (plan {confirmed.plan})']
    changes = [change for later in reversed(current.history) for change in later.changes]
    parts.extend(
        f'{it.database} {it.target or it.daemon} {it.field}: {it.before!r} -> {it.after!r}'
        for it in changes[:MAX_SHOWN_CHANGES]
    )
    return RequestError(ErrorKind.VERSION_CONFLICT, '; '.join(parts))
