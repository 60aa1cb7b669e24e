"""Asynchronous replication: a replica pulls log entries over the MySQL protocol."""

import asyncio
import json
import time
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

import aiomysql
from absl import logging
from pymysql.err import Error as MysqlClientError

from cassiaseam.messages import TargetRole
from cassiaseam.positions import LogPosition
from cassiaseam_standin.instance import MS_PER_S, TargetInstance
from cassiaseam_standin.replication_log import LogEntry
from cassiaseam_standin.standin_errors import (
    NET_READ_ERROR,
    READ_ONLY,
    ConnectionDropped,
    StandinError,
)

REPLICATION_USER = 'standin_replication'
POLL_WAIT_MS = 100
BATCH_ENTRIES = 500
PULL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
RETRY_DELAY_S = 0.05
FOLLOW_WAIT_S = 1.0
PAUSED_HOLD_BACK_MS = -1


@dataclass(frozen=True, slots=True)
class PullRequest:
    """Request of a replica for log entries of its primary.

    Attributes:
        instance: Name of the replica.
        term: Term that it follows.
        last: Last entry that it holds.
        wait_ms: Maximum wait in milliseconds for a new entry.
        hold_back_ms: Age that entries must have, or `PAUSED_HOLD_BACK_MS` for no entries.
    """

    instance: str
    term: int
    last: LogPosition
    wait_ms: int
    hold_back_ms: int


def check_may_serve(instance: TargetInstance, request: PullRequest) -> None:
    """Reject a pull by a partitioned replica, or for another term."""
    if request.instance in instance.faults.cut_from:
        raise ConnectionDropped(f'cut from {request.instance}')
    if instance.role is not TargetRole.PRIMARY or instance.term != request.term:
        message = f'{instance.name} is {instance.role.value} of term {instance.term}'
        raise StandinError(READ_ONLY, f'{message}, pull is for term {request.term}')


def find_entries(
    instance: TargetInstance, request: PullRequest, now: float
) -> tuple[list[LogEntry], float | None]:
    """Return the entries that are due, and the seconds until the next one is due."""
    faults = instance.faults
    if faults.replication_pause or request.hold_back_ms == PAUSED_HOLD_BACK_MS:
        return [], None
    hold_back_s = max(faults.replication_delay_ms, request.hold_back_ms) / MS_PER_S
    offset = request.last.offset
    entries = instance.log.list_entries_after(offset, now - hold_back_s, BATCH_ENTRIES)
    if entries or offset >= len(instance.log.stored_at):
        return entries, None
    return [], max(instance.log.stored_at[offset] + hold_back_s - now, 0.001)


async def serve_pull(instance: TargetInstance, request: PullRequest) -> dict[str, Any]:
    """Answer a pull at the primary; waits for a new entry up to `wait_ms`."""
    deadline = time.monotonic() + request.wait_ms / MS_PER_S
    while True:
        check_may_serve(instance, request)
        common_offset = instance.log.find_common_offset(request.last)
        if common_offset != request.last.offset:
            return {'drop_after': common_offset, 'entries': []}
        now = time.monotonic()
        entries, due_s = find_entries(instance, request, now)
        if entries or now >= deadline:
            rows = [[entry.term, entry.offset, entry.statements] for entry in entries]
            return {'drop_after': None, 'entries': rows}
        wait_s = deadline - now if due_s is None else min(due_s, deadline - now)
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await instance.changed.wait()


class ReplicationPuller:
    """Keeps one replica up to date with its primary until it is stopped.

    Attributes:
        instance: The replica.
        primary: Name of the primary.
        host: IP number of the primary.
        port: TCP port of the primary.
        term: Term of the primary.
        password: Password of the replication login.
        matched: Set once the log is a prefix of the primary's log.
    """

    def __init__(
        self, instance: TargetInstance, primary: str, address: tuple[str, int], term: int,
        password: str,
    ):  # fmt: skip
        self.instance = instance
        self.primary = primary
        self.host, self.port = address
        self.term = term
        self.password = password
        self.matched = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start pulling."""
        self.task = asyncio.create_task(self.run())

    def stop(self) -> None:
        """Stop pulling."""
        if self.task is not None:
            self.task.cancel()

    def is_current(self) -> bool:
        """Return whether the instance still follows this primary in this term."""
        is_replica = self.instance.role is TargetRole.REPLICA
        follows = self.instance.follows == self.primary
        return is_replica and follows and self.instance.fenced_term == self.term

    async def run(self) -> None:
        """Pull until the instance no longer follows this primary."""
        while self.is_current():
            try:
                await self.pull_over_one_connection()
            except (OSError, MysqlClientError) as error:
                logging.debug(
                    'event=pull_failed instance=%s primary=%s cause=%r',
                    self.instance.name, self.primary, error,
                )  # fmt: skip
            await asyncio.sleep(RETRY_DELAY_S)

    async def pull_over_one_connection(self) -> None:
        """Pull until the connection fails or is cut."""
        if self.primary in self.instance.faults.cut_from:
            return
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            connection = await aiomysql.connect(
                host=self.host, port=self.port, user=REPLICATION_USER, password=self.password,
                autocommit=None,
            )  # fmt: skip
        try:
            while self.is_current() and self.primary not in self.instance.faults.cut_from:
                await self.pull_once(connection)
        finally:
            connection.close()

    async def pull_once(self, connection: aiomysql.Connection) -> None:
        """Request entries from the primary and store them."""
        last = self.instance.log.last
        faults = self.instance.faults
        wait_ms = POLL_WAIT_MS if self.matched.is_set() else 0
        hold_back_ms = self.find_hold_back_ms()
        values = (self.instance.name, self.term, last.term, last.offset, wait_ms, hold_back_ms)
        async with asyncio.timeout(PULL_TIMEOUT_S), connection.cursor() as cursor:
            await cursor.execute('SELECT cassiaseam_log(%s, %s, %s, %s, %s, %s)', values)
            row = await cursor.fetchone()
        if not self.is_current() or self.primary in faults.cut_from:
            return
        answer = json.loads(row[0])
        if hold_back_ms != self.find_hold_back_ms():
            # A fault that was set during the long poll applies to its answer.
            answer['entries'] = []
        self.accept_answer(answer, time.monotonic())

    def find_hold_back_ms(self) -> int:
        """Return the minimum age of entries under the faults of this replica."""
        faults = self.instance.faults
        return PAUSED_HOLD_BACK_MS if faults.replication_pause else faults.replication_delay_ms

    def accept_answer(self, answer: dict[str, Any], now: float) -> None:
        """Store the answer of the primary."""
        instance = self.instance
        instance.last_contact = now
        if answer['drop_after'] is not None:
            instance.drop_entries_after(answer['drop_after'])
            return
        rows = answer['entries']
        entries = [LogEntry(term, offset, tuple(parts)) for term, offset, parts in rows]
        instance.store_entries(entries, now)
        instance.term = self.term
        self.matched.set()
        self.schedule_apply(instance.log.last.offset)

    def schedule_apply(self, offset: int) -> None:
        """Make entries visible now, or later if the fault `apply_delay_ms` is set."""
        delay_ms = self.instance.faults.apply_delay_ms
        if not delay_ms:
            self.instance.apply_until(offset)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(delay_ms / MS_PER_S, self.apply_if_current, offset)

    def apply_if_current(self, offset: int) -> None:
        """Apply entries after a delay, unless the instance now follows another primary."""
        if self.is_current():
            self.instance.apply_until(offset)


class Replication:
    """Starts and stops the puller of an instance.

    Attributes:
        instance: The replica.
        password: Password of the replication login.
        puller: Running puller, or None.
    """

    def __init__(self, instance: TargetInstance, password: str):
        self.instance = instance
        self.password = password
        self.puller: ReplicationPuller | None = None

    def stop(self) -> None:
        """Stop pulling."""
        if self.puller is not None:
            self.puller.stop()
            self.puller = None

    async def follow(self, primary: str, host: str, port: int, term: int) -> None:
        """Follow a primary; returns once the log is a prefix of the primary's log.

        Raises:
            StandinError: The term is refused, or the primary has not answered within
                `FOLLOW_WAIT_S`; in the second case the instance keeps trying.
        """
        self.instance.begin_following(primary, term)
        self.stop()
        self.puller = ReplicationPuller(self.instance, primary, (host, port), term, self.password)
        self.puller.start()
        try:
            async with asyncio.timeout(FOLLOW_WAIT_S):
                await self.puller.matched.wait()
        except TimeoutError:
            message = f'{primary} at {host}:{port} has not answered, still trying'
            raise StandinError(NET_READ_ERROR, message) from None
