"""Builds the administration API of one daemon from its settings."""

import asyncio
import time
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

from cassiaseam.admin.access import AccessTable
from cassiaseam.admin.api import AdminApi
from cassiaseam.admin.backend import NodeBackend
from cassiaseam.admin.cluster import build_cluster_view, list_admin_addresses
from cassiaseam.admin.fanout import DaemonClient
from cassiaseam.admin.server import listen_for_administration
from cassiaseam.daemon.node import Node
from cassiaseam.objectstore.model import VmDocument
from cassiaseam.observability.metrics import MetricsRegistry
from cassiaseam.observability.node_metrics import collect_node_metrics, define_node_metrics
from cassiaseam.plans.conditional_write import ObjectStore
from cassiaseam.plans.store import PlanStore
from cassiaseam.settings.loader import Secrets, build_database_configs
from cassiaseam.settings.model import Settings
from cassiaseam.timeline.buffer import TimelineBuffer


class AdminService:
    """Administration API of one daemon, with its server.

    Attributes:
        settings: Settings of the daemon.
        backend: Interface of the daemon; providers may be added before and after `start`.
        daemon_client: Client for other daemons.
        api: Routes.
        port: Listening port, or None while not listening.
    """

    def __init__(
        self,
        node: Node,
        settings: Settings,
        secrets: Secrets,
        store: ObjectStore,
        timeline: TimelineBuffer,
        list_vms: Callable[[], Iterable[VmDocument]],
        reactor: Any,
    ):
        self.settings = settings
        self.reactor = reactor
        plans = PlanStore(
            store,
            partial(build_cluster_view, node, settings.latency),
            static=build_database_configs(settings),
            record=lambda entry: timeline.append_record(entry, time.time()),
        )
        self.backend = NodeBackend(
            node,
            plans,
            timeline,
            MetricsRegistry(),
            lambda: list_admin_addresses(node, list_vms()),
        )
        define_node_metrics(self.backend.metrics)
        self.backend.collectors.append(collect_node_metrics)
        access = AccessTable(settings.tokens, secrets.tokens)
        self.daemon_client = self.build_asker()
        self.api = AdminApi(self.backend, access, self.daemon_client)
        self.port: Any = None

    def build_asker(self) -> DaemonClient:
        """Return the client for other daemons; verifies their certificates if TLS is enabled."""
        tls = self.settings.tls.admin
        authority = tls.authority_file if tls else None
        authority_pem = authority.read_bytes() if authority else None
        return DaemonClient(self.reactor, authority_pem, uses_tls=tls is not None)

    async def start(self) -> int:
        """Start listening and return the port; raises `OSError` if the address is in use."""
        listening = listen_for_administration(
            self.api, self.settings.listen.admin, self.reactor, self.settings.tls.admin
        )
        self.port = await listening.asFuture(asyncio.get_running_loop())
        return self.port.getHost().port

    async def stop(self) -> None:
        """Stop listening; requests in flight still complete."""
        port, self.port = self.port, None
        stopping = port.stopListening() if port else None
        if stopping is not None:
            await stopping.asFuture(asyncio.get_running_loop())
        await self.daemon_client.close()
