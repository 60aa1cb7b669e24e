"""Draft functions for limits and grants; importing this module registers them."""

from dataclasses import replace

from result import Err, Ok, Result

from cassiaseam.configuration.model import DatabaseConfig
from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.plans import intents
from cassiaseam.plans.drafting import ALL_SERVICES, DraftResult, find_target, replace_target
from cassiaseam.plans.model import PlanChange, PlanView
from cassiaseam.plans.planning import Draft, register_draft
from cassiaseam.settings.model import Role
from cassiaseam.settings.units import format_duration, parse_duration_s


@register_draft(intents.SetLimits, Role.OPERATOR)
def draft_limits(
    intent: intents.SetLimits, config: DatabaseConfig | None, view: PlanView
) -> DraftResult:
    """Draft new limits for a database or one of its targets."""
    if config is None:
        message = f'database {intent.database!r} is not configured'
        return Err(RequestError(ErrorKind.UNKNOWN_DATABASE, message))
    after = config
    changes = []
    if intent.queue_limit is not None:
        after = replace(after, queue_limit=intent.queue_limit)
        shown = (str(config.queue_limit), str(intent.queue_limit))
        changes.append(PlanChange(config.name, 'queue_limit', *shown))
    if intent.drain_limit is not None:
        after = replace(after, drain_limit_s=parse_duration_s(intent.drain_limit))
        shown = (format_duration(config.drain_limit_s), intent.drain_limit)
        changes.append(PlanChange(config.name, 'drain_limit', *shown))
    limited = _limit_target(intent, after, changes)
    if limited.is_err():
        return Err(limited.unwrap_err())
    if not changes:
        return Err(RequestError(ErrorKind.BAD_REQUEST, 'the intent names no limit'))
    risks = []
    if intent.queue_limit is not None and intent.queue_limit < config.queue_limit:
        risks.append('requests above the new queue limit are refused with overloaded')
    return Ok(Draft(limited.unwrap(), tuple(changes), tuple(risks)))


def _limit_target(
    intent: intents.SetLimits, config: DatabaseConfig, changes: list[PlanChange]
) -> Result[DatabaseConfig, RequestError]:
    wanted = {'slots': intent.slots, 'connections': intent.connections}
    given = {name: limit for name, limit in wanted.items() if limit is not None}
    if bool(given) != bool(intent.target):
        message = 'slots and connections need a target, and a target needs one of them'
        return Err(RequestError(ErrorKind.BAD_REQUEST, message))
    if not intent.target:
        return Ok(config)
    found = find_target(config, intent.target)
    if found.is_err():
        return Err(found.unwrap_err())
    target = found.unwrap()
    for name, limit in given.items():
        shown = (str(getattr(target, name)), str(limit))
        changes.append(PlanChange(config.name, name, *shown, target=target.name))
    return Ok(replace_target(config, replace(target, **given)))


@register_draft(intents.Grant, Role.ADMINISTRATOR)
def draft_grant(
    intent: intents.Grant, config: DatabaseConfig | None, view: PlanView
) -> DraftResult:
    """Draft a grant of access to a database."""
    if config is None:
        message = f'database {intent.database!r} is not configured'
        return Err(RequestError(ErrorKind.UNKNOWN_DATABASE, message))
    granted = tuple(sorted({*config.granted, intent.service}))
    risks = []
    if not config.granted:
        risks.append(f'until now all services may use it; then only {intent.service} may')
    return Ok(_draft_granted(config, granted, risks))


@register_draft(intents.Revoke, Role.ADMINISTRATOR)
def draft_revocation(
    intent: intents.Revoke, config: DatabaseConfig | None, view: PlanView
) -> DraftResult:
    """Draft the revocation of a grant."""
    if config is None:
        message = f'database {intent.database!r} is not configured'
        return Err(RequestError(ErrorKind.UNKNOWN_DATABASE, message))
    if intent.service not in config.granted:
        message = f'{intent.service!r} has no grant of its own on {config.name!r}'
        return Err(RequestError(ErrorKind.BAD_REQUEST, message))
    granted = tuple(name for name in config.granted if name != intent.service)
    if not granted:
        # An empty grant list grants access to every service (configuration/model.py).
        message = f'{intent.service!r} holds the last grant; without it all services get in'
        return Err(RequestError(ErrorKind.BAD_REQUEST, message))
    risks = [f'requests of {intent.service} fail with access_denied']
    return Ok(_draft_granted(config, granted, risks))


def _draft_granted(config: DatabaseConfig, granted: tuple[str, ...], risks: list[str]) -> Draft:
    shown = (', '.join(config.granted) or ALL_SERVICES, ', '.join(granted))
    change = PlanChange(config.name, 'granted', *shown)
    return Draft(replace(config, granted=granted), (change,), tuple(risks))
