"""State of the membership role."""

import math
import random
from dataclasses import dataclass, field

from cassiaseam.membership.messages import Address, MemberRecord, MemberStatus
from cassiaseam.membership.ranking import RankingIndex


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Periods and limits of the failure detector; times in seconds.

    Attributes:
        period_s: Time between two pings of random members.
        watch_period_s: Time between two pings of a watched owner.
        probe_timeout_s: Time for an answer before other members are asked to ping.
        indirect_timeout_s: Further time before the member becomes suspect.
        indirect_members: Members asked to ping.
        suspicion_factor: Suspicion lasts this many periods times log10 of the members.
        retransmit_factor: An update is sent this many times ln of the members.
        datagram_bytes: Largest datagram.
        reconnect_period_s: Time between two pings of dead members, after a partition.
        forget_after_s: A dead member is dropped when a VM list that was read this long after its
            death does not contain it.
        seeds: Members asked for their view at the start.
        page_wait_s: Time after the first page of another member's view until this daemon may own
            databases; the other pages arrive meanwhile.
        lonely_wait_s: The same after a start at which nobody answers.
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
    forget_after_s: float = 600
    seeds: int = 3
    page_wait_s: float = 1
    lonely_wait_s: float = 5


@dataclass(slots=True)
class Probe:
    """A ping without an answer yet.

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
    """A ping made for another member.

    Attributes:
        requester: Address of the member that asked.
        sequence: Its sequence number.
        expires_at: Time in seconds after which the relay is dropped.
    """

    requester: Address
    sequence: int
    expires_at: float


@dataclass(slots=True)
class PendingUpdate:
    """A record that is still being spread.

    Attributes:
        record: The record.
        sent: How often it was piggybacked.
        size: Upper bound of its encoded size in bytes.
    """

    record: MemberRecord
    sent: int
    size: int


@dataclass(slots=True)
class MembershipState:
    """View of one daemon.

    Attributes:
        own: Record of this daemon.
        ranking: Owners of databases.
        settings: Periods and limits.
        members: Records of all known VMs, including this one.
        changed_at: Time in seconds of the latest status change per VM that is not alive.
        listed: VMs in the latest VM list.
        listed_at: Time in seconds at which that list arrived, or None.
        listed_leaving: VMs that the platform is about to take away.
        probe_order: Members still to be pinged in this round.
        probes: Pings under way by sequence number.
        relays: Pings for others by own sequence number.
        suspicion_ends_at: Time in seconds at which a suspect becomes dead.
        updates: Records being spread.
        watch_due_at: Next ping of each watched owner, in seconds.
        next_period_at: Next ping of a random member, in seconds.
        next_reconnect_at: Next ping of a dead member, in seconds.
        has_joined: Whether seeds were asked.
        may_own_from: Time in seconds from which this daemon may own databases; before it knows
            the others it would take all of them.
        is_ready: Whether that time was reached or a VM list was read.
        sequence: Last sequence number used.
        generation: Raised with every change of the members that may own databases.
        digest: Hash of the configuration versions; set by the configuration role.
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
        """Return how often a record is piggybacked."""
        return math.ceil(self.settings.retransmit_factor * math.log(len(self.members) + 1))

    def is_alive(self, vm: str) -> bool:
        """Return whether a VM is believed to be alive."""
        record = self.members.get(vm)
        return record is not None and record.status is MemberStatus.ALIVE


def create_membership(
    own: MemberRecord, now: float, settings: MembershipSettings | None = None
) -> MembershipState:
    """Return the state of a daemon that has just started.

    Args:
        own: Record of this daemon; its incarnation is higher than in earlier runs.
        now: Time in seconds.
        settings: Periods and limits.
    """
    membership = MembershipState(
        own, RankingIndex(own.vm), settings or MembershipSettings(), next_reconnect_at=now
    )
    membership.may_own_from = now + membership.settings.lonely_wait_s
    membership.members[own.vm] = own
    return membership


def choose_members(
    membership: MembershipState, rng: random.Random, count: int, excluded: set[str]
) -> list[MemberRecord]:
    """Return up to `count` random members that are alive, apart from this one."""
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
