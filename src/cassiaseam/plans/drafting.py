"""Draft functions for intents; importing this module registers them."""

from dataclasses import replace

from result import Err, Ok, Result

from cassiaseam.configuration.model import DatabaseConfig, TargetConfig, TargetState
from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.plans import intents
from cassiaseam.plans.estimate import (
    estimate_owner_gap_s,
    estimate_promotion_gap_s,
    list_active_targets,
)
from cassiaseam.plans.model import PlanChange, PlanView
from cassiaseam.plans.planning import Draft, register_draft
from cassiaseam.settings.model import ALL_DATABASES, Role
from cassiaseam.settings.units import format_duration, parse_duration_s

DraftResult = Result[Draft, RequestError]
PRIMARY_ONLY = 'primary only'
ALL_SERVICES = 'all services'
RANKED = 'ranked'


def _refuse(kind: ErrorKind, message: str) -> Err[RequestError]:
    return Err(RequestError(kind, message))


def _refuse_unknown(database: str) -> Err[RequestError]:
    return _refuse(ErrorKind.UNKNOWN_DATABASE, f'database {database!r} is not configured')


def find_target(config: DatabaseConfig, name: str) -> Result[TargetConfig, RequestError]:
    """Return a target by name, or UNKNOWN_OBJECT."""
    named = {it.name: it for it in config.targets}
    target = named.get(name)
    if target is not None:
        return Ok(target)
    known = ', '.join(named)
    message = f'database {config.name!r} has no target {name!r}; it has {known}'
    return _refuse(ErrorKind.UNKNOWN_OBJECT, message)


def replace_target(config: DatabaseConfig, changed: TargetConfig) -> DatabaseConfig:
    """Return the configuration with the target of the same name replaced."""
    targets = tuple(changed if it.name == changed.name else it for it in config.targets)
    return replace(config, targets=targets)


@register_draft(intents.AcceptAge, Role.OPERATOR)
def draft_accepted_age(
    intent: intents.AcceptAge, config: DatabaseConfig | None, view: PlanView
) -> DraftResult:
    """Draft a change of the maximum data age that one service accepts."""
    if config is None:
        return _refuse_unknown(intent.database)
    ages = dict(config.max_age_s)
    before = ages.pop(intent.service, None)
    default = ages.get(ALL_DATABASES)
    risks: list[str] = []
    if intent.max_age is not None:
        ages[intent.service] = parse_duration_s(intent.max_age)
        risks.append(f'{intent.service} may see data up to {intent.max_age} old')
    elif default is not None:
        risks.append(
            f'{intent.service} falls back to the default age of {format_duration(default)}'
        )
    else:
        risks.append(f'all reads of {intent.service} move to the primary')
    if not config.find_accepted_age(intent.service) and len(config.targets) == 1:
        risks.append('the only target is the primary; no read moves to a replica')
    shown_before = PRIMARY_ONLY if before is None else format_duration(before)
    field = f'max_age[{intent.service}]'
    change = PlanChange(config.name, field, shown_before, intent.max_age or PRIMARY_ONLY)
    return Ok(Draft(replace(config, max_age_s=ages), (change,), tuple(risks)))


@register_draft(intents.DrainTarget, Role.OPERATOR)
def draft_drain(
    intent: intents.DrainTarget, config: DatabaseConfig | None, view: PlanView
) -> DraftResult:
    """Draft the draining of a target."""
    if config is None:
        return _refuse_unknown(intent.database)
    found = find_target(config, intent.target)
    if found.is_err():
        return Err(found.unwrap_err())
    after = replace_target(config, replace(found.unwrap(), state=TargetState.DRAINING))
    remaining = len(list_active_targets(after))
    if not remaining:
        message = f'{intent.target!r} is the last active target of {config.name!r}'
        return _refuse(ErrorKind.BAD_REQUEST, message)
    risks = [
        f'open transactions on {intent.target} end after {format_duration(config.drain_limit_s)}'
    ]
    if remaining == 1:
        risks.append('one active target is left; its loss stops the database')
    primary = view.cluster.primaries.get(config.name, '')
    gap = float(0)
    if primary == intent.target:
        gap = estimate_promotion_gap_s(view.cluster)
        risks.append(f'{primary} is the primary; another target is promoted first')
    if not primary:
        risks.append('the primary is not known now; the gap may be longer')
    return Ok(Draft(after, _change_state(found.unwrap(), after, view), tuple(risks), gap))


@register_draft(intents.UndrainTarget, Role.OPERATOR)
def draft_undrain(
    intent: intents.UndrainTarget, config: DatabaseConfig | None, view: PlanView
) -> DraftResult:
    """Draft the return of a drained target to service."""
    if config is None:
        return _refuse_unknown(intent.database)
    found = find_target(config, intent.target)
    if found.is_err():
        return Err(found.unwrap_err())
    after = replace_target(config, replace(found.unwrap(), state=TargetState.ACTIVE))
    return Ok(Draft(after, _change_state(found.unwrap(), after, view)))


def _change_state(
    target: TargetConfig, after: DatabaseConfig, view: PlanView
) -> tuple[PlanChange, ...]:
    state = find_target(after, target.name).unwrap().state.value
    owner = view.cluster.owners.get(after.name, '')
    return (PlanChange(after.name, 'state', target.state.value, state, target.name, owner),)


@register_draft(intents.MoveOwner, Role.OPERATOR)
def draft_owner(
    intent: intents.MoveOwner, config: DatabaseConfig | None, view: PlanView
) -> DraftResult:
    """Draft a change of the configured owner of a database."""
    if config is None:
        return _refuse_unknown(intent.database)
    current = view.cluster.owners.get(config.name, '')
    wanted = intent.owner or ''
    risks = []
    if wanted and wanted not in view.cluster.members:
        risks.append(f'{wanted} is not alive; the ranked owner serves until it is')
    if wanted != current:
        risks.append('open transactions finish on the old owner or are aborted')
    shown = (config.owner or RANKED, wanted or RANKED)
    changes = [PlanChange(config.name, 'owner', *shown)]
    if wanted and current and wanted != current:
        changes.append(PlanChange(config.name, 'owned', 'yes', 'no', daemon=current))
        changes.append(PlanChange(config.name, 'owned', 'no', 'yes', daemon=wanted))
    gap = estimate_owner_gap_s(view.cluster) if wanted != current else float(0)
    return Ok(Draft(replace(config, owner=wanted), tuple(changes), tuple(risks), gap))


@register_draft(intents.AddDatabase, Role.ADMINISTRATOR)
def draft_addition(
    intent: intents.AddDatabase, config: DatabaseConfig | None, view: PlanView
) -> DraftResult:
    """Draft the addition of a database."""
    if config is not None:
        message = f'database {intent.database!r} exists'
        return _refuse(ErrorKind.BAD_REQUEST, message)
    targets = tuple(TargetConfig(**target.model_dump()) for target in intent.targets)
    names = {target.name for target in targets}
    addresses = {(target.host, target.port) for target in targets}
    if min(len(names), len(addresses)) < len(targets):
        message = 'target names and addresses have to be unique'
        return _refuse(ErrorKind.BAD_REQUEST, message)
    after = DatabaseConfig(intent.database, targets, granted=intent.granted)
    changes = tuple(
        PlanChange(after.name, 'target', '', f'{it.host}:{it.port} in {it.place}', it.name)
        for it in targets
    )
    risks = []
    if len(targets) < 3:
        risks.append(f'{len(targets)} targets: the loss of one stops writes')
    if not intent.granted:
        risks.append('all services may use the database')
    return Ok(Draft(after, changes, tuple(risks)))


@register_draft(intents.RemoveDatabase, Role.ADMINISTRATOR)
def draft_removal(
    intent: intents.RemoveDatabase, config: DatabaseConfig | None, view: PlanView
) -> DraftResult:
    """Draft the removal of a database."""
    if config is None:
        return _refuse_unknown(intent.database)
    owner = view.cluster.owners.get(config.name, '')
    change = PlanChange(config.name, 'database', 'configured', '', daemon=owner)
    risk = 'requests for the database fail with unknown_database; its data stays on the targets'
    return Ok(Draft(None, (change,), (risk,)))
