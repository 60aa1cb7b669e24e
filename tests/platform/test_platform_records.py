"""Decoding and encoding of the objects in the store."""

import copy

import pytest
from result import Err, Ok

from cassiaseam.platform import records
from cassiaseam.pooler.events import LeaseRecord
from cassiaseam.pooler.group_sizes import SizeRecord
from cassiaseam.pooler.model import Consistency, GroupLimits, Route, TargetRecord

CONFIG = {
    'version': 7,
    'routes': [
        {
            'name': 'r1',
            'host': 'stock',
            'pathPrefix': '/',
            'routeKind': 'read_your_writes',
            'timeoutMs': 1000,
            'targetLatencyMs': 800,
            'priority': 2,
            'service': 'huvo',
            'maxAttempts': 2,
            'maxStalenessMs': 2500,
        },
        {'name': 'r2', 'host': 'orders', 'routeKind': 'primary', 'service': 'huvo'},
        {'name': 'r3', 'host': 'odd', 'routeKind': 'later_kind', 'service': 'huvo'},
    ],
    'services': [{'name': 'huvo', 'maxConnections': 76, 'syncReplicas': 1, 'new': [1]}],
    'limits': {'transactionIdleMs': 2000},
    'more': {},
}
TARGET = {
    'service': 'huvo',
    'address': '10.128.0.9:8080',
    'zone': 'gyor-a',
    'version': 'v1',
    'slots': 5,
    'state': 'ready',
    'coldRemainingMs': 0,
    'databaseRole': 'replica',
    'sequence': 4,
    'born': 1764000000000,
}


def test_configuration_is_decoded():
    config = records.decode_config(CONFIG).ok_value
    assert config.version == 7
    assert config.groups == {'huvo': GroupLimits(76, 1)}
    assert config.transaction_idle_s == 2
    assert config.routes['stock'] == Route(
        'r1', 'stock', 'huvo', Consistency.READ_YOUR_WRITES, 1, 0.8, 2.5, 2
    )
    assert sorted(config.routes) == ['orders', 'stock']


@pytest.mark.parametrize('spec', [None, 7, [], {}, {**CONFIG, 'version': '7'}, {'version': 1}])
def test_invalid_configuration_is_rejected(spec):
    assert isinstance(records.decode_config(spec), Err)


def test_target_is_decoded():
    assert records.decode_target('i-1', TARGET).ok_value == TargetRecord(
        'i-1', 'huvo', '10.128.0.9', 8080, 'gyor-a', 5, False, False, '1764000000000'
    )


INVALID_FIELDS = [
    ('service', None),
    ('service', ''),
    ('address', 'nowhere'),
    ('address', 7),
    ('zone', ['gyor-a']),
    ('slots', '5'),
    ('slots', True),
    ('state', 'sleeping'),
    ('databaseRole', 'observer'),
    ('databaseRole', None),
    # Each of these was accepted, and connections to the target failed, or an exception ended the
    # reading of the records.
    ('address', '10.128.0.9:70000'),
    ('address', '10.128.0.9:0'),
    ('address', f'10.128.0.9:{"9" * 5000}'),
    ('address', 'database:8080'),
    ('address', '10.128.0.9.1:8080'),
    ('address', '\ud800:8080'),
    ('service', 'a b'),
    ('service', 'a\r\nQUERY'),
    ('service', '\u4e2d'),
    ('service', 'a"b'),
    ('slots', 0),
    ('slots', -1),
    ('slots', 10**6),
    ('slots', float('inf')),
    ('coldRemainingMs', float('inf')),
    ('coldRemainingMs', float('nan')),
    ('coldRemainingMs', -1),
    ('born', -1),
    ('born', 10**400),
    ('born', 10**5000),
    ('zone', 'z' * 10**6),
]


@pytest.mark.parametrize(
    ('field', 'invalid_value'), INVALID_FIELDS, ids=range(len(INVALID_FIELDS))
)
def test_target_record_with_an_invalid_field_is_rejected(field, invalid_value):
    assert isinstance(records.decode_target('i-1', {**TARGET, field: invalid_value}), Err)


@pytest.mark.parametrize('name', ['a b', 'a\r\nQUERY', '\ud800', '\u4e2d', '', 'a"b', 'a\\b'])
def test_target_whose_name_breaks_a_line_or_a_label_is_rejected(name):
    # The name is a field of the first line on a connection, and a label of metrics.
    assert isinstance(records.decode_target(name, TARGET), Err)


VM = {'place': 'p', 'host': '10.0.0.1', 'port': 7440}
SHARE = {**VM, 'holder': 'vm', 'nonce': 'n', 'era': 1}
DECODERS = {
    'vm': (VM, lambda spec: records.decode_vm('vm', spec)),
    'share': (SHARE, records.decode_share),
    'size': ({'size': 3}, lambda spec: records.decode_size('g', 1, spec)),
    'duty': ({'holder': 'v', 'nonce': 'n', 'released': True}, records.decode_duty),
    'config': (CONFIG, records.decode_config),
}


OUT_OF_RANGE = [
    *[
        (kind, field, odd)
        for kind in ('vm', 'share')
        for field, odd in (
            ('port', 70000),
            ('port', -1),
            ('port', 0),
            ('port', 10**400),
            ('host', 'vm-b.internal'),
            ('host', '\ud800'),
            ('place', 'p' * 10**6),
        )
    ],
    ('share', 'era', 10**9),
    ('share', 'renewals', -1),
    ('size', 'size', 10**9),
    ('size', 'size', float('inf')),
    ('size', 'era', -1),
    ('duty', 'era', 10**400),
    ('duty', 'nonce', 'n' * 10**6),
    ('config', 'version', 10**400),
    ('config', 'limits', {'transactionIdleMs': float('inf')}),
    ('config', 'limits', {'transactionIdleMs': float('nan')}),
]


@pytest.mark.parametrize(
    ('kind', 'field', 'odd_value'), OUT_OF_RANGE, ids=range(len(OUT_OF_RANGE))
)
def test_record_with_a_value_out_of_range_is_rejected(kind, field, odd_value):
    # A port out of range and a name for an address raised an exception with each datagram.
    good, decode = DECODERS[kind]
    assert isinstance(decode(good), Ok)
    assert isinstance(decode({**good, field: odd_value}), Err)


@pytest.mark.parametrize('field', ['service', 'address', 'zone', 'state', 'databaseRole'])
def test_target_record_without_a_required_field_is_rejected(field):
    spec = copy.deepcopy(TARGET)
    del spec[field]
    assert isinstance(records.decode_target('i-1', spec), Err)


@pytest.mark.parametrize('spec', [None, 'text', 3, []])
def test_target_record_that_is_no_mapping_is_rejected(spec):
    assert isinstance(records.decode_target('i-1', spec), Err)


def test_duty_record_round_trip():
    record = LeaseRecord('vm-1', 'ab', released=False)
    assert records.decode_duty(records.encode_duty(record)) == Ok(record)


@pytest.mark.parametrize('spec', [None, {}, {'holder': 1}, {'holder': 'a', 'nonce': 'b'}])
def test_invalid_duty_record_is_rejected(spec):
    assert isinstance(records.decode_duty(spec), Err)


def test_group_size_round_trip():
    record = SizeRecord('g', 3, 7, era=2)
    assert records.decode_size('g', 7, records.encode_size(record)) == Ok(record)
    assert records.decode_size('g', 7, {'size': 3}) == Ok(SizeRecord('g', 3, 7))


@pytest.mark.parametrize('spec', [None, {}, {'size': '3'}, {'size': 0}, {'size': True}, [3]])
def test_invalid_group_size_is_rejected(spec):
    assert isinstance(records.decode_size('g', 7, spec), Err)
