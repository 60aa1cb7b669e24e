from collections import Counter
from types import SimpleNamespace

import pytest

from cassiaseam.daemon.role_metrics import (
    FAILOVERS,
    PLATFORM_CALLS,
    REQUESTS,
    RETRIES,
    SILENT_PEERS,
    RoleCollector,
    add_role_metrics,
)
from cassiaseam.observability.metrics import MetricsRegistry


def build_runtime():
    forwarder = SimpleNamespace(total_in_flight=2, outcomes=Counter(), retries=3)
    forwarder.outcomes['read', 'replica'] = 9
    peers = SimpleNamespace(
        client=SimpleNamespace(counters=Counter(calls=5)),
        stamps=SimpleNamespace(counters=Counter()),
        transport=SimpleNamespace(counters=Counter(frozen_peers=7)),
    )
    listener = SimpleNamespace(connections={1, 2, 3})
    return SimpleNamespace(forwarder=forwarder, peers=peers, listener=listener)


def build_node(failovers):
    groups = {'orders': SimpleNamespace(failovers=failovers)}
    return SimpleNamespace(clock=lambda: 0, state=SimpleNamespace(databases={}, groups=groups))


@pytest.mark.parametrize(
    ('line'),
    [
        f'{REQUESTS}{{kind="read",outcome="replica"}} 9',
        f'{RETRIES}{{role="entry"}} 3',
        f'{PLATFORM_CALLS}{{event="calls"}} 5',
        f'{FAILOVERS}{{database="orders"}} 1',
        'cassiaseam_entry_sessions 3',
        f'{SILENT_PEERS} 7',
    ],
)
def test_second_collection_does_not_add_counters_twice(line):
    metrics = MetricsRegistry()
    collector = add_role_metrics(build_runtime(), metrics)
    for _ in range(2):
        collector.collect(build_node(1), metrics)
    assert line in metrics.render_text().decode().splitlines()


@pytest.mark.parametrize(
    ('counts', 'total'), [((3, 5), 5), ((3, 0), 3), ((3, 0, 2), 5), ((3, 1), 4)]
)
def test_counter_keeps_increasing_when_a_database_returns_with_new_state(counts, total):
    metrics = MetricsRegistry()
    collector = add_role_metrics(build_runtime(), metrics)
    assert isinstance(collector, RoleCollector)
    for count in counts:
        collector.collect(build_node(count), metrics)
    shown = metrics.render_text().decode().splitlines()
    assert f'{FAILOVERS}{{database="orders"}} {total}' in shown
