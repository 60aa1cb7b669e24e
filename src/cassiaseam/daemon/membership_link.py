"""UDP socket and timer of the membership role."""

import asyncio

from cassiaseam.daemon.node import Node
from cassiaseam.membership.detector import make_datagram
from cassiaseam.membership.messages import (
    Address,
    Datagram,
    DatagramKind,
    HeartbeatReceived,
    MembershipTick,
)
from cassiaseam.peers.datagrams import MembershipProtocol

MEMBERSHIP_PERIOD_S = 0.1


class MembershipLink:
    """Connects the membership role with the network.

    Attributes:
        node: Daemon that receives the events.
        protocol: Protocol of the UDP socket.
    """

    def __init__(self, node: Node):
        self.node = node
        self.protocol = MembershipProtocol(self.accept_datagram)
        self.port = None
        self.timer: asyncio.TimerHandle | None = None
        node.services[MembershipProtocol] = self.protocol

    def start(self, host: str, port: int) -> None:
        """Listen on a UDP port."""
        from twisted.internet import reactor  # noqa: PLC0415  (main installs the reactor first)

        self.port = reactor.listenUDP(port, self.protocol, interface=host)

    def start_timer(self) -> None:
        """Start the timer of the failure detector."""
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(MEMBERSHIP_PERIOD_S, self._fire)

    def join(self, seeds: tuple[Address, ...]) -> None:
        """Ask daemons at known addresses for their view of the members."""
        membership = self.node.state.membership
        own = membership.own
        for address in seeds:
            if address != own.address:
                datagram = make_datagram(membership, DatagramKind.JOIN, first=own)
                self.protocol.send(address, datagram)

    async def stop(self) -> None:
        """Close the socket and stop the timer."""
        if self.timer is not None:
            self.timer.cancel()
        if self.port is not None:
            closed = self.port.stopListening()
            if closed is not None:
                await closed.asFuture(asyncio.get_running_loop())

    def accept_datagram(self, datagram: Datagram, address: Address) -> None:
        """Pass on a datagram."""
        self.node.dispatch(HeartbeatReceived(datagram, address))

    def find_address(self, vm: str) -> Address | None:
        """Return the peer address of a VM, or None when it is unknown."""
        membership = self.node.state.membership
        record = membership.members.get(vm) if membership is not None else None
        return None if record is None else record.address

    def _fire(self) -> None:
        self.start_timer()
        self.node.dispatch(MembershipTick())
