import asyncio
from types import SimpleNamespace

import pytest

from cassiaseam.configuration.document import (
    compress_document,
    find_shard,
    read_confirmation_stamp,
)
from cassiaseam.configuration.model import (
    DatabaseConfig,
    DatabaseConfigured,
    OwnershipChanged,
    TargetConfig,
)
from cassiaseam.configuration.state import create_configuration
from cassiaseam.daemon.node import EXECUTORS
from cassiaseam.membership.messages import (
    Datagram,
    DatagramKind,
    MemberChanged,
    MemberRecord,
    MemberStatus,
)
from cassiaseam.messages import TimelineRecord
from cassiaseam.peers import executors
from cassiaseam.peers.codec import decode_message, encode_message
from cassiaseam.peers.datagrams import MembershipProtocol, encode_datagram
from cassiaseam.peers.messages import CancelRequest, EncodedShard, Ping
from cassiaseam.peers.stamps import MessageStamps
from cassiaseam.peers.store_loops import StoreLoops
from cassiaseam.peers.transport import PeerTransport
from cassiaseam.plans.codec import encode_shard
from cassiaseam.plans.model import Confirmed
from cassiaseam.timeline.buffer import TimelineBuffer, TimelineQuery
from cassiaseam.timeline.merge import merge_timeline_pages

LOOPBACK = '127.0.0.1'
WALL_S = 1_800_000_000.0
QUERY = TimelineQuery()
ROLES = (executors,)


class Daemon:
    """Time line of one daemon with a fixed, skewed wall clock."""

    def __init__(self, vm, skew_s):
        self.wall_s = WALL_S + skew_s
        self.stamps = MessageStamps(wall_clock=lambda: self.wall_s)
        self.buffer = TimelineBuffer(vm, 'a', 'run', 100, self.stamps.clock)
        self.vm = vm

    def record(self, kind):
        self.buffer.append_record(TimelineRecord(kind), self.wall_s)


def merge_kinds(*daemons):
    pages = [daemon.buffer.read_page(QUERY) for daemon in daemons]
    return [entry.record.kind for entry in merge_timeline_pages(pages, {}, QUERY).entries]


async def send_over_tcp(sender, receiver, on_message):
    addresses = {}
    one = PeerTransport(sender.vm, 1, addresses.get, stamps=sender.stamps)
    two = PeerTransport(receiver.vm, 1, addresses.get, stamps=receiver.stamps)
    arrived = asyncio.Event()

    def accept(vm, message):
        on_message()
        arrived.set()

    two.on_message = accept
    try:
        addresses[receiver.vm] = (LOOPBACK, await two.start(LOOPBACK, 0))
        one.send_message(receiver.vm, CancelRequest('orders', 'r1'))
        await asyncio.wait_for(arrived.wait(), 10)
    finally:
        await one.stop()
        await two.stop()


async def send_over_udp(sender, receiver, on_message):
    protocol = MembershipProtocol(lambda datagram, address: on_message(), receiver.stamps)
    datagram = Datagram(DatagramKind.PING, sender.vm, 1)
    encoded = encode_datagram(datagram, sender.stamps.issue())
    protocol.datagramReceived(encoded, (LOOPBACK, 1))


@pytest.mark.parametrize('send', [send_over_tcp, send_over_udp])
@pytest.mark.parametrize(
    ('sender_skew_s', 'receiver_skew_s'), [(0, 0), (0, -30), (5, -50), (-30, 30), (0, -0.001)]
)
def test_effect_never_precedes_its_cause_on_a_daemon_whose_clock_is_behind(
    send, sender_skew_s, receiver_skew_s
):
    sender, receiver = Daemon('vm-b', sender_skew_s), Daemon('vm-a', receiver_skew_s)
    sender.record('cause')
    asyncio.run(send(sender, receiver, lambda: receiver.record('effect')))
    assert merge_kinds(sender, receiver) == ['cause', 'effect']


@pytest.mark.parametrize('stamp', [(0, 0), (int(WALL_S * 1000) + 61_000, 0)])
def test_missing_or_far_future_stamp_does_not_advance_the_clock(stamp):
    stamps = MessageStamps(wall_clock=lambda: WALL_S)
    before = stamps.issue()
    envelope = decode_message(encode_message(0, Ping(wants_answer=True), 0, stamp), 0)
    assert envelope.stamp == stamp
    stamps.observe(envelope.stamp)
    assert stamps.issue() == (before[0], before[1] + 1)
    assert stamps.counters['refused_stamps'] == int(stamp[0] > 0)


@pytest.mark.parametrize('skew_s', [0, -30, 30])
def test_configuration_sorts_after_its_confirmation_despite_clock_skew(skew_s):
    operator, daemon = Daemon('vm-b', 0), Daemon('vm-a', skew_s)
    operator.record('plan_confirming')
    stamp = operator.buffer.records[-1].record.stamp
    config = DatabaseConfig('orders', (TargetConfig('t1', LOOPBACK, 3306, 'a'),))
    document = encode_shard({'orders': config}, Confirmed('p', 'team', 'at', stamp))
    state = SimpleNamespace(configuration=create_configuration())
    node = SimpleNamespace(state=state, dispatch=lambda event: daemon.record(type(event).__name__))
    loops = StoreLoops(node, None, None, daemon.stamps)
    shard = EncodedShard(find_shard('orders'), 1, compress_document(document))
    loops.apply_document(shard, document, 'store')
    assert merge_kinds(operator, daemon) == ['plan_confirming', 'ShardReceived']


@pytest.mark.parametrize(
    'document', [None, {}, {'confirmed': None}, {'confirmed': {'stamp': [-1, 'x']}}]
)
def test_shard_without_a_valid_stamp_does_not_advance_the_clock(document):
    assert read_confirmation_stamp(document) == (0, 0)


class FakeNode:
    """Node that stores dispatched events without handling them."""

    def __init__(self):
        self.services = {TimelineBuffer: TimelineBuffer('vm-1', 'a', 'run', 10)}

    def dispatch(self, event):
        self.event = event


def make_member(status, leaving=False):
    return MemberChanged(MemberRecord('vm-2', 7, status, 'a', '10.0.0.2', 1, leaving), 'silence')


@pytest.mark.parametrize(
    ('effect', 'kind', 'database'),
    [
        (make_member(MemberStatus.ALIVE), 'member_alive', ''),
        (make_member(MemberStatus.SUSPECT), 'member_suspect', ''),
        (make_member(MemberStatus.DEAD), 'member_dead', ''),
        (make_member(MemberStatus.LEFT, leaving=True), 'member_left', ''),
        (OwnershipChanged('orders', owns=True), 'ownership_gained', 'orders'),
        (OwnershipChanged('orders', owns=False), 'ownership_lost', 'orders'),
        (
            DatabaseConfigured(DatabaseConfig('orders', (), version=4)),
            'configuration_in_force',
            'orders',
        ),
    ],
)
def test_membership_and_ownership_changes_are_recorded_on_the_time_line(effect, kind, database):
    node = FakeNode()
    EXECUTORS[type(effect)](node, effect)
    (entry,) = node.services[TimelineBuffer].read_page(QUERY).records
    assert (entry.record.kind, entry.record.database) == (kind, database)
