"""Recorded group sizes: read at the start, written by one VM after a lasting change."""

import dataclasses
import random
from types import SimpleNamespace

import pytest
from fake_target import GROUP
from pooler_world import World
from result import Err, Ok
from test_pooler_lease import OTHER, build_state, select_effects

from cassiaseam.platform import records
from cassiaseam.pooler import quorum, sessions, store_era
from cassiaseam.pooler.events import (
    LeaseRead,
    ReadLease,
    StoreEraObserved,
    StoreListed,
    StoreReachability,
    TargetRemoved,
    TargetsListed,
    WriteOutcome,
)
from cassiaseam.pooler.group_size_sync import (
    FIRST_CHECK_DELAY_S,
    GROW_RECORD_DELAY_S,
    JITTER_PER_VM_S,
    RESTORE_SETTLE_S,
    SHRINK_RECORD_DELAY_S,
    STORE_CALL_TIMEOUT_S,
)
from cassiaseam.pooler.group_sizes import (
    ReadSizes,
    SizeRecord,
    SizesRead,
    SizesReadFailed,
    SizeWritten,
    WriteSize,
)
from cassiaseam.pooler.model import RoutingConfig, TargetRecord
from cassiaseam.pooler.peer_state import PeerState
from cassiaseam.pooler.size_client import SizeClient
from cassiaseam.pooler.state import PoolerState
from cassiaseam.pooler.store_types import Change, Listing, StoreError, WriteResult
from cassiaseam.pooler.ticks import PoolerTick
from cassiaseam.reducer.registry import reduce_event
from cassiaseam.store_revisions import join_revision

# Seconds within which a single VM checks the record once the delay has passed.
CHECK_S = JITTER_PER_VM_S + 0.2


def build_record(number, leaving=False, group=GROUP):
    return TargetRecord(f't{number}', group, '10.0.0.1', 1, 'p0', 5, leaving, False, '1')


def start_vm(listed, recorded):
    """Return the state of a VM that read target records and recorded sizes at its start."""
    state = PoolerState('vm0', 'p0', random.Random(1))
    # The store was not restored shortly before the start.
    reduce_event(state, StoreListed(7), -RESTORE_SETTLE_S)
    reduce_event(state, StoreReachability(True), 0)
    if recorded is not None:
        reduce_event(state, SizesRead((SizeRecord(GROUP, recorded, 7),)), 0)
    reduce_event(state, TargetsListed(tuple(listed)), 0)
    return state


def run_ticks(state, start, end):
    """Run ticks, and return the effects for the recorded sizes; calls get no answer."""
    effects = []
    for number in range(round((end - start) / 0.1)):
        effects += reduce_event(state, PoolerTick(), start + number * 0.1)
    return [effect for effect in effects if isinstance(effect, ReadSizes | WriteSize)]


STAYING = [build_record(number) for number in range(3)]
LEAVING = [build_record(3, leaving=True)]


@pytest.mark.parametrize(
    ('listed', 'recorded', 'size', 'needed'),
    [
        (STAYING, 3, 3, 2),
        (STAYING[:1], 3, 3, 2),
        (STAYING[:2], 3, 3, 2),
        (STAYING[:2], 5, 5, 3),
        (STAYING, 2, 3, 2),
        (STAYING[:2] + LEAVING, 3, 4, 2),
        (STAYING + LEAVING, 3, 4, 2),
        (STAYING[:1], 0, 1, 1),
    ],
)
def test_group_size_is_the_larger_of_record_and_list(listed, recorded, size, needed):
    # A majority of the records that had not expired was smaller than that of the other VMs.
    state = start_vm(listed, recorded)
    group = state.groups[GROUP]
    assert group.size == size
    assert quorum.count_required_fences(group) == needed


@pytest.mark.parametrize('names_first', [True, False])
def test_size_does_not_depend_on_the_order_of_the_two_lists(names_first):
    state = start_vm(STAYING[:1], None if names_first else 3)
    if names_first:
        reduce_event(state, SizesRead((SizeRecord(GROUP, 3, 7),)), 0.1)
    assert state.groups[GROUP].size == 3


@pytest.mark.parametrize('after_s', [11, 59])
def test_recorded_size_stays_while_targets_are_missing(after_s):
    # The delay before a group shrinks does not apply to targets that were never seen.
    state = start_vm(STAYING[:1], 3)
    run_ticks(state, 0, after_s)
    assert state.groups[GROUP].size == 3


def test_vm_that_knew_all_targets_shrinks_as_without_a_record():
    # Otherwise one failing replica blocks writes until the record is lowered.
    state = start_vm(STAYING, 3)
    reduce_event(state, TargetRemoved('t2'), 1)
    run_ticks(state, 1, 20)
    assert state.groups[GROUP].size == 2


def test_vm_accepts_no_callers_before_the_sizes_are_read():
    # Otherwise its first majorities only cover the target records that it found.
    state = start_vm(STAYING[:1], None)
    state.config = RoutingConfig(1)
    assert not sessions.is_configured(state)
    reduce_event(state, SizesRead(()), 1)
    assert sessions.is_configured(state)


@pytest.mark.parametrize('known', [True, False])
def test_vm_promotes_nothing_before_the_sizes_are_read(known):
    # A sample request of another VM makes it look for a primary even without callers.
    state = build_state()
    if known:
        reduce_event(state, SizesRead(()), 0)
    effects = []
    for number in range(20):
        effects += reduce_event(state, PoolerTick(), 1 + number * 0.1)
    assert bool(select_effects(effects, ReadLease)) is known
    reduce_event(state, LeaseRead(5, OTHER), 3)


def test_first_read_is_repeated_until_it_succeeds():
    state = start_vm(STAYING, None)
    assert run_ticks(state, 0, 1) == [ReadSizes()]
    reduce_event(state, SizesReadFailed(), 1)
    assert run_ticks(state, 1, 2) == [ReadSizes()]
    # No event at all arrives for the second read.
    end = 2 + STORE_CALL_TIMEOUT_S
    assert run_ticks(state, 2, end) == [ReadSizes()]
    reduce_event(state, SizesRead((SizeRecord(GROUP, 3, 7),)), end)
    assert run_ticks(state, end, 200) == []


def test_second_list_is_not_begun_while_pages_of_the_first_one_arrive():
    # The adapter uses one connection for lists; a second call would consume the answers of both.
    state = start_vm(STAYING, None)
    assert run_ticks(state, 0, 12) == [ReadSizes()]


# Listed targets, recorded size, seconds after which the record is checked (None: never).
CHANGES = {
    'as recorded': (STAYING, 3, None),
    'no record, while the deployment starts': (STAYING, 0, FIRST_CHECK_DELAY_S),
    'a target has joined': (STAYING, 2, FIRST_CHECK_DELAY_S),
    'a target is gone': (STAYING[:2], 3, SHRINK_RECORD_DELAY_S),
    'one leaves while another joined': (STAYING + LEAVING, 3, None),
    'one leaves and none has joined': (STAYING[:2] + LEAVING, 3, SHRINK_RECORD_DELAY_S),
    'all leave': (LEAVING, 3, None),
}


@pytest.mark.parametrize('case', CHANGES, ids=str)
def test_record_is_checked_after_a_lasting_change(case):
    # Every call to the store costs money, and every VM sees each change.
    listed, recorded, due_s = CHANGES[case]
    state = start_vm(listed, recorded)
    early = run_ticks(state, 0, due_s or 300)
    assert early == []
    if due_s is not None:
        assert run_ticks(state, due_s, due_s + CHECK_S) == [ReadSizes()]


@pytest.mark.parametrize('change_s', [20, 100])
def test_join_after_the_start_is_recorded_soon(change_s):
    state = start_vm(STAYING[:2], 2)
    assert run_ticks(state, 0, change_s) == []
    reduce_event(state, TargetsListed(tuple(STAYING)), change_s)
    due_s = change_s + GROW_RECORD_DELAY_S
    assert run_ticks(state, change_s, due_s) == []
    assert run_ticks(state, due_s, due_s + CHECK_S) == [ReadSizes()]


@pytest.mark.parametrize(
    ('found', 'written'),
    [
        (SizeRecord(GROUP, 2, 7), SizeRecord(GROUP, 3, 7)),
        # Another VM was faster.
        (SizeRecord(GROUP, 3, 9), None),
        # The read is stale.
        (SizeRecord(GROUP, 4, 5), SizeRecord(GROUP, 3, 7)),
        # An unreadable record of another writer is replaced.
        (SizeRecord(GROUP, 0, 9), SizeRecord(GROUP, 3, 9)),
    ],
)
def test_record_is_written_only_if_it_still_differs(found, written):
    state = start_vm(STAYING, 2)
    assert run_ticks(state, 0, FIRST_CHECK_DELAY_S + CHECK_S) == [ReadSizes()]
    effects = reduce_event(state, SizesRead((found,)), 10)
    writes = [effect.record for effect in select_effects(effects, WriteSize)]
    assert writes == ([written] if written else [])
    if written:
        taken = dataclasses.replace(written, revision=12)
        reduce_event(state, SizeWritten(taken), 10.1)
    assert run_ticks(state, 10.2, 200) == []


def test_write_that_failed_is_repeated_after_a_pause():
    state = start_vm(STAYING, 2)
    run_ticks(state, 0, FIRST_CHECK_DELAY_S + CHECK_S)
    assert select_effects(reduce_event(state, SizesRead(()), 10), WriteSize)
    reduce_event(state, SizeWritten(None), 10.1)
    assert run_ticks(state, 10.2, 12) == []
    assert run_ticks(state, 12, 20)[0] == ReadSizes()


@pytest.mark.parametrize(
    'received',
    [
        [StoreReachability(False), StoreReachability(True)],
        [SizesReadFailed()],
        [SizeWritten(None)],
    ],
    ids=['store was lost', 'read failed', 'write failed'],
)
def test_record_is_not_lowered_after_an_outage_of_the_store(received):
    # Right after an outage the store has few target records.
    state = start_vm(STAYING[:1], 3)
    run_ticks(state, 0, 50)
    for event in received:
        reduce_event(state, event, 50)
    assert run_ticks(state, 50, 50 + SHRINK_RECORD_DELAY_S) == []
    assert run_ticks(state, 50 + SHRINK_RECORD_DELAY_S, 52 + SHRINK_RECORD_DELAY_S) == [
        ReadSizes()
    ]


@pytest.mark.parametrize('by_itself', [True, False])
def test_vm_without_all_targets_adopts_a_lowered_record(by_itself):
    # Otherwise targets that are gone permanently count until the VM ends.
    state = start_vm(STAYING[:2], 3)
    assert run_ticks(state, 0, SHRINK_RECORD_DELAY_S + CHECK_S) == [ReadSizes()]
    found = SizeRecord(GROUP, 3 if by_itself else 2, 7)
    writes = select_effects(reduce_event(state, SizesRead((found,)), 70), WriteSize)
    assert [write.record.size for write in writes] == ([2] if by_itself else [])
    if by_itself:
        reduce_event(state, SizeWritten(SizeRecord(GROUP, 2, 12)), 70.1)
    run_ticks(state, 70.2, 90)
    assert state.groups[GROUP].size == 2


def test_one_of_many_vms_writes_and_each_reads_once():
    # If every VM wrote the change or watched the record, each change would cost a call per VM.
    world = World(vms=20, shared=True, sizes={})
    for vm in world.vms.values():
        vm.state.peers = {f'vm{number}': PeerState for number in range(19)}
    world.run_until(60)
    writes = [call for call in world.size_calls if isinstance(call[2], WriteSize)]
    assert len(writes) == 1
    assert len(world.size_calls) <= 21
    assert world.sizes[GROUP].size == 3


def test_log_contains_the_source_of_a_size():
    state = start_vm(STAYING[:1], 3)
    effects = reduce_event(state, PoolerTick(), 0.1)
    reduce_event(state, TargetsListed((*STAYING, build_record(3))), 1)
    effects += reduce_event(state, PoolerTick(), 1.1)
    lines = [effect.fields for effect in effects if hasattr(effect, 'fields')]
    sizes = [(line['size'], line['cause']) for line in lines if 'former' in line]
    assert sizes == [(3, 'recorded'), (4, 'listed')]


class Store:
    """Fake store of sizes with preset answers."""

    def __init__(self, listing, outcome=WriteOutcome.WRITTEN):
        self.listing = listing
        self.outcome = outcome
        self.calls = []

    async def list_objects(self, kind, allow_stale=False):
        self.calls.append((kind, allow_stale))
        if isinstance(self.listing, Exception):
            raise self.listing
        return self.listing

    async def write_size(self, record):
        self.calls.append(record)
        return WriteResult(self.outcome, 9 if self.outcome is WriteOutcome.WRITTEN else 0)


def run_call(store, name, *arguments):
    """Run a call and return its events and log lines."""
    events, lines = [], []
    environment = SimpleNamespace(
        store=store, kinds=SimpleNamespace(sizes='sizes'), decode_size=records.decode_size
    )
    calls = SizeClient(environment, events.append, lambda kind, /, **fields: lines.append(kind))
    calls.start(getattr(calls, name)(*arguments), SizesReadFailed())
    return events, lines


FOUND = (
    Change('g', records.encode_size(SizeRecord('g', 3, 5)), False, 5),
    Change('odd', {'size': '3'}, False, 6),
)


@pytest.mark.parametrize(
    ('listing', 'event', 'line'),
    [
        (
            Ok(Listing(FOUND, 8)),
            SizesRead((SizeRecord('g', 3, 5), SizeRecord('odd', 0, 6))),
            'size_record_refused',
        ),
        (Err(StoreError('down')), SizesReadFailed(), 'sizes_read_failed'),
        (ValueError('no list'), SizesReadFailed(), 'size_call_failed'),
    ],
)
def test_read_of_the_sizes_ends_in_one_event(listing, event, line):
    # A read without an event would keep a VM from ever serving.
    store = Store(listing)
    assert run_call(store, 'read') == ([event], [line])
    assert store.calls == [('sizes', True)]


@pytest.mark.parametrize('outcome', WriteOutcome)
def test_write_of_a_size_ends_in_one_event(outcome):
    record = SizeRecord('g', 3, 5)
    events, lines = run_call(Store(None, outcome), 'write', record)
    if outcome is WriteOutcome.WRITTEN:
        assert (events, lines) == ([SizeWritten(SizeRecord('g', 3, 9))], [])
    else:
        assert (events, lines) == ([SizeWritten(None)], ['size_write_failed'])


# Revision, in the era that the restore begins, of a record that came back with the copy.
RETURNED = join_revision(2, 4)


def restore(state, now):
    """Show a VM that the store was restored; the first list of the era follows at once."""
    reduce_event(state, StoreEraObserved(2), now)
    reduce_event(state, StoreListed(RETURNED), now)


@pytest.mark.parametrize(
    ('found', 'written'),
    [
        ((), SizeRecord(GROUP, 3, 0, 2)),
        (
            (SizeRecord(GROUP, 2, join_revision(2, 4), 0),),
            SizeRecord(GROUP, 3, join_revision(2, 4), 2),
        ),
        (
            (SizeRecord(GROUP, 3, join_revision(2, 4), 0),),
            SizeRecord(GROUP, 3, join_revision(2, 4), 2),
        ),
        ((SizeRecord(GROUP, 3, join_revision(2, 9), 2),), None),
    ],
    ids=['lost', 'older one back', 'not confirmed in this era', 'written by another VM'],
)
def test_size_is_recorded_again_after_a_restore_of_the_store(found, written):
    # A VM kept the record with the higher revision of the former era and wrote under it: a
    # conflict every few seconds from every VM, and no record for those that start.
    state = start_vm(STAYING, 3)
    run_ticks(state, 0, 20)
    restore(state, 20)
    assert run_ticks(state, 20, 20 + RESTORE_SETTLE_S - 0.1) == []
    read_at = 20 + RESTORE_SETTLE_S + CHECK_S
    assert run_ticks(state, 20 + RESTORE_SETTLE_S, read_at) == [ReadSizes()]
    effects = list(reduce_event(state, SizesRead(found), read_at))
    effects += run_ticks(state, read_at, read_at + 3)
    if ReadSizes() in effects:
        effects += reduce_event(state, SizesRead(found), read_at + 3)
    assert [it.record for it in effects if isinstance(it, WriteSize)] == (
        [written] if written else []
    )


@pytest.mark.parametrize('found', [(), (SizeRecord(GROUP, 2, join_revision(2, 4), 0),)])
def test_size_known_before_a_restore_stays_the_floor(found):
    # The VM has seen fewer targets than were recorded; the record that came back is smaller.
    state = start_vm(STAYING[:1], 3)
    restore(state, 20)
    run_ticks(state, 20, 25)
    reduce_event(state, SizesRead(found), 25)
    # Longer than it takes to believe that a group has shrunk.
    run_ticks(state, 25.1, 45)
    assert state.groups[GROUP].size == 3


@pytest.mark.parametrize(
    ('found', 'waits'),
    [
        ((), True),
        ((SizeRecord(GROUP, 3, join_revision(2, 4), 1),), True),
        ((SizeRecord(GROUP, 3, join_revision(2, 9), 2),), False),
    ],
    ids=['no record', 'record of a former era', 'record of this era'],
)
def test_vm_that_starts_right_after_a_restore_waits_for_lost_records(found, waits):
    # It counted majorities over the targets that had registered again so far, and served the
    # configuration of the copy before the operator had written again.
    state = PoolerState('vm0', 'p0', random.Random(1))
    state.config = RoutingConfig(1)
    reduce_event(state, StoreReachability(True), 0)
    restore(state, 0)
    reduce_event(state, TargetsListed(tuple(STAYING[:1])), 0.1)
    reduce_event(state, SizesRead(found), 0.2)
    assert sessions.is_configured(state) is not waits
    assert run_ticks(state, 0.3, 1.5) == ([ReadSizes()] if waits else [])
    reduce_event(state, SizesRead(found), RESTORE_SETTLE_S)
    assert sessions.is_configured(state)


HANDLER_MODULES = (store_era,)
