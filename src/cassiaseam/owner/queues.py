"""Queue that serves callers in turn."""

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class FairQueue:
    """Requests in order of arrival per caller, with round-robin over the callers.

    Attributes:
        lanes: Waiting work per caller; the caller whose turn it is comes first.
        size: Number of waiting requests.
    """

    lanes: OrderedDict[str, OrderedDict[str, Any]] = field(default_factory=OrderedDict)
    size: int = 0

    def add_work(self, work: Any, first: bool = False) -> None:
        """Put work at the end, or at the front, of the lane of its caller."""
        request = work.request
        lane = self.lanes.get(request.caller)
        if lane is None:
            lane = OrderedDict()
            self.lanes[request.caller] = lane
        lane[request.request_id] = work
        if first:
            lane.move_to_end(request.request_id, last=False)
            self.lanes.move_to_end(request.caller, last=False)
        work.queue = self
        self.size += 1

    def peek_work(self) -> Any:
        """Return the oldest work of the caller whose turn it is; the queue must not be empty."""
        lane = next(iter(self.lanes.values()))
        return next(iter(lane.values()))

    def pass_turn(self) -> None:
        """Move the caller whose turn it is to the end of the round."""
        self.lanes.move_to_end(next(iter(self.lanes)))

    def remove_work(self, work: Any) -> None:
        """Remove work from any place in the queue; its caller keeps its place in the round."""
        request = work.request
        lane = self.lanes[request.caller]
        del lane[request.request_id]
        if not lane:
            del self.lanes[request.caller]
        work.queue = None
        self.size -= 1

    def list_works(self) -> list[Any]:
        """Return all waiting work, grouped by caller."""
        return [work for lane in self.lanes.values() for work in lane.values()]
