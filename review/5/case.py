"""An instance announces that it leaves while a daemon that starts reads the list of instances."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

DATABASE = 'catalogue'
# With the three instances of each, the list of instances takes two pages.
OTHER_SERVICES = 170
SERVES_AFTER_LEAVE_S = harness.DRAIN_S + 6.0


async def play(deployment, record, trouble: bool) -> list[str]:
    """Play the case and return the breaks."""
    deployment.register_other_instances(OTHER_SERVICES)
    await deployment.start({DATABASE: 'bounded_staleness'})
    daemon = deployment.daemons[1]
    targets = deployment.group.targets.values()
    replica = next(it for it in targets if it.place == daemon.place)
    arrivals: dict[str, float] = {}
    note_run = replica.record_run

    def record_run(connection, request_id, text) -> None:
        arrivals[request_id] = record.now()
        note_run(connection, request_id, text)

    replica.record_run = record_run
    left_at = 0.0

    def leave() -> None:
        nonlocal left_at
        replica.leaving = True
        deployment.store.announce(replica)
        left_at = record.now()
        record.write(
            f'{replica.name} reports draining; accepted at revision {deployment.store.revision}'
        )

    def on_page(kind: str, after: str, has_more: bool) -> None:
        if kind == 'servers':
            record.write(
                f'store: a page of servers after {after!r}, hasMore {has_more},'
                f' at {deployment.store.revision}'
            )
            if has_more and not left_at and not replica.leaving:
                asyncio.get_running_loop().call_later(0.001, leave)

    await asyncio.sleep(3)
    if trouble:
        record.write(f'{daemon.name} gets SIGTERM and starts again')
        daemon.process.send_signal(signal.SIGTERM)
        while daemon.process.poll() is None:
            await asyncio.sleep(0.02)
        deployment.store.on_page = on_page
        daemon.start()
    else:
        leave()
    async with asyncio.timeout(10):
        while not await daemon.is_ready() or not left_at:
            await asyncio.sleep(0.05)
    record.write(f'{daemon.name} is ready')
    sent: list[tuple[str, float]] = []
    while record.now() < left_at + SERVES_AFTER_LEAVE_S:
        sent_at = record.now()
        session, first = await harness.Session.open(daemon.port, DATABASE, 'c1')
        if first.startswith('READY'):
            query_id, lines = await session.query('READ a1')
            record.write(f'{daemon.name}: QUERY {query_id} READ a1 -> {" | ".join(lines)}')
            sent.append((query_id, sent_at))
        else:
            record.write(f'{daemon.name}: START {DATABASE} -> {first}')
        session.close()
        await asyncio.sleep(0.25)
    return [
        f'{daemon.name} passed read {query_id}, sent {sent_at - left_at:.1f} s after the report,'
        f' to {replica.name}, where it ran {arrivals[query_id] - left_at:.1f} s after the report'
        for query_id, sent_at in sent
        if query_id in arrivals and sent_at - left_at > harness.DRAIN_S
    ]


sys.exit(harness.run_case(FOLDER, play))
