"""Names from the configuration in the labels of metrics."""

import dataclasses

import pytest
from fake_target import GROUP
from pooler_world import World, is_success

from cassiaseam.observability.labels import quote_label
from cassiaseam.pooler.commands import StatementKind
from cassiaseam.pooler.metrics import render_metrics


@pytest.mark.parametrize(
    ('value', 'quoted'),
    [
        ('orders', '"orders"'),
        ('a "b" \\c', r'"a \"b\" \\c"'),
        ('first\nsecond', r'"first\nsecond"'),
        ('caf\u00e9', '"caf\u00e9"'),
        ('odd \ud800', r'"odd \\ud800"'),
    ],
)
def test_label_value_is_escaped(value, quoted):
    assert quote_label(value) == quoted


@pytest.mark.parametrize('name', ['odd \ud800', 'a"b', 'first\nsecond'])
def test_odd_name_of_a_route_does_not_break_the_metrics(name):
    # A lone surrogate in the name of one route failed every scrape with a UnicodeEncodeError; a
    # quote or a line end made the text unreadable for the scraper.
    world = World(vms=1)
    state = world.vms['vm0'].state
    routes = dict(state.config.routes)
    routes['orders'] = dataclasses.replace(routes['orders'], name=name)
    state.config = dataclasses.replace(state.config, routes=routes)
    world.connect('vm0', 1, 'orders')
    read = world.send('vm0', 1, StatementKind.READ)
    world.run_until(1)
    assert is_success(read)
    text = render_metrics(state).decode()
    assert f'cassiaseam_statement_seconds_count{{route={quote_label(name)}}} 1\n' in text
    assert f'cassiaseam_group_term{{group="{GROUP}"}}' in text
    assert all(line.startswith('cassiaseam_') for line in text.splitlines())
