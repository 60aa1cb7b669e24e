"""At-most-once requests: the idempotency key is stored in the transaction of the request."""

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
from cassiaseam.targets.statements import ExecutionOutcome, read_last_commit, runs_mode
from cassiaseam.targets.status import read_applied_position

DUPLICATE_KEY = 1062
NO_SUCH_TABLE = 1146

# The binary collation distinguishes keys that differ only in case.
CREATE_TABLE_SQL = """
CREATE TABLE IF NOT EXISTS cassiaseam_requests (
    request_key VARCHAR(255) CHARACTER SET utf8mb4 COLLATE utf8mb4_bin NOT NULL PRIMARY KEY,
    fingerprint CHAR(32) NOT NULL,
    affected_rows BIGINT NOT NULL,
    last_insert_id BIGINT NOT NULL
)"""

# The second attempt follows the creation of the table, the third one a record that was removed
# between the failed insert and the lookup.
MAX_ATTEMPTS = 3


class KeyReused(Exception):
    """The idempotency key belongs to another statement; the request did not run."""


def compute_fingerprint(effect: RunStatement) -> str:
    """Return the fingerprint of a request: its mode and its statement."""
    return xxhash.xxh3_128_hexdigest(encode_text(f'{effect.mode.value}:{effect.sql}'))


def get_error_code(error: MySQLError) -> int:
    """Return the code of an error of the target, or 0."""
    code = error.args[0] if error.args else 0
    return code if isinstance(code, int) else 0


async def insert_key_record(protocol: ProtocolConnection, effect: RunStatement) -> None:
    """Store the key in the open transaction; blocks while another transaction holds the key."""
    key = protocol.escape(effect.idempotency_key)
    fingerprint = compute_fingerprint(effect)
    await execute_sql(
        protocol,
        'INSERT INTO cassiaseam_requests (request_key, fingerprint, affected_rows, last_insert_id)'
        f" VALUES ({key}, '{fingerprint}', 0, 0)",
    )


async def find_stored_outcome(
    protocol: ProtocolConnection, effect: RunStatement
) -> ExecutionOutcome | None:
    """Return the outcome that is stored under the key, or None when there is none.

    The position is read after the record, so it covers the commit of the first run.
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
    return ExecutionOutcome(result_set, await read_applied_position(protocol), replayed=True)


async def begin_with_key(
    protocol: ProtocolConnection, effect: RunStatement
) -> ExecutionOutcome | None:
    """Begin a transaction that holds the key.

    Returns:
        None when the transaction is open, or the stored outcome when the key was used before; then
        no transaction is open.
    """
    for attempt in range(MAX_ATTEMPTS):
        await execute_sql(protocol, 'BEGIN')
        try:
            await insert_key_record(protocol, effect)
        except MySQLError as error:
            insert_error = error
        else:
            return None
        outcome = await recover_from_failed_insert(protocol, effect, insert_error)
        if outcome is not None:
            return outcome
        if attempt == MAX_ATTEMPTS - 1:
            raise insert_error
    return None


async def recover_from_failed_insert(
    protocol: ProtocolConnection, effect: RunStatement, error: MySQLError
) -> ExecutionOutcome | None:
    """Return the stored outcome or create the table; raises `error` when neither applies."""
    code = get_error_code(error)
    if code not in {DUPLICATE_KEY, NO_SUCH_TABLE}:
        await roll_back_after_error(protocol)
        raise error
    await execute_sql(protocol, 'ROLLBACK')
    if code == DUPLICATE_KEY:
        return await find_stored_outcome(protocol, effect)
    await execute_sql(protocol, CREATE_TABLE_SQL)
    return None


async def roll_back_after_error(protocol: ProtocolConnection) -> None:
    """Roll back after a failed statement, unless the connection is lost."""
    if not protocol.is_lost():
        await execute_sql(protocol, 'ROLLBACK')


@runs_mode(ExecutionMode.KEYED_BEGIN)
async def run_keyed_begin(protocol: ProtocolConnection, effect: RunStatement) -> ExecutionOutcome:
    """Begin an at-most-once transaction; its COMMIT also commits the key."""
    stored_outcome = await begin_with_key(protocol, effect)
    return stored_outcome or ExecutionOutcome()


@runs_mode(ExecutionMode.KEYED_WRITE)
async def run_keyed_write(protocol: ProtocolConnection, effect: RunStatement) -> ExecutionOutcome:
    """Run a write and store its key and counters in the same transaction."""
    stored_outcome = await begin_with_key(protocol, effect)
    if stored_outcome is not None:
        return stored_outcome
    try:
        result_set = await run_write_and_store_counters(protocol, effect)
    except (MySQLError, ResultTooLarge):
        await roll_back_after_error(protocol)
        raise
    await execute_sql(protocol, 'COMMIT')
    return ExecutionOutcome(result_set, await read_last_commit(protocol))


async def run_write_and_store_counters(
    protocol: ProtocolConnection, effect: RunStatement
) -> ResultSet:
    """Run the write in the open transaction and store its counters under the key."""
    result_set = await execute_sql(protocol, effect.sql)
    key = protocol.escape(effect.idempotency_key)
    await execute_sql(
        protocol,
        f'UPDATE cassiaseam_requests SET affected_rows = {result_set.affected_rows},'
        f' last_insert_id = {result_set.last_insert_id} WHERE request_key = {key}',
    )
    return result_set
