"""The clock of the pooler role: decisions and timers run on the same one.

The default reactor of Twisted runs its timers on the time of day: when that is set back by 3 s,
all timers stand still for 3 s, and when it is set ahead, time limits end too early.
"""

import time
from typing import Any

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor


def read_clock() -> float:
    """Return seconds that go on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class BootTimeReactor(EPollReactor):
    """Reactor whose timers do not follow changes of the time of day."""

    seconds = staticmethod(read_clock)


def install_reactor() -> Any:
    """Make a `BootTimeReactor` the reactor of this process and return it.

    Raises:
        ReactorAlreadyInstalledError: A module has imported the default reactor.
    """
    reactor = BootTimeReactor()
    installReactor(reactor)
    return reactor
