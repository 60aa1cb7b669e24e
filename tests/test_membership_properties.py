import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiaseam.membership.messages import (
    LeaveRequested,
    ListedVm,
    MemberStatus,
    VmListReceived,
)
from cassiaseam_load.cluster_simulation import (
    ClusterSimulation,
    SimulatedNetwork,
    fill_members,
    make_record,
)
from cassiaseam_load.membership_benchmark import measure_membership

COUNT = 6


def make_vm(number):
    return f'vm-{number:04d}'


def start_cluster(seed, count=COUNT, network=None):
    simulation = ClusterSimulation(random.Random(seed), network or SimulatedNetwork())
    for number in range(count):
        simulation.start_node(make_record(number, f'p{number % 2}'))
    fill_members(simulation)
    return simulation


def read_status(simulation, viewer, vm):
    return simulation.nodes[viewer].state.membership.members[vm].status


vms = st.integers(0, COUNT - 1).map(make_vm)
pauses = st.floats(0.05, 4)
actions = st.one_of(
    st.tuples(st.just('cut'), st.sets(vms, min_size=1, max_size=COUNT - 1), pauses),
    st.tuples(st.just('one_way'), vms, pauses),
    st.tuples(st.just('heal'), pauses),
    st.tuples(st.just('kill'), vms, pauses),
    st.tuples(st.just('restart'), vms, pauses),
    st.tuples(st.just('lossy'), st.floats(0, 0.5), pauses),
)


def apply_action(simulation, action, number):
    network = simulation.network
    if action[0] == 'cut':
        network.is_cut = lambda sender, receiver: (sender in action[1]) != (receiver in action[1])
    elif action[0] == 'one_way':
        network.is_cut = lambda sender, receiver: receiver == action[1]
    elif action[0] == 'heal':
        network.is_cut = lambda sender, receiver: False
    elif action[0] == 'kill':
        simulation.stop_node(action[1])
    elif action[0] == 'restart':
        place = simulation.nodes[action[1]].state.place
        simulation.start_node(make_record(int(action[1][3:]), place, incarnation=1000 + number))
    else:
        network.loss = action[1]
    simulation.run_until(simulation.now + action[-1])


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.integers(0, 2**20), st.lists(actions, max_size=12), st.floats(0, 0.3))
def test_member_statuses_converge_after_any_faults(seed, listed, duplicates):
    network = SimulatedNetwork(jitter_s=0.3, loss=0.1, duplicates=duplicates)
    simulation = start_cluster(seed, network=network)
    for number, action in enumerate(listed):
        apply_action(simulation, action, number)
    network.is_cut = lambda sender, receiver: False
    network.loss = 0
    network.jitter_s = 0.05
    simulation.run_until(simulation.now + 60)
    running = {vm for vm, node in simulation.nodes.items() if node.is_running}
    # A daemon restarted without a VM list knows only members that ping it, so at least one daemon
    # must not have restarted.
    informed = [vm for vm in running if simulation.nodes[vm].run == 0]
    for viewer in running if informed else ():
        for vm in simulation.nodes:
            if vm in simulation.nodes[viewer].state.membership.members or viewer in informed:
                status = read_status(simulation, viewer, vm)
                expected = MemberStatus.ALIVE if vm in running else MemberStatus.DEAD
                assert status is expected, (viewer, vm)


def test_members_reconnect_after_an_hour_of_partition():
    simulation = start_cluster(1)
    side = {make_vm(0), make_vm(1), make_vm(2)}
    simulation.network.is_cut = lambda sender, receiver: (sender in side) != (receiver in side)
    simulation.run_until(3600)
    assert read_status(simulation, make_vm(0), make_vm(5)) is MemberStatus.DEAD
    simulation.network.is_cut = lambda sender, receiver: False
    simulation.run_until(3600 + 40)
    statuses = {
        record.status
        for node in simulation.nodes.values()
        for record in node.state.membership.members.values()
    }
    assert statuses == {MemberStatus.ALIVE}


def test_daemon_restarted_while_the_platform_is_down_rejoins():
    simulation = start_cluster(2)
    simulation.stop_node(make_vm(3))
    simulation.run_until(10)
    simulation.start_node(make_record(3, 'p1', incarnation=99))
    simulation.run_until(40)
    assert len(simulation.nodes[make_vm(3)].state.membership.members) == COUNT
    assert read_status(simulation, make_vm(0), make_vm(3)) is MemberStatus.ALIVE


@pytest.mark.parametrize('unknown', [0, 5])
def test_new_daemon_learns_all_members_from_its_seeds(unknown):
    simulation = start_cluster(3, count=40)
    simulation.start_node(make_record(40, 'p0', incarnation=7))
    listed = tuple(
        ListedVm(record.vm, record.place, record.host, record.port)
        for record in (make_record(number, f'p{number % 2}') for number in range(40 - unknown))
    )
    simulation.dispatch(make_vm(40), VmListReceived(listed))
    simulation.run_until(8)
    members = simulation.nodes[make_vm(40)].state.membership.members
    assert len(members) == 41
    assert {members[make_vm(number)].incarnation for number in range(40)} == {1}
    for viewer in range(40):
        assert read_status(simulation, make_vm(viewer), make_vm(40)) is MemberStatus.ALIVE


def test_leaving_daemon_gives_up_ownership_before_it_stops():
    simulation = start_cluster(4)
    simulation.dispatch(make_vm(2), LeaveRequested())
    simulation.run_until(5)
    for node in simulation.nodes.values():
        assert make_vm(2) not in node.state.membership.ranking.place_of
        assert node.state.membership.members[make_vm(2)].status is MemberStatus.ALIVE
    simulation.dispatch(make_vm(2), LeaveRequested(done=True))
    simulation.stop_node(make_vm(2))
    simulation.run_until(20)
    assert read_status(simulation, make_vm(0), make_vm(2)) is MemberStatus.LEFT


def test_vm_list_does_not_override_detected_statuses():
    simulation = start_cluster(5)
    simulation.stop_node(make_vm(1))
    simulation.run_until(15)
    record = make_record(1, 'p1')
    listed = (ListedVm(record.vm, record.place, record.host, record.port),)
    simulation.dispatch(make_vm(0), VmListReceived(listed))
    assert read_status(simulation, make_vm(0), make_vm(1)) is MemberStatus.DEAD
    assert read_status(simulation, make_vm(0), make_vm(2)) is MemberStatus.ALIVE
    leaving = (ListedVm('vm-0002', 'p0', '10.0.0.2', 7000, leaving=True),)
    simulation.dispatch(make_vm(0), VmListReceived(leaving))
    assert make_vm(2) not in simulation.nodes[make_vm(0)].state.membership.ranking.place_of


def test_steady_state_spreads_no_updates_and_stays_within_the_traffic_limit():
    figures = measure_membership(60)
    assert figures.false_suspicions == 0
    assert figures.sent_bytes_per_s < 1500
    assert figures.largest_datagram_bytes <= 1200
    assert figures.seen_by_all_s < 4
