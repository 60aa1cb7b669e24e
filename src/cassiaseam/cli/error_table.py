"""Table of error kinds for docs/operations/error-kinds.md.

Run `python -m cassiaseam.cli.error_table` to print the table.
"""

import sys

from cassiaseam.cli.exit_codes import find_exit_code
from cassiaseam.errors import RESPONSES, ErrorKind

HEADINGS = (
    'kind',
    'MySQL code',
    'SQLSTATE',
    'HTTP status',
    'ran',
    'retry',
    'exit code',
    'meaning and what to do',
)
MEANINGS: dict[ErrorKind, str] = {
    ErrorKind.BAD_REQUEST: 'An option, address or body is malformed; the message names the value.',
    ErrorKind.BAD_SQL: 'The statement cannot be parsed; correct it.',
    ErrorKind.ACCESS_DENIED: 'Wrong login, token, role or scope; check the grant and the token.',
    ErrorKind.UNKNOWN_DATABASE: 'The database is not configured; check the name.',
    ErrorKind.UNKNOWN_OBJECT: 'A target, plan or address does not exist; check the name.',
    ErrorKind.TOO_LARGE: 'A statement, body or shard is above its limit; make it smaller.',
    ErrorKind.UNSUPPORTED: 'The command or method is not offered.',
    ErrorKind.STATEMENT_FAILED: 'A target refused the statement; its own code is passed on.',
    ErrorKind.OVERLOADED: 'A queue or limit is full; come back after the stated time.',
    ErrorKind.QUOTA_EXCEEDED: 'The account is above its limit; come back after the stated time.',
    ErrorKind.NO_PRIMARY: 'A failover is under way; see failover.md if it lasts.',
    ErrorKind.NO_TARGET: 'No target can serve the request; see the targets in the status.',
    ErrorKind.REPLICAS_BEHIND: 'A majority cannot hold the write in time; see partition.md.',
    ErrorKind.TOO_OLD: 'No reachable target is fresh enough; accept a higher age or wait.',
    ErrorKind.DEADLINE_EXCEEDED: 'The request cannot be done by its deadline and did not run.',
    ErrorKind.STATEMENT_TIMEOUT: 'A target did not answer in time; a read may be repeated.',
    ErrorKind.NOT_OWNER: 'The daemon does not own the database now; the entry asks the next one.',
    ErrorKind.PEER_UNREACHABLE: 'The owner, or for operators the API, cannot be reached.',
    ErrorKind.SHUTTING_DOWN: 'The daemon is leaving; connect again.',
    ErrorKind.TRANSACTION_ABORTED: 'The transaction was rolled back; run it again from BEGIN.',
    ErrorKind.OUTCOME_UNKNOWN: 'It may have run; read the data, or repeat it with its key.',
    ErrorKind.KEY_REUSED: 'The idempotency key belongs to another request; use a new one.',
    ErrorKind.VERSION_CONFLICT: 'Someone else changed it first; the message names who and when.',
    ErrorKind.PLAN_EXPIRED: 'The plan is too old or was cancelled; make a new one.',
    ErrorKind.PLATFORM_UNAVAILABLE: 'The platform does not answer; see platform-outage.md.',
    ErrorKind.INTERNAL: 'A fault in the program; the log of the daemon has the details.',
}


def render_error_table() -> str:
    """Return the table in Markdown, one row per kind in the order of `ErrorKind`."""
    rows = [HEADINGS, ('---',) * len(HEADINGS)]
    for kind in ErrorKind:
        answer = RESPONSES[kind]
        rows.append(
            (
                f'`{kind.value}`',
                str(answer.mysql_code),
                answer.sqlstate,
                str(answer.http_status),
                answer.ran.value,
                'yes' if answer.retryable else 'no',
                str(int(find_exit_code(kind))),
                MEANINGS[kind],
            )
        )
    return ''.join(f'| {" | ".join(row)} |\n' for row in rows)


if __name__ == '__main__':
    sys.stdout.write(render_error_table())
