"""Transport of requests and messages between daemons over TCP."""

import asyncio
import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from absl import logging

from cassiaseam.errors import OWNER_LINK_LOST, RESPONSES, ErrorKind, RequestError
from cassiaseam.messages import Answer, Request, RequestKind
from cassiaseam.peers.codec import PROTOCOL_VERSION, Envelope
from cassiaseam.peers.link import (
    LinkContext,
    PeerLink,
    PendingRequest,
    SendRejected,
    TransportLimits,
)
from cassiaseam.peers.link_table import LinkTable, PeerUnreachable, Resolver, TlsContexts
from cassiaseam.peers.messages import CancelRequest, Hello
from cassiaseam.peers.stamps import MessageStamps

RETRY_AFTER_S = 0.1
_KINDS_THAT_CHANGE_DATA = frozenset((RequestKind.WRITE, RequestKind.COMMIT))


@dataclass(frozen=True, slots=True)
class _IncomingRequest:
    """Unanswered request of a peer and the link that expects the answer."""

    link: PeerLink
    wire_id: int
    request: Request


def make_error_answer(request: Request, kind: ErrorKind, message: str) -> Answer:
    """Return an error answer for a request that got none from its owner."""
    retry_after_s = RETRY_AFTER_S
    if not RESPONSES[kind].retryable:
        retry_after_s = None
    return Answer(request.request_id, error=RequestError(kind, message, retry_after_s))


def choose_link_loss_error(pending: PendingRequest) -> ErrorKind:
    """Return the error kind of a request whose link was lost."""
    if pending.written and pending.request.kind in _KINDS_THAT_CHANGE_DATA:
        return ErrorKind.OUTCOME_UNKNOWN
    return ErrorKind.PEER_UNREACHABLE


class PeerTransport:
    """Exchanges requests and messages with the other daemons.

    Attributes:
        on_request: Called with `(vm, request)` for each request of a peer or of this daemon; the
            answer is returned through `send_answer`.
        on_message: Called with `(vm, message)` for every other message.
        on_peer_lost: Called with the VM name when a busy link to it is lost, or its last link
            closes without a goodbye.
        counters: Counters by name, such as `unknown_answers`.
    """

    def __init__(
        self,
        vm: str,
        incarnation: int,
        resolve_address: Resolver,
        limits: TransportLimits | None = None,
        tls: TlsContexts | None = None,
        clock: Callable[[], float] = time.monotonic,
        stamps: MessageStamps | None = None,
    ):
        self.vm = vm
        self.limits = limits or TransportLimits()
        self.clock = clock
        self.on_request: Callable[[str, Request], None] = self.refuse_request
        self.on_message: Callable[[str, Any], None] = lambda peer, message: None
        self.on_peer_lost: Callable[[str], None] = lambda peer: None
        hello = Hello(vm, incarnation, PROTOCOL_VERSION)
        context = LinkContext(
            hello,
            self.limits,
            clock,
            self.accept_message,
            self.handle_link_closed,
            stamps=stamps or MessageStamps(),
        )
        self.counters = context.counters
        self.table = LinkTable(context, resolve_address, tls)
        self.incoming: dict[tuple[str, str], _IncomingRequest] = {}
        self.local: dict[str, PendingRequest] = {}
        self.wire_ids = itertools.count(1)

    async def start(self, host: str, port: int) -> int:
        """Listen on a numeric address and return the port in use."""
        return await self.table.listen(host, port)

    async def stop(self) -> None:
        """Close the listener and every link; requests in flight fail as after a lost link."""
        await self.table.close()

    # requests

    async def send_request(self, vm: str, request: Request, now: float) -> Answer:
        """Return the final answer of `vm` by the deadline; errors are returned as answers.

        Args:
            vm: Owner of the database.
            request: Request whose deadline is on the clock of this transport.
            now: Current time in seconds on that clock.
        """
        outcome = asyncio.get_running_loop().create_future()
        pending = PendingRequest(request, outcome)
        remaining_s = request.deadline - now
        if remaining_s <= 0:
            return make_error_answer(request, ErrorKind.DEADLINE_EXCEEDED, 'deadline passed')
        if vm == self.vm:
            return await self.run_locally(pending, remaining_s)
        try:
            async with asyncio.timeout(remaining_s):
                link = await self.table.obtain_link(vm)
        except (PeerUnreachable, TimeoutError) as error:
            message = f'vm {vm} cannot be reached: {error}'
            return make_error_answer(request, ErrorKind.PEER_UNREACHABLE, message)
        return await self.run_on_link(link, pending, request.deadline - self.clock())

    async def run_locally(self, pending: PendingRequest, remaining_s: float) -> Answer:
        """Run a request on this daemon."""
        request = pending.request
        pending.written = True
        self.local[request.request_id] = pending
        try:
            self.on_request(self.vm, request)
            return await self.wait_for_answer(pending, remaining_s, None)
        finally:
            self.local.pop(request.request_id, None)

    async def run_on_link(
        self, link: PeerLink, pending: PendingRequest, remaining_s: float
    ) -> Answer:
        """Send a request over a link and wait for its answer."""
        request = pending.request
        if link.closed:
            # The link closed after its hello; no callback would fail a request added now.
            message = f'link to vm {link.vm} lost: {link.close_reason}'
            return make_error_answer(request, ErrorKind.PEER_UNREACHABLE, message)
        if len(link.pending) >= self.limits.requests_in_flight:
            message = f'{len(link.pending)} requests in flight to vm {link.vm}'
            return make_error_answer(request, ErrorKind.OVERLOADED, message)
        wire_id = next(self.wire_ids)
        link.pending[wire_id] = pending
        link.track_transaction(request)
        link.start_heartbeats()
        try:
            link.send(wire_id, request, pending)
            answer = await self.wait_for_answer(pending, remaining_s, link)
        except SendRejected as refusal:
            kind = ErrorKind.TOO_LARGE if refusal.too_large else ErrorKind.OVERLOADED
            answer = make_error_answer(request, kind, str(refusal))
        except asyncio.CancelledError:
            link.open_transactions.discard(request.transaction_id)
            raise
        finally:
            link.pending.pop(wire_id, None)
        link.untrack_transaction(request, answer)
        link.close_if_drained()
        return answer

    async def wait_for_answer(
        self, pending: PendingRequest, remaining_s: float, link: PeerLink | None
    ) -> Answer:
        """Wait for the answer, the loss of the link, the deadline or a cancellation."""
        try:
            async with asyncio.timeout(remaining_s):
                return await pending.outcome
        except TimeoutError:
            self.cancel_request(pending, link)
            return self.make_timeout_answer(pending)
        except asyncio.CancelledError:
            self.cancel_request(pending, link)
            raise

    def make_timeout_answer(self, pending: PendingRequest) -> Answer:
        """Return the error answer of a request that reached its deadline."""
        kind = ErrorKind.DEADLINE_EXCEEDED
        if pending.written and pending.request.kind in _KINDS_THAT_CHANGE_DATA:
            kind = ErrorKind.OUTCOME_UNKNOWN
        return make_error_answer(pending.request, kind, 'no answer of the owner by the deadline')

    def cancel_request(self, pending: PendingRequest, link: PeerLink | None) -> None:
        """Tell the owner that the answer to a request is no longer needed."""
        pending.outcome.cancel()
        request = pending.request
        cancel = CancelRequest(request.database, request.request_id)
        if link is None:
            self.on_message(self.vm, cancel)
        elif pending.written:
            self.send_on_link(link, 0, cancel)

    def send_answer(self, vm: str, answer: Answer) -> bool:
        """Answer a request passed to `on_request`; returns False if the request has ended."""
        found = self.incoming.pop((vm, answer.request_id), None)
        if vm == self.vm:
            return self.complete_request(self.local.pop(answer.request_id, None), answer)
        if found is None or found.link.closed:
            self.counters['answers_without_link'] += 1
            return False
        link = found.link
        link.incoming.discard(found.wire_id)
        sent = self.send_answer_on_link(link, found.wire_id, answer)
        link.untrack_transaction(found.request, answer)
        link.close_if_drained()
        return sent

    def send_answer_on_link(self, link: PeerLink, wire_id: int, answer: Answer) -> bool:
        """Send an answer; a full send queue aborts the link."""
        try:
            link.send(wire_id, answer)
        except SendRejected as refusal:
            if not refusal.too_large:
                link.abort(f'answers are not read: {refusal}')
                return False
            error = RequestError(ErrorKind.TOO_LARGE, f'answer: {refusal}')
            link.send(wire_id, Answer(answer.request_id, error=error, target=answer.target))
        return True

    def complete_request(self, pending: PendingRequest | None, answer: Answer) -> bool:
        """Complete the pending request of an answer; returns False if there is none."""
        if pending is None or pending.outcome.done():
            self.counters['unknown_answers'] += 1
            return False
        pending.outcome.set_result(answer)
        return True

    def refuse_request(self, vm: str, request: Request) -> None:
        """Reject a request that arrives before the owner role is connected."""
        error = make_error_answer(request, ErrorKind.NOT_OWNER, 'daemon is starting')
        self.send_answer(vm, error)

    # links

    def accept_message(self, link: PeerLink, envelope: Envelope) -> None:
        """Dispatch a message of a peer by its type."""
        body = envelope.body
        if isinstance(body, Answer):
            self.accept_answer(link, envelope.wire_id, body)
        elif isinstance(body, Request):
            self.accept_request(link, envelope.wire_id, body)
        else:
            if isinstance(body, CancelRequest):
                self.remove_incoming(link.vm, body.request_id)
            self.on_message(link.vm, body)

    def accept_answer(self, link: PeerLink, wire_id: int, answer: Answer) -> None:
        """Complete the request that matches an answer; an unmatched answer is dropped."""
        pending = link.pending.get(wire_id)
        if pending is not None and pending.request.request_id != answer.request_id:
            pending = None
        self.complete_request(pending, answer)

    def accept_request(self, link: PeerLink, wire_id: int, request: Request) -> None:
        """Pass a request of a peer to the owner role.

        The answer is sent to the entry named in the request, so the entry has to be the peer.
        """
        if request.entry != link.vm:
            message = f'vm {link.vm} sent a request of entry {request.entry!r}'
            refusal = make_error_answer(request, ErrorKind.BAD_REQUEST, message)
            self.send_answer_on_link(link, wire_id, refusal)
            return
        self.remove_incoming(link.vm, request.request_id)
        self.incoming[link.vm, request.request_id] = _IncomingRequest(link, wire_id, request)
        link.incoming.add(wire_id)
        link.track_transaction(request)
        link.start_heartbeats()
        self.on_request(link.vm, request)

    def remove_incoming(self, vm: str, request_id: str) -> None:
        """Remove a request whose answer is no longer needed."""
        found = self.incoming.pop((vm, request_id), None)
        if found is not None:
            found.link.incoming.discard(found.wire_id)

    def handle_link_closed(self, link: PeerLink, reason: str) -> None:
        """Fail the requests of a closed link and report a lost peer."""
        was_busy = link.is_busy()
        for pending in list(link.pending.values()):
            if not pending.outcome.done():
                message = f'link to vm {link.vm} lost: {reason}'
                kind = choose_link_loss_error(pending)
                answer = make_error_answer(pending.request, kind, message)
                answer.error.detail['cause'] = OWNER_LINK_LOST
                pending.outcome.set_result(answer)
        lost = [key for key, found in self.incoming.items() if found.link is link]
        for key in lost:
            self.incoming.pop(key)
        is_last = self.table.remove_link(link)
        if link.closed_for_silence:
            self.table.close_idle_links(link.vm)
        if link.incarnation and (was_busy or (is_last and not link.draining)):
            logging.info('event=peer_lost vm=%s reason=%r', link.vm, reason)
            self.on_peer_lost(link.vm)

    # messages

    def send_message(self, vm: str, message: Any) -> None:
        """Send a message without an answer; it is lost if the peer is unreachable."""
        if vm == self.vm:
            self.on_message(vm, message)
            return
        link = self.table.find_link(vm)
        if link is not None:
            self.send_on_link(link, 0, message)
            return
        dial = self.table.start_dial(vm)
        dial.add_done_callback(lambda done: self.send_after_dial(done, message))

    def send_after_dial(self, dial: 'asyncio.Task[PeerLink]', message: Any) -> None:
        """Send a message after its link was dialled."""
        if dial.cancelled() or dial.exception() is not None:
            self.counters['messages_lost'] += 1
            return
        self.send_on_link(dial.result(), 0, message)

    def send_on_link(self, link: PeerLink, wire_id: int, message: Any) -> None:
        """Send a message on a link; a failure is counted as a lost message."""
        if link.closed:
            self.counters['messages_lost'] += 1
            return
        try:
            link.send(wire_id, message)
        except SendRejected as refusal:
            self.counters['messages_lost'] += 1
            logging.warning('event=message_lost vm=%s reason=%r', link.vm, str(refusal))
