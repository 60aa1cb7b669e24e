"""Faults of a soak run, drawn from its seed."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from cassiaseam_soak.installation import Installation
from cassiaseam_soak.proxy import LinkFault

FaultAction = Callable[[Installation, random.Random, float], Awaitable[str]]
FAULTS: dict[str, FaultAction] = {}


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault with its time and duration in seconds."""

    at: float
    kind: str
    for_s: float


def registers_fault(name: str) -> Callable[[FaultAction], FaultAction]:
    """Register a coroutine that injects a fault and returns what it hit.

    The kinds are drawn from the sorted names: a further one changes the faults of every seed.
    """

    def register(action: FaultAction) -> FaultAction:
        FAULTS[name] = action
        return action

    return register


def plan_faults(rng: random.Random, first_s: float, last_s: float) -> list[PlannedFault]:
    """Return faults at random times; they may overlap."""
    count = rng.randint(2, 6)
    kinds = sorted(FAULTS)
    planned = [
        PlannedFault(rng.uniform(first_s, last_s), rng.choice(kinds), rng.uniform(0.2, 2.5))
        for _ in range(count)
    ]
    return sorted(planned, key=lambda fault: fault.at)


@registers_fault('target_crash')
async def crash_target(installation: Installation, rng: random.Random, for_s: float) -> str:
    """Crash a target, the primary half of the time."""
    primary = installation.group.find_primary()
    chosen = rng.choice(list(installation.group.targets.values()))
    target = primary if primary is not None and rng.choice((True, False)) else chosen
    if not target.is_running:
        return 'nothing'
    await target.crash()
    await asyncio.sleep(for_s)
    await target.restart()
    return target.name


@registers_fault('target_leaves')
async def announce_leaving(installation: Installation, rng: random.Random, for_s: float) -> str:
    """Announce that the primary leaves, and take it back later."""
    target = installation.group.find_primary()
    if target is None:
        return 'nothing'
    target.leaving = True
    installation.announce(target)
    await asyncio.sleep(for_s + 2)
    target.leaving = False
    installation.announce(target)
    return target.name


@registers_fault('target_deaf')
async def deafen_target(installation: Installation, rng: random.Random, for_s: float) -> str:
    """Let a target receive nothing for a while."""
    target = rng.choice(list(installation.group.targets.values()))
    target.deaf = True
    await asyncio.sleep(for_s)
    target.deaf = False
    installation.group.replicate()
    return target.name


@registers_fault('answers_lost')
async def lose_answers(installation: Installation, rng: random.Random, for_s: float) -> str:
    """Let a target run statements without an answer."""
    target = rng.choice(list(installation.group.targets.values()))
    target.drop_answers += rng.randint(1, 5)
    return target.name


@registers_fault('target_link')
async def break_target_link(installation: Installation, rng: random.Random, for_s: float) -> str:
    """Break the links of one VM, or of all, to a target."""
    name = rng.choice(sorted(installation.target_proxies))
    client = rng.choice(['', *(daemon.name for daemon in installation.daemons)])
    kind = rng.choice(list(LinkFault))
    installation.target_proxies[name].inject(kind, client, for_s, rng.uniform(0.01, 0.4))
    return f'{kind.value} {client or "all"} {name}'


@registers_fault('store_link')
async def break_store_link(installation: Installation, rng: random.Random, for_s: float) -> str:
    """Break the link of one VM to the store."""
    proxy = rng.choice(installation.store_proxies)
    kind = rng.choice(list(LinkFault))
    proxy.inject(kind, '', for_s, rng.uniform(0.01, 0.6))
    return kind.value


@registers_fault('store_down')
async def stop_store(installation: Installation, rng: random.Random, for_s: float) -> str:
    """Let the store refuse calls, lose answers of writes or forget its history."""
    kind = rng.choice(('down', 'lose', 'forget'))
    if kind == 'down':
        installation.store.down = True
        await asyncio.sleep(for_s)
        installation.store.down = False
    elif kind == 'lose':
        installation.store.lose_writes += rng.randint(1, 3)
    else:
        installation.store.drop_history()
    return kind


@registers_fault('daemon_paused')
async def pause_daemon(installation: Installation, rng: random.Random, for_s: float) -> str:
    """Pause a daemon."""
    daemon = rng.choice(installation.daemons)
    daemon.send_signal(signal.SIGSTOP)
    await asyncio.sleep(for_s)
    daemon.send_signal(signal.SIGCONT)
    return daemon.name


@registers_fault('daemon_killed')
async def kill_daemon(installation: Installation, rng: random.Random, for_s: float) -> str:
    """Kill a daemon and start it again."""
    daemon = rng.choice(installation.daemons)
    if daemon.stopped:
        return 'nothing'
    daemon.stopped = True
    daemon.send_signal(signal.SIGKILL)
    daemon.process.wait()
    await asyncio.sleep(for_s)
    daemon.start()
    daemon.stopped = False
    return daemon.name


@registers_fault('daemon_stopped')
async def stop_daemon(installation: Installation, rng: random.Random, for_s: float) -> str:
    """Stop a daemon as an operator does, and start it again."""
    daemon = rng.choice(installation.daemons)
    if daemon.stopped:
        return 'nothing'
    daemon.stopped = True
    daemon.send_signal(signal.SIGCONT)
    daemon.send_signal(signal.SIGTERM)
    await daemon.wait_for_end()
    daemon.start()
    daemon.stopped = False
    return daemon.name


@registers_fault('daemon_reloads')
async def reload_daemon(installation: Installation, rng: random.Random, for_s: float) -> str:
    """Tell a daemon that its settings have changed."""
    daemon = rng.choice(installation.daemons)
    daemon.send_signal(signal.SIGHUP)
    return daemon.name


@registers_fault('config_changes')
async def change_config(installation: Installation, rng: random.Random, for_s: float) -> str:
    """Write new versions of the configuration."""
    for _ in range(rng.randint(1, 4)):
        installation.change_config()
        await asyncio.sleep(0.1)
    return str(installation.version)
