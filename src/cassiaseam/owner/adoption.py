"""Adoption of a database whose owner an entry passed over.

Membership ranks a frozen or cut off owner first until it notices, and an owner behind an
asymmetric partition for as long as the partition lasts. Meanwhile the next-ranked daemon serves
the requests that name the better-ranked owners in `Request.passed_over`. Two owners at the same
time are safe: writes need a majority, and fences decide between promoters.
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
    TimerKind,
    Turn,
    ensure_owner_state,
    schedule_timer,
    start_turn,
)
from cassiaseam.reducer.common import RequestArrived
from cassiaseam.reducer.node_state import NodeState
from cassiaseam.reducer.registry import handles

# Longer than entries remember that they passed over an owner, so that a steady load renews it.
ADOPTION_S = 10.0
# A promotion under way is not abandoned: its fences may already stop the primary.
PROMOTION_WAIT_S = 1.0
INHERITED_PAUSE_S = 5.0


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
    turn = take_ownership(node, name, now, effects)
    adopted = turn.database
    adopted.adopted_until = now + ADOPTION_S
    # Membership need not suspect the passed-over owner yet, which may be frozen with open
    # transactions whose locks stop the writes of this daemon.
    turn.group.taken_over_at = now
    schedule_timer(turn, adopted.adopted_until, TimerKind.ADOPTION, adopted)
    cause = f'entry {request.entry} passed over {", ".join(request.passed_over)}'
    effects.append(record_decision(node, turn.group, 'database_adopted', cause))
    return effects


def renew_adoption(database: DatabaseState, now: float) -> None:
    """Keep an adopted database for a while longer.

    The passed-over owner may have come back and failed again since its locks were ended, so they
    may be ended again, but not more often than every `INHERITED_PAUSE_S`.
    """
    if database.adopted_until is None:
        return
    database.adopted_until = now + ADOPTION_S
    group = database.group
    ended_at = group.last_failover_at
    if group.taken_over_at is None and (ended_at is None or now - ended_at >= INHERITED_PAUSE_S):
        group.taken_over_at = now


def may_adopt(node: NodeState, request: Request, now: float) -> bool:
    """Return whether this daemon owns the database when the passed-over owners are left out.

    A statement of an open transaction never causes an adoption, because only the owner that
    began the transaction holds its connection.
    """
    begins = request.kind is RequestKind.BEGIN
    if not request.passed_over or (request.transaction_id is not None and not begins):
        return False
    if ensure_owner_state(node).shutting_down:
        return False
    left = [vm for vm in list_owners(node, request.database, now) if vm not in request.passed_over]
    return left[:1] == [node.vm]


def list_owners(node: NodeState, database: str, now: float) -> list[str]:
    """Return the owners by membership, best first, or nothing for an unknown database."""
    config = node.database_configs.get(database)
    if config is None or node.membership is None:
        return []
    return rank_owners(node.membership, config, now)


def take_ownership(node: NodeState, name: str, now: float, effects: list[Any]) -> Turn | None:
    """Accept new work for a monitored database and return its turn.

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
    turn = start_turn(node, database, now, effects)
    database.owns = True
    apply_configuration(turn, turn.group.config)
    return turn


def confirm_ownership(turn: Turn) -> None:
    """End an adoption because membership made this daemon the owner."""
    end_adoption(turn, 'membership ranks this daemon first')


def expire_adoption(turn: Turn, adopted: DatabaseState) -> None:
    """Release an adopted database when its time has passed.

    Args:
        turn: Event being handled.
        adopted: Database for which the due time was scheduled; one that was released and
            adopted again has a due time of its own.
    """
    database = turn.database
    if database is not adopted or database.adopted_until is None or not database.owns:
        return
    if turn.group.failover is not None:
        database.adopted_until = max(database.adopted_until, turn.now + PROMOTION_WAIT_S)
    if turn.now < database.adopted_until:
        schedule_timer(turn, database.adopted_until, TimerKind.ADOPTION, adopted)
        return
    if list_owners(turn.node, database.name, turn.now)[:1] == [turn.node.vm]:
        confirm_ownership(turn)
        return
    end_adoption(turn, f'no request passed over an owner for {ADOPTION_S:.0f} s')
    change_ownership(turn.node, OwnershipChanged(database.name, owns=False), turn.now)
    release_ownership(turn)


def end_adoption(turn: Turn, cause: str) -> None:
    """Record the end of an adoption, if there was one."""
    if turn.database.adopted_until is None:
        return
    turn.database.adopted_until = None
    turn.effects.append(record_decision(turn.node, turn.group, 'adoption_ended', cause))
