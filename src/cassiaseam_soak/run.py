"""One soak run from one seed, and its verdict."""

import asyncio
import random
from dataclasses import dataclass
from pathlib import Path

from cassiaseam_soak.callers import Caller, Ledger, SessionLost
from cassiaseam_soak.faults import FAULTS, PlannedFault, plan_faults
from cassiaseam_soak.handover import (
    HANDOVER_FAULTS,
    HANDOVER_LIMIT_S,
    HANDOVER_UNTIL_S,
    LONGEST_PAUSE_S,
    plan_handover_faults,
)
from cassiaseam_soak.installation import ROUTES, Installation

FAULTS_FROM_S = 1.0
FAULTS_UNTIL_S = 6.0
# Time in seconds after the last planned fault in which everything has to work again.
RECOVERY_S = 7.0
SERVED_AT_LEAST = 50


@dataclass(frozen=True, slots=True)
class SoakShape:
    """Size of a run: daemons, callers per database, and whether faults aim at the hand-over."""

    daemons: int = 3
    callers: int = 3
    handover: bool = False


@dataclass(frozen=True, slots=True)
class SoakReport:
    """Result of a run.

    Attributes:
        trace: Calls to promote and promotions, with seconds on the clock of the daemons' logs.
    """

    seed: int
    broken: tuple[str, ...]
    outcomes: dict[str, int]
    faults: tuple[str, ...]
    trace: tuple[str, ...]


async def run_soak(seed: int, folder: Path, shape: SoakShape) -> SoakReport:
    """Run the daemons under faults and check the promises."""
    rng = random.Random(seed)
    installation = Installation(folder, shape.daemons, separate_promotions=shape.handover)
    ledger = Ledger()
    described: list[str] = []
    try:
        await installation.start()
        faults = plan_faults(rng, FAULTS_FROM_S, FAULTS_UNTIL_S)
        end = asyncio.get_running_loop().time() + FAULTS_UNTIL_S + RECOVERY_S
        if shape.handover:
            # A generator of its own keeps the other faults of a seed as they are without it.
            own_rng = random.Random(f'handover-{seed}')
            faults += plan_handover_faults(own_rng, FAULTS_FROM_S)
            end += HANDOVER_UNTIL_S - FAULTS_UNTIL_S + HANDOVER_LIMIT_S
            # A daemon that is paused for longer than the usual slack cannot answer meanwhile.
            ledger.answer_limit_s += LONGEST_PAUSE_S
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
        check_superseded(installation, ledger)
    finally:
        await installation.stop()
    return SoakReport(
        seed,
        tuple(ledger.broken),
        dict(ledger.outcomes),
        tuple(described),
        tuple(describe_promotions(installation)),
    )


async def inject(
    installation: Installation, rng: random.Random, fault: PlannedFault, described: list[str]
) -> None:
    """Inject one fault at its time."""
    await asyncio.sleep(fault.at)
    own_rng = random.Random(f'{fault.at}')
    action = FAULTS.get(fault.kind) or HANDOVER_FAULTS[fault.kind]
    started = asyncio.get_running_loop().time()
    hit = await action(installation, own_rng, fault.for_s)
    described.append(f'{fault.at:.2f}s {fault.kind} {fault.for_s:.2f}s {hit} (t={started:.3f})')


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
    for call in installation.store.promotions:
        if call.token < newest or holders.setdefault(call.token, call.holder) != call.holder:
            ledger.broken.append(f'token {call.token} of {call.holder} after {newest}')
        newest = max(newest, call.token)


def check_superseded(installation: Installation, ledger: Ledger) -> None:
    """Check that no write of a former primary is acknowledged that came after the promotion."""
    for commit in installation.group.superseded_commits:
        if commit.text in ledger.acknowledged:
            ledger.broken.append(
                f'acknowledged at a former primary: {commit.text} at {commit.target}, term '
                f'{commit.term} after {commit.newest_term} (t={commit.at:.3f})'
            )


def describe_promotions(installation: Installation) -> list[str]:
    """Return the calls to promote and the promotions that took effect, in the order of time."""
    lines = []
    for call in installation.store.promotions:
        processed = 'never' if call.processed_at is None else f'{call.processed_at:.3f}'
        text = f'call token={call.token} holder={call.holder} target={call.target}'
        lines.append((call.arrived_at, f'{text} processed={processed} accepted={call.accepted}'))
    for start in installation.group.term_starts:
        lines.append((start.at, f'promotion of {start.target} took effect, term {start.term}'))
    return [f't={at:.3f} {text}' for at, text in sorted(lines)]
