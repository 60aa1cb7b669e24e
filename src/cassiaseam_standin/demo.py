"""Demo: one client session across three daemons while the primary is killed.

`python -m cassiaseam_standin.demo run|up|down`
"""

import argparse
import asyncio
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pymysql

from cassiaseam_standin.cluster import (
    CALLER_PASSWORD,
    CALLER_USER,
    Cluster,
    ClusterShape,
    start_cluster,
)
from cassiaseam_standin.daemon_process import DaemonProcess
from cassiaseam_standin.demo_processes import end_processes, save_processes, write_environment
from cassiaseam_standin.group_control import LOOPBACK

DATABASE = 'orders'
DEMO_FOLDER = Path('.demo')
PID_FILE = DEMO_FOLDER / 'processes.json'
ENVIRONMENT = DEMO_FOLDER / 'environment'
RETRY_TIMEOUT_S = 10.0
RETRY_INTERVAL_S = 0.05
STATEMENT_MS = 2
TABLE_SQL = (
    'CREATE TABLE IF NOT EXISTS reservations '
    '(id INTEGER PRIMARY KEY AUTO_INCREMENT, pump VARCHAR(40), dealer VARCHAR(40))'
)


@dataclass(slots=True)
class DemoReport:
    """Prints answers and collects the wrong ones."""

    wrong: list[str] = field(default_factory=list)

    def show(self, step: str, answer: Any, target: str, correct: bool) -> None:
        """Print one answer and record it if it is wrong."""
        verdict = 'right' if correct else 'WRONG'
        print(f'{step:<58} {answer!s:<28} from {target:<20} {verdict}')
        if not correct:
            self.wrong.append(step)


def connect(daemon: DaemonProcess) -> pymysql.Connection:
    """Open an ordinary client connection to a daemon."""
    return pymysql.connect(
        host=LOOPBACK,
        port=daemon.ports.callers,
        user=CALLER_USER,
        password=CALLER_PASSWORD,
        database=DATABASE,
        autocommit=True,
    )


def query(connection: pymysql.Connection, sql: str) -> tuple[tuple[Any, ...], ...]:
    """Run one statement and return its rows."""
    with connection.cursor() as cursor:
        cursor.execute(sql)
        return tuple(cursor.fetchall())


def find_last_target(connection: pymysql.Connection) -> str:
    """Return the target that served the latest statement of a session."""
    return str(query(connection, 'SELECT @cassiaseam_last_target')[0][0])


def retry_when_not_run(
    action: Callable[[], tuple[tuple[Any, ...], ...]],
) -> tuple[tuple[Any, ...], ...]:
    """Retry a statement while its error states that it did not run."""
    end_s = time.monotonic() + RETRY_TIMEOUT_S
    while True:
        try:
            return action()
        except pymysql.err.MySQLError as error:
            if 'ran=no' not in str(error) or time.monotonic() > end_s:
                raise
        time.sleep(RETRY_INTERVAL_S)


def run_session(cluster: Cluster, report: DemoReport) -> None:
    """Run one session across three daemons."""
    first, second, third = [connect(daemon) for daemon in cluster.list_daemons()]
    retry_when_not_run(lambda: query(first, TABLE_SQL))
    reserve(first, 'P-100', report)
    token = read_token(first)
    check_reservations(second, token, ['P-100'], report)
    kill_primary(cluster, find_primary(first))
    started_s = time.monotonic()
    reserve(second, 'P-200', report)
    print(f'first write after the kill was answered after {time.monotonic() - started_s:.2f} s')
    check_reservations(third, read_token(second), ['P-100', 'P-200'], report)
    check_repeated_key(third, report)
    check_transaction(first, report)


def reserve(connection: pymysql.Connection, pump: str, report: DemoReport) -> None:
    """Insert one reservation with an idempotency key."""
    hint = f'/* cassiaseam: key=reserve-{pump}, repeatable=no */'
    sql = f"{hint} INSERT INTO reservations (pump, dealer) VALUES ('{pump}', 'gyor')"
    retry_when_not_run(lambda: query(connection, sql))
    report.show(f'write {pump}', 'acknowledged', find_last_target(connection), True)


def read_token(connection: pymysql.Connection) -> str:
    """Return the consistency token of a session."""
    return str(query(connection, 'SELECT @cassiaseam_token')[0][0])


def find_primary(connection: pymysql.Connection) -> str:
    """Return the target that serves reads without accepted staleness, the primary."""
    query(connection, 'SELECT COUNT(*) FROM reservations')
    return find_last_target(connection)


def kill_primary(cluster: Cluster, primary: str) -> None:
    """Kill the process of the primary."""
    print(f'killing primary {primary}')
    cluster.groups[DATABASE].targets[primary].kill()


def check_reservations(
    connection: pymysql.Connection, token: str, expected: list[str], report: DemoReport
) -> None:
    """Read the writes of the session on another daemon, with up to 5 s of staleness."""
    query(connection, f"SET @cassiaseam_token = '{token}'")
    sql = '/* cassiaseam: max_age=5s */ SELECT pump FROM reservations ORDER BY pump'
    rows = retry_when_not_run(lambda: query(connection, sql))
    found = [row[0] for row in rows]
    target = find_last_target(connection)
    report.show('read on another daemon, data up to 5 s old', found, target, found == expected)


def check_repeated_key(connection: pymysql.Connection, report: DemoReport) -> None:
    """Repeat a reservation with the same idempotency key and expect no second row."""
    reserve(connection, 'P-200', report)
    sql = "SELECT COUNT(*) FROM reservations WHERE pump = 'P-200'"
    rows = retry_when_not_run(lambda: query(connection, sql))
    target = find_last_target(connection)
    report.show('rows after the same key again', rows[0][0], target, rows[0][0] == 1)


def check_transaction(connection: pymysql.Connection, report: DemoReport) -> None:
    """Roll back a transaction and expect no row of it."""
    retry_when_not_run(lambda: query(connection, 'BEGIN'))
    query(connection, "INSERT INTO reservations (pump, dealer) VALUES ('P-300', 'gyor')")
    query(connection, 'ROLLBACK')
    sql = "SELECT COUNT(*) FROM reservations WHERE pump = 'P-300'"
    rows = retry_when_not_run(lambda: query(connection, sql))
    target = find_last_target(connection)
    report.show('rows after a rolled back transaction', rows[0][0], target, rows[0][0] == 0)


def make_shape(exit_with_parent: bool) -> ClusterShape:
    """Return the cluster shape of the demo."""
    arguments = (f'--statement-ms={STATEMENT_MS}',)
    return ClusterShape(target_arguments=arguments, exit_with_parent=exit_with_parent)


async def run_demo() -> int:
    """Start the cluster, run the session, and stop the cluster."""
    cluster = await start_cluster(make_shape(exit_with_parent=True))
    report = DemoReport()
    try:
        await asyncio.to_thread(run_session, cluster, report)
    finally:
        cluster.stop()
    print('all answers were right' if not report.wrong else f'wrong: {report.wrong}')
    return 1 if report.wrong else 0


def list_pids(cluster: Cluster) -> dict[str, int]:
    """Return the ids of all processes of a cluster by name."""
    pids = {daemon.vm: daemon.process.pid for daemon in cluster.list_daemons()}
    for group in cluster.groups.values():
        pids.update((name, target.pid) for name, target in group.targets.items())
    return {**pids, 'platform': cluster.platform.pid}


async def bring_up() -> int:
    """Start the processes of the demo and leave them running."""
    if PID_FILE.exists():
        print(f'{PID_FILE} exists: the demo is up already, or stop it with `make demo-down`')
        return 1
    folder = DEMO_FOLDER.resolve()
    cluster = await start_cluster(make_shape(exit_with_parent=False), folder)
    pids = list_pids(cluster)
    save_processes(PID_FILE, pids)
    for daemon in cluster.list_daemons():
        ports = daemon.ports
        print(
            f'{daemon.vm} place={daemon.place} callers={ports.callers} admin={ports.admin} '
            f'pid={pids[daemon.vm]}'
        )
    for group in cluster.groups.values():
        for name in group.targets:
            print(f'{name} pid={pids[name]}')
    print(f'login {CALLER_USER} / {CALLER_PASSWORD}, database {DATABASE}')
    admin_port = cluster.list_daemons()[0].ports.admin
    write_environment(ENVIRONMENT, f'http://{LOOPBACK}:{admin_port}', folder / 'admin.token')
    print(f'address and token of the administration API: `. {ENVIRONMENT}`')
    return 0


def bring_down() -> int:
    """Stop the processes that `up` started."""
    if not PID_FILE.exists():
        print('the demo is not up')
        return 1
    for report in end_processes(PID_FILE):
        print(report)
    PID_FILE.unlink()
    return 0


def main(arguments: list[str] | None = None) -> int:
    """Run the demo program."""
    parser = argparse.ArgumentParser(description='cassiaseam demo on loopback')
    parser.add_argument('action', choices=('run', 'up', 'down'))
    action = parser.parse_args(arguments).action
    if action == 'down':
        return bring_down()
    return asyncio.run(run_demo() if action == 'run' else bring_up())


if __name__ == '__main__':
    sys.exit(main())
