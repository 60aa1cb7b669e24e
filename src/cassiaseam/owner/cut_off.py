"""Refusals by an owner that is cut off from a majority of its targets."""

from dataclasses import replace

from cassiaseam.errors import OWNER_CUT_OFF, ErrorKind, RequestError
from cassiaseam.group import view as group_view
from cassiaseam.messages import Request, RequestKind
from cassiaseam.owner.answers import answer_error, build_refusal
from cassiaseam.owner.routing import list_read_pools
from cassiaseam.owner.state import EventContext, PendingRequest
from cassiaseam.owner.transactions import withdraw_statement


def find_cut_off_error(context: EventContext, pending: PendingRequest) -> RequestError | None:
    """Return the error of a new request that a cut off owner cannot serve, or None.

    A read that accepts the age of a reachable target is still served.
    """
    if pending.request.kind is RequestKind.READ and list_read_pools(context, pending):
        return None
    return build_cut_off_error(context, pending.request)


def build_cut_off_error(context: EventContext, request: Request) -> RequestError:
    """Return the error that makes the entry retry with the next-ranked owner."""
    reads = request.kind is RequestKind.READ
    kind = ErrorKind.NO_TARGET if reads else ErrorKind.NO_PRIMARY
    message = f'{context.node.vm} does not reach a majority of the targets'
    return replace(build_refusal(kind, message), detail={'cause': OWNER_CUT_OFF})


def refuse_held_writes(context: EventContext) -> None:
    """Refuse the writes that wait for a primary when the owner is cut off.

    Otherwise they would wait until their deadlines, too late for another owner to serve them.
    Waiting reads have a timeout of their own.
    """
    database = context.database
    if not (database.writes.size or database.begins.size):
        return
    if not group_view.is_owner_cut_off(context.group, context.now):
        return
    for pending in database.writes.list_requests() + database.begins.list_requests():
        answer_error(context, pending, build_cut_off_error(context, pending.request))
        if pending.transaction is not None:
            withdraw_statement(context, pending)
