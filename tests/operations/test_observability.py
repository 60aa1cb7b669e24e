import random

import pytest
from operations_fakes import build_config

from cassiaseam.daemon.node import Node
from cassiaseam.group.state import GroupState, TargetView
from cassiaseam.observability.logs import bind_log_ids, format_log_event, log_event
from cassiaseam.observability.metrics import MetricSpec, MetricsRegistry, MetricType
from cassiaseam.observability.node_metrics import collect_node_metrics, define_node_metrics
from cassiaseam.reducer.node_state import NodeState


@pytest.mark.parametrize(
    ('fields', 'line'),
    [
        ({'database': 'orders', 'term': 3}, 'event=e database=orders term=3'),
        ({'cause': 'two words'}, 'event=e cause="two words"'),
        ({'cause': 'line\nevent=forged'}, 'event=e cause="line\\nevent=forged"'),
        ({'cause': 'a="b"'}, 'event=e cause="a=\\"b\\""'),
        ({'cause': ''}, 'event=e cause=""'),
        ({'absent': None, 'leaving': True}, 'event=e leaving=true'),
        ({'sql': "SELECT 'name'", 'password': 'x'}, 'event=e sql=hidden password=hidden'),
    ],
)
def test_log_line_cannot_be_forged_and_redacts_statement_text(fields, line):
    assert format_log_event('e', fields) == line


def test_bound_ids_are_logged_only_within_the_context():
    with bind_log_ids(request_id='r1', trace_id='t1'):
        assert format_log_event('e', {'a': 1}) == 'event=e request_id=r1 trace_id=t1 a=1'
    assert format_log_event('e', {}) == 'event=e'


def test_percent_signs_in_values_are_not_formatted(caplog):
    log_event('e', level='error', cause='100%s')
    assert 'event=e cause="100%s"' in caplog.text


def test_label_cardinality_is_bounded_when_callers_invent_names():
    registry = MetricsRegistry()
    registry.define_metric(MetricSpec('c_total', 'c', MetricType.COUNTER, ('caller',), 3))
    for number in range(100):
        registry.add_to_counter('c_total', caller=f'caller-{number}')
    text = registry.render_text().decode()
    assert text.count('c_total{') == 4
    assert 'c_total{caller="other"} 97' in text


def test_undefined_label_or_second_definition_is_refused():
    registry = MetricsRegistry()
    spec = MetricSpec('g', 'g', MetricType.GAUGE)
    registry.define_metric(spec)
    with pytest.raises(LookupError):
        registry.set_gauge('g', 1, caller='a')
    with pytest.raises(ValueError, match='twice'):
        registry.define_metric(spec)


def test_gauges_of_databases_no_longer_owned_are_removed():
    state = NodeState('vm-1', 'a', random.Random(1))
    view = TargetView(fresh_as_of=5)
    state.groups['orders'] = GroupState(build_config(), targets={'t1': view}, primary='t1')
    node = Node(state, clock=lambda: 7.5)
    registry = MetricsRegistry()
    define_node_metrics(registry)
    collect_node_metrics(node, registry)
    shown = registry.render_text().decode()
    assert 'cassiaseam_target_age_seconds{database="orders",target="t1"} 2.5' in shown
    assert 'cassiaseam_database_has_primary{database="orders"} 1' in shown
    state.groups.clear()
    collect_node_metrics(node, registry)
    assert 'orders' not in registry.render_text().decode()


def test_histogram_is_rendered_with_its_buckets():
    registry = MetricsRegistry()
    registry.define_metric(MetricSpec('h_seconds', 'h', MetricType.HISTOGRAM))
    registry.observe_value('h_seconds', 0.02)
    assert 'h_seconds_bucket{le="0.025"} 1' in registry.render_text().decode()
