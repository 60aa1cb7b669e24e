"""Callers that identify themselves by keys."""

import asyncio
import itertools
from collections.abc import Iterable

from cassiaseam_soak.accounts import (
    ACCOUNTS,
    ANONYMOUS_DATABASE,
    CALM_ACCOUNT,
    OPERATOR_ACCOUNT,
    AccountBook,
    SentStatement,
)
from cassiaseam_soak.callers import Caller, Ledger, Reply, SessionLost
from cassiaseam_soak.installation import ROUTES, Daemon, Installation

ANONYMOUS_PAUSE_S = 0.1
INTRUDER_PAUSE_S = 0.1
INTRUDERS = 2
DENIED_LINE = 'ERROR DENIED'


class KeyedCaller(Caller):
    """Caller of an account; it takes one of the account's current keys at each connection.

    Attributes:
        account: Name of the account, or an empty string without one.
        opened_at: Time of the last START in seconds on the clock of the event loop.
    """

    def __init__(
        self,
        name: str,
        database: str,
        daemons: Iterable[Daemon],
        ledger: Ledger,
        seed: int,
        book: AccountBook,
        account: str,
    ):
        self.daemons = {daemon.callers_port: daemon.name for daemon in daemons}
        super().__init__(name, database, list(self.daemons), ledger, seed)
        self.book = book
        self.account = account
        self.mean_pause_s = ACCOUNTS[account].pause_s if account else ANONYMOUS_PAUSE_S
        self.opened_at: float = 0

    @property
    def needs_key(self) -> bool:
        """Return whether the route of the caller needs a key."""
        return self.database != ANONYMOUS_DATABASE

    def choose_key(self) -> str:
        """Return the key for the next connection."""
        if not self.account:
            return self.book.make_unknown_key()
        return self.rng.choice(self.book.list_keys(self.account))

    def draw_pause_s(self) -> float:
        """Return the pause in seconds before the next operation."""
        if self.book.bursting[self.account]:
            return 0
        return self.rng.uniform(0, 2 * self.mean_pause_s)

    async def connect(self) -> None:
        """Open a session, and check whether the daemon may accept or refuse the key."""
        self.key = self.choose_key()
        self.opened_at = asyncio.get_running_loop().time()
        try:
            await super().connect()
        except SessionLost as error:
            if str(error).startswith(DENIED_LINE):
                self.check_refusal()
            raise
        now = asyncio.get_running_loop().time()
        daemon = self.daemons[self.port]
        if self.needs_key and not self.book.find_accounts(self.key, daemon, self.opened_at, now):
            self.ledger.violations.append(
                f'{self.name}: {daemon} accepted an unknown or dropped key (t={now:.3f})'
            )

    def check_refusal(self) -> None:
        """Check that a refused key is not one that the daemon must know."""
        self.ledger.outcomes['denied'] += 1
        daemon = self.daemons[self.port]
        *_, last = self.book.tenures.get(self.key, [None])
        must_know = last is not None and self.book.is_due(daemon, last.since, self.opened_at)
        now = asyncio.get_running_loop().time()
        if not self.needs_key or (must_know and last.until > now):
            self.ledger.violations.append(
                f'{self.name}: {daemon} refused a key of {self.account} (t={now:.3f})'
            )

    def make_request_id(self) -> str:
        """Return a new request id, and record under which key it is used."""
        request_id = super().make_request_id()
        now = asyncio.get_running_loop().time()
        key = self.key if self.needs_key else None
        sent = SentStatement(now, self.opened_at, self.daemons[self.port], key)
        self.book.sent[request_id] = sent
        return request_id

    async def execute(self, text: str) -> Reply:
        """Run a statement and count its outcome for the account."""
        try:
            reply = await super().execute(text)
        except (SessionLost, OSError):
            self.book.outcomes[self.account, 'lost'] += 1
            raise
        self.book.outcomes[self.account, reply.code or 'success'] += 1
        return reply


class Intruder(KeyedCaller):
    """Caller that tries dropped and unknown keys; it opens a session for each statement."""

    def choose_key(self) -> str:
        """Return a dropped key, or one that never existed."""
        dropped = self.book.list_dropped_keys()
        if dropped and self.rng.choice((True, False)):
            return self.rng.choice(dropped)
        return self.book.make_unknown_key()

    def draw_pause_s(self) -> float:
        """Return the pause in seconds before the next session."""
        return INTRUDER_PAUSE_S

    async def run_operation(self) -> None:
        """Read an item and close the session."""
        await self.read()
        self.disconnect()


def build_account_callers(
    installation: Installation, book: AccountBook, ledger: Ledger, seed: int, per_database: int
) -> list[Caller]:
    """Return the callers of a run; the largest account has `per_database` on each database."""
    daemons = installation.daemons
    counts = {'large': per_database, 'basic': 1, CALM_ACCOUNT: 1}
    callers: list[Caller] = [
        KeyedCaller(f'{account}-{database}{index}', database, daemons, ledger, seed, book, account)
        for account, database in itertools.product(counts, ROUTES)
        for index in range(counts[account])
    ]
    callers.append(KeyedCaller('nobody', ANONYMOUS_DATABASE, daemons, ledger, seed, book, ''))
    callers += [
        Intruder(f'intruder{index}', 'orders', daemons, ledger, seed, book, '')
        for index in range(INTRUDERS)
    ]
    return callers


def build_probe(
    installation: Installation, ledger: Ledger, daemon: Daemon, database: str
) -> Caller:
    """Return a caller of one daemon for a check after the faults."""
    name = f'last-{daemon.name}'
    if installation.accounts is None:
        return Caller(name, database, [daemon.callers_port], ledger, 0)
    book = installation.accounts
    return KeyedCaller(name, database, [daemon], ledger, 0, book, OPERATOR_ACCOUNT)
