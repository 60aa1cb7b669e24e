import asyncio
import random

import pytest

from cassiaseam.configuration.model import DatabaseConfig
from cassiaseam.daemon import target_executors
from cassiaseam.daemon.node import EXECUTORS, Node
from cassiaseam.daemon.target_service import TargetCredentials, TargetService
from cassiaseam.reducer import target_io as io
from cassiaseam.reducer.node_state import NodeState

REGISTERED = (target_executors,)


class RecordingNode(Node):
    """Node that records events instead of reducing them."""

    def __init__(self, configs):
        super().__init__(NodeState('vm1', 'p1', random.Random(1)))
        self.events = asyncio.Queue()
        self.services[TargetService] = TargetService(configs, TargetCredentials('proxy', ''))

    def dispatch(self, event):
        self.events.put_nowait(event)

    def start(self, effect):
        EXECUTORS[type(effect)](self, effect)

    async def run(self, effect):
        self.start(effect)
        return await self.next_event()

    async def next_event(self):
        return await asyncio.wait_for(self.events.get(), 10)


def run_with_node(group, scenario):
    async def run():
        node = RecordingNode({'orders': DatabaseConfig('orders', group.list_target_configs())})
        try:
            await scenario(node)
        finally:
            await node.services[TargetService].stop()

    asyncio.run(run())


def statement(sql, timeout_s=5, mode=io.ExecutionMode.READ):
    return io.RunStatement('orders', 'a', 'c1', 'r1', mode, sql, timeout_s)


OPEN = io.OpenConnection('orders', 'a', 'c1')
CLOSE = io.CloseConnection('orders', 'a', 'c1')


def test_statement_on_a_closed_connection_fails_as_not_sent(group):
    async def scenario(node):
        assert isinstance(await node.run(OPEN), io.ConnectionOpened)
        assert (await node.run(statement('SELECT 1'))).result_set.rows == ((1,),)
        assert (await node.run(io.ResetConnection('orders', 'a', 'c1'))).succeeded
        node.start(CLOSE)
        assert (await node.run(statement('SELECT 1'))).failure is io.StatementFailure.NOT_SENT
        assert not (await node.run(io.ResetConnection('orders', 'a', 'c1'))).succeeded
        assert node.events.empty()

    run_with_node(group, scenario)


@pytest.fixture
def slow_group(group):
    asyncio.run(group.set_fault('a', 'statement_delay_ms', '1000'))
    yield group
    asyncio.run(group.set_fault('a', 'statement_delay_ms', '0'))


def test_closing_a_connection_ends_its_statement_as_lost(slow_group):
    async def scenario(node):
        await node.run(OPEN)
        node.start(statement('SELECT 1'))
        await asyncio.sleep(0.05)
        finished = await node.run(CLOSE)
        assert finished.failure is io.StatementFailure.LOST

    run_with_node(slow_group, scenario)


def test_connection_closed_while_opening_is_not_reported(group):
    async def scenario(node):
        node.start(OPEN)
        node.start(CLOSE)
        await asyncio.gather(*node.services[TargetService].tasks)
        assert node.events.empty()
        assert not node.services[TargetService].connections

    run_with_node(group, scenario)


@pytest.mark.parametrize(
    ('effect', 'event'),
    [
        (io.OpenConnection('orders', 'gone', 'c2'), io.ConnectionFailed),
        (io.PollTarget('orders', 'gone'), io.TargetStatusFailed),
        (io.FenceTarget('gone', 'a', 9, 'vm1'), io.FenceAnswered),
        (io.PromoteTarget('orders', 'gone', 9, 'vm1'), io.PromoteAnswered),
        (io.FollowPrimary('orders', 'a', 'gone', 9), io.FollowAnswered),
    ],
)
def test_effect_on_an_unknown_target_is_answered(group, effect, event):
    async def scenario(node):
        answer = await node.run(effect)
        assert isinstance(answer, event)
        assert not getattr(answer, 'granted', False)
        assert not getattr(answer, 'succeeded', False)

    run_with_node(group, scenario)


def test_status_poll_is_not_queued_behind_statements(slow_group):
    async def scenario(node):
        for number in range(10):
            await node.run(io.OpenConnection('orders', 'a', f's{number}'))
        for number in range(10):
            node.start(
                io.RunStatement(
                    'orders', 'a', f's{number}', 'r', io.ExecutionMode.READ, 'SELECT 1', 9
                )
            )
        answer = await node.run(io.PollTarget('orders', 'a'))
        assert isinstance(answer, io.TargetStatusReceived)

    run_with_node(slow_group, scenario)


def test_poll_of_a_frozen_target_fails_and_a_later_one_succeeds(group):
    async def scenario(node):
        poll = io.PollTarget('orders', 'c')
        assert isinstance(await node.run(poll), io.TargetStatusReceived)
        group.targets['c'].freeze()
        try:
            assert isinstance(await node.run(poll), io.TargetStatusFailed)
        finally:
            group.targets['c'].resume()
        for _ in range(50):
            answer = await node.run(poll)
            if isinstance(answer, io.TargetStatusReceived):
                return
        raise AssertionError('the channel did not reconnect')

    run_with_node(group, scenario)


def test_fence_below_the_granted_term_is_refused(group):
    async def scenario(node):
        answer = await node.run(io.FenceTarget('orders', 'a', 0, 'vm1'))
        assert not answer.granted
        assert answer.status.fenced_term >= 1

    run_with_node(group, scenario)


def test_repeated_polls_with_a_wrong_login_are_logged_once(group, caplog):
    async def scenario(node):
        service = node.services[TargetService]
        service.credentials = TargetCredentials('nobody', 'wrong')
        for _ in range(3):
            event = await node.run(io.PollTarget('orders', 'a'))
            assert isinstance(event, io.TargetStatusFailed)
        service.credentials = TargetCredentials('proxy', '')
        service.channels.clear()
        for _ in range(2):
            assert isinstance(
                await node.run(io.PollTarget('orders', 'a')), io.TargetStatusReceived
            )

    with caplog.at_level('INFO', logger='absl'):
        run_with_node(group, scenario)
    messages = [record.getMessage() for record in caplog.records]
    lines = [line for line in messages if 'target_poll' in line]
    assert ['target_poll_refused' in line for line in lines] == [True, False]
    assert 'code=1045' in lines[0]
