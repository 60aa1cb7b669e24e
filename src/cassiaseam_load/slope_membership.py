"""Scaling of membership: traffic, CPU time, detection time and memory by number of nodes."""

import random
from collections.abc import Iterator
from dataclasses import replace

from cassiaseam.membership.messages import (
    Datagram,
    DatagramKind,
    HeartbeatReceived,
    MemberRecord,
    MemberStatus,
)
from cassiaseam.membership.records import update_eligibility
from cassiaseam.membership.state import create_membership
from cassiaseam_load.cluster_simulation import make_record
from cassiaseam_load.membership_benchmark import SIZES, measure_membership
from cassiaseam_load.slope_configuration import (
    PLACES,
    apply_shards,
    build_simulation,
    make_databases,
    split_into_shards,
)
from cassiaseam_load.slope_registry import Point, measures_role
from cassiaseam_load.slope_support import US_PER_S, measure_cpu_s, trace_memory

ROLE = 'membership'
KNOWN_MEMBERS = (200, 700, 1400)
DATABASES = (640, 1280, 2560)
MEMBERS = 1400
LOST_MEMBERS = 100


@measures_role(ROLE)
def measure_members() -> Iterator[Point]:
    """Measure simulated clusters, the memory of one daemon and the CPU time per lost member."""
    for known in KNOWN_MEMBERS:
        yield Point(
            ROLE, 'heap of the view of one node', known, measure_membership_heap(known), 'bytes'
        )
    for databases in DATABASES:
        lost_us = measure_lost_members(databases)
        quantity = 'processor time per lost member, by databases'
        yield Point(ROLE, quantity, databases, lost_us, 'us')
    for nodes in SIZES:
        found = measure_membership(nodes)
        yield Point(ROLE, 'bytes sent per node', nodes, found.sent_bytes_per_s, 'bytes/s')
        yield Point(ROLE, 'datagrams sent per node', nodes, found.datagrams_per_s, '1/s')
        yield Point(ROLE, 'processor time per node', nodes, found.cpu_percent, '% of a core')
        yield Point(ROLE, 'time until first detected', nodes, found.detected_s, 's')
        yield Point(ROLE, 'time until seen by all', nodes, found.seen_by_all_s, 's')


def measure_membership_heap(known: int) -> int:
    """Return the heap size in bytes of one daemon's membership state."""
    own = make_record(0, 'place-0')
    with trace_memory() as read_bytes:
        membership = create_membership(own, 0)
        for number in range(known):
            record = make_record(number, f'place-{number % PLACES}')
            membership.members[record.vm] = record
            update_eligibility(membership, record.vm)
        return read_bytes()


def measure_lost_members(databases: int) -> float:
    """Return the CPU time in microseconds for a daemon to process one lost member."""
    simulation = build_simulation(MEMBERS)
    apply_shards(simulation, split_into_shards(make_databases(databases)))
    vm = next(iter(simulation.nodes))
    node = simulation.nodes[vm]
    others = [record for record in node.state.membership.members.values() if record.vm != vm]
    lost = random.Random(1).sample(others, LOST_MEMBERS)
    events = [make_report(others[0], record) for record in lost]

    def learn() -> None:
        for event in events:
            apply_shards(simulation, [event])

    return measure_cpu_s(learn) / LOST_MEMBERS * US_PER_S


def make_report(sender: MemberRecord, lost: MemberRecord) -> HeartbeatReceived:
    """Return a datagram that reports a member as dead."""
    dead = replace(lost, status=MemberStatus.DEAD)
    datagram = Datagram(DatagramKind.ACK, sender.vm, sender.incarnation, updates=(dead,))
    return HeartbeatReceived(datagram, sender.address)
