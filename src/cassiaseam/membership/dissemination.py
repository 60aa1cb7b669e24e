"""Dissemination of records: piggybacked on pings, by gossip, and to daemons that join.

Pings of random members and their answers carry pending records. Pings that always go to the same
member carry none, because they would use up the transmissions of a record without reaching more
members.
"""

from cassiaseam.membership.messages import (
    Address,
    Datagram,
    DatagramKind,
    HeartbeatReceived,
    MemberRecord,
    MemberStatus,
    SendDatagram,
)
from cassiaseam.membership.records import select_updates, split_into_pages
from cassiaseam.membership.state import MembershipState, choose_members
from cassiaseam.reducer.node_state import NodeState
from cassiaseam.reducer.registry import Effect

# Random members that receive the pending records on each tick; pings alone would take several
# seconds longer to reach 1,400 members.
GOSSIP_FANOUT = 2


def make_datagram(
    membership: MembershipState,
    kind: DatagramKind,
    sequence: int = 0,
    subject: str = '',
    first: MemberRecord | None = None,
) -> Datagram:
    """Return a datagram with pending records."""
    updates = select_updates(membership, first)
    return build_datagram(membership, kind, sequence, subject, updates)


def make_minimal_datagram(
    membership: MembershipState,
    kind: DatagramKind,
    sequence: int,
    subject: str,
    first: MemberRecord | None = None,
) -> Datagram:
    """Return a datagram without pending records, with at most one record for its receiver."""
    updates = () if first is None else (first,)
    return build_datagram(membership, kind, sequence, subject, updates)


def build_datagram(
    membership: MembershipState,
    kind: DatagramKind,
    sequence: int,
    subject: str,
    updates: tuple[MemberRecord, ...],
) -> Datagram:
    """Return a datagram from this daemon."""
    own = membership.own
    return Datagram(kind, own.vm, own.incarnation, sequence, subject, membership.digest, updates)


def gossip_updates(state: NodeState) -> list[Effect]:
    """Send the pending records to random members."""
    membership: MembershipState = state.membership
    if not membership.updates:
        return []
    chosen = choose_members(membership, state.rng, GOSSIP_FANOUT, set())
    return [send_page(membership, member.address) for member in chosen]


def send_page(
    membership: MembershipState, address: Address, first: MemberRecord | None = None
) -> SendDatagram:
    """Return the effect that sends pending records without requesting an answer."""
    page = make_datagram(membership, DatagramKind.PAGE, first=first)
    return SendDatagram(address, page)


def choose_extra_record(state: NodeState, target: MemberRecord) -> MemberRecord | None:
    """Return a record to send even if it is not pending, or None.

    A target that is not alive receives its own record, so that it can refute it. Any other target
    receives the record of a random member that is not alive, in case it missed the change.
    """
    membership: MembershipState = state.membership
    if target.status is not MemberStatus.ALIVE:
        return target
    if not membership.changed_at:
        return None
    return membership.members[state.rng.choice(list(membership.changed_at))]


def find_record_to_refute(membership: MembershipState, datagram: Datagram) -> MemberRecord | None:
    """Return the record that the sender must refute, or None if it is known to be alive.

    An unknown sender receives a record that declares it dead, so that it raises its incarnation
    and spreads its complete record.
    """
    known = membership.members.get(datagram.sender)
    if known is None:
        dead = MemberStatus.DEAD
        return MemberRecord(datagram.sender, datagram.incarnation, dead, '', '', 0)
    return None if known.status is MemberStatus.ALIVE else known


def answer_join(state: NodeState, event: HeartbeatReceived, now: float) -> list[Effect]:
    """Send the records of all members to a daemon that has just started."""
    membership: MembershipState = state.membership
    return [
        SendDatagram(event.address, build_datagram(membership, DatagramKind.PAGE, 0, '', page))
        for page in split_into_pages(membership)
    ]
