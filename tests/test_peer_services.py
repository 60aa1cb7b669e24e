import asyncio
import random
from dataclasses import replace

from fake_platform import FakePlatform
from twisted.internet.asyncioreactor import AsyncioSelectorReactor

from cassiaseam.configuration.document import encode_shard_document, find_shard, format_shard_key
from cassiaseam.configuration.model import DatabaseConfig, OwnershipChanged, TargetConfig
from cassiaseam.configuration.state import find_database, read_versions_in_force
from cassiaseam.daemon.node import Node
from cassiaseam.errors import ErrorKind
from cassiaseam.messages import Answer, Request, RequestKind, ResultSet
from cassiaseam.peers.services import PeerServices, PeerSettings
from cassiaseam.reducer import registry
from cassiaseam.reducer.common import AnswerRequest, EntryLost, RequestArrived, RequestCancelled
from cassiaseam.reducer.node_state import NodeState
from cassiaseam.reducer.target_io import ClaimTerm, TermClaim, TermClaimAnswered

ORDERS = DatabaseConfig('orders', (TargetConfig('t1', '127.0.0.1', 3306, 'p0'),))
KEY = format_shard_key(find_shard('orders'))


class Daemons:
    """Daemons with real sockets; a recorder replaces their owner role."""

    def __init__(self, platform):
        self.platform = platform
        self.reactor = AsyncioSelectorReactor(asyncio.get_running_loop())
        self.running = {}
        self.seen = []

    def record(self, state, event, now):
        self.seen.append((state.vm, event))
        if isinstance(event, RequestArrived):
            request = event.request
            result_set = ResultSet(('vm',), ((state.vm,),))
            return [AnswerRequest(request.entry, Answer(request.request_id, result_set))]
        return []

    def list_recorded(self, event_type):
        return [(vm, event) for vm, event in self.seen if isinstance(event, event_type)]

    async def start(self, vm, place='p0', seeds=()):
        node = Node(NodeState(vm, place, random.Random(vm)))
        settings = PeerSettings(vm, place, '127.0.0.1', 0, self.platform.url, seeds=seeds)
        services = PeerServices(node, settings, self.reactor)
        await services.start()
        self.running[vm] = services
        return services

    async def stop(self):
        for services in self.running.values():
            await services.stop()

    def find_versions(self):
        return [read_versions_in_force(services.node.state) for services in self.running.values()]


def run_with_daemons(scenario, monkeypatch):
    async def run():
        platform = await FakePlatform().start()
        daemons = Daemons(platform)
        recorded = (
            OwnershipChanged,
            RequestArrived,
            EntryLost,
            RequestCancelled,
            TermClaimAnswered,
        )
        for event_type in recorded:
            monkeypatch.setitem(registry.HANDLERS, event_type, [daemons.record])
        try:
            await asyncio.wait_for(scenario(platform, daemons), 30)
        finally:
            await daemons.stop()
            await platform.stop()

    asyncio.run(run())


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.02)


def test_daemons_discover_each_other_and_serve_a_database_from_the_store(monkeypatch):
    async def scenario(platform, daemons):
        platform.put(KEY, encode_shard_document((ORDERS,)), 0)
        for vm in ('a', 'b', 'c'):
            await daemons.start(vm)
        await wait_until(lambda: all(found == {KEY: 1} for found in daemons.find_versions()))
        states = [services.node.state for services in daemons.running.values()]
        await wait_until(lambda: all(len(state.membership.members) == 3 for state in states))
        owners = [state.vm for state in states if state.membership.ranking.owned]
        assert len(owners) == 1
        entry = daemons.running[next(vm for vm in daemons.running if vm not in owners)]
        now = entry.node.clock()
        request = Request(
            'r1', entry.settings.vm, 'till', 's1', 'orders', RequestKind.READ, deadline=now + 5
        )
        answer = await entry.transport.send_request(owners[0], request, now)
        assert answer.result_set.rows == ((owners[0],),)
        # Daemons without a watch receive the change from the two that watch the store.
        changed = replace(ORDERS, queue_limit=7)
        platform.put(KEY, encode_shard_document((changed,)), 1)
        await wait_until(lambda: all(found == {KEY: 2} for found in daemons.find_versions()))
        assert {find_database(state, 'orders').queue_limit for state in states} == {7}

    run_with_daemons(scenario, monkeypatch)


def test_database_moves_when_its_owner_leaves_or_dies(monkeypatch):
    async def scenario(platform, daemons):
        platform.put(KEY, encode_shard_document((ORDERS,)), 0)
        for vm in ('a', 'b', 'c'):
            await daemons.start(vm)
        states = {vm: services.node.state for vm, services in daemons.running.items()}
        await wait_until(lambda: all(len(s.membership.members) == 3 for s in states.values()))
        await wait_until(lambda: all(found == {KEY: 1} for found in daemons.find_versions()))

        def find_owners():
            return [vm for vm, state in states.items() if state.membership.ranking.owned]

        await wait_until(lambda: len(find_owners()) == 1)
        first = find_owners()[0]
        await daemons.running[first].announce_leaving()
        await wait_until(lambda: len(find_owners()) == 1 and find_owners() != [first])
        second = find_owners()[0]
        # Stopped without announcing its departure, as when the process is killed.
        killed = daemons.running.pop(second)
        states.pop(second)
        await killed.loops.stop()
        await killed.transport.stop()
        killed.udp_port.stopListening()
        await wait_until(lambda: find_owners() not in ([], [first]))

    run_with_daemons(scenario, monkeypatch)


def test_daemon_starts_and_gets_its_configuration_during_a_platform_outage(monkeypatch):
    async def scenario(platform, daemons):
        platform.put(KEY, encode_shard_document((ORDERS,)), 0)
        first = await daemons.start('a')
        await wait_until(lambda: daemons.find_versions() == [{KEY: 1}])
        await platform.stop()
        second = await daemons.start('b', seeds=(('127.0.0.1', first.port),))
        await wait_until(lambda: daemons.find_versions() == [{KEY: 1}, {KEY: 1}])
        assert second.node.state.membership.members.keys() == {'a', 'b'}

    run_with_daemons(scenario, monkeypatch)


def test_lost_entry_and_cancelled_request_are_reported_to_the_owner_role(monkeypatch):
    async def scenario(platform, daemons):
        entry, owner = await daemons.start('a'), await daemons.start('b')
        monkeypatch.setitem(registry.HANDLERS, RequestArrived, [lambda state, event, now: []])
        await wait_until(lambda: entry.resolve_address('b'))
        now = entry.node.clock()
        request = Request('r1', 'a', 'till', 's1', 'orders', RequestKind.WRITE, deadline=now + 0.1)
        answer = await entry.transport.send_request('b', request, now)
        assert answer.error.kind is ErrorKind.OUTCOME_UNKNOWN
        cancelled = ('b', RequestCancelled('orders', 'r1'))
        await wait_until(lambda: cancelled in daemons.seen)
        await entry.transport.stop()
        await wait_until(lambda: ('b', EntryLost('a')) in daemons.seen)
        assert owner.transport.counters['unhandled_messages'] == 0

    run_with_daemons(scenario, monkeypatch)


def test_term_claim_result_is_dispatched_as_an_event(monkeypatch):
    async def scenario(platform, daemons):
        services = await daemons.start('a')
        effect = ClaimTerm('orders', 2, 'a', 2)
        monkeypatch.setitem(registry.HANDLERS, ClaimTerm, [lambda state, event, now: [event]])
        services.node.dispatch(effect)
        await wait_until(lambda: daemons.list_recorded(TermClaimAnswered))
        answered = daemons.list_recorded(TermClaimAnswered)[0][1]
        assert (answered.outcome, answered.recorded_term) == (TermClaim.CLAIMED, 2)
        assert platform.objects['groups/orders']['value']['promoter'] == 'a'

    run_with_daemons(scenario, monkeypatch)


def test_invalid_shard_does_not_replace_the_version_in_force(monkeypatch):
    async def scenario(platform, daemons):
        platform.put(KEY, encode_shard_document((ORDERS,)), 0)
        services = await daemons.start('a')
        await wait_until(lambda: daemons.find_versions() == [{KEY: 1}])
        platform.put(KEY, {'databases': 'none'}, 1)
        rejected = services.node.state.configuration.rejected
        await wait_until(lambda: rejected == {find_shard('orders'): 2})
        assert daemons.find_versions() == [{KEY: 1}]

    run_with_daemons(scenario, monkeypatch)


def test_restarted_daemon_is_listed_as_live_again(monkeypatch):
    # Guards against a restarted daemon that stays listed as leaving: once every daemon had been
    # restarted, none owned any database.
    async def scenario(platform, daemons):
        entry = {'place': 'p0', 'host': '127.0.0.1', 'peer_port': 1, 'admin_port': 0}
        platform.vms = [{**entry, 'name': 'vm-1', 'state': 'leaving'}]
        services = await daemons.start('vm-1')
        while not any(vm['state'] == 'live' for vm in platform.vms):
            await asyncio.sleep(0.02)
        membership = services.node.state.membership
        while membership.listed_leaving or not membership.is_ready:
            await asyncio.sleep(0.02)
        assert [vm['name'] for vm in platform.vms] == ['vm-1']

    run_with_daemons(scenario, monkeypatch)
