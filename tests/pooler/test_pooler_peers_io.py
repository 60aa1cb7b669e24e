"""Records of VMs in the store, and the datagrams between VMs."""

import random
from types import SimpleNamespace

import pytest
from result import Err, Ok
from twisted.internet.task import Clock

from cassiaseam.platform import records
from cassiaseam.pooler.datagrams import PeerProtocol, decode_datagram, encode_effect
from cassiaseam.pooler.events import (
    AgedPosition,
    AskSample,
    OfferSample,
    PeerRecord,
    PeersListed,
    SampleAsked,
    SampleOffered,
    WriteOutcome,
)
from cassiaseam.pooler.storeport import Change, Listing, StoreError, WriteResult
from cassiaseam.pooler.storewatch import StoreKinds
from cassiaseam.pooler.vm_registry import DELETE_AFTER_FAILURES, LIST_INTERVALS_S, VmRegistry
from cassiaseam.positions import LogPosition

OWN = PeerRecord('vm-a', 'p0', '10.0.0.1', 7440)
OTHER = PeerRecord('vm-b', 'p0', '10.0.0.2', 7440)
KINDS = StoreKinds('config', 'main', 'servers', 'vms', 'sizes')
LIST_S = 1.5 * LIST_INTERVALS_S[-1]


class Store:
    """Store of VM records that keeps the calls."""

    def __init__(self, *stored):
        self.stored = {record.vm: (record, 3) for record in stored}
        self.calls = []
        self.down = False
        self.writes_show = True
        self.odd = ()

    async def list_objects(self, kind, may_be_old=False):
        self.calls.append(('list', kind, may_be_old))
        if self.down:
            return Err(StoreError('down'))
        changes = [
            Change(name, records.encode_vm(record), False, revision)
            for name, (record, revision) in self.stored.items()
        ]
        return Ok(Listing((*self.odd, *changes), 9))

    async def write_vm(self, record, revision):
        self.calls.append(('write', record.vm, revision))
        if self.writes_show:
            self.stored[record.vm] = (record, revision + 1)
        return WriteResult(WriteOutcome.WRITTEN, revision + 1)

    async def delete_vm(self, vm, revision):
        self.calls.append(('delete', vm, revision))
        del self.stored[vm]
        return Ok(None)

    def list_writes(self):
        return [call for call in self.calls if call[0] != 'list']


def run_directory(store, failures=0, for_s=100):
    """Let a directory work for a time and return its events and log lines."""
    events, lines = [], []
    environment = SimpleNamespace(store=store, kinds=KINDS, decode_vm=records.decode_vm)
    clock = Clock()
    VmRegistry(
        clock,
        environment,
        OWN,
        events.append,
        lambda event, **fields: lines.append(event),
        random.Random(1),
        lambda vm: failures if vm == OTHER.vm else 0,
    ).start()
    clock.pump([0.25] * int(for_s * 4))
    return events, lines


def test_vm_registers_once_and_tells_of_the_others():
    store = Store(OTHER)
    events, _ = run_directory(store)
    assert store.list_writes() == [('write', 'vm-a', 0)]
    assert events[0] == PeersListed((OTHER,))
    assert set(events[-1].records) == {OWN, OTHER}
    assert {call[2] for call in store.calls if call[0] == 'list'} == {True}


def test_vm_that_came_back_at_another_address_replaces_its_record():
    store = Store(PeerRecord('vm-a', 'p0', '10.0.0.9', 7440))
    run_directory(store)
    assert store.list_writes() == [('write', 'vm-a', 3)]


def test_list_that_is_old_does_not_lead_to_a_write_each_time():
    store = Store()
    store.writes_show = False
    run_directory(store, for_s=12)
    assert len(store.list_writes()) == 1


def test_record_that_was_deleted_by_mistake_is_written_again():
    store = Store()
    run_directory(store, for_s=10)
    store.stored.clear()
    store.calls.clear()
    run_directory(store, for_s=LIST_S)
    assert ('write', 'vm-a', 0) in store.calls


@pytest.mark.parametrize(
    ('failures', 'deleted'), [(DELETE_AFTER_FAILURES - 1, False), (DELETE_AFTER_FAILURES, True)]
)
def test_record_of_a_vm_that_never_answers_is_deleted(failures, deleted):
    # The records of replaced VMs would stay for ever.
    store = Store(OWN, OTHER)
    run_directory(store, failures)
    assert (('delete', 'vm-b', 3) in store.calls) is deleted


def test_outage_and_odd_records_do_not_stop_the_lists():
    store = Store(OTHER)
    store.odd = (Change('vm-x', {'host': 7}, False), Change('vm-y', 'text', False))
    events, lines = run_directory(store)
    assert lines.count('vm_record_refused') >= 2
    assert set(events[-1].records) == {OWN, OTHER}
    store.down = True
    events, lines = run_directory(store)
    assert not events
    assert lines.count('vm_list_failed') > 3


ASK = AskSample('10.0.0.2', 7440, 5, 'g', 1.25)
OFFER = OfferSample(
    '10.0.0.2', 7440, 5, 'g', (AgedPosition(0.5, LogPosition(2, 7), 3),), 3, {'t0': 12}
)


@pytest.mark.parametrize(
    ('effect', 'event'),
    [
        (ASK, SampleAsked('10.0.0.1', 9, 5, 'g', 1.25)),
        (OFFER, SampleOffered(5, 'g', OFFER.positions, 3, {'t0': 12})),
    ],
)
def test_datagrams_carry_questions_and_answers(effect, event):
    assert decode_datagram(encode_effect(effect), '10.0.0.1', 9) == event


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
    events, lines = [], []
    protocol = PeerProtocol(events.append, lambda event, **fields: lines.append(event))
    protocol.datagramReceived(datagram, ('10.0.0.9', 1))
    assert not events
    assert lines == ['datagram_refused']
