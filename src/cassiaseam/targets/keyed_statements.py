"""Requests that run at most once: the key is stored in the transaction of the request."""

import xxhash
from pymysql.err import MySQLError

from cassiaseam.messages import ResultSet
from cassiaseam.reducer.target_io import ExecutionMode, RunStatement
from cassiaseam.targets.connection import (
    ProtocolConnection,
    ResultTooLarge,
    encode_text,
    execute_sql,
)
from cassiaseam.targets.statements import ModeOutcome, read_last_commit, runs
from cassiaseam.targets.status import read_applied_position

DUPLICATE_KEY = 1062
NO_SUCH_TABLE = 1146

# The binary collation keeps keys apart that differ in case only.
CREATE_TABLE_SQL = """
CREATE TABLE IF NOT EXISTS cassiaseam_requests (
    request_key VARCHAR(255) CHARACTER SET utf8mb4 COLLATE utf8mb4_bin NOT NULL PRIMARY KEY,
    fingerprint CHAR(32) NOT NULL,
    affected_rows BIGINT NOT NULL,
    last_insert_id BIGINT NOT NULL
)"""

# A second attempt follows the creation of the table, a third one a record that vanished between
# the refused insert and the look-up.
MAX_ATTEMPTS = 3


class KeyReused(Exception):
    """The idempotency key belongs to another statement; nothing ran."""


def compute_fingerprint(effect: RunStatement) -> str:
    """Return the fingerprint of a request: its mode and its statement."""
    return xxhash.xxh3_128_hexdigest(encode_text(f'{effect.mode.value}:{effect.sql}'))


def find_error_code(error: MySQLError) -> int:
    """Return the code of an error of the target, or 0."""
    code = error.args[0] if error.args else 0
    return code if isinstance(code, int) else 0


async def insert_record(protocol: ProtocolConnection, effect: RunStatement) -> None:
    """Store the key in the open transaction; waits for a first run that is still open."""
    key = protocol.escape(effect.idempotency_key)
    fingerprint = compute_fingerprint(effect)
    await execute_sql(
        protocol,
        'INSERT INTO cassiaseam_requests (request_key, fingerprint, affected_rows, last_insert_id)'
        f" VALUES ({key}, '{fingerprint}', 0, 0)",
    )


async def find_first_outcome(
    protocol: ProtocolConnection, effect: RunStatement
) -> ModeOutcome | None:
    """Return the outcome that is stored under the key, or None when there is none.

    The position is read after the record was seen, so it covers the commit of the first run.
    """
    key = protocol.escape(effect.idempotency_key)
    found = await execute_sql(
        protocol,
        'SELECT fingerprint, affected_rows, last_insert_id FROM cassiaseam_requests'
        f' WHERE request_key = {key}',
    )
    if not found.rows:
        return None
    fingerprint, affected_rows, last_insert_id = found.rows[0]
    if fingerprint != compute_fingerprint(effect):
        raise KeyReused(f'key {effect.idempotency_key!r} belongs to another statement')
    result_set = ResultSet(affected_rows=affected_rows, last_insert_id=last_insert_id)
    return ModeOutcome(result_set, await read_applied_position(protocol), replayed=True)


async def begin_with_key(protocol: ProtocolConnection, effect: RunStatement) -> ModeOutcome | None:
    """Begin a transaction that holds the key.

    Returns:
        None when the transaction is open, or the first outcome when the key was used; then no
        transaction is open.
    """
    for attempt in range(MAX_ATTEMPTS):
        await execute_sql(protocol, 'BEGIN')
        try:
            await insert_record(protocol, effect)
        except MySQLError as error:
            refused = error
        else:
            return None
        outcome = await recover_from_refused_insert(protocol, effect, refused)
        if outcome is not None:
            return outcome
        if attempt == MAX_ATTEMPTS - 1:
            raise refused
    return None


async def recover_from_refused_insert(
    protocol: ProtocolConnection, effect: RunStatement, error: MySQLError
) -> ModeOutcome | None:
    """Find the first outcome or create the table; raises `error` when neither applies."""
    code = find_error_code(error)
    if code not in {DUPLICATE_KEY, NO_SUCH_TABLE}:
        await roll_back_after_error(protocol)
        raise error
    await execute_sql(protocol, 'ROLLBACK')
    if code == DUPLICATE_KEY:
        return await find_first_outcome(protocol, effect)
    await execute_sql(protocol, CREATE_TABLE_SQL)
    return None


async def roll_back_after_error(protocol: ProtocolConnection) -> None:
    """Leave no transaction open after a refused statement, unless the connection is lost."""
    if not protocol.is_lost():
        await execute_sql(protocol, 'ROLLBACK')


@runs(ExecutionMode.KEYED_BEGIN)
async def run_keyed_begin(protocol: ProtocolConnection, effect: RunStatement) -> ModeOutcome:
    """Begin a transaction that runs at most once; its COMMIT also commits the key."""
    first_outcome = await begin_with_key(protocol, effect)
    return first_outcome or ModeOutcome()


@runs(ExecutionMode.KEYED_WRITE)
async def run_keyed_write(protocol: ProtocolConnection, effect: RunStatement) -> ModeOutcome:
    """Run a write and store its key and counters in the same transaction."""
    first_outcome = await begin_with_key(protocol, effect)
    if first_outcome is not None:
        return first_outcome
    try:
        result_set = await run_and_record(protocol, effect)
    except (MySQLError, ResultTooLarge):
        await roll_back_after_error(protocol)
        raise
    await execute_sql(protocol, 'COMMIT')
    return ModeOutcome(result_set, await read_last_commit(protocol))


async def run_and_record(protocol: ProtocolConnection, effect: RunStatement) -> ResultSet:
    """Run the write in the open transaction and store its counters under the key."""
    result_set = await execute_sql(protocol, effect.sql)
    key = protocol.escape(effect.idempotency_key)
    await execute_sql(
        protocol,
        f'UPDATE cassiaseam_requests SET affected_rows = {result_set.affected_rows},'
        f' last_insert_id = {result_set.last_insert_id} WHERE request_key = {key}',
    )
    return result_set
