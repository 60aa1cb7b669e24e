"""Caller session of the load generator, based on aiomysql."""

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
TIMEOUT_MARGIN_S = 2.0
CONNECT_TIMEOUT_S = 3.0
CONNECT_ATTEMPTS = 6
CONNECT_RETRY_DELAY_S = 0.1
TARGET_SAMPLE_INTERVAL = 5

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
    """Error kind of a failed request and whether it ran (`no`, `yes`, `unknown`)."""

    kind: str
    ran: str


def classify_failure(error: Exception) -> CallerFailure:
    """Return the error kind and the `ran` state that a client library exception reports."""
    found = KIND_PATTERN.search(str(error))
    if found:
        return CallerFailure(found[1], found[2])
    if isinstance(error, TimeoutError):
        return CallerFailure('hanging', 'unknown')
    return CallerFailure('connection_lost', 'unknown')


@dataclass(slots=True)
class RunContext:
    """State shared by the sessions of one run.

    Attributes:
        endpoints: Daemons that sessions connect to.
        recorder: Measurements of the current phase.
        violations: Violations found during the whole run.
        journal: Outcome of every write of the whole run.
        max_age_ms: Maximum age of data in milliseconds that bounded-staleness reads accept.
        deadline_ms: Deadline of each request in milliseconds; 0 uses the daemon's default.
        bounded_staleness_reads: Number of answered bounded-staleness reads.
    """

    endpoints: list[Endpoint]
    recorder: Recorder = field(default_factory=Recorder)
    violations: Violations = field(default_factory=Violations)
    journal: WriteJournal = field(default_factory=WriteJournal)
    max_age_ms: int = 5000
    deadline_ms: int = 0
    bounded_staleness_reads: int = 0

    def should_sample_target(self) -> bool:
        """Count a bounded-staleness read and return whether to query which target served it."""
        self.bounded_staleness_reads += 1
        return self.bounded_staleness_reads % TARGET_SAMPLE_INTERVAL == 0


class CallerSession:
    """A session that reads and writes its own rows in one database."""

    def __init__(self, context: RunContext, database: str, identity: str, daemon: int):
        self.context = context
        self.database = database
        self.ledger = SessionLedger(identity)
        self.daemon = daemon
        self.connection: aiomysql.Connection | None = None

    async def connect(self) -> None:
        """Connect to the session's daemon, or to the next one that accepts the connection.

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
                await asyncio.sleep(CONNECT_RETRY_DELAY_S)
            else:
                return
        raise ConnectionError(f'no daemon accepts session {self.ledger.session}')

    def disconnect(self) -> None:
        """Close the connection without sending a quit command."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def roam(self) -> None:
        """Disconnect and select the next daemon, to which the next request connects."""
        self.disconnect()
        self.daemon += 1

    async def execute(self, sql: str) -> tuple[tuple, ...]:
        """Run one statement and return its rows.

        Raises:
            TimeoutError: No answer arrived within `DEADLINE_S` plus `TIMEOUT_MARGIN_S`.
            pymysql.err.MySQLError: The daemon returned an error or the connection was lost.
        """
        if self.connection is None:
            await self.connect()
        async with asyncio.timeout(DEADLINE_S + TIMEOUT_MARGIN_S):
            async with self.connection.cursor() as cursor:
                await cursor.execute(sql)
                return tuple(await cursor.fetchall())

    async def run(self, arrival: Arrival, started_s: float) -> None:
        """Send one scheduled request and record its outcome."""
        due_s = started_s + arrival.offset_s
        if arrival.operation.is_read:
            await self.read_own_rows(arrival.operation, due_s)
        else:
            await self.write_row(arrival.operation, due_s)

    async def read_own_rows(self, operation: Operation, due_s: float) -> None:
        """Read the highest number that this session wrote and check it."""
        expected = self.ledger.acknowledged
        hint = self.format_hint()
        if operation is Operation.BOUNDED_STALENESS_READ:
            hint = self.format_hint(f'max_age={self.context.max_age_ms}ms')
        session = self.ledger.session
        sql = f"{hint}SELECT '{session}', MAX(number) FROM {TABLE} WHERE session_id = '{session}'"
        rows = await self.attempt(sql, due_s, is_read=True)
        if rows is None:
            return
        check_read(self.ledger, rows[0], expected, self.context.violations)
        if operation is Operation.BOUNDED_STALENESS_READ and self.context.should_sample_target():
            await self.record_sampled_target()

    async def record_sampled_target(self) -> None:
        """Query whether a replica served the last read, and record the answer."""
        try:
            rows = await self.execute('SELECT @cassiaseam_last_replica')
        except (pymysql.err.MySQLError, OSError, TimeoutError):
            self.disconnect()
            return
        self.context.recorder.record_sampled_target(bool(int(rows[0][0] or 0)))

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
        """Return the leading SQL comment with the options of one request, or ''."""
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
            self.record_failure(failure, row)
            return None
        recorder.record_answer(is_read, due_s, clock())
        return rows

    def record_failure(self, failure: CallerFailure, row: str) -> None:
        """Record the outcome of a failed write; switch daemons if the connection is unusable."""
        journal = self.context.journal
        if row:
            known = journal.refused if failure.ran == 'no' else journal.unknown
            known.add(row)
        if failure.kind == 'hanging':
            self.context.violations.hanging += 1
            self.context.violations.add_example(f'no answer for {row or "a read"}')
        if failure.kind in {'hanging', 'connection_lost'}:
            self.roam()
