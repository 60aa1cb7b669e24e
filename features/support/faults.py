"""Faults, registered under the names in the tables of the features.

Each fault returns an asynchronous condition that holds once the fault has taken effect.
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
# These faults block all writes, so the conditions of other faults cannot be met.
BLOCKING = frozenset(('replicas paused', 'primary cut from clients'))


def register_fault(name: str) -> Callable[[Fault], Fault]:
    """Register the function that injects a fault."""

    def register(fault: Fault) -> Fault:
        FAULTS[name] = fault
        return fault

    return register


def expect_writes(load: Load, count: int = 15) -> Condition:
    """Return a condition: `count` more writes are acknowledged."""
    goal = len(load.journal.acknowledged) + count

    async def reached() -> bool:
        return len(load.journal.acknowledged) >= goal

    return reached


def expect_answers(load: Load, count: int = 60) -> Condition:
    """Return a condition: `count` more requests are answered, with any outcome."""
    goal = sum(load.outcomes.values()) + count

    async def reached() -> bool:
        return sum(load.outcomes.values()) >= goal

    return reached


async def expect_promotion(world: World) -> Condition:
    """Return a condition: a target is primary of a higher term."""
    before = await world.find_primary()

    async def promoted() -> bool:
        primary = await world.find_primary()
        return primary is not None and primary.term > before.term

    return promoted


async def find_replicas(world: World) -> list[str]:
    primary = await world.find_primary()
    return [name for name in world.list_targets() if name != primary.instance]


async def inject_faults(world: World, load: Load, names: list[str]) -> list[Condition]:
    """Inject faults together and return the conditions of their effect."""
    conditions = [await FAULTS[name](world, load) for name in names]
    return [expect_answers(load)] if BLOCKING.intersection(names) else conditions


def freeze_daemon(world: World, daemon: DaemonProcess) -> None:
    world.frozen.add(daemon.vm)
    daemon.freeze()


@register_fault('none')
async def inject_nothing(_world: World, load: Load) -> Condition:
    return expect_writes(load)


@register_fault('primary killed')
async def kill_primary(world: World, _load: Load) -> Condition:
    promoted = await expect_promotion(world)
    world.group.targets[(await world.find_primary()).instance].kill()
    return promoted


@register_fault('primary frozen')
async def freeze_primary(world: World, _load: Load) -> Condition:
    promoted = await expect_promotion(world)
    world.group.targets[(await world.find_primary()).instance].freeze()
    return promoted


@register_fault('primary cut from replicas')
async def cut_primary(world: World, _load: Load) -> Condition:
    promoted = await expect_promotion(world)
    primary = (await world.find_primary()).instance
    await world.set_fault(primary, 'cut_from', ','.join(await find_replicas(world)))
    return promoted


@register_fault('primary cut from clients')
async def cut_clients(world: World, load: Load) -> Condition:
    primary = (await world.find_primary()).instance
    await world.set_fault(primary, 'client_cut', 'on')
    return expect_answers(load)


@register_fault('replica killed')
async def kill_replica(world: World, load: Load) -> Condition:
    world.group.targets[(await find_replicas(world))[0]].kill()
    return expect_writes(load)


@register_fault('replica paused')
async def pause_replica(world: World, load: Load) -> Condition:
    await world.set_fault((await find_replicas(world))[0], 'replication_pause', 'on')
    return expect_answers(load, 100)


@register_fault('replicas apply late')
async def delay_apply(world: World, load: Load) -> Condition:
    for replica in await find_replicas(world):
        await world.set_fault(replica, 'apply_delay_ms', REPLICATION_DELAY_MS)
    return expect_writes(load, 30)


@register_fault('replicas slow')
async def delay_replication(world: World, load: Load) -> Condition:
    for replica in await find_replicas(world):
        await world.set_fault(replica, 'replication_delay_ms', REPLICATION_DELAY_MS)
    return expect_writes(load)


@register_fault('replicas paused')
async def pause_replicas(world: World, load: Load) -> Condition:
    for replica in await find_replicas(world):
        await world.set_fault(replica, 'replication_pause', 'on')
    return expect_answers(load)


@register_fault('statements slow')
async def delay_statements(world: World, load: Load) -> Condition:
    for target in world.list_targets():
        await world.set_fault(target, 'statement_delay_ms', SLOW_STATEMENT_MS)
    return expect_writes(load)


@register_fault('statements slower than deadlines')
async def stall_statements(world: World, load: Load) -> Condition:
    for target in world.list_targets():
        await world.set_fault(target, 'statement_delay_ms', int(load.deadline_s * 1000) + 100)
    return expect_answers(load, 20)


@register_fault('commit dropped before')
async def drop_before_commit(world: World, load: Load) -> Condition:
    return await drop_commits(world, load, 'drop_before_commit')


@register_fault('commit dropped after')
async def drop_after_commit(world: World, load: Load) -> Condition:
    return await drop_commits(world, load, 'drop_after_commit')


async def drop_commits(world: World, load: Load, fault: str) -> Condition:
    primary = (await world.find_primary()).instance
    await world.set_fault(primary, fault, DROPPED_COMMITS)
    return expect_writes(load, 30)


@register_fault('platform down')
async def stop_platform(world: World, load: Load) -> Condition:
    await world.set_platform(down=True)
    return expect_writes(load)


@register_fault('platform answers lost')
async def lose_platform_answers(world: World, load: Load) -> Condition:
    await world.set_platform(lose_next_write_answers=5)
    return expect_writes(load)


@register_fault('owner killed')
async def kill_owner(world: World, load: Load) -> Condition:
    world.find_owner().kill()
    return expect_writes(load)


@register_fault('entry killed')
async def kill_entry(world: World, load: Load) -> Condition:
    world.find_other_daemon().kill()
    return expect_writes(load)


@register_fault('owner frozen')
async def freeze_owner(world: World, load: Load) -> Condition:
    freeze_daemon(world, world.find_owner())
    return expect_writes(load)


@register_fault('entry frozen')
async def freeze_entry(world: World, load: Load) -> Condition:
    freeze_daemon(world, world.find_other_daemon())
    return expect_writes(load)


@register_fault('replica leaving')
async def announce_replica(world: World, load: Load) -> Condition:
    world.leaving = (await find_replicas(world))[0]
    await world.set_fault(world.leaving, 'leaving', 'on')
    return expect_writes(load)


@register_fault('primary leaving')
async def announce_primary(world: World, _load: Load) -> Condition:
    promoted = await expect_promotion(world)
    world.leaving = (await world.find_primary()).instance
    await world.set_fault(world.leaving, 'leaving', 'on')
    return promoted
