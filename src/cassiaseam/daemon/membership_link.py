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


class DatagramBridge(asyncio.DatagramProtocol):
    """Connects the protocol of the membership role with a socket of the asyncio loop.

    A daemon under test has a loop of its own, while the reactor of Twisted is one per process.
    """

    def __init__(self, protocol: MembershipProtocol):
        self.protocol = protocol

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Give the membership protocol its transport."""
        self.protocol.transport = DatagramWriter(transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Pass on a datagram."""
        self.protocol.datagramReceived(data, addr)


class DatagramWriter:
    """The part of a Twisted UDP transport that the membership protocol uses."""

    def __init__(self, transport: asyncio.DatagramTransport):
        self.transport = transport

    def write(self, datagram: bytes, address: Address) -> None:
        """Send a datagram."""
        self.transport.sendto(datagram, address)


class MembershipLink:
    """Connects the membership role with the network.

    Attributes:
        node: Daemon that receives the events.
        protocol: Protocol of the UDP socket.
    """

    def __init__(self, node: Node):
        self.node = node
        self.protocol = MembershipProtocol(self.accept_datagram)
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None
        node.services[MembershipProtocol] = self.protocol

    async def start(self, host: str, port: int) -> None:
        """Listen on a UDP port."""
        loop = asyncio.get_running_loop()
        endpoint = await loop.create_datagram_endpoint(
            lambda: DatagramBridge(self.protocol), local_addr=(host, port)
        )
        self.transport = endpoint[0]

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

    def stop(self) -> None:
        """Close the socket and stop the timer."""
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.close()

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
