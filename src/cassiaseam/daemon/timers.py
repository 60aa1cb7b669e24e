"""Timer that drives the reducer of one daemon."""

import asyncio
from collections.abc import Callable

from absl import logging

from cassiaseam.daemon.node import Node
from cassiaseam.reducer.common import Tick

# Bounds the delay of work without a timer in the heaps of the state, such as open latencies.
BUSY_TICK_INTERVAL_S = 0.01
IDLE_TICK_INTERVAL_S = 0.05
# Timers that are due within this interval share one `Tick`.
TIMER_RESOLUTION_S = 0.001


class TickTimer:
    """Dispatches `Tick` events when a timer of the state is due.

    A fixed interval would delay each poll that a write waits for by up to that interval.

    Attributes:
        node: Daemon that receives the events.
        has_work: Returns whether a request or transaction is in flight.
        due_at: Time in seconds of the next `Tick`, on the clock of the node.
    """

    def __init__(self, node: Node, has_work: Callable[[], bool]):
        self.node = node
        self.has_work = has_work
        self.due_at: float = 0
        self.handle: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the timer."""
        self.node.after_dispatch = self.reschedule_if_earlier
        self._schedule()

    def stop(self) -> None:
        """Stop the timer."""
        self.node.after_dispatch = None
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None

    def reschedule_if_earlier(self) -> None:
        """Reschedule the next `Tick` if the latest event made a timer due earlier."""
        due_at = find_next_due(self.node)
        if due_at is None or self.handle is None or due_at >= self.due_at - TIMER_RESOLUTION_S:
            return
        self.handle.cancel()
        self._schedule_at(due_at)

    def _schedule(self) -> None:
        now = self.node.clock()
        interval_s = BUSY_TICK_INTERVAL_S if self.has_work() else IDLE_TICK_INTERVAL_S
        latest = now + interval_s
        due_at = find_next_due(self.node)
        self._schedule_at(latest if due_at is None else min(latest, due_at))

    def _schedule_at(self, due_at: float) -> None:
        now = self.node.clock()
        self.due_at = max(due_at, now + TIMER_RESOLUTION_S)
        loop = asyncio.get_running_loop()
        self.handle = loop.call_later(self.due_at - now, self._fire)

    def _fire(self) -> None:
        self.handle = None
        try:
            self.node.dispatch(Tick())
        except Exception:
            # An error in one role must not stop the timers of the others.
            logging.exception('event=tick_failed')
        self._schedule()


def find_next_due(node: Node) -> float | None:
    """Return the time in seconds of the earliest timer of the group and owner roles."""
    state = node.state
    group_due = state.group_due[0][0] if state.group_due else None
    timers = state.owner.timers if state.owner is not None else ()
    owner_due = timers[0][0] if timers else None
    return min((due for due in (group_due, owner_due) if due is not None), default=None)
