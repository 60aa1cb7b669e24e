"""Final answers to requests, exactly one per request."""

from cassiaseam.errors import RESPONSES, ErrorKind, RequestError, RunState
from cassiaseam.messages import Answer, Request, RequestKind, ResultSet
from cassiaseam.owner.state import EventContext, OwnerState, PendingRequest, RequestPhase
from cassiaseam.positions import ZERO_POSITION, LogPosition
from cassiaseam.reducer.common import AnswerRequest

DEFAULT_RETRY_AFTER_S = 0.05


def refuse_request(request: Request, error: RequestError) -> AnswerRequest:
    """Return the answer to a request that the owner did not accept."""
    return AnswerRequest(request.entry, Answer(request.request_id, error=error))


def build_refusal(
    kind: ErrorKind, message: str, retry_after_s: float | None = None
) -> RequestError:
    """Return an error, with a retry delay if its kind is retryable."""
    if not RESPONSES[kind].retryable:
        return RequestError(kind, message)
    after_s = DEFAULT_RETRY_AFTER_S if retry_after_s is None else retry_after_s
    return RequestError(kind, message, retry_after_s=max(after_s, DEFAULT_RETRY_AFTER_S))


def register_request(context: EventContext, pending: PendingRequest) -> None:
    """Add a request to every index until it is answered."""
    request = pending.request
    context.database.pending_requests[request.request_id] = pending
    by_entry = context.owner.requests_by_entry
    requests = by_entry.get(request.entry)
    if requests is None:
        requests = {}
        by_entry[request.entry] = requests
    requests[request.request_id] = request.database


def unregister_request(context: EventContext, pending: PendingRequest) -> None:
    """Remove a request from every index; its statement may still run."""
    request_id = pending.request.request_id
    database = context.database
    if pending.queue is not None:
        pending.queue.remove_request(pending)
    database.parked.pop(request_id, None)
    database.committing.pop(request_id, None)
    database.pending_requests.pop(request_id, None)
    remove_from_entry_index(context.owner, pending.request)
    pending.phase = RequestPhase.DONE


def remove_from_entry_index(owner: OwnerState, request: Request) -> None:
    """Remove a request from the index by entry daemon."""
    requests = owner.requests_by_entry.get(request.entry)
    if requests is not None:
        requests.pop(request.request_id, None)
        if not requests:
            del owner.requests_by_entry[request.entry]


def answer_error(context: EventContext, pending: PendingRequest, error: RequestError) -> None:
    """Answer a request with an error.

    A write that may have run is never answered with an error that says it did not run.
    """
    if pending.phase is RequestPhase.DONE:
        return
    not_run = RESPONSES[error.kind].ran is RunState.NO
    if pending.may_have_run and not_run and error.kind is not ErrorKind.KEY_REUSED:
        error = RequestError(ErrorKind.OUTCOME_UNKNOWN, f'{error.kind.value}: {error.message}')
    unregister_request(context, pending)
    if not pending.cancelled:
        context.effects.append(refuse_request(pending.request, error))


def answer_error_kind(
    context: EventContext,
    pending: PendingRequest,
    kind: ErrorKind,
    message: str,
    retry_after_s: float | None = None,
) -> None:
    """Answer a request with an error of the given kind."""
    answer_error(context, pending, build_refusal(kind, message, retry_after_s))


def answer_result(
    context: EventContext,
    pending: PendingRequest,
    result_set: ResultSet | None,
    position: LogPosition | None,
) -> None:
    """Answer a request with the result of its target."""
    if pending.phase is RequestPhase.DONE:
        return
    unregister_request(context, pending)
    request = pending.request
    if request.kind is RequestKind.READ and pending.transaction is None:
        context.database.reads_served += 1
        context.database.replica_reads_served += pending.replica
    if pending.cancelled:
        return
    answer = Answer(
        request.request_id,
        result_set=ResultSet() if result_set is None else result_set,
        target=pending.target,
        position=ZERO_POSITION if position is None else position,
        replica=pending.replica,
    )
    context.effects.append(AnswerRequest(request.entry, answer))
