"""Network services of one daemon: transport, membership datagrams and platform loops."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from absl import logging

from cassiaseam.configuration import handlers
from cassiaseam.configuration.messages import VersionsReceived
from cassiaseam.configuration.state import create_configuration
from cassiaseam.daemon.node import Node
from cassiaseam.membership.dissemination import make_datagram
from cassiaseam.membership.messages import (
    Address,
    Datagram,
    DatagramKind,
    HeartbeatReceived,
    LeaveRequested,
    MemberRecord,
    MembershipTick,
    MemberStatus,
)
from cassiaseam.membership.state import create_membership
from cassiaseam.messages import Request
from cassiaseam.objectstore.client import PlatformClient
from cassiaseam.objectstore.model import VmDocument
from cassiaseam.peers import executors
from cassiaseam.peers.datagrams import MembershipProtocol
from cassiaseam.peers.link import TransportLimits
from cassiaseam.peers.link_table import TlsContexts
from cassiaseam.peers.messages import CancelRequest, ConfigDigest, ConfigShards
from cassiaseam.peers.stamps import MessageStamps
from cassiaseam.peers.store_loops import StoreLoops
from cassiaseam.peers.transport import PeerTransport
from cassiaseam.reducer.common import EntryLost, RequestArrived, RequestCancelled, SessionClosed

ROLES = (*handlers.HANDLER_MODULES, executors)
TICK_S = 0.2
_BIND_ATTEMPTS = 8

MessageHandler = Callable[[str, Any], None]


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Settings of the network services.

    Attributes:
        vm: Name of this VM.
        place: Place (zone) of this VM.
        host: IP address to listen on, also the address that peers connect to.
        peer_port: Port for TCP and UDP; 0 selects a free port.
        platform_url: Base URL of the platform.
        admin_port: Port of the administration API, published in the VM list.
        platform_token: Bearer token for the platform, or ''.
        seeds: Addresses of daemons to join through if the platform is unavailable at startup.
        tls: TLS contexts for connections between daemons, or None.
        limits: Limits of the transport.
    """

    vm: str
    place: str
    host: str
    peer_port: int
    platform_url: str
    admin_port: int = 0
    platform_token: str = ''
    seeds: tuple[Address, ...] = ()
    tls: TlsContexts | None = None
    limits: TransportLimits = TransportLimits()


class PeerServices:
    """Connects a `Node` to its peers and the platform.

    `start` has to run on the asyncio event loop of `reactor`.

    Attributes:
        transport: Transport of requests and messages; `start` sets its callbacks.
        client: Client of the platform.
        stamps: Stamps of the hybrid logical clock, which the time line shares.
        message_handlers: Handlers `(vm, message)` by message type; more can be added, for example
            for `TimelineQuery`.
    """

    def __init__(self, node: Node, settings: PeerSettings, reactor: Any):
        self.node = node
        self.settings = settings
        self.reactor = reactor
        self.client = PlatformClient(
            settings.platform_url,
            reactor,
            node.state.rng,
            token=settings.platform_token,
            clock=node.clock,
        )
        # No state survives a restart, so wall time makes the incarnation higher than earlier ones.
        self.incarnation = int(time.time() * 1000)
        self.stamps = MessageStamps()
        self.transport = PeerTransport(
            settings.vm,
            self.incarnation,
            self.resolve_address,
            settings.limits,
            settings.tls,
            node.clock,
            self.stamps,
        )
        self.protocol = MembershipProtocol(self.accept_datagram, self.stamps)
        self.message_handlers: dict[type, MessageHandler] = {
            CancelRequest: self.accept_cancel,
            SessionClosed: self.accept_session_closed,
            ConfigDigest: self.accept_config_digest,
            ConfigShards: self.accept_config_shards,
        }
        self.loops: StoreLoops | None = None
        self.udp_port: Any = None
        self.port = 0

    async def start(self) -> int:
        """Start all services and return the port for peers.

        Raises:
            OSError: The address is in use.
        """
        self.transport.on_request = self.accept_request
        self.transport.on_message = self.accept_message
        self.transport.on_peer_lost = self.accept_peer_loss
        self.port = await self.bind_ports()
        self.create_state()
        self.node.services[PeerServices] = self
        self.node.services[PeerTransport] = self.transport
        self.node.services[PlatformClient] = self.client
        self.loops = StoreLoops(self.node, self.client, self.describe_vm('live'), self.stamps)
        self.loops.start_task(self.run_ticks())
        self.loops.start_task(self.loops.refresh_vm_list())
        logging.info('event=peer_services_started vm=%s port=%d', self.settings.vm, self.port)
        return self.port

    async def bind_ports(self) -> int:
        """Listen on the same port for TCP and UDP."""
        host = self.settings.host
        for attempt in range(1, _BIND_ATTEMPTS + 1):
            port = await self.transport.start(host, self.settings.peer_port)
            try:
                self.udp_port = self.reactor.listenUDP(port, self.protocol, interface=host)
            except OSError:
                await self.transport.table.stop_listening()
                # A port selected by the system may be free for TCP but in use for UDP; retry.
                if self.settings.peer_port or attempt == _BIND_ATTEMPTS:
                    raise
                continue
            return port
        raise AssertionError

    def create_state(self) -> None:
        """Create the membership and configuration state."""
        settings = self.settings
        alive = MemberStatus.ALIVE
        own = MemberRecord(
            settings.vm, self.incarnation, alive, settings.place, settings.host, self.port
        )
        state = self.node.state
        now = self.node.clock()
        state.membership = create_membership(own, now)
        if not settings.seeds:
            # Without seeds only the platform's VM list is waited for.
            state.membership.may_own_from = now + state.membership.settings.page_wait_s
        state.configuration = create_configuration()

    def describe_vm(self, listed_state: str) -> VmDocument:
        """Return the entry of this VM for the VM list of the platform."""
        return VmDocument(
            name=self.settings.vm,
            place=self.settings.place,
            host=self.settings.host,
            peer_port=self.port,
            admin_port=self.settings.admin_port,
            state=listed_state,
        )

    async def announce_leaving(self) -> None:
        """Announce that this daemon gives up its databases; it keeps running."""
        self.node.dispatch(LeaveRequested())
        self.loops.own = self.describe_vm('leaving')
        self.loops.start_task(self.client.register_vm(self.loops.own))

    async def stop(self) -> None:
        """Announce the departure of this daemon and stop all services."""
        self.node.dispatch(LeaveRequested(done=True))
        await self.loops.stop()
        await self.transport.stop()
        await self.client.close()
        stopped = self.udp_port.stopListening()
        if stopped is not None:
            await stopped.asFuture(asyncio.get_running_loop())

    async def run_ticks(self) -> None:
        """Run the failure detector; contact the seeds while no other daemon is known."""
        ticks_per_second = round(1 / TICK_S)
        count = 0
        while True:
            self.node.dispatch(MembershipTick())
            if count % ticks_per_second == 0 and len(self.node.state.membership.members) == 1:
                self.ask_seeds()
            count += 1
            await asyncio.sleep(TICK_S)

    def ask_seeds(self) -> None:
        """Send a join datagram to every seed."""
        membership = self.node.state.membership
        for address in self.settings.seeds:
            join = make_datagram(membership, DatagramKind.JOIN, first=membership.own)
            self.protocol.send(address, join)

    def resolve_address(self, vm: str) -> Address | None:
        """Return the address of a VM, or None if it is unknown."""
        record = self.node.state.membership.members.get(vm)
        return None if record is None else record.address

    # from peers

    def accept_datagram(self, datagram: Datagram, address: Address) -> None:
        """Pass a membership datagram to the reducer."""
        self.node.dispatch(HeartbeatReceived(datagram, address))

    def accept_request(self, vm: str, request: Request) -> None:
        """Pass a request to the owner role."""
        self.node.dispatch(RequestArrived(request))

    def accept_peer_loss(self, vm: str) -> None:
        """Tell the owner role to roll back the transactions of a lost entry daemon."""
        self.node.dispatch(EntryLost(vm))

    def accept_message(self, vm: str, message: Any) -> None:
        """Pass a message to the handler of its type."""
        handler = self.message_handlers.get(type(message))
        if handler is None:
            self.transport.counters['unhandled_messages'] += 1
            return
        handler(vm, message)

    def accept_cancel(self, vm: str, cancel: CancelRequest) -> None:
        """Pass a cancelled request to the owner role."""
        self.node.dispatch(RequestCancelled(cancel.database, cancel.request_id))

    def accept_session_closed(self, vm: str, closed: SessionClosed) -> None:
        """Pass the end of a session to the owner role."""
        self.node.dispatch(closed)

    def accept_config_digest(self, vm: str, digest: ConfigDigest) -> None:
        """Pass the shard versions of a peer to the configuration role."""
        self.node.dispatch(VersionsReceived(vm, digest.versions, digest.wanted))

    def accept_config_shards(self, vm: str, shards: ConfigShards) -> None:
        """Pass the shards of a peer to the configuration role."""
        for shard in shards.shards:
            self.loops.apply_peer_shard(vm, shard)
