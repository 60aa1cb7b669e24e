"""Following the store: outages, lost history, odd entries, versions that go back."""

import random
from types import SimpleNamespace

import pytest
from result import Err, Ok
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from cassiaseam.platform import records
from cassiaseam.pooler import discovery, sessions
from cassiaseam.pooler.commands import StatementKind
from cassiaseam.pooler.events import (
    ConfigurationRead,
    StoreContact,
    TargetChanged,
    TargetRemoved,
    TargetsListed,
)
from cassiaseam.pooler.model import RoutingConfig
from cassiaseam.pooler.state import PoolerState
from cassiaseam.pooler.storeport import Change, HistoryGone, Listing, StoreError
from cassiaseam.pooler.storewatch import StoreKinds, StoreWatcher
from cassiaseam.reducer.registry import reduce_event

KINDS = StoreKinds('config', 'main', 'servers', 'vms', 'sizes')
TARGET = {
    'service': 'g',
    'address': '10.0.0.1:80',
    'zone': 'p0',
    'slots': 5,
    'state': 'ready',
    'databaseRole': 'replica',
}


def config(version):
    return {'version': version, 'routes': [], 'services': []}


class ScriptedStore:
    """Store whose answers are given in advance; without one it waits."""

    def __init__(self, lists, watches):
        self.lists = lists
        self.watches = watches
        self.calls = []

    def answer(self, script):
        return script.pop(0) if script else Deferred()

    async def list_objects(self, kind, may_be_old=False):
        self.calls.append(('list', kind))
        found = self.answer(self.lists.get(kind, []))
        return await found if isinstance(found, Deferred) else found

    async def watch_objects(self, kind, revision, wait_s, may_be_late=False):
        self.calls.append(('watch', kind, revision))
        found = self.answer(self.watches.get(kind, []))
        return await found if isinstance(found, Deferred) else found


def follow(lists, watches, log=None):
    """Return the events, the calls and the clock of a watcher."""
    events, lines = [], []
    store = ScriptedStore(lists, watches)
    environment = SimpleNamespace(
        store=store,
        kinds=KINDS,
        decode_config=records.decode_config,
        decode_target=records.decode_target,
    )
    clock = Clock()
    keep = log or (lambda event, /, **fields: lines.append((event, fields)))
    watcher = StoreWatcher(clock, environment, events.append, keep, random.Random(1), 17)
    watcher.start()
    return events, store, clock, lines


def test_lost_history_is_read_anew():
    lists = {
        'config': [
            Ok(Listing((Change('main', config(3), False),), 5)),
            Ok(Listing((Change('main', config(7), False),), 90)),
        ]
    }
    events, store, _, lines = follow(lists, {'config': [Ok(HistoryGone())]})
    versions = [it.config.version for it in events if isinstance(it, ConfigurationRead)]
    assert versions == [3, 7]
    assert ('watch', 'config', 90) in store.calls
    assert ('store_history_gone', {'kind': 'config', 'revision': 5}) in lines


def test_outage_is_survived_and_reported_once_over():
    listing = Ok(Listing((), 4))
    lists = {'config': [Err(StoreError('down')), listing], 'servers': [listing]}
    events, store, clock, lines = follow(lists, {})
    clock.pump([0.1] * 10)
    assert store.calls.count(('list', 'config')) == 2
    assert ('store_call_failed', {'kind': 'config', 'cause': 'down'}) in lines
    assert events[-1] == StoreContact(True)


@pytest.mark.parametrize(
    ('kind', 'after_s', 'calls'), [('servers', 0, 1), ('servers', 9, 2), ('config', 0, 2)]
)
def test_changes_of_targets_are_gathered_while_the_deployment_starts(kind, after_s, calls):
    # Each registration of a target cost one call of every VM: 20 calls a VM on grown sites.
    first = Deferred()
    change = Ok(Listing((Change('t1', TARGET, False),), 6))
    lists = {name: [Ok(Listing((), 4))] for name in ('config', 'servers')}
    _, store, clock, _ = follow(lists, {kind: [first]})
    clock.advance(after_s)
    first.callback(change)
    clock.advance(0.1)
    watches = [call for call in store.calls if call[:2] == ('watch', kind)]
    assert len(watches) == calls
    clock.advance(1)
    assert [call for call in store.calls if call[:2] == ('watch', kind)][-1] == ('watch', kind, 6)


def test_watch_goes_on_after_an_exception_while_reading():
    # A log line with a field named kind ended the watch for good; no later version was applied
    # (nls quiet-1, CONFIG broken 281 times).
    calls = []

    def log(event, /, **fields):
        calls.append(event)
        if event == 'store_history_gone':
            raise TypeError("got multiple values for argument 'kind'")

    first = Ok(Listing((Change('main', config(3), False),), 5))
    second = Ok(Listing((Change('main', config(5), False),), 9))
    events, _, clock, _ = follow({'config': [first, second]}, {'config': [Ok(HistoryGone())]}, log)
    clock.pump([0.2] * 10)
    versions = [it.config.version for it in events if isinstance(it, ConfigurationRead)]
    assert versions == [3, 5]
    assert 'store_watch_failed' in calls


def test_newest_configuration_of_a_storm_is_applied():
    changes = tuple(Change('main', config(version), False) for version in (4, 6, 9))
    lists = {'config': [Ok(Listing((), 1))]}
    events, *_ = follow(lists, {'config': [Ok(Listing(changes, 8))]})
    assert [it.config.version for it in events if isinstance(it, ConfigurationRead)] == [9]


def test_odd_entries_do_not_hide_the_others():
    listed = (
        Change('i-1', TARGET, False),
        Change('i-2', 'garbage', False),
        Change('i-3', {**TARGET, 'state': 7}, False),
    )
    changes = (
        Change('i-4', TARGET, False),
        Change('i-1', {'service': 'g'}, False),
        Change('i-5', TARGET, True),
    )
    lists = {'servers': [Ok(Listing(listed, 3))]}
    events, *_ = follow(lists, {'servers': [Ok(Listing(changes, 6))]})
    listed_names = [it for it in events if isinstance(it, TargetsListed)][0].records
    assert [record.name for record in listed_names] == ['i-1']
    assert [it.record.name for it in events if isinstance(it, TargetChanged)] == ['i-4']
    assert [it.name for it in events if isinstance(it, TargetRemoved)] == ['i-1', 'i-5']


@pytest.mark.parametrize(
    ('change', 'is_news'),
    [
        (Change('i-1', TARGET, False, 5), False),
        (Change('i-1', TARGET, False, 6), False),
        (Change('i-1', TARGET, False, 7), True),
        (Change('i-1', TARGET, True, 5), True),
    ],
)
def test_late_answer_does_not_bring_back_what_the_list_no_longer_has(change, is_news):
    # A copy of the store that is behind repeats changes: a target that had left was in use again.
    lists = {'servers': [Ok(Listing((), 6))]}
    events, *_ = follow(lists, {'servers': [Ok(Listing((change,), 4))]})
    news = [it for it in events if isinstance(it, TargetChanged | TargetRemoved)]
    assert bool(news) is is_news


@pytest.mark.parametrize(('second', 'expected'), [(4, 4), (3, 3), (2, 3)])
def test_configuration_never_goes_back(second, expected):
    state = PoolerState('vm', 'p0', random.Random(1))
    for version in (3, second):
        reduce_event(state, ConfigurationRead(RoutingConfig(version)), 1)
    assert state.config.version == expected


REGISTERED = (discovery, sessions, StatementKind)
