"""Decides whether a plan may be applied or cancelled."""

from dataclasses import dataclass

from result import Err, Ok, Result

from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.plans.model import Plan, PlanState, ShardState, format_time

MAX_SHOWN_CHANGES = 5


@dataclass(frozen=True, slots=True)
class Confirmation:
    """Outcome of a permitted confirmation.

    Attributes:
        applied: Whether the plan is already in force, so that no write is needed.
        operator: Team that confirmed it, if applied.
        at: ISO 8601 time of that confirmation, if applied.
    """

    applied: bool
    operator: str = ''
    at: str = ''


def decide_confirmation(
    plan: Plan, current: ShardState, now: float
) -> Result[Confirmation, RequestError]:
    """Decide whether a plan may be written to its shard or already was.

    Args:
        plan: Stored plan.
        current: Stored shard, with the plans that led to its version.
        now: Seconds since the epoch.

    Returns:
        The confirmation; otherwise PLAN_EXPIRED, VERSION_CONFLICT with what changed, by whom and
        when, or OUTCOME_UNKNOWN if a confirmation was in progress and the history is incomplete.
    """
    applied = _find_application(plan, current)
    if applied is not None:
        return Ok(applied)
    if plan.state is PlanState.CANCELLED:
        message = f'cancelled by {plan.decided_by} at {format_time(plan.decided_at)}'
        return Err(RequestError(ErrorKind.PLAN_EXPIRED, f'plan {plan.plan_id} was {message}'))
    if current.version != plan.base_version:
        return Err(_explain_conflict(plan, current))
    # A confirmation that started before the expiry may finish after it, because its write may
    # still be pending.
    if plan.state is not PlanState.CONFIRMING and now >= plan.expires_at:
        message = f'plan {plan.plan_id} expired at {format_time(plan.expires_at)}'
        return Err(RequestError(ErrorKind.PLAN_EXPIRED, message))
    return Ok(Confirmation(applied=False))


def decide_cancellation(plan: Plan, current: ShardState, now: float) -> Result[bool, RequestError]:
    """Return whether a plan must be marked as cancelled; False if it already is.

    Refuses a plan that is in force or whose confirmation may still take effect.
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


def find_displayed_state(plan: Plan, now: float) -> PlanState:
    """Return the state to display; a pending plan expires without a write to the store."""
    if plan.state is PlanState.PENDING and now >= plan.expires_at:
        return PlanState.EXPIRED
    return plan.state


def _find_application(plan: Plan, current: ShardState) -> Confirmation | None:
    confirmed = current.confirmed
    if confirmed is not None and confirmed.plan == plan.plan_id:
        return Confirmation(True, confirmed.operator, confirmed.at)
    in_history = plan.plan_id in {later.base_plan for later in current.history}
    if plan.state is PlanState.CONFIRMED or in_history:
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
