"""Sends requests of the local entry to the owner role of the same daemon."""

import asyncio

from cassiaseam.daemon.node import Node
from cassiaseam.messages import Answer, Request
from cassiaseam.peers.link import PendingRequest
from cassiaseam.peers.transport import PeerTransport
from cassiaseam.reducer.common import RequestArrived, RequestCancelled


class LocalOwner:
    """Owner role of this daemon, called without the peer transport.

    The transport times out at the same deadline as the owner, so a write that is still queued
    would end with an unknown outcome. Here only the timer of the entry runs, which leaves the
    owner time to return the exact outcome.

    Attributes:
        node: Daemon whose reducer handles the requests.
        transport: Resolves the pending requests of this VM.
    """

    def __init__(self, node: Node, transport: PeerTransport):
        self.node = node
        self.transport = transport

    async def send_request(self, vm: str, request: Request, now: float) -> Answer:
        """Return the final answer of the owner role; cancelling the call cancels the request."""
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
