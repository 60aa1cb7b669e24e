import random

from operations_fakes import build_config

from cassiaseam.admin.cluster import (
    build_cluster_view,
    list_admin_addresses,
    read_configuration,
    read_members,
)
from cassiaseam.configuration.state import create_configuration
from cassiaseam.daemon.node import Node
from cassiaseam.group.state import GroupState
from cassiaseam.membership.messages import MemberRecord, MemberStatus
from cassiaseam.membership.records import update_eligibility
from cassiaseam.membership.state import create_membership
from cassiaseam.objectstore.model import VmDocument
from cassiaseam.reducer.node_state import NodeState
from cassiaseam.settings.model import LatencySettings


def build_node():
    own = MemberRecord('vm-1', 1, MemberStatus.ALIVE, 'place-1', '127.0.0.1', 7400)
    state = NodeState('vm-1', 'place-1', random.Random(1))
    state.membership = create_membership(own, 0)
    state.membership.members['vm-2'] = MemberRecord(
        'vm-2', 1, MemberStatus.DEAD, 'place-1', '127.0.0.1', 7401
    )
    state.membership.members['vm-3'] = MemberRecord(
        'vm-3', 1, MemberStatus.LEFT, 'place-1', '127.0.0.1', 7402
    )
    return Node(state)


def test_node_without_membership_yields_an_empty_view():
    node = Node(NodeState('vm-1', 'a', random.Random(1)))
    view = build_cluster_view(node, LatencySettings(), 'orders')
    assert (view.owners, view.primaries, view.members) == ({}, {}, frozenset())
    assert read_configuration(node, 0)['shards'] == {}


def test_view_names_primary_owner_and_living_members():
    node = build_node()
    node.state.configuration = create_configuration()
    config = build_config()
    node.state.configuration.databases['orders'] = config
    # A daemon owns nothing before its membership is ready.
    assert build_cluster_view(node, LatencySettings(), 'orders').owners == {}
    node.state.membership.is_ready = True
    for vm in ('vm-1', 'vm-2'):
        update_eligibility(node.state.membership, vm)
    node.state.groups['orders'] = GroupState(config, primary='t2')
    view = build_cluster_view(node, LatencySettings(), 'orders')
    assert view.primaries == {'orders': 't2'}
    assert view.owners == {'orders': 'vm-1'}
    assert view.members == frozenset(['vm-1'])
    assert read_members(node, 0) == {'alive': 1, 'suspect': [], 'dead': ['vm-2'], 'left': ['vm-3']}


def test_dead_daemons_are_queried_and_those_that_left_are_not():
    listed = [
        VmDocument(name=f'vm-{n}', place='a', host='127.0.0.1', peer_port=1, admin_port=n)
        for n in range(4)
    ]
    assert sorted(list_admin_addresses(build_node(), listed)) == ['vm-1', 'vm-2']
