import random

from hypothesis import given, settings
from hypothesis import strategies as st

from cassiaseam.configuration.model import (
    DatabaseConfig,
    DatabaseConfigured,
    DatabaseRemoved,
    OwnershipChanged,
    TargetConfig,
)
from cassiaseam.membership import handlers
from cassiaseam.membership.messages import ListedVm, MemberStatus, VmListReceived
from cassiaseam.membership.ranking import compute_score, list_watched_owners, rank_owners
from cassiaseam.membership.records import merge_record
from cassiaseam.membership.state import create_membership
from cassiaseam.reducer.node_state import NodeState
from cassiaseam.reducer.registry import reduce_event
from cassiaseam_load.cluster_simulation import make_record

ROLES = handlers.HANDLER_MODULES
PLACES = ('p0', 'p1', 'p2', 'p3')


def make_state(own):
    state = NodeState(own.vm, own.place, random.Random(1))
    state.membership = create_membership(own, 0)
    reduce_event(state, VmListReceived(()), 0)
    return state


def test_daemon_owns_nothing_before_it_knows_other_members():
    own = make_record(0, 'p0')
    state = NodeState(own.vm, own.place, random.Random(1))
    state.membership = create_membership(own, 0)
    names = [f'd{number}' for number in range(40)]
    effects = []
    for name in names:
        effects.extend(reduce_event(state, DatabaseConfigured(make_config(name, ['p0'])), 0))
    assert effects == []
    listed = [make_record(number, 'p0') for number in range(10)]
    entries = (ListedVm(record.vm, 'p0', record.host, record.port) for record in listed)
    changes = [
        effect
        for effect in reduce_event(state, VmListReceived(tuple(entries)), 1)
        if isinstance(effect, OwnershipChanged)
    ]
    assert 0 < len(changes) < 15
    assert all(change.owns for change in changes)


def make_config(name, places, owner=''):
    targets = [TargetConfig(f't{place}', '10.0.0.1', 3306, place) for place in places]
    return DatabaseConfig(name, tuple(targets), owner=owner)


def rank_from_scratch(membership, config):
    able = [
        record
        for record in membership.members.values()
        if record.status is MemberStatus.ALIVE
        and not record.leaving
        and record.vm not in membership.listed_leaving
    ]
    places = {target.place for target in config.targets}
    near = [record for record in able if record.place in places] or able
    names = sorted((record.vm for record in near), key=lambda vm: -compute_score(config.name, vm))
    if config.owner in {record.vm for record in able}:
        names = [config.owner, *(vm for vm in names if vm != config.owner)]
    return names


configs = st.builds(
    make_config,
    st.sampled_from(['d0', 'd1', 'd2']),
    st.sets(st.sampled_from(PLACES), min_size=1, max_size=2).map(sorted),
    st.sampled_from(['', 'vm-0000', 'vm-0003', 'vm-0099']),
)
steps = st.one_of(
    st.tuples(st.just('configure'), configs),
    st.tuples(st.just('remove'), st.sampled_from(['d0', 'd1', 'd2'])),
    st.tuples(
        st.just('record'),
        st.integers(0, 29),
        st.sampled_from(MemberStatus),
        st.booleans(),
        st.sampled_from(PLACES),
    ),
    st.tuples(st.just('list'), st.sets(st.integers(0, 29)), st.sets(st.integers(0, 29))),
)


def apply_step(state, step, number):
    """Apply one step and return the effects."""
    if step[0] == 'configure':
        return reduce_event(state, DatabaseConfigured(step[1]), number)
    if step[0] == 'remove':
        return reduce_event(state, DatabaseRemoved(step[1]), number)
    if step[0] == 'list':
        listed = [make_record(vm, PLACES[vm % 4]) for vm in sorted(step[1] | step[2])]
        entries = [
            ListedVm(
                record.vm, record.place, record.host, record.port, int(record.vm[3:]) in step[2]
            )
            for record in listed
        ]
        return reduce_event(state, VmListReceived(tuple(entries)), number)
    record = make_record(step[1], step[4], incarnation=number + 2)
    changed = type(record)(
        record.vm, record.incarnation, step[2], record.place, record.host, record.port, step[3]
    )
    return merge_record(state.membership, changed, number, 'test')


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(steps, max_size=40))
def test_incremental_ranking_matches_a_full_computation(listed):
    state = make_state(make_record(0, 'p0'))
    in_force = {}
    owned = set()
    for number, step in enumerate(listed):
        for effect in apply_step(state, step, number):
            if isinstance(effect, OwnershipChanged):
                assert (effect.database in owned) is not effect.owns
                (owned.add if effect.owns else owned.discard)(effect.database)
        if step[0] == 'configure':
            in_force[step[1].name] = step[1]
        if step[0] == 'remove':
            in_force.pop(step[1], None)
        watched = set()
        for config in in_force.values():
            expected = rank_from_scratch(state.membership, config)
            if state.vm in expected[1:3]:
                watched.add(expected[0])
            assert (config.name in owned) is (expected[:1] == [state.vm])
            # Rankings that were not used for several steps must apply the missed additions.
            if number % 3 == 0 or number == len(listed) - 1:
                ranked = rank_owners(state.membership, config, number)
                assert ranked == expected[: len(ranked)]
                assert len(ranked) >= min(4, len(expected))
        assert owned <= set(in_force)
        assert list_watched_owners(state.membership) == sorted(watched)


def test_loss_of_a_member_reports_only_the_databases_it_owned():
    state = make_state(make_record(0, 'p0'))
    for number in range(1, 3):
        merge_record(state.membership, make_record(number, 'p0'), 0, 'test')
    for number in range(60):
        reduce_event(state, DatabaseConfigured(make_config(f'd{number}', ['p0'])), 0)
    before = set(state.membership.ranking.owned)
    lost = make_record(1, 'p0', incarnation=2)
    dead = type(lost)(lost.vm, 2, MemberStatus.DEAD, lost.place, lost.host, lost.port)
    effects = merge_record(state.membership, dead, 1, 'test')
    changes = [effect for effect in effects if isinstance(effect, OwnershipChanged)]
    assert {change.database for change in changes} == state.membership.ranking.owned - before
    assert 0 < len(changes) < 40
    assert before < state.membership.ranking.owned
