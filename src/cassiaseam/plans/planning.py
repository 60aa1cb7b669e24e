"""Registry of intent kinds, and creation of plans."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, TypeVar

from result import Err, Ok, Result

from cassiaseam.configuration.model import DatabaseConfig
from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.plans.estimate import count_owner_connections, estimate_replica_share
from cassiaseam.plans.intents import Intent
from cassiaseam.plans.model import PLAN_LIFETIME_S, Plan, PlanChange, PlanCosts, PlanView
from cassiaseam.settings.model import Role


@dataclass(frozen=True, slots=True)
class Draft:
    """Change of one database that an intent asks for.

    Attributes:
        after: New configuration; None removes the database.
        changes: Changed values.
        risks: Warnings for the operator.
        expected_gap_s: Expected write outage in seconds.
    """

    after: DatabaseConfig | None
    changes: tuple[PlanChange, ...]
    risks: tuple[str, ...] = ()
    expected_gap_s: float = 0


Drafter = Callable[[Any, DatabaseConfig | None, PlanView], Result[Draft, RequestError]]
DrafterT = TypeVar('DrafterT', bound=Drafter)


@dataclass(frozen=True, slots=True)
class IntentKind:
    """Draft function of one kind of intent, and the role that it requires."""

    draft: Drafter
    role: Role


INTENT_KINDS: dict[type, IntentKind] = {}


def register_draft(intent_type: type, role: Role) -> Callable[[DrafterT], DrafterT]:
    """Register the draft function `(intent, config, view) -> Result[Draft, RequestError]`.

    `config` is the current configuration of the database, or None if it does not exist.
    """

    def register(draft: DrafterT) -> DrafterT:
        INTENT_KINDS[intent_type] = IntentKind(draft, role)
        return draft

    return register


def find_required_role(intent: Intent) -> Role:
    """Return the lowest role that may plan an intent."""
    return INTENT_KINDS[type(intent)].role


def make_plan(intent: Intent, view: PlanView, now: float) -> Result[Plan, RequestError]:
    """Return the plan for an intent, without an ID.

    Args:
        intent: Validated intent.
        view: Shard of the database and state of the cluster.
        now: Seconds since the epoch.

    Returns:
        The plan, or the reason why the intent is refused.
    """
    before = view.shard.databases.get(intent.database)
    drafted = INTENT_KINDS[type(intent)].draft(intent, before, view)
    if drafted.is_err():
        return Err(drafted.unwrap_err())
    draft = drafted.unwrap()
    if draft.after == before:
        message = f'nothing to change: the intent is in force for {intent.database!r}'
        return Err(RequestError(ErrorKind.BAD_REQUEST, message))
    confirmed = view.shard.confirmed
    after = draft.after and replace(draft.after, version=0)
    return Ok(
        Plan(
            intent=intent.model_dump(mode='json'),
            database=intent.database,
            shard=view.shard.shard,
            base_version=view.shard.version,
            base_plan=confirmed.plan if confirmed else '',
            created_at=now,
            expires_at=now + PLAN_LIFETIME_S,
            after=after,
            changes=draft.changes,
            costs=_estimate_costs(before, draft, view),
            risks=draft.risks,
        )
    )


def _estimate_costs(before: DatabaseConfig | None, draft: Draft, view: PlanView) -> PlanCosts:
    primary = view.cluster.primaries.get(draft.changes[0].database, '')
    held_before = count_owner_connections(before)
    held_after = count_owner_connections(draft.after)
    opened = max(0, held_after - held_before)
    closed = max(0, held_before - held_after)
    if before and draft.after and before.owner != draft.after.owner:
        opened, closed = held_after, held_before
    return PlanCosts(
        opened,
        closed,
        estimate_replica_share(before, primary),
        estimate_replica_share(draft.after, primary),
        draft.expected_gap_s,
    )
