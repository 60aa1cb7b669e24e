"""Tests of plans with the platform client and the stand-in platform."""

import asyncio
import random

import pytest
from operations_fakes import build_config, put_database
from twisted.internet.asyncioreactor import AsyncioSelectorReactor

from cassiaseam.configuration.document import find_shard, format_shard_key
from cassiaseam.errors import ErrorKind
from cassiaseam.objectstore.breaker import BackoffSettings
from cassiaseam.objectstore.client import PlatformClient
from cassiaseam.objectstore.http import HttpCall
from cassiaseam.plans.intents import parse_intent
from cassiaseam.plans.model import PlanState
from cassiaseam.plans.store import PlanStore
from cassiaseam_standin.group_launcher import start_platform

NOW = 1_800_000_000.0
LIMIT = {'kind': 'set_limits', 'database': 'orders', 'queue_limit': 9}


def run_on_platform(scenario):
    async def run():
        process = await start_platform()
        reactor = AsyncioSelectorReactor(asyncio.get_running_loop())
        url = f'http://127.0.0.1:{process.port}'
        backoff = BackoffSettings(0.01, 0.05, failures_to_open=500)
        clients = [
            PlatformClient(url, reactor, random.Random(seed), backoff, timeout_s=5)
            for seed in (1, 2)
        ]
        try:
            await put_database(clients[0], build_config())
            await scenario(*clients)
        finally:
            for client in clients:
                await client.close()
            process.kill()

    asyncio.run(run())


async def set_faults(client, **faults):
    await client.caller.run(HttpCall('PUT', '/faults', faults))


@pytest.mark.parametrize('lost', [0, 1, 3])
def test_concurrent_confirmations_on_two_daemons_with_lost_responses(lost):
    async def scenario(one, two):
        stores = [PlanStore(client) for client in (one, two)]
        plans = []
        for number, store in enumerate(stores):
            intent = parse_intent({**LIMIT, 'queue_limit': number + 1}).unwrap()
            plans.append((await store.create_plan(intent, f'team-{number}', NOW)).unwrap())
        await set_faults(one, lose_next_write_answers=lost)
        outcomes = await asyncio.gather(
            *(
                store.confirm_plan(plan.plan_id, f'team-{number}', NOW)
                for number, (store, plan) in enumerate(zip(stores, plans, strict=True))
            )
        )
        (winner,) = [number for number, outcome in enumerate(outcomes) if outcome.is_ok()]
        loser = outcomes[1 - winner].unwrap_err()
        assert loser.kind is ErrorKind.VERSION_CONFLICT
        assert f'by team-{winner}' in loser.message
        shard = (await stores[0].read_shard(find_shard('orders'))).unwrap()
        assert shard.databases['orders'].queue_limit == winner + 1
        listed = (await stores[1].list_plans(NOW)).unwrap()
        states = {plan.plan_id: plan.state for plan in listed}
        assert states[plans[winner].plan_id] is PlanState.CONFIRMED
        assert states[plans[1 - winner].plan_id] is PlanState.REFUSED

    run_on_platform(scenario)


def test_outage_refuses_plans_and_changes_nothing():
    async def scenario(one, two):
        store = PlanStore(one)
        intent = parse_intent(LIMIT).unwrap()
        plan = (await store.create_plan(intent, 'team', NOW)).unwrap()
        before = (await two.read_object(format_shard_key(find_shard('orders')))).unwrap()
        await set_faults(one, down=True)
        for refused in (
            await store.create_plan(intent, 'team', NOW),
            await store.confirm_plan(plan.plan_id, 'team', NOW),
        ):
            assert refused.unwrap_err().kind is ErrorKind.PLATFORM_UNAVAILABLE
        await set_faults(one, down=False)
        assert (await two.read_object(format_shard_key(find_shard('orders')))).unwrap() == before
        assert (await store.confirm_plan(plan.plan_id, 'team', NOW)).is_ok()

    run_on_platform(scenario)
