import asyncio
import datetime
import ipaddress
import ssl
from dataclasses import replace

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.messages import Answer, Request, RequestKind, ResultSet
from cassiaseam.peers.codec import decode_message, encode_message
from cassiaseam.peers.link import TransportLimits
from cassiaseam.peers.link_table import TlsContexts
from cassiaseam.peers.messages import CancelRequest, Hello
from cassiaseam.peers.transport import PeerTransport

FAST = TransportLimits(
    frame_bytes=65536,
    queue_frames=4,
    heartbeat_interval_s=0.02,
    silence_timeout_s=0.1,
    connect_timeout_s=0.3,
)


class Mesh:
    """Transports in one process with a shared address table."""

    def __init__(self):
        self.addresses = {}
        self.transports = {}

    async def add(self, vm, limits=FAST, incarnation=1, tls=None):
        transport = PeerTransport(vm, incarnation, self.addresses.get, limits, tls)
        self.addresses[vm] = ('127.0.0.1', await transport.start('127.0.0.1', 0))
        self.transports[vm] = transport
        return transport

    async def stop(self):
        for transport in self.transports.values():
            await transport.stop()


def run_in_mesh(scenario):
    async def run():
        mesh = Mesh()
        try:
            await asyncio.wait_for(scenario(mesh), 20)
        finally:
            await mesh.stop()

    asyncio.run(run())


def make_request(transport, request_id='r1', kind=RequestKind.READ, wait_s=5.0, **others):
    options = {'entry': transport.vm, 'deadline': transport.clock() + wait_s, **others}
    return Request(
        request_id,
        caller='till',
        session_id='s1',
        database='orders',
        kind=kind,
        sql='select 1',
        **options,
    )


def send(transport, vm, request):
    return asyncio.create_task(transport.send_request(vm, request, transport.clock()))


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.005)


def test_answers_out_of_order_reach_only_their_own_request():
    async def scenario(mesh):
        entry, owner = await mesh.add('a'), await mesh.add('b')
        seen = []
        owner.on_request = lambda vm, request: seen.append(request)
        requests = [make_request(entry, f'r{number}') for number in range(20)]
        tasks = [send(entry, 'b', request) for request in requests]
        await wait_until(lambda: len(seen) == 20)
        for request in reversed(seen):
            text = request.request_id * 2
            owner.send_answer('a', Answer(request.request_id, ResultSet(('c',), ((text,),))))
        answers = await asyncio.gather(*tasks)
        assert [answer.result_set.rows[0][0] for answer in answers] == [
            request.request_id * 2 for request in requests
        ]
        assert len(entry.table.links['b']) == len(owner.table.links['a']) == 1

    run_in_mesh(scenario)


class RawPeer(asyncio.Protocol):
    """Peer that reads and writes frames without `PeerTransport`."""

    def __init__(self, vm, version=1):
        self.hello = encode_message(0, Hello(vm, 1, version), 0)
        self.frames = []
        self.buffer = b''
        self.closed = False

    def connection_made(self, transport):
        self.transport = transport
        self.write(self.hello)

    def write(self, content):
        self.transport.write(len(content).to_bytes(4, 'big') + content)

    def connection_lost(self, exc):
        self.closed = True

    def data_received(self, received):
        self.buffer += received
        while len(self.buffer) >= 4:
            end = 4 + int.from_bytes(self.buffer[:4], 'big')
            if len(self.buffer) < end:
                return
            self.frames.append(decode_message(self.buffer[4:end], 0))
            self.buffer = self.buffer[end:]

    def find(self, body_type):
        return [frame for frame in self.frames if isinstance(frame.body, body_type)]


async def listen_raw(mesh, peer):
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: peer, '127.0.0.1', 0)
    mesh.addresses['raw'] = server.sockets[0].getsockname()[:2]
    return server


def test_unknown_duplicate_and_foreign_answers_are_dropped_and_counted():
    async def scenario(mesh):
        entry, peer = await mesh.add('a'), RawPeer('raw')
        server = await listen_raw(mesh, peer)
        task = send(entry, 'raw', make_request(entry))
        await wait_until(lambda: peer.find(Request))
        wire_id = peer.find(Request)[0].wire_id
        for sent_id, request_id in ((wire_id + 7, 'r1'), (wire_id, 'r2')):
            peer.write(encode_message(sent_id, Answer(request_id), 0))
        right = Answer('r1', ResultSet(affected_rows=1))
        peer.write(encode_message(wire_id, right, 0))
        assert await task == right
        peer.write(encode_message(wire_id, Answer('r1'), 0))
        await wait_until(lambda: entry.counters['unknown_answers'] == 3)
        server.close()

    run_in_mesh(scenario)


def test_frame_received_byte_by_byte_is_reassembled():
    async def scenario(mesh):
        owner = await mesh.add('b')
        seen = []
        owner.on_request = lambda vm, request: seen.append((vm, request.request_id))
        loop = asyncio.get_running_loop()
        _, peer = await loop.create_connection(lambda: RawPeer('raw'), *mesh.addresses['b'])
        content = encode_message(9, make_request(owner, entry='raw'), 0)
        for byte in len(content).to_bytes(4, 'big') + content:
            peer.transport.write(bytes((byte,)))
            await asyncio.sleep(0)
        await wait_until(lambda: seen == [('raw', 'r1')])

    run_in_mesh(scenario)


@pytest.mark.parametrize(
    ('sent', 'counter'),
    [
        ((65537).to_bytes(4, 'big'), 'oversized_frames'),
        (b'\0\0\0\x08' + b'\xff' * 8, 'malformed_frames'),
        (b'\0\0\0\0', 'malformed_frames'),
    ],
)
def test_malformed_frame_closes_only_its_own_connection(sent, counter):
    async def scenario(mesh):
        entry, owner = await mesh.add('a'), await mesh.add('b')
        owner.on_request = lambda vm, request: owner.send_answer(vm, Answer(request.request_id))
        loop = asyncio.get_running_loop()
        _, peer = await loop.create_connection(lambda: RawPeer('raw'), *mesh.addresses['b'])
        peer.transport.write(sent)
        await wait_until(lambda: peer.closed)
        assert owner.counters[counter] == 1
        assert (await send(entry, 'b', make_request(entry))).error is None

    run_in_mesh(scenario)


@pytest.mark.parametrize(('vm', 'version'), [('raw', 2), ('other', 1)])
def test_unexpected_protocol_version_or_vm_is_rejected(vm, version):
    async def scenario(mesh):
        entry = await mesh.add('a')
        server = await listen_raw(mesh, RawPeer(vm, version))
        answer = await send(entry, 'raw', make_request(entry, kind=RequestKind.WRITE))
        assert answer.error.kind is ErrorKind.PEER_UNREACHABLE
        server.close()

    run_in_mesh(scenario)


LOSSES = [
    (RequestKind.READ, ErrorKind.PEER_UNREACHABLE),
    (RequestKind.WRITE, ErrorKind.OUTCOME_UNKNOWN),
    (RequestKind.COMMIT, ErrorKind.OUTCOME_UNKNOWN),
    (RequestKind.ROLLBACK, ErrorKind.PEER_UNREACHABLE),
]


@pytest.mark.parametrize(('kind', 'expected'), LOSSES)
@pytest.mark.parametrize('loss', ['killed', 'frozen'])
def test_lost_peer_fails_requests_in_flight_before_their_deadline(kind, expected, loss):
    async def scenario(mesh):
        entry, peer = await mesh.add('a'), RawPeer('raw')
        lost = []
        entry.on_peer_lost = lost.append
        server = await listen_raw(mesh, peer)
        task = send(entry, 'raw', make_request(entry, kind=kind, wait_s=3600))
        await wait_until(lambda: peer.find(Request))
        if loss == 'killed':
            peer.transport.abort()
        answer = await task
        assert answer.error.kind is expected
        assert lost == ['raw']
        assert entry.counters['frozen_peers'] == (1 if loss == 'frozen' else 0)
        server.close()

    run_in_mesh(scenario)


def test_silence_on_one_link_closes_an_idle_second_link_to_the_same_peer():
    # Guards against a COMMIT sent to a frozen owner over the idle link that the owner had dialled:
    # without heartbeats there, the COMMIT ended with an unknown outcome instead of not run.
    async def scenario(mesh):
        entry, peer = await mesh.add('a'), RawPeer('raw')
        server = await listen_raw(mesh, peer)
        await entry.table.obtain_link('raw')
        loop = asyncio.get_running_loop()
        await loop.create_connection(lambda: RawPeer('raw'), *mesh.addresses['a'])
        await wait_until(lambda: len(entry.table.links['raw']) == 2)
        await send(entry, 'raw', make_request(entry, kind=RequestKind.READ))
        server.close()
        commit = make_request(entry, 'r2', kind=RequestKind.COMMIT)
        answer = await send(entry, 'raw', commit)
        assert answer.error.kind is ErrorKind.PEER_UNREACHABLE
        assert entry.counters['frozen_peers'] == 1

    run_in_mesh(scenario)


@pytest.mark.parametrize('kind', [RequestKind.READ, RequestKind.WRITE])
def test_request_to_an_unreachable_address_is_reported_as_not_run(kind):
    async def scenario(mesh):
        entry = await mesh.add('a')
        mesh.addresses['gone'] = ('127.0.0.1', 1)
        answers = [
            await send(entry, vm, make_request(entry, kind=kind)) for vm in ('gone', 'unlisted')
        ]
        assert {answer.error.kind for answer in answers} == {ErrorKind.PEER_UNREACHABLE}

    run_in_mesh(scenario)


def test_link_closed_after_its_hello_fails_a_request_before_its_deadline():
    async def scenario(mesh):
        entry = await mesh.add('a')
        await mesh.add('b')
        link = await entry.table.obtain_link('b')
        link.abort('test')

        async def obtain_broken_link(vm):
            return link

        entry.table.obtain_link = obtain_broken_link
        request = make_request(entry, kind=RequestKind.WRITE, wait_s=3600)
        answer = await send(entry, 'b', request)
        assert answer.error.kind is ErrorKind.PEER_UNREACHABLE

    run_in_mesh(scenario)


def test_slow_responsive_peer_is_not_treated_as_frozen():
    async def scenario(mesh):
        entry, owner = await mesh.add('a'), await mesh.add('b')
        loop = asyncio.get_running_loop()
        owner.on_request = lambda vm, request: loop.call_later(
            0.4, owner.send_answer, vm, Answer(request.request_id)
        )
        answer = await send(entry, 'b', make_request(entry, kind=RequestKind.WRITE))
        assert answer.error is None

    run_in_mesh(scenario)


def test_full_send_queue_rejects_requests_and_unwritten_ones_are_reported_as_not_run():
    async def scenario(mesh):
        patient = replace(FAST, silence_timeout_s=60, frame_bytes=2**22)
        entry, peer = await mesh.add('a', patient), RawPeer('raw')
        server = await listen_raw(mesh, peer)
        await send(entry, 'raw', make_request(entry, wait_s=0.05))
        peer.transport.pause_reading()
        big = replace(make_request(entry, kind=RequestKind.WRITE), sql='x' * 2**21)
        tasks = [send(entry, 'raw', replace(big, request_id=f'w{n}')) for n in range(20)]
        await wait_until(lambda: sum(task.done() for task in tasks) >= 10)
        peer.transport.abort()
        answers = await asyncio.gather(*tasks)
        kinds = [answer.error.kind for answer in answers]
        assert kinds.count(ErrorKind.PEER_UNREACHABLE) == 4
        assert kinds.count(ErrorKind.OVERLOADED) >= 10
        assert kinds.count(ErrorKind.OUTCOME_UNKNOWN) >= 1
        server.close()

    run_in_mesh(scenario)


@pytest.mark.parametrize(
    ('kind', 'expected'),
    [
        (RequestKind.READ, ErrorKind.DEADLINE_EXCEEDED),
        (RequestKind.WRITE, ErrorKind.OUTCOME_UNKNOWN),
    ],
)
@pytest.mark.parametrize('vm', ['a', 'b'])
def test_deadline_ends_a_request_and_cancels_it_at_the_owner(kind, expected, vm):
    async def scenario(mesh):
        entry = await mesh.add('a')
        await mesh.add('b')
        owner = mesh.transports[vm]
        cancelled = []
        owner.on_request = lambda peer, request: None
        owner.on_message = lambda peer, message: cancelled.append(message)
        answer = await send(entry, vm, make_request(entry, kind=kind, wait_s=0.05))
        assert answer.error.kind is expected
        await wait_until(lambda: cancelled == [CancelRequest('orders', 'r1')])
        assert not owner.send_answer('a', Answer('r1'))

    run_in_mesh(scenario)


def test_owner_detects_a_frozen_entry_with_an_open_transaction():
    async def scenario(mesh):
        owner = await mesh.add('b')
        lost = []
        owner.on_peer_lost = lost.append
        owner.on_request = lambda vm, request: owner.send_answer(vm, Answer(request.request_id))
        loop = asyncio.get_running_loop()
        _, peer = await loop.create_connection(lambda: RawPeer('raw'), *mesh.addresses['b'])
        begin = make_request(owner, entry='raw', kind=RequestKind.BEGIN, transaction_id='t1')
        peer.write(encode_message(3, begin, 0))
        await wait_until(lambda: lost == ['raw'])
        assert peer.find(Answer)

    run_in_mesh(scenario)


def test_idle_connection_is_closed_without_reporting_a_lost_peer_and_reopened():
    async def scenario(mesh):
        idle = replace(FAST, idle_s=0.05)
        entry, owner = await mesh.add('a', idle), await mesh.add('b', idle)
        lost = []
        entry.on_peer_lost = owner.on_peer_lost = lost.append
        owner.on_request = lambda vm, request: owner.send_answer(vm, Answer(request.request_id))
        for request_id in ('r1', 'r2'):
            assert (await send(entry, 'b', make_request(entry, request_id))).error is None
            await wait_until(lambda: not entry.table.links and not owner.table.links)
        assert lost == []

    run_in_mesh(scenario)


def test_restarted_peer_closes_links_of_its_earlier_incarnation():
    async def scenario(mesh):
        owner = await mesh.add('b')
        lost = []
        owner.on_peer_lost = lost.append
        loop = asyncio.get_running_loop()
        _, first = await loop.create_connection(lambda: RawPeer('raw'), *mesh.addresses['b'])
        await wait_until(lambda: 'raw' in owner.table.links)
        second = RawPeer('raw')
        second.hello = encode_message(0, Hello('raw', 2, 1), 0)
        await loop.create_connection(lambda: second, *mesh.addresses['b'])
        await wait_until(lambda: lost == ['raw'] and first.closed)
        assert not second.closed

    run_in_mesh(scenario)


def test_oversized_answer_or_request_becomes_an_error():
    async def scenario(mesh):
        entry, owner = await mesh.add('a'), await mesh.add('b')
        big = ResultSet(('c',), (('x' * 70000,),))
        owner.on_request = lambda vm, request: owner.send_answer(
            vm, Answer(request.request_id, big)
        )
        answer = await send(entry, 'b', make_request(entry))
        assert answer.error.kind is ErrorKind.TOO_LARGE
        request = replace(make_request(entry, 'r2'), sql='x' * 70000)
        assert (await send(entry, 'b', request)).error.kind is ErrorKind.TOO_LARGE

    run_in_mesh(scenario)


def test_request_naming_another_entry_is_rejected():
    async def scenario(mesh):
        owner = await mesh.add('b')
        owner.on_request = lambda vm, request: pytest.fail('request reached the owner role')
        loop = asyncio.get_running_loop()
        _, peer = await loop.create_connection(lambda: RawPeer('raw'), *mesh.addresses['b'])
        peer.write(encode_message(3, make_request(owner, entry='a'), 0))
        await wait_until(lambda: peer.find(Answer))
        assert peer.find(Answer)[0].body.error.kind is ErrorKind.BAD_REQUEST

    run_in_mesh(scenario)


def make_tls_contexts(folder):
    """Return TLS contexts for a self-signed certificate."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, 'peer')])
    now = datetime.datetime.now(datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address('127.0.0.1'))
    certificate = (
        x509.CertificateBuilder(name, name, key.public_key(), 1)
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .sign(key, hashes.SHA256())
    )
    encoded_key = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    pem = folder / 'peer.pem'
    pem.write_bytes(encoded_key + certificate.public_bytes(serialization.Encoding.PEM))
    server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    server.load_cert_chain(pem)
    return TlsContexts(server, ssl.create_default_context(cafile=pem))


@pytest.mark.parametrize('is_trusted', [True, False])
def test_only_a_trusted_peer_is_reached_over_tls(tmp_path, is_trusted):
    async def scenario(mesh):
        tls = make_tls_contexts(tmp_path)
        owner = await mesh.add('b', tls=tls)
        if not is_trusted:
            tls = replace(tls, client=ssl.create_default_context())
        entry = await mesh.add('a', tls=tls)
        owner.on_request = lambda vm, request: owner.send_answer(vm, Answer(request.request_id))
        answer = await send(entry, 'b', make_request(entry))
        expected = None if is_trusted else ErrorKind.PEER_UNREACHABLE
        assert (answer.error and answer.error.kind) is expected

    run_in_mesh(scenario)


def test_request_before_the_owner_role_is_connected_is_rejected_as_not_run():
    async def scenario(mesh):
        entry = await mesh.add('a')
        await mesh.add('b')
        answer = await send(entry, 'b', make_request(entry))
        expected = RequestError(ErrorKind.NOT_OWNER, 'daemon is starting', 0.1)
        assert answer.error == expected

    run_in_mesh(scenario)
