"""Metrics of the roles, collected from their counters when metrics are rendered."""

from collections import Counter
from typing import TYPE_CHECKING

from cassiaseam.daemon.node import Node
from cassiaseam.observability.metrics import (
    MetricSpec,
    MetricsRegistry,
    MetricType,
    define_metrics,
)
from cassiaseam.owner.description import DatabaseSummary, describe_database

if TYPE_CHECKING:
    from cassiaseam.daemon.runtime import Runtime

SESSIONS = 'cassiaseam_entry_sessions'
IN_FLIGHT = 'cassiaseam_entry_requests_in_flight'
REQUESTS = 'cassiaseam_entry_requests_total'
READS = 'cassiaseam_owner_reads_total'
FAILOVERS = 'cassiaseam_failovers_total'
RETRIES = 'cassiaseam_retries_total'
PLATFORM_CALLS = 'cassiaseam_platform_calls_total'
REFUSED_STAMPS = 'cassiaseam_refused_stamps_total'
SILENT_PEERS = 'cassiaseam_silent_peers_total'
QUEUE = 'cassiaseam_owner_queue_length'
CONNECTIONS = 'cassiaseam_target_connections'
RUNNING = 'cassiaseam_target_running_statements'
PLATFORM_OUTCOMES = ('calls', 'failures', 'timeouts', 'refused', 'read_backs')

_COUNTER = MetricType.COUNTER
_GAUGE = MetricType.GAUGE
_DATABASE_GAUGES = (
    MetricSpec(QUEUE, 'Requests that wait.', _GAUGE, ('database', 'queue')),
    MetricSpec(CONNECTIONS, 'Connections open to a target.', _GAUGE, ('database', 'target')),
    MetricSpec(RUNNING, 'Statements under way on a target.', _GAUGE, ('database', 'target')),
)
ROLE_METRICS = (
    MetricSpec(SESSIONS, 'Connected callers', _GAUGE),
    MetricSpec(IN_FLIGHT, 'Requests without an answer', _GAUGE),
    MetricSpec(
        REQUESTS,
        'Requests by kind and outcome (`replica`, `primary` or the kind of the error)',
        _COUNTER,
        ('kind', 'outcome'),
    ),
    MetricSpec(READS, 'Reads answered, by role of the target.', _COUNTER, ('database', 'role')),
    MetricSpec(FAILOVERS, 'Changes of primary seen by the owner.', _COUNTER, ('database',)),
    MetricSpec(RETRIES, 'Requests sent again, by role.', _COUNTER, ('role',)),
    MetricSpec(PLATFORM_CALLS, 'Calls of the platform by event.', _COUNTER, ('event',)),
    MetricSpec(REFUSED_STAMPS, 'Clock stamps of peers too far ahead.', _COUNTER),
    MetricSpec(SILENT_PEERS, 'Links closed because the peer was silent.', _COUNTER),
    *_DATABASE_GAUGES,
)
Labels = tuple[tuple[str, str], ...]


class RoleCollector:
    """Updates the metrics of the roles before metrics are rendered.

    Attributes:
        runtime: The daemon.
        last_counts: Value of every counter at the last collection, by metric and labels.
    """

    def __init__(self, runtime: 'Runtime'):
        self.runtime = runtime
        self.last_counts: Counter[tuple[str, Labels]] = Counter()

    def collect(self, node: Node, metrics: MetricsRegistry) -> None:
        """Set the gauges and add the increase of the counters since the last collection."""
        self.collect_entry(metrics)
        for spec in _DATABASE_GAUGES:
            metrics.reset_gauge(spec.name)
        now = node.clock()
        owner_retries = 0
        for name, state in node.state.databases.items():
            self.collect_database(metrics, name, describe_database(state, now))
            replica_reads = state.replica_reads_served
            primary_reads = state.reads_served - replica_reads
            self.add_increase(metrics, READS, replica_reads, database=name, role='replica')
            self.add_increase(metrics, READS, primary_reads, database=name, role='primary')
            owner_retries += state.retry_budget.retries
        self.add_increase(metrics, RETRIES, owner_retries, role='owner')
        for name, group in node.state.groups.items():
            self.add_increase(metrics, FAILOVERS, group.failovers, database=name)

    def collect_entry(self, metrics: MetricsRegistry) -> None:
        """Update the metrics of callers, peers and platform."""
        runtime = self.runtime
        forwarder = runtime.forwarder
        metrics.set_gauge(SESSIONS, len(runtime.listener.connections))
        metrics.set_gauge(IN_FLIGHT, forwarder.total_in_flight)
        for (kind, outcome), count in forwarder.outcomes.items():
            self.add_increase(metrics, REQUESTS, count, kind=kind, outcome=outcome)
        self.add_increase(metrics, RETRIES, forwarder.retries, role='entry')
        for event in PLATFORM_OUTCOMES:
            self.add_increase(
                metrics, PLATFORM_CALLS, runtime.peers.client.counters[event], event=event
            )
        refused = runtime.peers.stamps.counters['refused_stamps']
        self.add_increase(metrics, REFUSED_STAMPS, refused)
        silent = runtime.peers.transport.counters['frozen_peers']
        self.add_increase(metrics, SILENT_PEERS, silent)

    def collect_database(
        self, metrics: MetricsRegistry, name: str, summary: DatabaseSummary
    ) -> None:
        """Set the gauges of one owned database."""
        queues = {
            'reads': summary.reads_waiting,
            'reads_parked': summary.reads_parked,
            'writes': summary.writes_waiting,
            'committing': summary.committing,
        }
        for queue, length in queues.items():
            metrics.set_gauge(QUEUE, length, database=name, queue=queue)
        for target, use in summary.targets.items():
            metrics.set_gauge(CONNECTIONS, use.connections, database=name, target=target)
            metrics.set_gauge(RUNNING, use.running, database=name, target=target)

    def add_increase(self, metrics: MetricsRegistry, name: str, count: int, **labels: str) -> None:
        """Add the increase of a counter; a lower count means that its state was recreated."""
        key = (name, tuple(sorted(labels.items())))
        last_count = self.last_counts[key]
        increase = count if count < last_count else count - last_count
        self.last_counts[key] = count
        metrics.add_to_counter(name, increase, **labels)


def add_role_metrics(runtime: 'Runtime', metrics: MetricsRegistry) -> RoleCollector:
    """Define the metrics of the roles and return their collector."""
    define_metrics(metrics, ROLE_METRICS)
    return RoleCollector(runtime)
