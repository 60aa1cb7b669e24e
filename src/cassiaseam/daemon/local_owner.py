"""Requests of the local entry to the owner role of the same daemon."""

import asyncio

from cassiaseam.daemon.node import Node
from cassiaseam.messages import Answer, Request
from cassiaseam.peers.link import PendingRequest
from cassiaseam.peers.transport import PeerTransport
from cassiaseam.reducer.common import RequestArrived, RequestCancelled


class LocalOwner:
    """Owner role of this daemon as the local entry sees it.

    The transport could run local requests too. Its timer ends at the deadline that the owner
    works with, and then a write that was still queued would count as one of unknown outcome. Here
    only the entry's own timer runs, which leaves the owner time for its exact answer.

    Attributes:
        node: Daemon whose reducer takes the requests.
        transport: Settles the answers to requests of this VM.
    """

    def __init__(self, node: Node, transport: PeerTransport):
        self.node = node
        self.transport = transport

    async def send_request(self, vm: str, request: Request, now: float) -> Answer:
        """Return the final answer of the owner role; cancelling the call withdraws the request."""
        future = asyncio.get_running_loop().create_future()
        self.transport.local[request.request_id] = PendingRequest(request, future, written=True)
        try:
            self.node.dispatch(RequestArrived(request))
            return await future
        except asyncio.CancelledError:
            self.transport.local.pop(request.request_id, None)
            self.node.dispatch(RequestCancelled(request.database, request.request_id))
            raise
        finally:
            self.transport.local.pop(request.request_id, None)
