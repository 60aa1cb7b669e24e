"""Relayed sessions between two VMs over loopback sockets, with the reducers of both."""

import logging
from dataclasses import replace
from types import SimpleNamespace

import pytest
from pooler_world import GROUP, World
from twisted.internet.protocol import ClientFactory, Factory, Protocol
from twisted.internet.testing import StringTransport

from cassiaseam.daemon.node import Node
from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.platform import line_protocol
from cassiaseam.platform.callers import CallerFactory
from cassiaseam.pooler import runtime
from cassiaseam.pooler.clock import BootTimeReactor, read_clock
from cassiaseam.pooler.environments import Environment
from cassiaseam.pooler.events import ConfigurationRead, PeerRecord
from cassiaseam.pooler.peer_state import PeerState
from cassiaseam.pooler.relay import requests, wire
from cassiaseam.pooler.relay.decisions import INITIAL_BACKOFF_S, is_relay_working
from cassiaseam.pooler.relay.events import ProbeRelay
from cassiaseam.pooler.relay.pipe import BUFFER_BYTES, SessionPipe
from cassiaseam.pooler.relay.service import RelayService
from cassiaseam.pooler.relay.tracking import StatementTracker
from cassiaseam.pooler.sessions import get_version

HOST = '127.0.0.1'
SECRET = 'key-5f3a'
START = f'START orders {SECRET}\r\n'.encode()
SET = b'QUERY r1 SET a 1\r\n'
SET_ANSWER = b'DONE -\r\nREADY I -\r\n'
READY = b'READY I -\r\n'
READY_IN_TRANSACTION = b'DONE -\r\nREADY T -\r\n'
WAIT_S = 3.0


class Client(Protocol):
    """Caller that records what it receives."""

    def __init__(self):
        self.received = bytearray()
        self.closed = False

    def dataReceived(self, data):  # noqa: N802
        self.received += data

    def connectionLost(self, reason):  # noqa: N802
        self.closed = True


class Vm:
    """State, reducers and connections of one VM on a reactor that the test turns."""

    def __init__(self, reactor, name, lost):
        world = World(vms=1)
        world.run_until(0.5)
        self.state = world.vms['vm0'].state
        self.state.vm = name
        self.state.relay.enabled = True
        if lost:
            self.state.groups[GROUP].majority_unreachable_since = 0.0
        self.lines = []
        self.node = Node(self.state, read_clock)
        self.callers = CallerFactory(self.node.dispatch)
        self.relay = RelayService(reactor, self.node.dispatch, lambda: get_version(self.state))
        self.node.services[Environment] = SimpleNamespace(callers=self.callers)
        self.node.services[RelayService] = self.relay
        self.node.services[runtime.PoolerRuntime] = SimpleNamespace(
            log=lambda kind, **fields: self.lines.append((kind, fields))
        )
        self.port = reactor.listenTCP(0, self.callers, interface=HOST)
        self.relay_port = reactor.listenTCP(0, self.relay.listener, interface=HOST)

    def get_record(self):
        return PeerRecord(self.state.vm, 'p0', HOST, self.relay_port.getHost().port)

    def apply_version(self, version):
        config = replace(self.state.config, version=version)
        self.node.dispatch(ConfigurationRead(config))

    def list_events(self, kind):
        return [fields for event, fields in self.lines if event == kind]


class Deployment:
    """VMs and callers on one reactor."""

    def __init__(self, lost):
        self.reactor = BootTimeReactor()
        self.vms = [Vm(self.reactor, f'vm{n}', it) for n, it in enumerate(lost)]
        for vm in self.vms:
            vm.state.peers = {
                other.state.vm: PeerState(other.get_record())
                for other in self.vms
                if other is not vm
            }

    def wait(self, condition, limit_s=WAIT_S):
        end = read_clock() + limit_s
        while not condition():
            assert read_clock() < end, 'not in time'
            self.reactor.iterate(0.01)

    def turn(self, for_s):
        end = read_clock() + for_s
        while read_clock() < end:
            self.reactor.iterate(0.01)

    def connect(self, data=START, vm=0):
        client = Client()
        factory = ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda addr: client
        self.reactor.connectTCP(HOST, self.vms[vm].port.getHost().port, factory)
        self.wait(lambda: client.transport is not None)
        client.transport.write(data)
        return client


@pytest.fixture
def deploy():
    deployments = []

    def build(*lost):
        deployments.append(Deployment(lost))
        return deployments[-1]

    yield build
    for deployment in deployments:
        for reader in deployment.reactor.removeAll():
            reader.connectionLost(SimpleNamespace(check=lambda *kinds: True, value=None))


def test_session_is_served_by_the_peer_only(deploy):
    # START and statements in one segment must reach the peer whole and in order.
    world = deploy(True, False)
    client = world.connect(START + SET)
    world.wait(lambda: client.received == READY + SET_ANSWER)
    near, far = world.vms
    assert not near.state.sessions
    assert [session.variables for session in far.state.sessions.values()] == [{'a': '1'}]
    assert len(near.state.relay.outgoing) == len(far.state.relay.incoming) == 1
    assert near.list_events('session_relayed')[0]['peer'] == 'vm1'
    client.transport.loseConnection()
    world.wait(lambda: not near.state.relay.outgoing and not far.state.relay.incoming)
    assert not far.state.sessions
    assert near.list_events('relay_ended')[0]['cause'] == 'caller_closed'


def test_caller_is_served_here_as_without_a_relay_when_no_peer_accepts(deploy):
    # A peer without a majority must refuse and not relay further; the caller is told at once.
    world = deploy(True, True, True)
    client = world.connect(START + SET)
    world.wait(lambda: client.received == READY + SET_ANSWER)
    near = world.vms[0]
    assert len(near.state.sessions) == 1
    assert not near.state.relay.outgoing
    assert [line['cause'] for line in near.list_events('relay_refused')] == ['group_lost'] * 2
    assert near.list_events('relay_ended')[0]['cause'] == 'no_peer'


@pytest.mark.parametrize('version', [0, 2])
def test_session_is_not_relayed_to_a_peer_with_another_version(deploy, version):
    # A VM relayed a session to a peer that the store had refused for seconds. The peer answered
    # that there is no such database, although the VM had served it before.
    world = deploy(True, False)
    near, far = world.vms
    far.state.config = replace(far.state.config, version=version)
    client = world.connect()
    world.wait(lambda: client.received == READY)
    assert len(near.state.sessions) == 1
    assert not far.state.sessions
    assert near.list_events('relay_refused')[0]['cause'] == 'other_version'


@pytest.mark.parametrize(('version', 'closed'), [(1, False), (2, True)])
def test_relayed_session_ends_when_the_relaying_vm_gets_another_version(deploy, version, closed):
    world = deploy(True, False)
    near = world.vms[0]
    client = world.connect(START + SET)
    world.wait(lambda: client.received == READY + SET_ANSWER)
    near.apply_version(version)
    near.relay.close_outdated()
    world.turn(0.1)
    assert client.closed is closed


def test_outstanding_statement_of_an_outdated_relay_is_not_cut_off(deploy):
    # The session must end with this answer: a caller that sends the next statement at once would
    # be outstanding at each tick and be served under the former version without end.
    world = deploy(True, False)
    near = world.vms[0]
    client = world.connect()
    world.wait(lambda: client.received == READY)
    client.transport.write(b'QUERY r1 SET a')
    world.turn(0.05)
    near.apply_version(2)
    near.relay.close_outdated()
    client.transport.write(b' 1\r\n')
    world.wait(lambda: client.received == READY + SET_ANSWER)
    world.wait(lambda: client.closed)
    world.wait(lambda: not near.relay.sessions)
    assert near.list_events('relay_ended')[0]['cause'] == 'other_version'


@pytest.mark.parametrize('outdated', ['relaying VM', 'peer'])
def test_open_transaction_of_an_outdated_relay_may_finish(deploy, outdated):
    # A transaction that is cut off has to be repeated as a whole.
    world = deploy(True, False)
    near, far = world.vms
    client = world.connect(START + b'QUERY r1 BEGIN\r\n')
    world.wait(lambda: client.received == READY + READY_IN_TRANSACTION)
    (near if outdated == 'relaying VM' else far).apply_version(2)
    near.relay.close_outdated()
    client.transport.write(b'QUERY r2 SET a 1\r\n')
    world.wait(lambda: client.received == READY + 2 * READY_IN_TRANSACTION)
    world.turn(0.05)
    assert not client.closed
    client.transport.write(b'QUERY r3 ROLLBACK\r\n')
    world.wait(lambda: client.closed)
    assert client.received == READY + 2 * READY_IN_TRANSACTION + SET_ANSWER


def hold_request(world):
    """Connect a caller, and return it and the peers of its session that are asked later."""
    near, far = world.vms[:2]
    client = Client()
    factory = ClientFactory()
    factory.noisy = False
    factory.buildProtocol = lambda addr: client
    world.reactor.connectTCP(HOST, near.port.getHost().port, factory)
    world.wait(lambda: client.transport is not None)
    client.transport.write(START + SET)
    world.wait(lambda: near.relay.sessions)
    assert not far.state.sessions
    relay = next(iter(near.relay.sessions.values()))
    return client, [record.vm for record in relay.remaining]


def test_acceptance_of_a_request_with_a_former_version_is_not_used(deploy):
    # The relaying VM applied version 2 after it had asked under version 1, and the peer served
    # the session under 1, while other callers of the relaying VM had seen 2.
    world = deploy(True, False)
    near, far = world.vms
    client, _ = hold_request(world)
    near.apply_version(2)
    world.wait(lambda: client.received == READY + SET_ANSWER)
    assert len(near.state.sessions) == 1
    assert not far.state.sessions
    assert near.list_events('relay_refused')[0]['cause'] == 'other_version'
    assert not is_relay_working(near.state.relay, GROUP, read_clock())
    world.wait(lambda: not far.relay.listener.connections)
    assert not far.state.relay.incoming


def test_next_peer_is_asked_under_the_version_that_is_in_force(deploy):
    # Later attempts named the former version, so that a peer that had the same one refused.
    world = deploy(True, False, False)
    near = world.vms[0]
    client, later = hold_request(world)
    near.apply_version(2)
    peer = next(vm for vm in world.vms if vm.state.vm in later)
    peer.apply_version(2)
    world.wait(lambda: client.received == READY + SET_ANSWER)
    assert [session.relayed_version for session in peer.state.sessions.values()] == [2]
    assert near.list_events('session_relayed')[0]['attempts'] == 2
    world.turn(0.05)
    assert not client.closed


def test_idle_session_ends_as_soon_as_the_peer_applies_another_version(deploy):
    # Until the next tick, statements on the session ran under a version that the relaying VM had
    # not seen.
    world = deploy(True, False)
    far = world.vms[1]
    client = world.connect()
    world.wait(lambda: client.received == READY)
    far.apply_version(2)
    client.transport.write(SET)
    world.wait(lambda: client.closed)
    assert client.received == READY
    assert far.list_events('session_closed')[0]['cause'] == 'other_version'


def test_next_peer_is_asked_after_a_refusal(deploy):
    world = deploy(True, True, False)
    clients = [world.connect() for _ in range(4)]
    world.wait(lambda: all(client.received == READY for client in clients))
    assert len(world.vms[2].state.sessions) == 4


@pytest.mark.parametrize('peer', ['silent', 'closed', 'closing', 'other protocol'])
def test_peer_that_cannot_relay_delays_a_caller_only_briefly(deploy, peer):
    world = deploy(True, False)
    near, far = world.vms
    far.relay_port.stopListening()

    class Answer(Protocol):
        def connectionMade(self):  # noqa: N802
            if peer == 'closing':
                self.transport.loseConnection()
            elif peer == 'other protocol':
                self.transport.write(b'HTTP/1.1 400 Bad Request\r\n\r\n')

    factory = Factory.forProtocol(Answer)
    factory.noisy = False
    if peer != 'closed':
        listening = world.reactor.listenTCP(0, factory, interface=HOST)
        port = listening.getHost().port
        near.state.peers['vm1'] = PeerState(PeerRecord('vm1', 'p0', HOST, port))
    started = read_clock()
    client = world.connect()
    world.wait(lambda: client.received == READY)
    assert read_clock() - started < requests.ATTEMPT_TIMEOUT_S + 0.3
    assert len(near.state.sessions) == 1
    causes = {'silent': 'no_answer', 'closed': 'unreachable', 'closing': 'connection_lost'}
    cause = causes.get(peer, 'malformed')
    assert near.list_events('relay_refused')[0]['cause'] == cause
    if peer != 'other protocol':
        assert near.state.relay.unresponsive['vm1'].until > started + INITIAL_BACKOFF_S / 2


@pytest.mark.parametrize('side', ['peer', 'stopping'])
def test_caller_gets_all_bytes_before_its_connection_is_closed(deploy, side):
    # A close must not cut an answer that was received from the peer.
    world = deploy(True, False)
    near, far = world.vms
    client = world.connect()
    world.wait(lambda: client.received == READY)
    row = b'ROW ' + b'x' * (10 * BUFFER_BYTES) + b'\r\n' + SET_ANSWER
    next(iter(far.callers.sessions.values())).transport.write(row)
    if side == 'peer':
        next(iter(far.callers.sessions.values())).close()
    else:
        world.wait(lambda: client.received == READY + row)
        near.relay.close_for_stop(2.0, 1.6, 3.0, 5.6)
    world.wait(lambda: client.closed)
    assert client.received == READY + row
    world.wait(lambda: not near.relay.sessions)
    cause = 'peer_closed' if side == 'peer' else 'stopping'
    assert near.list_events('relay_ended')[0]['cause'] == cause


UNKNOWN = line_protocol.encode_error(
    RequestError(ErrorKind.OUTCOME_UNKNOWN, 'the daemon stops before the answer')
)


@pytest.mark.parametrize(
    ('sent', 'passed_on', 'added'),
    [
        (b'QUERY r1 READ a\r\n', b'', UNKNOWN + b'READY I -\r\n'),
        (b'QUERY r1 READ a\r\n', b'ROW one\r\n', UNKNOWN + b'READY I -\r\n'),
        (b'QUERY r1 READ a\r\n', b'ROW on', b''),
        (
            b'QUERY r1 BEGIN\r\nQUERY r2 READ a\r\n',
            b'DONE -\r\nREADY T -\r\n',
            UNKNOWN + b'READY E -\r\n',
        ),
        (b'', b'', b''),
    ],
    ids=['no-answer', 'row', 'part-of-a-line', 'transaction', 'nothing-outstanding'],
)
def test_stopping_daemon_answers_outstanding_statements_of_relayed_sessions(
    deploy, sent, passed_on, added
):
    # The connection of the caller was closed at the stop limit without an answer.
    world = deploy(True, False)
    near, far = world.vms
    client = world.connect()
    world.wait(lambda: client.received == READY)
    peer = next(iter(far.callers.sessions.values()))
    peer._read_line = lambda line: None
    client.transport.write(sent)
    pipe = next(iter(near.relay.sessions.values())).pipe
    world.wait(lambda: pipe.tracker.unanswered == sent.count(b'QUERY'))
    peer.transport.write(passed_on)
    world.wait(lambda: client.received == READY + passed_on)
    near.relay.close_for_stop(5.5, 1.6, 3.0, 5.6)
    world.wait(lambda: client.closed)
    assert client.received == READY + passed_on + added


def test_broken_connection_to_the_peer_closes_the_caller(deploy):
    # The peer may have died in the middle of a statement; a silent caller would wait forever.
    world = deploy(True, False)
    near, far = world.vms
    client = world.connect()
    world.wait(lambda: client.received == READY)
    client.transport.write(b'QUERY r1 WRITE')
    world.turn(0.05)
    next(iter(far.callers.sessions.values())).transport.abortConnection()
    world.wait(lambda: client.closed and not near.relay.sessions)
    assert near.list_events('relay_ended')[0]['outstanding'] == 1


def test_caller_that_does_not_read_pauses_the_peer(deploy):
    # Without backpressure, answers for a slow caller fill the memory of the relaying VM.
    world = deploy(True, False)
    near, far = world.vms
    client = world.connect()
    world.wait(lambda: client.received == READY)
    client.transport.pauseProducing()
    sender = next(iter(far.callers.sessions.values())).transport
    total = 40 << 20
    sender.write(b'x' * total)
    world.turn(0.5)
    relay = next(iter(near.relay.sessions.values()))
    held = relay.caller.transport
    assert len(held.dataBuffer) + held._tempDataLen <= 2 * BUFFER_BYTES
    client.transport.resumeProducing()
    world.wait(lambda: len(client.received) == len(READY) + total, 20)


def test_probe_with_a_former_version_is_no_evidence(deploy):
    # The VM closed its idle sessions early, although peers refused to take them.
    world = deploy(True, False)
    near, far = world.vms
    near.relay.probe(ProbeRelay(far.get_record(), GROUP, 1))
    near.apply_version(2)
    world.wait(lambda: near.list_events('relay_refused'))
    assert near.list_events('relay_refused')[0]['cause'] == 'other_version'
    assert not is_relay_working(near.state.relay, GROUP, read_clock())


def test_probe_changes_only_what_is_known_about_the_peer(deploy):
    world = deploy(True, False)
    near, far = world.vms
    near.relay.probe(ProbeRelay(far.get_record(), GROUP, 1))
    world.wait(lambda: near.state.relay.accepting_until.get(GROUP))
    world.wait(lambda: not far.relay.listener.connections)
    assert not far.state.relay.incoming
    assert not far.state.sessions


@pytest.mark.parametrize(
    'data',
    [
        b'HELLO\r\n',
        b'RELAY \r\n',
        b'RELAY g\r\n',
        b'RELAY g x\r\n',
        b'RELAY g -1\r\n',
        b'RELAY g ' + b'9' * 400 + b'\r\n',
        b'x' * 600,
    ],
)
def test_malformed_request_is_refused(deploy, data):
    world = deploy(False)
    vm = world.vms[0]
    client = Client()
    factory = ClientFactory()
    factory.noisy = False
    factory.buildProtocol = lambda addr: client
    world.reactor.connectTCP(HOST, vm.relay_port.getHost().port, factory)
    world.wait(lambda: client.transport is not None)
    client.transport.write(data)
    world.wait(lambda: client.closed)
    assert client.received == wire.encode_response('malformed')
    assert not vm.relay.listener.connections


def test_key_is_in_no_log_line_and_not_kept(deploy, caplog):
    # The key passes through two VMs and must not appear in anything that they write.
    caplog.set_level(logging.DEBUG)
    world = deploy(True, True, False)
    client = world.connect(START + SET)
    world.wait(lambda: client.received == READY + SET_ANSWER)
    client.transport.loseConnection()
    world.wait(lambda: not world.vms[0].relay.sessions)
    assert SECRET not in caplog.text
    for vm in world.vms:
        assert vm.lines or vm is not world.vms[0]
        assert SECRET not in repr(vm.lines)
        assert SECRET not in repr(vm.state)


@pytest.mark.parametrize(
    ('steps', 'outstanding', 'in_transaction'),
    [
        ([('c', START)], True, False),
        ([('c', START), ('p', READY)], False, False),
        ([('c', START), ('p', READY), ('c', b'QUE')], True, False),
        ([('c', START), ('p', READY), ('c', b'BYE\r\n')], False, False),
        (
            [('c', START), ('p', READY), ('c', SET), ('p', b'ROW READY I\r\nDONE -\r\n')],
            True,
            False,
        ),
        ([('c', START), ('p', READY), ('c', SET), ('p', SET_ANSWER)], False, False),
        ([('c', START + SET + SET), ('p', READY + SET_ANSWER)], True, False),
        ([('c', START), ('p', READY), ('c', SET), ('p', b'DONE -\r\nREADY T -\r\n')], False, True),
        ([('c', START), ('p', READY), ('c', b'bad\r\n' + SET), ('p', SET_ANSWER)], True, False),
    ],
)
@pytest.mark.parametrize('chunk', [1, 3, 1000])
def test_outstanding_statements_are_counted_in_any_split(
    steps, outstanding, in_transaction, chunk
):
    # A session that is closed in the middle of a statement leaves its outcome unknown.
    tracker = StatementTracker()
    for side, data in steps:
        count = tracker.count_from_caller if side == 'c' else tracker.count_from_peer
        for at in range(0, len(data), chunk):
            count(data[at : at + chunk])
    assert tracker.is_outstanding() is outstanding
    assert tracker.in_transaction is in_transaction


def test_both_sides_are_closed_and_the_end_is_reported_once():
    ends = []
    caller = SimpleNamespace(transport=StringTransport())
    connection = SimpleNamespace(transport=StringTransport(), receiver=None)
    pipe = SessionPipe(caller, connection, lambda: None, lambda: ends.append(pipe.cause))
    pipe.start(START)
    assert connection.transport.value() == START
    pipe.lose_peer()
    assert caller.transport.disconnecting
    assert ends == []
    pipe.lose_caller()
    assert ends == ['peer_closed']
