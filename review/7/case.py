"""A promotion ends a fence that the new primary does not reach."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab import Client, Group, build_config, run_case  # noqa: E402

FOLDER = Path(__file__).resolve().parent
ZONES = {'gyor-a': 'nyugat', 'budapest-a': 'kozep', 'debrecen-a': 'kelet'}
SERVICE = 'pumpa-core'
# 300 ms a promote.
PROMOTE_S = 0.3
WARM_UP_S = 5.0
# Mean pause of a client after an answer.
PAUSE_S = 0.02
CUT_S = 5.0
WATCHED_S = 9.0


async def play(lab):
    """Return whether an acknowledged commit is missing in the log of the promoted instance."""
    group = Group(lab.store, lab.record, SERVICE, ZONES, sync=True, promote_s=PROMOTE_S)
    group.ends_all_fences = True
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
            await asyncio.sleep(random.uniform(0, 2 * PAUSE_S))

    for machine in lab.machines:
        for number in range(3):
            clients.append(Client(lab, machine, 'orders', f'c-{machine.name}-{number}'))
    tasks = [asyncio.ensure_future(work(client)) for client in clients]
    await asyncio.sleep(WARM_UP_S)

    def cut_off(leader):
        if not lab.trouble or group.cuts:
            return
        lab.record.write(f'{leader.name} is partitioned from the other instances')
        for other in group.instances.values():
            if other is not leader:
                group.cuts.add(frozenset((leader.name, other.name)))
        asyncio.get_running_loop().call_later(CUT_S, group.cuts.clear)

    group.on_promotion = cut_off
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
    for at, name, term, log in group.promotions[:1]:
        held = {request_id for _, request_id, _ in log}
        for when, instance, request_id, _ in group.runs:
            outcome, _, _, answered_at, text = answers.get(request_id, ('', [], 0, 0, ''))
            if outcome == 'OK' and instance == primary.name and request_id not in held:
                missing.append(when < at)
                lab.record.write(
                    f'broken: {request_id} {text} was committed at {instance} {when - at:+.3f} s and '
                    f'acknowledged {answered_at - at:+.3f} s from the promotion of {name}, and is not '
                    f'in its log of term {term}'
                )
    served = sum(outcome == 'OK' for outcome, *_ in answers.values())
    print(
        f'{served} writes acknowledged, {len(missing)} of them are not in the promoted log; '
        f'{sum(missing)} of these were committed before the promotion'
    )
    return bool(missing)


if __name__ == '__main__':
    run_case(play, FOLDER, ZONES)
