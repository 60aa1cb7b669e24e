import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiaseam.errors import ErrorKind
from cassiaseam.messages import TimelineRecord
from cassiaseam.timeline.buffer import TimelineBuffer, TimelineQuery
from cassiaseam.timeline.bursts import MAX_BURSTS, RefusalBursts
from cassiaseam.timeline.clock import MAX_DRIFT_S, HybridClock, issue_stamp, observe_stamp
from cassiaseam.timeline.merge import GapMark, GapReason, MergedRecord, merge_timeline_pages
from cassiaseam.timeline.render import (
    decode_timeline_entry,
    encode_timeline_entry,
    render_json_lines,
    render_timeline_page,
)

VMS = ('vm-1', 'vm-2', 'vm-3')


@given(st.lists(st.floats(0, 2e9), min_size=1))
def test_stamps_rise_even_when_wall_time_jumps_back(times):
    clock = HybridClock()
    stamps = [issue_stamp(clock, now) for now in times]
    assert stamps == sorted(set(stamps))


def test_one_wrong_clock_does_not_move_the_others_into_the_future():
    clock = HybridClock()
    assert not observe_stamp(clock, (int((100 + 2 * MAX_DRIFT_S) * 1000), 0), 100)
    assert issue_stamp(clock, 100) == (100_000, 0)


# Each step: acting VM, optionally the VM whose latest timestamp it receives, and its wall time.
steps = st.lists(
    st.tuples(st.sampled_from(VMS), st.sampled_from((None, *VMS)), st.floats(100, 130)),
    max_size=40,
)


@given(steps, st.integers(1, 50))
def test_merged_order_puts_causes_before_effects(history, capacity):
    buffers = {vm: TimelineBuffer(vm, 'a', 'run', capacity) for vm in VMS}
    edges = []
    for vm, sender, now in history:
        buffer = buffers[vm]
        if sender and buffers[sender].records:
            cause = buffers[sender].records[-1].record
            observe_stamp(buffer.clock, cause.stamp, now)
            edges.append((cause.vm, cause.stamp, vm, buffer.latest + 1))
        buffer.append_record(TimelineRecord('step'), now)
    pages = [buffer.read_page(TimelineQuery()) for buffer in buffers.values()]
    entries = merge_timeline_pages(pages, {}, TimelineQuery()).entries
    records = [entry for entry in entries if isinstance(entry, MergedRecord)]
    index = {(it.record.vm, it.record.stamp): place for place, it in enumerate(records)}
    by_sequence = {(it.record.vm, it.sequence): place for place, it in enumerate(records)}
    for cause_vm, stamp, vm, sequence in edges:
        if (cause_vm, stamp) in index and (vm, sequence) in by_sequence:
            assert index[cause_vm, stamp] < by_sequence[vm, sequence]
    for vm in VMS:
        sequences = [it.sequence for it in records if it.record.vm == vm]
        assert sequences == sorted(sequences)
        marked = GapReason.OVERWRITTEN in [
            it.reason for it in entries if isinstance(it, GapMark) and it.vm == vm
        ]
        assert marked == (buffers[vm].latest > capacity)


def read_gaps(buffer, cursor, unreachable=()):
    query = TimelineQuery(cursor=cursor)
    merged = merge_timeline_pages([buffer.read_page(query)], dict(unreachable), query)
    return [entry.reason.value for entry in merged.entries if isinstance(entry, GapMark)]


@pytest.mark.parametrize(
    ('cursor', 'unreachable', 'reasons'),
    [
        ({}, {}, ['overwritten']),
        ({'vm-1': ('run', 8)}, {}, []),
        ({'vm-1': ('run', 3)}, {}, ['overwritten']),
        ({'vm-1': ('before', 9)}, {}, ['restarted', 'overwritten']),
        ({'vm-1': ('run', 10)}, {'vm-2': 'refused'}, ['unreachable']),
        ({'vm-1': ('run', 10)}, {'vm-1': 'refused'}, []),
    ],
)
def test_missing_records_yield_gap_marks(cursor, unreachable, reasons):
    buffer = TimelineBuffer('vm-1', 'a', 'run', 4)
    for second in range(10):
        buffer.append_record(TimelineRecord('step'), second)
    assert read_gaps(buffer, cursor, unreachable) == reasons


def test_follower_reads_each_record_once():
    buffer = TimelineBuffer('vm-1', 'a', 'run', 4)
    buffer.append_record(TimelineRecord('one', database='d'), 1)
    query = TimelineQuery()
    merged = merge_timeline_pages([buffer.read_page(query)], {}, query)
    buffer.append_record(TimelineRecord('two', database='d'), 2)
    buffer.append_record(TimelineRecord('three', database='e'), 2)
    query = TimelineQuery(database='d', cursor=merged.cursor)
    merged = merge_timeline_pages([buffer.read_page(query)], {}, query)
    assert [entry.record.kind for entry in merged.entries] == ['two']
    assert merged.cursor == {'vm-1': ('run', 3)}


def test_html_page_escapes_values_and_is_self_contained():
    record = TimelineRecord(
        '<script>', 'd', 2, 'a "cause"', {'x': '<img src=http://a>'}, (5, 0), 'v'
    )
    entries = (MergedRecord(1, record), GapMark('w', GapReason.UNREACHABLE, 'refused'))
    page = render_timeline_page(entries, 'title <b>')
    assert '<script' not in page
    assert '<img' not in page
    assert page.count('<th>') == 3
    lines = [json.loads(line) for line in render_json_lines(entries).splitlines()]
    assert tuple(decode_timeline_entry(line) for line in lines) == entries
    assert lines[0] == encode_timeline_entry(entries[0])


OVERLOADED, NO_PRIMARY = ErrorKind.OVERLOADED, ErrorKind.NO_PRIMARY


@pytest.mark.parametrize(
    ('refusals', 'expected'),
    [
        ([(OVERLOADED, 'd', 0)] * 1000, [('d', 'overloaded', '1000')]),
        (
            [(OVERLOADED, 'd', 0), (NO_PRIMARY, 'd', 0), (OVERLOADED, 'e', 0)],
            [('d', 'overloaded', '1'), ('d', 'no_primary', '1'), ('e', 'overloaded', '1')],
        ),
        ([(OVERLOADED, 'd', 0.1)], []),
        ([(ErrorKind.BAD_SQL, 'd', 0), (ErrorKind.STATEMENT_FAILED, 'd', 0)], []),
    ],
)
def test_refusals_are_aggregated_per_kind_database_and_burst(refusals, expected):
    bursts = RefusalBursts()
    for refusal in refusals:
        bursts.count_refusal(*refusal)
    records = bursts.pop_due_records(5)
    found = [(it.database, it.fields['kind'], it.fields['count']) for it in records]
    assert found == expected
    assert not bursts.pop_due_records(5)


def test_invented_database_names_yield_a_bounded_number_of_records():
    bursts = RefusalBursts()
    for number in range(10 * MAX_BURSTS):
        bursts.count_refusal(ErrorKind.NOT_OWNER, f'd{number}', 0)
    records = bursts.pop_due_records(10)
    assert len(records) == MAX_BURSTS + 1
    assert sum(int(it.fields['count']) for it in records) == 10 * MAX_BURSTS
