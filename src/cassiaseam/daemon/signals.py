"""Records signals that arrive while the daemon starts.

The default action of SIGHUP and SIGTERM ends the process. The handlers are therefore installed
before the daemon imports its modules and reads its settings, which takes a large part of a second.
"""

import signal
from typing import Any


class PendingSignals:
    """Requests to stop or reload that are not handled yet.

    Attributes:
        stop_requested: Whether SIGTERM or SIGINT arrived.
        reload_requested: Whether SIGHUP arrived.
    """

    def __init__(self) -> None:
        self.stop_requested = False
        self.reload_requested = False

    def install(self) -> None:
        """Install handlers that record SIGTERM, SIGINT and SIGHUP."""
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, self.record_signal)

    def restore_default_sigint(self) -> None:
        """Restore the handler of SIGINT; Twisted replaces only the default one."""
        signal.signal(signal.SIGINT, signal.default_int_handler)

    def record_signal(self, number: int, frame: Any) -> None:
        """Signal handler: record a request to stop or reload."""
        if number == signal.SIGHUP:
            self.reload_requested = True
        else:
            self.stop_requested = True

    def consume_stop_request(self) -> bool:
        """Return whether a stop is pending and clear the request."""
        requested, self.stop_requested = self.stop_requested, False
        return requested

    def consume_reload_request(self) -> bool:
        """Return whether a reload is pending and clear the request."""
        requested, self.reload_requested = self.reload_requested, False
        return requested
