"""Execution modes of statements without an idempotency key."""

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from cassiaseam.messages import ResultSet
from cassiaseam.positions import ZERO_POSITION, LogPosition
from cassiaseam.reducer.target_io import ExecutionMode, RunStatement
from cassiaseam.targets.connection import ProtocolConnection, execute_sql

LAST_COMMIT_SQL = 'SELECT cassiaseam_last_commit()'


@dataclass(frozen=True, slots=True)
class ExecutionOutcome:
    """Result of a statement that the target ran.

    Attributes:
        result_set: Rows or counters.
        position: Log position of the commit, or None.
        replayed: Whether `result_set` is the stored outcome of an earlier run with the same key.
    """

    result_set: ResultSet = field(default_factory=ResultSet)
    position: LogPosition | None = None
    replayed: bool = False


ModeRunner = Callable[[ProtocolConnection, RunStatement], Awaitable[ExecutionOutcome]]
MODE_RUNNERS: dict[ExecutionMode, ModeRunner] = {}


def runs_mode(mode: ExecutionMode) -> Callable[[ModeRunner], ModeRunner]:
    """Register the function that runs statements in one execution mode."""

    def register(runner: ModeRunner) -> ModeRunner:
        MODE_RUNNERS[mode] = runner
        return runner

    return register


async def read_last_commit(protocol: ProtocolConnection) -> LogPosition | None:
    """Return the position of the last commit on the connection, or None before the first."""
    result_set = await execute_sql(protocol, LAST_COMMIT_SQL)
    term, offset = json.loads(result_set.rows[0][0])
    position = LogPosition(term, offset)
    return None if position == ZERO_POSITION else position


@runs_mode(ExecutionMode.READ)
@runs_mode(ExecutionMode.IN_TRANSACTION)
async def run_statement_as_is(
    protocol: ProtocolConnection, effect: RunStatement
) -> ExecutionOutcome:
    """Run a statement in one round trip, without reading a commit position."""
    return ExecutionOutcome(await execute_sql(protocol, effect.sql))


@runs_mode(ExecutionMode.WRITE)
async def run_write(protocol: ProtocolConnection, effect: RunStatement) -> ExecutionOutcome:
    """Run a statement with autocommit and read the position of its commit."""
    result_set = await execute_sql(protocol, effect.sql)
    return ExecutionOutcome(result_set, await read_last_commit(protocol))


@runs_mode(ExecutionMode.BEGIN)
async def run_begin(protocol: ProtocolConnection, effect: RunStatement) -> ExecutionOutcome:
    """Begin a transaction."""
    return ExecutionOutcome(await execute_sql(protocol, 'BEGIN'))


@runs_mode(ExecutionMode.COMMIT)
async def run_commit(protocol: ProtocolConnection, effect: RunStatement) -> ExecutionOutcome:
    """Commit the transaction and read the position of the commit."""
    result_set = await execute_sql(protocol, 'COMMIT')
    return ExecutionOutcome(result_set, await read_last_commit(protocol))


@runs_mode(ExecutionMode.ROLLBACK)
async def run_rollback(protocol: ProtocolConnection, effect: RunStatement) -> ExecutionOutcome:
    """Roll the transaction back."""
    return ExecutionOutcome(await execute_sql(protocol, 'ROLLBACK'))
