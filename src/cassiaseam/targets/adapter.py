"""Target adapter: operations that the daemon runs on a target.

Operations are asyncio coroutines with timeouts in seconds. `run_statement` always returns
`StatementFinished`, `reset_connection` a bool; the other operations return `Ok` or `Err`. After a
timeout or a connection loss the connection is closed, because a late response would be read as
that of the next statement.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from result import Err, Ok, Result

from cassiaseam.configuration.model import TargetConfig
from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.messages import TargetStatus
from cassiaseam.reducer.target_io import (
    ExecutionMode,
    RunStatement,
    StatementFailure,
    StatementFinished,
)
from cassiaseam.targets import keyed_statements
from cassiaseam.targets.connection import TargetConnection, connect_to_target, encode_text
from cassiaseam.targets.failures import (
    STATEMENT_ERRORS,
    FailureReport,
    classify_error,
)
from cassiaseam.targets.statements import MODE_RUNNERS
from cassiaseam.targets.status import STATUS_SQL, query_status
from cassiaseam.targets.term_records import write_term_record

KEYED_MODES = frozenset((ExecutionMode.KEYED_WRITE, ExecutionMode.KEYED_BEGIN))
DUPLICATE_KEY = 1062
TOO_MANY_CONNECTIONS = 1040
MISSING_ARGUMENT = 1210

AnswerT = TypeVar('AnswerT')


@dataclass(frozen=True, slots=True)
class FenceOutcome:
    """Response to a fence.

    Attributes:
        granted: Whether the target granted the term to the promoter.
        status: Status after the fence.
    """

    granted: bool
    status: TargetStatus


def build_operation_error(report: FailureReport, operation: str, target: str) -> RequestError:
    """Return the error of an operation other than a statement."""
    kind = ErrorKind.NO_TARGET
    if report.failure is StatementFailure.SQL_ERROR:
        kind = ErrorKind.STATEMENT_FAILED
    if report.mysql_code == TOO_MANY_CONNECTIONS:
        kind = ErrorKind.OVERLOADED
    message = f'{operation} on {target}: {report.failure.value}: {report.message}'
    return RequestError(kind, message, mysql_code=report.mysql_code or None)


async def run_operation(
    connection: TargetConnection,
    operation: str,
    timeout_s: float,
    run: Callable[[], Awaitable[AnswerT]],
) -> Result[AnswerT, RequestError]:
    """Run an operation with a timeout; closes the connection when it is unusable."""
    try:
        async with asyncio.timeout(timeout_s):
            return Ok(await run())
    except STATEMENT_ERRORS as error:
        report = classify_error(error)
    if report.closes_connection:
        connection.close()
    return Err(build_operation_error(report, operation, connection.target.name))


async def open_connection(
    target: TargetConfig, user: str, password: str, timeout_s: float
) -> Result[TargetConnection, RequestError]:
    """Open a connection and read the incarnation of the target.

    Errors: `OVERLOADED` when the target accepts no further connection (code 1040), `NO_TARGET`
    when it cannot be reached in time, is read-only or closes the connection, `STATEMENT_FAILED`
    when it refuses the login.
    """
    deadline = asyncio.get_running_loop().time() + timeout_s
    try:
        connection = await connect_to_target(target, user, password, timeout_s)
    except STATEMENT_ERRORS as error:
        return Err(build_operation_error(classify_error(error), 'connect', target.name))
    remaining_s = deadline - asyncio.get_running_loop().time()
    status = await read_status(connection, remaining_s)
    if isinstance(status, Err):
        connection.close()
        return status
    connection.incarnation = status.ok_value.incarnation
    return Ok(connection)


async def reset_connection(connection: TargetConnection, timeout_s: float) -> bool:
    """Roll back and reset the session; on failure, close the connection and return False."""
    reset = await run_operation(connection, 'reset', timeout_s, connection.protocol.reset_session)
    if isinstance(reset, Err):
        connection.close()
    return isinstance(reset, Ok)


async def read_status(
    connection: TargetConnection, timeout_s: float
) -> Result[TargetStatus, RequestError]:
    """Read the status in one round trip."""

    async def run() -> TargetStatus:
        model = await query_status(connection.protocol, STATUS_SQL)
        return model.to_status()

    return await run_operation(connection, 'status', timeout_s, run)


async def fence(
    connection: TargetConnection, term: int, promoter: str, timeout_s: float
) -> Result[FenceOutcome, RequestError]:
    """Ask the target to grant a term; a refusal is `Ok` with `granted=False`."""

    async def run() -> FenceOutcome:
        sql = f'CALL cassiaseam_fence({term}, {connection.protocol.escape(promoter)})'
        model = await query_status(connection.protocol, sql)
        return FenceOutcome(model.granted, model.to_status())

    return await run_operation(connection, 'fence', timeout_s, run)


async def promote(
    connection: TargetConnection, term: int, promoter: str, timeout_s: float
) -> Result[TargetStatus, RequestError]:
    """Promote the target to primary in a term that it granted to the promoter."""

    async def run() -> TargetStatus:
        sql = f'CALL cassiaseam_promote({term}, {connection.protocol.escape(promoter)})'
        model = await query_status(connection.protocol, sql)
        return model.to_status()

    return await run_operation(connection, 'promote', timeout_s, run)


async def follow(
    connection: TargetConnection, primary: TargetConfig, term: int, timeout_s: float
) -> Result[TargetStatus, RequestError]:
    """Make the target follow a primary; it drops diverged log entries before it answers."""

    async def run() -> TargetStatus:
        protocol = connection.protocol
        name, host = protocol.escape(primary.name), protocol.escape(primary.host)
        sql = f'CALL cassiaseam_follow({name}, {host}, {primary.port}, {term})'
        model = await query_status(protocol, sql)
        return model.to_status()

    return await run_operation(connection, 'follow', timeout_s, run)


async def mark_term(
    connection: TargetConnection, term: int, timeout_s: float
) -> Result[None, RequestError]:
    """Commit a log entry in the term of a new primary, in the table `cassiaseam_terms`."""

    async def run() -> None:
        await write_term_record(connection.protocol, term)

    return await run_operation(connection, 'mark term', timeout_s, run)


def build_finished_event(effect: RunStatement, **values: Any) -> StatementFinished:
    """Return the event that answers `effect`."""
    return StatementFinished(
        database=effect.database,
        target=effect.target,
        connection_id=effect.connection_id,
        request_id=effect.request_id,
        **values,
    )


def build_failure_event(effect: RunStatement, report: FailureReport) -> StatementFinished:
    """Return the event that answers `effect` with a failure."""
    return build_finished_event(
        effect,
        failure=report.failure,
        mysql_code=report.mysql_code,
        message=report.message,
    )


def find_failure_before_send(
    connection: TargetConnection, effect: RunStatement
) -> FailureReport | None:
    """Return why a statement cannot be sent, or None."""
    if connection.is_closed:
        return FailureReport(StatementFailure.NOT_SENT, 0, 'connection is closed')
    try:
        encode_text(f'{effect.sql}{effect.idempotency_key}')
    except UnicodeEncodeError as error:
        # If detected later, the transaction of a keyed statement would stay open.
        return classify_error(error)
    if effect.mode in KEYED_MODES and not effect.idempotency_key:
        message = f'mode {effect.mode.value} without an idempotency key'
        return FailureReport(StatementFailure.SQL_ERROR, MISSING_ARGUMENT, message)
    return None


async def run_statement(connection: TargetConnection, effect: RunStatement) -> StatementFinished:
    """Run one statement and map every failure to a member of `StatementFailure`.

    A keyed statement that fails with `SQL_ERROR`, `READ_ONLY` or `KEY_REUSED` leaves no
    transaction open. A write whose commit was acknowledged, but whose position could not be read,
    fails as `LOST` or `TIMEOUT`.
    """
    report = find_failure_before_send(connection, effect)
    if report is not None:
        return build_failure_event(effect, report)
    try:
        async with asyncio.timeout(effect.timeout_s):
            outcome = await MODE_RUNNERS[effect.mode](connection.protocol, effect)
    except keyed_statements.KeyReused as reused:
        report = FailureReport(StatementFailure.KEY_REUSED, DUPLICATE_KEY, str(reused))
    except STATEMENT_ERRORS as error:
        report = classify_error(error)
    else:
        return build_finished_event(
            effect,
            result_set=outcome.result_set,
            position=outcome.position,
            replayed=outcome.replayed,
        )
    if report.closes_connection:
        connection.close()
    return build_failure_event(effect, report)
