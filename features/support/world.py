"""A cluster of separate processes that the scenarios of a feature share."""

import asyncio
import json
import urllib.error
import urllib.request

import aiomysql
import pymysql

from cassiaseam.membership.ranking import compute_score
from cassiaseam.messages import TargetRole, TargetStatus
from cassiaseam_standin.cluster import (
    ADMIN_TOKEN,
    CALLER_PASSWORD,
    CALLER_USER,
    Cluster,
    ClusterShape,
    start_cluster,
)
from cassiaseam_standin.daemon_process import DaemonProcess
from cassiaseam_standin.faults import FaultSwitches
from cassiaseam_standin.group_control import LOOPBACK, GroupError

DATABASE = 'orders'
STATEMENT_MS = 2
RECOVERY_TIMEOUT_S = 25.0
POLL_S = 0.03
SHOWN_DECISIONS = 14
CONNECT_TIMEOUT_S = 2.0
FAULT_DEFAULTS = {
    'replication_pause': 'off',
    'replication_delay_ms': '0',
    'apply_delay_ms': '0',
    'cut_from': '',
    'client_cut': 'off',
    'statement_delay_ms': '0',
    'drop_before_commit': '0',
    'drop_after_commit': '0',
    'leaving': 'off',
}
PLATFORM_DEFAULTS = {'down': False, 'delay_ms': 0, 'lose_next_write_answers': 0, 'vm_lag_ms': 0}
TABLE_SQL = (
    'CREATE TABLE IF NOT EXISTS proof_rows (id INTEGER PRIMARY KEY AUTO_INCREMENT, '
    'row_id VARCHAR(60), session_id VARCHAR(40), number INTEGER)'
)
assert set(FAULT_DEFAULTS) == set(FaultSwitches.__slots__)


class World:
    """State shared by the scenarios: the cluster and the faults in force.

    Attributes:
        cluster: Running cluster, or None before the first scenario.
        frozen: VMs whose daemons are suspended by SIGSTOP.
        resumed_at: Time of the last resume per VM, on the clock of the event loop.
        scenario: Number of the current scenario; part of every row.
        leaving: Target that the latest fault marked as leaving.
        owners: VMs that owned the database after the latest recovery.
    """

    def __init__(self):
        self.reset()

    def reset(self) -> None:
        """Drop the cluster and reset all state."""
        self.cluster: Cluster | None = None
        self.frozen: set[str] = set()
        self.resumed_at: dict[str, float] = {}
        self.scenario = 0
        self.recovery_failure = ''
        self.leaving = ''
        self.owners: set[str] = set()

    async def start(self) -> None:
        arguments = (f'--statement-ms={STATEMENT_MS}',)
        self.cluster = await start_cluster(ClusterShape(target_arguments=arguments))

    @property
    def group(self):
        return self.cluster.groups[DATABASE]

    def list_targets(self) -> list[str]:
        return list(self.group.targets)

    def list_live_daemons(self) -> list[DaemonProcess]:
        daemons = self.cluster.list_daemons()
        return [d for d in daemons if d.process is not None and d.vm not in self.frozen]

    def find_owner(self) -> DaemonProcess:
        """Return the owner; a confirmed plan may have moved it away from the ranked one."""
        live = self.list_live_daemons()
        owning = [daemon for daemon in live if daemon.vm in self.owners]
        return max(owning or live, key=lambda daemon: compute_score(DATABASE, daemon.vm))

    def find_other_daemon(self) -> DaemonProcess:
        """Return a daemon that does not own the database."""
        owner = self.find_owner()
        others = [daemon for daemon in self.list_live_daemons() if daemon is not owner]
        return min(others or [owner], key=lambda daemon: compute_score(DATABASE, daemon.vm))

    async def read_owners(self) -> set[str]:
        """Return the VMs whose daemons currently own the database."""
        owners = set()
        for daemon in self.list_live_daemons():
            _, status = await self.call_admin(daemon, '/v1/status?scope=local')
            if DATABASE in status['databases']:
                owners.add(daemon.vm)
        return owners

    async def connect(self, daemon: DaemonProcess) -> aiomysql.Connection:
        """Open a connection as a caller.

        Raises:
            ConnectionError: The daemon does not accept it in time.
        """
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return await aiomysql.connect(
                    host=LOOPBACK,
                    port=daemon.ports.callers,
                    user=CALLER_USER,
                    password=CALLER_PASSWORD,
                    db=DATABASE,
                    autocommit=True,
                )
        except (pymysql.err.MySQLError, OSError, TimeoutError) as error:
            raise ConnectionError(f'{daemon.vm}: {error!r}') from error

    async def query(self, daemon: DaemonProcess, sql: str) -> tuple[tuple, ...]:
        """Run one statement on a new connection."""
        connection = await self.connect(daemon)
        try:
            return await fetch(connection, sql)
        finally:
            connection.close()

    async def read_statuses(self) -> dict[str, TargetStatus]:
        """Return the status of every reachable target."""
        found = await asyncio.gather(*(self._read_status(name) for name in self.list_targets()))
        return {status.instance: status for status in found if status is not None}

    async def _read_status(self, name: str) -> TargetStatus | None:
        if self.group.targets[name].process is None:
            return None
        try:
            async with asyncio.timeout(0.5):
                return await self.group.read_status(name)
        except (GroupError, TimeoutError, OSError, pymysql.err.MySQLError):
            return None

    async def find_primary(self) -> TargetStatus | None:
        """Return the status of the primary with the highest term, or None."""
        statuses = (await self.read_statuses()).values()
        primaries = [found for found in statuses if found.role is TargetRole.PRIMARY]
        return max(primaries, key=lambda found: found.term, default=None)

    async def set_fault(self, target: str, fault: str, setting: object) -> None:
        await self.group.set_fault(target, fault, str(setting))

    async def set_platform(self, **faults: object) -> None:
        url = f'http://{LOOPBACK}:{self.cluster.platform.port}/faults'
        await asyncio.to_thread(call_http, 'PUT', url, faults)

    async def call_admin(self, daemon: DaemonProcess, path: str, body: dict | None = None):
        """Return the status and JSON body of a call to the administration API."""
        url = f'http://{LOOPBACK}:{daemon.ports.admin}{path}'
        method = 'GET' if body is None else 'POST'
        return await asyncio.to_thread(call_http, method, url, body)

    async def read_shards(self, daemon: DaemonProcess) -> dict[str, int]:
        """Return the version of each configuration shard on one daemon."""
        _, status = await self.call_admin(daemon, '/v1/status')
        return status['configuration']['shards']

    async def read_decisions(self) -> str:
        """Return the latest timeline records of the live daemons, for error messages."""
        lines = []
        for daemon in self.list_live_daemons():
            _, page = await self.call_admin(daemon, '/v1/timeline?scope=local')
            for entry in page['entries'][-SHOWN_DECISIONS:]:
                shown = [
                    str(entry.get(name)) for name in ('stamp', 'kind', 'term', 'cause', 'fields')
                ]
                lines.append(f'{daemon.vm} {" ".join(shown)}')
        return '\n'.join(lines)

    async def restore_cluster(self) -> None:
        """End all faults and wait until the cluster has recovered.

        Raises:
            AssertionError: The cluster does not recover in time.
        """
        for daemon in self.cluster.list_daemons():
            daemon.resume()
        now = asyncio.get_running_loop().time()
        self.resumed_at.update(dict.fromkeys(self.frozen, now))
        self.frozen.clear()
        await self.set_platform(**PLATFORM_DEFAULTS)
        for target in self.group.targets.values():
            target.resume()
            if target.process is None:
                await target.restart()
        await asyncio.gather(*(self._clear_faults(name) for name in self.list_targets()))
        for daemon in self.cluster.list_daemons():
            if daemon.process is None:
                daemon.start()
                await daemon.wait_until_listening()
        try:
            await wait_until(
                self.is_recovered, RECOVERY_TIMEOUT_S, 'the installation is whole again'
            )
        except AssertionError as error:
            raise AssertionError(f'{error}; last seen: {self.recovery_failure}') from error
        self.owners = await self.read_owners()

    async def _clear_faults(self, name: str) -> None:
        connection = await self.group.connect(name)
        try:
            for fault, setting in FAULT_DEFAULTS.items():
                await connection.protocol.query(f"CALL standin_fault('{fault}', '{setting}')")
        finally:
            connection.close()

    async def is_recovered(self) -> bool:
        """Return whether all targets follow one primary and all daemons serve writes."""
        statuses = await self.read_statuses()
        primary = await self.find_primary()
        if primary is None or len(statuses) != len(self.list_targets()):
            self.recovery_failure = f'primary {primary}, targets that answer: {sorted(statuses)}'
            return False
        for status in statuses.values():
            follows = status.instance == primary.instance or status.follows == primary.instance
            if not follows or status.term != primary.term or status.leaving:
                self.recovery_failure = f'{status} does not follow {primary}'
                return False
            if not status.applied.covers(primary.last):
                self.recovery_failure = f'{status} is behind {primary}'
                return False
        return all([await self._serves(daemon) for daemon in self.cluster.list_daemons()])

    async def _serves(self, daemon: DaemonProcess) -> bool:
        try:
            # After an outage, a daemon does not call the platform for some seconds.
            code, body = await self.call_admin(daemon, '/v1/plans')
            if code != 200:
                self.recovery_failure = f'{daemon.vm} answers {code} to /v1/plans: {body}'
                return False
            _, status = await self.call_admin(daemon, '/v1/status')
            if status['members']['alive'] != len(self.cluster.daemons):
                self.recovery_failure = f'{daemon.vm} sees members {status["members"]}'
                return False
            await self.query(daemon, TABLE_SQL)
        except (ConnectionError, OSError, TimeoutError, pymysql.err.MySQLError) as error:
            self.recovery_failure = f'{daemon.vm}: {error!r}'
            return False
        return True


async def fetch(connection: aiomysql.Connection, sql: str) -> tuple[tuple, ...]:
    """Run one statement and return its rows."""
    async with connection.cursor() as cursor:
        await cursor.execute(sql)
        return tuple(await cursor.fetchall())


async def wait_until(condition, limit_s: float, expected: str) -> None:
    """Poll an asynchronous condition; raises `AssertionError` on timeout."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + limit_s
    while not await condition():
        assert loop.time() < end_s, f'not within {limit_s} s: {expected}'
        await asyncio.sleep(POLL_S)


def call_http(method: str, url: str, body: dict | None) -> tuple[int, dict]:
    """Return the status and JSON body of an HTTP call."""
    data = None if body is None else json.dumps(body).encode()
    headers = {'Authorization': f'Bearer {ADMIN_TOKEN}'}
    call = urllib.request.Request(url, data=data, headers=headers, method=method)
    try:
        with urllib.request.urlopen(call, timeout=10) as answer:
            return answer.status, json.loads(answer.read() or b'{}')
    except urllib.error.HTTPError as error:
        return error.code, json.loads(error.read() or b'{}')
