"""Transactions of one client session of a stand-in target."""

import asyncio
import time

from cassiaseam.positions import ZERO_POSITION, LogPosition
from cassiaseam_standin.engine import StatementOutcome
from cassiaseam_standin.instance import MS_PER_S, TargetInstance
from cassiaseam_standin.sql_dialect import Statement, StatementKind
from cassiaseam_standin.standin_errors import (
    LOCK_WAIT_TIMEOUT,
    READ_ONLY,
    ConnectionDropped,
    StandinError,
)


class SessionTransaction:
    """Transaction state of one session.

    `BEGIN` acquires no lock. The first write or locking read acquires the write lock of the
    instance until the transaction ends. Reads before that see the latest committed data.

    Attributes:
        instance: Instance that the session belongs to.
        is_explicit: Whether a transaction opened by `BEGIN` is in progress.
        is_aborted: Whether the instance rolled the transaction back, for example after a fence.
        holds_lock: Whether the session holds the write lock.
        fenced_term: Fenced term of the instance when the transaction began.
        statements: Writes of the transaction in the dialect of sqlite.
        last_commit: Position of the last commit of the session.
    """

    def __init__(self, instance: TargetInstance):
        self.instance = instance
        self.is_explicit = False
        self.is_aborted = False
        self.holds_lock = False
        self.fenced_term = 0
        self.statements: list[str] = []
        self.last_commit: LogPosition = ZERO_POSITION

    def abort_by_instance(self) -> None:
        """Record that the instance rolled the transaction back and released its lock."""
        self.is_aborted = True
        self.holds_lock = False

    def start_transaction(self) -> None:
        """Start collecting statements."""
        self.is_aborted = False
        self.fenced_term = self.instance.fenced_term
        self.statements = []

    def end_transaction(self) -> None:
        """Release the lock; roll back uncommitted changes."""
        self.is_explicit = False
        self.is_aborted = False
        self.statements = []
        if self.holds_lock:
            self.holds_lock = False
            self.instance.engine.roll_back_write()
            self.instance.write_holder = None
            self.instance.write_lock.release()

    def check_not_aborted(self) -> None:
        """Reject a statement of a transaction that the instance rolled back."""
        if self.is_aborted:
            message = f'transaction rolled back, {self.instance.name} was fenced'
            raise StandinError(READ_ONLY, message)

    def check_writable(self) -> None:
        """Reject a write if the instance changed its role since the transaction began."""
        self.check_not_aborted()
        self.instance.check_writable(self.fenced_term)

    async def run_statement(self, statement: Statement) -> StatementOutcome:
        """Run one statement of the session."""
        match statement.kind:
            case StatementKind.READ:
                return await self.run_read(statement.sql)
            case StatementKind.BEGIN:
                await self.begin()
            case StatementKind.COMMIT:
                await self.commit()
            case StatementKind.ROLLBACK:
                self.end_transaction()
            case StatementKind.LOCKING_READ | StatementKind.WRITE:
                return await self.run_write(statement)
        return StatementOutcome()

    async def run_read(self, sql: str) -> StatementOutcome:
        """Run a read on the committed data, or on its own changes within a transaction."""
        async with self.instance.occupy_slot():
            if self.is_explicit:
                self.check_not_aborted()
            if self.holds_lock:
                return self.instance.engine.read_in_transaction(sql)
            return self.instance.engine.read_committed(sql)

    async def begin(self) -> None:
        """Begin a transaction; an open one is committed first, as MySQL does."""
        if self.is_explicit:
            await self.commit()
        self.start_transaction()
        self.is_explicit = True

    async def run_write(self, statement: Statement) -> StatementOutcome:
        """Run a write or a locking read; outside a transaction it commits immediately."""
        if self.is_explicit:
            return await self.run_locked(statement)
        self.start_transaction()
        try:
            outcome = await self.run_locked(statement)
            await self.finish_commit()
        finally:
            self.end_transaction()
        return outcome

    async def run_locked(self, statement: Statement) -> StatementOutcome:
        """Run a statement under the write lock."""
        self.check_writable()
        if not self.holds_lock:
            await self.acquire_lock()
        async with self.instance.occupy_slot():
            self.check_writable()
            if statement.kind is StatementKind.LOCKING_READ:
                return self.instance.engine.read_in_transaction(statement.sql)
            outcome = self.instance.engine.write(statement.sql)
        self.statements.append(statement.sql)
        return outcome

    async def acquire_lock(self) -> None:
        """Wait for the write lock and open the write transaction of the engine.

        The wait occupies no slot. Otherwise waiting statements could fill all slots and keep the
        transaction that they wait for from committing, a deadlock.
        """
        try:
            async with asyncio.timeout(self.instance.limits.lock_wait_ms / MS_PER_S):
                await self.instance.write_lock.acquire()
        except TimeoutError:
            raise StandinError(LOCK_WAIT_TIMEOUT, 'lock wait timeout exceeded') from None
        try:
            self.check_writable()
        except StandinError:
            self.instance.write_lock.release()
            raise
        self.holds_lock = True
        self.instance.write_holder = self
        self.instance.engine.begin_write()

    async def commit(self) -> None:
        """Commit the explicit transaction; raises `StandinError` when it was rolled back."""
        try:
            self.check_not_aborted()
            if self.statements:
                async with self.instance.occupy_slot():
                    await self.finish_commit()
        finally:
            self.end_transaction()

    async def finish_commit(self) -> None:
        """Commit the collected statements as one log entry."""
        if not self.statements:
            return
        self.check_writable()
        faults = self.instance.faults
        if faults.take_drop_before_commit():
            raise ConnectionDropped('fault drop_before_commit')
        statements = tuple(self.statements)
        self.last_commit = self.instance.commit_statements(statements, time.monotonic())
        if faults.take_drop_after_commit():
            raise ConnectionDropped('fault drop_after_commit')
