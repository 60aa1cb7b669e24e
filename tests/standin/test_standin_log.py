import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiaseam.positions import LogPosition
from cassiaseam_standin.replication_log import LogEntry, ReplicationLog


def build_log(terms):
    log = ReplicationLog()
    for offset, term in enumerate(terms, start=1):
        log.append(LogEntry(term, offset, (f'{term}:{offset}',)), now=0)
    return log


def copy_log(replica, primary):
    rounds = 0
    while True:
        common = primary.find_common_offset(replica.last)
        if common == replica.last.offset:
            break
        assert common < replica.last.offset
        replica.drop_after(common)
        rounds += 1
    for entry in primary.list_entries_after(common, stored_until=0, limit=100):
        replica.append(entry, now=0)
    return rounds


@settings(derandomize=True, max_examples=300)
@given(
    shared=st.lists(st.integers(1, 3), max_size=5).map(sorted),
    old=st.lists(st.sampled_from([4, 6]), max_size=5).map(sorted),
    new=st.lists(st.sampled_from([5, 7]), max_size=5).map(sorted),
)
def test_replica_keeps_diverging_entries_or_drops_shared_ones(shared, old, new):
    # Terms 4 and 6 had a different primary than terms 5 and 7.
    primary = build_log(shared + new)
    replica = build_log(shared + old)
    copy_log(replica, primary)
    assert replica.entries == primary.entries


@pytest.mark.parametrize(
    ('terms', 'last', 'common'),
    [
        ([], LogPosition(0, 0), 0),
        ([1, 1], LogPosition(1, 1), 1),
        ([1, 1], LogPosition(1, 3), 2),
        ([1, 2], LogPosition(1, 3), 1),
        ([1, 1, 3], LogPosition(2, 3), 2),
        ([1, 1], LogPosition(2, 2), 1),
    ],
)
def test_primary_names_a_wrong_common_offset(terms, last, common):
    assert build_log(terms).find_common_offset(last) == common


@pytest.mark.parametrize('entry', [LogEntry(2, 3, ()), LogEntry(1, 2, ())])
def test_log_accepts_a_gap_or_an_older_term(entry):
    log = build_log([2])
    with pytest.raises(ValueError):
        log.append(entry, now=0)
