import random

import pytest

from cassiaseam.configuration.model import DatabaseConfig, OwnershipChanged, TargetConfig
from cassiaseam.group.detection import (
    INHERITED_LOCK_WINDOW_S,
    STALLED_WRITE_TIMEOUT_S,
    detect_inherited_locks,
)
from cassiaseam.group.handlers import change_ownership
from cassiaseam.membership.messages import MemberRecord, MemberStatus
from cassiaseam.membership.ranking import RankingIndex
from cassiaseam.membership.state import MembershipState, has_failed_member
from cassiaseam.reducer.node_state import NodeState


@pytest.mark.parametrize(
    ('status', 'inherits'),
    [
        (MemberStatus.ALIVE, False),
        (MemberStatus.SUSPECT, True),
        (MemberStatus.DEAD, True),
        (MemberStatus.LEFT, False),
    ],
)
def test_only_a_failed_daemon_leaves_locks_behind(status, inherits):
    record = MemberRecord('vm-2', 1, status, 'p', '127.0.0.1', 1)
    membership = MembershipState(record, RankingIndex('vm-2'))
    membership.members['vm-2'] = record
    if status is not MemberStatus.ALIVE:
        membership.changed_at['vm-2'] = 1.0
    assert has_failed_member(membership) is inherits


@pytest.mark.parametrize(
    ('held_s', 'running_s', 'promotes'),
    [
        (1, STALLED_WRITE_TIMEOUT_S * 2, True),
        (1, STALLED_WRITE_TIMEOUT_S / 2, False),
        (1, None, False),
        (INHERITED_LOCK_WINDOW_S, STALLED_WRITE_TIMEOUT_S * 2, False),
        (None, STALLED_WRITE_TIMEOUT_S * 2, False),
    ],
)
def test_promotion_only_for_a_write_that_stalls_after_a_takeover(held_s, running_s, promotes):
    now = 100.0
    node = NodeState('vm-1', 'p', random.Random(1))
    target = TargetConfig('a', '127.0.0.1', 1, 'p')
    node.database_configs['db'] = DatabaseConfig('db', (target,))
    change_ownership(node, OwnershipChanged('db', owns=True), now)
    group = node.groups['db']
    group.no_primary_since = None
    group.taken_over_at = None if held_s is None else now - held_s
    group.oldest_write_at = None if running_s is None else now - running_s
    assert bool(detect_inherited_locks(group, now)) is promotes
