"""Builds one daemon from its settings, starts and stops it."""

import asyncio
import random
import time
from dataclasses import dataclass, field

from absl import logging

from cassiaseam.configuration.model import DatabaseConfig, DatabaseConfigured
from cassiaseam.daemon import member_executors, request_executors, target_executors
from cassiaseam.daemon.membership_link import MembershipLink
from cassiaseam.daemon.node import Node
from cassiaseam.daemon.request_executors import LocalOwner, PeerRequests
from cassiaseam.daemon.target_service import TargetCredentials, TargetService
from cassiaseam.daemon.timers import TickTimer
from cassiaseam.entry.forwarding import Forwarder
from cassiaseam.entry.identity import CallerDirectory, CallerLogin
from cassiaseam.entry.listener import CallerListener, ListenerLimits
from cassiaseam.membership.messages import (
    LeaveRequested,
    ListedVm,
    MemberRecord,
    MemberStatus,
    VmListReceived,
)
from cassiaseam.membership.ranking import rank_owners
from cassiaseam.membership.state import create_membership
from cassiaseam.owner.drain import has_work_in_flight
from cassiaseam.owner.events import ShutdownStarted
from cassiaseam.peers.transport import PeerTransport
from cassiaseam.reducer import roles
from cassiaseam.reducer.node_state import NodeState
from cassiaseam.timeline.buffer import TimelineBuffer

SHUTDOWN_LIMIT_S = 30.0
SHUTDOWN_POLL_S = 0.02
MS_PER_S = 1000
Address = tuple[str, int]

# Importing these modules registers the handlers and executors.
REGISTERED = (roles, member_executors, request_executors, target_executors)


@dataclass(frozen=True, slots=True)
class RuntimeSettings:
    """What a daemon needs to run.

    Attributes:
        vm: Name of the VM.
        place: Place of the VM.
        callers: Address for callers; port 0 takes a free port.
        peers: Address for other daemons, for TCP and UDP; port 0 takes a free port.
        credentials: Login on targets.
        logins: Logins of callers.
        databases: Databases configured by the settings file.
        members: Other daemons known at the start.
        seeds: Peer addresses that are asked for their view at the start.
        advertise: IP number that other daemons use, or '' for that of `peers`.
        limits: Bounds of the listener.
        shutdown_limit_s: Seconds that work in flight may take after a stop was requested.
        timeline_records: Size of the time line buffer.
        log_level: Lowest level that is logged.
    """

    vm: str
    place: str
    callers: Address
    peers: Address
    credentials: TargetCredentials
    logins: tuple[CallerLogin, ...] = ()
    databases: tuple[DatabaseConfig, ...] = ()
    members: tuple[ListedVm, ...] = ()
    seeds: tuple[Address, ...] = ()
    advertise: str = ''
    limits: ListenerLimits = field(default_factory=ListenerLimits)
    shutdown_limit_s: float = SHUTDOWN_LIMIT_S
    timeline_records: int = 10000
    log_level: str = 'info'


class Runtime:
    """One daemon.

    Attributes:
        settings: Settings it was built from.
        node: State, clock and services.
        listener: Listener for callers.
        callers_port: Port of the callers' listener after the start.
        peers_port: Port for other daemons after the start.
    """

    def __init__(self, settings: RuntimeSettings, seed: int | None = None):
        self.settings = settings
        state = NodeState(settings.vm, settings.place, random.Random(seed))
        self.node = Node(state)
        self.callers_port = 0
        self.peers_port = 0
        self.incarnation = int(time.time() * MS_PER_S)
        self.membership = MembershipLink(self.node)
        self.transport = PeerTransport(settings.vm, self.incarnation, self.membership.find_address)
        self.targets = TargetService(state.database_configs, settings.credentials)
        self.local_owner = LocalOwner(self.node)
        self.timer = TickTimer(self.node, lambda: has_work_in_flight(state))
        self.forwarder = Forwarder(
            settings.vm, self.rank_owners, self.local_owner, self.node.clock, peers=self.transport
        )
        self.directory = CallerDirectory(settings.logins, state.database_configs)
        self.listener = CallerListener(self.forwarder, self.directory, settings.limits)
        self._register_services()

    def rank_owners(self, database: str) -> list[str]:
        """Return the VMs that may serve a database, best first."""
        state = self.node.state
        config = state.database_configs.get(database)
        if config is None:
            return []
        return rank_owners(state.membership, config, self.node.clock())

    async def start(self) -> None:
        """Open the sockets and take over the configured databases."""
        host, port = self.settings.peers
        self.peers_port = await self.transport.start(host, port)
        await self.membership.start(host, self.peers_port)
        own = MemberRecord(
            self.settings.vm,
            self.incarnation,
            MemberStatus.ALIVE,
            self.settings.place,
            self.settings.advertise or host,
            self.peers_port,
        )
        self.node.state.membership = create_membership(own, self.node.clock())
        self.node.dispatch(VmListReceived((_list_own(own), *self.settings.members)))
        self.membership.join(self.settings.seeds)
        for config in self.settings.databases:
            self.node.dispatch(DatabaseConfigured(config))
        self.timer.start()
        self.membership.start_timer()
        self.callers_port = await self.listener.start(*self.settings.callers)
        logging.info(
            'event=daemon_started vm=%s callers_port=%d peers_port=%d',
            self.settings.vm,
            self.callers_port,
            self.peers_port,
        )

    async def stop(self) -> bool:
        """Let what is in flight end within the limit, then close everything.

        Returns:
            Whether everything in flight ended in time.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + self.settings.shutdown_limit_s
        self.node.dispatch(LeaveRequested())
        self.node.dispatch(ShutdownStarted())
        finished = await self.listener.stop(self.settings.shutdown_limit_s)
        while has_work_in_flight(self.node.state) and loop.time() < end:
            await asyncio.sleep(SHUTDOWN_POLL_S)
        finished = finished and not has_work_in_flight(self.node.state)
        self.node.dispatch(LeaveRequested(done=True))
        self.timer.stop()
        await self.transport.stop()
        self.membership.stop()
        await self.targets.stop()
        logging.info('event=daemon_stopped vm=%s finished=%s', self.settings.vm, finished)
        return finished

    def _register_services(self) -> None:
        services = self.node.services
        services[TargetService] = self.targets
        services[PeerTransport] = self.transport
        services[TimelineBuffer] = TimelineBuffer(
            self.settings.vm,
            self.settings.place,
            str(self.incarnation),
            self.settings.timeline_records,
        )
        PeerRequests(self.node, self.transport)


def _list_own(own: MemberRecord) -> ListedVm:
    return ListedVm(own.vm, own.place, own.host, own.port)
