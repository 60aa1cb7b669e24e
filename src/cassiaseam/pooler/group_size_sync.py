"""Synchronizes the size of each group with its record in the store.

The records are read once at the start. They are read again, and written, only when the number of
targets has differed for some time: a planned replacement, in which one target leaves while another
one joins, costs no call. Load pattern: all VMs see a change at the same moment. Their checks are
jittered in proportion to the number of VMs, so that one of them writes and the others find the
record changed.

A restore of the store can lose a record or bring an older one back, and target records may be
missing then. Each record names the era of the store in which it was written; after a restore one
VM writes it again. A VM that starts and finds records of a former era, or none, waits until the
targets have had time to register again.
"""

from cassiaseam.pooler import quorum, sessions
from cassiaseam.pooler.events import WriteLog
from cassiaseam.pooler.group_sizes import (
    ReadSizes,
    SizeRecord,
    SizesRead,
    SizesReadFailed,
    SizeWritten,
    WriteSize,
)
from cassiaseam.pooler.state import GroupView, PoolerState
from cassiaseam.pooler.store_era import get_store_era
from cassiaseam.reducer.registry import handles

# Seconds after the start before which nothing is written. The targets of a new deployment register
# one after the other, and the VMs know of each other only after that.
FIRST_CHECK_DELAY_S = 8.0
# Seconds for which more targets than recorded have to exist before the record is raised.
GROW_RECORD_DELAY_S = 1.0
# Seconds for which fewer targets have to exist before it is lowered; a failed call or a lost store
# restarts the period. Expired records are back by then. It is longer than a watch takes to notice
# a silent store, and than most replacements. Until then, a VM that starts only needs a larger
# majority than necessary.
SHRINK_RECORD_DELAY_S = 60.0
# Seconds after the first list of an era within which records that the restore lost are back. The
# platform states about two seconds after the return of the store.
RESTORE_SETTLE_S = 3.0
# Jitter of the checks in seconds per VM. As a read may be seconds stale, about ten VMs still
# attempt a write that conflicts.
JITTER_PER_VM_S = 0.25
# Seconds after which a call counts as lost. Each call normally ends in an event; the timeout is a
# multiple of the time for a list of several pages, because the adapter runs one list at a time.
STORE_CALL_TIMEOUT_S = 30.0
# Mean delays in seconds, with jitter, after a failed first read and after a later failure.
READ_RETRY_DELAY_S = 0.5
WRITE_RETRY_DELAY_S = 5.0


def check_records(state: PoolerState, now: float) -> list:
    """Read the records after the start, and again when one has differed for long."""
    sizes = state.sizes
    if sizes.request_sent_at is not None and now - sizes.request_sent_at < STORE_CALL_TIMEOUT_S:
        return []
    if sizes.known:
        is_restored = sizes.read_era != get_store_era(state)
        if not is_restored and not find_due_groups(state, now):
            sizes.next_check_at = None
            return []
        if is_restored and not is_settled(state, now):
            return []
        if sizes.next_check_at is None:
            jitter_s = JITTER_PER_VM_S * (len(state.peers) + 1)
            earliest = max(now, sizes.not_before, state.started_at + FIRST_CHECK_DELAY_S)
            sizes.next_check_at = earliest + jitter_s * state.rng.random()
        if now < sizes.next_check_at:
            return []
    elif now < sizes.not_before:
        return []
    sizes.next_check_at = None
    sizes.request_sent_at = now
    return [ReadSizes()]


def is_settled(state: PoolerState, now: float) -> bool:
    """Return whether the era has lasted long enough for lost records to be back."""
    if state.first_revision is None:
        return False
    return now - state.first_listed_at >= RESTORE_SETTLE_S


def is_recorded(state: PoolerState, group: str, count: int) -> bool:
    """Return whether the record of a group has a size and was written in the current era."""
    record = state.sizes.find_record(group)
    return record.size == count and record.era == get_store_era(state)


def track_size(state: PoolerState, group: GroupView, now: float) -> list:
    """Track since when a record differs, and log a new size."""
    sizes = state.sizes
    # A target that is gone permanently has no record, while its replacement has one.
    count = quorum.count_not_leaving(group) - quorum.count_missing(group)
    if not count or is_recorded(state, group.name, count):
        sizes.differing.pop(group.name, None)
    elif sizes.differing.get(group.name, (0, 0))[0] != count:
        sizes.differing[group.name] = (count, now)
    if group.size == group.logged_size:
        return []
    former, group.logged_size = group.logged_size, group.size
    log = WriteLog(
        'group_size_changed',
        {
            'group': group.name,
            'size': group.size,
            'former': former,
            'targets': len(group.targets),
            'recorded': sizes.find_record(group.name).size,
            'cause': 'recorded' if group.floor else 'listed',
        },
    )
    return [log]


def find_due_groups(state: PoolerState, now: float) -> list[str]:
    """Return the groups whose record has differed for long enough to be written."""
    due = []
    for name, (count, since) in state.sizes.differing.items():
        recorded = state.sizes.find_record(name).size
        delay_s = GROW_RECORD_DELAY_S if count >= recorded else SHRINK_RECORD_DELAY_S
        if not is_recorded(state, name, count) and now - since >= delay_s:
            due.append(name)
    return due


@handles(SizesRead)
def apply_size_records(state: PoolerState, event: SizesRead, now: float) -> list:
    """Apply the records that were read, and write one that still differs."""
    sizes = state.sizes
    sizes.request_sent_at = None
    era = get_store_era(state)
    if not sizes.known and not is_settled(state, now) and not is_current(event, era):
        sizes.not_before = now + READ_RETRY_DELAY_S * (0.5 + state.rng.random())
        return []
    is_restored = sizes.known and sizes.read_era != era
    sizes.read_era = era
    if is_restored:
        forget_lost_records(state, event)
    for record in event.records:
        if record.revision >= sizes.find_record(record.group).revision:
            sizes.records[record.group] = record
    if sizes.known:
        waiting = [group for group in state.groups.values() if group.floor]
        set_size_floors(state, waiting, now, keep_larger=is_restored)
        return write_next_record(state, now)
    sizes.known = True
    set_size_floors(state, list(state.groups.values()), now)
    return sessions.resolve_pending_sessions(state, now)


def is_current(event: SizesRead, era: int) -> bool:
    """Return whether all records that were read, and at least one, are of an era."""
    return bool(event.records) and all(record.era == era for record in event.records)


def forget_lost_records(state: PoolerState, event: SizesRead) -> None:
    """Forget the records that a restored store lacks, so that they are created again."""
    listed = {record.group for record in event.records}
    for group in set(state.sizes.records) - listed:
        del state.sizes.records[group]


def set_size_floors(
    state: PoolerState, groups: list[GroupView], now: float, keep_larger: bool = False
) -> None:
    """Make groups use the recorded size until that many targets are known.

    Args:
        state: State of the daemon.
        groups: Groups that use a recorded size.
        now: Monotonic time in seconds.
        keep_larger: Whether a size that was recorded before a restore of the store stays in use
            when the record is gone or smaller.
    """
    for group in groups:
        recorded = state.sizes.find_record(group.name).size
        group.floor = max(recorded, group.floor) if keep_larger else recorded
        quorum.mark_new_targets(group, group.floor, now)
        quorum.refresh_members(group, now)


def write_next_record(state: PoolerState, now: float) -> list:
    """Write a random record that differs, so that concurrent VMs rarely write the same one."""
    due = find_due_groups(state, now)
    if not due:
        return []
    name = state.rng.choice(due)
    count, _ = state.sizes.differing[name]
    state.sizes.request_sent_at = now
    revision = state.sizes.find_record(name).revision
    return [WriteSize(SizeRecord(name, count, revision, get_store_era(state)))]


@handles(SizesReadFailed)
def retry_read(state: PoolerState, event: SizesReadFailed, now: float) -> list:
    """Read again after a delay."""
    sizes = state.sizes
    sizes.request_sent_at = None
    delay_s = WRITE_RETRY_DELAY_S if sizes.known else READ_RETRY_DELAY_S
    sizes.not_before = now + delay_s * (0.5 + state.rng.random())
    sizes.differing.clear()
    return []


@handles(SizeWritten)
def handle_size_write(state: PoolerState, event: SizeWritten, now: float) -> list:
    """Write the next record, or read again after a failed write."""
    sizes = state.sizes
    sizes.request_sent_at = None
    record = event.record
    if record is None:
        sizes.not_before = now + WRITE_RETRY_DELAY_S * (0.5 + state.rng.random())
        sizes.differing.clear()
        return []
    sizes.records[record.group] = record
    sizes.differing.pop(record.group, None)
    group = state.groups.get(record.group)
    if group is not None and group.floor:
        set_size_floors(state, [group], now)
    log = WriteLog('group_size_recorded', {'group': record.group, 'size': record.size})
    return [log, *write_next_record(state, now)]
