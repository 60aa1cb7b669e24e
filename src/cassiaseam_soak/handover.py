"""Faults aimed at the hand-over from one daemon that promotes to the next.

Each of them crashes the primary first, so that a promotion is under way.
"""

import asyncio
import random
import signal
from collections.abc import Callable
from typing import Any

from cassiaseam.platform.records import DUTY_KIND
from cassiaseam_soak.faults import FaultAction, PlannedFault
from cassiaseam_soak.installation import Daemon, Installation
from cassiaseam_soak.proxy import LinkFault
from cassiaseam_standin.line_store import NEVER_S
from cassiaseam_standin.line_target import LineTarget

HANDOVER_FAULTS: dict[str, FaultAction] = {}
CALL_FAULTS = ('promotion_link', 'promotions_slow')
HOLDER_FAULTS = ('holder_killed', 'holder_paused', 'holder_paused_connecting')
# Durations in seconds of a pause or of trouble with the calls to promote: below and above the
# time limit of such a call and the lifetime of a claim of the duty.
SHORTEST_S = 0.5
LONGEST_S = 4.0
# Seconds for which a fault waits for a claim; a claim of another daemon has to expire before.
CLAIM_WAIT_S = 4.0
# Time in seconds until which the series begin: a promotion that is under trouble takes some, and
# the one after it is of interest.
HANDOVER_UNTIL_S = 14.0
# Shares of the series that hit the holder, and that let the store write late.
HOLDER_SHARE = 0.6
LATE_WRITES_SHARE = 0.25
# Longest time in seconds between the faults of a series.
SERIES_SPREAD_S = 1.0
# Longest times in seconds from a claim to the steps that follow: to fence, and to promote.
NEXT_STEP_S = 0.03
LATER_STEP_S = 0.4
# Seconds by which a pause is longer that has to outlast the claim of the paused daemon.
OUTLAST_S = 1.5
LONGEST_PAUSE_S = LONGEST_S + OUTLAST_S
# Bounds in seconds of the time that a primary is down: after a shorter one it is not replaced.
DOWN_S = (2.0, 6.0)
# Seconds of a pause for which connections are still held.
HELD_PAUSE_S = 0.3
# Seconds after its time within which such a fault is over.
HANDOVER_LIMIT_S = CLAIM_WAIT_S + LATER_STEP_S + LONGEST_PAUSE_S
# Pause in seconds between resets of a link.
RESET_PAUSE_S = 0.1


def plan_handover_faults(rng: random.Random, first_s: float) -> list[PlannedFault]:
    """Return series of faults that overlap.

    Each series has trouble with the calls to promote. At most one of its faults hits the holder,
    since a daemon that is hit again does not come to the next step.
    """
    planned = []
    for _ in range(rng.randint(3, 5)):
        start = rng.uniform(first_s, HANDOVER_UNTIL_S - SERIES_SPREAD_S)
        chosen = [rng.choice(CALL_FAULTS)]
        if rng.random() < HOLDER_SHARE:
            chosen.append(rng.choice(HOLDER_FAULTS))
        if rng.random() < LATE_WRITES_SHARE:
            chosen.append('store_writes_late')
        for kind in chosen:
            at = start + rng.uniform(0, SERIES_SPREAD_S)
            planned.append(PlannedFault(at, kind, rng.uniform(SHORTEST_S, LONGEST_S)))
    return sorted(planned, key=lambda fault: fault.at)


def registers_handover_fault(name: str) -> Callable[[FaultAction], FaultAction]:
    """Register a coroutine that injects a fault while the primary is down."""

    def register(action: FaultAction) -> FaultAction:
        async def crash_and_run(
            installation: Installation, rng: random.Random, for_s: float
        ) -> str:
            primary = installation.group.find_primary()
            if primary is None:
                return await action(installation, rng, for_s)
            await primary.crash()
            down_s = rng.uniform(*DOWN_S)
            hit, _ = await asyncio.gather(
                action(installation, rng, for_s), restart_after(primary, down_s)
            )
            return f'{hit}, {primary.name} down for {down_s:.2f}s'

        HANDOVER_FAULTS[name] = crash_and_run
        return action

    return register


async def restart_after(target: LineTarget, down_s: float) -> None:
    """Let a target that has crashed come back after some seconds."""
    await asyncio.sleep(down_s)
    await target.restart()


async def catch_claim(installation: Installation, hit: Callable[[Daemon], None]) -> Daemon | None:
    """Call `hit` with the next daemon that claims the duty, before it learns that it holds it.

    Returns:
        The daemon, or None when there was no claim within `CLAIM_WAIT_S`.
    """
    daemons = {daemon.name: daemon for daemon in installation.daemons}
    caught: asyncio.Future[Daemon] = asyncio.get_running_loop().create_future()

    def observe(kind: str, stored: dict[str, Any]) -> None:
        if kind != DUTY_KIND or stored['spec']['released'] or caught.done():
            return
        daemon = daemons[stored['spec']['holder']]
        # A late write may come from a daemon that has ended since.
        if not daemon.stopped:
            hit(daemon)
            caught.set_result(daemon)

    installation.store.write_observers.append(observe)
    try:
        async with asyncio.timeout(CLAIM_WAIT_S):
            return await caught
    except TimeoutError:
        return None
    finally:
        installation.store.write_observers.remove(observe)


def draw_lag(rng: random.Random) -> float:
    """Return the seconds after a claim at which its holder is hit: at once, or at a later step."""
    return rng.choice((0, rng.uniform(0, NEXT_STEP_S), rng.uniform(0, LATER_STEP_S)))


def pause(daemon: Daemon) -> None:
    """Stop a daemon from running."""
    daemon.send_signal(signal.SIGSTOP)


def kill(daemon: Daemon) -> None:
    """End a daemon, and keep other faults off it until it is started again."""
    daemon.stopped = True
    daemon.send_signal(signal.SIGKILL)


async def hit_holder(
    installation: Installation, hit: Callable[[Daemon], None], lag_s: float
) -> tuple[Daemon | None, str]:
    """Hit the daemon that claims the duty, at the claim or a little later."""
    daemon = await catch_claim(installation, _ignore if lag_s else hit)
    if daemon is None:
        return None, 'nothing'
    if lag_s:
        await asyncio.sleep(lag_s)
        if daemon.stopped:
            return None, 'nothing'
        hit(daemon)
    now = asyncio.get_running_loop().time()
    return daemon, f'{daemon.name} {lag_s:.3f}s after its claim at t={now:.3f}'


def _ignore(daemon: Daemon) -> None:
    """Leave a daemon alone at the moment of its claim."""


@registers_handover_fault('holder_paused')
async def pause_holder(installation: Installation, rng: random.Random, for_s: float) -> str:
    """Pause the daemon that claims the duty."""
    daemon, described = await hit_holder(installation, pause, draw_lag(rng))
    if daemon is not None:
        await asyncio.sleep(for_s)
        daemon.send_signal(signal.SIGCONT)
    return described


@registers_handover_fault('holder_paused_connecting')
async def pause_connecting_holder(
    installation: Installation, rng: random.Random, for_s: float
) -> str:
    """Pause the daemon that claims the duty while it connects to the promotion API.

    The kernel completes the connection during the pause, so that the call is sent when the daemon
    goes on, at which time another one may hold the duty.
    """
    lag_s = rng.uniform(NEXT_STEP_S, LATER_STEP_S)
    holds = []

    def hold(daemon: Daemon) -> None:
        proxy = installation.promotion_proxies[installation.daemons.index(daemon)]
        holds.append(asyncio.ensure_future(proxy.hold_connections(lag_s + HELD_PAUSE_S)))

    daemon = await catch_claim(installation, hold)
    if daemon is None:
        return 'nothing'
    await asyncio.sleep(lag_s)
    daemon.send_signal(signal.SIGSTOP)
    await asyncio.sleep(for_s + OUTLAST_S)
    daemon.send_signal(signal.SIGCONT)
    await asyncio.gather(*holds)
    return f'{daemon.name} {lag_s:.3f}s after its claim'


@registers_handover_fault('holder_killed')
async def kill_holder(installation: Installation, rng: random.Random, for_s: float) -> str:
    """Kill the daemon that claims the duty, and start it again."""
    daemon, described = await hit_holder(installation, kill, draw_lag(rng))
    if daemon is not None:
        daemon.process.wait()
        # Half of the time the same name claims again before another daemon may.
        await asyncio.sleep(rng.choice((0, for_s)))
        daemon.start()
        daemon.stopped = False
    return described


@registers_handover_fault('promotion_link')
async def break_promotion_link(
    installation: Installation, rng: random.Random, for_s: float
) -> str:
    """Break the link of all daemons, or of the next that claims the duty, to the promotion API."""
    kind = rng.choice(list(LinkFault))
    delay_s = rng.uniform(0.2, LONGEST_S)
    proxies = installation.promotion_proxies
    described = f'{kind.value} of all, delays of {delay_s:.2f}s'
    if rng.choice((True, False)):
        daemon = await catch_claim(installation, _ignore)
        if daemon is None:
            return 'nothing'
        proxies = [proxies[installation.daemons.index(daemon)]]
        described = f'{kind.value} of {daemon.name}, delays of {delay_s:.2f}s'
    if kind is not LinkFault.RESET:
        for proxy in proxies:
            proxy.inject(kind, '', for_s, delay_s)
        return described
    # Each call opens a connection, so that one reset would rarely meet any.
    for _ in range(int(for_s / RESET_PAUSE_S)):
        for proxy in proxies:
            proxy.inject(kind, '', 0)
        await asyncio.sleep(RESET_PAUSE_S)
    return described


@registers_handover_fault('promotions_slow')
async def slow_promotions(installation: Installation, rng: random.Random, for_s: float) -> str:
    """Let the promotion API carry calls out late or never, with or without an answer."""
    store = installation.store
    store.promotion_delay_s = rng.choice((NEVER_S, *(rng.uniform(0.5, LONGEST_S) for _ in '123')))
    store.promotions_unanswered = rng.choice((True, False))
    described = f'by {store.promotion_delay_s:.2f}s, unanswered={store.promotions_unanswered}'
    await asyncio.sleep(for_s)
    store.promotion_delay_s = 0
    store.promotions_unanswered = False
    return described


@registers_handover_fault('store_writes_late')
async def delay_store_writes(installation: Installation, rng: random.Random, for_s: float) -> str:
    """Let the store carry conditional writes out late and without an answer."""
    store = installation.store
    store.late_write_s = rng.uniform(1, LONGEST_S)
    described = f'by {store.late_write_s:.2f}s'
    await asyncio.sleep(for_s)
    store.late_write_s = 0
    return described
