"""Requests of local and remote entries to the owner role, and the way back of the answers."""

import asyncio
from typing import Any

from cassiaseam.daemon.node import Node, executes
from cassiaseam.daemon.peer_messages import accept_message
from cassiaseam.messages import Answer, Request
from cassiaseam.reducer.common import AnswerRequest, EntryLost, RequestArrived, RequestCancelled


class LocalOwner:
    """Owner role of this daemon as the local entry sees it.

    Attributes:
        node: Daemon whose reducer takes the requests.
        waiting: Future per request id.
    """

    def __init__(self, node: Node):
        self.node = node
        self.waiting: dict[str, asyncio.Future[Answer]] = {}
        node.services[LocalOwner] = self

    async def send_request(self, vm: str, request: Request, now: float) -> Answer:
        """Return the final answer of the owner role; cancelling the call withdraws the request."""
        future = asyncio.get_running_loop().create_future()
        self.waiting[request.request_id] = future
        try:
            self.node.dispatch(RequestArrived(request))
            return await future
        except asyncio.CancelledError:
            self.waiting.pop(request.request_id, None)
            self.node.dispatch(RequestCancelled(request.database, request.request_id))
            raise
        finally:
            self.waiting.pop(request.request_id, None)

    def settle_answer(self, answer: Answer) -> None:
        """Hand an answer to the call that waits for it; a late one is dropped."""
        future = self.waiting.get(answer.request_id)
        if future is not None and not future.done():
            future.set_result(answer)


class PeerRequests:
    """Requests that other daemons send to the owner role of this daemon.

    Attributes:
        node: Daemon whose reducer takes the requests.
        transport: `cassiaseam.peers.transport.PeerTransport`.
    """

    def __init__(self, node: Node, transport: Any):
        self.node = node
        self.transport = transport
        node.services[PeerRequests] = self
        transport.on_request = self.accept_request
        transport.on_peer_lost = self.lose_peer
        transport.on_message = self.accept_message

    def accept_request(self, vm: str, request: Request) -> None:
        """Pass on a request of a peer."""
        self.node.dispatch(RequestArrived(request))

    def accept_message(self, vm: str, message: Any) -> None:
        """Pass on a message of a peer."""
        accept_message(self.node, vm, message)

    def lose_peer(self, vm: str) -> None:
        """Roll back what the callers of a lost entry daemon had open."""
        self.node.dispatch(EntryLost(vm))


@executes(AnswerRequest)
def answer_request(node: Node, effect: AnswerRequest) -> None:
    """Send a final answer to the entry that asked."""
    if effect.entry == node.state.vm:
        node.services[LocalOwner].settle_answer(effect.answer)
        return
    peers = node.services.get(PeerRequests)
    if peers is not None:
        peers.transport.send_answer(effect.entry, effect.answer)
