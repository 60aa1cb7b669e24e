"""A single soak run from a seed, and the checks of its result."""

import asyncio
import contextlib
import random
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from cassiaseam_soak.account_callers import build_account_callers, build_probe
from cassiaseam_soak.account_checks import check_accounts, watch_disturbances
from cassiaseam_soak.account_faults import ACCOUNT_FAULTS, plan_account_faults
from cassiaseam_soak.accounts import KEY_MARKER, AccountBook
from cassiaseam_soak.callers import Caller, Ledger, SessionLost
from cassiaseam_soak.faults import FAULTS, PlannedFault, plan_faults
from cassiaseam_soak.handover import (
    HANDOVER_FAULT_MAX_S,
    HANDOVER_FAULTS,
    HANDOVER_UNTIL_S,
    MAX_PAUSE_S,
    plan_handover_faults,
)
from cassiaseam_soak.installation import ROUTES, Installation, get_version_database
from cassiaseam_soak.restores import (
    RESTORE_FAULT_MAX_S,
    RESTORE_FAULTS,
    RESTORES_UNTIL_S,
    plan_restore_faults,
)

FAULTS_FROM_S = 1.0
FAULTS_UNTIL_S = 6.0
# Time in seconds after the last scheduled fault within which the system must recover.
RECOVERY_S = 7.0
MIN_SUCCESSFUL_STATEMENTS = 50
ALL_FAULTS = {**FAULTS, **HANDOVER_FAULTS, **RESTORE_FAULTS, **ACCOUNT_FAULTS}


@dataclass(frozen=True, slots=True)
class SoakShape:
    """Size of a run, and the faults that it adds.

    Attributes:
        daemons: Number of daemons.
        callers: Number of callers per database.
        handover: Whether to add faults at the handover of the promotion lease.
        restores: Whether to add restores of the store.
        accounts: Whether callers use the keys of client accounts, and to add faults of these.
    """

    daemons: int = 3
    callers: int = 3
    handover: bool = False
    restores: bool = False
    accounts: bool = False


@dataclass(frozen=True, slots=True)
class SoakReport:
    """Result of a run.

    Attributes:
        trace: Promotion calls and promotions, timed on the clock that the daemon logs use.
    """

    seed: int
    violations: tuple[str, ...]
    outcomes: dict[str, int]
    faults: tuple[str, ...]
    trace: tuple[str, ...]


async def run_soak(seed: int, folder: Path, shape: SoakShape) -> SoakReport:
    """Run the daemons under faults and check their guarantees."""
    rng = random.Random(seed)
    book = AccountBook() if shape.accounts else None
    installation = Installation(folder, shape.daemons, shape.handover, accounts=book)
    ledger = Ledger()
    descriptions: list[str] = []
    try:
        await installation.start()
        faults = plan_faults(rng, FAULTS_FROM_S, FAULTS_UNTIL_S)
        end = asyncio.get_running_loop().time() + FAULTS_UNTIL_S + RECOVERY_S
        if shape.handover:
            # A separate generator leaves the other faults of a seed unchanged.
            own_rng = random.Random(f'handover-{seed}')
            faults += plan_handover_faults(own_rng, FAULTS_FROM_S)
            end += HANDOVER_UNTIL_S - FAULTS_UNTIL_S + HANDOVER_FAULT_MAX_S
            # A paused daemon cannot answer, and a pause may exceed the usual slack.
            ledger.answer_timeout_s += MAX_PAUSE_S
        if shape.restores:
            faults += plan_restore_faults(random.Random(f'restores-{seed}'), FAULTS_FROM_S)
            end += RESTORES_UNTIL_S - FAULTS_UNTIL_S + RESTORE_FAULT_MAX_S
            ledger.answer_timeout_s += MAX_PAUSE_S
        if book is not None:
            own_rng = random.Random(f'accounts-{seed}')
            faults += plan_account_faults(own_rng, FAULTS_FROM_S, FAULTS_UNTIL_S)
        callers = build_callers(installation, ledger, seed, shape)
        injected = [inject(installation, rng, fault, descriptions) for fault in faults]
        with watching_accounts(installation):
            await asyncio.gather(*(caller.run_until(end) for caller in callers), *injected)
        await check_recovery(installation, ledger)
        await check_configuration(installation, ledger)
        if book is not None:
            await check_accounts(installation, book, ledger)
        check_log(installation, ledger)
        check_exits(installation, ledger)
        check_fencing_tokens(installation, ledger)
        check_former_primaries(installation, ledger)
    finally:
        await installation.stop()
    return SoakReport(
        seed,
        tuple(ledger.violations),
        dict(ledger.outcomes),
        tuple(descriptions),
        tuple(describe_promotions(installation)),
    )


def build_callers(
    installation: Installation, ledger: Ledger, seed: int, shape: SoakShape
) -> list[Caller]:
    """Return the callers of a run."""
    if installation.accounts is not None:
        book = installation.accounts
        return build_account_callers(installation, book, ledger, seed, shape.callers)
    ports = [daemon.callers_port for daemon in installation.daemons]
    return [
        Caller(f'{database}{index}', database, ports, ledger, seed)
        for database in ROUTES
        for index in range(shape.callers)
    ]


@contextlib.contextmanager
def watching_accounts(installation: Installation) -> Iterator[None]:
    """Record what the checks of accounts need while the faults are injected."""
    if installation.accounts is None:
        yield
        return
    for target in installation.group.targets.values():
        target.forbidden_word = KEY_MARKER.encode()
    task = asyncio.ensure_future(watch_disturbances(installation, installation.accounts))
    try:
        yield
    finally:
        task.cancel()


async def inject(
    installation: Installation, rng: random.Random, fault: PlannedFault, descriptions: list[str]
) -> None:
    """Wait for the start time of a fault and inject it."""
    await asyncio.sleep(fault.at)
    own_rng = random.Random(f'{fault.at}')
    action = ALL_FAULTS[fault.kind]
    started = asyncio.get_running_loop().time()
    hit = await action(installation, own_rng, fault.duration_s)
    descriptions.append(
        f'{fault.at:.2f}s {fault.kind} {fault.duration_s:.2f}s {hit} (t={started:.3f})'
    )


async def check_configuration(installation: Installation, ledger: Ledger) -> None:
    """Check that every daemon has applied the newest version of the configuration."""
    database = get_version_database(installation.version)
    for daemon in installation.daemons:
        caller = build_probe(installation, ledger, daemon, database)
        try:
            await caller.connect()
        except (OSError, SessionLost) as error:
            ledger.violations.append(
                f'{daemon.name} lacks version {installation.version}: {error!r}'
            )
        caller.disconnect()


async def check_recovery(installation: Installation, ledger: Ledger) -> None:
    """Check that every daemon serves a write after the faults."""
    for daemon in installation.daemons:
        caller = build_probe(installation, ledger, daemon, 'orders')
        if not await serves_soon(caller):
            ledger.violations.append(f'{daemon.name} does not serve writes after the faults')


async def serves_soon(caller: Caller, timeout_s: float = 5.0) -> bool:
    """Return whether a write of the caller is acknowledged within the timeout."""
    loop = asyncio.get_running_loop()
    end = loop.time() + timeout_s
    known = len(caller.ledger.acknowledged)
    while loop.time() < end:
        try:
            if caller.session is None:
                await caller.connect()
            await caller.write()
        except (OSError, SessionLost) as error:
            caller.ledger.outcomes[f'retry {type(error).__name__}'] += 1
            caller.disconnect()
        if len(caller.ledger.acknowledged) > known:
            caller.disconnect()
            return True
        await asyncio.sleep(0.1)
    return False


def check_log(installation: Installation, ledger: Ledger) -> None:
    """Check that the log holds every acknowledged write once, and no rejected write."""
    primary = installation.group.find_primary()
    if primary is None:
        ledger.violations.append('no primary after the faults')
        return
    kept = [entry.text for entry in primary.log]
    for item in set(ledger.acknowledged) - set(kept):
        ledger.violations.append(f'acknowledged and lost: {item}')
    if len(set(kept)) != len(kept):
        ledger.violations.append('a write took effect twice')
    for item in ledger.rejected_items & set(kept):
        ledger.violations.append(f'promised not to be kept: {item}')
    for target in installation.group.targets.values():
        for request_id, text in target.ran.items():
            if ledger.texts.get(request_id) != text:
                ledger.violations.append(f'{target.name} ran {text!r} that no caller sent')
    if ledger.outcomes['success'] < MIN_SUCCESSFUL_STATEMENTS:
        ledger.violations.append(f'only {ledger.outcomes["success"]} statements were served')
    if ledger.outcomes['hanging']:
        ledger.violations.append(f'{ledger.outcomes["hanging"]} statements got no answer')


def check_exits(installation: Installation, ledger: Ledger) -> None:
    """Check that daemons exited only on request, and with code 0."""
    for daemon in installation.daemons:
        if any(daemon.exit_codes):
            ledger.violations.append(f'{daemon.name} ended with {daemon.exit_codes}')
        if daemon.process.poll() is not None:
            ledger.violations.append(f'{daemon.name} ended by itself: {daemon.process.returncode}')


def check_fencing_tokens(installation: Installation, ledger: Ledger) -> None:
    """Check that fencing tokens never decrease and that each belongs to one holder."""
    newest = 0
    holders: dict[int, str] = {}
    for call in installation.store.promotions:
        if call.token < newest or holders.setdefault(call.token, call.holder) != call.holder:
            ledger.violations.append(f'token {call.token} of {call.holder} after {newest}')
        newest = max(newest, call.token)


def check_former_primaries(installation: Installation, ledger: Ledger) -> None:
    """Check that no write committed by a former primary after a promotion was acknowledged."""
    for commit in installation.group.superseded_commits:
        if commit.text in ledger.acknowledged:
            ledger.violations.append(
                f'acknowledged at a former primary: {commit.text} at {commit.target}, term '
                f'{commit.term} after {commit.newest_term} (t={commit.at:.3f})'
            )


def describe_promotions(installation: Installation) -> list[str]:
    """Return promotion calls and promotions that took effect, ordered by time."""
    lines = []
    for call in installation.store.promotions:
        processed = 'never' if call.processed_at is None else f'{call.processed_at:.3f}'
        text = f'call token={call.token} holder={call.holder} target={call.target}'
        lines.append((call.arrived_at, f'{text} processed={processed} accepted={call.accepted}'))
    for start in installation.group.term_starts:
        lines.append((start.at, f'promotion of {start.target} took effect, term {start.term}'))
    return [f't={at:.3f} {text}' for at, text in sorted(lines)]
