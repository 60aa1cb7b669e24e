"""Soak faults that target the handover of the promotion lease, and the checks of their results."""

import asyncio
import json
import math
import random

import pytest

from cassiaseam.platform.records import DUTY_KIND
from cassiaseam_soak import promotion_holds
from cassiaseam_soak.callers import Ledger
from cassiaseam_soak.faults import FAULTS, plan_faults
from cassiaseam_soak.handover import HANDOVER_FAULTS, plan_handover_faults, wait_for_lease_claim
from cassiaseam_soak.installation import GROUP, Daemon, Installation
from cassiaseam_soak.promotion_holds import PromotionHolds
from cassiaseam_soak.proxy import HoldingProxy, LinkFault
from cassiaseam_soak.run import check_fencing_tokens, check_former_primaries
from cassiaseam_standin.line_group import LineGroup
from cassiaseam_standin.line_store import PromotionCall
from cassiaseam_standin.line_target import Connection

# Start times in seconds and kinds of the faults of a regression seed of `test_soak`.
PLAN_OF_202 = [
    (1.98, 'store_down'),
    (3.139, 'store_link'),
    (3.639, 'daemon_paused'),
    (4.149, 'target_leaves'),
    (4.224, 'store_down'),
]


def test_handover_faults_do_not_change_faults_of_known_seeds():
    # Guards against a change of the draws that makes regression seeds replay different faults.
    planned = [(round(fault.at, 3), fault.kind) for fault in plan_faults(random.Random(202), 1, 6)]
    assert planned == PLAN_OF_202
    assert not set(FAULTS) & set(HANDOVER_FAULTS)


def test_handover_faults_are_reproducible_and_overlap():
    first, second = (plan_handover_faults(random.Random(5), 1) for _ in range(2))
    assert first == second
    assert any(
        later.at < earlier.at + earlier.duration_s
        for earlier, later in zip(first, first[1:], strict=False)
    )


@pytest.mark.parametrize(
    ('calls', 'violations'),
    [
        ([('vm-0', 5), ('vm-0', 5), ('vm-1', 6)], 0),
        # A call of the former holder arrives after a call of its successor.
        ([('vm-0', 5), ('vm-1', 6), ('vm-0', 5)], 1),
        ([('vm-0', 5), ('vm-1', 5)], 1),
    ],
)
def test_fencing_tokens_are_checked_in_order_of_arrival(calls, violations, tmp_path):
    installation, ledger = Installation(tmp_path, 0), Ledger()
    installation.store.promotions = [
        # Calls are processed in reverse order of arrival.
        PromotionCall(at, GROUP, 'shop-1', holder, token, processed_at=9 - at)
        for at, (holder, token) in enumerate(calls)
    ]
    check_fencing_tokens(installation, ledger)
    assert len(ledger.violations) == violations


@pytest.mark.parametrize(
    ('writer', 'is_acknowledged', 'violations'),
    [
        ('shop-0', True, 1),
        # The write was not acknowledged.
        ('shop-0', False, 0),
        # The promoted target commits.
        ('shop-1', True, 0),
    ],
)
def test_acknowledged_write_at_a_former_primary_is_a_violation(
    writer, is_acknowledged, violations, tmp_path
):
    async def run():
        installation, ledger = Installation(tmp_path, 0), Ledger()
        targets = installation.group.targets
        for target in targets.values():
            await target.start()
        installation.group.promote(targets['shop-1'])
        targets[writer].commit([('item', 'item')])
        if is_acknowledged:
            ledger.acknowledged['item'] = 0
        check_former_primaries(installation, ledger)
        for target in targets.values():
            await target.crash()
        return ledger.violations

    assert len(asyncio.run(run())) == violations


def claim_lease(store, vm):
    """Write a lease claim of a VM."""
    store.put(DUTY_KIND, 'promotion', {'holder': vm, 'nonce': 'a', 'released': False})


async def send_promotion_call(port):
    """Send a promotion call of vm-0 on a new connection, and return its writer."""
    body = json.dumps({'service': GROUP, 'id': 'shop-1'}).encode()
    _, writer = await asyncio.open_connection('127.0.0.1', port)
    headers = f'Duty-Holder: vm-0\r\nFencing-Token: 7\r\nContent-Length: {len(body)}\r\n'
    writer.write(f'POST /promotion HTTP/1.1\r\n{headers}\r\n'.encode() + body)
    return writer


@pytest.mark.parametrize(
    ('claim_age_s', 'kind', 'hold_s', 'end', 'arrives'),
    [
        # Seed 3034: the proxy reset the connections during a silence, and forwarded their calls
        # after it, when another daemon had promoted.
        (0, LinkFault.SILENCE, 2.2, 'reset', False),
        # The caller is killed or paused, so that it does not end the call itself.
        (0, LinkFault.SILENCE, 2.2, 'close', False),
        (0, LinkFault.SILENCE, 2.2, 'wait', False),
        (0, LinkFault.DELAY, 2.2, 'wait', False),
        (0, LinkFault.DELAY, 2.2, 'close', False),
        # Calls that arrive late, but before a takeover, must stay among the faults.
        (0, LinkFault.SILENCE, 0.4, 'wait', True),
        (0, LinkFault.SILENCE, 0.4, 'reset', True),
        (0, LinkFault.DELAY, 0.4, 'close', True),
        # The check of the fencing tokens must see calls that a daemon sends too late, or that it
        # sends without a claim.
        (1.7, LinkFault.DELAY, 0.2, 'wait', True),
        (None, LinkFault.SILENCE, 2.2, 'wait', True),
        (None, LinkFault.DELAY, 2.2, 'wait', True),
    ],
)
def test_link_faults_hold_a_call_until_the_takeover_at_most(
    claim_age_s, kind, hold_s, end, arrives, monkeypatch
):
    monkeypatch.setattr(promotion_holds, 'TAKEOVER_S', 1.5)

    async def run():
        installation = Installation('', 0, separate_promotions=True)
        store = installation.store
        await store.start()
        proxy = await installation.add_promotion_proxy('vm-0')
        if claim_age_s is not None:
            claim_lease(store, 'vm-0')
            await asyncio.sleep(claim_age_s)
        proxy.inject(kind, '', hold_s, hold_s)
        writer = await send_promotion_call(proxy.port)
        await asyncio.sleep(0.1)
        if end == 'reset':
            proxy.inject(LinkFault.RESET, '', 0)
        elif end == 'close':
            writer.close()
        await asyncio.sleep(hold_s + 0.4)
        for _ in range(20 if arrives else 0):
            # A busy machine may deliver the call later.
            await asyncio.sleep(0 if store.promotions else 0.1)
        writer.close()
        proxy.stop()
        await store.stop()
        # Lets the closed connections end before the event loop does.
        await asyncio.sleep(0.05)
        return [call.token for call in store.promotions]

    assert asyncio.run(run()) == ([7] if arrives else [])


def test_delay_of_a_reused_connection_holds_a_call_until_the_takeover_at_most(monkeypatch):
    # The limit covers the first request of a connection only. The daemons keep the connection
    # after an answer, and a later call on it is delivered after the delay, whenever that is.
    monkeypatch.setattr(promotion_holds, 'TAKEOVER_S', 1.5)

    async def run():
        installation = Installation('', 0, separate_promotions=True)
        store = installation.store
        await store.start()
        proxy = await installation.add_promotion_proxy('vm-0')
        claim_lease(store, 'vm-0')
        writer = await send_promotion_call(proxy.port)
        await asyncio.sleep(0.3)
        proxy.inject(LinkFault.DELAY, '', 2.2, 2.2)
        body = json.dumps({'service': GROUP, 'id': 'shop-1'}).encode()
        headers = f'Duty-Holder: vm-0\r\nFencing-Token: 8\r\nContent-Length: {len(body)}\r\n'
        writer.write(f'POST /promotion HTTP/1.1\r\n{headers}\r\n'.encode() + body)
        await asyncio.sleep(2.8)
        writer.close()
        proxy.stop()
        await store.stop()
        # Lets the closed connections end before the event loop does.
        await asyncio.sleep(0.05)
        return [call.token for call in store.promotions]

    assert asyncio.run(run()) == [7]


@pytest.mark.parametrize(
    ('vm', 'now', 'limit'),
    [
        ('vm-0', 10.0, 13.0),
        ('vm-0', 12.0, 13.5),
        ('vm-0', 13.6, math.inf),
        ('vm-1', 10.0, math.inf),
    ],
)
def test_hold_limit_is_the_earlier_of_takeover_and_delivery(vm, now, limit):
    # Guards against faults that exceed the rules of the lease, or that spare a daemon's error.
    holds = PromotionHolds()
    holds.claimed_at['vm-0'] = 10.0
    assert holds.find_limit(vm, now) == limit


def test_only_claims_start_the_hold_limit():
    # Guards against a limit that a release, or another object of the store, moves.
    async def act(store, group):
        holds = PromotionHolds()
        store.write_observers.append(holds.observe_write)
        store.put('config', 'main', {})
        store.put(DUTY_KIND, 'promotion', {'holder': 'vm-1', 'nonce': 'a', 'released': True})
        claim_lease(store, 'vm-0')
        return list(holds.claimed_at)

    assert run_with_store(act) == ['vm-0']


async def call_store(store, method, path, document, headers=''):
    """Return the HTTP status of a call to the store, or 'nothing' on timeout."""
    body = json.dumps(document).encode()
    reader, writer = await asyncio.open_connection('127.0.0.1', store.port)
    head = f'{method} {path} HTTP/1.1\r\n{headers}Content-Length: {len(body)}\r\n\r\n'
    writer.write(head.encode() + body)
    try:
        async with asyncio.timeout(0.3):
            return (await reader.readline()).split()[1].decode()
    except TimeoutError:
        return 'nothing'
    finally:
        writer.close()


def run_with_store(act):
    """Run `act` with a running store and its group, and return its result."""

    async def run():
        installation = Installation('', 0)
        group, store = installation.group, installation.store
        await store.start()
        for target in group.targets.values():
            await target.start()
        try:
            return await act(store, group)
        finally:
            for target in group.targets.values():
                await target.crash()
            await store.stop()

    return asyncio.run(run())


@pytest.mark.parametrize(
    ('delay_s', 'unanswered', 'answer', 'carried_out'),
    [
        (0, False, '200', True),
        (0.1, False, '200', True),
        (0.1, True, 'nothing', True),
        # The caller disconnects before the call is processed.
        (0.4, False, 'nothing', True),
        (100, False, 'nothing', False),
    ],
)
def test_promotion_call_is_recorded_on_arrival(delay_s, unanswered, answer, carried_out):
    async def act(store, group):
        store.promotion_delay_s, store.promotions_unanswered = delay_s, unanswered
        headers = 'Duty-Holder: vm-0\r\nFencing-Token: 7\r\n'
        document = {'service': GROUP, 'id': 'shop-1'}
        called = asyncio.ensure_future(call_store(store, 'POST', '/promotion', document, headers))
        await asyncio.sleep(0.05)
        recorded = [(call.holder, call.token) for call in store.promotions]
        answered = await called
        await asyncio.sleep(0.3)
        return recorded, answered, bool(group.term_starts)

    assert run_with_store(act) == ([('vm-0', 7)], answer, carried_out)


@pytest.mark.parametrize(('is_changed_before', 'expected'), [(False, 'late'), (True, 'other')])
def test_delayed_conditional_write_checks_its_revision_when_applied(is_changed_before, expected):
    async def act(store, group):
        revision = store.put('kind', 'name', 'first')['meta']['revision']
        store.write_delay_s = 0.1
        document = {'meta': {'name': 'name', 'revision': revision}, 'spec': 'late'}
        called = asyncio.ensure_future(call_store(store, 'PUT', '/objects/kind/name', document))
        await asyncio.sleep(0.05)
        assert store.objects['kind']['name']['spec'] == 'first'
        if is_changed_before:
            store.put('kind', 'name', 'other')
        return await called, store.objects['kind']['name']['spec']

    assert run_with_store(act) == ('nothing', expected)


def test_held_connection_completes_after_the_hold():
    # Guards against a hold that lets connections through, or that breaks them for good.
    def answer(_, writer):
        writer.write(b'x')
        writer.close()

    async def run():
        server = await asyncio.start_server(answer, '127.0.0.1', 0)
        proxy = HoldingProxy(lambda: server.sockets[0].getsockname()[1])
        await proxy.start()
        hold = asyncio.ensure_future(proxy.hold_connections(0.3))
        # A second hold during the first has no effect.
        await asyncio.sleep(0.05)
        await proxy.hold_connections(0.3)
        started = asyncio.get_running_loop().time()
        reader, writer = await asyncio.open_connection('127.0.0.1', proxy.port)
        took_s = asyncio.get_running_loop().time() - started
        received = await reader.read(1)
        writer.close()
        await hold
        proxy.stop()
        server.close()
        return took_s, received

    took_s, received = asyncio.run(run())
    assert took_s > 0.25
    assert received == b'x'


def test_fault_reaches_the_lease_holder_before_its_claim_is_answered():
    # Guards against pauses that begin only after the holder has received the answer to its claim.
    async def act(store, group):
        installation = Installation('', 0)
        installation.store = store
        installation.daemons = [Daemon(f'vm-{index}', '', 0, 0, '') for index in range(2)]
        answers = []
        hits = []
        caught = asyncio.ensure_future(
            wait_for_lease_claim(
                installation, lambda daemon: hits.append((daemon.name, len(answers)))
            )
        )
        await asyncio.sleep(0.01)
        spec = {'holder': 'vm-1', 'nonce': 'a', 'released': False}
        document = {'meta': {'name': 'promotion'}, 'spec': spec}
        answers.append(await call_store(store, 'POST', '/objects/cassiaseam-duties', document))
        return hits, (await caught).name

    assert run_with_store(act) == ([('vm-1', 0)], 'vm-1')


def test_read_rechecks_the_minimum_position_after_step_down():
    # The minimum position was checked only before the read waited for a slot. The read then ran on
    # a log that had been rolled back, and seed 6112 reported a stale read by the daemon.
    async def read_while_stepping_down():
        group = LineGroup(GROUP, ('north',))
        target = next(iter(group.targets.values()))
        target.commit([('item', 'written')])
        reading = asyncio.ensure_future(target.run(Connection(None), 'r1', 'AFTER 1.1 READ item'))
        await asyncio.sleep(0)
        target.step_down()
        return await reading

    assert asyncio.run(read_while_stepping_down())[0].startswith('ERROR LAGGING')
