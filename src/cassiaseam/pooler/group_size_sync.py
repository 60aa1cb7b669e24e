"""Keeps the size of each group in the store, and takes it from there after a start.

The records are read once at the start. They are read again, and written, only when the number of
targets has differed for some time: a planned replacement, in which one target leaves while another
one joins, costs no call. Load pattern: all VMs see a change at the same moment; their checks are
spread by the number of VMs, so that one of them writes and the others find the record changed.
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
from cassiaseam.reducer.registry import handles

# Seconds after the start before which nothing is written: targets of a new deployment register one
# after the other, and the VMs know of each other only then.
FIRST_CHECK_S = 8.0
# Seconds for which more targets than recorded have to stay before the record grows.
GROW_DELAY_S = 1.0
# The same before it shrinks, without a failed call or a lost store meanwhile: records that lapsed
# are back by then. It is longer than a watch that notices late that the store is silent, and than
# most replacements; until then a VM that starts only counts a larger majority than it has to.
LOWER_DELAY_S = 60.0
# Seconds by which the checks are spread, per VM: a copy that may be seconds old then leaves about
# ten VMs that write in vain.
SPREAD_PER_VM_S = 0.25
# Seconds after which a call counts as lost. Each call ends in an event; the limit is a multiple of
# what a list of several pages takes, because the adapter runs one list at a time.
ASK_LIMIT_S = 30.0
# Pauses in seconds, with some spread, after a failed first read and after a failed write.
READ_PAUSE_S = 0.5
WRITE_PAUSE_S = 5.0


def check_records(state: PoolerState, now: float) -> list:
    """Read the records after the start, and again when one differs for long."""
    sizes = state.sizes
    if sizes.asked_at is not None and now - sizes.asked_at < ASK_LIMIT_S:
        return []
    if sizes.known:
        if not find_due_groups(state, now):
            sizes.check_at = None
            return []
        if sizes.check_at is None:
            spread_s = SPREAD_PER_VM_S * (len(state.peers) + 1)
            earliest = max(now, sizes.not_before, state.started_at + FIRST_CHECK_S)
            sizes.check_at = earliest + spread_s * state.rng.random()
        if now < sizes.check_at:
            return []
    elif now < sizes.not_before:
        return []
    sizes.check_at = None
    sizes.asked_at = now
    return [ReadSizes()]


def note_size(state: PoolerState, group: GroupView, now: float) -> list:
    """Remember since when a record differs, and log a size that is new."""
    sizes = state.sizes
    # A target that is gone for good has no record, while its successor has one.
    count = quorum.count_staying(group) - quorum.count_missing(group)
    if not count or count == sizes.find_record(group.name).size:
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
    """Return the groups whose record has differed for so long that it is written."""
    due = []
    for name, (count, since) in state.sizes.differing.items():
        recorded = state.sizes.find_record(name).size
        delay_s = GROW_DELAY_S if count > recorded else LOWER_DELAY_S
        if count != recorded and now - since >= delay_s:
            due.append(name)
    return due


@handles(SizesRead)
def take_records(state: PoolerState, event: SizesRead, now: float) -> list:
    """Take the records over, and write one that still differs."""
    sizes = state.sizes
    sizes.asked_at = None
    for record in event.records:
        if record.revision >= sizes.find_record(record.group).revision:
            sizes.records[record.group] = record
    if sizes.known:
        raise_floors(state, [group for group in state.groups.values() if group.floor], now)
        return write_next(state, now)
    sizes.known = True
    raise_floors(state, list(state.groups.values()), now)
    return sessions.refuse_late_sessions(state, now)


def raise_floors(state: PoolerState, groups: list[GroupView], now: float) -> None:
    """Let groups count over as many targets as are recorded until so many are known."""
    for group in groups:
        group.floor = state.sizes.find_record(group.name).size
        quorum.note_newcomers(group, group.floor, now)
        quorum.refresh_members(group, now)


def write_next(state: PoolerState, now: float) -> list:
    """Write a record that differs; several VMs that check at once begin with different ones."""
    due = find_due_groups(state, now)
    if not due:
        return []
    name = state.rng.choice(due)
    count, _ = state.sizes.differing[name]
    state.sizes.asked_at = now
    return [WriteSize(SizeRecord(name, count, state.sizes.find_record(name).revision))]


@handles(SizesReadFailed)
def retry_read(state: PoolerState, event: SizesReadFailed, now: float) -> list:
    """Read again after a pause."""
    sizes = state.sizes
    sizes.asked_at = None
    pause_s = WRITE_PAUSE_S if sizes.known else READ_PAUSE_S
    sizes.not_before = now + pause_s * (0.5 + state.rng.random())
    sizes.differing.clear()
    return []


@handles(SizeWritten)
def take_written(state: PoolerState, event: SizeWritten, now: float) -> list:
    """Go on with the next record, or read again after a write that failed."""
    sizes = state.sizes
    sizes.asked_at = None
    record = event.record
    if record is None:
        sizes.not_before = now + WRITE_PAUSE_S * (0.5 + state.rng.random())
        sizes.differing.clear()
        return []
    sizes.records[record.group] = record
    sizes.differing.pop(record.group, None)
    group = state.groups.get(record.group)
    if group is not None and group.floor:
        raise_floors(state, [group], now)
    log = WriteLog('group_size_recorded', {'group': record.group, 'size': record.size})
    return [log, *write_next(state, now)]
