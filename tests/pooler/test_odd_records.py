"""Odd records in the store: each reader keeps the good ones and logs each odd one once."""

import random
from types import SimpleNamespace

import pytest
from result import Ok
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from cassiaseam.observability.refusals import MAX_CAUSE_CHARS, MAX_REFUSALS, RefusalLog
from cassiaseam.platform import records
from cassiaseam.platform.json_parts import Unreadable
from cassiaseam.pooler.events import (
    ConfigurationRead,
    PeerRecord,
    PeersListed,
    TargetsListed,
)
from cassiaseam.pooler.group_sizes import SizesRead
from cassiaseam.pooler.quotas.events import SharesListed
from cassiaseam.pooler.quotas.store_client import ShareClient
from cassiaseam.pooler.size_client import SizeClient
from cassiaseam.pooler.store_types import Change, Listing
from cassiaseam.pooler.store_watcher import StoreKinds, StoreWatcher
from cassiaseam.pooler.vm_registry import VmRegistry

KINDS = StoreKinds('config', 'main', 'servers', 'vms', 'sizes', 'shares')
OWN = PeerRecord('vm0', 'p0', '10.0.0.1', 7440)
VM = {'place': 'p', 'host': '10.0.0.2', 'port': 7440}
TARGET = {
    'service': 'g',
    'address': '10.0.0.1:80',
    'zone': 'p0',
    'state': 'ready',
    'databaseRole': 'replica',
}
ODD_SPECS = [Unreadable('nested too deeply'), None, [], {}, {'port': 70000, 'slots': float('nan')}]


class Reader:
    """The readers of the store over one listing, with their events and log lines."""

    def __init__(self):
        self.events, self.lines = [], []
        self.listing = Listing((), 1)
        decoders = {name: getattr(records, name) for name in dir(records) if 'decode_' in name}
        environment = SimpleNamespace(store=self, kinds=KINDS, **decoders)
        parts = (environment, self.events.append, self.log)
        self.watcher = StoreWatcher(Clock(), *parts, None, 17)
        rest = (random.Random(1), lambda vm: 0)
        self.registry = VmRegistry(Clock(), environment, OWN, *parts[1:], *rest)
        self.registry.registered_at = 0
        self.sizes = SizeClient(*parts)
        self.shares = ShareClient(*parts)

    async def list_objects(self, kind, allow_stale=False):
        return Ok(self.listing)

    def log(self, event, /, **fields):
        self.lines.append((event, fields))

    def read_targets(self):
        self.watcher.handle_target_list(self.listing.changes)

    def read_config(self):
        self.watcher.handle_config(self.listing.changes)

    def read_vms(self):
        ensureDeferred(self.registry.list_once())

    def read_sizes(self):
        ensureDeferred(self.sizes.read())

    def read_shares(self):
        ensureDeferred(self.shares.list_shares(allow_stale=True))


# Per kind: the reader, the log line, names that are odd and good, a good spec, and what is read.
KIND_TABLE = {
    'target': (Reader.read_targets, 'target_record_refused', 'i-1', 'i-2', TARGET, TargetsListed),
    'vm': (Reader.read_vms, 'vm_record_refused', 'vm1', 'vm2', VM, PeersListed),
    'size': (Reader.read_sizes, 'size_record_refused', 'g1', 'g2', {'size': 3}, SizesRead),
    'share': (
        Reader.read_shares,
        'quota_share_refused',
        'share-1',
        'share-2',
        {**VM, 'holder': 'share-2', 'nonce': 'n', 'era': 0},
        SharesListed,
    ),
}


@pytest.mark.parametrize('kind', KIND_TABLE)
@pytest.mark.parametrize('odd', ODD_SPECS, ids=range(len(ODD_SPECS)))
def test_odd_record_costs_only_itself_and_is_logged_once(kind, odd):
    # Each list and change logged the record again, and a registered VM lists every 20 s.
    read, line, odd_name, good_name, good, event_type = KIND_TABLE[kind]
    reader = Reader()
    odd_change = Change(odd_name, odd, False, 4)
    for changes in ((odd_change, Change(good_name, good, False, 3)), (odd_change,)) * 3:
        reader.listing = Listing(changes, 9)
        read(reader)
    read_events = [event for event in reader.events if isinstance(event, event_type)]
    assert [good_name in str(event) for event in read_events] == [True, False] * 3
    causes = [fields['cause'] for event, fields in reader.lines if event == line]
    assert len(causes) == 1
    assert 0 < len(causes[0]) <= MAX_CAUSE_CHARS


@pytest.mark.parametrize('odd', ODD_SPECS, ids=range(len(ODD_SPECS)))
def test_odd_configuration_is_logged_once_until_a_valid_one_comes(odd):
    good = Change('main', {'version': 1, 'routes': [], 'services': []}, False, 3)
    odd_main, odd_other = Change('main', odd, False, 4), Change('other', odd, False, 4)
    reader = Reader()
    for changes in ((odd_main,), (odd_main, odd_other), (good, odd_other), (odd_main,)):
        reader.listing = Listing(changes, 9)
        reader.read_config()
    assert [type(event) for event in reader.events] == [ConfigurationRead]
    assert [event for event, _ in reader.lines] == ['configuration_refused'] * 2


def test_refusal_is_logged_again_when_it_changes_or_returns():
    lines = []
    log = RefusalLog(lambda event, **fields: lines.append((event, fields['cause'])))
    for cause in ('x', 'x', 'y', 'y'):
        log.report('refused', 'a', cause)
    log.forget('refused', 'a')
    log.report('refused', 'a', 'y')
    log.retain('other', ())
    log.report('refused', 'a', 'y')
    log.retain('refused', ('b',))
    log.report('refused', 'a', 'z' * 10**6)
    assert lines == [('refused', cause) for cause in ('x', 'y', 'y', 'z' * MAX_CAUSE_CHARS)]


def test_number_of_logged_refusals_is_bounded():
    # Each entry that another writer leaves would take memory and a log line.
    lines = []
    log = RefusalLog(lambda event, **fields: lines.append(event))
    for _ in range(2):
        for number in range(MAX_REFUSALS * 2):
            log.report('refused', f'entry {number}', 'x')
    assert lines == ['refused'] * MAX_REFUSALS + ['refusals_not_logged']


def test_entries_without_a_name_are_logged_when_their_number_changes():
    reader = Reader()
    for nameless in (2, 2, 3, 0, 3, 3):
        reader.listing = Listing((), 9, nameless)
        reader.read_sizes()
    assert [fields['cause'][0] for _, fields in reader.lines] == ['2', '3', '3']
