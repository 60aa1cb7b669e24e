"""Decisions of the relay, and a replay of the partition that it is for."""

from collections import Counter
from dataclasses import replace

import pytest
from pooler_world import GROUP, World

from cassiaseam.pooler.completion import continue_session
from cassiaseam.pooler.events import CallerConnected, PeerRecord, PeersListed, RefuseCaller
from cassiaseam.pooler.peer_state import PeerState
from cassiaseam.pooler.relay import decisions, handlers
from cassiaseam.pooler.relay.events import (
    AcceptRelay,
    PeerAnswered,
    RefuseRelay,
    RelaySession,
    SessionRelayed,
)
from cassiaseam.pooler.relay.events import RelayRequested as Requested
from cassiaseam.pooler.relay.metrics import render_relay_metrics
from cassiaseam.pooler.sessions import open_session
from cassiaseam.pooler.ticks import CLOSE_SESSIONS_AFTER_S, should_close_session

REGIONS = {'p0': 'west', 'p1': 'west', 'p2': 'east'}
NOW = 100.0
VERSION = 1


def build_state(peers=(), lost=True):
    """Return the state of a configured VM in p0 with the relay and peers by name and place."""
    world = World(vms=1)
    world.run_until(0.5)
    state = world.vms['vm0'].state
    state.relay.enabled = True
    state.regions = REGIONS
    state.peers = {
        name: PeerState(PeerRecord(name, place, '10.0.0.1', 7000)) for name, place in peers
    }
    if lost:
        state.groups[GROUP].majority_unreachable_since = NOW - 1
    return state


def use_version(state, version):
    state.config = replace(state.config, version=version)


def choose(state, session=1, now=NOW):
    group = state.groups[GROUP]
    chosen = decisions.choose_relay_peers(state, group, session, now)
    return [record.vm for record in chosen]


NEAR_AND_FAR = [('c', 'p2'), ('b', 'p1'), ('a', 'p0'), ('d', 'p2')]


def test_nearest_peers_are_asked_first():
    assert choose(build_state(NEAR_AND_FAR))[:2] == ['a', 'b']
    assert len(choose(build_state(NEAR_AND_FAR))) == decisions.MAX_ATTEMPTS


def disable(state):
    state.relay.enabled = False


def regain(state):
    state.groups[GROUP].majority_unreachable_since = None


def fill(state):
    state.relay.outgoing = set(range(decisions.MAX_OUTGOING))


@pytest.mark.parametrize('change', [disable, regain, fill])
def test_session_is_served_here_unless_the_relay_is_needed_and_possible(change):
    # Without a limit, a VM with few descriptors would be unable to connect to its targets.
    state = build_state(NEAR_AND_FAR)
    change(state)
    assert choose(state) == []


@pytest.mark.parametrize(
    ('cause', 'responded', 'again_after_s'),
    [('group_lost', True, decisions.REFUSED_BACKOFF_S), ('unreachable', False, 1.0)],
)
def test_peer_that_refused_is_asked_again_after_a_while(cause, responded, again_after_s):
    # Each session would ask the same peers of a lost data centre in vain, or never ask them again.
    state = build_state(NEAR_AND_FAR)
    decisions.record_answer(state.relay, GROUP, 'a', cause, responded, NOW)
    assert 'a' not in choose(state, now=NOW + again_after_s - 0.1)
    assert choose(state, now=NOW + again_after_s)[0] == 'a'


def test_backoff_of_an_unresponsive_peer_grows_and_is_reset_by_an_answer():
    relay = build_state().relay
    for _ in range(9):
        decisions.record_answer(relay, GROUP, 'a', 'no_answer', False, NOW)
    assert relay.unresponsive['a'].until == NOW + decisions.MAX_BACKOFF_S
    decisions.record_answer(relay, GROUP, 'a', '', True, NOW)
    assert decisions.may_ask(relay, GROUP, 'a', NOW)


def test_peer_in_the_backoff_of_sample_requests_is_not_asked():
    state = build_state(NEAR_AND_FAR)
    state.peers['a'].backoff_until = NOW + 1
    assert choose(state)[0] == 'b'


def test_last_attempt_goes_to_a_peer_that_is_known_to_accept():
    # All peers of the data centre may be in the same partition as this VM.
    peers = [(f'near{index}', 'p0') for index in range(9)] + [('far', 'p2')]
    state = build_state(peers)
    assert 'far' not in choose(state)
    decisions.record_answer(state.relay, GROUP, 'far', '', True, NOW)
    assert choose(state)[-1] == 'far'
    assert 'far' not in choose(state, now=NOW + decisions.ACCEPTANCE_VALID_S)


def test_sessions_of_one_vm_are_spread_over_the_peers_of_a_data_centre():
    state = build_state([(f'near{index}', 'p0') for index in range(5)])
    first = Counter(choose(state, session)[0] for session in range(200))
    assert len(first) == 5
    assert max(first.values()) < 80


@pytest.mark.parametrize(
    ('prepare', 'cause'),
    [
        (lambda state: None, ''),
        (lambda state: setattr(state, 'stopping_since', 1.0), 'stopping'),
        (lambda state: setattr(state, 'config', None), 'unknown_group'),
        (lambda state: state.groups.clear(), 'unknown_group'),
        (
            lambda state: setattr(state.groups[GROUP], 'majority_unreachable_since', 1.0),
            'group_lost',
        ),
        (
            lambda state: setattr(state.relay, 'incoming', set(range(decisions.MAX_INCOMING))),
            'full',
        ),
        (lambda state: use_version(state, VERSION - 1), 'other_version'),
        (lambda state: use_version(state, VERSION + 1), 'other_version'),
    ],
)
def test_peer_accepts_only_sessions_that_it_can_serve(prepare, cause):
    state = build_state(lost=False)
    prepare(state)
    effects = handlers.answer_relay_request(state, Requested(9999, GROUP, VERSION), NOW)
    assert effects == [RefuseRelay(9999, cause) if cause else AcceptRelay(9999, VERSION)]
    assert (9999 in state.relay.incoming) is (not cause)


def test_session_is_refused_after_the_version_changed_behind_its_acceptance():
    # The peer would have been told a version that its caller is not served under.
    state = build_state(lost=False)
    use_version(state, VERSION + 1)
    effects = open_session(state, CallerConnected(9, 'orders', b'', False, VERSION), NOW)
    assert isinstance(effects[-1], RefuseCaller)
    assert 9 not in state.sessions


@pytest.mark.parametrize(('version', 'closed'), [(VERSION, False), (VERSION + 1, True)])
def test_relayed_session_ends_when_the_version_changes_here(version, closed):
    # A VM without the store relayed sessions to a peer with a newer configuration, and then served
    # others itself under the older one: callers of one VM saw the configuration go back.
    state = build_state(lost=False)
    open_session(state, CallerConnected(9, 'orders', b'', False, VERSION), NOW)
    use_version(state, version)
    assert should_close_session(state, state.sessions[9], NOW) is closed
    session = state.sessions[9]
    assert bool(continue_session(state, session, NOW)) is closed
    assert (9 not in state.sessions) is closed


@pytest.mark.parametrize('relayable', [True, False])
def test_relayed_session_is_never_relayed_again(relayable):
    # Two VMs without a majority would pass a session back and forth.
    state = build_state(NEAR_AND_FAR)
    effects = open_session(state, CallerConnected(9, 'orders', b'', relayable), NOW)
    assert isinstance(effects[0], RelaySession) is relayable
    assert (9 in state.sessions) is not relayable
    assert (9 in state.relay.outgoing) is relayable


@pytest.mark.parametrize(
    ('accepted', 'lost_s', 'closed'),
    [
        (True, decisions.CLOSE_DELAY_S, False),
        (True, decisions.CLOSE_DELAY_S + decisions.CLOSE_SPREAD_S + 0.01, True),
        (False, 1.0, False),
        (False, CLOSE_SESSIONS_AFTER_S + 0.01, True),
    ],
)
def test_idle_sessions_are_closed_early_only_while_the_relay_works(accepted, lost_s, closed):
    # Closing without a working relay would move callers to the same refusals, again and again.
    state = build_state(NEAR_AND_FAR)
    state.groups[GROUP].majority_unreachable_since = NOW
    open_session(state, CallerConnected(3, 'orders', b'', False), NOW)
    if accepted:
        decisions.record_answer(state.relay, GROUP, 'b', '', True, NOW)
    assert should_close_session(state, state.sessions[3], NOW + lost_s) is closed


def test_early_closes_are_spread():
    relay = build_state(NEAR_AND_FAR).relay
    decisions.record_answer(relay, GROUP, 'b', '', True, NOW)
    delays = [decisions.find_close_delay_s(relay, GROUP, n, 2.2, NOW) for n in range(100)]
    first_half = sum(
        delay < decisions.CLOSE_DELAY_S + decisions.CLOSE_SPREAD_S / 2 for delay in delays
    )
    assert 30 < first_half < 70


def test_probes_find_an_accepting_peer_and_then_only_confirm_it():
    # Without probes, sessions are closed early only after a caller happened to be relayed.
    state = build_state(NEAR_AND_FAR)
    tick = handlers.probe_peers
    assert [probe.peer.vm for probe in tick(state, None, NOW)][:2] == ['a', 'b']
    assert tick(state, None, NOW + 0.01) == []
    decisions.record_answer(state.relay, GROUP, 'b', '', True, NOW)
    assert tick(state, None, NOW + decisions.SEARCH_INTERVAL_S) == []
    again = tick(state, None, NOW + decisions.PROBE_INTERVAL_S)
    assert [probe.peer.vm for probe in again] == ['b']
    regain(state)
    assert tick(state, None, NOW + 9) == []


@pytest.mark.parametrize(
    ('stopping_s', 'outstanding', 'in_transaction', 'closed'),
    [
        (None, False, False, False),
        (1.0, False, False, False),
        (1.7, False, False, True),
        (1.7, True, False, False),
        (1.7, False, True, False),
        (3.1, False, True, True),
        (3.1, True, True, False),
        (5.5, True, True, True),
    ],
)
def test_stopping_vm_closes_relayed_sessions_between_statements(
    stopping_s, outstanding, in_transaction, closed
):
    # A close during a statement leaves its caller without an answer.
    arguments = (stopping_s, outstanding, in_transaction, 1.6, 3.0, 5.4)
    assert decisions.may_close_relayed(*arguments) is closed


def test_probes_become_rare_while_no_vm_reaches_a_majority():
    # 112 VMs that all search 10 times a second would use a sixth of the smallest VMs.
    state = build_state([(f'near{index}', 'p0') for index in range(111)])
    state.groups[GROUP].majority_unreachable_since = NOW
    counts = []
    for second in range(10):
        probes = []
        for tick in range(50):
            now = NOW + second + tick * 0.02
            for probe in handlers.probe_peers(state, None, now):
                probes.append(probe.peer.vm)
                decisions.record_answer(state.relay, GROUP, probe.peer.vm, 'group_lost', True, now)
        counts.append(len(probes))
    assert 15 <= counts[0] <= 30
    assert max(counts[5:]) <= decisions.PROBES_AT_ONCE


def test_peer_that_keeps_refusing_is_logged_once_per_incident():
    # Probes of 100 peers that refuse every second would fill the log of each VM.
    state = build_state(NEAR_AND_FAR)
    refusal = PeerAnswered('a', GROUP, 'group_lost', True)
    times = (NOW, NOW + 1, NOW + 2, NOW + 60)
    logged = [len(handlers.apply_peer_answer(state, refusal, now)) for now in times]
    assert logged == [1, 0, 0, 1]
    assert state.relay.counters['refused', 'group_lost'] == len(times)


def test_state_of_removed_peers_is_forgotten():
    state = build_state(NEAR_AND_FAR)
    for vm, cause, responded in (('a', '', True), ('b', 'full', True), ('c', 'no_answer', False)):
        decisions.record_answer(state.relay, GROUP, vm, cause, responded, NOW)
    handlers.forget_removed_peers(state, PeersListed(()), NOW)
    relay = state.relay
    assert not relay.unresponsive
    assert not relay.refusing_until
    assert not relay.accepting_until[GROUP]


def test_metrics_name_outcomes_and_are_absent_without_the_relay():
    state = build_state()
    handlers.log_relayed_session(state, SessionRelayed(1, 'a', GROUP, 1, 0.02), NOW)
    handlers.apply_peer_answer(state, PeerAnswered('a', GROUP, 'full', True), NOW)
    lines = render_relay_metrics(state.relay)
    assert 'cassiaseam_relay_events_total{outcome="refused",cause="full"} 1' in lines
    assert 'cassiaseam_relay_events_total{outcome="relayed",cause=""} 1' in lines
    disable(state)
    assert render_relay_metrics(state.relay) == []


@pytest.mark.parametrize('whole_places_lost', [True, False])
def test_replayed_partition_of_half_of_the_vms(whole_places_lost):
    # 36 VMs in 6 data centres and 3 regions; 18 reach no majority for 7 s, and each of them gets
    # 10 sessions per second. Nearly all have to find a peer, and no peer gets most of them.
    places = {f'vm{n}': f'p{n % 6}' for n in range(36)}
    regions = {f'p{n}': f'r{n // 2}' for n in range(6)}
    cut = {
        vm for n, vm in enumerate(places) if (n % 6 < 3 if whole_places_lost else n // 6 % 2 == 0)
    }
    states = {vm: build_state(places.items()) for vm in cut}
    for vm, state in states.items():
        state.vm, state.place, state.regions = vm, places[vm], regions
        state.groups[GROUP].majority_unreachable_since = NOW
        del state.peers[vm]
    relayed, asked, failed = Counter(), 0, 0
    for step in range(70):
        now = NOW + step / 10
        for state in states.values():
            for probe in handlers.probe_peers(state, None, now):
                cause = 'group_lost' if probe.peer.vm in cut else ''
                decisions.record_answer(state.relay, GROUP, probe.peer.vm, cause, True, now)
            for peer in choose(state, session=step, now=now):
                asked += 1
                cause = 'group_lost' if peer in cut else ''
                decisions.record_answer(state.relay, GROUP, peer, cause, True, now)
                if not cause:
                    relayed[peer] += 1
                    break
            else:
                failed += 1
    sessions = 70 * len(cut)
    assert failed <= sessions * 0.02
    assert asked < sessions * 2
    assert len(relayed) == len(places) - len(cut) or whole_places_lost
    assert max(relayed.values()) < sessions / 4
