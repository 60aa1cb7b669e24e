"""Eras of the store: a restore from a copy loses writes and gives their revisions out again."""

import random

import pytest

from cassiaseam.pooler import discovery, store_era, ticks
from cassiaseam.pooler.events import (
    ConfigurationRead,
    PoolerTick,
    StoreEraObserved,
    StoreReachability,
    TargetChanged,
    TargetRemoved,
    TargetsListed,
    WriteLog,
)
from cassiaseam.pooler.metrics import render_metrics
from cassiaseam.pooler.model import RoutingConfig, TargetRecord
from cassiaseam.pooler.state import PoolerState
from cassiaseam.reducer.registry import reduce_event

HANDLER_MODULES = (discovery, store_era, ticks)


def build_state():
    return PoolerState('vm0', 'p0', random.Random(1))


@pytest.mark.parametrize(
    ('eras', 'expected'),
    [
        ((3,), [('store_era_known', {'era': 3})]),
        ((0, 0), [('store_era_known', {'era': 0})]),
        (
            (3, 4, 4),
            [('store_era_known', {'era': 3}), ('store_era_changed', {'era': 4, 'former': 3})],
        ),
        ((3, 2), [('store_era_known', {'era': 3})]),
    ],
    ids=['first', 'none named', 'restored', 'answer of a former era'],
)
def test_each_new_era_is_logged_once(eras, expected):
    # Neither logs nor metrics told that the store had been restored.
    state = build_state()
    effects = [
        effect
        for now, era in enumerate(eras)
        for effect in reduce_event(state, StoreEraObserved(era), now)
    ]
    assert [(it.kind, it.fields) for it in effects if isinstance(it, WriteLog)] == expected
    assert state.store_era == max(eras)
    assert f'cassiaseam_store_era {max(eras)}\n'.encode() in render_metrics(state)


@pytest.mark.parametrize(('version', 'is_logged'), [(4, False), (3, True)])
def test_configuration_older_than_the_one_in_force_is_logged(version, is_logged):
    state = build_state()
    reduce_event(state, ConfigurationRead(RoutingConfig(4)), 1)
    effects = reduce_event(state, ConfigurationRead(RoutingConfig(version)), 2)
    fields = {'version': 3, 'in_force': 4}
    assert effects == ([WriteLog('configuration_ignored', fields)] if is_logged else [])
    assert state.config.version == 4


def build_target(leaving, incarnation='1'):
    return TargetRecord('t0', 'g', '10.0.0.1', 1, 'p0', 5, leaving, False, incarnation)


def list_targets(state, now, *records):
    reduce_event(state, TargetsListed(records), now)


@pytest.mark.parametrize(
    ('is_gone', 'returned', 'is_used'),
    [
        (False, build_target(leaving=False), False),
        (True, build_target(leaving=False), False),
        (True, build_target(leaving=False, incarnation='2'), True),
    ],
    ids=['leaving', 'gone', 'started again'],
)
def test_target_that_left_is_not_used_again_after_a_restore(is_gone, returned, is_used):
    # The copy was older than the announcement: the VM sent requests to a target that drained, and
    # counted a target that was gone.
    state = build_state()
    reduce_event(state, StoreReachability(True), 0)
    reduce_event(state, StoreEraObserved(1), 0)
    list_targets(state, 0, build_target(leaving=False))
    reduce_event(state, TargetChanged(build_target(leaving=True)), 1)
    if is_gone:
        reduce_event(state, TargetRemoved('t0'), 2)
        reduce_event(state, PoolerTick(), 2 + discovery.MISSING_TARGET_TIMEOUT_S + 0.1)
        assert not state.groups['g'].targets
    reduce_event(state, StoreEraObserved(2), 9)
    list_targets(state, 9, returned)
    in_use = [it for it in state.groups['g'].targets.values() if not it.record.leaving]
    assert bool(in_use) is is_used
    # What the target writes in the new era counts.
    reduce_event(state, TargetChanged(build_target(leaving=False, incarnation='3')), 10)
    assert not state.groups['g'].targets['t0'].record.leaving
