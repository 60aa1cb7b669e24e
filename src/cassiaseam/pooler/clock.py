"""Clock of the pooler role, which decisions and timers share.

The timers of Twisted's default reactor use the wall clock: when it is set back by 3 s, all timers
stall for 3 s, and when it is set forward, timeouts expire too early.
"""

import time
from typing import Any

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor


def read_clock() -> float:
    """Return monotonic seconds that include the time while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class BootTimeReactor(EPollReactor):
    """Reactor whose timers are independent of changes to the wall clock."""

    seconds = staticmethod(read_clock)


def install_reactor() -> Any:
    """Install a `BootTimeReactor` as the reactor of this process and return it.

    Raises:
        ReactorAlreadyInstalledError: A module has imported the default reactor.
    """
    reactor = BootTimeReactor()
    installReactor(reactor)
    return reactor
