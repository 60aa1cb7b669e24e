"""Search of the member lists of two VMs for majorities that do not meet during replacements.

One VM acknowledges a commit, another one takes it for granted that its majority contains a holder.
Both learn of each record late. A target is replaced by one that has its log.
"""

import random
from itertools import combinations, product

import pytest
from fake_target import GROUP

from cassiaseam.pooler import discovery
from cassiaseam.pooler.events import StoreReachability
from cassiaseam.pooler.group_sizes import SizeRecord
from cassiaseam.pooler.model import TargetRecord
from cassiaseam.pooler.state import PoolerState

SIZE = 3
STEP_S = 1.0
# Seconds from the announcement of a leave to the end of the target.
DRAIN_S = 3.0


class Replacements:
    """Targets t0 to t2 are replaced by t3 to t5, one after the other.

    Attributes:
        changes: Changes of the records as (time, name, kind), in order.
        joined: Time at which each target has its log.
        ended: Time at which each target that is replaced ends.
    """

    def __init__(self, pause_s, gap_s, transfer_s=0.0):
        """Plan the replacements.

        Args:
            pause_s: Seconds between two of them.
            gap_s: Seconds from the end of a target to the record of its successor.
            transfer_s: Seconds from its record until the successor has the log.
        """
        self.transfer_s = transfer_s
        self.changes = [(0.0, f't{number}', 'join') for number in range(SIZE)]
        self.joined = {f't{number}': 0.0 for number in range(SIZE)}
        self.ended = {}
        now = 20.0
        for number in range(SIZE):
            old, new = f't{number}', f't{number + SIZE}'
            end = now + DRAIN_S
            self.changes += [(now, old, 'leave'), (end, old, 'remove'), (end + gap_s, new, 'join')]
            self.ended[old] = end
            self.joined[new] = end + gap_s
            now = end + gap_s + pause_s
        self.changes.sort()
        self.until = now + 20.0

    def is_alive(self, name, now):
        return self.joined[name] <= now < self.ended.get(name, self.until + 1)

    def find_holders(self, name, now):
        """Return the targets that hold at a time what a target held."""
        if name not in self.ended or now < self.ended[name]:
            return {name}
        name = f't{int(name[1:]) + SIZE}'
        return {name} if self.joined[name] + self.transfer_s <= now else set()


def list_views(plan, lag_s, started_at):
    """Return the members and the majority of a VM at each step, as (time, members, majority)."""
    state = PoolerState('vm0', 'p0', random.Random(1))
    state.sizes.records[GROUP] = SizeRecord(GROUP, SIZE, 1)
    discovery.handle_store_contact(state, StoreReachability(True), started_at)
    pending = list(plan.changes)
    views = []
    now = started_at
    while now < plan.until:
        while pending and pending[0][0] + lag_s <= now:
            _, name, kind = pending.pop(0)
            if kind == 'remove':
                discovery.mark_missing(state, name, now)
            else:
                record = TargetRecord(
                    name, GROUP, 'h', 1, 'p0', 5, kind == 'leave', False, name[1:]
                )
                discovery.apply_record(state, record, now)
        state.targets_known = True
        group = state.groups[GROUP]
        discovery.remove_missing_targets(state, group, now)
        views.append((now, frozenset(group.targets), group.size // 2 + 1))
        now += STEP_S
    return views


def find_disjoint(plan, writer, reader):
    """Return a pair of views whose majorities need not meet, or None."""
    found = {(members, majority): [] for _, members, majority in writer}
    for now, members, majority in writer:
        found[members, majority].append(now)
    for (members, majority), times in found.items():
        for acked_at in (times[0], times[-1]):
            alive = [name for name in sorted(members) if plan.is_alive(name, acked_at)]
            for holders in combinations(alive, majority):
                for read_at, known, needed in reader:
                    if read_at < acked_at:
                        continue
                    held = set().union(*(plan.find_holders(name, read_at) for name in holders))
                    answering = [it for it in sorted(known) if plan.is_alive(it, read_at)]
                    if len([it for it in answering if it not in held]) >= needed:
                        return acked_at, holders, read_at, sorted(known), needed
    return None


LAGS_S = (0.0, 2.0, 5.0, 12.0, 40.0)
PAUSES_S = (0.0, 2.0, 8.0, 20.0)


@pytest.mark.parametrize('transfer_s', [0.0, 2.0])
@pytest.mark.parametrize('gap_s', [0.0, 1.0, 4.0])
@pytest.mark.parametrize('pause_s', PAUSES_S)
def test_majorities_meet_while_targets_are_replaced_one_after_the_other(
    pause_s, gap_s, transfer_s
):
    # Guards the time for which a target that left is counted. Otherwise a sample or a confirmation
    # misses a commit that another VM, which learns of records late, acknowledged.
    plan = Replacements(pause_s, gap_s, transfer_s)
    views = {lag_s: list_views(plan, lag_s, lag_s) for lag_s in LAGS_S}
    for writer, reader in product(LAGS_S, repeat=2):
        assert find_disjoint(plan, views[writer], views[reader]) is None, (writer, reader)


def test_search_finds_majorities_that_do_not_meet():
    # Two successors in a row without a log form a majority without any holder.
    plan = Replacements(0.0, 0.0, transfer_s=30.0)
    views = list_views(plan, 0.0, 0.0)
    assert find_disjoint(plan, views, views) is not None
