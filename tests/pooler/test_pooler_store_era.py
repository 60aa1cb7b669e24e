"""Eras of the store: a restore from a copy loses writes and gives their revisions out again."""

import random

import pytest

from cassiaseam.pooler import discovery, store_era
from cassiaseam.pooler.events import ConfigurationRead, StoreEraObserved, WriteLog
from cassiaseam.pooler.metrics import render_metrics
from cassiaseam.pooler.model import RoutingConfig
from cassiaseam.pooler.state import PoolerState
from cassiaseam.reducer.registry import reduce_event

HANDLER_MODULES = (discovery, store_era)


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
