"""Operations on a running stand-in group, in this process or in other processes."""

import asyncio
from collections.abc import Iterable

from result import Err

from cassiaseam.configuration.model import TargetConfig
from cassiaseam.messages import TargetStatus
from cassiaseam.positions import LogPosition
from cassiaseam.targets import adapter
from cassiaseam.targets.connection import TargetConnection, execute_sql
from cassiaseam_standin.mysql_session import CONTROL_USER

LOOPBACK = '127.0.0.1'
CALL_TIMEOUT_S = 5.0
REPLICATION_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.02
FIRST_TERM = 1
LAUNCHER_PROMOTER = 'launcher'


class GroupError(Exception):
    """A stand-in failed to start, or a group is not in the requested state."""


class GroupControl:
    """Base class of stand-in groups; connects with a login that no fault refuses."""

    def list_names(self) -> tuple[str, ...]:
        """Return the names of the targets, the first primary first."""
        raise NotImplementedError

    def build_target_config(self, name: str) -> TargetConfig:
        """Return the configuration of one target."""
        raise NotImplementedError

    def list_target_configs(self) -> tuple[TargetConfig, ...]:
        """Return the configuration of all targets."""
        return tuple(self.build_target_config(name) for name in self.list_names())

    async def connect(self, name: str, user: str = CONTROL_USER) -> TargetConnection:
        """Open a connection; raises `GroupError` when the target refuses it."""
        config = self.build_target_config(name)
        opened = await adapter.open_connection(config, user, '', CALL_TIMEOUT_S)
        if isinstance(opened, Err):
            raise GroupError(opened.err_value.message)
        return opened.ok_value

    async def read_status(self, name: str) -> TargetStatus:
        """Return the status of one target."""
        connection = await self.connect(name)
        try:
            status = await adapter.read_status(connection, CALL_TIMEOUT_S)
        finally:
            connection.close()
        return status.unwrap()

    async def set_fault(self, name: str, fault: str, setting: str) -> None:
        """Set a fault on one target."""
        connection = await self.connect(name)
        escape = connection.protocol.escape
        sql = f'CALL standin_fault({escape(fault)}, {escape(setting)})'
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                await execute_sql(connection.protocol, sql)
        finally:
            connection.close()

    async def fence(self, name: str, term: int, promoter: str = LAUNCHER_PROMOTER) -> None:
        """Fence one target; raises `GroupError` when it does not grant the term."""
        connection = await self.connect(name)
        try:
            fenced = await adapter.fence(connection, term, promoter, CALL_TIMEOUT_S)
        finally:
            connection.close()
        if not fenced.unwrap().granted:
            raise GroupError(f'{name} refused term {term} of {promoter}')

    async def promote(self, name: str, term: int, promoter: str = LAUNCHER_PROMOTER) -> None:
        """Promote one target that granted the term."""
        connection = await self.connect(name)
        try:
            promoted = await adapter.promote(connection, term, promoter, CALL_TIMEOUT_S)
        finally:
            connection.close()
        promoted.unwrap()

    async def follow(self, name: str, primary: str, term: int) -> None:
        """Make one target follow `primary`, for instance after a restart."""
        connection = await self.connect(name)
        config = self.build_target_config(primary)
        try:
            followed = await adapter.follow(connection, config, term, CALL_TIMEOUT_S)
        finally:
            connection.close()
        followed.unwrap()

    async def change_primary(self, primary: str, term: int, names: Iterable[str] = ()) -> None:
        """Fence `names` (all when empty), promote `primary` and make the others follow it."""
        members = tuple(names) or self.list_names()
        for name in members:
            await self.fence(name, term)
        await self.promote(primary, term)
        for replica in members:
            if replica != primary:
                await self.follow(replica, primary, term)

    async def wait_until_applied(self, name: str, position: LogPosition) -> None:
        """Wait until reads on a target cover `position`."""
        async with asyncio.timeout(REPLICATION_TIMEOUT_S):
            while not (await self.read_status(name)).applied.covers(position):
                await asyncio.sleep(POLL_INTERVAL_S)
