"""Group decisions and handling of single answers on constructed states."""

import random

import pytest

import cassiaseam.reducer.roles  # noqa: F401
from cassiaseam.configuration.model import (
    DatabaseConfig,
    DatabaseConfigured,
    OwnershipChanged,
    TargetConfig,
)
from cassiaseam.group import view
from cassiaseam.group.candidates import choose_candidate, list_counted_grants
from cassiaseam.group.failover import abandon_failover, start_failover
from cassiaseam.group.state import GroupState, QuorumSample, TargetView
from cassiaseam.messages import TargetRole, TargetStatus
from cassiaseam.positions import LogPosition
from cassiaseam.reducer.node_state import NodeState
from cassiaseam.reducer.registry import reduce_event
from cassiaseam.reducer.target_io import (
    ClaimTerm,
    FenceAnswered,
    FenceTarget,
    TargetStatusFailed,
    TargetStatusReceived,
    TermClaim,
    TermClaimAnswered,
)

NAMES = ('t0', 't1', 't2')
CONFIG = DatabaseConfig('orders', tuple(TargetConfig(name, '', 0, '') for name in NAMES))
NOW = 50.0


def status(name, term=3, fenced=None, last=(3, 10), role=None, incarnation='1', follows='t0'):
    primary = name == 't0'
    role = role or (TargetRole.PRIMARY if primary else TargetRole.REPLICA)
    position = LogPosition(*last)
    fenced = term if fenced is None else fenced
    follows = '' if primary else follows
    return TargetStatus(name, incarnation, term, fenced, position, position, role, follows)


def build_group(*statuses, polled_at=NOW):
    targets = {
        known.instance: TargetView(known, polled_at, polled_at, fresh_as_of=polled_at)
        for known in statuses
    }
    group = GroupState(CONFIG, targets, term=3, primary='t0')
    group.known_position = max(known.last for known in statuses)
    return group


def build_node():
    node = NodeState('vm1', 'gyor-a', random.Random(3))
    reduce_event(node, DatabaseConfigured(CONFIG), NOW)
    reduce_event(node, OwnershipChanged('orders', owns=True), NOW)
    return node, node.groups['orders']


def receive(node, known, started_at=NOW, now=NOW):
    return reduce_event(
        node, TargetStatusReceived('orders', known.instance, started_at, known), now
    )


@pytest.mark.parametrize(
    ('t1', 't2', 'position', 'term', 'expected'),
    [
        ({}, {'last': (3, 9)}, (3, 10), 3, True),
        ({'last': (3, 9)}, {'last': (3, 9)}, (3, 10), 3, False),
        ({'fenced': 4}, {'fenced': 4}, (3, 10), 3, False),
        ({'term': 4, 'last': (4, 12)}, {'term': 4, 'last': (4, 12)}, (3, 10), 3, False),
        ({'term': 4, 'fenced': 3, 'last': (4, 12)}, {'last': (3, 9)}, (3, 10), 3, False),
        ({'term': 2, 'last': (3, 10)}, {'last': (3, 9)}, (3, 10), 3, False),
        ({}, {}, (2, 10), 3, False),
        ({}, {}, (0, 0), 0, False),
    ],
    ids=[
        'majority',
        'primary alone',
        'fenced',
        'next term',
        'later log',
        'old term',
        'old',
        'none',
    ],
)
def test_write_is_committed_only_with_a_majority_in_its_own_term(t1, t2, position, term, expected):
    group = build_group(status('t0'), status('t1', **t1), status('t2', **t2))
    assert view.is_committed(group, LogPosition(*position), term) is expected


@pytest.mark.parametrize(
    ('t1', 't2', 'polled_at', 'expected'),
    [
        ({}, {'fenced': 9}, NOW, ['t0']),
        ({'fenced': 4}, {'fenced': 4}, NOW, []),
        ({'term': 0, 'last': (0, 0)}, {'fenced': 4}, NOW, []),
        ({}, {}, NOW - view.CONFIRMATION_AGE_S - 0.01, []),
    ],
    ids=['minority fenced', 'majority fenced', 'blank instance', 'old polls'],
)
def test_read_without_age_needs_a_freshly_confirmed_primary(t1, t2, polled_at, expected):
    group = build_group(status('t0'), status('t1', **t1), status('t2', **t2), polled_at=polled_at)
    assert view.find_read_targets(group, LogPosition(), None, NOW) == expected


@pytest.mark.parametrize(
    ('floor', 'max_age_s', 'expected'),
    [
        ((3, 8), 1, ['t1', 't2', 't0']),
        ((3, 8), 0.3, ['t1', 't0']),
        ((3, 9), 1, ['t1', 't0']),
        ((3, 11), 1, []),
        ((4, 1), 1, []),
    ],
)
def test_read_uses_only_targets_that_cover_floor_and_age(floor, max_age_s, expected):
    group = build_group(status('t0'), status('t1'), status('t2', last=(3, 8)))
    group.targets['t2'].fresh_as_of = NOW - 0.5
    assert view.find_read_targets(group, LogPosition(*floor), max_age_s, NOW) == expected


@pytest.mark.parametrize(
    ('opened_at', 'expected'), [(1, 7), (2, 7), (2.5, 9), (3, 9), (3.1, None)]
)
def test_floor_comes_from_samples_after_the_session_opened(opened_at, expected):
    group = build_group(status('t0'))
    group.samples = [
        QuorumSample(started_at, LogPosition(3, offset))
        for started_at, offset in ((1, 8), (2, 7), (3, 9))
    ]
    floor = view.find_quorum_floor(group, opened_at)
    assert floor == (expected and LogPosition(3, expected))


@pytest.mark.parametrize(
    ('lasts', 'preferred', 'avoided', 'expected'),
    [
        (((3, 9), (3, 10), (3, 8)), '', (), 't1'),
        (((3, 10), (3, 10), (3, 8)), 't0', (), 't0'),
        (((3, 9), (3, 10), (3, 8)), 't0', (), 't1'),
        (((2, 99), (3, 10), (3, 8)), '', (), 't1'),
        (((3, 9), (3, 10), (3, 8)), '', ('t1',), 't0'),
        (((3, 9), (3, 10), (3, 8)), '', ('t1', 't0'), 't1'),
    ],
    ids=['advanced', 'preferred', 'preferred lags', 'term first', 'avoided', 'only unsafe left'],
)
def test_chosen_candidate_holds_every_acknowledged_write(lasts, preferred, avoided, expected):
    node, group = build_node()
    grants = {name: status(name, last=last) for name, last in zip(NAMES, lasts, strict=True)}
    start_failover(node, group, NOW, 'test', preferred=preferred)
    group.failover.avoided = frozenset(avoided)
    group.failover.grants = grants
    for name, known in grants.items():
        group.targets[name].status = known
    assert choose_candidate(group) == expected


def test_duplicate_and_late_answers_are_ignored():
    node, group = build_node()
    receive(node, status('t0', last=(3, 10)), NOW + 1, NOW + 1)
    receive(node, status('t0', last=(3, 4)), NOW + 0.5, NOW + 1)
    assert group.targets['t0'].status.last == LogPosition(3, 10)
    receive(node, status('t0', last=(3, 12), incarnation='2'), NOW + 2, NOW + 2)
    receive(node, status('t0', last=(3, 30)), NOW + 3, NOW + 3)
    assert group.targets['t0'].status.last == LogPosition(3, 12)
    failures = group.targets['t0'].failures
    reduce_event(node, TargetStatusFailed('orders', 't0', NOW, 'late'), NOW + 3)
    assert group.targets['t0'].failures == failures


def test_target_restarted_with_a_shorter_log_must_catch_up():
    node, group = build_node()
    receive(node, status('t1'), NOW + 1, NOW + 1)
    receive(node, status('t1', last=(3, 4), incarnation='2'), NOW + 2, NOW + 2)
    assert group.targets['t1'].catch_up_position == LogPosition(3, 10)
    receive(node, status('t1', last=(3, 10), incarnation='2'), NOW + 3, NOW + 3)
    assert group.targets['t1'].catch_up_position is None


@pytest.mark.parametrize(('fenced', 'primary'), [(3, 't0'), (4, '')])
def test_replaced_primary_is_not_adopted_without_a_majority(fenced, primary):
    node, group = build_node()
    receive(node, status('t0'), NOW + 1, NOW + 1)
    assert group.primary == ''
    receive(node, status('t1', fenced=fenced), NOW + 1, NOW + 1)
    assert group.primary == primary


def test_attempts_of_one_daemon_share_neither_term_nor_promoter():
    node, group = build_node()
    claims = []
    for _ in range(3):
        effects = start_failover(node, group, NOW, 'test')
        claims += [effect for effect in effects if isinstance(effect, ClaimTerm)]
        abandon_failover(node, group, NOW, 'test')
        assert group.retry_at > NOW
    reduce_event(node, OwnershipChanged('orders', owns=False), NOW)
    reduce_event(node, OwnershipChanged('orders', owns=True), NOW)
    effects = start_failover(node, node.groups['orders'], NOW, 'test')
    claims += [effect for effect in effects if isinstance(effect, ClaimTerm)]
    assert len({claim.term for claim in claims}) == len({claim.promoter for claim in claims}) == 4


@pytest.mark.parametrize('outcome', list(TermClaim))
def test_claim_conflict_abandons_the_attempt_and_raises_the_term(outcome):
    node, group = build_node()
    start_failover(node, group, NOW, 'test')
    answer = TermClaimAnswered('orders', group.failover.term, outcome, 8, 'vm2')
    effects = reduce_event(node, answer, NOW)
    fenced = any(isinstance(effect, FenceTarget) for effect in effects)
    assert fenced is (outcome is not TermClaim.CONFLICT)
    assert group.known_term >= 8


@pytest.mark.parametrize(
    ('term_offset', 'incarnation', 'granted', 'counted'),
    [
        (0, '1', True, 1),
        (-1, '1', True, 0),
        (0, '0', True, 0),
        (0, '2', True, 0),
        (0, '1', False, 0),
    ],
    ids=['grant', 'other term', 'earlier incarnation', 'restart not polled yet', 'refusal'],
)
def test_only_grants_of_this_attempt_count(term_offset, incarnation, granted, counted):
    node, group = build_node()
    receive(node, status('t1', incarnation='0'), NOW + 1, NOW + 1)
    receive(node, status('t1'), NOW + 2, NOW + 2)
    start_failover(node, group, NOW + 2, 'test')
    term = group.failover.term
    reduce_event(node, TermClaimAnswered('orders', term, TermClaim.CLAIMED), NOW + 2)
    known = status('t1', fenced=term, incarnation=incarnation)
    answer = FenceAnswered('orders', 't1', term + term_offset, granted, known)
    reduce_event(node, answer, NOW + 2)
    reduce_event(node, answer, NOW + 2)
    assert len(list_counted_grants(group)) == counted
