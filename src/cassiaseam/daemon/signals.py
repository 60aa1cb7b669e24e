"""Signals that a daemon was sent, remembered from the start of the program on.

Python's own reaction to SIGHUP and SIGTERM ends the process. The handlers are therefore installed
before the daemon imports its parts and reads its settings, which takes a large part of a second.
"""

import signal
from typing import Any


class PendingSignals:
    """Requests to stop or to reload that have not been acted on.

    Attributes:
        stop_requested: Whether SIGTERM or SIGINT arrived.
        reload_requested: Whether SIGHUP arrived.
    """

    def __init__(self) -> None:
        self.stop_requested = False
        self.reload_requested = False

    def install(self) -> None:
        """Remember SIGTERM, SIGINT and SIGHUP from now on."""
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, self.note)

    def hand_over(self) -> None:
        """Leave SIGINT to Twisted, which takes only signals over that have their first handler."""
        signal.signal(signal.SIGINT, signal.default_int_handler)

    def note(self, number: int, frame: Any) -> None:
        """Remember a signal."""
        if number == signal.SIGHUP:
            self.reload_requested = True
        else:
            self.stop_requested = True

    def consume_stop_request(self) -> bool:
        """Return whether a stop was requested since the last call."""
        requested, self.stop_requested = self.stop_requested, False
        return requested

    def consume_reload_request(self) -> bool:
        """Return whether a reload was requested since the last call."""
        requested, self.reload_requested = self.reload_requested, False
        return requested
