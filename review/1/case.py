"""A new instance registers while a daemon that starts reads the list of instances.

Later a replica receives nothing for a while and the primary crashes.
"""

import asyncio
import os
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

DATABASE = 'orders'
# With the three instances of each, the list of instances takes two pages.
OTHER_SERVICES = 170
NEW_NAME = f'{harness.SERVICE}-3'
# Time until the daemons have recorded the number of instances in the store.
SETTLED_S = 14.0
SERVES_AFTER_LEAVE_S = harness.DRAIN_S + 1.0
# An entry that is missing this long after its removal is treated as gone by every daemon.
GONE_S = 7.0
# The replica receives nothing for 6 s, and the primary crashes 2.3 s after that began.
DEAF_S = 6.0
CRASH_AFTER_S = 2.3


async def write_often(daemon, record, acknowledged: dict[str, float], until) -> None:
    """Write new items in one session after the other and note which were acknowledged."""
    number = 0
    while not until.is_set():
        try:
            session, first = await harness.Session.open(daemon.port, DATABASE, 'c')
        except (OSError, TimeoutError):
            await asyncio.sleep(0.1)
            continue
        while first.startswith('READY') and not until.is_set():
            number += 1
            text = f'{daemon.name}.{number}'
            query_id, lines = await session.query(f'WRITE k{number} {text}')
            record.write(f'{daemon.name}: QUERY {query_id} WRITE k{number} -> {" | ".join(lines)}')
            if lines[0].startswith('DONE '):
                acknowledged[text] = record.now()
            if not lines[-1].startswith('READY'):
                break
            await asyncio.sleep(0.1)
        session.close()
        await asyncio.sleep(0.1)


async def play(deployment, record, trouble: bool) -> list[str]:
    """Play the case and return the breaks."""
    group, store = deployment.group, deployment.store
    deployment.register_other_instances(OTHER_SERVICES)
    await deployment.start({DATABASE: 'primary'})
    restarted, steady = deployment.daemons
    until = asyncio.Event()
    acknowledged: dict[str, float] = {}
    writers = [
        asyncio.ensure_future(write_often(daemon, record, acknowledged, until))
        for daemon in deployment.daemons
    ]
    promoted: list[tuple[float, str, list[str]]] = []
    note_promotion = group.promote

    def promote(target) -> None:
        if target.is_running and not target.is_primary:
            log = [entry.text for entry in target.log]
            promoted.append((record.now(), target.name, log))
            record.write(f'{target.name} takes over with {len(log)} entries')
        note_promotion(target)

    group.promote = promote
    await asyncio.sleep(SETTLED_S)
    primary = group.find_primary()
    kept, old = [it for it in group.targets.values() if it is not primary]
    new = harness.SyncTarget(group, NEW_NAME, old.place, is_primary=False)

    async def register() -> None:
        await new.start()
        group.targets[NEW_NAME] = new
        store.announce(new)
        record.write(f'{NEW_NAME} registers; accepted at revision {store.revision}')
        group.replicate()

    tasks = []

    def on_page(kind: str, after: str, has_more: bool) -> None:
        if kind == 'servers':
            record.write(
                f'store: a page of servers after {after!r}, hasMore {has_more}, at {store.revision}'
            )
            if has_more and not tasks:
                tasks.append(asyncio.ensure_future(register()))

    if os.environ.get('REGISTERS') == 'before':
        # Shows what the order of the events changes; not needed for the result.
        tasks.append(asyncio.ensure_future(register()))
        await asyncio.sleep(0.1)
    record.write(f'{restarted.name} gets SIGTERM and starts again')
    restarted.process.send_signal(signal.SIGTERM)
    while restarted.process.poll() is None:
        await asyncio.sleep(0.02)
    store.on_page = on_page
    restarted.start()
    async with asyncio.timeout(10):
        while not await restarted.is_ready():
            await asyncio.sleep(0.05)
    record.write(f'{restarted.name} is ready')
    await asyncio.sleep(1)
    old.leaving = True
    store.announce(old)
    record.write(f'{old.name} reports draining')
    await asyncio.sleep(SERVES_AFTER_LEAVE_S)
    await old.crash()
    store.delete('servers', old.name)
    del group.targets[old.name]
    record.write(f'{old.name} has left')
    await asyncio.sleep(GONE_S)
    if trouble:
        kept.ignores_replication = True
        record.write(f'{kept.name} receives nothing from now on')
    await asyncio.sleep(CRASH_AFTER_S - 0.3)
    record.write(f'{steady.name} gets SIGTERM')
    steady.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.3)
    if trouble:
        await primary.crash()
        record.write(f'{primary.name}, the primary, crashes with {len(primary.log)} entries')
    while steady.process.poll() is None:
        await asyncio.sleep(0.02)
    steady.start()
    record.write(f'{steady.name} starts again')
    await asyncio.sleep(DEAF_S - CRASH_AFTER_S - 1.6)
    kept.ignores_replication = False
    group.replicate()
    await asyncio.sleep(3)
    until.set()
    await asyncio.gather(*writers)
    breaks = []
    for at, name, log in promoted:
        held = set(log)
        lost = [text for text, done_at in acknowledged.items() if done_at < at and text not in held]
        if lost:
            breaks.append(
                f'{name} was promoted without {len(lost)} acknowledged commits: {" ".join(lost)}'
            )
    entries = {name: len(target.log) for name, target in group.targets.items()}
    record.write(f'{len(acknowledged)} commits were acknowledged; entries per instance: {entries}')
    return breaks


sys.exit(harness.run_case(FOLDER, play, sync_replicas=1))
