"""Spreading of records: piggybacked on pings, by gossip, and to daemons that join or ask.

Records ride on pings of random members and on their answers. Pings that always go to the same
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

# Random members that get the pending records at each tick; pings alone would need several
# seconds more to reach 1,400 members.
GOSSIP_FANOUT = 2


def make_datagram(
    membership: MembershipState,
    kind: DatagramKind,
    sequence: int = 0,
    subject: str = '',
    first: MemberRecord | None = None,
) -> Datagram:
    """Return a datagram with the records that are being spread."""
    updates = select_updates(membership, first)
    return build_datagram(membership, kind, sequence, subject, updates)


def make_quiet_datagram(
    membership: MembershipState,
    kind: DatagramKind,
    sequence: int,
    subject: str,
    first: MemberRecord | None = None,
) -> Datagram:
    """Return a datagram that carries at most one record, which concerns its receiver."""
    updates = () if first is None else (first,)
    return build_datagram(membership, kind, sequence, subject, updates)


def build_datagram(
    membership: MembershipState,
    kind: DatagramKind,
    sequence: int,
    subject: str,
    updates: tuple[MemberRecord, ...],
) -> Datagram:
    """Return a datagram of this daemon."""
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
    """Return the effect that sends pending records without asking for an answer."""
    page = make_datagram(membership, DatagramKind.PAGE, first=first)
    return SendDatagram(address, page)


def choose_reminder(state: NodeState, target: MemberRecord) -> MemberRecord | None:
    """Return a record to send whether or not it is being spread.

    A target that is not alive is told so, in order that it can refute it. Another one is reminded
    of a random member that is not alive, in case it has missed that.
    """
    membership: MembershipState = state.membership
    if target.status is not MemberStatus.ALIVE:
        return target
    if not membership.changed_at:
        return None
    return membership.members[state.rng.choice(list(membership.changed_at))]


def find_claim_about(membership: MembershipState, datagram: Datagram) -> MemberRecord | None:
    """Return what the sender has to know to refute or announce itself, or None.

    An unknown sender gets a claim of its own death, so that it raises its incarnation and
    spreads its complete record.
    """
    known = membership.members.get(datagram.sender)
    if known is None:
        dead = MemberStatus.DEAD
        return MemberRecord(datagram.sender, datagram.incarnation, dead, '', '', 0)
    return None if known.status is MemberStatus.ALIVE else known


def answer_join(state: NodeState, event: HeartbeatReceived, now: float) -> list[Effect]:
    """Send the complete view to a daemon that has just started."""
    membership: MembershipState = state.membership
    return [
        SendDatagram(event.address, build_datagram(membership, DatagramKind.PAGE, 0, '', page))
        for page in split_into_pages(membership)
    ]
