"""One soak run from one seed, and its verdict."""

import asyncio
import random
from dataclasses import dataclass
from pathlib import Path

from cassiaseam_soak.callers import Caller, Ledger, SessionLost
from cassiaseam_soak.faults import FAULTS, PlannedFault, plan_faults
from cassiaseam_soak.installation import ROUTES, Installation

FAULTS_FROM_S = 1.0
FAULTS_UNTIL_S = 6.0
# Time in seconds after the last planned fault in which everything has to work again.
RECOVERY_S = 7.0
SERVED_AT_LEAST = 50


@dataclass(frozen=True, slots=True)
class SoakShape:
    """Size of a run: daemons, and callers per database."""

    daemons: int = 3
    callers: int = 3


@dataclass(frozen=True, slots=True)
class SoakReport:
    """Result of a run."""

    seed: int
    broken: tuple[str, ...]
    outcomes: dict[str, int]
    faults: tuple[str, ...]


async def run_soak(seed: int, folder: Path, shape: SoakShape) -> SoakReport:
    """Run the daemons under faults and check the promises."""
    rng = random.Random(seed)
    installation = Installation(folder, shape.daemons)
    ledger = Ledger()
    described: list[str] = []
    try:
        await installation.start()
        faults = plan_faults(rng, FAULTS_FROM_S, FAULTS_UNTIL_S)
        end = asyncio.get_running_loop().time() + FAULTS_UNTIL_S + RECOVERY_S
        ports = [daemon.callers_port for daemon in installation.daemons]
        callers = [
            Caller(f'{database}{index}', database, ports, ledger, seed)
            for database in ROUTES
            for index in range(shape.callers)
        ]
        injected = [inject(installation, rng, fault, described) for fault in faults]
        await asyncio.gather(*(caller.run_until(end) for caller in callers), *injected)
        await check_recovery(installation, ledger)
        check_log(installation, ledger)
        check_ends(installation, ledger)
        check_tokens(installation, ledger)
    finally:
        await installation.stop()
    return SoakReport(seed, tuple(ledger.broken), dict(ledger.outcomes), tuple(described))


async def inject(
    installation: Installation, rng: random.Random, fault: PlannedFault, described: list[str]
) -> None:
    """Inject one fault at its time."""
    await asyncio.sleep(fault.at)
    own_rng = random.Random(f'{fault.at}')
    hit = await FAULTS[fault.kind](installation, own_rng, fault.for_s)
    described.append(f'{fault.at:.2f}s {fault.kind} {fault.for_s:.2f}s {hit}')


async def check_recovery(installation: Installation, ledger: Ledger) -> None:
    """Check that every daemon serves a write after the faults."""
    for daemon in installation.daemons:
        caller = Caller(f'last-{daemon.name}', 'orders', [daemon.callers_port], ledger, 0)
        if not await serves_soon(caller):
            ledger.broken.append(f'{daemon.name} does not serve writes after the faults')


async def serves_soon(caller: Caller, limit_s: float = 5.0) -> bool:
    """Return whether a caller gets a write acknowledged within some seconds."""
    loop = asyncio.get_running_loop()
    end = loop.time() + limit_s
    known = len(caller.ledger.acknowledged)
    while loop.time() < end:
        try:
            if caller.session is None:
                await caller.connect()
            await caller.write()
        except (OSError, SessionLost) as error:
            caller.ledger.outcomes[f'retry {type(error).__name__}'] += 1
            caller.leave()
        if len(caller.ledger.acknowledged) > known:
            caller.leave()
            return True
        await asyncio.sleep(0.1)
    return False


def check_log(installation: Installation, ledger: Ledger) -> None:
    """Check that the log keeps what was acknowledged, once, and nothing that was denied."""
    primary = installation.group.find_primary()
    if primary is None:
        ledger.broken.append('no primary after the faults')
        return
    kept = [entry.text for entry in primary.log]
    for item in set(ledger.acknowledged) - set(kept):
        ledger.broken.append(f'acknowledged and lost: {item}')
    if len(set(kept)) != len(kept):
        ledger.broken.append('a write took effect twice')
    for item in ledger.denied & set(kept):
        ledger.broken.append(f'promised not to be kept: {item}')
    for target in installation.group.targets.values():
        for request_id, text in target.ran.items():
            if ledger.texts.get(request_id) != text:
                ledger.broken.append(f'{target.name} ran {text!r} that no caller sent')
    if ledger.outcomes['success'] < SERVED_AT_LEAST:
        ledger.broken.append(f'only {ledger.outcomes["success"]} statements were served')
    if ledger.outcomes['hanging']:
        ledger.broken.append(f'{ledger.outcomes["hanging"]} statements got no answer')


def check_ends(installation: Installation, ledger: Ledger) -> None:
    """Check that daemons ended only when told to, and with code 0."""
    for daemon in installation.daemons:
        if any(daemon.exit_codes):
            ledger.broken.append(f'{daemon.name} ended with {daemon.exit_codes}')
        if daemon.process.poll() is not None:
            ledger.broken.append(f'{daemon.name} ended by itself: {daemon.process.returncode}')


def check_tokens(installation: Installation, ledger: Ledger) -> None:
    """Check that fencing tokens never go down and belong to one holder each."""
    newest = 0
    holders: dict[int, str] = {}
    for _, _, holder, token in installation.store.promotions:
        if token < newest or holders.setdefault(token, holder) != holder:
            ledger.broken.append(f'token {token} of {holder} after {newest}')
        newest = max(newest, token)
