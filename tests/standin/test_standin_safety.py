import asyncio
import random

import pytest

from cassiaseam.reducer.target_io import ExecutionMode
from cassiaseam_standin.in_process_group import run_in_group, run_mode

STEPS = 40
ACTIONS = ('write', 'write', 'write', 'stale write', 'cut', 'heal', 'heal', 'promote')


class History:
    """Runs random writes, cuts and promotions, and records the writes stored by a majority."""

    def __init__(self, group, seed):
        self.group = group
        self.rng = random.Random(seed)
        self.term = 1
        self.primary = 'a'
        self.value = 0
        self.acknowledged = set()
        self.cuts = {name: set() for name in group.names}

    def is_held_by_majority(self, position):
        statuses = [self.group.find_instance(name) for name in self.group.names]
        holders = [
            one
            for one in statuses
            if one.term == position.term == max(one.fenced_term, position.term)
            and one.log.last.covers(position)
        ]
        return len(holders) > len(statuses) / 2

    async def write(self, name):
        self.value += 1
        connection = await self.group.connect(name)
        sql = f'INSERT INTO t VALUES ({self.value})'
        finished = await run_mode(connection, ExecutionMode.WRITE, sql)
        connection.close()
        for _ in range(20 if finished.position else 0):
            if self.is_held_by_majority(finished.position):
                self.acknowledged.add(self.value)
                return
            await asyncio.sleep(0.005)

    async def set_cut(self, name, other, is_cut):
        for one, peer in ((name, other), (other, name)):
            self.cuts[one].discard(peer)
            if is_cut:
                self.cuts[one].add(peer)
            await self.group.set_fault(one, 'cut_from', ','.join(self.cuts[one]))

    async def promote(self, members):
        self.term += 1
        for name in members:
            await self.group.fence(name, self.term)
        logs = {name: self.group.find_instance(name).log.last for name in members}
        self.primary = max(members, key=logs.get)
        await self.group.promote(self.primary, self.term)
        for name in members:
            if name != self.primary:
                await self.set_cut(name, self.primary, False)
                await self.group.follow(name, self.primary, self.term)

    async def take_step(self):
        action = self.rng.choice(ACTIONS)
        pair = self.rng.sample(self.group.names, 2)
        if action == 'promote':
            await self.promote(pair)
        elif action in {'cut', 'heal'}:
            await self.set_cut(*pair, action == 'cut')
        else:
            await self.write(self.primary if action == 'write' else pair[0])

    async def read_values(self, name):
        connection = await self.group.connect(name)
        finished = await run_mode(connection, ExecutionMode.READ, 'SELECT v FROM t')
        return [row[0] for row in finished.result_set.rows]


@pytest.mark.parametrize('seed', range(6))
def test_write_held_by_a_majority_is_lost_or_logs_stay_different(seed):
    async def scenario(group):
        history = History(group, seed)
        connection = await group.connect('a')
        await run_mode(connection, ExecutionMode.WRITE, 'CREATE TABLE t (v INT)')
        for _ in range(STEPS):
            await history.take_step()
        for pair in ('ab', 'bc', 'ac'):
            await history.set_cut(*pair, False)
        await history.promote(group.names)
        last = group.find_instance(history.primary).log.last
        for name in group.names:
            await group.wait_until_applied(name, last)
        values = [await history.read_values(name) for name in group.names]
        assert values[0] == values[1] == values[2]
        assert history.acknowledged <= set(values[0])
        assert len(values[0]) == len(set(values[0]))
        assert history.acknowledged

    run_in_group(scenario)
