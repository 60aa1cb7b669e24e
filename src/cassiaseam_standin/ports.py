"""Ports of loopback that are kept for processes which are started, killed and started again."""

import random
import socket

from cassiaseam_standin.group_control import LOOPBACK

# Below the ephemeral port range of the kernel, so that outgoing connections do not take a port.
FIRST_PORT = 12_000
LAST_PORT = 30_000


class ReservedPorts:
    """Ports that nothing else on this machine is given while their process does not listen.

    Each port has a socket that is bound and never listens. Every other process fails to bind the
    port, except with `SO_REUSEADDR`, as daemons do.

    Attributes:
        sockets: Bound socket per port.
    """

    def __init__(self) -> None:
        self.sockets: dict[int, socket.socket] = {}

    def reserve(self, count: int, rng: random.Random) -> list[int]:
        """Return `count` further ports that nothing uses, neither for TCP nor for UDP."""
        ports: list[int] = []
        while len(ports) < count:
            port = rng.randrange(FIRST_PORT, LAST_PORT)
            bound = bind_unused(port)
            if bound is not None:
                self.sockets[port] = bound
                ports.append(port)
        return ports

    def release(self) -> None:
        """Give all ports back."""
        for bound in self.sockets.values():
            bound.close()
        self.sockets.clear()


def bind_unused(port: int) -> socket.socket | None:
    """Return a TCP socket bound to a port, or None if the port is used for TCP or UDP."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
        try:
            bound.bind((LOOPBACK, port))
            datagrams.bind((LOOPBACK, port))
        except OSError:
            bound.close()
            return None
    # Set after the bind, which therefore excluded other reservations.
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return bound
