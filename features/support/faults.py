"""Faults by the name that the tables of the features use.

Every fault returns the asynchronous condition that shows that it took effect.
"""

from collections.abc import Awaitable, Callable

from cassiaseam_standin.daemon_process import DaemonProcess
from support.load import Load
from support.world import World

Condition = Callable[[], Awaitable[bool]]
Fault = Callable[[World, Load], Awaitable[Condition]]
FAULTS: dict[str, Fault] = {}
SLOW_STATEMENT_MS = 50
REPLICATION_DELAY_MS = 200
DROPPED_COMMITS = 3
# Together with these faults no write can be acknowledged, so the others show no effect.
BLOCKING = frozenset(('replicas paused', 'primary cut from clients'))


def injects(name: str) -> Callable[[Fault], Fault]:
    """Register the function that injects a fault."""

    def register(fault: Fault) -> Fault:
        FAULTS[name] = fault
        return fault

    return register


def grow(load: Load, count: int = 15) -> Condition:
    """Return whether `count` more writes were acknowledged."""
    goal = len(load.journal.acknowledged) + count

    async def reached() -> bool:
        return len(load.journal.acknowledged) >= goal

    return reached


def answer_more(load: Load, count: int = 60) -> Condition:
    """Return whether `count` more requests were answered, however."""
    goal = sum(load.outcomes.values()) + count

    async def reached() -> bool:
        return sum(load.outcomes.values()) >= goal

    return reached


async def expect_promotion(world: World) -> Condition:
    """Return whether another target leads a higher term."""
    before = await world.find_primary()

    async def promoted() -> bool:
        primary = await world.find_primary()
        return primary is not None and primary.term > before.term

    return promoted


async def find_replicas(world: World) -> list[str]:
    primary = await world.find_primary()
    return [name for name in world.list_targets() if name != primary.instance]


async def inject_faults(world: World, load: Load, names: list[str]) -> list[Condition]:
    """Inject faults at once and return the conditions that show their effect."""
    conditions = [await FAULTS[name](world, load) for name in names]
    return [answer_more(load)] if BLOCKING.intersection(names) else conditions


def freeze_daemon(world: World, daemon: DaemonProcess) -> None:
    world.frozen.add(daemon.vm)
    daemon.freeze()


@injects('none')
async def inject_nothing(_world: World, load: Load) -> Condition:
    return grow(load)


@injects('primary killed')
async def kill_primary(world: World, _load: Load) -> Condition:
    promoted = await expect_promotion(world)
    world.group.targets[(await world.find_primary()).instance].kill()
    return promoted


@injects('primary frozen')
async def freeze_primary(world: World, _load: Load) -> Condition:
    promoted = await expect_promotion(world)
    world.group.targets[(await world.find_primary()).instance].freeze()
    return promoted


@injects('primary cut from replicas')
async def cut_primary(world: World, _load: Load) -> Condition:
    promoted = await expect_promotion(world)
    primary = (await world.find_primary()).instance
    await world.set_fault(primary, 'cut_from', ','.join(await find_replicas(world)))
    return promoted


@injects('primary cut from clients')
async def cut_clients(world: World, load: Load) -> Condition:
    primary = (await world.find_primary()).instance
    await world.set_fault(primary, 'client_cut', 'on')
    return answer_more(load)


@injects('replica killed')
async def kill_replica(world: World, load: Load) -> Condition:
    world.group.targets[(await find_replicas(world))[0]].kill()
    return grow(load)


@injects('replica paused')
async def pause_replica(world: World, load: Load) -> Condition:
    await world.set_fault((await find_replicas(world))[0], 'replication_pause', 'on')
    return answer_more(load, 100)


@injects('replicas apply late')
async def delay_apply(world: World, load: Load) -> Condition:
    for replica in await find_replicas(world):
        await world.set_fault(replica, 'apply_delay_ms', REPLICATION_DELAY_MS)
    return grow(load, 30)


@injects('replicas slow')
async def delay_replication(world: World, load: Load) -> Condition:
    for replica in await find_replicas(world):
        await world.set_fault(replica, 'replication_delay_ms', REPLICATION_DELAY_MS)
    return grow(load)


@injects('replicas paused')
async def pause_replicas(world: World, load: Load) -> Condition:
    for replica in await find_replicas(world):
        await world.set_fault(replica, 'replication_pause', 'on')
    return answer_more(load)


@injects('statements slow')
async def delay_statements(world: World, load: Load) -> Condition:
    for target in world.list_targets():
        await world.set_fault(target, 'statement_delay_ms', SLOW_STATEMENT_MS)
    return grow(load)


@injects('statements slower than deadlines')
async def stall_statements(world: World, load: Load) -> Condition:
    for target in world.list_targets():
        await world.set_fault(target, 'statement_delay_ms', int(load.deadline_s * 1000) + 100)
    return answer_more(load, 20)


@injects('commit dropped before')
async def drop_before_commit(world: World, load: Load) -> Condition:
    return await drop_commits(world, load, 'drop_before_commit')


@injects('commit dropped after')
async def drop_after_commit(world: World, load: Load) -> Condition:
    return await drop_commits(world, load, 'drop_after_commit')


async def drop_commits(world: World, load: Load, fault: str) -> Condition:
    primary = (await world.find_primary()).instance
    await world.set_fault(primary, fault, DROPPED_COMMITS)
    return grow(load, 30)


@injects('platform down')
async def stop_platform(world: World, load: Load) -> Condition:
    await world.set_platform(down=True)
    return grow(load)


@injects('platform answers lost')
async def lose_platform_answers(world: World, load: Load) -> Condition:
    await world.set_platform(lose_next_write_answers=5)
    return grow(load)


@injects('owner killed')
async def kill_owner(world: World, load: Load) -> Condition:
    world.find_owner().kill()
    return grow(load)


@injects('entry killed')
async def kill_entry(world: World, load: Load) -> Condition:
    world.find_other_daemon().kill()
    return grow(load)


@injects('owner frozen')
async def freeze_owner(world: World, load: Load) -> Condition:
    freeze_daemon(world, world.find_owner())
    return grow(load)


@injects('entry frozen')
async def freeze_entry(world: World, load: Load) -> Condition:
    freeze_daemon(world, world.find_other_daemon())
    return grow(load)


@injects('replica leaving')
async def announce_replica(world: World, load: Load) -> Condition:
    world.leaving = (await find_replicas(world))[0]
    await world.set_fault(world.leaving, 'leaving', 'on')
    return grow(load)


@injects('primary leaving')
async def announce_primary(world: World, _load: Load) -> Condition:
    promoted = await expect_promotion(world)
    world.leaving = (await world.find_primary()).instance
    await world.set_fault(world.leaving, 'leaving', 'on')
    return promoted
