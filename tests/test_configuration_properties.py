import random
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiaseam.configuration.document import (
    SHARD_COUNT,
    compress_document,
    decode_shard_document,
    decompress_document,
    encode_shard_document,
    find_shard,
    format_shard_key,
    parse_shard_key,
)
from cassiaseam.configuration.messages import (
    ReadStore,
    SendVersions,
    SetWatching,
    ShardReceived,
    ShardRejected,
    VersionsReceived,
)
from cassiaseam.configuration.model import (
    DatabaseConfig,
    DatabaseConfigured,
    DatabaseRemoved,
    TargetConfig,
    TargetState,
)
from cassiaseam.configuration.state import read_versions_in_force
from cassiaseam.errors import ErrorKind
from cassiaseam.reducer.registry import reduce_event
from cassiaseam_load.cluster_simulation import (
    ClusterSimulation,
    SimulatedNetwork,
    fill_members,
    make_record,
)

COUNT = 6
FIRST = DatabaseConfig('orders', (TargetConfig('t1', '10.0.0.1', 3306, 'p0'),))


def make_vm(number):
    return f'vm-{number:04d}'


class StoredCluster:
    """A simulated cluster with a store that may be down or deliver late."""

    def __init__(self, seed, network=None):
        self.simulation = ClusterSimulation(random.Random(seed), network or SimulatedNetwork())
        self.simulation.on_effect = self.apply_effect
        self.versions = {}
        self.history = []
        self.is_down = False
        self.watching = set()
        self.seen = {}
        for number in range(COUNT):
            self.simulation.start_node(make_record(number, f'p{number % 2}'))
        fill_members(self.simulation)

    def apply_effect(self, vm, effect):
        if isinstance(effect, ReadStore) and not self.is_down:
            for number, version in self.versions.items():
                self.deliver(vm, number, version, 0.05)
        if isinstance(effect, SetWatching):
            (self.watching.add if effect.is_active else self.watching.discard)(vm)

    def deliver(self, vm, number, version, delay_s):
        event = ShardReceived(number, version, (), b'document', 'store')
        self.simulation.schedule(delay_s, vm, event)

    def write(self, number):
        version = len(self.history) + 1
        self.versions[number] = version
        self.history.append((number, version))
        for vm in sorted(self.watching if not self.is_down else ()):
            self.deliver(vm, number, version, 0.01)

    def restart(self, vm, number):
        self.watching.discard(vm)
        place = self.simulation.nodes[vm].state.place
        record = make_record(int(vm[3:]), place, incarnation=1000 + number)
        self.simulation.start_node(record)
        self.seen.pop(vm, None)

    def run(self, duration_s):
        """Advance in small steps and assert that no version decreases."""
        end = self.simulation.now + duration_s
        while self.simulation.now < end:
            self.simulation.run_until(min(end, self.simulation.now + 0.1))
            for vm, node in self.simulation.nodes.items():
                versions = node.state.configuration.list_versions()
                before = self.seen.get(vm, versions)
                assert all(new >= old for new, old in zip(versions, before, strict=True))
                self.seen[vm] = versions

    def read_views(self):
        return {
            node.state.configuration.list_versions() for node in self.simulation.nodes.values()
        }


vms = st.integers(0, COUNT - 1).map(make_vm)
actions = st.one_of(
    st.tuples(st.just('write'), st.integers(0, 3)),
    st.tuples(st.just('down')),
    st.tuples(st.just('up')),
    st.tuples(st.just('restart'), vms),
    st.tuples(st.just('late'), vms, st.integers(0, 20)),
    st.tuples(st.just('cut'), st.sets(vms)),
    st.tuples(st.just('run'), st.floats(0.01, 3)),
)


def apply_action(cluster, action, number):
    kind = action[0]
    if kind == 'write':
        cluster.write(action[1])
    elif kind in {'down', 'up'}:
        cluster.is_down = kind == 'down'
    elif kind == 'restart':
        cluster.restart(action[1], number)
    elif kind == 'late' and cluster.history:
        late = cluster.history[action[2] % len(cluster.history)]
        cluster.deliver(action[1], *late, 0.5)
    elif kind == 'cut':
        cluster.simulation.network.is_cut = lambda sender, receiver: (
            (sender in action[1]) != (receiver in action[1])
        )
    cluster.run(action[1] if kind == 'run' else 0.05)


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.integers(0, 2**20), st.lists(actions, max_size=20))
def test_versions_never_decrease_and_connected_daemons_converge(seed, listed):
    cluster = StoredCluster(seed, SimulatedNetwork(jitter_s=0.2, loss=0.1, duplicates=0.1))
    cluster.run(2)
    for number, action in enumerate(listed):
        apply_action(cluster, action, number)
    highest = [0] * SHARD_COUNT
    for versions in cluster.read_views():
        highest = [max(pair) for pair in zip(highest, versions, strict=True)]
    cluster.simulation.network.is_cut = lambda sender, receiver: False
    cluster.simulation.network.loss = 0
    # The store may stay down: peers alone must spread the versions that any daemon holds.
    cluster.run(45)
    views = cluster.read_views()
    assert len(views) == 1
    final = next(iter(views))
    assert all(new >= old for new, old in zip(final, highest, strict=True))


def test_change_reaches_every_daemon_within_two_seconds():
    cluster = StoredCluster(1)
    cluster.run(3)
    assert len(cluster.watching) == 4
    cluster.write(7)
    cluster.run(2)
    assert {versions[7] for versions in cluster.read_views()} == {1}


def test_daemon_restarted_during_a_store_outage_gets_versions_from_peers():
    cluster = StoredCluster(2)
    cluster.run(3)
    cluster.write(7)
    cluster.run(3)
    cluster.is_down = True
    cluster.restart(make_vm(1), 1)
    cluster.run(10)
    state = cluster.simulation.nodes[make_vm(1)].state
    assert read_versions_in_force(state) == {'config/7': 1}


def test_rejected_version_is_not_pulled_again():
    state = StoredCluster(3).simulation.nodes[make_vm(0)].state
    for version in (5, 4):
        assert reduce_event(state, ShardRejected(7, version, 'not valid'), 1) == []
    versions = [0] * SHARD_COUNT
    versions[7] = 5
    peer = make_vm(1)
    assert reduce_event(state, VersionsReceived(peer, tuple(versions), False), 2) == []
    versions[7] = 6
    pulled = reduce_event(state, VersionsReceived(peer, tuple(versions), False), 2)
    assert pulled == [SendVersions(peer, (0,) * SHARD_COUNT, wanted=True)]
    # A pull from the first peer is in flight, so the version is not requested from another one.
    assert reduce_event(state, VersionsReceived(make_vm(2), tuple(versions), False), 2.1) == []


def receive(state, version, *databases):
    number = find_shard('orders')
    effects = reduce_event(
        state, ShardReceived(number, version, databases, b'd', 'store'), version
    )
    return [
        effect for effect in effects if isinstance(effect, DatabaseConfigured | DatabaseRemoved)
    ]


def test_only_databases_that_changed_are_configured_again():
    cluster = StoredCluster(4)
    state = cluster.simulation.nodes[make_vm(0)].state
    changed = replace(FIRST, queue_limit=9)
    assert receive(state, 1, FIRST) == [DatabaseConfigured(FIRST)]
    assert receive(state, 2, replace(FIRST, version=2)) == []
    assert state.configuration.databases['orders'].version == 2
    assert receive(state, 4, changed) == [DatabaseConfigured(changed)]
    assert receive(state, 3, FIRST) == []
    assert receive(state, 5) == [DatabaseRemoved('orders')]
    assert state.configuration.databases == {}


names = st.text('abcdefgh', min_size=1, max_size=12)
targets = st.builds(
    TargetConfig,
    names,
    st.sampled_from(['10.0.0.1', '2001:db8::1']),
    st.integers(1, 65535),
    names,
    st.integers(1, 50),
    st.integers(1, 500),
    st.sampled_from(TargetState),
)
databases = st.builds(
    DatabaseConfig,
    names,
    st.lists(targets, min_size=1, max_size=3).map(tuple),
    st.dictionaries(names, st.floats(0, 100), max_size=2),
    st.integers(1, 1000),
    st.floats(0, 100),
    names,
    st.lists(names, max_size=2).map(tuple),
    st.just(8),
)


@settings(derandomize=True)
@given(databases)
def test_configuration_document_round_trip(config):
    document = {**encode_shard_document((config,)), 'confirmed': None, 'new': 1}
    travelled = decompress_document(compress_document(document)).unwrap()
    number = find_shard(config.name)
    assert decode_shard_document(number, 8, travelled).unwrap() == (config,)


def make_invalid_document(change):
    document = encode_shard_document((FIRST,))
    change(document['databases']['orders'])
    return document


@pytest.mark.parametrize(
    ('document', 'number'),
    [
        (None, None),
        ({'databases': []}, None),
        (encode_shard_document((FIRST,)), (find_shard('orders') + 1) % SHARD_COUNT),
        (make_invalid_document(lambda database: database.update(targets=[])), None),
        (
            make_invalid_document(lambda database: database['targets'][0].update(host='db.local')),
            None,
        ),
        (make_invalid_document(lambda database: database['targets'][0].update(port=0)), None),
        (make_invalid_document(lambda database: database.update(queue_limit=-1)), None),
    ],
)
def test_invalid_document_is_rejected(document, number):
    shard = find_shard('orders') if number is None else number
    found = decode_shard_document(shard, 3, document)
    assert found.unwrap_err().kind is ErrorKind.INTERNAL
    assert f'config/{shard} version 3' in found.unwrap_err().message


@pytest.mark.parametrize('sent', [b'', b'x', compress_document('x' * 2**21)])
def test_corrupt_or_oversized_compressed_document_is_rejected(sent):
    assert decompress_document(sent).is_err()


@pytest.mark.parametrize('key', ['config/64', 'config/x', 'config/', 'plans/1', 'config/²'])
def test_keys_of_other_objects_are_not_shard_keys(key):
    assert parse_shard_key(key) is None
    assert parse_shard_key(format_shard_key(63)) == 63
