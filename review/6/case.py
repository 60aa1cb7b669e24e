"""A fenced replica that restarts acknowledges writes of the former primary during a promotion."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab import Client, Group, build_config, run_case  # noqa: E402

FOLDER = Path(__file__).resolve().parent
ZONES = {'gyor-a': 'nyugat', 'budapest-a': 'kozep', 'debrecen-a': 'kelet'}
SERVICE = 'pumpa-core'
# 1,000 ms a promote.
PROMOTE_S = 1.0
# Time from the promotion call until another fenced replica crashes, and for which it is down.
CRASH_AFTER_S = 0.1
DOWN_S = 0.2
# Time from its start until the record of an instance is in the store, as in the site file; a
# heartbeat takes 1.2 s.
REGISTER_S = 0.8
WARM_UP_S = 5.0
CUT_S = 5.0
WATCHED_S = 8.0


async def play(lab):
    """Return whether an acknowledged commit is missing in the log of the promoted instance."""
    group = Group(lab.store, lab.record, SERVICE, ZONES, sync=True, promote_s=PROMOTE_S)
    lab.terms = 'base, drain, config, cost, recover, health, pool, sql, platform'
    await group.start()
    routes = [('r-1', 'orders', 'primary', SERVICE)]
    lab.store.put('config', 'main', build_config(7, routes, [SERVICE], sync=1))
    await lab.add_machines([('m-1', 'budapest-a'), ('m-2', 'gyor-a'), ('m-3', 'debrecen-a')])
    primary = group.instances[f'{SERVICE}-0']
    stop = asyncio.Event()
    clients = []

    async def work(client):
        count = 0
        while not stop.is_set():
            count += 1
            await client.query(f'WRITE {client.name}-{count} data')
            await asyncio.sleep(0.02)

    for machine in lab.machines:
        for number in range(3):
            clients.append(Client(lab, machine, 'orders', f'c-{machine.name}-{number}'))
    tasks = [asyncio.ensure_future(work(client)) for client in clients]
    await asyncio.sleep(WARM_UP_S)
    restarted = []

    async def restart(instance):
        await asyncio.sleep(CRASH_AFTER_S)
        lab.record.write(f'{instance.name} crashes')
        instance.crash()
        instance.register_delay_s = REGISTER_S
        await asyncio.sleep(DOWN_S)
        lab.record.write(f'{instance.name} starts again with its log')
        await instance.start()

    def restart_other(chosen):
        others = [
            it for it in group.instances.values() if it.name != chosen and not it.is_primary
        ]
        if lab.trouble and not restarted and others[0].running:
            restarted.append(others[0].name)
            asyncio.ensure_future(restart(others[0]))

    group.on_promotion_call = restart_other
    # One machine of three is partitioned from the primary.
    if lab.trouble:
        lab.record.write(f'm-1 is partitioned from {primary.name}')
        primary.unreachable_from.add('m-1')
    await asyncio.sleep(CUT_S)
    primary.unreachable_from.clear()
    await asyncio.sleep(WATCHED_S - CUT_S)
    stop.set()
    await asyncio.gather(*tasks)
    if lab.trouble and not group.promotions:
        raise RuntimeError('nothing was promoted')
    answers = {}
    for client in clients:
        answers |= client.answers
    missing = []
    for at, name, term, log in group.promotions:
        held = {request_id for _, request_id, _ in log}
        committed = {request_id for when, _, request_id, _ in group.runs if when < at}
        for request_id, (outcome, _, _, answered_at, text) in answers.items():
            if outcome == 'OK' and request_id in committed and request_id not in held:
                missing.append(request_id)
                lab.record.write(
                    f'broken: {request_id} {text} was acknowledged {answered_at - at:+.3f} s '
                    f'from the promotion of {name} and is not in its log of term {term}'
                )
    served = sum(outcome == 'OK' for outcome, *_ in answers.values())
    print(f'{served} writes acknowledged, {len(missing)} of them are not in the promoted log')
    return bool(missing)


if __name__ == '__main__':
    run_case(play, FOLDER, ZONES)
