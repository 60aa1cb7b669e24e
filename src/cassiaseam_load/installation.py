"""Running cluster under load, with consistency checks of its answers."""

import asyncio
import json
from collections.abc import Iterable
from dataclasses import dataclass, replace
from urllib.error import HTTPError
from urllib.request import Request, urlopen

from cassiaseam.messages import TargetRole, TargetStatus
from cassiaseam.targets.connection import execute_sql
from cassiaseam_load.caller import TABLE, CallerSession, Endpoint, RunContext
from cassiaseam_load.checker import check_rows
from cassiaseam_load.driver import SessionPool, make_sessions, run_schedule
from cassiaseam_load.recorder import Recorder
from cassiaseam_load.schedule import Arrival, generate_arrivals
from cassiaseam_load.workloads import Workload
from cassiaseam_standin.cluster import (
    CALLER_PASSWORD,
    CALLER_USER,
    Cluster,
    ClusterShape,
    start_cluster,
)
from cassiaseam_standin.group_control import LOOPBACK
from cassiaseam_standin.group_launcher import StandinGroup

READY_TIMEOUT_S = 20.0
HEALTHY_TIMEOUT_S = 12.0
POLL_INTERVAL_S = 0.05
SETTLE_S = 0.5
HTTP_TIMEOUT_S = 3.0
TABLE_SQL = f"""CREATE TABLE IF NOT EXISTS {TABLE}
    (row_id VARCHAR(80), session_id VARCHAR(60), number INT)"""
INDEX_SQL = f'CREATE INDEX {TABLE}_session ON {TABLE} (session_id, number)'


class InstallationError(Exception):
    """The installation did not reach the state that a measurement requires."""


@dataclass(frozen=True, slots=True)
class Load:
    """Offered load of one phase.

    Attributes:
        reads_per_s: Offered reads per second.
        writes_per_s: Offered writes per second.
        duration_s: Length of the phase in seconds.
        seed: Seed of the schedule.
        bounded_staleness_share: Share of bounded-staleness reads among the reads; None uses the
            value of the workload.
        keyed_share: Share of writes with an idempotency key; None uses the value of the workload.
        roam_share: Share of requests before which the session moves to the next daemon.
    """

    reads_per_s: float
    writes_per_s: float
    duration_s: float
    seed: int = 1
    bounded_staleness_share: float | None = None
    keyed_share: float | None = None
    roam_share: float = 0


def build_arrivals(workload: Workload, load: Load) -> Iterable[Arrival]:
    """Return the request schedule of a phase."""
    total = load.reads_per_s + load.writes_per_s
    aged = (
        workload.bounded_staleness_share
        if load.bounded_staleness_share is None
        else load.bounded_staleness_share
    )
    keyed = workload.keyed_share if load.keyed_share is None else load.keyed_share
    mix = replace(
        workload,
        read_share=load.reads_per_s / total,
        bounded_staleness_share=aged,
        keyed_share=keyed,
    )
    return generate_arrivals(mix, total, load.duration_s, load.seed)


class Installation:
    """Cluster under one workload.

    Attributes:
        workload: Request mix and capacity.
        cluster: Processes of the cluster.
        context: State shared by all sessions; its violations accumulate over all phases.
        pools: Session pools by label; later phases reuse them.
    """

    def __init__(self, workload: Workload, cluster: Cluster):
        self.workload = workload
        self.cluster = cluster
        self.context = RunContext([], max_age_ms=workload.max_age_ms)
        self.pools: dict[str, SessionPool] = {}
        self.refresh_endpoints()

    def refresh_endpoints(self) -> None:
        """Direct new connections to the daemons that are running."""
        self.context.endpoints = [
            Endpoint(LOOPBACK, daemon.ports.callers, CALLER_USER, CALLER_PASSWORD)
            for daemon in self.cluster.list_daemons()
        ]

    @property
    def database(self) -> str:
        """Return the name of the first database."""
        return self.cluster.shape.databases[0]

    @property
    def group(self) -> StandinGroup:
        """Return the targets of the first database."""
        return self.cluster.groups[self.database]

    async def create_tables(self) -> None:
        """Create the table of the sessions in every database as soon as it accepts writes.

        Raises:
            InstallationError: A database accepts no writes within `READY_TIMEOUT_S`.
        """
        for database in self.cluster.shape.databases:
            session = CallerSession(self.context, database, 'setup', 0)
            await self.retry_until_acknowledged(session, TABLE_SQL)
            await self.retry_until_acknowledged(session, INDEX_SQL)
            session.disconnect()

    async def wait_until_writable(self) -> None:
        """Wait until a write is acknowledged.

        Raises:
            InstallationError: No write is acknowledged within `READY_TIMEOUT_S`.
        """
        session = CallerSession(self.context, self.database, 'setup', 0)
        await self.retry_until_acknowledged(session, f"DELETE FROM {TABLE} WHERE row_id = ''")
        session.disconnect()

    async def retry_until_acknowledged(self, session: CallerSession, sql: str) -> None:
        """Retry a statement until it succeeds or its object already exists.

        Raises:
            InstallationError: The statement fails for `READY_TIMEOUT_S`.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + READY_TIMEOUT_S
        message = ''
        while loop.time() < end_s:
            try:
                await session.execute(sql)
            except Exception as error:  # noqa: BLE001  (the last one is reported)
                message = str(error)
                if 'already exists' in message:
                    return
                await asyncio.sleep(POLL_INTERVAL_S)
            else:
                return
        raise InstallationError(f'{sql!r} got no answer: {message}')

    async def open_pool(self, label: str, count: int) -> SessionPool:
        """Return the pool with this label; create and connect it on the first call."""
        if label not in self.pools:
            sessions = make_sessions(self.context, self.cluster.shape.databases, count, label)
            self.pools[label] = SessionPool(sessions)
            await self.pools[label].connect_all()
        return self.pools[label]

    async def run_load(
        self, pool: SessionPool, load: Load, *, deadline_ms: int = 0
    ) -> tuple[Recorder, float]:
        """Run one phase.

        Returns:
            Measurements of the phase and its start in seconds, on the event loop's clock.
        """
        recorder = Recorder()
        self.context.recorder = recorder
        self.context.deadline_ms = deadline_ms
        arrivals = build_arrivals(self.workload, load)
        started_s = await run_schedule(pool, arrivals, roam_share=load.roam_share, seed=load.seed)
        return recorder, started_s

    async def read_statuses(self) -> dict[str, TargetStatus]:
        """Return the status of each target of the first database that answers."""
        names = [name for name, target in self.group.targets.items() if target.process is not None]
        found = await asyncio.gather(
            *(self.group.read_status(name) for name in names), return_exceptions=True
        )
        pairs = zip(names, found, strict=True)
        return {name: status for name, status in pairs if isinstance(status, TargetStatus)}

    async def find_primary(self) -> str:
        """Return the name of the primary with the highest term.

        Raises:
            InstallationError: No target that answers is a primary.
        """
        statuses = await self.read_statuses()
        leading = [
            (status.term, name)
            for name, status in statuses.items()
            if status.role is TargetRole.PRIMARY
        ]
        if not leading:
            raise InstallationError(f'no primary among {sorted(statuses)}')
        return max(leading)[1]

    async def wait_until_healthy(self) -> None:
        """Wait until there is one primary and all other targets have caught up with it.

        Raises:
            InstallationError: The targets do not recover within `HEALTHY_TIMEOUT_S`.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + HEALTHY_TIMEOUT_S
        while loop.time() < end_s:
            statuses = await self.read_statuses()
            if self.is_healthy(list(statuses.values())):
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise InstallationError(f'targets did not recover: {statuses}')

    def is_healthy(self, statuses: list[TargetStatus]) -> bool:
        """Return whether all targets answer and have applied the log of a single primary."""
        terms = {status.term for status in statuses}
        primaries = [status for status in statuses if status.role is TargetRole.PRIMARY]
        if len(statuses) < len(self.workload.places) or len(terms) > 1 or len(primaries) != 1:
            return False
        last = primaries[0].last
        return all(status.applied.covers(last) for status in statuses)

    async def check_answers(self) -> None:
        """Check the rows at the primary of the first database against all answers."""
        await asyncio.sleep(SETTLE_S)
        connection = await self.group.connect(await self.find_primary())
        try:
            found = await execute_sql(connection.protocol, f'SELECT row_id FROM {TABLE}')
        finally:
            connection.close()
        rows = [row[0] for row in found.rows]
        check_rows(self.context.journal, rows, self.context.violations)

    async def call_platform(self, method: str, path: str, body: dict | None = None) -> dict:
        """Send a request to the stand-in platform and return its JSON answer.

        Raises:
            OSError: The platform does not answer or returns an error status.
        """
        return await asyncio.to_thread(
            call_json, f'http://{LOOPBACK}:{self.cluster.platform.port}{path}', method, body
        )

    def stop(self) -> None:
        """Close all sessions and stop all processes."""
        for pool in self.pools.values():
            pool.disconnect_all()
        self.cluster.stop()


def call_json(url: str, method: str, body: dict | None = None, token: str = '') -> dict:
    """Send an HTTP request and return the JSON answer.

    Raises:
        OSError: The server does not answer or returns an error status.
    """
    encoded = None if body is None else json.dumps(body).encode()
    headers = {'Content-Type': 'application/json'}
    if token:
        headers['Authorization'] = f'Bearer {token}'
    request = Request(url, encoded, headers, method=method)
    try:
        with urlopen(request, timeout=HTTP_TIMEOUT_S) as answer:
            return json.loads(answer.read() or b'{}')
    except HTTPError as error:
        raise OSError(f'{method} {url} gave {error.code}: {error.read()[:400]!r}') from error


def build_shape(workload: Workload, databases: int) -> ClusterShape:
    """Return the cluster shape for a workload with its first `databases` databases."""
    return ClusterShape(
        places=workload.places,
        databases=workload.databases[:databases],
        daemons=len(workload.places),
        slots=workload.slots,
        connections=workload.connections,
        target_arguments=(
            f'--statement-ms={workload.statement_ms}',
            f'--latency-ms={workload.latency_ms}',
        ),
        log_level='warning',
    )


async def start_installation(workload: Workload, databases: int = 1) -> Installation:
    """Start a cluster for a workload and create its tables.

    Raises:
        InstallationError: The cluster accepts no writes.
        GroupError: A stand-in did not start.
    """
    installation = Installation(workload, await start_cluster(build_shape(workload, databases)))
    try:
        await installation.create_tables()
    except BaseException:
        installation.stop()
        raise
    return installation
