"""Adoption of a database whose better-ranked owners an entry passed over.

Membership ranks a frozen or partitioned owner first until it detects the failure, and an owner
behind an asymmetric partition for as long as the partition lasts. Meanwhile the next-ranked daemon
serves the requests that list the better-ranked owners in `Request.passed_over`. Two owners at the
same time are safe: writes need a majority, and fences decide between promoters.
"""

from typing import Any

from cassiaseam.configuration.model import OwnershipChanged
from cassiaseam.group.handlers import change_ownership
from cassiaseam.group.records import record_decision
from cassiaseam.membership.ranking import rank_owners
from cassiaseam.messages import Request, RequestKind
from cassiaseam.owner.drain import apply_configuration, release_ownership
from cassiaseam.owner.state import (
    DatabaseState,
    EventContext,
    TimerKind,
    create_context,
    ensure_owner_state,
    schedule_timer,
)
from cassiaseam.reducer.common import RequestArrived
from cassiaseam.reducer.node_state import NodeState
from cassiaseam.reducer.registry import handles

# Longer than entries remember that they passed over an owner, so that a steady load renews the
# adoption.
ADOPTION_TTL_S = 10.0
# A promotion in progress is not abandoned, because its fences may already block the primary.
PROMOTION_GRACE_S = 1.0
INHERITED_LOCKS_COOLDOWN_S = 5.0


@handles(RequestArrived)
def adopt_database(node: NodeState, event: RequestArrived, now: float) -> list[Any]:
    """Adopt the database of a request whose better-ranked owners were passed over."""
    request = event.request
    if not may_adopt(node, request, now):
        return []
    name = request.database
    database = node.databases.get(name)
    if database is not None and database.owns:
        renew_adoption(database, now)
        return []
    effects = list(change_ownership(node, OwnershipChanged(name, owns=True), now))
    context = acquire_ownership(node, name, now, effects)
    adopted = context.database
    adopted.adopted_until = now + ADOPTION_TTL_S
    # The passed-over owner may be frozen with open transactions whose locks block the writes of
    # this daemon, before membership suspects it.
    context.group.taken_over_at = now
    schedule_timer(context, adopted.adopted_until, TimerKind.ADOPTION, adopted)
    cause = f'entry {request.entry} passed over {", ".join(request.passed_over)}'
    effects.append(record_decision(node, context.group, 'database_adopted', cause))
    return effects


def renew_adoption(database: DatabaseState, now: float) -> None:
    """Extend the adoption of a database.

    The passed-over owner may have recovered and failed again since a promotion released its locks,
    so they may be released again, at most once per `INHERITED_LOCKS_COOLDOWN_S`.
    """
    if database.adopted_until is None:
        return
    database.adopted_until = now + ADOPTION_TTL_S
    group = database.group
    ended_at = group.last_failover_at
    if group.taken_over_at is None and (
        ended_at is None or now - ended_at >= INHERITED_LOCKS_COOLDOWN_S
    ):
        group.taken_over_at = now


def may_adopt(node: NodeState, request: Request, now: float) -> bool:
    """Return whether this daemon owns the database when the passed-over owners are excluded.

    A statement of an open transaction never triggers an adoption, because only the owner that
    began the transaction holds its connection.
    """
    begins = request.kind is RequestKind.BEGIN
    if not request.passed_over or (request.transaction_id is not None and not begins):
        return False
    if ensure_owner_state(node).shutting_down:
        return False
    remaining = [
        vm for vm in list_owners(node, request.database, now) if vm not in request.passed_over
    ]
    return remaining[:1] == [node.vm]


def list_owners(node: NodeState, database: str, now: float) -> list[str]:
    """Return the owners ranked by membership, best first; empty for an unknown database."""
    config = node.database_configs.get(database)
    if config is None or node.membership is None:
        return []
    return rank_owners(node.membership, config, now)


def acquire_ownership(
    node: NodeState, name: str, now: float, effects: list[Any]
) -> EventContext | None:
    """Accept new requests for a monitored database and return its context.

    Returns:
        None when the group role does not know the database.
    """
    group = node.groups.get(name)
    database = node.databases.get(name)
    if database is None:
        if group is None:
            return None
        database = DatabaseState(name, group.config, group, term=group.term)
        node.databases[name] = database
    context = create_context(node, database, now, effects)
    database.owns = True
    apply_configuration(context, context.group.config)
    return context


def confirm_ownership(context: EventContext) -> None:
    """End an adoption because membership made this daemon the owner."""
    end_adoption(context, 'membership ranks this daemon first')


def expire_adoption(context: EventContext, adopted: DatabaseState) -> None:
    """Release an adopted database when its adoption has expired.

    Args:
        context: Context of the event.
        adopted: Database that the timer was scheduled for; one that was released and adopted
            again has a timer of its own.
    """
    database = context.database
    if database is not adopted or database.adopted_until is None or not database.owns:
        return
    if context.group.failover is not None:
        database.adopted_until = max(database.adopted_until, context.now + PROMOTION_GRACE_S)
    if context.now < database.adopted_until:
        schedule_timer(context, database.adopted_until, TimerKind.ADOPTION, adopted)
        return
    if list_owners(context.node, database.name, context.now)[:1] == [context.node.vm]:
        confirm_ownership(context)
        return
    end_adoption(context, f'no request passed over an owner for {ADOPTION_TTL_S:.0f} s')
    change_ownership(context.node, OwnershipChanged(database.name, owns=False), context.now)
    release_ownership(context)


def end_adoption(context: EventContext, cause: str) -> None:
    """End an adoption, if there is one, and record its cause."""
    if context.database.adopted_until is None:
        return
    context.database.adopted_until = None
    context.effects.append(record_decision(context.node, context.group, 'adoption_ended', cause))
