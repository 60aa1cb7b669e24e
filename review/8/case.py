"""A stopping machine ends while a statement of an open transaction waits for a busy instance."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab import Client, Group, build_config, run_case  # noqa: E402

FOLDER = Path(__file__).resolve().parent
ZONES = {'gyor-a': 'nyugat', 'budapest-a': 'kozep', 'debrecen-a': 'kelet'}
SERVICE = 'pumpa-core'
# Bounds of the site and time-out of its route catalogue-lookup, in seconds.
GRACE_S = 6.0
TIMEOUT_S = 3.0
# Time of the last statement after SIGTERM: within the first half of the grace period.
SENT_AFTER_S = 2.8
SESSIONS = 5


async def play(lab):
    """Return whether a statement that was passed on to an instance gets no answer."""
    group = Group(lab.store, lab.record, SERVICE, ZONES)
    await group.start()
    routes = [('r-1', 'catalogue', 'bounded_staleness', SERVICE)]
    config = build_config(7, routes, [SERVICE], timeout_ms=int(TIMEOUT_S * 1000))
    lab.store.put('config', 'main', config)
    await lab.add_machines([('m-1', 'gyor-a'), ('m-2', 'budapest-a')])
    machine = lab.machines[0]
    clients = [Client(lab, machine, 'catalogue', f'c-{number}') for number in range(SESSIONS)]
    await asyncio.sleep(4.0)
    for client in clients:
        await client.query('BEGIN READ')
        await client.query('READ a')
    if lab.trouble:
        lab.record.write('SIGTERM to m-1')
        machine.send_signal(signal.SIGTERM)
    stopped_at = time.monotonic()
    await asyncio.sleep(SENT_AFTER_S)
    # Other clients keep the instances busy: they shed reads.
    for instance in group.instances.values():
        instance.busy = True
    results = await asyncio.gather(*(client.query('READ b', GRACE_S) for client in clients))
    broken = 0
    for outcome, _, request_id in results:
        _, _, sent_at, answered_at, _ = next(
            client.answers[request_id] for client in clients if request_id in client.answers
        )
        if outcome == 'CLOSED' and answered_at - sent_at < TIMEOUT_S:
            broken += 1
            lab.record.write(
                f'broken: {request_id} was sent {sent_at - stopped_at:.2f} s after SIGTERM, and its '
                f'connection ended {answered_at - sent_at:.2f} s later without an answer'
            )
    print(f'{broken} of {len(results)} statements got no answer')
    return broken > 0


if __name__ == '__main__':
    run_case(play, FOLDER, ZONES)
