"""State of a stand-in target: roles, terms, log, data and slots."""

import asyncio
import math
import time
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any, Protocol

from absl import logging

from cassiaseam.messages import TargetRole
from cassiaseam.positions import ZERO_POSITION, LogPosition
from cassiaseam_standin.engine import Engine
from cassiaseam_standin.faults import FaultSwitches
from cassiaseam_standin.replication_log import LogEntry, ReplicationLog
from cassiaseam_standin.standin_errors import READ_ONLY, StandinError

MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class InstanceLimits:
    """Limits and costs of an instance; times are milliseconds.

    Attributes:
        slots: Statements that run at the same time.
        connections: Client connections accepted at the same time.
        connect_ms: Cost of opening a client connection.
        statement_ms: Service time of a statement inside its slot.
        latency_ms: One-way network latency added to every command of a client.
        lock_wait_ms: Timeout of the wait for the write lock.
    """

    slots: int = 5
    connections: int = 75
    connect_ms: float = 12
    statement_ms: float = 0
    latency_ms: float = 0
    lock_wait_ms: float = 5000


class WriteHolder(Protocol):
    """Transaction that holds the write lock."""

    def abort_by_instance(self) -> None:
        """Record that the instance rolled the transaction back and released its lock."""


class TargetInstance:
    """State of one instance. It is only in memory: a restarted process starts empty.

    Attributes:
        name: Name within the group.
        incarnation: Changes with every start.
        limits: Limits and costs.
        faults: Faults in force.
        role: Current role; an instance starts fenced and follows no primary.
        term: Term that it follows or leads. A replica adopts a term only once its log is known
            to be a prefix of the log of that term's primary.
        fenced_term: Highest term granted.
        granted_to: Promoter that the term was granted to; '' if it was set by a follow call.
        follows: Name of the primary that it follows, or ''.
        last_contact: Monotonic time in seconds of the last answer of its primary.
        log: Committed transactions.
        applied: Position up to which the log is visible to reads.
        engine: Data.
        slots: Limits the running statements.
        running_statements: Number of running statements.
        peak_statements: Maximum number of statements that ran at the same time.
        write_lock: Held by the open write transaction.
        write_holder: Transaction that holds the lock, or None.
        changed: Set and replaced whenever a long poll may have new results.
    """

    def __init__(self, name: str, incarnation: str, limits: InstanceLimits):
        self.name = name
        self.incarnation = incarnation
        self.limits = limits
        self.faults = FaultSwitches()
        self.role = TargetRole.FENCED
        self.term = 0
        self.fenced_term = 0
        self.granted_to = ''
        self.follows = ''
        self.last_contact = time.monotonic()
        self.log = ReplicationLog()
        self.applied = ZERO_POSITION
        self.engine = Engine()
        self.slots = asyncio.Semaphore(limits.slots)
        self.running_statements = 0
        self.peak_statements = 0
        self.write_lock = asyncio.Lock()
        self.write_holder: WriteHolder | None = None
        self.changed = asyncio.Event()

    @asynccontextmanager
    async def occupy_slot(self) -> AsyncIterator[None]:
        """Wait for a slot and spend the service time of a statement in it."""
        async with self.slots:
            self.running_statements += 1
            self.peak_statements = max(self.peak_statements, self.running_statements)
            service_ms = self.limits.statement_ms + self.faults.statement_delay_ms
            try:
                if service_ms:
                    await asyncio.sleep(service_ms / MS_PER_S)
                yield
            finally:
                self.running_statements -= 1

    def describe_status(self, now: float) -> dict[str, Any]:
        """Return the status of design section 5.2; `now` is monotonic time in seconds."""
        contact_age_s = 0 if self.role is TargetRole.PRIMARY else now - self.last_contact
        last = self.log.last
        return {
            'instance': self.name,
            'incarnation': self.incarnation,
            'term': self.term,
            'fenced_term': self.fenced_term,
            'last': [last.term, last.offset],
            'applied': [self.applied.term, self.applied.offset],
            'role': self.role.value,
            'follows': self.follows,
            'primary_contact_age_ms': math.ceil(contact_age_s * MS_PER_S),
            'leaving': self.faults.leaving,
        }

    def notify_changed(self) -> None:
        """Wake the long polls."""
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def check_writable(self, fenced_term: int) -> None:
        """Reject a write of a transaction that began under another fenced term."""
        if self.role is not TargetRole.PRIMARY:
            raise StandinError(READ_ONLY, f'{self.name} is {self.role.value} and read-only')
        if fenced_term != self.fenced_term:
            message = f'{self.name} was fenced at {self.fenced_term} within the transaction'
            raise StandinError(READ_ONLY, message)

    def abort_write_transaction(self) -> None:
        """Roll back the open write transaction; its next statement fails."""
        self.engine.roll_back_write()
        holder, self.write_holder = self.write_holder, None
        if holder is not None:
            holder.abort_by_instance()
            self.write_lock.release()

    def fence(self, term: int, promoter: str) -> bool:
        """Grant a term to a promoter; return whether it is granted."""
        if promoter and (term, promoter) == (self.fenced_term, self.granted_to):
            return True
        if term <= self.fenced_term:
            return False
        self.fenced_term = term
        self.granted_to = promoter
        self.become_fenced()
        logging.info('event=fenced instance=%s term=%d promoter=%s', self.name, term, promoter)
        return True

    def become_fenced(self) -> None:
        """Stop leading or following."""
        self.role = TargetRole.FENCED
        self.follows = ''
        self.abort_write_transaction()
        self.notify_changed()

    def promote(self, term: int, promoter: str) -> None:
        """Become primary of a term that was granted to `promoter`."""
        if term != self.fenced_term or promoter != self.granted_to or not promoter:
            granted = f'{self.fenced_term} of {self.granted_to!r}'
            message = f'promote {term} of {promoter!r} refused, granted is {granted}'
            raise StandinError(READ_ONLY, message)
        if self.role is TargetRole.PRIMARY:
            return
        self.apply_until(self.log.last.offset)
        self.role = TargetRole.PRIMARY
        self.term = term
        self.notify_changed()
        logging.info('event=promoted instance=%s term=%d', self.name, term)

    def begin_following(self, primary: str, term: int) -> None:
        """Become replica of `primary`; `term` is adopted with the first matching answer."""
        leads = self.role is TargetRole.PRIMARY and term == self.term
        if term < self.fenced_term or leads or primary == self.name:
            message = (
                f'{self.name} cannot follow {primary} in {term}, fenced at {self.fenced_term}'
            )
            raise StandinError(READ_ONLY, message)
        if term > self.fenced_term:
            self.fenced_term = term
            self.granted_to = ''
        self.become_fenced()
        self.role = TargetRole.REPLICA
        self.follows = primary

    def commit_statements(self, statements: tuple[str, ...], now: float) -> LogPosition:
        """Commit the open write transaction as one log entry and return its position."""
        entry = LogEntry(self.term, self.log.last.offset + 1, statements)
        self.engine.commit_write(entry)
        self.log.append(entry, now)
        self.applied = entry.position
        self.notify_changed()
        return entry.position

    def drop_entries_after(self, offset: int) -> None:
        """Drop diverging entries; rebuild the data if any of them were applied."""
        dropped = self.log.drop_after(offset)
        if self.applied.offset > offset:
            self.engine.rebuild(self.log.entries)
            self.applied = self.log.last
        logging.info(
            'event=entries_dropped instance=%s after=%d count=%d', self.name, offset, dropped
        )

    def store_entries(self, entries: Iterable[LogEntry], now: float) -> None:
        """Append entries of the primary; they become visible with `apply_until`."""
        for entry in entries:
            self.log.append(entry, now)

    def apply_until(self, offset: int) -> None:
        """Make stored entries up to `offset` visible to reads."""
        offset = min(offset, self.log.last.offset)
        if offset <= self.applied.offset:
            return
        self.engine.apply_entries(self.log.entries[self.applied.offset : offset])
        self.applied = self.log.entries[offset - 1].position
