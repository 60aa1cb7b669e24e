"""Fair queue over callers."""

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class FairQueue:
    """Round-robin queue over callers; first in, first out per caller.

    Attributes:
        lanes: Waiting requests per caller; the caller to serve next comes first.
        size: Number of waiting requests.
    """

    lanes: OrderedDict[str, OrderedDict[str, Any]] = field(default_factory=OrderedDict)
    size: int = 0

    def enqueue_request(self, pending: Any, first: bool = False) -> None:
        """Add a request at the end, or at the front, of the lane of its caller."""
        request = pending.request
        lane = self.lanes.get(request.caller)
        if lane is None:
            lane = OrderedDict()
            self.lanes[request.caller] = lane
        lane[request.request_id] = pending
        if first:
            lane.move_to_end(request.request_id, last=False)
            self.lanes.move_to_end(request.caller, last=False)
        pending.queue = self
        self.size += 1

    def peek_request(self) -> Any:
        """Return the oldest request of the next caller; the queue must not be empty."""
        lane = next(iter(self.lanes.values()))
        return next(iter(lane.values()))

    def rotate_callers(self) -> None:
        """Move the next caller to the end of the round."""
        self.lanes.move_to_end(next(iter(self.lanes)))

    def remove_request(self, pending: Any) -> None:
        """Remove a request from anywhere in the queue; its caller keeps its place in the round."""
        request = pending.request
        lane = self.lanes[request.caller]
        del lane[request.request_id]
        if not lane:
            del self.lanes[request.caller]
        pending.queue = None
        self.size -= 1

    def list_requests(self) -> list[Any]:
        """Return all waiting requests, grouped by caller."""
        return [pending for lane in self.lanes.values() for pending in lane.values()]
