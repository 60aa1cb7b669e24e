"""Merging of records into the view of one daemon, and their piggybacking."""

from dataclasses import replace

from cassiaseam.configuration.model import OwnershipChanged
from cassiaseam.membership.messages import MemberChanged, MemberRecord, MemberStatus
from cassiaseam.membership.ranking import add_eligible, remove_eligible, update_rankings
from cassiaseam.membership.state import MembershipState, PendingUpdate
from cassiaseam.reducer.registry import Effect

# Upper bound of the encoded size of a record without its texts, and of a datagram without
# records; `test_full_datagram_fits` guards both.
_RECORD_BYTES = 48
_DATAGRAM_BYTES = 200


def estimate_size(record: MemberRecord) -> int:
    """Return an upper bound of the encoded size of a record in bytes."""
    texts = len(record.vm.encode()) + len(record.place.encode()) + len(record.host)
    return _RECORD_BYTES + texts * 9 // 8


def queue_update(membership: MembershipState, record: MemberRecord) -> None:
    """Spread a record; it replaces an older one of the same VM."""
    membership.updates[record.vm] = PendingUpdate(record, 0, estimate_size(record))


def split_into_pages(membership: MembershipState) -> list[tuple[MemberRecord, ...]]:
    """Return all records in groups that fit into one datagram each."""
    room = membership.settings.datagram_bytes - _DATAGRAM_BYTES
    pages: list[list[MemberRecord]] = [[]]
    used = 0
    for record in membership.members.values():
        size = estimate_size(record)
        if used + size > room:
            pages.append([])
            used = 0
        used += size
        pages[-1].append(record)
    return [tuple(page) for page in pages]


def select_updates(
    membership: MembershipState, first: MemberRecord | None = None
) -> tuple[MemberRecord, ...]:
    """Return the records for the next datagram, those sent least often first.

    Args:
        membership: State; counts the transmission.
        first: Record that has to be sent whether or not it is being spread.
    """
    room = membership.settings.datagram_bytes - _DATAGRAM_BYTES
    taken = [] if first is None else [first]
    room -= 0 if first is None else estimate_size(first)
    if not membership.updates:
        return tuple(taken)
    limit = membership.retransmit_limit()
    for pending in sorted(membership.updates.values(), key=lambda update: update.sent):
        if pending.record is first:
            continue
        room -= pending.size
        if room < 0:
            break
        taken.append(pending.record)
        pending.sent += 1
        if pending.sent >= limit:
            membership.updates.pop(pending.record.vm)
    return tuple(taken)


def merge_record(
    membership: MembershipState, record: MemberRecord, now: float, cause: str
) -> list[Effect]:
    """Take over a record if it is newer; a claim about this daemon itself is refuted."""
    if record.vm == membership.own.vm:
        return refute_claim(membership, record, now)
    known = membership.members.get(record.vm)
    if known is not None and not record.overrides(known):
        return []
    if known is None and record.status is not MemberStatus.ALIVE:
        # Nothing is lost by not knowing a VM that is gone.
        return []
    return store_record(membership, record, now, cause)


def refute_claim(membership: MembershipState, record: MemberRecord, now: float) -> list[Effect]:
    """Answer a record of this daemon that it did not issue with a higher incarnation."""
    own = membership.own
    is_older = record.incarnation < own.incarnation
    if is_older or own.status is MemberStatus.LEFT or record == own:
        return []
    if record.status is MemberStatus.ALIVE and record.incarnation == own.incarnation:
        return []
    raised = replace(own, incarnation=record.incarnation + 1)
    return announce_own(membership, raised, now, 'refuted')


def announce_own(
    membership: MembershipState, record: MemberRecord, now: float, cause: str
) -> list[Effect]:
    """Change and spread the record of this daemon."""
    membership.own = record
    return store_record(membership, record, now, cause)


def store_record(
    membership: MembershipState, record: MemberRecord, now: float, cause: str
) -> list[Effect]:
    """Enter a record, spread it and report what changed."""
    known = membership.members.get(record.vm)
    membership.members[record.vm] = record
    queue_update(membership, record)
    if record.status is MemberStatus.SUSPECT:
        membership.suspicion_ends_at.setdefault(record.vm, now + membership.suspicion_s())
    else:
        membership.suspicion_ends_at.pop(record.vm, None)
    if record.status is MemberStatus.ALIVE:
        membership.changed_at.pop(record.vm, None)
    else:
        membership.changed_at[record.vm] = now
    effects = update_eligibility(membership, record.vm)
    if known is None or (known.status, known.leaving) != (record.status, record.leaving):
        effects.append(MemberChanged(record, cause))
    return effects


def forget_member(membership: MembershipState, vm: str) -> list[Effect]:
    """Drop a VM that is gone for good."""
    for table in (
        membership.members,
        membership.changed_at,
        membership.suspicion_ends_at,
        membership.updates,
    ):
        table.pop(vm, None)
    return update_eligibility(membership, vm)


def update_eligibility(membership: MembershipState, vm: str) -> list[Effect]:
    """Let a VM own databases or not, and report what this daemon gains or loses by it."""
    return report_ownership(membership, change_eligibility(membership, vm))


def change_eligibility(membership: MembershipState, vm: str) -> set[str]:
    """Let a VM own databases or not; return the databases whose owner may have changed.

    A suspect owns nothing: waiting for its suspicion to end would keep its databases without an
    owner, and two owners at the same time are safe.
    """
    record = membership.members.get(vm)
    may_own = record is not None and record.status is MemberStatus.ALIVE
    if may_own:
        may_own = not record.leaving and vm not in membership.listed_leaving
    if vm == membership.own.vm:
        may_own = may_own and membership.is_ready
    index = membership.ranking
    before = index.place_of.get(vm)
    changed = add_eligible(index, vm, record.place) if may_own else remove_eligible(index, vm)
    if index.place_of.get(vm) != before:
        membership.generation += 1
    return changed


def report_ownership(membership: MembershipState, databases: set[str]) -> list[Effect]:
    """Return the ownership changes of this daemon among some databases."""
    index = membership.ranking
    update_rankings(index, databases)
    effects: list[Effect] = []
    for database in sorted(databases):
        ranked = index.databases.get(database)
        owns = ranked is not None and ranked.registered and ranked.names[:1] == [index.vm]
        if owns and database not in index.owned:
            index.owned.add(database)
            effects.append(OwnershipChanged(database, owns=True))
        elif not owns and database in index.owned:
            index.owned.discard(database)
            effects.append(OwnershipChanged(database, owns=False))
    return effects
