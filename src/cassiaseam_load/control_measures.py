"""Time until operator changes take effect, and CPU time of the reducer per event."""

import asyncio
import time
from typing import Any

import aiomysql
import pymysql

from cassiaseam_load.caller import TABLE, CallerSession, Endpoint
from cassiaseam_load.figures import Figure
from cassiaseam_load.group_benchmark import measure_group_events
from cassiaseam_load.installation import Installation, InstallationError, call_json
from cassiaseam_load.measures import MeasureRun, Stage, measures
from cassiaseam_load.owner_benchmark import measure_owner_events
from cassiaseam_standin.cluster import ADMIN_TOKEN
from cassiaseam_standin.group_control import LOOPBACK

TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.02
PROBE_DATABASE = 'config-probe'
# Nothing listens on this port: daemons only need to know the probe database.
PROBE_PORT = 1
DRAIN_READERS = 12
QUICK_DATABASES = (10,)
FULL_DATABASES = (10, 300)
READ_SQL = (
    f"/* cassiaseam: max_age=5s */ SELECT MAX(number) FROM {TABLE} WHERE session_id = 'none'"
)


async def call_admin(installation: Installation, path: str, body: dict[str, Any] | None) -> Any:
    """Send a POST request to the admin API of the first daemon.

    Raises:
        OSError: The daemon returned an error status.
    """
    port = installation.cluster.list_daemons()[0].ports.admin
    url = f'http://{LOOPBACK}:{port}{path}'
    return await asyncio.to_thread(call_json, url, 'POST', body or {}, ADMIN_TOKEN)


async def confirm_intent(installation: Installation, intent: dict[str, Any]) -> None:
    """Create a plan for an intent and confirm it."""
    plan = await call_admin(installation, '/v1/plans', intent)
    plan_id = plan.get('plan_id') or plan['id']
    await call_admin(installation, f'/v1/plans/{plan_id}/confirm', None)


async def move_database_to_store(installation: Installation) -> None:
    """Move the database from the settings file to the stored configuration."""
    intent = {'kind': 'set_limits', 'database': installation.database, 'queue_limit': 300}
    await confirm_intent(installation, intent)
    await installation.wait_until_writable()


async def is_database_known(endpoint: Endpoint, database: str) -> bool:
    """Return whether a daemon accepts callers of a database."""
    try:
        connection = await aiomysql.connect(
            host=endpoint.host,
            port=endpoint.port,
            user=endpoint.user,
            password=endpoint.password,
            db=database,
            autocommit=None,
        )
    except pymysql.err.MySQLError:
        return False
    connection.close()
    return True


@measures('configuration', Stage.FAULTS, quick=('pumpa-core',), full=('pumpa-core',))
async def measure_configuration(run: MeasureRun) -> list[Figure]:
    """Measure the time from confirming a new database until all daemons accept its callers."""
    installation = run.installation
    await move_database_to_store(installation)
    probe = {'name': 'probe', 'host': LOOPBACK, 'port': PROBE_PORT, 'place': 'gyor-a'}
    intent = {'kind': 'add_database', 'database': PROBE_DATABASE, 'targets': [probe]}
    await confirm_intent(installation, intent)
    confirmed_s = time.monotonic()
    waiting = list(installation.context.endpoints)
    while waiting:
        if time.monotonic() > confirmed_s + TIMEOUT_S:
            raise InstallationError(f'{len(waiting)} daemons do not know {PROBE_DATABASE}')
        waiting = [
            endpoint
            for endpoint in waiting
            if not await is_database_known(endpoint, PROBE_DATABASE)
        ]
        await asyncio.sleep(POLL_INTERVAL_S)
    in_force_s = time.monotonic() - confirmed_s
    await confirm_intent(installation, {'kind': 'remove_database', 'database': PROBE_DATABASE})
    return [run.build_figure('config_in_force_s', in_force_s, 's')]


async def find_last_read_by_target(session: CallerSession, target: str, end_s: float) -> float:
    """Read until `end_s` and return the time of the last read that `target` served.

    Returns:
        Monotonic time in seconds, or 0 if the target served no read.
    """
    last_s: float = 0
    while time.monotonic() < end_s:
        await session.execute(READ_SQL)
        served_s = time.monotonic()
        rows = await session.execute('SELECT @cassiaseam_last_target')
        if rows[0][0] == target:
            last_s = served_s
    session.disconnect()
    return last_s


@measures('drain', Stage.FAULTS, quick=('pumpa-core',), full=('pumpa-core',))
async def measure_drain(run: MeasureRun) -> list[Figure]:
    """Measure the time from draining a replica under load to the last read that it serves."""
    installation = run.installation
    await installation.wait_until_healthy()
    primary = await installation.find_primary()
    target = next(name for name in installation.group.targets if name != primary)
    sessions = [
        CallerSession(installation.context, installation.database, f'drain-{number}', number)
        for number in range(DRAIN_READERS)
    ]
    end_s = time.monotonic() + run.choose_duration_s(2.5, 4)
    readers = asyncio.gather(
        *(find_last_read_by_target(session, target, end_s) for session in sessions)
    )
    await asyncio.sleep(0.5)
    intent = {'kind': 'drain_target', 'database': installation.database, 'target': target}
    await confirm_intent(installation, intent)
    confirmed_s = time.monotonic()
    last_s = max(await readers)
    undrain = {'kind': 'undrain_target', 'database': installation.database, 'target': target}
    await confirm_intent(installation, undrain)
    if not last_s:
        raise InstallationError(f'{target} served no read before its drain')
    return [run.build_figure('drain_s', max(0, last_s - confirmed_s), 's')]


@measures('decision', Stage.LAST, quick=('pumpa-core',), full=('pumpa-core',))
async def measure_decision(run: MeasureRun) -> list[Figure]:
    """Measure the reducer's CPU time per event in this process, by number of databases."""
    counts = QUICK_DATABASES if run.is_quick else FULL_DATABASES
    figures = []
    for count in counts:
        owner_us = await asyncio.to_thread(measure_owner_events, count)
        group_us = (await asyncio.to_thread(measure_group_events, count)).status_us
        figures.append(run.build_figure(f'decision_us_owner_{count}', owner_us, 'us'))
        figures.append(run.build_figure(f'decision_us_group_{count}', group_us, 'us'))
    largest = max(figure.value for figure in figures)
    return [*figures, run.build_figure('decision_us', largest, 'us')]
