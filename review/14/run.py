"""Entries of another writer among those of the instances, later the final fault; see claim.txt."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import rig3
from rig3 import Client, now, route

HEARTBEAT_S = 1.2
SILENT_HEARTBEATS = 3
RECOVERY_S = 12.0
DOWN_S = 1.0
FAULT_AT_S = 36.0
JUDGED_S = 25.0


async def ask(rig: rig3.Rig, daemon: rig3.Daemon, served: list[tuple[float, bool]]) -> None:
    """Read and write by turns, in a session each."""
    while True:
        for text in ('READ item', 'WRITE item data'):
            sent = now()
            client = Client(rig.record, daemon.port, 'orders')
            code = await client.open() or (await client.run(text)).code
            client.close()
            served.append((sent, not code))
            await asyncio.sleep(0.2)


def share(served: list[tuple[float, bool]], since: float, until: float) -> tuple[int, int]:
    """Return how many of the requests sent in a span were served, and how many there were."""
    found = [ok for sent, ok in served if since <= sent < until]
    return sum(found), len(found)


async def case(rig: rig3.Rig) -> bool:
    note = rig.record.note
    await rig.start([route('orders', 'primary', 'label')])
    served: list[tuple[float, bool]] = []
    began = now()
    tasks = [asyncio.create_task(ask(rig, daemon, served)) for daemon in rig.daemons]
    await asyncio.sleep(9)
    if rig3.TROUBLE:
        entry = next(iter(rig.service.instances.values())).entry()
        for number, port in enumerate(rig3.free_ports(3)):
            # As another writer has it: without `slots` and `sequence`.
            spec = {**entry, 'address': f'{rig3.HOST}:{port}', 'databaseRole': 'replica'}
            del spec['slots'], spec['sequence']
            rig.store.put('servers', f'other-{number}', spec)
            note(f'store: entry other-{number} of another writer: {spec}')
        await asyncio.sleep(HEARTBEAT_S * SILENT_HEARTBEATS)
        for number in range(3):
            rig.store.delete('servers', f'other-{number}')
        note('store: the entries are removed after three heartbeat intervals of silence')
    await asyncio.sleep(began + FAULT_AT_S - now())
    rig.write_config(2, [route('orders', 'primary', 'label'), route('added', 'primary', 'label')])
    fault = now()
    for daemon in rig.daemons:
        daemon.send(signal.SIGKILL)
        daemon.process.wait()
    note('final fault: all processes are killed')
    await asyncio.sleep(DOWN_S)
    for daemon in rig.daemons:
        daemon.start()
    back = now()
    note('the machines are back')
    await asyncio.sleep(RECOVERY_S + JUDGED_S)
    for task in tasks:
        task.cancel()
    before = share(served, began, fault)
    after = share(served, back + RECOVERY_S, now())
    note(f'served before the final fault: {before[0]} of {before[1]}')
    note(f'served later than {RECOVERY_S:.0f} s after the machines are back: {after[0]} of {after[1]}')
    if before[0] * 4 < before[1] or not after[1]:
        raise rig3.NotRun('too little was served before the final fault')
    return after[0] * 4 >= after[1]


rig3.main(Path(__file__).resolve().parent, 3, case)
