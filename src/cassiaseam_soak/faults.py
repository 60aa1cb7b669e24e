"""Fault kinds of a soak run, and the schedule drawn from its seed."""

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
    """A scheduled fault, with its start time and duration in seconds."""

    at: float
    kind: str
    duration_s: float


def register_fault(name: str) -> Callable[[FaultAction], FaultAction]:
    """Register a coroutine that injects a fault and returns a description of what it affected.

    Kinds are drawn from the sorted names, so adding one changes the faults of every seed.
    """

    def register(action: FaultAction) -> FaultAction:
        FAULTS[name] = action
        return action

    return register


def plan_faults(rng: random.Random, first_s: float, last_s: float) -> list[PlannedFault]:
    """Return faults at random times; faults may overlap."""
    count = rng.randint(2, 6)
    kinds = sorted(FAULTS)
    planned = [
        PlannedFault(rng.uniform(first_s, last_s), rng.choice(kinds), rng.uniform(0.2, 2.5))
        for _ in range(count)
    ]
    return sorted(planned, key=lambda fault: fault.at)


@register_fault('target_crash')
async def crash_target(installation: Installation, rng: random.Random, duration_s: float) -> str:
    """Crash a target and restart it; half of the time the primary."""
    primary = installation.group.find_primary()
    chosen = rng.choice(list(installation.group.targets.values()))
    target = primary if primary is not None and rng.choice((True, False)) else chosen
    if not target.is_running:
        return 'nothing'
    await target.crash()
    await asyncio.sleep(duration_s)
    await target.restart()
    return target.name


@register_fault('target_leaves')
async def announce_leaving(
    installation: Installation, rng: random.Random, duration_s: float
) -> str:
    """Mark the primary as leaving, and revoke it later."""
    target = installation.group.find_primary()
    if target is None:
        return 'nothing'
    target.leaving = True
    installation.announce(target)
    await asyncio.sleep(duration_s + 2)
    target.leaving = False
    installation.announce(target)
    return target.name


@register_fault('target_deaf')
async def block_target_input(
    installation: Installation, rng: random.Random, duration_s: float
) -> str:
    """Block replication to a target."""
    target = rng.choice(list(installation.group.targets.values()))
    target.ignores_replication = True
    await asyncio.sleep(duration_s)
    target.ignores_replication = False
    installation.group.replicate()
    return target.name


@register_fault('answers_lost')
async def lose_answers(installation: Installation, rng: random.Random, duration_s: float) -> str:
    """Drop the answers to the next statements that a target runs."""
    target = rng.choice(list(installation.group.targets.values()))
    target.drop_answers += rng.randint(1, 5)
    return target.name


@register_fault('target_link')
async def break_target_link(
    installation: Installation, rng: random.Random, duration_s: float
) -> str:
    """Inject a link fault between one VM, or all VMs, and a target."""
    name = rng.choice(sorted(installation.target_proxies))
    client = rng.choice(['', *(daemon.name for daemon in installation.daemons)])
    kind = rng.choice(list(LinkFault))
    installation.target_proxies[name].inject(kind, client, duration_s, rng.uniform(0.01, 0.4))
    return f'{kind.value} {client or "all"} {name}'


@register_fault('store_link')
async def break_store_link(
    installation: Installation, rng: random.Random, duration_s: float
) -> str:
    """Inject a link fault between one VM and the store."""
    proxy = rng.choice(installation.store_proxies)
    kind = rng.choice(list(LinkFault))
    proxy.inject(kind, '', duration_s, rng.uniform(0.01, 0.6))
    return kind.value


@register_fault('store_down')
async def stop_store(installation: Installation, rng: random.Random, duration_s: float) -> str:
    """Make the store refuse calls, drop answers to writes, or discard its event history."""
    kind = rng.choice(('down', 'lose', 'forget'))
    if kind == 'down':
        installation.store.down = True
        await asyncio.sleep(duration_s)
        installation.store.down = False
    elif kind == 'lose':
        installation.store.lose_writes += rng.randint(1, 3)
    else:
        installation.store.drop_history()
    return kind


@register_fault('daemon_paused')
async def pause_daemon(installation: Installation, rng: random.Random, duration_s: float) -> str:
    """Pause a daemon with SIGSTOP."""
    daemon = rng.choice(installation.daemons)
    daemon.send_signal(signal.SIGSTOP)
    await asyncio.sleep(duration_s)
    daemon.send_signal(signal.SIGCONT)
    return daemon.name


@register_fault('daemon_killed')
async def kill_daemon(installation: Installation, rng: random.Random, duration_s: float) -> str:
    """Kill a daemon and restart it."""
    daemon = rng.choice(installation.daemons)
    if daemon.stopped:
        return 'nothing'
    daemon.stopped = True
    daemon.send_signal(signal.SIGKILL)
    daemon.process.wait()
    await asyncio.sleep(duration_s)
    daemon.start()
    daemon.stopped = False
    return daemon.name


@register_fault('daemon_stopped')
async def stop_daemon(installation: Installation, rng: random.Random, duration_s: float) -> str:
    """Shut a daemon down gracefully with SIGTERM, and restart it."""
    daemon = rng.choice(installation.daemons)
    if daemon.stopped:
        return 'nothing'
    daemon.stopped = True
    daemon.send_signal(signal.SIGCONT)
    daemon.send_signal(signal.SIGTERM)
    await daemon.wait_for_exit()
    daemon.start()
    daemon.stopped = False
    return daemon.name


@register_fault('daemon_reloads')
async def reload_daemon(installation: Installation, rng: random.Random, duration_s: float) -> str:
    """Make a daemon reload its settings with SIGHUP."""
    daemon = rng.choice(installation.daemons)
    daemon.send_signal(signal.SIGHUP)
    return daemon.name


@register_fault('config_changes')
async def change_config(installation: Installation, rng: random.Random, duration_s: float) -> str:
    """Publish new versions of the configuration."""
    for _ in range(rng.randint(1, 4)):
        installation.change_config()
        await asyncio.sleep(0.1)
    return str(installation.version)
