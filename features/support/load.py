"""Callers that run during a scenario, and the checks of the answers they receive."""

import asyncio
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

import aiomysql
import pymysql

from cassiaseam.errors import RESPONSES, ErrorKind
from cassiaseam_load.caller import CallerFailure, classify_failure
from cassiaseam_load.checker import SessionLedger, Violations, WriteJournal, check_read, check_rows
from support.world import World, fetch, wait_until

SESSIONS = 8
PAUSE_S = 0.005
KEY_ATTEMPTS = 4
ROWS_PER_TRANSACTION = 3
FINISH_TIMEOUT_S = 15.0
NOT_ANSWERED = 'hanging'
LOST = 'connection_lost'
FAILURES = (pymysql.err.MySQLError, OSError, TimeoutError, asyncio.IncompleteReadError)


class RequestFailed(Exception):
    """A request failed with an error or got no answer."""

    def __init__(self, failure: CallerFailure):
        super().__init__(f'{failure}')
        self.failure = failure


@dataclass(slots=True)
class Load:
    """Callers of one scenario.

    Attributes:
        world: Shared state of the scenarios.
        deadline_s: Deadline of every request.
        margin_s: Allowance after the deadline for the network and this process.
        interrupted: Daemon and error of the failures of watched requests.
        torn: Number of transactions that were applied only in part.
        missing_retry_delays: Number of retryable errors without a retry delay.
        in_flight: Daemon per number of a request without an answer.
        served: Target of each read, in order of the answers.
        transacts: Whether the callers run transactions.
    """

    world: World
    deadline_s: float
    margin_s: float
    journal: WriteJournal = field(default_factory=WriteJournal)
    violations: Violations = field(default_factory=Violations)
    outcomes: Counter[str] = field(default_factory=Counter)
    checked: Counter[str] = field(default_factory=Counter)
    transactions: list[str] = field(default_factory=list)
    torn: int = 0
    missing_retry_delays: int = 0
    in_flight: dict[int, str] = field(default_factory=dict)
    watched: set[int] = field(default_factory=set)
    interrupted: list[str] = field(default_factory=list)
    served: list[str] = field(default_factory=list)
    transacts: bool = True
    stopping: bool = False
    tasks: list[asyncio.Task] = field(default_factory=list)
    sequence: itertools.count = field(default_factory=itertools.count)

    @property
    def label(self) -> str:
        return f's{self.world.scenario}'

    def start(self, sessions: int = SESSIONS) -> None:
        for number in range(sessions):
            session = LoadSession(self, number)
            self.tasks.append(asyncio.create_task(session.run()))

    def watch_requests_in_flight(self) -> None:
        """Start recording the failures of the requests now in flight."""
        self.watched = set(self.in_flight)

    async def wait_for_writes(self, count: int, limit_s: float) -> None:
        """Wait until `count` more writes are acknowledged."""
        goal = len(self.journal.acknowledged) + count

        async def reached() -> bool:
            return len(self.journal.acknowledged) >= goal

        await wait_until(reached, limit_s, f'{count} writes; outcomes {dict(self.outcomes)}')

    async def stop(self) -> None:
        """Stop the callers and wait for their requests in flight."""
        self.stopping = True
        if not self.tasks:
            return
        done, pending = await asyncio.wait(self.tasks, timeout=FINISH_TIMEOUT_S)
        self.tasks = []
        self.violations.hanging += len(pending)
        for task in pending:
            task.cancel()
        for task in done:
            task.result()

    async def compare_rows(self) -> None:
        """Compare the stored rows with the answers that callers received."""
        daemon = self.world.find_other_daemon()
        like = f"SELECT row_id FROM proof_rows WHERE session_id LIKE '{self.label}-%'"
        rows = [row[0] for row in await self.world.query(daemon, like)]
        check_rows(self.journal, rows, self.violations)
        known = self.journal.acknowledged | self.journal.refused | self.journal.unknown
        for row in set(rows) - known:
            self.violations.add_example(f'row {row} belongs to no request')
            self.violations.foreign_answers += 1
        parts = Counter(row.rsplit('.', 1)[0] for row in rows if '.' in row)
        for transaction in self.transactions:
            if parts[transaction] not in {0, ROWS_PER_TRANSACTION}:
                self.torn += 1
                self.violations.add_example(
                    f'{parts[transaction]} rows of transaction {transaction}'
                )

    def describe(self) -> str:
        return f'{self.violations} torn={self.torn} outcomes={dict(self.outcomes)}'


class LoadSession:
    """One caller that writes and reads its own rows across different daemons."""

    def __init__(self, load: Load, number: int):
        self.load = load
        self.ledger = SessionLedger(f'{load.label}-{number}')
        self.rng = random.Random(number)
        self.turn = number
        self.daemon = ''
        self.connection: aiomysql.Connection | None = None

    async def run(self) -> None:
        last = self.run_transaction if self.load.transacts else self.read_rows
        actions = (self.write_plain, self.write_keyed, self.read_rows, last)
        moves = (self.stay, self.move_with_token, self.move_without_token)
        while not self.load.stopping:
            try:
                await self.rng.choices(actions, (3, 3, 1, 2))[0]()
                await self.rng.choices(moves, (4, 3, 2))[0]()
                await self.read_rows()
            except RequestFailed:
                pass
            except ConnectionError:
                self.drop()
            await asyncio.sleep(PAUSE_S)
        self.drop()

    def drop(self) -> None:
        if self.connection is not None:
            self.connection.close()
        self.connection = None

    async def connect(self) -> aiomysql.Connection:
        if self.connection is None:
            self.turn += 1
            live = self.load.world.list_live_daemons()
            daemon = live[self.turn % len(live)]
            self.connection = await self.load.world.connect(daemon)
            self.daemon = daemon.vm
        return self.connection

    async def send(self, sql: str, options: str = '') -> tuple[tuple, ...]:
        """Send one request and return its rows.

        Raises:
            RequestFailed: The request failed or got no answer.
        """
        load = self.load
        connection = await self.connect()
        hint = f'/* cassiaseam: deadline={int(load.deadline_s * 1000)}ms{options} */ '
        number = next(load.sequence)
        load.in_flight[number] = self.daemon
        sent_at = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(load.deadline_s + load.margin_s):
                rows = await fetch(connection, hint + sql)
        except FAILURES as error:
            raise RequestFailed(self.record_failure(number, sql, error, sent_at)) from error
        finally:
            load.in_flight.pop(number, None)
        load.outcomes['ok'] += 1
        return rows

    def could_answer(self) -> bool:
        """Return whether the daemon ran long enough to answer an overdue request.

        A suspended daemon gets the margin after it resumes.
        """
        world = self.load.world
        if self.daemon in world.frozen:
            return False
        resumed_at = world.resumed_at.get(self.daemon)
        now = asyncio.get_running_loop().time()
        return resumed_at is None or now - resumed_at >= self.load.margin_s

    def record_failure(
        self, number: int, sql: str, error: Exception, sent_at: float
    ) -> CallerFailure:
        load = self.load
        failure = classify_failure(error)
        load.outcomes[f'{failure.kind}/{failure.ran}'] += 1
        if number in load.watched:
            load.interrupted.append(f'{self.daemon}: {error}')
        if failure.kind == NOT_ANSWERED and self.could_answer():
            load.violations.hanging += 1
            waited_s = asyncio.get_running_loop().time() - sent_at
            load.violations.add_example(f'no answer of {self.daemon} in {waited_s:.2f} s to {sql}')
        if failure.kind in {NOT_ANSWERED, LOST}:
            self.drop()
        elif RESPONSES[ErrorKind(failure.kind)].retryable and 'retry_after_ms=' not in str(error):
            load.missing_retry_delays += 1
            load.violations.add_example(f'no time to come back in {error}')
        return failure

    def build_insert(self, row: str, number: int) -> str:
        values = f"('{row}', '{self.ledger.session}', {number})"
        return f'INSERT INTO proof_rows (row_id, session_id, number) VALUES {values}'

    def allocate_number(self) -> int:
        self.ledger.next_number += 1
        return self.ledger.next_number

    async def write_plain(self) -> None:
        number = self.allocate_number()
        row = f'{self.ledger.session}/{number}'
        await self.record(row, number, self.send(self.build_insert(row, number)))

    async def record(self, row: str, number: int, sending) -> None:
        """Record the outcome of one write."""
        journal = self.load.journal
        try:
            await sending
        except ConnectionError:
            journal.refused.add(row)
            raise
        except RequestFailed as failed:
            known = journal.refused if failed.failure.ran == 'no' else journal.unknown
            known.add(row)
            raise
        journal.acknowledged.add(row)
        self.ledger.acknowledged = number

    async def write_keyed(self) -> None:
        """Submit one write with an idempotency key until it is acknowledged."""
        number = self.allocate_number()
        row = f'{self.ledger.session}/{number}'
        await self.record(row, number, self.submit_until_acknowledged(row, number))

    async def submit_until_acknowledged(self, row: str, number: int) -> None:
        sql = self.build_insert(row, number)
        maybe_ran = False
        for _ in range(KEY_ATTEMPTS):
            try:
                await self.send(sql, f', key={row}, repeatable=no')
            except ConnectionError:
                self.drop()
            except RequestFailed as failed:
                maybe_ran = maybe_ran or failed.failure.ran != 'no'
                self.drop()
            else:
                self.load.checked['keyed'] += 1
                return
            await asyncio.sleep(PAUSE_S)
        raise RequestFailed(CallerFailure('given_up', 'unknown' if maybe_ran else 'no'))

    async def run_transaction(self) -> None:
        """Insert three rows in one transaction, then commit or roll back."""
        number = self.allocate_number()
        name = f'{self.ledger.session}/{number}'
        rows = {f'{name}.{part}' for part in range(ROWS_PER_TRANSACTION)}
        journal = self.load.journal
        self.load.transactions.append(name)
        try:
            await self.fill_transaction(name, rows, number)
            if self.rng.random() < 0.3:
                await self.send('ROLLBACK')
                journal.refused |= rows
                return
        except (RequestFailed, ConnectionError):
            # COMMIT was not sent, so closing the connection rolls the transaction back.
            journal.refused |= rows
            self.drop()
            raise
        try:
            await self.send('COMMIT')
        except RequestFailed as failed:
            known = journal.refused if failed.failure.ran == 'no' else journal.unknown
            known |= rows
            raise
        journal.acknowledged |= rows
        self.ledger.acknowledged = number

    async def fill_transaction(self, name: str, rows: set[str], number: int) -> None:
        await self.send('BEGIN')
        for row in sorted(rows):
            await self.send(self.build_insert(row, number))
        count = f"SELECT COUNT(*) FROM proof_rows WHERE row_id LIKE '{name}.%'"
        found = (await self.send(count))[0][0]
        self.load.checked['transaction'] += 1
        if found != ROWS_PER_TRANSACTION:
            self.load.torn += 1
            self.load.violations.add_example(f'transaction {name} saw {found} rows of its own')

    async def read_rows(self) -> None:
        """Read the rows of this session, with or without accepted staleness."""
        aged = self.rng.random() < 0.6
        expected = self.ledger.acknowledged
        session = self.ledger.session
        nonce = f'{session}#{next(self.load.sequence)}'
        sql = f"SELECT '{nonce}', MAX(number) FROM proof_rows WHERE session_id = '{session}'"
        rows = await self.send(sql, ', max_age=5s' if aged else '')
        answered, number = rows[0]
        sender = session if answered == nonce else answered
        check_read(self.ledger, (sender, number), expected, self.load.violations)
        self.load.checked['aged' if aged else 'plain'] += 1
        await self.record_target()

    async def record_target(self) -> None:
        target = (await self.send('SELECT @cassiaseam_last_target'))[0][0]
        self.load.served.append(target)

    async def stay(self) -> None:
        return

    async def move_with_token(self) -> None:
        """Reconnect to another daemon and pass the consistency token."""
        token = (await self.send('SELECT @cassiaseam_token'))[0][0]
        self.drop()
        if token is not None:
            await self.send(f"SET @cassiaseam_token = '{token}'")
            self.load.checked['token'] += 1

    async def move_without_token(self) -> None:
        """Reconnect without a token; the new daemon must derive the minimum position."""
        self.drop()
        self.load.checked['no token'] += 1
