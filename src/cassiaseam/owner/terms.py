"""Consequences of a new term for writes and transactions under way."""

from cassiaseam.messages import RequestKind
from cassiaseam.owner.acknowledgement import check_commits
from cassiaseam.owner.pool import close_connection
from cassiaseam.owner.state import Turn, WorkPhase
from cassiaseam.owner.statements import rerun_lost_write
from cassiaseam.owner.transactions import abort_transaction


def observe_term(turn: Turn) -> None:
    """End what was begun under an earlier term than the group's.

    A replaced primary can be unreachable, so its answers are not awaited until the deadline.
    """
    database = turn.database
    term = turn.group.term
    database.term = term
    for transaction in tuple(database.transactions.values()):
        if transaction.connection is not None and transaction.term < term:
            abort_transaction(turn, transaction, f'term {term} began', close=True)
    for work in tuple(database.works.values()):
        running_write = work.phase is WorkPhase.RUNNING and work.transaction is None
        if running_write and work.request.kind is RequestKind.WRITE and work.term < term:
            close_connection(turn, work.connection)
            rerun_lost_write(turn, work, f'term {term} began')
    check_commits(turn, list(database.committing.values()))
