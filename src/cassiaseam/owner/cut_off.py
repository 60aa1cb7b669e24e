"""Answers of an owner that does not reach a majority of its targets."""

from dataclasses import replace

from cassiaseam.errors import OWNER_CUT_OFF, ErrorKind, RequestError
from cassiaseam.group import view as group_view
from cassiaseam.messages import Request, RequestKind
from cassiaseam.owner.answers import answer_error, build_refusal
from cassiaseam.owner.routing import list_read_pools
from cassiaseam.owner.state import Turn, Work
from cassiaseam.owner.transactions import withdraw_statement


def find_cut_off_error(turn: Turn, work: Work) -> RequestError | None:
    """Return the error of a new request at a cut off owner that has to hold it, or None.

    A read that accepts the age of a target within reach is still served.
    """
    if work.request.kind is RequestKind.READ and list_read_pools(turn, work):
        return None
    return build_cut_off_error(turn, work.request)


def build_cut_off_error(turn: Turn, request: Request) -> RequestError:
    """Return the error that makes the entry ask the next-ranked owner."""
    reads = request.kind is RequestKind.READ
    kind = ErrorKind.NO_TARGET if reads else ErrorKind.NO_PRIMARY
    message = f'{turn.node.vm} does not reach a majority of the targets'
    return replace(build_refusal(kind, message), detail={'cause': OWNER_CUT_OFF})


def refuse_held_writes(turn: Turn) -> None:
    """Answer the writes that wait for a primary when the owner is cut off.

    Without this they would wait until their deadlines, too late for another owner. A waiting
    read has a limit of its own.
    """
    database = turn.database
    if not (database.writes.size or database.begins.size):
        return
    if not group_view.is_owner_cut_off(turn.group, turn.now):
        return
    for work in database.writes.list_works() + database.begins.list_works():
        answer_error(turn, work, build_cut_off_error(turn, work.request))
        if work.transaction is not None:
            withdraw_statement(turn, work)
