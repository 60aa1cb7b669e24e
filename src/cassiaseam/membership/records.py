"""Merging of member records into the state of one daemon, and their piggybacking."""

from dataclasses import replace

from cassiaseam.configuration.model import OwnershipChanged
from cassiaseam.membership.messages import MemberChanged, MemberRecord, MemberStatus
from cassiaseam.membership.ranking import add_eligible, remove_eligible, update_rankings
from cassiaseam.membership.state import MembershipState, PendingUpdate
from cassiaseam.reducer.registry import Effect

# Upper bounds of the encoded size of a record without its strings and of a datagram without
# records; `test_full_datagram_fits` checks both.
_RECORD_OVERHEAD_BYTES = 48
_HEADER_BYTES = 200


def estimate_size(record: MemberRecord) -> int:
    """Return an upper bound of the encoded size of a record in bytes."""
    texts = len(record.vm.encode()) + len(record.place.encode()) + len(record.host)
    return _RECORD_OVERHEAD_BYTES + texts * 9 // 8


def queue_update(membership: MembershipState, record: MemberRecord) -> None:
    """Queue a record for dissemination; it replaces an older one of the same VM."""
    membership.updates[record.vm] = PendingUpdate(record, 0, estimate_size(record))


def split_into_pages(membership: MembershipState) -> list[tuple[MemberRecord, ...]]:
    """Return all records, split into groups that fit into one datagram each."""
    room = membership.settings.datagram_bytes - _HEADER_BYTES
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
    """Return the records for the next datagram, least often sent first.

    Args:
        membership: State of the membership; the transmissions of the records are counted in it.
        first: Record to send even if it is not pending.
    """
    room = membership.settings.datagram_bytes - _HEADER_BYTES
    selected = [] if first is None else [first]
    room -= 0 if first is None else estimate_size(first)
    if not membership.updates:
        return tuple(selected)
    limit = membership.retransmit_limit()
    for pending in sorted(membership.updates.values(), key=lambda update: update.sent):
        if pending.record is first:
            continue
        room -= pending.size
        if room < 0:
            break
        selected.append(pending.record)
        pending.sent += 1
        if pending.sent >= limit:
            membership.updates.pop(pending.record.vm)
    return tuple(selected)


def merge_record(
    membership: MembershipState, record: MemberRecord, now: float, cause: str
) -> list[Effect]:
    """Store a record if it is newer; refute a foreign record about this daemon."""
    if record.vm == membership.own.vm:
        return refute_claim(membership, record, now)
    known = membership.members.get(record.vm)
    if known is not None and not record.overrides(known):
        return []
    if known is None and record.status is not MemberStatus.ALIVE:
        # A VM that is already gone need not be known.
        return []
    return store_record(membership, record, now, cause)


def refute_claim(membership: MembershipState, record: MemberRecord, now: float) -> list[Effect]:
    """Refute a record about this daemon that it did not issue by raising its incarnation."""
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
    """Replace the record of this daemon and queue it for dissemination."""
    membership.own = record
    return store_record(membership, record, now, cause)


def store_record(
    membership: MembershipState, record: MemberRecord, now: float, cause: str
) -> list[Effect]:
    """Store a record, queue it for dissemination and report the changes."""
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


def remove_member(membership: MembershipState, vm: str) -> list[Effect]:
    """Remove a VM that is permanently gone."""
    for table in (
        membership.members,
        membership.changed_at,
        membership.suspicion_ends_at,
        membership.updates,
    ):
        table.pop(vm, None)
    return update_eligibility(membership, vm)


def update_eligibility(membership: MembershipState, vm: str) -> list[Effect]:
    """Update whether a VM may own databases, and report what this daemon gains or loses."""
    return report_ownership(membership, change_eligibility(membership, vm))


def change_eligibility(membership: MembershipState, vm: str) -> set[str]:
    """Update whether a VM may own databases; return those whose owner may have changed.

    A suspect owns nothing: waiting for its suspicion to end would leave its databases without an
    owner, while two concurrent owners are safe.
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
    """Return the ownership changes of this daemon for some databases."""
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
