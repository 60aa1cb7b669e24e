"""SWIM-style failure detector: handlers of datagrams and of its timer."""

from dataclasses import replace

from cassiaseam.membership.dissemination import (
    answer_join,
    choose_extra_record,
    find_record_to_refute,
    gossip_updates,
    make_datagram,
    make_minimal_datagram,
    send_page,
)
from cassiaseam.membership.messages import (
    Datagram,
    DatagramKind,
    HeartbeatReceived,
    LeaveRequested,
    MemberRecord,
    MembershipTick,
    MemberStatus,
    SendDatagram,
)
from cassiaseam.membership.ranking import list_watched_owners
from cassiaseam.membership.records import (
    announce_own,
    merge_record,
    remove_member,
    store_record,
    update_eligibility,
)
from cassiaseam.membership.state import (
    MembershipState,
    Probe,
    Relay,
    choose_members,
)
from cassiaseam.reducer.node_state import NodeState
from cassiaseam.reducer.registry import Effect, handles

_LEAVE_FANOUT = 4


def send_ping(state: NodeState, target: MemberRecord, now: float) -> list[Effect]:
    """Ping a member and piggyback pending records."""
    membership: MembershipState = state.membership
    sequence = start_probe(membership, target, now)
    first = choose_extra_record(state, target)
    datagram = make_datagram(membership, DatagramKind.PING, sequence, target.vm, first)
    return [SendDatagram(target.address, datagram)]


def send_probe(membership: MembershipState, target: MemberRecord, sequence: int) -> SendDatagram:
    """Ping a member without piggybacking pending records."""
    first = None if target.status is MemberStatus.ALIVE else target
    kind = DatagramKind.PROBE
    datagram = make_minimal_datagram(membership, kind, sequence, target.vm, first)
    return SendDatagram(target.address, datagram)


def start_probe(membership: MembershipState, target: MemberRecord, now: float) -> int:
    """Register a ping of a member and return its sequence number."""
    sequence = membership.next_sequence()
    membership.probes[sequence] = Probe(target.vm, now)
    return sequence


@handles(MembershipTick)
def handle_membership_tick(state: NodeState, event: MembershipTick, now: float) -> list[Effect]:
    """Run the due pings, indirect pings, suspicions and death declarations."""
    membership: MembershipState = state.membership
    effects = check_probes(state, now)
    if not membership.is_ready and now >= membership.may_own_from:
        membership.is_ready = True
        effects.extend(update_eligibility(membership, membership.own.vm))
    effects.extend(expire_suspicions(membership, now))
    effects.extend(ping_watched(membership, now))
    effects.extend(gossip_updates(state))
    if membership.next_period_at is None:
        # A random phase spreads the pings of daemons that start together.
        membership.next_period_at = now + state.rng.random() * membership.settings.period_s
    if now >= membership.next_period_at:
        # After a stall, skip the missed periods.
        membership.next_period_at = max(
            membership.next_period_at + membership.settings.period_s, now
        )
        effects.extend(ping_random_member(state, now))
    if now >= membership.next_reconnect_at:
        membership.next_reconnect_at = now + membership.settings.reconnect_period_s
        effects.extend(ping_dead_member(state, now))
        effects.extend(remove_dead_members(membership))
    return effects


def ping_random_member(state: NodeState, now: float) -> list[Effect]:
    """Ping the next member in a random order that visits each member once per round."""
    membership: MembershipState = state.membership
    if not membership.probe_order:
        membership.probe_order = [vm for vm in membership.members if vm != membership.own.vm]
        state.rng.shuffle(membership.probe_order)
    while membership.probe_order:
        target = membership.members.get(membership.probe_order.pop())
        if target is not None and target.status <= MemberStatus.SUSPECT:
            return send_ping(state, target, now)
    return []


def ping_watched(membership: MembershipState, now: float) -> list[Effect]:
    """Ping the owners that this daemon would replace."""
    effects: list[Effect] = []
    watched = membership.ranking.watched
    for vm in list(membership.watch_due_at):
        if vm not in watched:
            membership.watch_due_at.pop(vm)
    if watched:
        for vm in list_watched_owners(membership):
            if now >= membership.watch_due_at.get(vm, now):
                membership.watch_due_at[vm] = now + membership.settings.watch_period_s
                target = membership.members[vm]
                sequence = start_probe(membership, target, now)
                effects.append(send_probe(membership, target, sequence))
    return effects


def ping_dead_member(state: NodeState, now: float) -> list[Effect]:
    """Ping one random dead member, so that the sides of a healed partition reconnect."""
    membership: MembershipState = state.membership
    dead = [
        vm for vm in membership.changed_at if membership.members[vm].status is MemberStatus.DEAD
    ]
    if not dead:
        return []
    return send_ping(state, membership.members[state.rng.choice(dead)], now)


def remove_dead_members(membership: MembershipState) -> list[Effect]:
    """Remove members that are dead or left and that a later VM list no longer contains.

    Without a later list every member is kept: after a partition while the platform is down, no
    other source knows which members to ping.
    """
    if membership.listed_at is None:
        return []
    oldest_kept = membership.listed_at - membership.settings.dead_retention_s
    expired = [
        vm
        for vm, changed_at in membership.changed_at.items()
        if changed_at < oldest_kept
        and vm not in membership.listed
        and membership.members[vm].status >= MemberStatus.DEAD
    ]
    return [effect for vm in expired for effect in remove_member(membership, vm)]


def check_probes(state: NodeState, now: float) -> list[Effect]:
    """Escalate overdue pings to indirect pings, and overdue indirect pings to suspicion."""
    membership: MembershipState = state.membership
    settings = membership.settings
    effects: list[Effect] = []
    for sequence, probe in list(membership.probes.items()):
        waited_s = now - probe.started_at
        if waited_s >= settings.probe_timeout_s + settings.indirect_timeout_s:
            membership.probes.pop(sequence)
            if probe.is_indirect:
                effects.extend(suspect_member(membership, probe.vm, now))
        elif waited_s >= settings.probe_timeout_s and not probe.is_indirect:
            probe.is_indirect = True
            effects.extend(send_indirect_pings(state, sequence, probe))
    expired = [key for key, relay in membership.relays.items() if now > relay.expires_at]
    for relayed in expired:
        membership.relays.pop(relayed)
    return effects


def send_indirect_pings(state: NodeState, sequence: int, probe: Probe) -> list[Effect]:
    """Ask random members to ping a member that did not answer."""
    membership: MembershipState = state.membership
    count = membership.settings.indirect_members
    helpers = choose_members(membership, state.rng, count, {probe.vm})
    target = membership.members.get(probe.vm)
    if target is None:
        return []
    # Also ping directly again, so that one lost datagram does not cause a suspicion.
    effects: list[Effect] = [send_probe(membership, target, sequence)]
    for helper in helpers:
        kind = DatagramKind.PING_REQUEST
        ping_request = make_minimal_datagram(membership, kind, sequence, probe.vm)
        effects.append(SendDatagram(helper.address, ping_request))
    return effects


def suspect_member(membership: MembershipState, vm: str, now: float) -> list[Effect]:
    """Suspect a member that answered neither direct nor indirect pings."""
    known = membership.members.get(vm)
    if known is None or known.status is not MemberStatus.ALIVE:
        return []
    suspected = replace(known, status=MemberStatus.SUSPECT)
    return store_record(membership, suspected, now, 'no_answer')


def expire_suspicions(membership: MembershipState, now: float) -> list[Effect]:
    """Declare suspects dead that did not refute the suspicion in time."""
    effects: list[Effect] = []
    overdue = [vm for vm, ends_at in membership.suspicion_ends_at.items() if now >= ends_at]
    for vm in overdue:
        dead = replace(membership.members[vm], status=MemberStatus.DEAD)
        effects.extend(store_record(membership, dead, now, 'not_refuted'))
    return effects


@handles(HeartbeatReceived)
def handle_heartbeat(state: NodeState, event: HeartbeatReceived, now: float) -> list[Effect]:
    """Merge the records of a datagram and answer it."""
    membership: MembershipState = state.membership
    datagram = event.datagram
    if datagram.sender == membership.own.vm:
        return []
    effects: list[Effect] = []
    for record in datagram.updates:
        effects.extend(merge_record(membership, record, now, f'heard_from:{datagram.sender}'))
    effects.extend(merge_sender_incarnation(membership, datagram, now))
    return effects + _ANSWERS_BY_KIND[datagram.kind](state, event, now)


def merge_sender_incarnation(
    membership: MembershipState, datagram: Datagram, now: float
) -> list[Effect]:
    """Merge a higher incarnation of the sender, which proves that it is alive."""
    known = membership.members.get(datagram.sender)
    if known is None or datagram.incarnation <= known.incarnation:
        return []
    alive = replace(known, incarnation=datagram.incarnation, status=MemberStatus.ALIVE)
    return store_record(membership, alive, now, 'heard_from_itself')


def answer_ping(state: NodeState, event: HeartbeatReceived, now: float) -> list[Effect]:
    """Acknowledge a ping."""
    membership: MembershipState = state.membership
    datagram = event.datagram
    if datagram.subject and datagram.subject != membership.own.vm:
        # This VM reuses the address of another VM, whose failure must still be detected.
        return []
    first = find_record_to_refute(membership, datagram)
    is_minimal = datagram.kind is DatagramKind.PROBE
    make_ack = make_minimal_datagram if is_minimal else make_datagram
    ack = make_ack(membership, DatagramKind.ACK, datagram.sequence, membership.own.vm, first)
    return [SendDatagram(event.address, ack)]


def accept_ack(state: NodeState, event: HeartbeatReceived, now: float) -> list[Effect]:
    """End a probe, or forward the ACK to the member that requested the ping."""
    membership: MembershipState = state.membership
    datagram = event.datagram
    relay = membership.relays.pop(datagram.sequence, None)
    if relay is not None:
        kind = DatagramKind.ACK
        forwarded = make_minimal_datagram(membership, kind, relay.sequence, datagram.subject)
        return [SendDatagram(relay.requester, forwarded)]
    probe = membership.probes.get(datagram.sequence)
    if probe is not None and probe.vm == datagram.subject:
        membership.probes.pop(datagram.sequence)
    return []


def relay_ping(state: NodeState, event: HeartbeatReceived, now: float) -> list[Effect]:
    """Ping a member on behalf of another one."""
    membership: MembershipState = state.membership
    settings = membership.settings
    target = membership.members.get(event.datagram.subject)
    if target is None:
        return []
    sequence = membership.next_sequence()
    expires_at = now + settings.probe_timeout_s + settings.indirect_timeout_s
    membership.relays[sequence] = Relay(event.address, event.datagram.sequence, expires_at)
    return [send_probe(membership, target, sequence)]


def accept_page(state: NodeState, event: HeartbeatReceived, now: float) -> list[Effect]:
    """Allow ownership soon, because the member list of another daemon is arriving."""
    membership: MembershipState = state.membership
    may_own_from = now + membership.settings.page_wait_s
    membership.may_own_from = min(membership.may_own_from, may_own_from)
    return []


_ANSWERS_BY_KIND = {
    DatagramKind.PING: answer_ping,
    DatagramKind.PROBE: answer_ping,
    DatagramKind.ACK: accept_ack,
    DatagramKind.PING_REQUEST: relay_ping,
    DatagramKind.JOIN: answer_join,
    DatagramKind.PAGE: accept_page,
}


@handles(LeaveRequested)
def handle_leave(state: NodeState, event: LeaveRequested, now: float) -> list[Effect]:
    """Announce that this daemon is giving up its databases, or that it has stopped."""
    membership: MembershipState = state.membership
    own = membership.own
    status = MemberStatus.LEFT if event.done else own.status
    announced = replace(own, incarnation=own.incarnation + 1, leaving=True, status=status)
    effects = announce_own(membership, announced, now, 'leaving')
    chosen = choose_members(membership, state.rng, _LEAVE_FANOUT, set())
    for target in chosen:
        effects.append(send_page(membership, target.address, membership.own))
    return effects
