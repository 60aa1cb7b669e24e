"""Tests for guards whose removal no other test detects; see `tests/check_guards.py`."""

import pytest
from fake_target import GROUP
from pooler_world import World
from test_pooler_quorum import FAR, NEAR, PRIMARY, build_group, follows, leads

from cassiaseam.pooler import quorum
from cassiaseam.pooler.commands import StatementKind
from cassiaseam.positions import LogPosition


@pytest.mark.parametrize(
    ('later_start', 'kept'), [(2.0, LogPosition(1, 9)), (0.5, LogPosition(1, 5))]
)
def test_status_of_an_earlier_poll_does_not_replace_a_later_one(later_start, kept):
    # A stale status would restore a shorter log or a replaced primary.
    group = build_group([(NEAR, 1.0, follows(1, 5)), (NEAR, later_start, follows(1, 9))])
    assert group.monitor.targets[NEAR].status.last == kept


@pytest.mark.parametrize(('size', 'needed'), [(1, 1), (2, 1), (3, 2), (4, 2), (5, 3)])
def test_a_promotion_needs_a_fence_in_every_majority(size, needed):
    # With fewer fences, a majority could still acknowledge commits that the new primary lacks.
    group = build_group([])
    for number in range(size - 3):
        group.targets[f'more-{number}'] = group.targets[FAR]
    for name in (PRIMARY, NEAR, FAR)[size:]:
        del group.targets[name]
    group.size = size
    quorum.refresh_members(group, 0)
    assert quorum.count_required_fences(group) == needed
    assert needed + (size // 2 + 1) > size


def test_one_fence_of_three_targets_does_not_promote():
    world = World(vms=1)
    world.run_until(0.5)
    world.crash('t0', 30)
    world.mute('t1', 30)
    world.run_until(6)
    assert not world.promotion_calls


@pytest.mark.parametrize(('after_s', 'size'), [(0, 3), (9.9, 3), (10.1, 2)])
def test_group_size_includes_targets_whose_record_expired(after_s, size):
    # Records expire while the store is unreachable. A majority of the remaining ones would be
    # smaller than the one that acknowledged commits.
    group = build_group([])
    del group.targets[FAR]
    quorum.refresh_members(group, 100)
    quorum.refresh_members(group, 100 + after_s)
    assert group.size == size


@pytest.mark.parametrize(
    ('after_s', 'status', 'counts'),
    [
        (0.5, follows(1, 5), False),
        (3.9, follows(1, 5), False),
        (4.1, follows(1, 5), True),
        (0.5, leads(2, 5), True),
    ],
)
def test_status_of_a_restarted_replica_is_ignored(after_s, status, counts):
    # A restart ends a fence: the status could confirm a primary that is being replaced.
    world = World(vms=1)
    world.run_until(0.5)
    vm = world.vms['vm0']
    world.mute('t1', 60)
    world.crash('t1', 0.1)
    world.run_until(1)
    group = vm.state.groups[GROUP]
    restarted_at = group.targets['t1'].distrusted_until - quorum.RESTART_DISTRUST_S
    assert restarted_at == pytest.approx(0.6, abs=0.05)
    asked_at = restarted_at + after_s
    quorum.record_status(group, 't1', asked_at, status, asked_at)
    assert (group.monitor.targets['t1'].status is not None) is counts


def test_acknowledged_write_survives_the_restart_of_a_fenced_replica():
    world = World(vms=2)
    world.run_until(0.5)
    world.connect('vm0', 1, 'orders')
    written = world.send('vm0', 1, StatementKind.WRITE, 'kept')
    world.run_until(1)
    world.crash('t1', 0.2)
    world.crash('t0', 20)
    world.run_until(8)
    assert written.answer.error is None
    assert 'kept' in [value for _, value in world.find_primary().log]
