"""Forwards requests of callers to the owners of their databases."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from cassiaseam.entry.passed_over_owners import PassedOverOwners
from cassiaseam.entry.retries import (
    RETRY_AFTER_S,
    NextStep,
    RetryBudget,
    choose_next_step,
    choose_reported_error,
    describe_failure,
    describe_timeout,
    is_passed_over,
)
from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.messages import Answer, Request, RequestKind
from cassiaseam.timeline.bursts import RefusalBursts

MAX_OWNERS_TRIED = 3
# The owner gets an earlier deadline than the entry, so that its specific error arrives in time.
ANSWER_MARGIN_S = 0.05
ANSWER_MARGIN_RATIO = 0.1
# Delays in seconds before the ranked owners are asked again after all of them denied ownership.
# Together they last about one gossip period, in which the other daemons learn of a new owner.
OWNERSHIP_MOVE_DELAYS_S = (0.05, 0.1, 0.2, 0.4)


class RequestSender(Protocol):
    """Interface to one owner, implemented by the local owner and the peer transport."""

    async def send_request(self, vm: str, request: Request, now: float) -> Answer:
        """Return the final answer of the owner on `vm`; cancelling the call gives up."""


@dataclass(frozen=True, slots=True)
class ForwardingLimits:
    """Limits on requests in flight.

    Attributes:
        per_caller: Maximum number of requests in flight per login name.
        per_daemon: Maximum number of requests in flight for all callers of this daemon.
    """

    per_caller: int = 512
    per_daemon: int = 4096


@dataclass(frozen=True, slots=True)
class OwnedAnswer:
    """Answer to a request and the owner that was asked last.

    Attributes:
        answer: Final answer.
        owner: VM of that owner, or '' if none was asked.
    """

    answer: Answer
    owner: str = ''


class Forwarder:
    """Forwards requests to the ranked owners of their databases.

    Attributes:
        vm: Name of this VM.
        rank_owners: Returns the VM names of a database in order of preference.
        local: Owner role of this daemon.
        peers: Transport to other daemons, or None for a single daemon.
        passed_over_owners: Unresponsive owners that new requests skip for a while.
        outcomes: Requests by kind and outcome: `replica`, `primary` or the kind of the error.
        refusals: Rejected requests that have no time line record yet.
        retries: Number of attempts at a further owner.
    """

    def __init__(
        self,
        vm: str,
        rank_owners: Callable[[str], list[str]],
        local: RequestSender,
        clock: Callable[[], float],
        limits: ForwardingLimits | None = None,
        peers: RequestSender | None = None,
    ):
        self.vm = vm
        self.rank_owners = rank_owners
        self.local = local
        self.peers = peers
        self.clock = clock
        self.limits = limits or ForwardingLimits()
        self.budget = RetryBudget()
        self.passed_over_owners = PassedOverOwners()
        self.in_flight: Counter[str] = Counter()
        self.total_in_flight = 0
        self.outcomes: Counter[tuple[str, str]] = Counter()
        self.refusals = RefusalBursts()
        self.retries = 0
        self.background: set[asyncio.Task] = set()

    async def forward_request(self, request: Request, owner: str = '') -> OwnedAnswer:
        """Return the final answer to a request no later than its deadline.

        Args:
            request: Request with its deadline on the clock of this daemon.
            owner: Owner of the transaction, which alone is asked; '' asks the ranked owners.
        """
        owned = await self._forward_within_limits(request, owner)
        error = owned.answer.error
        outcome = 'replica' if owned.answer.replica else 'primary'
        if error is not None:
            outcome = error.kind.value
            self.refusals.count_refusal(error.kind, request.database, self.clock())
        self.outcomes[request.kind.value, outcome] += 1
        return owned

    def find_admission_error(self, caller: str) -> RequestError | None:
        """Return the error of a request that exceeds a limit, or None."""
        if self.total_in_flight >= self.limits.per_daemon:
            message = f'{self.total_in_flight} requests in flight on this daemon'
            return RequestError(ErrorKind.OVERLOADED, message, RETRY_AFTER_S)
        if self.in_flight[caller] >= self.limits.per_caller:
            message = f'{self.in_flight[caller]} requests in flight of caller {caller!r}'
            return RequestError(ErrorKind.OVERLOADED, message, RETRY_AFTER_S)
        return None

    def find_first_owner(self, database: str) -> str:
        """Return the owner that a new request tries first, or ''."""
        ranked = self.rank_owners(database)[:MAX_OWNERS_TRIED]
        return next(
            (vm for vm in ranked if not self.passed_over_owners.contains_owner(database, vm)), ''
        )

    def roll_back_in_background(self, request: Request, owner: str) -> None:
        """Send a ROLLBACK without waiting for its answer."""
        task = asyncio.get_running_loop().create_task(self._roll_back(request, owner))
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def _roll_back(self, request: Request, owner: str) -> None:
        # Exempt from the limits on requests in flight: a rollback frees a target connection.
        try:
            async with asyncio.timeout(max(request.deadline - self.clock(), 0)):
                await self._send(owner, request)
        except TimeoutError:
            return

    async def _forward_within_limits(self, request: Request, owner: str) -> OwnedAnswer:
        refusal = self.find_admission_error(request.caller)
        if refusal is not None:
            return OwnedAnswer(Answer(request.request_id, error=refusal), owner)
        self.in_flight[request.caller] += 1
        self.total_in_flight += 1
        self.budget.record_request()
        try:
            async with asyncio.timeout(max(request.deadline - self.clock(), 0)):
                return await self._send_to_ranked_owners(request, owner)
        except TimeoutError:
            error = describe_timeout(request)
            return OwnedAnswer(Answer(request.request_id, error=error), owner)
        finally:
            self._release(request.caller)

    async def _send_to_ranked_owners(self, request: Request, pinned: str) -> OwnedAnswer:
        """Ask the ranked owners; while ownership moves, ask them again after a delay.

        The former owner refuses requests as soon as it learns of the next one, which may not have
        taken over yet or may be unknown to this daemon.
        """
        if pinned:
            return await self._try_owners(request, [pinned])
        owned = await self._try_ranked_owners(request)
        for delay_s in OWNERSHIP_MOVE_DELAYS_S:
            error = owned.answer.error
            denied = error is not None and error.kind is ErrorKind.NOT_OWNER and owned.owner
            if not denied or self.clock() + delay_s >= request.deadline:
                break
            await asyncio.sleep(delay_s)
            owned = await self._try_ranked_owners(request)
        return owned

    async def _try_ranked_owners(self, request: Request) -> OwnedAnswer:
        """Ask the owners in the current ranking, the passed-over ones last."""
        ranked = self.rank_owners(request.database)[:MAX_OWNERS_TRIED]
        skipped = self.passed_over_owners.skip_owners(request.database, ranked, self.clock())
        # Passed-over owners are tried last: one may have recovered while no other daemon adopted.
        owners = ranked[len(skipped) :] + skipped
        if not owners:
            message = f'no live daemon serves database {request.database!r}'
            error = RequestError(ErrorKind.NOT_OWNER, message, RETRY_AFTER_S)
            return OwnedAnswer(Answer(request.request_id, error=error))
        return await self._try_owners(replace(request, passed_over=tuple(skipped)), owners)

    async def _try_owners(self, request: Request, owners: list[str]) -> OwnedAnswer:
        maybe_ran = False
        asked = ''
        failure: RequestError | None = None
        for position, owner in enumerate(owners):
            asked = owner
            answer = await self._send(owner, request)
            request = self._record_owner_result(request, owner, answer.error)
            step = choose_next_step(request, answer.error)
            failure = choose_reported_error(failure, answer.error)
            if answer.error is None or step is NextStep.RETURN:
                break
            maybe_ran = maybe_ran or step is NextStep.RESEND
            is_last = position + 1 == len(owners)
            if step is NextStep.RESEND and not is_last and not self.budget.acquire_retry():
                break
            self.retries += not is_last
        if failure is not None:
            answer = replace(answer, error=describe_failure(request, failure, maybe_ran))
        return OwnedAnswer(answer, asked)

    def _record_owner_result(
        self, request: Request, owner: str, error: RequestError | None
    ) -> Request:
        """Record whether an owner was passed over and return the request for the next owner."""
        if error is None or not is_passed_over(error):
            # An answer inside a transaction does not show that the owner accepts new requests.
            if request.transaction_id is None:
                self.passed_over_owners.remove_owner(request.database, owner)
            return request
        self.passed_over_owners.add_owner(request.database, owner, self.clock())
        return replace(request, passed_over=(*request.passed_over, owner))

    async def _send(self, owner: str, request: Request) -> Answer:
        now = self.clock()
        margin = min(ANSWER_MARGIN_S, (request.deadline - now) * ANSWER_MARGIN_RATIO)
        shortened = replace(request, deadline=request.deadline - margin)
        if owner == self.vm:
            return await self.local.send_request(owner, shortened, now)
        if self.peers is None:
            message = f'no transport to {owner!r}'
            error = RequestError(ErrorKind.PEER_UNREACHABLE, message, RETRY_AFTER_S)
            return Answer(request.request_id, error=error)
        return await self.peers.send_request(owner, shortened, now)

    def _release(self, caller: str) -> None:
        self.total_in_flight -= 1
        self.in_flight[caller] -= 1
        if not self.in_flight[caller]:
            del self.in_flight[caller]


def build_rollback(request: Request, deadline: float) -> Request:
    """Return the ROLLBACK of the transaction that `request` belongs to."""
    return replace(
        request,
        request_id=f'{request.request_id}.rollback',
        kind=RequestKind.ROLLBACK,
        sql='',
        deadline=deadline,
        idempotency_key=None,
    )
