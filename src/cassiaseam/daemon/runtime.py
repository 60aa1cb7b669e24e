"""Builds, starts and stops one daemon."""

import asyncio
import random
from dataclasses import dataclass, field
from typing import Any

from absl import logging

from cassiaseam.admin.service import AdminService
from cassiaseam.configuration.model import DatabaseConfig
from cassiaseam.daemon import target_executors, timeline_executors
from cassiaseam.daemon.administration import AdministrationSettings, build_admin_service
from cassiaseam.daemon.local_owner import LocalOwner
from cassiaseam.daemon.node import Node
from cassiaseam.daemon.static_databases import StaticDatabases
from cassiaseam.daemon.target_service import TargetCredentials, TargetService
from cassiaseam.daemon.timeline_records import record_refusal_bursts
from cassiaseam.daemon.timers import TickTimer
from cassiaseam.daemon.tls_contexts import PeerCertificates
from cassiaseam.entry.forwarding import Forwarder
from cassiaseam.entry.identity import CallerDirectory, CallerLogin
from cassiaseam.entry.listener import CallerListener, ListenerLimits
from cassiaseam.membership.ranking import rank_owners
from cassiaseam.owner.drain import has_requests_in_flight
from cassiaseam.owner.events import ShutdownStarted
from cassiaseam.peers.services import PeerServices, PeerSettings
from cassiaseam.reducer import roles
from cassiaseam.reducer.node_state import NodeState
from cassiaseam.timeline.buffer import TimelineBuffer

SHUTDOWN_TIMEOUT_S = 30.0
SHUTDOWN_POLL_INTERVAL_S = 0.02
MEMBERSHIP_POLL_INTERVAL_S = 0.02
Address = tuple[str, int]

# Importing these modules registers their handlers and executors.
REGISTERED = (roles, target_executors, timeline_executors)


@dataclass(frozen=True, slots=True)
class RuntimeSettings:
    """Settings of a running daemon.

    Attributes:
        callers: Address for callers; port 0 selects a free port.
        peers: Identity in the cluster, addresses of peers and platform.
        credentials: Login on targets.
        logins: Logins of callers.
        databases: Databases served while the platform holds no configuration.
        limits: Limits of the listener.
        shutdown_timeout_s: Seconds for work in flight to finish after a stop request.
        timeline_records: Capacity of the timeline buffer.
        peer_certificates: Certificates for connections between daemons, reloaded when their
            files change, or None.
        administration: Settings of the administration API, or None to disable it.
    """

    callers: Address
    peers: PeerSettings
    credentials: TargetCredentials
    logins: tuple[CallerLogin, ...] = ()
    databases: tuple[DatabaseConfig, ...] = ()
    limits: ListenerLimits = field(default_factory=ListenerLimits)
    shutdown_timeout_s: float = SHUTDOWN_TIMEOUT_S
    timeline_records: int = 10000
    peer_certificates: PeerCertificates | None = None
    administration: AdministrationSettings | None = None


class Runtime:
    """One daemon.

    Attributes:
        settings: Settings of the daemon.
        node: State, clock and services.
        peers: Transport, membership and platform.
        listener: Listener for callers.
        callers_port: Port of the callers' listener after the start.
        admin_port: Port of the administration API after the start, or 0.
        stopping: Whether the daemon is shutting down.
    """

    def __init__(self, settings: RuntimeSettings, reactor: Any, seed: int | None = None):
        self.settings = settings
        vm = settings.peers.vm
        state = NodeState(vm, settings.peers.place, random.Random(seed))
        self.node = Node(state)
        self.callers_port = 0
        self.admin_port = 0
        self.stopping = False
        self.peers = PeerServices(self.node, settings.peers, reactor)
        self.static_databases = StaticDatabases(self.node, self.peers.client, settings.databases)
        self.targets = TargetService(state.database_configs, settings.credentials)
        self.timer = TickTimer(self.node, lambda: has_requests_in_flight(state))
        transport = self.peers.transport
        local = LocalOwner(self.node, transport)
        self.forwarder = Forwarder(vm, self.rank_owners, local, self.node.clock, peers=transport)
        self.directory = CallerDirectory(settings.logins, state.database_configs)
        self.listener = CallerListener(self.forwarder, self.directory, settings.limits)
        self.node.services[TargetService] = self.targets
        self.node.services[TimelineBuffer] = TimelineBuffer(
            vm,
            settings.peers.place,
            str(self.peers.incarnation),
            settings.timeline_records,
            self.peers.stamps.clock,
        )
        self.admin: AdminService | None = None
        if settings.administration is not None:
            self.admin = build_admin_service(self, settings.administration, reactor)

    def rank_owners(self, database: str) -> list[str]:
        """Return the VMs that may own a database, preferred first."""
        state = self.node.state
        config = state.database_configs.get(database)
        if config is None:
            return []
        return rank_owners(state.membership, config, self.node.clock())

    def find_unready_reason(self) -> str:
        """Return why the daemon is not ready for callers, or '' when it is ready."""
        if self.stopping:
            return 'shutting down'
        return '' if self.callers_port else 'starting'

    async def start(self) -> None:
        """Open the sockets and configure the databases."""
        peers_port = await self.peers.start()
        self.timer.start()
        await self.static_databases.start()
        self.peers.loops.start_task(self.static_databases.remove_when_superseded())
        self.targets.run_in_background(self.targets.close_idle_channels())
        self.peers.loops.start_task(record_refusal_bursts(self.node, self.forwarder.refusals))
        if self.settings.peer_certificates is not None:
            self.peers.loops.start_task(self.settings.peer_certificates.watch_files())
        if self.admin is not None:
            self.admin_port = await self.admin.start()
        await self.wait_until_membership_is_ready()
        self.callers_port = await self.listener.start(*self.settings.callers)
        logging.info(
            'event=daemon_started vm=%s callers_port=%d peers_port=%d admin_port=%d',
            self.node.state.vm,
            self.callers_port,
            peers_port,
            self.admin_port,
        )

    async def wait_until_membership_is_ready(self) -> None:
        """Wait until owners can be ranked.

        Callers that connect earlier would be told that no daemon serves their database. The wait
        ends at the latest when membership assumes that this daemon is alone.
        """
        while not self.node.state.membership.is_ready:
            await asyncio.sleep(MEMBERSHIP_POLL_INTERVAL_S)

    async def stop(self) -> bool:
        """Wait for work in flight up to the shutdown timeout, then close everything.

        Returns:
            Whether all work in flight finished in time.
        """
        self.stopping = True
        loop = asyncio.get_running_loop()
        timeout_s = self.settings.shutdown_timeout_s
        deadline = loop.time() + timeout_s
        await self.peers.announce_leaving()
        self.node.dispatch(ShutdownStarted())
        finished = await self.listener.stop(timeout_s)
        while has_requests_in_flight(self.node.state) and loop.time() < deadline:
            await asyncio.sleep(SHUTDOWN_POLL_INTERVAL_S)
        finished = finished and not has_requests_in_flight(self.node.state)
        self.timer.stop()
        if self.admin is not None:
            await self.admin.stop()
        await self.peers.stop()
        await self.targets.stop()
        logging.info('event=daemon_stopped vm=%s finished=%s', self.node.state.vm, finished)
        return finished
