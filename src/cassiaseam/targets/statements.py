"""Execution modes of statements, except those with an idempotency key."""

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from cassiaseam.messages import ResultSet
from cassiaseam.positions import ZERO_POSITION, LogPosition
from cassiaseam.reducer.target_io import ExecutionMode, RunStatement
from cassiaseam.targets.connection import ProtocolConnection, execute_sql

LAST_COMMIT_SQL = 'SELECT cassiaseam_last_commit()'


@dataclass(frozen=True, slots=True)
class ModeOutcome:
    """Result of a statement that the target ran.

    Attributes:
        result_set: Rows or counters.
        position: Position of the commit, or None.
        replayed: The idempotency key was found and `result_set` is the first outcome.
    """

    result_set: ResultSet = field(default_factory=ResultSet)
    position: LogPosition | None = None
    replayed: bool = False


ModeRunner = Callable[[ProtocolConnection, RunStatement], Awaitable[ModeOutcome]]
MODE_RUNNERS: dict[ExecutionMode, ModeRunner] = {}


def runs(mode: ExecutionMode) -> Callable[[ModeRunner], ModeRunner]:
    """Register the function that runs statements of one mode."""

    def register(runner: ModeRunner) -> ModeRunner:
        MODE_RUNNERS[mode] = runner
        return runner

    return register


async def read_last_commit(protocol: ProtocolConnection) -> LogPosition | None:
    """Return the position of the last commit on the connection, None before the first."""
    result_set = await execute_sql(protocol, LAST_COMMIT_SQL)
    term, offset = json.loads(result_set.rows[0][0])
    position = LogPosition(term, offset)
    return None if position == ZERO_POSITION else position


@runs(ExecutionMode.READ)
@runs(ExecutionMode.IN_TRANSACTION)
async def run_plain(protocol: ProtocolConnection, effect: RunStatement) -> ModeOutcome:
    """Run a statement in one round trip."""
    return ModeOutcome(await execute_sql(protocol, effect.sql))


@runs(ExecutionMode.WRITE)
async def run_write(protocol: ProtocolConnection, effect: RunStatement) -> ModeOutcome:
    """Run a statement with autocommit and ask for the position of its commit."""
    result_set = await execute_sql(protocol, effect.sql)
    return ModeOutcome(result_set, await read_last_commit(protocol))


@runs(ExecutionMode.BEGIN)
async def run_begin(protocol: ProtocolConnection, effect: RunStatement) -> ModeOutcome:
    """Begin a transaction."""
    return ModeOutcome(await execute_sql(protocol, 'BEGIN'))


@runs(ExecutionMode.COMMIT)
async def run_commit(protocol: ProtocolConnection, effect: RunStatement) -> ModeOutcome:
    """Commit the transaction and ask for the position of the commit."""
    result_set = await execute_sql(protocol, 'COMMIT')
    return ModeOutcome(result_set, await read_last_commit(protocol))


@runs(ExecutionMode.ROLLBACK)
async def run_rollback(protocol: ProtocolConnection, effect: RunStatement) -> ModeOutcome:
    """Roll the transaction back."""
    return ModeOutcome(await execute_sql(protocol, 'ROLLBACK'))
