import asyncio

from behave import given, then, when
from support.world import DATABASE, wait_until

HTTP_OK = 200
POLL_S = 0.1
CALL_LIMIT_S = 2.0


class VersionWatch:
    """Polls the shard versions of the daemons and detects decreases.

    Attributes:
        world: Shared state of the scenarios.
        highest: Highest version per shard reported by any process of a daemon, by VM.
        reverted: Versions that decreased.
    """

    def __init__(self, world):
        self.world = world
        self.highest = {}
        self.reverted = []
        self.stopping = False

    async def run(self):
        while not self.stopping:
            await asyncio.gather(
                *(self.poll_versions(daemon) for daemon in self.world.list_live_daemons())
            )
            await asyncio.sleep(POLL_S)

    async def poll_versions(self, daemon):
        shards = await read_shards(self.world, daemon)
        for shard, version in shards.items():
            key = (daemon.vm, shard)
            before = self.highest.get(key, 0)
            if version < before:
                self.reverted.append(f'{daemon.vm} shard {shard}: {before} -> {version}')
            self.highest[key] = max(before, version)


async def read_shards(world, daemon):
    try:
        async with asyncio.timeout(CALL_LIMIT_S):
            return await world.read_shards(daemon)
    except (OSError, TimeoutError):
        return {}


async def create_plan(world, daemon, limit):
    intent = {'kind': 'set_limits', 'database': DATABASE, 'queue_limit': limit}
    status, plan = await world.call_admin(daemon, '/v1/plans', intent)
    assert status in {HTTP_OK, 201}, plan
    return plan['plan_id']


async def confirm(context, daemon, plan):
    answer = await context.world.call_admin(daemon, f'/v1/plans/{plan}/confirm', {})
    context.confirmations.append(answer)


async def confirm_plainly(context, first, _others, plan):
    await confirm(context, first, plan)


async def confirm_with_frozen_daemon(context, first, others, plan):
    context.world.frozen.add(others[0].vm)
    others[0].freeze()
    await confirm(context, first, plan)
    shard, version = read_confirmed(context)

    async def is_applied():
        return (await read_shards(context.world, others[1])).get(shard, 0) >= version

    await wait_until(is_applied, 7, 'the plan on the daemon at work')
    others[0].resume()
    context.world.frozen.clear()


async def confirm_and_stop_platform(context, first, _others, plan):
    await confirm(context, first, plan)
    await context.world.set_platform(down=True)


async def confirm_and_restart(context, first, others, plan):
    await confirm_and_stop_platform(context, first, others, plan)
    # The platform is down, so a restarted daemon can obtain the version only from a peer.
    await wait_until_applied(context, (first, others[1]), 7)
    others[0].kill()
    others[0].start()
    await others[0].wait_until_listening()


async def confirm_with_lost_answer(context, first, _others, plan):
    await context.world.set_platform(lose_next_write_answers=1)
    await confirm(context, first, plan)


async def confirm_twice(context, first, others, plan):
    rival = await create_plan(context.world, others[0], context.limit + 1000)
    await asyncio.gather(confirm(context, first, plan), confirm(context, others[0], rival))


CONFIRMATIONS = {
    'no fault': confirm_plainly,
    'a frozen daemon that wakes': confirm_with_frozen_daemon,
    'the platform down right after': confirm_and_stop_platform,
    'a restart while the platform is down': confirm_and_restart,
    'the answer of the platform lost': confirm_with_lost_answer,
    'two operators at once': confirm_twice,
}


def read_confirmed(context):
    """Return the shard and version of the confirmed plan."""
    found = [answer for status, answer in context.confirmations if status == HTTP_OK]
    assert found, context.confirmations
    return str(found[0]['shard']), found[0]['shard_version']


async def wait_until_applied(context, daemons, limit):
    shard, version = read_confirmed(context)

    async def is_applied():
        found = [await read_shards(context.world, daemon) for daemon in daemons]
        return all(shards.get(shard, 0) >= version for shards in found)

    await wait_until(is_applied, limit, f'version {version} of shard {shard} everywhere')


@given('the versions of the configuration are watched')
def watch_versions(context):
    async def start():
        context.watch = VersionWatch(context.world)
        context.watching = asyncio.create_task(context.watch.run())

    context.runner.run(start())


@when('a plan is confirmed with "{fault}"')
def confirm_plan(context, fault):
    async def run():
        context.confirmations = []
        context.limit = 200 + context.world.scenario
        first, *others = context.world.cluster.list_daemons()
        plan = await create_plan(context.world, first, context.limit)
        await CONFIRMATIONS[fault](context, first, others, plan)

    context.runner.run(run())


@then('it is in force on every daemon within {limit:g} s')
def check_in_force(context, limit):
    daemons = context.world.cluster.list_daemons()
    context.runner.run(wait_until_applied(context, daemons, limit))


@then('no daemon went back to an older version')
def check_versions(context):
    async def stop():
        for daemon in context.world.list_live_daemons():
            await context.watch.poll_versions(daemon)
        context.watch.stopping = True
        await context.watching

    context.runner.run(stop())
    assert context.watch.highest
    assert not context.watch.reverted, context.watch.reverted


@then('exactly one operator is told that the plan is in force')
def check_confirmations(context):
    statuses = [status for status, _ in context.confirmations]
    assert statuses.count(HTTP_OK) == 1, context.confirmations
