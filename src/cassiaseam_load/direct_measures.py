"""Latency of reads through the proxy compared with reads sent directly to a target."""

import asyncio
import statistics

import aiomysql

from cassiaseam_load.caller import TABLE, CallerSession
from cassiaseam_load.figures import Figure
from cassiaseam_load.measures import MeasureRun, measures
from cassiaseam_standin.cluster import TARGET_PASSWORD, TARGET_USER

MS_PER_S = 1000
READ_SQL = f"SELECT MAX(number) FROM {TABLE} WHERE session_id = 'none'"


@measures('direct_overhead', quick=('pumpa-core',))
async def measure_direct_overhead(run: MeasureRun) -> list[Figure]:
    """Send the same read alternately through a daemon and directly to a target."""
    installation = run.installation
    await installation.wait_until_healthy()
    target = installation.group.build_target_config(await installation.find_primary())
    direct = await aiomysql.connect(
        host=target.host,
        port=target.port,
        user=TARGET_USER,
        password=TARGET_PASSWORD,
        autocommit=True,
    )
    try:
        times = await time_alternating_reads(run, direct)
    finally:
        direct.close()
    proxied_ms, direct_ms = [statistics.median(series) * MS_PER_S for series in times]
    return [
        run.build_figure('direct_overhead_ratio', proxied_ms / direct_ms, '1'),
        run.build_figure('direct_overhead_ms', proxied_ms - direct_ms, 'ms'),
    ]


async def time_alternating_reads(
    run: MeasureRun, direct: aiomysql.Connection
) -> tuple[list[float], list[float]]:
    """Return the latencies in seconds of reads through the proxy and directly to a target."""
    installation = run.installation
    clock = asyncio.get_running_loop().time
    count = int(run.choose_duration_s(20, 60))
    sessions = [
        CallerSession(installation.context, installation.database, 'direct', number)
        for number in range(len(installation.context.endpoints))
    ]
    proxied: list[float] = []
    straight: list[float] = []
    for number in range(count):
        session = sessions[number % len(sessions)]
        if session.connection is None:
            await session.connect()
        sent_s = clock()
        await session.execute(f'/* cassiaseam: max_age=5s */ {READ_SQL}')
        proxied.append(clock() - sent_s)
        sent_s = clock()
        async with direct.cursor() as cursor:
            await cursor.execute(READ_SQL)
            await cursor.fetchall()
        straight.append(clock() - sent_s)
    for opened in sessions:
        opened.disconnect()
    return proxied, straight
