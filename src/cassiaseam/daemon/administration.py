"""Administration API of the daemon, with its checks and metrics of the entry role."""

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from cassiaseam.admin.service import AdminService
from cassiaseam.daemon.node import Node
from cassiaseam.observability.metrics import (
    MetricSpec,
    MetricsRegistry,
    MetricType,
    define_metrics,
)
from cassiaseam.settings.loader import Secrets
from cassiaseam.settings.model import Settings
from cassiaseam.timeline.buffer import TimelineBuffer

if TYPE_CHECKING:
    from cassiaseam.daemon.runtime import Runtime

SESSIONS = 'cassiaseam_entry_sessions'
IN_FLIGHT = 'cassiaseam_entry_requests_in_flight'
REQUESTS = 'cassiaseam_entry_requests_total'
ENTRY_METRICS = (
    MetricSpec(SESSIONS, 'Connected callers', MetricType.GAUGE),
    MetricSpec(IN_FLIGHT, 'Requests without an answer', MetricType.GAUGE),
    MetricSpec(
        REQUESTS,
        'Requests by kind and outcome (`replica`, `primary` or the kind of the error)',
        MetricType.COUNTER,
        ('kind', 'outcome'),
    ),
)


@dataclass(frozen=True, slots=True)
class AdministrationSettings:
    """What the administration API needs.

    Attributes:
        settings: Settings of the daemon.
        secrets: Contents of the secret files.
    """

    settings: Settings
    secrets: Secrets


class EntryCollector:
    """Sets the metrics of the entry role before they are read.

    Attributes:
        runtime: The daemon.
        reported: Requests counted so far, by kind and outcome.
    """

    def __init__(self, runtime: 'Runtime'):
        self.runtime = runtime
        self.reported: Counter[tuple[str, str]] = Counter()

    def collect(self, _node: Node, metrics: MetricsRegistry) -> None:
        """Set gauges and add what was counted since the last time."""
        forwarder = self.runtime.forwarder
        metrics.set_gauge(SESSIONS, len(self.runtime.listener.connections))
        metrics.set_gauge(IN_FLIGHT, forwarder.total_in_flight)
        for labels, count in forwarder.outcomes.items():
            added = count - self.reported[labels]
            if added:
                metrics.add_to_counter(REQUESTS, added, kind=labels[0], outcome=labels[1])
        self.reported = Counter(forwarder.outcomes)


def build_admin_service(
    runtime: 'Runtime', given: AdministrationSettings, reactor: Any
) -> AdminService:
    """Return the administration API of a daemon."""
    node = runtime.node
    service = AdminService(
        node,
        given.settings,
        given.secrets,
        runtime.peers.client,
        node.services[TimelineBuffer],
        lambda: runtime.peers.loops.listed if runtime.peers.loops else (),
        reactor,
    )
    backend = service.backend
    define_metrics(backend.metrics, ENTRY_METRICS)
    backend.collectors.append(EntryCollector(runtime).collect)
    backend.readiness['callers'] = lambda _node, _now: runtime.find_unready_reason()
    return service
