"""Timer of one daemon."""

import asyncio
from collections.abc import Callable

from absl import logging

from cassiaseam.daemon.node import Node
from cassiaseam.reducer.common import Tick

BUSY_PERIOD_S = 0.01
IDLE_PERIOD_S = 0.05


class TickTimer:
    """Sends `Tick` events, more often while there is work.

    Attributes:
        node: Daemon that receives the events.
        has_work: Returns whether a request or transaction is in flight.
    """

    def __init__(self, node: Node, has_work: Callable[[], bool]):
        self.node = node
        self.has_work = has_work
        self.handle: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the timer."""
        self._schedule()

    def stop(self) -> None:
        """Stop the timer."""
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None

    def _schedule(self) -> None:
        period_s = BUSY_PERIOD_S if self.has_work() else IDLE_PERIOD_S
        self.handle = asyncio.get_running_loop().call_later(period_s, self._fire)

    def _fire(self) -> None:
        self._schedule()
        try:
            self.node.dispatch(Tick())
        except Exception:
            # A defect in one role must not stop the timers of all others.
            logging.exception('event=tick_failed')
