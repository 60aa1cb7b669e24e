"""Log entries that mark the beginning of a term."""

from pymysql.err import MySQLError

from cassiaseam.targets.connection import ProtocolConnection, execute_sql
from cassiaseam.targets.keyed_statements import NO_SUCH_TABLE, get_error_code

CREATE_TABLE_SQL = 'CREATE TABLE IF NOT EXISTS cassiaseam_terms (term BIGINT NOT NULL PRIMARY KEY)'


async def write_term_record(protocol: ProtocolConnection, term: int) -> None:
    """Commit a record of a term; writing it again only adds a log entry.

    Raises:
        MySQLError: The target refused the record.
    """
    insert_sql = f'REPLACE INTO cassiaseam_terms (term) VALUES ({term})'
    try:
        await execute_sql(protocol, insert_sql)
    except MySQLError as error:
        if get_error_code(error) != NO_SUCH_TABLE:
            raise
        await execute_sql(protocol, CREATE_TABLE_SQL)
        await execute_sql(protocol, insert_sql)
