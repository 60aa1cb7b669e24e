import asyncio
import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st
from operations_fakes import FakeStore, build_config, put_database, skip_sleep

from cassiaseam.configuration.document import find_shard, format_shard_key
from cassiaseam.errors import ErrorKind
from cassiaseam.plans.intents import parse_intent
from cassiaseam.plans.model import PLAN_LIFETIME_S, PlanState
from cassiaseam.plans.store import PlanStore

NOW = 1_800_000_000.0
SHARD = find_shard('orders')
DRAIN = {'kind': 'drain_target', 'database': 'orders', 'target': 't1'}
LIMIT = {'kind': 'set_limits', 'database': 'orders', 'queue_limit': 9}


class PlanHarness:
    def __init__(self):
        self.store = FakeStore()
        self.plans = PlanStore(self.store, pause=skip_sleep)

    async def create(self, document=DRAIN, operator='team-a', now=NOW):
        intent = parse_intent(document).unwrap()
        return (await self.plans.create_plan(intent, operator, now)).unwrap()

    async def confirm(self, plan, operator='team-a', now=NOW + 1):
        return await self.plans.confirm_plan(plan.plan_id, operator, now)


def run_bench(scenario):
    async def run():
        bench = PlanHarness()
        await put_database(bench.store, build_config())
        await scenario(bench)

    asyncio.run(run())


def test_second_confirmation_is_idempotent():
    async def scenario(bench):
        plan = await bench.create()
        first = (await bench.confirm(plan)).unwrap()
        second = (await bench.confirm(plan, 'team-b', NOW + PLAN_LIFETIME_S)).unwrap()
        assert (first.repeated, second.repeated) == (False, True)
        assert second.operator == 'team-a'
        assert second.shard_version == first.shard_version
        assert bench.store.list_confirmed(SHARD) == [plan.plan_id]

    run_bench(scenario)


def test_confirmed_plan_is_found_in_the_history_after_later_plans():
    async def scenario(bench):
        plan = await bench.create()
        # The write that marks the plan as confirmed, after the shard write, is lost.
        bench.store.write_faults = ['ok', 'ok', 'lost_before']
        assert (await bench.confirm(plan)).is_ok()
        assert (await bench.confirm(await bench.create(LIMIT))).is_ok()
        assert (await bench.confirm(plan)).unwrap().repeated
        assert len(bench.store.list_confirmed(SHARD)) == 2

    run_bench(scenario)


@pytest.mark.parametrize('same_plan', [True, False])
def test_concurrent_confirmations_apply_exactly_one_plan(same_plan):
    async def scenario(bench):
        one = await bench.create()
        two = one if same_plan else await bench.create(LIMIT, 'team-b')
        outcomes = await asyncio.gather(bench.confirm(one, 'team-a'), bench.confirm(two, 'team-b'))
        assert len(bench.store.list_confirmed(SHARD)) == 1
        if same_plan:
            assert len({outcome.unwrap().operator for outcome in outcomes}) == 1
            return
        (loser,) = [outcome.unwrap_err() for outcome in outcomes if outcome.is_err()]
        assert loser.kind is ErrorKind.VERSION_CONFLICT
        assert 'by team-a at 2027-01-15T08:00:01+00:00' in loser.message
        assert "orders t1 state: 'active' -> 'draining'" in loser.message
        shown = (await bench.plans.read_plan(two.plan_id)).unwrap().plan
        assert shown.state is PlanState.REFUSED

    run_bench(scenario)


@pytest.mark.parametrize('lost', ['lost_before', 'lost_after'])
@pytest.mark.parametrize('write', [0, 1, 2])
def test_lost_response_is_resolved_by_reading_back(lost, write):
    async def scenario(bench):
        plan = await bench.create()
        bench.store.write_faults = ['ok'] * write + [lost]
        assert (await bench.confirm(plan)).unwrap().operator == 'team-a'
        assert bench.store.list_confirmed(SHARD) == [plan.plan_id]

    run_bench(scenario)


def test_unresolved_write_reports_outcome_unknown_and_can_be_retried():
    async def scenario(bench):
        plan = await bench.create()
        bench.store.write_faults = ['ok', 'lost_after', 'down', 'down']
        bench.store.read_faults = ['ok', 'ok', 'down', 'down', 'down']
        error = (await bench.confirm(plan)).unwrap_err()
        assert error.kind is ErrorKind.OUTCOME_UNKNOWN
        assert (await bench.confirm(plan)).unwrap().repeated
        assert bench.store.list_confirmed(SHARD) == [plan.plan_id]

    run_bench(scenario)


def test_platform_outage_refuses_plans_and_confirmations():
    async def scenario(bench):
        plan = await bench.create()
        bench.store.is_down = True
        made = await bench.plans.create_plan(parse_intent(LIMIT).unwrap(), 'team-a', NOW)
        for outcome in (made, await bench.confirm(plan)):
            assert outcome.unwrap_err().kind is ErrorKind.PLATFORM_UNAVAILABLE

    run_bench(scenario)


def test_expired_plan_is_refused_unless_its_confirmation_had_begun():
    async def scenario(bench):
        plan = await bench.create()
        late = NOW + PLAN_LIFETIME_S
        error = (await bench.confirm(plan, now=late)).unwrap_err()
        assert error.kind is ErrorKind.PLAN_EXPIRED
        bench.store.write_faults = ['ok', 'down', 'down', 'down']
        assert (await bench.confirm(plan)).unwrap_err().kind is ErrorKind.OUTCOME_UNKNOWN
        assert (await bench.confirm(plan, now=late)).is_ok()

    run_bench(scenario)


def test_cancelled_plan_cannot_take_effect_even_when_a_confirmation_had_read_it():
    async def scenario(bench):
        plan = await bench.create()

        async def cancel_first(key, value):
            bench.store.before_write = None
            assert (await bench.plans.cancel_plan(plan.plan_id, 'team-b', NOW)).is_ok()

        bench.store.before_write = cancel_first
        error = (await bench.confirm(plan)).unwrap_err()
        assert error.kind is ErrorKind.PLAN_EXPIRED
        assert 'cancelled by team-b' in error.message
        assert bench.store.list_confirmed(SHARD) == []
        assert (await bench.plans.cancel_plan(plan.plan_id, 'team-b', NOW)).is_ok()

    run_bench(scenario)


def test_plan_in_force_or_being_confirmed_is_not_cancelled():
    async def scenario(bench):
        plan = await bench.create()
        bench.store.write_faults = ['ok', 'down', 'down', 'down']
        await bench.confirm(plan)
        begun = await bench.plans.cancel_plan(plan.plan_id, 'team-b', NOW)
        assert 'team-a is confirming' in begun.unwrap_err().message
        assert (await bench.confirm(plan)).is_ok()
        done = await bench.plans.cancel_plan(plan.plan_id, 'team-b', NOW)
        assert 'confirmed by team-a' in done.unwrap_err().message

    run_bench(scenario)


def test_static_databases_are_kept_when_the_first_plan_creates_their_shard():
    async def scenario():
        store = FakeStore()
        plans = PlanStore(store, pause=skip_sleep, static=(build_config(),))
        intent = parse_intent(LIMIT).unwrap()
        plan = (await plans.create_plan(intent, 'team-a', NOW)).unwrap()
        assert (await plans.confirm_plan(plan.plan_id, 'team-a', NOW)).is_ok()
        config = (await plans.read_shard(SHARD)).unwrap().databases['orders']
        assert (config.queue_limit, len(config.targets)) == (9, 3)

    asyncio.run(scenario())


@pytest.mark.parametrize('fault', ['ok', 'lost_before', 'lost_after'])
def test_first_plan_stores_all_static_databases_before_its_own_shard(fault):
    async def scenario():
        store = FakeStore()
        static = tuple(build_config(name) for name in ('orders', 'labels', 'pumps'))
        await put_database(store, dataclasses.replace(static[2], queue_limit=77))
        plans = PlanStore(store, pause=skip_sleep, static=static)
        plan = (await plans.create_plan(parse_intent(LIMIT).unwrap(), 'team-a', NOW)).unwrap()
        # The second write, after the plan is marked as confirming, is another shard.
        store.write_faults = ['ok', fault]
        assert (await plans.confirm_plan(plan.plan_id, 'team-a', NOW)).is_ok()
        limits = {}
        for name in ('orders', 'labels', 'pumps'):
            shard = (await plans.read_shard(find_shard(name))).unwrap()
            assert shard.version
            limits[name] = shard.databases[name].queue_limit
        assert limits == {'orders': 9, 'labels': 256, 'pumps': 77}
        written = [key for key, _ in store.applied if key.startswith('config/')]
        assert written[-1] == format_shard_key(SHARD)

    asyncio.run(scenario())


def test_first_plan_is_refused_while_static_databases_cannot_be_stored():
    async def scenario():
        store = FakeStore()
        static = (build_config(), build_config('labels'))
        plans = PlanStore(store, pause=skip_sleep, static=static)
        plan = (await plans.create_plan(parse_intent(LIMIT).unwrap(), 'team-a', NOW)).unwrap()
        store.write_faults = ['ok', 'down', 'down', 'down']
        error = (await plans.confirm_plan(plan.plan_id, 'team-a', NOW)).unwrap_err()
        assert error.kind is ErrorKind.PLATFORM_UNAVAILABLE
        assert store.list_confirmed(SHARD) == []
        assert (await plans.confirm_plan(plan.plan_id, 'team-a', NOW)).is_ok()

    asyncio.run(scenario())


def test_list_returns_recent_plans_and_skips_malformed_ones():
    async def scenario(bench):
        plan = await bench.create()
        await bench.store.write_object(f'{plan.plan_id}x'.join(['plans/', '']), {'x': 1}, 0)
        assert (await bench.plans.list_plans(NOW)).unwrap() == [plan]
        assert (await bench.plans.list_plans(NOW + 3 * 86_400)).unwrap() == []

    run_bench(scenario)


faults = st.sampled_from(['ok', 'ok', 'lost_before', 'lost_after', 'late', 'down'])
actions = st.lists(
    st.tuples(st.sampled_from(['confirm', 'cancel']), st.integers(0, 2), st.integers(0, 2)),
    min_size=1,
    max_size=6,
)


read_faults_lists = st.lists(st.sampled_from(['ok', 'ok', 'down']), max_size=30)


@given(actions, st.lists(faults, max_size=30), read_faults_lists, st.lists(st.integers(0, 4)))
def test_no_plan_applies_twice_and_no_told_outcome_is_wrong(
    steps, write_faults, read_faults, yields
):
    async def scenario(bench):
        plans = [await bench.create({**LIMIT, 'queue_limit': n + 1}, f'o{n}') for n in range(3)]
        store = bench.store
        store.write_faults = list(write_faults)
        store.read_faults = list(read_faults)
        store.yields = list(yields)

        async def act(step):
            action, operator, index = step
            plan_id = plans[index].plan_id
            if action == 'confirm':
                return await bench.plans.confirm_plan(plan_id, f'o{operator}', NOW)
            return await bench.plans.cancel_plan(plan_id, f'o{operator}', NOW)

        outcomes = await asyncio.gather(*(act(step) for step in steps))
        confirmed = store.list_confirmed(SHARD)
        assert len(confirmed) <= 1
        for (action, _, index), outcome in zip(steps, outcomes, strict=True):
            applied = plans[index].plan_id in confirmed
            if outcome.is_ok():
                assert applied == (action == 'confirm')
        told_conflict = {
            plans[index].plan_id
            for (action, _, index), outcome in zip(steps, outcomes, strict=True)
            if action == 'confirm'
            and outcome.is_err()
            and outcome.unwrap_err().kind in {ErrorKind.VERSION_CONFLICT, ErrorKind.PLAN_EXPIRED}
        }
        for plan in plans:
            # Once the faults are over, repeating the call settles every plan.
            store.write_faults = []
            store.read_faults = []
            settled = await bench.confirm(plan)
            confirmed = store.list_confirmed(SHARD)
            assert len(confirmed) <= 1
            assert settled.is_ok() == (plan.plan_id in confirmed)
        assert not told_conflict & set(store.list_confirmed(SHARD))

    run_bench(scenario)


def test_plan_events_are_recorded_in_the_timeline():
    async def scenario(bench):
        records = []
        bench.plans.record = records.append
        plan, other = await bench.create(), await bench.create(LIMIT, 'team-b')
        await bench.confirm(plan)
        await bench.confirm(other, 'team-b')
        steps = ['created', 'created', 'confirming', 'confirmed', 'refused']
        kinds = [f'plan_{step}' for step in steps]
        assert [record.kind for record in records] == kinds
        assert [it.fields['operator'] for it in records[2:4]] == ['team-a', 'team-a']
        assert 'last by team-a' in records[4].cause

    run_bench(scenario)
