"""Open watches of the store go silent; later the primary announces that it leaves."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

DATABASE = 'orders'
# Longer than the settle window, so that the daemons are in touch again.
PAUSE_S = harness.SETTLE_WINDOW_S + 1.0
# The instance serves for `drainMs` and a little longer, at times many seconds.
SERVES_AFTER_LEAVE_S = harness.DRAIN_S + 4.0


async def write_often(daemon, record, runs: list, until) -> None:
    """Write every 0.25 s in new sessions, and note when each write was sent."""
    number = 0
    while not until.is_set():
        number += 1
        sent_at = record.now()
        try:
            session, first = await harness.Session.open(daemon.port, DATABASE, 'c')
        except (OSError, TimeoutError) as error:
            record.write(f'{daemon.name}: START {DATABASE} -> {type(error).__name__}')
            await asyncio.sleep(0.25)
            continue
        if first.startswith('READY'):
            query_id, lines = await session.query(f'WRITE k{number} {daemon.name}.{number}')
            record.write(f'{daemon.name}: QUERY {query_id} WRITE k{number} -> {" | ".join(lines)}')
            runs.append((query_id, sent_at, daemon.name))
        else:
            record.write(f'{daemon.name}: START {DATABASE} -> {first}')
        session.close()
        await asyncio.sleep(0.25)


async def play(deployment, record, trouble: bool) -> list[str]:
    """Play the case and return the breaks."""
    await deployment.start({DATABASE: 'primary'})
    primary = deployment.group.find_primary()
    arrivals: dict[str, float] = {}
    note_run = primary.record_run

    def record_run(connection, request_id, text) -> None:
        arrivals[request_id] = record.now()
        note_run(connection, request_id, text)

    primary.record_run = record_run
    until = asyncio.Event()
    sent: list = []
    writers = [
        asyncio.ensure_future(write_often(daemon, record, sent, until))
        for daemon in deployment.daemons
    ]
    await asyncio.sleep(3)
    if trouble:
        for daemon in deployment.daemons:
            count = daemon.store_proxy.silence_open_connections()
            record.write(f'the {count} open connections of {daemon.name} to the store go silent')
    await asyncio.sleep(PAUSE_S)
    primary.leaving = True
    deployment.store.announce(primary)
    left_at = record.now()
    record.write(f'{primary.name} reports draining; the store has accepted it')
    await asyncio.sleep(SERVES_AFTER_LEAVE_S)
    until.set()
    await asyncio.gather(*writers)
    served = [
        (query_id, arrivals[query_id] - left_at, sent_at - left_at, name)
        for query_id, sent_at, name in sent
        if query_id in arrivals
    ]
    record.write(f'{primary.name} ran {len(served)} writes in all')
    for start in deployment.group.term_starts:
        record.write(f'{start.target} leads term {start.term}')
    return [
        f'{name} passed write {query_id}, sent {sent_s:.1f} s after the report, to {primary.name},'
        f' where it ran {late_s:.1f} s after the report'
        for query_id, late_s, sent_s, name in served
        if late_s > harness.DRAIN_S and sent_s > harness.DRAIN_S
    ]


sys.exit(harness.run_case(FOLDER, play))
