import asyncio
import random

import pytest
from fake_platform import FakePlatform
from twisted.internet.asyncioreactor import AsyncioSelectorReactor

from cassiaseam.errors import ErrorKind
from cassiaseam.objectstore.breaker import BackoffSettings
from cassiaseam.objectstore.client import PlatformClient
from cassiaseam.objectstore.http import parse_json
from cassiaseam.objectstore.model import VmDocument
from cassiaseam.objectstore.terms import claim_term, record_primary
from cassiaseam.reducer.target_io import ClaimTerm, RecordPrimary, TermClaim

FAST = BackoffSettings(first_s=0.005, max_s=0.02, failures_to_open=20)


def run_with_platform(scenario, settings=FAST):
    async def run():
        fake = await FakePlatform().start()
        client = make_client(fake, settings)
        try:
            await asyncio.wait_for(scenario(fake, client), 10)
        finally:
            await client.close()
            await fake.stop()

    asyncio.run(run())


def make_client(fake, settings=FAST):
    reactor = AsyncioSelectorReactor(asyncio.get_running_loop())
    return PlatformClient(fake.url, reactor, random.Random(1), settings, timeout_s=0.15)


WRITE_CASES = [
    # faults of PUT, faults of GET, expected error, write took effect, PUTs
    ((), (), None, True, 1),
    (('lost_after',), (), None, True, 1),
    (('lost_before',), (), None, True, 2),
    (('slow',), (), None, True, 1),
    (('error',), (), None, True, 1),
    (('garbage',), (), ErrorKind.INTERNAL, True, 1),
    (('lost_after',), ('lost_before', 'error'), None, True, 1),
    (('lost_after',), ('error',) * 3, None, True, 2),
    (('lost_before',) * 3, (), ErrorKind.OUTCOME_UNKNOWN, False, 3),
    (
        ('lost_after', 'lost_after', 'lost_after'),
        ('error',) * 9,
        ErrorKind.OUTCOME_UNKNOWN,
        True,
        3,
    ),
]


@pytest.mark.parametrize(('puts', 'gets', 'expected', 'took_effect', 'count'), WRITE_CASES)
def test_lost_response_is_resolved_by_reading_back(puts, gets, expected, took_effect, count):
    async def scenario(fake, client):
        fake.faults['PUT'], fake.faults['GET'] = list(puts), list(gets)
        written = await client.write_object('config/1', {'a': 1}, 0)
        assert (written.is_err() and written.unwrap_err().kind) == (expected or False)
        assert ('config/1' in fake.objects) is took_effect
        assert sum(call.startswith('PUT') for call in fake.calls) == count
        assert fake.revision == int(took_effect)

    run_with_platform(scenario)


@pytest.mark.parametrize(
    ('fault', 'has_read_base', 'expected'),
    [
        # Another write was based on the same version.
        ('', True, ErrorKind.VERSION_CONFLICT),
        ('', False, ErrorKind.VERSION_CONFLICT),
        ('lost_before', True, ErrorKind.VERSION_CONFLICT),
        # This write took effect before the other one.
        ('lost_after', True, None),
        ('lost_after', False, None),
    ],
)
def test_conflicting_write_is_distinguished_from_own_write(fault, has_read_base, expected):
    async def scenario(fake, client):
        other = make_client(fake)
        await other.write_object('k', {'by': 'base'}, 0)
        if has_read_base:
            assert (await client.read_object('k')).unwrap().value == {'by': 'base'}
        if expected is ErrorKind.VERSION_CONFLICT and not fault:
            await other.write_object('k', {'by': 'other'}, 1)
        fake.faults['PUT'] = [fault]

        def write_between():
            fake.before_read = None
            found = fake.objects['k']
            ids = ['other', *found['value']['write_ids']]
            fake.put('k', {'by': 'other', 'write_ids': ids}, found['version'])

        if fault:
            fake.before_read = write_between
        written = await client.write_object('k', {'by': 'own'}, 1)
        assert (written.is_err() and written.unwrap_err().kind) == (expected or False)
        assert fake.objects['k']['value']['by'] == 'other'
        await other.close()

    run_with_platform(scenario)


def test_write_replaced_by_a_writer_without_history_is_not_reported_as_conflict():
    async def scenario(fake, client):
        await client.write_object('k', {'by': 'base'}, 0)
        fake.faults['PUT'] = ['lost_after']

        def write_between():
            fake.before_read = None
            fake.put('k', {'by': 'other'}, 2)

        fake.before_read = write_between
        written = await client.write_object('k', {'by': 'own'}, 1)
        assert written.unwrap_err().kind is ErrorKind.OUTCOME_UNKNOWN

    run_with_platform(scenario)


def test_write_ids_are_bounded_and_hidden_from_the_value():
    async def scenario(fake, client):
        version = 0
        for number in range(20):
            version = (await client.write_object('k', {'n': number}, version)).unwrap()
        assert len(fake.objects['k']['value']['write_ids']) == 8
        assert (await client.read_object('k')).unwrap().value == {'n': 19}
        assert [stored.value for stored in (await client.list_objects('')).unwrap()] == [{'n': 19}]

    run_with_platform(scenario)


def test_open_circuit_sends_no_calls_until_the_backoff_ends():
    async def scenario(fake, client):
        now = [100.0]
        client.caller.clock = lambda: now[0]
        await fake.stop()
        for _ in range(5):
            written = await client.write_object('k', {}, 0)
            assert written.unwrap_err().kind is ErrorKind.PLATFORM_UNAVAILABLE
            assert written.unwrap_err().retry_after_s > 0
        assert client.counters['calls'] == 2
        assert client.counters['refused'] >= 4
        now[0] += 1
        await client.read_object('k')
        assert client.counters['calls'] == 3

    run_with_platform(scenario, BackoffSettings(0.005, 0.02, failures_to_open=2))


def test_circuit_closes_after_the_platform_recovers():
    async def scenario(fake, client):
        fake.faults['GET'] = ['error'] * 2
        assert (await client.read_object('k')).is_err()
        await asyncio.sleep(0.05)
        assert (await client.read_object('k')).unwrap() is None
        assert client.caller.breaker.refused_until is None

    run_with_platform(scenario, BackoffSettings(0.005, 0.02, failures_to_open=2))


def test_cancelled_trial_call_does_not_keep_the_circuit_open():
    async def scenario(fake, client):
        now = [100.0]
        client.caller.clock = lambda: now[0]
        fake.faults['GET'] = ['error', 'slow']
        await client.read_object('k')
        now[0] += 10
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.02):
                await client.read_object('k')
        now[0] += 0.1
        assert (await client.read_object('k')).is_ok()

    run_with_platform(scenario, BackoffSettings(0.005, 5, failures_to_open=1))


def test_watch_returns_changes_after_a_revision_or_nothing():
    async def scenario(fake, client):
        watched = asyncio.create_task(client.watch_objects('config/', 0, 5))
        await client.write_object('config/3', {'a': 1}, 0)
        batch = (await watched).unwrap()
        assert [(found.key, found.version) for found in batch] == [('config/3', 1)]
        empty = (await client.watch_objects('config/', batch.revision, 0.01)).unwrap()
        assert (empty.revision, list(empty)) == (1, [])

    run_with_platform(scenario)


@pytest.mark.parametrize('host', ['localhost', '127.0.0.1'])
def test_vm_list_rejects_host_names(host):
    async def scenario(fake, client):
        entry = {'name': 'v1', 'place': 'p', 'host': host, 'peer_port': 5, 'state': 'leaving'}
        fake.vms.append(entry)
        listed = await client.list_vms()
        assert listed.is_ok() is (host == '127.0.0.1')
        own = VmDocument(name='v2', place='p', host='::1', peer_port=6)
        assert (await client.register_vm(own)).is_ok()
        assert fake.vms[-1]['name'] == 'v2'

    run_with_platform(scenario)


CLAIM_CASES = [
    # recorded (term, promoter), faults of PUT, outcome, term in the result
    (None, (), TermClaim.CLAIMED, 3),
    ((2, 'v9'), (), TermClaim.CLAIMED, 3),
    ((3, 'v1'), (), TermClaim.CLAIMED, 3),
    ((3, 'v9'), (), TermClaim.CONFLICT, 3),
    ((7, 'v9'), (), TermClaim.CONFLICT, 7),
    ((2, 'v9'), ('lost_after',), TermClaim.CLAIMED, 3),
    ((2, 'v9'), ('lost_before',), TermClaim.CLAIMED, 3),
    ((2, 'v9'), ('slow', 'slow'), TermClaim.CLAIMED, 3),
    ((2, 'v9'), ('lost_before',) * 9, TermClaim.UNAVAILABLE, 0),
]


@pytest.mark.parametrize(('recorded', 'puts', 'outcome', 'term'), CLAIM_CASES)
def test_only_one_promoter_claims_a_term(recorded, puts, outcome, term):
    async def scenario(fake, client):
        if recorded:
            value = {'term': recorded[0], 'promoter': recorded[1], 'primary': 't1'}
            fake.put('groups/orders', value, 0)
        fake.faults['PUT'] = list(puts)
        answer = await claim_term(client, ClaimTerm('orders', 3, 'v1', 2))
        assert (answer.outcome, answer.recorded_term) == (outcome, term)

    run_with_platform(scenario)


def test_claim_ends_at_its_timeout():
    async def scenario(fake, client):
        fake.faults['GET'] = ['slow'] * 9
        answer = await claim_term(client, ClaimTerm('orders', 3, 'v1', 0.05))
        assert answer.outcome is TermClaim.UNAVAILABLE

    run_with_platform(scenario)


@pytest.mark.parametrize(('term', 'recorded'), [(3, True), (4, True), (2, False)])
def test_primary_of_a_stale_term_is_not_recorded(term, recorded):
    async def scenario(fake, client):
        await claim_term(client, ClaimTerm('orders', 3, 'v1', 2))
        assert await record_primary(client, RecordPrimary('orders', term, 't2'), 'v2') is recorded
        value = (await client.read_object('groups/orders')).unwrap().value
        assert value['primary'] == ('t2' if recorded else '')
        assert value['term'] == max(term, 3)

    run_with_platform(scenario)


@pytest.mark.parametrize(
    'content', [b'', b'\xff', b'[' * 100_000, b'{"a":' * 100_000, b'9' * 5000], ids=range(5)
)
def test_content_that_cannot_be_decoded_is_none(content):
    # RecursionError counted as a failure of the platform, which opens the circuit breaker.
    assert parse_json(content) is None
