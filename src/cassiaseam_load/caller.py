"""One caller session of the load generator, over an ordinary client library."""

import asyncio
import re
from dataclasses import dataclass, field

import aiomysql
import pymysql

from cassiaseam_load.checker import SessionLedger, Violations, WriteJournal, check_read
from cassiaseam_load.recorder import Recorder
from cassiaseam_load.schedule import Arrival, Operation

TABLE = 'bench_writes'
DEADLINE_S = 5.0
HANG_MARGIN_S = 2.0
CONNECT_TIMEOUT_S = 3.0
CONNECT_ATTEMPTS = 6
CONNECT_PAUSE_S = 0.1
PLACEMENT_EVERY = 5

KIND_PATTERN = re.compile(r'kind=(\w+) ran=(\w+)')


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Address and login of one daemon."""

    host: str
    port: int
    user: str
    password: str


@dataclass(frozen=True, slots=True)
class CallerFailure:
    """Outcome of a failed request: error kind and whether it ran (`no`, `yes`, `unknown`)."""

    kind: str
    ran: str


def classify_failure(error: Exception) -> CallerFailure:
    """Return what an exception of the client library says about the request."""
    found = KIND_PATTERN.search(str(error))
    if found:
        return CallerFailure(found[1], found[2])
    if isinstance(error, TimeoutError):
        return CallerFailure('hanging', 'unknown')
    return CallerFailure('connection_lost', 'unknown')


@dataclass(slots=True)
class RunContext:
    """What the sessions of one run share.

    Attributes:
        endpoints: Daemons that sessions connect to.
        recorder: Measurements of the phase under way.
        violations: Wrong answers of the whole run.
        journal: Outcome of every write of the whole run.
        max_age_ms: Age of data that aged reads accept.
        deadline_ms: Deadline that requests state; 0 leaves the daemon's default.
        aged_reads: Answered reads that accept an age.
    """

    endpoints: list[Endpoint]
    recorder: Recorder = field(default_factory=Recorder)
    violations: Violations = field(default_factory=Violations)
    journal: WriteJournal = field(default_factory=WriteJournal)
    max_age_ms: int = 5000
    deadline_ms: int = 0
    aged_reads: int = 0

    def take_placement_turn(self) -> bool:
        """Count an aged read and return whether its target is to be asked for."""
        self.aged_reads += 1
        return self.aged_reads % PLACEMENT_EVERY == 0


class CallerSession:
    """A session that reads and writes its own rows in one database."""

    def __init__(self, context: RunContext, database: str, identity: str, daemon: int):
        self.context = context
        self.database = database
        self.ledger = SessionLedger(identity)
        self.daemon = daemon
        self.connection: aiomysql.Connection | None = None

    async def connect(self) -> None:
        """Connect to the daemon in turn, or to the next one that accepts.

        Raises:
            ConnectionError: No daemon accepted the connection.
        """
        for _ in range(CONNECT_ATTEMPTS):
            endpoint = self.context.endpoints[self.daemon % len(self.context.endpoints)]
            try:
                self.connection = await aiomysql.connect(
                    host=endpoint.host,
                    port=endpoint.port,
                    user=endpoint.user,
                    password=endpoint.password,
                    db=self.database,
                    autocommit=True,
                    connect_timeout=CONNECT_TIMEOUT_S,
                )
            except (pymysql.err.MySQLError, OSError, TimeoutError):
                self.daemon += 1
                await asyncio.sleep(CONNECT_PAUSE_S)
            else:
                return
        raise ConnectionError(f'no daemon accepts session {self.ledger.session}')

    def disconnect(self) -> None:
        """Drop the connection without a farewell."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def roam(self) -> None:
        """Move to the next daemon; the next request opens a new connection there."""
        self.disconnect()
        self.daemon += 1

    async def execute(self, sql: str) -> tuple[tuple, ...]:
        """Run one statement and return its rows.

        Raises:
            TimeoutError: No answer within the deadline and a margin.
            pymysql.err.MySQLError: The daemon answered with an error or the link broke.
        """
        if self.connection is None:
            await self.connect()
        async with asyncio.timeout(DEADLINE_S + HANG_MARGIN_S):
            async with self.connection.cursor() as cursor:
                await cursor.execute(sql)
                return tuple(await cursor.fetchall())

    async def run(self, arrival: Arrival, started_s: float) -> None:
        """Send one request of the schedule and record its outcome."""
        due_s = started_s + arrival.offset_s
        if arrival.operation.is_read:
            await self.read_own_rows(arrival.operation, due_s)
        else:
            await self.write_row(arrival.operation, due_s)

    async def read_own_rows(self, operation: Operation, due_s: float) -> None:
        """Read the highest number this session wrote and check it."""
        expected = self.ledger.acknowledged
        hint = self.format_hint()
        if operation is Operation.AGED_READ:
            hint = self.format_hint(f'max_age={self.context.max_age_ms}ms')
        session = self.ledger.session
        sql = f"{hint}SELECT '{session}', MAX(number) FROM {TABLE} WHERE session_id = '{session}'"
        rows = await self.attempt(sql, due_s, is_read=True)
        if rows is None:
            return
        check_read(self.ledger, rows[0], expected, self.context.violations)
        if operation is Operation.AGED_READ and self.context.take_placement_turn():
            await self.record_placement()

    async def record_placement(self) -> None:
        """Ask the daemon whether a replica served the latest read."""
        try:
            rows = await self.execute('SELECT @cassiaseam_last_replica')
        except (pymysql.err.MySQLError, OSError, TimeoutError):
            self.disconnect()
            return
        self.context.recorder.record_placement(bool(int(rows[0][0] or 0)))

    async def write_row(self, operation: Operation, due_s: float) -> None:
        """Insert the next row of this session."""
        number = self.ledger.next_number
        self.ledger.next_number += 1
        row = f'{self.ledger.session}/{number}'
        hint = self.format_hint('repeatable=no')
        if operation is Operation.KEYED_WRITE:
            hint = self.format_hint(f'key={row}', 'repeatable=no')
        values = f"('{row}', '{self.ledger.session}', {number})"
        sql = f'{hint}INSERT INTO {TABLE} (row_id, session_id, number) VALUES {values}'
        rows = await self.attempt(sql, due_s, is_read=False, row=row)
        if rows is not None:
            self.context.journal.acknowledged.add(row)
            self.ledger.acknowledged = number

    def format_hint(self, *options: str) -> str:
        """Return the leading comment that states options of one request."""
        deadline_ms = self.context.deadline_ms
        stated = [*options, f'deadline={deadline_ms}ms'] if deadline_ms else options
        return f'/* cassiaseam: {", ".join(stated)} */ ' if stated else ''

    async def attempt(
        self, sql: str, due_s: float, *, is_read: bool, row: str = ''
    ) -> tuple[tuple, ...] | None:
        """Run one statement, record its outcome and return its rows, or None on an error."""
        recorder = self.context.recorder
        clock = asyncio.get_running_loop().time
        sent_s = clock()
        try:
            rows = await self.execute(sql)
        except (pymysql.err.MySQLError, OSError, TimeoutError) as error:
            failure = classify_failure(error)
            recorder.record_refusal(failure.kind, sent_s, clock())
            self.note_failure(failure, row)
            return None
        recorder.record_answer(is_read, due_s, clock())
        return rows

    def note_failure(self, failure: CallerFailure, row: str) -> None:
        """Record what a failure means for the row that was written."""
        journal = self.context.journal
        if row:
            known = journal.refused if failure.ran == 'no' else journal.unknown
            known.add(row)
        if failure.kind == 'hanging':
            self.context.violations.hanging += 1
            self.context.violations.note(f'no answer for {row or "a read"}')
        if failure.kind in {'hanging', 'connection_lost'}:
            self.roam()
