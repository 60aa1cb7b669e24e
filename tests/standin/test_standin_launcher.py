import asyncio

import pytest

from cassiaseam.messages import TargetRole
from cassiaseam.reducer.target_io import ExecutionMode, StatementFailure
from cassiaseam_standin.group_control import GroupError
from cassiaseam_standin.group_launcher import (
    StandinProcess,
    start_group_and_platform,
    start_processes,
)
from cassiaseam_standin.in_process_group import run_mode

WRITE = ExecutionMode.WRITE


async def check_frozen_primary(group):
    connection = await group.connect('a', 'app')
    await run_mode(connection, WRITE, 'CREATE TABLE t (v INT)')
    group.targets['a'].freeze()
    frozen = await run_mode(connection, WRITE, 'INSERT INTO t VALUES (1)', timeout_s=0.2)
    assert frozen.failure is StatementFailure.TIMEOUT
    assert connection.is_closed
    group.targets['a'].resume()
    assert (await group.read_status('a')).role is TargetRole.PRIMARY


async def check_killed_replica(group):
    connection = await group.connect('b', 'app')
    before = await group.read_status('b')
    group.targets['b'].kill()
    lost = await run_mode(connection, ExecutionMode.READ, 'SELECT 1')
    assert lost.failure in {StatementFailure.LOST, StatementFailure.NOT_SENT}
    with pytest.raises(GroupError):
        await group.read_status('b')
    await group.targets['b'].restart()
    after = await group.read_status('b')
    assert (after.role, after.fenced_term) == (TargetRole.FENCED, 0)
    assert after.incarnation != before.incarnation
    await group.follow('b', 'a', 1)
    await group.wait_until_applied('b', (await group.read_status('a')).last)


def test_launched_group_survives_a_freeze_or_a_kill_otherwise_than_real_targets():
    async def scenario():
        group, platform = await start_group_and_platform()
        pids = {group.targets[name].pid for name in group.list_names()} | {platform.pid}
        assert len(pids) == 4
        try:
            roles = [(await group.read_status(name)).role for name in 'abc']
            assert roles == [TargetRole.PRIMARY, TargetRole.REPLICA, TargetRole.REPLICA]
            await check_frozen_primary(group)
            await check_killed_replica(group)
        finally:
            group.stop()
            platform.kill()
        assert platform.process is None

    asyncio.run(scenario())


def test_failed_start_leaves_processes_behind():
    good = StandinProcess('platform', ('cassiaseam_standin.platform_main',))
    bad = StandinProcess('other', ('cassiaseam_standin.platform_main',))
    with pytest.raises(GroupError, match='instead of its ready line'):
        asyncio.run(start_processes([good, bad]))
    assert (good.process, bad.process) == (None, None)
