"""Records of VMs in the store, and the datagrams between VMs."""

import dataclasses
import random
from types import SimpleNamespace

import pytest
from result import Err, Ok
from twisted.internet.task import Clock

from cassiaseam.platform import records
from cassiaseam.pooler.datagrams import PeerProtocol, decode_datagram, encode_datagram
from cassiaseam.pooler.events import (
    AgedPosition,
    PeerRecord,
    PeersListed,
    SampleReceived,
    SampleRequested,
    SendSample,
    SendSampleRequest,
    WriteOutcome,
)
from cassiaseam.pooler.store_types import Change, Listing, StoreError, WriteResult
from cassiaseam.pooler.store_watcher import StoreKinds
from cassiaseam.pooler.vm_registry import DELETE_AFTER_FAILURES, LIST_INTERVALS_S, VmRegistry
from cassiaseam.positions import LogPosition

OWN = PeerRecord('vm-a', 'p0', '10.0.0.1', 7440)
OTHER = PeerRecord('vm-b', 'p0', '10.0.0.2', 7440)
KINDS = StoreKinds('config', 'main', 'servers', 'vms', 'sizes')
LIST_WAIT_S = 1.5 * LIST_INTERVALS_S[-1]


class FakeVmStore:
    """In-memory store of VM records that records the calls."""

    def __init__(self, *stored):
        self.stored = {record.vm: (record, 3) for record in stored}
        self.calls = []
        self.down = False
        self.writes_visible = True
        self.malformed = ()

    async def list_objects(self, kind, allow_stale=False):
        self.calls.append(('list', kind, allow_stale))
        if self.down:
            return Err(StoreError('down'))
        changes = [
            Change(name, records.encode_vm(record), False, revision)
            for name, (record, revision) in self.stored.items()
        ]
        return Ok(Listing((*self.malformed, *changes), 9))

    async def write_vm(self, record, revision):
        self.calls.append(('write', record.vm, revision))
        if self.writes_visible:
            self.stored[record.vm] = (record, revision + 1)
        return WriteResult(WriteOutcome.WRITTEN, revision + 1)

    async def delete_vm(self, vm, revision):
        self.calls.append(('delete', vm, revision))
        del self.stored[vm]
        return Ok(None)

    def list_writes(self):
        return [call for call in self.calls if call[0] != 'list']


def run_directory(store, failures=0, for_s=100):
    """Run a directory for a time and return its events and log events."""
    events, log_events = [], []
    environment = SimpleNamespace(store=store, kinds=KINDS, decode_vm=records.decode_vm)
    clock = Clock()
    VmRegistry(
        clock,
        environment,
        OWN,
        events.append,
        lambda event, **fields: log_events.append(event),
        random.Random(1),
        lambda vm: failures if vm == OTHER.vm else 0,
    ).start()
    clock.pump([0.25] * int(for_s * 4))
    return events, log_events


def test_vm_registers_once_and_reports_its_peers():
    store = FakeVmStore(OTHER)
    events, _ = run_directory(store)
    assert store.list_writes() == [('write', 'vm-a', 0)]
    assert events[0] == PeersListed((OTHER,))
    assert set(events[-1].records) == {OWN, OTHER}
    assert {call[2] for call in store.calls if call[0] == 'list'} == {True}


def test_restarted_vm_with_new_address_replaces_its_record():
    store = FakeVmStore(PeerRecord('vm-a', 'p0', '10.0.0.9', 7440))
    run_directory(store)
    assert store.list_writes() == [('write', 'vm-a', 3)]


def test_stale_list_does_not_cause_repeated_writes():
    store = FakeVmStore()
    store.writes_visible = False
    run_directory(store, for_s=12)
    assert len(store.list_writes()) == 1


def test_deleted_own_record_is_written_again():
    store = FakeVmStore()
    run_directory(store, for_s=10)
    store.stored.clear()
    store.calls.clear()
    run_directory(store, for_s=LIST_WAIT_S)
    assert ('write', 'vm-a', 0) in store.calls


@pytest.mark.parametrize(
    ('failures', 'deleted'), [(DELETE_AFTER_FAILURES - 1, False), (DELETE_AFTER_FAILURES, True)]
)
def test_record_is_deleted_after_repeated_failures_of_its_vm(failures, deleted):
    # Otherwise the records of replaced VMs would remain forever.
    store = FakeVmStore(OWN, OTHER)
    run_directory(store, failures)
    assert (('delete', 'vm-b', 3) in store.calls) is deleted


def test_store_outage_and_malformed_records_do_not_stop_listing():
    store = FakeVmStore(OTHER)
    store.malformed = (Change('vm-x', {'host': 7}, False), Change('vm-y', 'text', False))
    events, log_events = run_directory(store)
    assert log_events.count('vm_record_refused') >= 2
    assert set(events[-1].records) == {OWN, OTHER}
    store.down = True
    events, log_events = run_directory(store)
    assert not events
    assert log_events.count('vm_list_failed') > 3


REQUEST = SendSampleRequest('10.0.0.2', 7440, 5, 'g', 1.25)
RESPONSE = SendSample(
    '10.0.0.2', 7440, 5, 'g', (AgedPosition(0.5, LogPosition(2, 7), 3),), 3, {'t0': 12}
)


@pytest.mark.parametrize(
    ('effect', 'event'),
    [
        (REQUEST, SampleRequested('10.0.0.1', 9, 5, 'g', 1.25)),
        (
            dataclasses.replace(REQUEST, accepts_busy=True),
            SampleRequested('10.0.0.1', 9, 5, 'g', 1.25, {}, accepts_busy=True),
        ),
        (RESPONSE, SampleReceived(5, 'g', RESPONSE.positions, 3, {'t0': 12})),
        (
            dataclasses.replace(RESPONSE, positions=(), connections={}),
            SampleReceived(5, 'g', (), 3, {}),
        ),
    ],
)
def test_datagram_round_trip(effect, event):
    assert decode_datagram(encode_datagram(effect), '10.0.0.1', 9) == event


@pytest.mark.parametrize(
    'datagram',
    [
        b'',
        b'\xff\x00',
        b'[]',
        b'null',
        b'{"kind":"other"}',
        b'{"kind":"sample?","nonce":-1,"group":"g","max_age_s":1}',
        b'{"kind":"sample?","nonce":1,"group":"g","max_age_s":"NaN"}',
        b'{"kind":"sample?","nonce":1,"group":"g","max_age_s":-3}',
        b'{"kind":"sample","nonce":1,"group":"g","samples":[[1,2]],"group_size":3}',
        b'{"kind":"sample","nonce":1,"group":"g","samples":[[-1,1,1,1]],"group_size":3}',
        b'{"kind":"sample","nonce":1,"group":7,"samples":[],"group_size":3}',
        b'[' * 5000,
    ],
)
def test_malformed_datagram_is_logged_and_dropped(datagram):
    events, log_events = [], []
    protocol = PeerProtocol(events.append, lambda event, **fields: log_events.append(event))
    protocol.datagramReceived(datagram, ('10.0.0.9', 1))
    assert not events
    assert log_events == ['datagram_refused']
