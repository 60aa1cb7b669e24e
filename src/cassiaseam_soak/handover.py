"""Faults aimed at the handover of the promotion lease from one daemon to the next.

Each fault crashes the primary first, so that a promotion is in progress.
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
PROMOTION_CALL_FAULTS = ('promotion_link', 'promotions_slow')
HOLDER_FAULTS = ('holder_killed', 'holder_paused', 'holder_paused_connecting')
# Bounds in seconds for pauses and for faults of promotion calls. They include values below and
# above both the timeout of such a call and the validity of the promotion lease.
MIN_DURATION_S = 0.5
MAX_DURATION_S = 4.0
# A fault waits this long for a lease claim, since the lease of another daemon must expire first.
CLAIM_TIMEOUT_S = 4.0
# Latest start of a series. Promotions slow down under faults, and the one that follows is the one
# under test.
HANDOVER_UNTIL_S = 14.0
# Shares of the series that affect the lease holder, and that delay writes of the store.
HOLDER_SHARE = 0.6
LATE_WRITES_SHARE = 0.25
# Maximum time in seconds between the faults of a series.
SERIES_SPREAD_S = 1.0
# Maximum times in seconds from a lease claim to the fencing and to the promotion that follow.
MAX_FENCE_DELAY_S = 0.03
MAX_PROMOTE_DELAY_S = 0.4
# Added to a pause that must outlast the lease of the paused daemon.
PAUSE_BEYOND_LEASE_S = 1.5
MAX_PAUSE_S = MAX_DURATION_S + PAUSE_BEYOND_LEASE_S
# Bounds of the downtime of a primary; no replica is promoted after a shorter one.
PRIMARY_DOWNTIME_RANGE_S = (2.0, 6.0)
# Time in seconds for which connections stay held after the pause begins.
EXTRA_HOLD_S = 0.3
# Maximum time in seconds from the start of a handover fault to its end.
HANDOVER_FAULT_MAX_S = CLAIM_TIMEOUT_S + MAX_PROMOTE_DELAY_S + MAX_PAUSE_S
# Interval in seconds between resets of a link.
RESET_PAUSE_S = 0.1


def plan_handover_faults(rng: random.Random, first_s: float) -> list[PlannedFault]:
    """Return series of overlapping faults.

    Each series disturbs the promotion calls. At most one of its faults affects the lease holder,
    since a daemon that fails twice does not reach the next step of the promotion.
    """
    planned = []
    for _ in range(rng.randint(3, 5)):
        start = rng.uniform(first_s, HANDOVER_UNTIL_S - SERIES_SPREAD_S)
        chosen = [rng.choice(PROMOTION_CALL_FAULTS)]
        if rng.random() < HOLDER_SHARE:
            chosen.append(rng.choice(HOLDER_FAULTS))
        if rng.random() < LATE_WRITES_SHARE:
            chosen.append('store_writes_late')
        for kind in chosen:
            at = start + rng.uniform(0, SERIES_SPREAD_S)
            planned.append(PlannedFault(at, kind, rng.uniform(MIN_DURATION_S, MAX_DURATION_S)))
    return sorted(planned, key=lambda fault: fault.at)


def register_handover_fault(name: str) -> Callable[[FaultAction], FaultAction]:
    """Register a coroutine that injects a fault while the primary is down."""

    def register(action: FaultAction) -> FaultAction:
        async def crash_and_run(
            installation: Installation, rng: random.Random, duration_s: float
        ) -> str:
            primary = installation.group.find_primary()
            if primary is None:
                return await action(installation, rng, duration_s)
            await primary.crash()
            down_s = rng.uniform(*PRIMARY_DOWNTIME_RANGE_S)
            hit, _ = await asyncio.gather(
                action(installation, rng, duration_s), restart_after(primary, down_s)
            )
            return f'{hit}, {primary.name} down for {down_s:.2f}s'

        HANDOVER_FAULTS[name] = crash_and_run
        return action

    return register


async def restart_after(target: LineTarget, down_s: float) -> None:
    """Restart a crashed target after `down_s` seconds."""
    await asyncio.sleep(down_s)
    await target.restart()


async def wait_for_lease_claim(
    installation: Installation, hit: Callable[[Daemon], None]
) -> Daemon | None:
    """Call `hit` with the next daemon that claims the promotion lease, before it gets the answer.

    Returns:
        The daemon, or None if no claim is made within `CLAIM_TIMEOUT_S`.
    """
    daemons = {daemon.name: daemon for daemon in installation.daemons}
    caught: asyncio.Future[Daemon] = asyncio.get_running_loop().create_future()

    def observe(kind: str, stored: dict[str, Any]) -> None:
        if kind != DUTY_KIND or stored['spec']['released'] or caught.done():
            return
        daemon = daemons[stored['spec']['holder']]
        # A delayed write may come from a daemon that has exited since.
        if not daemon.stopped:
            hit(daemon)
            caught.set_result(daemon)

    installation.store.write_observers.append(observe)
    try:
        async with asyncio.timeout(CLAIM_TIMEOUT_S):
            return await caught
    except TimeoutError:
        return None
    finally:
        installation.store.write_observers.remove(observe)


def draw_lag(rng: random.Random) -> float:
    """Return the delay in seconds from a lease claim to the fault: 0, or during a later step."""
    return rng.choice((0, rng.uniform(0, MAX_FENCE_DELAY_S), rng.uniform(0, MAX_PROMOTE_DELAY_S)))


def pause(daemon: Daemon) -> None:
    """Suspend a daemon with SIGSTOP."""
    daemon.send_signal(signal.SIGSTOP)


def kill(daemon: Daemon) -> None:
    """Kill a daemon, and mark it stopped so that other faults skip it until it is restarted."""
    daemon.stopped = True
    daemon.send_signal(signal.SIGKILL)


async def hit_holder(
    installation: Installation, hit: Callable[[Daemon], None], lag_s: float
) -> tuple[Daemon | None, str]:
    """Call `hit` with the next lease holder, `lag_s` seconds after its claim."""
    daemon = await wait_for_lease_claim(installation, _do_nothing if lag_s else hit)
    if daemon is None:
        return None, 'nothing'
    if lag_s:
        await asyncio.sleep(lag_s)
        if daemon.stopped:
            return None, 'nothing'
        hit(daemon)
    now = asyncio.get_running_loop().time()
    return daemon, f'{daemon.name} {lag_s:.3f}s after its claim at t={now:.3f}'


def _do_nothing(daemon: Daemon) -> None:
    """Apply no fault at the time of the claim."""


@register_handover_fault('holder_paused')
async def pause_holder(installation: Installation, rng: random.Random, duration_s: float) -> str:
    """Pause the daemon that claims the promotion lease."""
    daemon, description = await hit_holder(installation, pause, draw_lag(rng))
    if daemon is not None:
        await asyncio.sleep(duration_s)
        daemon.send_signal(signal.SIGCONT)
    return description


@register_handover_fault('holder_paused_connecting')
async def pause_connecting_holder(
    installation: Installation, rng: random.Random, duration_s: float
) -> str:
    """Pause the daemon that claims the promotion lease while it connects to the promotion API.

    The kernel completes the connection during the pause, so the daemon sends its call when it
    resumes, at which time another daemon may hold the lease.
    """
    lag_s = rng.uniform(MAX_FENCE_DELAY_S, MAX_PROMOTE_DELAY_S)
    holds = []

    def hold(daemon: Daemon) -> None:
        proxy = installation.promotion_proxies[installation.daemons.index(daemon)]
        holds.append(asyncio.ensure_future(proxy.hold_connections(lag_s + EXTRA_HOLD_S)))

    daemon = await wait_for_lease_claim(installation, hold)
    if daemon is None:
        return 'nothing'
    await asyncio.sleep(lag_s)
    daemon.send_signal(signal.SIGSTOP)
    await asyncio.sleep(duration_s + PAUSE_BEYOND_LEASE_S)
    daemon.send_signal(signal.SIGCONT)
    await asyncio.gather(*holds)
    return f'{daemon.name} {lag_s:.3f}s after its claim'


@register_handover_fault('holder_killed')
async def kill_holder(installation: Installation, rng: random.Random, duration_s: float) -> str:
    """Kill the daemon that claims the promotion lease, and restart it."""
    daemon, description = await hit_holder(installation, kill, draw_lag(rng))
    if daemon is not None:
        daemon.process.wait()
        # Half of the time the restarted daemon can claim the lease again before any other may.
        await asyncio.sleep(rng.choice((0, duration_s)))
        daemon.start()
        daemon.stopped = False
    return description


@register_handover_fault('promotion_link')
async def break_promotion_link(
    installation: Installation, rng: random.Random, duration_s: float
) -> str:
    """Inject a link fault to the promotion API for all daemons, or for the next lease holder."""
    kind = rng.choice(list(LinkFault))
    delay_s = rng.uniform(0.2, MAX_DURATION_S)
    proxies = installation.promotion_proxies
    description = f'{kind.value} of all, delays of {delay_s:.2f}s'
    if rng.choice((True, False)):
        daemon = await wait_for_lease_claim(installation, _do_nothing)
        if daemon is None:
            return 'nothing'
        proxies = [proxies[installation.daemons.index(daemon)]]
        description = f'{kind.value} of {daemon.name}, delays of {delay_s:.2f}s'
    if kind is not LinkFault.RESET:
        for proxy in proxies:
            proxy.inject(kind, '', duration_s, delay_s)
        return description
    # Each call opens its own connection, so a single reset would rarely affect one.
    for _ in range(int(duration_s / RESET_PAUSE_S)):
        for proxy in proxies:
            proxy.inject(kind, '', 0)
        await asyncio.sleep(RESET_PAUSE_S)
    return description


@register_handover_fault('promotions_slow')
async def slow_promotions(
    installation: Installation, rng: random.Random, duration_s: float
) -> str:
    """Make the promotion API process calls late or never, with or without an answer."""
    store = installation.store
    store.promotion_delay_s = rng.choice(
        (NEVER_S, *(rng.uniform(0.5, MAX_DURATION_S) for _ in '123'))
    )
    store.promotions_unanswered = rng.choice((True, False))
    description = f'by {store.promotion_delay_s:.2f}s, unanswered={store.promotions_unanswered}'
    await asyncio.sleep(duration_s)
    store.promotion_delay_s = 0
    store.promotions_unanswered = False
    return description


@register_handover_fault('store_writes_late')
async def delay_store_writes(
    installation: Installation, rng: random.Random, duration_s: float
) -> str:
    """Make the store apply conditional writes late and without an answer."""
    store = installation.store
    store.write_delay_s = rng.uniform(1, MAX_DURATION_S)
    description = f'by {store.write_delay_s:.2f}s'
    await asyncio.sleep(duration_s)
    store.write_delay_s = 0
    return description
