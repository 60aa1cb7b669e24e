"""Faults in which the store comes back from a copy that is some seconds old."""

import asyncio
import random
import signal
from collections.abc import Callable
from functools import partial

from cassiaseam_soak.faults import FaultAction, PlannedFault
from cassiaseam_soak.handover import hit_holder, kill, pause
from cassiaseam_soak.installation import Daemon, Installation
from cassiaseam_soak.proxy import LinkFault

RESTORE_FAULTS: dict[str, FaultAction] = {}
# Latest start of a restore.
RESTORES_UNTIL_S = 9.0
# Bounds in seconds of the age of the copy and of the time for which the store is away.
COPY_AGE_RANGE_S = (0.5, 9.0)
AWAY_RANGE_S = (0.05, 2.0)
# Bounds of the time in seconds after which a target or the operator writes again.
REWRITE_RANGE_S = (0, 2.0)
# Bounds of the time in seconds from the start of a second fault to the restore, and after it.
BEFORE_RANGE_S = (0.05, 1.5)
AFTER_RANGE_S = (0, 5.0)
# Maximum time in seconds from the start of a restore fault to its end.
RESTORE_FAULT_MAX_S = 14.0


def plan_restore_faults(rng: random.Random, first_s: float) -> list[PlannedFault]:
    """Return one to three restores at random times."""
    kinds = sorted(RESTORE_FAULTS)
    planned = [
        PlannedFault(
            rng.uniform(first_s, RESTORES_UNTIL_S), rng.choice(kinds), rng.uniform(*AWAY_RANGE_S)
        )
        for _ in range(rng.randint(1, 3))
    ]
    return sorted(planned, key=lambda fault: fault.at)


def register_restore_fault(name: str) -> Callable[[FaultAction], FaultAction]:
    """Register a coroutine that restores the store beside another fault."""

    def register(action: FaultAction) -> FaultAction:
        RESTORE_FAULTS[name] = action
        return action

    return register


async def restore_store(installation: Installation, rng: random.Random, away_s: float) -> str:
    """Take the store away, restore it, and let targets and the operator write again."""
    store = installation.store
    age_s = rng.uniform(*COPY_AGE_RANGE_S)
    former = store.revision
    store.down = True
    await asyncio.sleep(away_s)
    store.restore(asyncio.get_running_loop().time(), age_s)
    store.down = False
    description = f'from {age_s:.2f}s ago, revision {former} to {store.revision}'
    writers = [
        rewrite_later(rng, partial(installation.announce, target))
        for target in installation.group.targets.values()
        if target.is_running
    ]
    write_config = rng.choice((installation.rewrite_config, installation.change_config))
    await asyncio.gather(rewrite_later(rng, write_config), *writers)
    return description


async def rewrite_later(rng: random.Random, write: Callable[[], None]) -> None:
    """Write an object again some time after a restore."""
    await asyncio.sleep(rng.uniform(*REWRITE_RANGE_S))
    write()


@register_restore_fault('store_restored')
async def restore_alone(installation: Installation, rng: random.Random, away_s: float) -> str:
    """Restore the store while all daemons reach it."""
    return await restore_store(installation, rng, away_s)


@register_restore_fault('store_restored_behind_cut')
async def restore_behind_cut(installation: Installation, rng: random.Random, away_s: float) -> str:
    """Restore the store while some daemons do not reach it, and write several versions."""
    proxies = rng.sample(
        installation.store_proxies, rng.randint(1, len(installation.store_proxies) - 1)
    )
    before_s = rng.uniform(*BEFORE_RANGE_S)
    after_s = rng.uniform(*AFTER_RANGE_S)
    kind = rng.choice((LinkFault.SILENCE, LinkFault.CUT_ANSWERS))
    for proxy in proxies:
        proxy.inject(kind, '', before_s + away_s + after_s, 0)
    await asyncio.sleep(before_s)
    description = await restore_store(installation, rng, away_s)
    for _ in range(rng.randint(0, 3)):
        installation.change_config()
    return f'{description}, {len(proxies)} daemons cut off until {after_s:.2f}s after it'


@register_restore_fault('store_restored_at_claim')
async def restore_at_claim(installation: Installation, rng: random.Random, away_s: float) -> str:
    """Crash the primary and restore the store right after a claim of the promotion lease."""
    primary = installation.group.find_primary()
    if primary is None:
        return await restore_store(installation, rng, away_s)
    await primary.crash()
    chosen = rng.choice((pause, kill, None))
    daemon, hit = await hit_holder(installation, chosen or (lambda _: None), rng.uniform(0, 0.4))
    description = await restore_store(installation, rng, away_s)
    await asyncio.sleep(rng.uniform(*BEFORE_RANGE_S))
    if daemon is not None and chosen is pause:
        daemon.send_signal(signal.SIGCONT)
    if daemon is not None and chosen is kill:
        restart(daemon)
    await primary.restart()
    return f'{description}, {hit}, {primary.name} down'


@register_restore_fault('store_restored_at_start')
async def restore_at_start(installation: Installation, rng: random.Random, away_s: float) -> str:
    """Kill some daemons or all of them, and start them while the store comes back."""
    running = [daemon for daemon in installation.daemons if not daemon.stopped]
    daemons = rng.sample(running, rng.randint(min(1, len(running)), len(running)))
    for daemon in daemons:
        kill(daemon)
        daemon.process.wait()
    restored = asyncio.ensure_future(restore_store(installation, rng, away_s))
    await asyncio.sleep(away_s + rng.uniform(0, 1))
    for daemon in daemons:
        restart(daemon)
    description = await restored
    return f'{description}, {len(daemons)} daemons started'


def restart(daemon: Daemon) -> None:
    """Start a killed daemon, which other faults may affect from then on."""
    daemon.start()
    daemon.stopped = False
