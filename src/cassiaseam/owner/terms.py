"""Effects of a new term on writes and transactions in flight."""

from cassiaseam.messages import RequestKind
from cassiaseam.owner.acknowledgement import check_commits
from cassiaseam.owner.pool import close_connection
from cassiaseam.owner.state import EventContext, RequestPhase
from cassiaseam.owner.statements import retry_lost_write
from cassiaseam.owner.transactions import abort_transaction


def apply_term(context: EventContext) -> None:
    """End the writes and transactions that began under an earlier term than the group's.

    A replaced primary may be unreachable, so there is no wait for its answers.
    """
    database = context.database
    term = context.group.term
    database.term = term
    for transaction in tuple(database.transactions.values()):
        if transaction.connection is not None and transaction.term < term:
            abort_transaction(context, transaction, f'term {term} began', close=True)
    for pending in tuple(database.pending_requests.values()):
        running_write = pending.phase is RequestPhase.RUNNING and pending.transaction is None
        if running_write and pending.request.kind is RequestKind.WRITE and pending.term < term:
            close_connection(context, pending.connection)
            retry_lost_write(context, pending, f'term {term} began')
    check_commits(context, list(database.committing.values()))
