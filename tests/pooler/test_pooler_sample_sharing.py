"""Sharing of quorum samples between the VMs of a place."""

import random

import pytest
from fake_target import GROUP
from pooler_world import MAX_AGE_S, World, is_success, poll_targets
from test_pooler_quorum import NEAR, build_group, follows

from cassiaseam.group.state import QuorumSample
from cassiaseam.pooler import connections, peers, sample_sharing
from cassiaseam.pooler.admission import headroom
from cassiaseam.pooler.commands import StatementKind
from cassiaseam.pooler.events import (
    AgedPosition,
    PeerRecord,
    PeersListed,
    SampleReceived,
    SampleRequested,
)
from cassiaseam.pooler.evidence import log_loss
from cassiaseam.pooler.peer_state import PeerState, SampleRequest, SampleWaiter
from cassiaseam.pooler.state import PoolerState
from cassiaseam.positions import LogPosition
from cassiaseam.reducer.registry import reduce_event

CUT_S = 30.0
VM_COUNT = 12
READS_PER_VM = 8


def count_polls(world):
    return sum(vm.state.commands_sent.get('ReadStatus', 0) for vm in world.vms.values())


def read_on_every_vm(world, database, pause_s):
    """Send a read on every VM once per pause, and return the calls."""
    calls = []
    for index, name in enumerate(world.vms):
        world.connect(name, 1, database)
        for turn in range(READS_PER_VM):
            at = world.now + turn * pause_s + index * pause_s / len(world.vms)
            world.at(
                at,
                lambda vm_name=name: calls.append(
                    world.send(vm_name, 1, StatementKind.READ, database)
                ),
            )
    world.run_until(world.now + (READS_PER_VM + 1) * pause_s)
    return calls


def test_vms_of_a_place_share_status_polls():
    # Without sharing, 195 VMs with 0.4 reads per second and group each polled a majority for
    # nearly every read: 25,979 polls in 14 s on the large esoviz site.
    polls = {}
    for shared in (False, True):
        world = World(vms=VM_COUNT, shared=shared)
        world.connect('vm0', 2, 'prices')
        world.send('vm0', 2, StatementKind.READ)
        world.run_until(0.5)
        before = count_polls(world)
        calls = read_on_every_vm(world, 'prices', pause_s=2)
        assert len(calls) == VM_COUNT * READS_PER_VM
        assert all(is_success(call) for call in calls)
        polls[shared] = count_polls(world) - before
    # A majority of two targets per accepted age, and as many polls again for early refreshes.
    assert polls[True] <= 2 * 2 * (READS_PER_VM + 1) * 2 / MAX_AGE_S
    assert polls[False] > 4 * polls[True]


@pytest.mark.parametrize('fault', ['cut', 'frozen', 'lossy'])
def test_reads_succeed_when_the_sampling_vm_does_not_respond(fault):
    world = World(vms=3, shared=True)
    world.run_until(3)
    sampling_vm = max(world.vms, key=lambda name: peers.rank_vm(name, GROUP))
    requester = next(vm for vm in world.vms.values() if vm.name != sampling_vm)
    sampler = requester.state.peers[sampling_vm]
    if fault == 'cut':
        world.cut(requester.name, sampling_vm, 20)
    elif fault == 'frozen':
        world.freeze(sampling_vm, 20)
    else:
        world.datagrams_to_drop = 1
    world.connect(requester.name, 1, 'prices')
    call = world.send(requester.name, 1, StatementKind.READ)
    world.run_until(world.now + 0.3)
    assert is_success(call), call
    assert sampler.failures == 1


def make_state(*records):
    state = PoolerState('vm-b', 'p0', random.Random(1))
    reduce_event(state, PeersListed(records), 0)
    return state


def test_all_vms_of_a_place_agree_on_the_sampler():
    records = [PeerRecord(f'vm-{index}', 'p0', f'10.0.0.{index}', 1) for index in range(9)]
    chosen = set()
    for record in records:
        state = PoolerState(record.vm, 'p0', random.Random(1))
        reduce_event(state, PeersListed(tuple(records)), 0)
        peer = peers.choose_sampler(state, 'g', 1)
        chosen.add(peer.record.vm if peer else record.vm)
    assert len(chosen) == 1


@pytest.mark.parametrize(
    ('place', 'backoff_until', 'expected'), [('p0', 0, True), ('p1', 0, False), ('p0', 5, False)]
)
def test_only_responsive_vms_of_the_same_place_are_chosen(place, backoff_until, expected):
    ranked = [f'vm-{index}' for index in range(50)]
    best = max(ranked, key=lambda name: peers.rank_vm(name, 'g'))
    state = make_state(PeerRecord(best, place, '10.0.0.9', 1))
    state.peers[best].backoff_until = backoff_until
    assert (peers.choose_sampler(state, 'g', 4) is not None) is expected


def test_peer_list_update_preserves_state_of_known_peers():
    first, second = (PeerRecord(f'vm-{index}', 'p0', '10.0.0.1', index) for index in range(2))
    state = make_state(first, second)
    state.peers['vm-0'].failures = 3
    reduce_event(state, PeersListed((first, PeerRecord('vm-b', 'p0', '10.0.0.2', 1))), 1)
    assert state.peers == {'vm-0': PeerState(first, failures=3)}


@pytest.mark.parametrize(('failures', 'pause_s'), [(0, 2), (1, 4), (3, 16), (4, 30), (9, 30)])
def test_backoff_of_unresponsive_peer_doubles_up_to_the_maximum(failures, pause_s):
    peer = PeerState(PeerRecord('vm-a', 'p0', '10.0.0.1', 1), failures=failures)
    peers.mark_unresponsive(peer, 100)
    assert peer.backoff_until == 100 + pause_s


def apply_response(world, age_s, group_size=3, nonce=7):
    """Apply a response on vm0 to a request sent 0.04 s ago; return its result and the samples."""
    vm = world.vms['vm0']
    group = vm.state.groups[GROUP]
    group.sample_request = SampleRequest(7, 'vm1', world.now - 0.04)
    group.monitor.samples.clear()
    aged = AgedPosition(age_s, LogPosition(1, 0), 1)
    usable = sample_sharing.apply_sample_response(
        vm.state, group, SampleReceived(nonce, GROUP, (aged,), group_size, {}), world.now
    )
    return usable, group.monitor.samples


def test_received_sample_is_dated_from_the_time_of_the_request():
    # A sample dated from the arrival of the response would seem younger than it is, and reads
    # would miss commits.
    world = World(vms=2, shared=True)
    world.run_until(0.5)
    usable, samples = apply_response(world, age_s=0.2)
    assert usable
    assert [sample.started_at for sample in samples] == [pytest.approx(0.5 - 0.04 - 0.2)]


@pytest.mark.parametrize(('group_size', 'nonce'), [(1, 7), (2, 7), (3, 8)])
def test_response_with_smaller_group_or_other_nonce_is_rejected(group_size, nonce):
    # A majority of fewer targets may lack acknowledged commits.
    world = World(vms=2, shared=True)
    world.run_until(0.5)
    assert apply_response(world, 0.1, group_size, nonce) == (False, [])


def test_sample_of_a_vm_that_does_not_know_of_a_lost_log_is_not_used():
    # t0 and t2 held a commit that t1 lacked, and t2 lost its log, which one VM saw. It asked
    # another VM, which had never polled t2, for a sample, and that of t1 and t2 lacked the commit.
    world = World(vms=2, shared=True)
    sampler = max(world.vms, key=lambda name: peers.rank_vm(name, GROUP))
    vm = next(it for it in world.vms.values() if it.name != sampler)
    world.connect(vm.name, 1, 'prices')
    world.connect(vm.name, 2, 'orders')
    world.run_until(0.2)
    world.cut('t0', 't1', CUT_S)
    written = world.send(vm.name, 2, StatementKind.WRITE, 'new')
    world.run_until(0.5)
    assert is_success(written)
    poll_targets(vm)
    world.run_until(0.6)
    for other in ('t2', *world.vms):
        world.cut('t0', other, CUT_S)
    world.wipe('t2', 0.2, CUT_S)
    for _ in range(3):
        world.run_until(world.now + 0.2)
        poll_targets(vm)
    world.run_until(world.now + 0.1)
    assert log_loss.has_lost_log(vm.state.groups[GROUP].targets['t2'])
    world.run_until(written.answered_at + MAX_AGE_S + 0.4)
    read = world.send(vm.name, 1, StatementKind.READ)
    # A request whose response is rejected would delay the read.
    assert vm.state.groups[GROUP].sample_request is None
    world.run_until(world.now + 1.2)
    assert not is_success(read) or 'new' in read.answer.rows


def test_response_that_arrives_after_a_lost_log_was_seen_is_rejected():
    group = build_group([(NEAR, 1, follows(1, 9)), (NEAR, 2, follows(1, 8))])
    group.sample_request = SampleRequest(7, 'vm0', 1.5)
    event = SampleReceived(7, GROUP, (AgedPosition(0, LogPosition(1, 8), 1),), 3, {})
    state = PoolerState('vm1', 'p0', random.Random(1))
    assert not sample_sharing.apply_sample_response(state, group, event, 2.5)
    assert not group.monitor.samples


def test_expired_sample_waiters_are_removed():
    # While no target responds, the waiters of all requests would accumulate.
    world = World(vms=2, shared=True)
    world.run_until(3)
    sampling_vm = world.vms[max(world.vms, key=lambda name: peers.rank_vm(name, GROUP))]
    for target in world.targets:
        world.mute(target, 60)
    for _ in range(5):
        sampling_vm.dispatch(SampleRequested('vm9', 0, 1, GROUP, 0))
    group = sampling_vm.state.groups[GROUP]
    assert len(group.sample_waiters) == 5
    world.run_until(3.3)
    assert not group.sample_waiters


def test_sampling_vm_polls_busy_targets_again_for_the_others():
    # The VM that samples gave up after one poll that was answered BUSY. After 60 ms, all VMs of
    # its place polled the busy targets themselves.
    world = World(vms=3, shared=True)
    sampler = max(world.vms, key=lambda name: peers.rank_vm(name, GROUP))
    others = [name for name in world.vms if name != sampler]
    for number, name in enumerate(others):
        world.connect(name, number, 'prices')
        world.send(name, number, StatementKind.READ)
    world.run_until(3)
    polled = [world.vms[name].state.commands_sent.get('ReadStatus', 0) for name in others]
    for target in world.targets.values():
        target.polls_busy_until = 3.01
    calls = [world.send(name, number, StatementKind.READ) for number, name in enumerate(others)]
    world.run_until(3.3)
    assert all(is_success(call) for call in calls)
    after = [world.vms[name].state.commands_sent.get('ReadStatus', 0) for name in others]
    assert after == polled


def test_assumed_connection_counts_are_not_told_to_other_vms():
    # The sampling VM polls a majority and may never learn the usage of the third target. It told
    # the other VMs that this target was full, and they closed their connections to it.
    world = World(vms=1)
    state = world.vms['vm0'].state
    group = state.groups[GROUP]
    group.monitor.samples.append(QuorumSample(0, LogPosition(1, 1), 1))
    full = headroom.FULL_TARGET_CONNECTIONS
    for name, count, known_at in (('t0', 7, 0), ('t1', 0, 0.1), ('t2', full, None)):
        group.targets[name].reported_connections = count
        group.targets[name].connections_known_at = known_at
    waiter = SampleWaiter('vm1', 0, 1, 0, 1)
    response = sample_sharing.build_sample_response(state, group, waiter, 0.5)
    assert response.connections == {'t0': 7, 't1': 0}


class SampledWorld(World):
    """VMs of one place whose reads need a new sample from 3 s on.

    Attributes:
        sampler: Name of the VM that samples for the others.
        others: Names of the other VMs.
        datagrams: Events of the datagrams that were sent, with the names of sender and receiver.
    """

    def __init__(self, vms):
        self.datagrams = []
        super().__init__(vms=vms, shared=True)
        self.sampler = max(self.vms, key=lambda name: peers.rank_vm(name, GROUP))
        self.others = [name for name in self.vms if name != self.sampler]
        for number, name in enumerate(self.others):
            self.connect(name, number, 'prices')
            self.send(name, number, StatementKind.READ)
        self.run_until(3)
        self.datagrams.clear()

    def send_datagram(self, sender, receiver, event):
        self.datagrams.append((sender, receiver, event))
        super().send_datagram(sender, receiver, event)

    def keep_busy(self, until, names=('t0', 't1', 't2')):
        """Let targets answer BUSY to status polls until a time."""
        for name in names:
            self.targets[name].polls_busy_until = until

    def read_on_others(self):
        return [
            self.send(name, number, StatementKind.READ) for number, name in enumerate(self.others)
        ]

    def count_polls_of_others(self):
        return sum(self.vms[name].state.commands_sent.get('ReadStatus', 0) for name in self.others)

    def count_failures(self):
        """Return how many requests to the sampling VM count as not answered."""
        return sum(self.vms[name].state.peers[self.sampler].failures for name in self.others)


@pytest.mark.parametrize('busy_s', [0.01, 0.04, 0.08, 0.15, 0.4])
def test_vms_do_not_poll_targets_that_are_too_busy_to_answer_the_sampling_vm(busy_s):
    # After 60 ms of BUSY, all VMs of a place polled the busy targets themselves for a second and
    # took the VM that samples for dead.
    world = SampledWorld(vms=20)
    polls = world.count_polls_of_others()
    world.keep_busy(3 + busy_s)
    calls = world.read_on_others()
    world.run_until(3 + busy_s + 0.25)
    assert all(is_success(call) for call in calls)
    requests = [event for *_, event in world.datagrams if isinstance(event, SampleRequested)]
    requests_per_vm = 2 + busy_s / sample_sharing.REPEAT_REQUEST_AFTER_S
    assert len(requests) <= len(world.others) * requests_per_vm
    world.run_until(5.5)
    assert world.count_polls_of_others() == polls
    assert world.count_failures() == 0


def test_sampling_vm_that_dies_while_targets_are_busy_is_replaced():
    # An answer that targets are busy holds for a limited time.
    world = SampledWorld(vms=4)
    world.keep_busy(3.2)
    calls = world.read_on_others()
    world.run_until(3.05)
    world.freeze(world.sampler, 20)
    world.run_until(3.45)
    assert all(is_success(call) for call in calls)


@pytest.mark.parametrize('busy_before', [False, True])
def test_sampling_vm_that_is_cut_off_does_not_answer_that_targets_are_busy(busy_before):
    # One busy target, or an earlier BUSY, does not show that a majority is only busy.
    world = SampledWorld(vms=3)
    if busy_before:
        world.keep_busy(3.1)
        request = SampleRequested(world.others[0], 0, 1, GROUP, 0)
        world.vms[world.sampler].dispatch(request)
        world.run_until(3.1)
    for name in ('t1', 't2'):
        world.cut(world.sampler, name, 20)
    world.run_until(world.now + 0.3)
    world.keep_busy(9, ('t0',))
    calls = world.read_on_others()
    world.run_until(world.now + 0.3)
    assert all(is_success(call) for call in calls)


def test_earlier_versions_are_not_told_that_targets_are_busy():
    # They take a response without samples for a sample and ask again at once.
    world = SampledWorld(vms=2)
    world.keep_busy(9)
    (other,) = world.others
    world.vms[world.sampler].dispatch(SampleRequested(other, 0, 1, GROUP, 0))
    world.run_until(3.5)
    assert not world.datagrams
    request = SampleRequested(other, 0, 1, GROUP, 0, accepts_busy=True)
    world.vms[world.sampler].dispatch(request)
    world.run_until(4)
    assert [event.positions for *_, event in world.datagrams] == [()]


@pytest.mark.parametrize(
    ('known_at', 'count', 'told'),
    [(None, 95, False), (98.9, 95, False), (99, 95, True), (99.5, 95, True)],
)
def test_connection_counts_older_than_the_sample_are_not_told(known_at, count, told):
    # The VM that samples polls a majority. Its count of the third target may be minutes old and
    # replaced newer ones of the other VMs.
    world = World(vms=1)
    state = world.vms['vm0'].state
    group = state.groups[GROUP]
    group.monitor.samples.append(QuorumSample(99, LogPosition(1, 1), 1))
    group.targets['t2'].reported_connections = count
    group.targets['t2'].connections_known_at = known_at
    waiter = SampleWaiter('vm1', 0, 1, 99, 101)
    response = sample_sharing.build_sample_response(state, group, waiter, 100)
    assert response.connections == ({'t2': count} if told else {})


def test_target_that_has_just_refused_a_connection_is_told_as_full():
    # Otherwise each VM of a place opens connections to a full target until it is refused as well.
    world = World(vms=1)
    state = world.vms['vm0'].state
    group = state.groups[GROUP]
    group.monitor.samples.append(QuorumSample(99, LogPosition(1, 1), 1))
    connections.record_connection_limit(group.targets['t2'], random.Random(1), 99.5)
    waiter = SampleWaiter('vm1', 0, 1, 99, 101)
    response = sample_sharing.build_sample_response(state, group, waiter, 100)
    assert response.connections == {'t2': headroom.FULL_TARGET_CONNECTIONS}


@pytest.mark.parametrize(
    ('known_at', 'expected'), [(None, 95), (98.85, 95), (98.95, 5), (99.95, 5)]
)
def test_told_connection_count_does_not_replace_a_newer_one(known_at, expected):
    # The request was sent at 99.9 s and the sample is 1 s old: the count is as of 98.9 s or later.
    world = World(vms=2, shared=True)
    vm = world.vms['vm0']
    group = vm.state.groups[GROUP]
    target = group.targets['t2']
    target.reported_connections = 5
    target.connections_known_at = known_at
    group.sample_request = SampleRequest(1, 'vm1', 99.9)
    aged = AgedPosition(1, LogPosition(1, 1), 1)
    event = SampleReceived(1, GROUP, (aged,), 3, {'t2': 95})
    assert sample_sharing.apply_sample_response(vm.state, group, event, 100)
    assert target.reported_connections == expected
