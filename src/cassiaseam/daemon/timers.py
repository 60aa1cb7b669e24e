"""Timer of one daemon."""

import asyncio
from collections.abc import Callable

from absl import logging

from cassiaseam.daemon.node import Node
from cassiaseam.reducer.common import Tick

# Work whose time is not in a heap of the state, such as open latencies, is looked at this often.
BUSY_PERIOD_S = 0.01
IDLE_PERIOD_S = 0.05
# Timers closer together than this share one event.
TIMER_RESOLUTION_S = 0.001


class TickTimer:
    """Sends `Tick` events when the state has something due.

    A fixed period would delay each poll that a write waits for by up to that period.

    Attributes:
        node: Daemon that receives the events.
        has_work: Returns whether a request or transaction is in flight.
        due_at: Time in seconds of the next event on the clock of the loop.
    """

    def __init__(self, node: Node, has_work: Callable[[], bool]):
        self.node = node
        self.has_work = has_work
        self.due_at: float = 0
        self.handle: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the timer."""
        self.node.after_dispatch = self.hasten
        self._schedule()

    def stop(self) -> None:
        """Stop the timer."""
        self.node.after_dispatch = None
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None

    def hasten(self) -> None:
        """Move the next event forward if the latest one made something due earlier."""
        due_at = find_next_due(self.node)
        if due_at is None or self.handle is None or due_at >= self.due_at - TIMER_RESOLUTION_S:
            return
        self.handle.cancel()
        self._schedule_at(due_at)

    def _schedule(self) -> None:
        now = self.node.clock()
        period_s = BUSY_PERIOD_S if self.has_work() else IDLE_PERIOD_S
        latest = now + period_s
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
            # A defect in one role must not stop the timers of all others.
            logging.exception('event=tick_failed')
        self._schedule()


def find_next_due(node: Node) -> float | None:
    """Return the time in seconds of the earliest timer of the group and owner roles."""
    state = node.state
    group_due = state.group_due[0][0] if state.group_due else None
    timers = state.owner.timers if state.owner is not None else ()
    owner_due = timers[0][0] if timers else None
    return min((due for due in (group_due, owner_due) if due is not None), default=None)
