"""Final answers: exactly one per request."""

from cassiaseam.errors import RESPONSES, ErrorKind, RequestError, RunState
from cassiaseam.messages import Answer, Request, RequestKind, ResultSet
from cassiaseam.owner.state import OwnerState, Turn, Work, WorkPhase
from cassiaseam.positions import ZERO_POSITION, LogPosition
from cassiaseam.reducer.common import AnswerRequest

DEFAULT_RETRY_AFTER_S = 0.05


def refuse_request(request: Request, error: RequestError) -> AnswerRequest:
    """Return the answer to a request that the owner did not accept."""
    return AnswerRequest(request.entry, Answer(request.request_id, error=error))


def build_refusal(
    kind: ErrorKind, message: str, retry_after_s: float | None = None
) -> RequestError:
    """Return an error that tells when to come back if the kind invites a retry."""
    if not RESPONSES[kind].retryable:
        return RequestError(kind, message)
    after_s = DEFAULT_RETRY_AFTER_S if retry_after_s is None else retry_after_s
    return RequestError(kind, message, retry_after_s=max(after_s, DEFAULT_RETRY_AFTER_S))


def register_work(turn: Turn, work: Work) -> None:
    """Remember a request until it has been answered."""
    request = work.request
    turn.database.works[request.request_id] = work
    by_entry = turn.owner.requests_by_entry
    requests = by_entry.get(request.entry)
    if requests is None:
        requests = {}
        by_entry[request.entry] = requests
    requests[request.request_id] = request.database


def forget_work(turn: Turn, work: Work) -> None:
    """Remove a request from every index; its statement may still run."""
    request_id = work.request.request_id
    database = turn.database
    if work.queue is not None:
        work.queue.remove_work(work)
    database.parked.pop(request_id, None)
    database.committing.pop(request_id, None)
    database.works.pop(request_id, None)
    forget_request_of_entry(turn.owner, work.request)
    work.phase = WorkPhase.DONE


def forget_request_of_entry(owner: OwnerState, request: Request) -> None:
    """Remove a request from the index by entry daemon."""
    requests = owner.requests_by_entry.get(request.entry)
    if requests is not None:
        requests.pop(request.request_id, None)
        if not requests:
            del owner.requests_by_entry[request.entry]


def answer_error(turn: Turn, work: Work, error: RequestError) -> None:
    """Answer a request with an error.

    A write with an unknown earlier run never receives an answer that says "not run".
    """
    if work.phase is WorkPhase.DONE:
        return
    not_run = RESPONSES[error.kind].ran is RunState.NO
    if work.may_have_run and not_run and error.kind is not ErrorKind.KEY_REUSED:
        error = RequestError(ErrorKind.OUTCOME_UNKNOWN, f'{error.kind.value}: {error.message}')
    forget_work(turn, work)
    if not work.cancelled:
        turn.effects.append(refuse_request(work.request, error))


def answer_kind(
    turn: Turn, work: Work, kind: ErrorKind, message: str, retry_after_s: float | None = None
) -> None:
    """Answer a request with an error of a kind."""
    answer_error(turn, work, build_refusal(kind, message, retry_after_s))


def answer_result(
    turn: Turn, work: Work, result_set: ResultSet | None, position: LogPosition | None
) -> None:
    """Answer a request with the result of its target."""
    if work.phase is WorkPhase.DONE:
        return
    forget_work(turn, work)
    request = work.request
    if request.kind is RequestKind.READ and work.transaction is None:
        turn.database.reads_served += 1
        turn.database.replica_reads_served += work.replica
    if work.cancelled:
        return
    answer = Answer(
        request.request_id,
        result_set=ResultSet() if result_set is None else result_set,
        target=work.target,
        position=ZERO_POSITION if position is None else position,
        replica=work.replica,
    )
    turn.effects.append(AnswerRequest(request.entry, answer))
