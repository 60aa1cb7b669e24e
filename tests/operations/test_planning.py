import dataclasses

import pytest
from operations_fakes import build_config

from cassiaseam.configuration.document import find_shard
from cassiaseam.configuration.model import TargetState
from cassiaseam.errors import ErrorKind
from cassiaseam.plans import drafting, drafting_limits
from cassiaseam.plans.codec import decode_plan, decode_shard, encode_plan, encode_shard
from cassiaseam.plans.intents import parse_intent
from cassiaseam.plans.model import ClusterView, Confirmed, PlanView, ShardState
from cassiaseam.plans.planning import INTENT_KINDS, find_required_role, make_plan
from cassiaseam.settings.model import Role

NOW = 1_800_000_000.0
REGISTERED = (drafting, drafting_limits)
NEW_TARGET = {'name': 'n1', 'host': '10.0.1.1', 'port': 3306, 'place': 'a'}


def plan(document, config=None, **cluster):
    config = config or build_config()
    confirmed = Confirmed('p0', 'team-z', '2027-01-01T00:00:00+00:00')
    shard = ShardState(7, 12, {config.name: config}, confirmed)
    intent = parse_intent({'database': 'orders', **document}).unwrap()
    return make_plan(intent, PlanView(shard, ClusterView(**cluster)), NOW)


@pytest.mark.parametrize(
    ('document', 'change'),
    [
        (
            {'kind': 'accept_age', 'service': 'desk', 'max_age': '2s'},
            ('max_age[desk]', 'primary only', '2s'),
        ),
        (
            {'kind': 'accept_age', 'service': 'till', 'max_age': None},
            ('max_age[till]', '5s', 'primary only'),
        ),
        ({'kind': 'drain_target', 'target': 't1'}, ('state', 'active', 'draining')),
        ({'kind': 'move_owner', 'owner': 'vm-2'}, ('owner', 'ranked', 'vm-2')),
        ({'kind': 'set_limits', 'queue_limit': 9}, ('queue_limit', '256', '9')),
        ({'kind': 'set_limits', 'target': 't1', 'slots': 9}, ('slots', '5', '9')),
        ({'kind': 'grant', 'service': 'desk'}, ('granted', 'all services', 'desk')),
        ({'kind': 'remove_database'}, ('database', 'configured', '')),
        (
            {'kind': 'add_database', 'database': 'new', 'targets': [NEW_TARGET]},
            ('target', '', '10.0.1.1:3306 in a'),
        ),
    ],
)
def test_plan_names_the_change_and_its_base_version(document, change):
    made = plan(document).unwrap()
    shown = made.changes[0]
    assert (shown.field, shown.before, shown.after) == change
    assert (made.shard, made.base_version, made.base_plan) == (7, 12, 'p0')
    assert made.expires_at > made.created_at == NOW
    assert decode_plan(encode_plan(made)).unwrap() == made


@pytest.mark.parametrize(
    ('document', 'kind'),
    [
        ({'kind': 'drain_target', 'target': 'tx'}, ErrorKind.UNKNOWN_OBJECT),
        ({'kind': 'drain_target', 'target': 't1', 'database': 'x'}, ErrorKind.UNKNOWN_DATABASE),
        ({'kind': 'undrain_target', 'target': 't1'}, ErrorKind.BAD_REQUEST),
        ({'kind': 'set_limits'}, ErrorKind.BAD_REQUEST),
        ({'kind': 'set_limits', 'slots': 4}, ErrorKind.BAD_REQUEST),
        ({'kind': 'add_database', 'targets': [NEW_TARGET]}, ErrorKind.BAD_REQUEST),
        (
            {'kind': 'add_database', 'database': 'n', 'targets': [NEW_TARGET] * 2},
            ErrorKind.BAD_REQUEST,
        ),
        ({'kind': 'revoke', 'service': 'till'}, ErrorKind.BAD_REQUEST),
        ({'kind': 'move_owner', 'owner': None}, ErrorKind.BAD_REQUEST),
    ],
)
def test_intent_that_cannot_be_met_is_refused(document, kind):
    assert plan(document).unwrap_err().kind is kind


def test_last_active_target_is_not_drained():
    config = build_config()
    drained = [dataclasses.replace(it, state=TargetState.DRAINING) for it in config.targets[1:]]
    config = dataclasses.replace(config, targets=(config.targets[0], *drained))
    error = plan({'kind': 'drain_target', 'target': 't1'}, config).unwrap_err()
    assert "last active target of 'orders'" in error.message


def test_revoking_the_last_grant_does_not_open_the_database_to_all():
    config = dataclasses.replace(build_config(), granted=('till',))
    error = plan({'kind': 'revoke', 'service': 'till'}, config).unwrap_err()
    assert 'last grant' in error.message


def test_draining_the_primary_shows_the_expected_gap_and_the_lost_connections():
    made = plan({'kind': 'drain_target', 'target': 't1'}, primaries={'orders': 't1'}).unwrap()
    assert made.costs.expected_gap_s == pytest.approx(0.043)
    assert made.costs.connections_closed == 37
    assert any('promoted first' in risk for risk in made.risks)
    replica = plan({'kind': 'drain_target', 'target': 't2'}, primaries={'orders': 't1'}).unwrap()
    assert replica.costs.expected_gap_s == 0


def test_moving_the_owner_names_both_daemons_and_a_dead_choice():
    cluster = {'owners': {'orders': 'vm-1'}, 'members': frozenset(['vm-1'])}
    made = plan({'kind': 'move_owner', 'owner': 'vm-2'}, **cluster).unwrap()
    assert [change.daemon for change in made.changes] == ['', 'vm-1', 'vm-2']
    assert any('vm-2 is not alive' in risk for risk in made.risks)


@pytest.mark.parametrize(
    'document',
    [
        None,
        [],
        {},
        {'kind': 'reboot'},
        {'kind': 'drain_target', 'database': 'orders'},
        {'kind': 'accept_age', 'database': 'orders', 'service': 'till', 'max_age': 5},
        {'kind': 'accept_age', 'database': 'orders', 'service': 'till', 'max_age': '5'},
        {'kind': 'grant', 'database': 'orders', 'service': 'a b'},
        {'kind': 'grant', 'database': 'orders', 'service': 'a', 'force': True},
    ],
)
def test_malformed_intent_is_a_bad_request(document):
    assert parse_intent(document).unwrap_err().kind is ErrorKind.BAD_REQUEST


def test_every_intent_kind_needs_at_least_an_operator():
    assert len(INTENT_KINDS) == 9
    for intent_type, kind in INTENT_KINDS.items():
        assert kind.role in {Role.OPERATOR, Role.ADMINISTRATOR}, intent_type
    grant = parse_intent({'kind': 'grant', 'database': 'd', 'service': 's'}).unwrap()
    assert find_required_role(grant) is Role.ADMINISTRATOR


def test_shard_round_trips_through_its_document():
    config = build_config()
    confirmed = Confirmed('p', 'o', 'at')
    document = encode_shard({'orders': config}, confirmed)
    assert set(document) == {'databases', 'confirmed'}
    shard = find_shard('orders')
    decoded = decode_shard(shard, 5, document).unwrap()
    stored = dataclasses.replace(config, version=5)
    assert (decoded.databases, decoded.confirmed) == ({'orders': stored}, confirmed)
    for malformed in ([], {'databases': {'orders': {'targets': 3}}}, {**document, 'confirmed': 1}):
        assert decode_shard(shard, 5, malformed).is_err()
