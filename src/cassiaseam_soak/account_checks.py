"""Checks of a soak run with client accounts."""

import asyncio
import math

from cassiaseam_soak.account_callers import DENIED_LINE
from cassiaseam_soak.accounts import (
    CALM_ACCOUNT,
    CHECK_OPEN_SESSIONS,
    CHECK_QUOTAS,
    KEY_MARKER,
    QUOTA_WINDOW_S,
    AccountBook,
)
from cassiaseam_soak.callers import Caller, Ledger, SessionLost
from cassiaseam_soak.installation import Installation
from cassiaseam_standin.line_target import AccountRun

SAMPLING_PERIOD_S = 0.05
# A longer gap between two samples means that the soak itself did not run.
MAX_SAMPLING_GAP_S = 0.3
# Smallest share of the statements of the calm account that is served, over all faults of a run.
MIN_CALM_SHARE = 0.5


async def watch_disturbances(installation: Installation, book: AccountBook) -> None:
    """Record when daemons may lack the newest configuration; never returns."""
    loop = asyncio.get_running_loop()
    for daemon in installation.daemons:
        book.disturbed[daemon.name] = []
    former = loop.time()
    while True:
        await asyncio.sleep(SAMPLING_PERIOD_S)
        now = loop.time()
        for index, daemon in enumerate(installation.daemons):
            if now - former > MAX_SAMPLING_GAP_S or installation.is_disturbed(index):
                book.disturbed[daemon.name].append(now)
        former = now


async def check_accounts(installation: Installation, book: AccountBook, ledger: Ledger) -> None:
    """Run all checks of accounts after the faults."""
    runs = [run for it in installation.group.targets.values() for run in it.account_runs]
    check_run_accounts(runs, book, ledger)
    if CHECK_QUOTAS:
        check_bounds(runs, book, ledger)
    check_secrecy(installation, ledger)
    check_calm_account(book, ledger)
    await check_keys(installation, book, ledger)


def check_run_accounts(runs: list[AccountRun], book: AccountBook, ledger: Ledger) -> None:
    """Check that each statement ran under an account of its caller's key at that time."""
    for run in runs:
        sent = book.sent.get(run.request_id)
        if sent is None:
            continue  # `check_log` reports statements that no caller sent.
        sent_at = sent.at if CHECK_OPEN_SESSIONS else sent.opened_at
        allowed = {sent.daemon}
        if sent.key is not None:
            allowed = book.find_accounts(sent.key, sent.daemon, sent_at, run.at)
        if run.account not in allowed:
            ledger.violations.append(
                f'{run.request_id} of {sent.daemon} ran under {run.account}, not '
                f'{sorted(allowed) or "a known key"} (t={run.at:.3f})'
            )


def check_bounds(runs: list[AccountRun], book: AccountBook, ledger: Ledger) -> None:
    """Check the operations of each account in every window; report its worst window."""
    for account in book.limits:
        times = sorted(run.at for run in runs if run.account == account and run.is_operation)
        excess: float = 0
        worst = ''
        first = 0
        for last, at in enumerate(times):
            while times[first] <= at - QUOTA_WINDOW_S:
                first += 1
            count = last - first + 1
            bound = book.find_bound(account, times[first])
            if count - bound > excess:
                excess = count - bound
                worst = f'{account}: {count} operations, bound {bound:.0f} (t={times[first]:.3f})'
        if worst:
            ledger.violations.append(worst)


def check_secrecy(installation: Installation, ledger: Ledger) -> None:
    """Check that no key was sent to a target or logged by a daemon."""
    for target in installation.group.targets.values():
        for line in target.forbidden_lines:
            ledger.violations.append(f'{target.name} received a key: {line!r}')
    for daemon in installation.daemons:
        if KEY_MARKER.encode() in daemon.log.read_bytes():
            ledger.violations.append(f'{daemon.name} logged a key')


def check_calm_account(book: AccountBook, ledger: Ledger) -> None:
    """Check that an account below its limit was served most of the time."""
    counts = {code: n for (name, code), n in book.outcomes.items() if name == CALM_ACCOUNT}
    if counts.get('success', 0) <= MIN_CALM_SHARE * sum(counts.values()):
        ledger.violations.append(f'the calm account was served too rarely: {counts}')


async def check_keys(installation: Installation, book: AccountBook, ledger: Ledger) -> None:
    """Check that every daemon accepts exactly the keys of the newest configuration."""
    expected = {book.make_unknown_key(): False}
    expected |= {key: tenures[-1].until == math.inf for key, tenures in book.tenures.items()}
    for daemon in installation.daemons:
        for key, is_known in expected.items():
            probe = Caller(f'key-{daemon.name}', 'orders', [daemon.callers_port], ledger, 0)
            probe.key = key
            try:
                await probe.connect()
                line = 'READY'
            except (OSError, SessionLost) as error:
                line = str(error)
            probe.disconnect()
            wanted = 'READY' if is_known else DENIED_LINE
            if not line.startswith(wanted):
                ledger.violations.append(f'{daemon.name} answers {line!r} to {key}')
