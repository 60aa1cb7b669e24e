"""State of the membership role."""

import math
import random
from dataclasses import dataclass, field

from cassiaseam.membership.messages import Address, MemberRecord, MemberStatus
from cassiaseam.membership.ranking import RankingIndex


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Intervals, timeouts and limits of the failure detector; times in seconds.

    Attributes:
        period_s: Interval between pings of random members.
        watch_period_s: Interval between pings of a watched owner.
        probe_timeout_s: Timeout of a direct ping, before other members are asked to ping.
        indirect_timeout_s: Further timeout before the member becomes suspect.
        indirect_members: Number of members asked for an indirect ping.
        suspicion_factor: A suspicion lasts this factor times `period_s` times log10 of the number
            of members.
        retransmit_factor: A record is sent this factor times ln of the number of members.
        datagram_bytes: Maximum size of a datagram.
        reconnect_period_s: Interval between pings of dead members; they end a healed partition.
        dead_retention_s: A dead member is removed if a VM list read this long after its death does
            not contain it.
        seeds: Number of members asked for their records at the start.
        page_wait_s: Time after the first page of another member's records until this daemon may
            own databases; the other pages arrive in the meantime.
        isolated_start_wait_s: Time after the start until this daemon may own databases although
            no member answers.
    """

    period_s: float = 1
    watch_period_s: float = 0.5
    probe_timeout_s: float = 0.4
    indirect_timeout_s: float = 0.4
    indirect_members: int = 3
    suspicion_factor: float = 1
    retransmit_factor: float = 3
    datagram_bytes: int = 1200
    reconnect_period_s: float = 5
    dead_retention_s: float = 600
    seeds: int = 3
    page_wait_s: float = 1
    isolated_start_wait_s: float = 5


@dataclass(slots=True)
class Probe:
    """A ping in flight.

    Attributes:
        vm: VM that was pinged.
        started_at: Time in seconds of the ping.
        is_indirect: Whether other members were asked to ping.
    """

    vm: str
    started_at: float
    is_indirect: bool = False


@dataclass(frozen=True, slots=True)
class Relay:
    """A ping in flight on behalf of another member.

    Attributes:
        requester: Address of the member that requested it.
        sequence: Sequence number of the requester.
        expires_at: Time in seconds after which the relay is removed.
    """

    requester: Address
    sequence: int
    expires_at: float


@dataclass(slots=True)
class PendingUpdate:
    """A record that is still being disseminated.

    Attributes:
        record: The record.
        sent: Number of transmissions so far.
        size: Upper bound of its encoded size in bytes.
    """

    record: MemberRecord
    sent: int
    size: int


@dataclass(slots=True)
class MembershipState:
    """Membership as one daemon sees it.

    Attributes:
        own: Record of this daemon.
        ranking: Rankings of database owners.
        settings: Intervals, timeouts and limits.
        members: Records of all known VMs, including this one.
        changed_at: Time in seconds of the latest status change per VM that is not alive.
        listed: VMs in the latest VM list.
        listed_at: Time in seconds at which that list arrived, or None.
        listed_leaving: VMs that the platform is about to remove.
        probe_order: Members still to be pinged in this round.
        probes: Pings in flight by sequence number.
        relays: Pings on behalf of other members by own sequence number.
        suspicion_ends_at: Time in seconds at which each suspect is declared dead.
        updates: Pending records by VM.
        watch_due_at: Next ping of each watched owner, in seconds.
        next_period_at: Next ping of a random member, in seconds.
        next_reconnect_at: Next ping of a dead member, in seconds.
        has_joined: Whether seeds were asked.
        may_own_from: Time in seconds from which this daemon may own databases; before it knows
            the other members it would claim all of them.
        is_ready: Whether that time was reached or a VM list was read.
        sequence: Last sequence number used.
        generation: Incremented with every change of the members that may own databases.
        digest: Hash of the active configuration versions; set by the configuration role.
    """

    own: MemberRecord
    ranking: RankingIndex
    settings: MembershipSettings = field(default_factory=MembershipSettings)
    members: dict[str, MemberRecord] = field(default_factory=dict)
    changed_at: dict[str, float] = field(default_factory=dict)
    listed: set[str] = field(default_factory=set)
    listed_at: float | None = None
    listed_leaving: set[str] = field(default_factory=set)
    probe_order: list[str] = field(default_factory=list)
    probes: dict[int, Probe] = field(default_factory=dict)
    relays: dict[int, Relay] = field(default_factory=dict)
    suspicion_ends_at: dict[str, float] = field(default_factory=dict)
    updates: dict[str, PendingUpdate] = field(default_factory=dict)
    watch_due_at: dict[str, float] = field(default_factory=dict)
    next_period_at: float | None = None
    next_reconnect_at: float = 0
    has_joined: bool = False
    may_own_from: float = 0
    is_ready: bool = False
    sequence: int = 0
    generation: int = 0
    digest: int = 0

    def next_sequence(self) -> int:
        """Return a new sequence number of 32 bits."""
        self.sequence = (self.sequence + 1) % 2**32
        return self.sequence

    def suspicion_s(self) -> float:
        """Return how long a suspect may prove that it is alive, in seconds."""
        scale = max(1.0, math.log10(len(self.members)))
        return self.settings.suspicion_factor * self.settings.period_s * scale

    def retransmit_limit(self) -> int:
        """Return the number of times a record is sent."""
        return math.ceil(self.settings.retransmit_factor * math.log(len(self.members) + 1))

    def is_alive(self, vm: str) -> bool:
        """Return whether a VM has the status `ALIVE`."""
        record = self.members.get(vm)
        return record is not None and record.status is MemberStatus.ALIVE


def create_membership(
    own: MemberRecord, now: float, settings: MembershipSettings | None = None
) -> MembershipState:
    """Return the state of a daemon that has just started.

    Args:
        own: Record of this daemon; its incarnation is higher than in earlier runs.
        now: Time in seconds.
        settings: Intervals, timeouts and limits, or None for the defaults.
    """
    membership = MembershipState(
        own, RankingIndex(own.vm), settings or MembershipSettings(), next_reconnect_at=now
    )
    membership.may_own_from = now + membership.settings.isolated_start_wait_s
    membership.members[own.vm] = own
    return membership


def choose_members(
    membership: MembershipState, rng: random.Random, count: int, excluded: set[str]
) -> list[MemberRecord]:
    """Return up to `count` random live members other than this one."""
    names = list(membership.members)
    chosen: list[MemberRecord] = []
    tries = min(len(names), count * 4 + 8)
    for vm in rng.sample(names, tries):
        is_usable = vm not in excluded and vm != membership.own.vm
        if is_usable and membership.is_alive(vm):
            chosen.append(membership.members[vm])
            if len(chosen) == count:
                break
    return chosen


def has_failed_member(membership: MembershipState | None) -> bool:
    """Return whether a member is suspected or dead, as opposed to one that left."""
    if membership is None:
        return False
    failed = (MemberStatus.SUSPECT, MemberStatus.DEAD)
    return any(membership.members[vm].status in failed for vm in membership.changed_at)
