"""Gauges that are computed from the state of a node whenever metrics are rendered."""

from cassiaseam.daemon.node import Node
from cassiaseam.membership.messages import MemberStatus
from cassiaseam.observability.metrics import (
    MetricSpec,
    MetricsRegistry,
    MetricType,
    define_metrics,
)

OWNED = 'cassiaseam_owned_databases'
PRIMARY_KNOWN = 'cassiaseam_database_has_primary'
TERM = 'cassiaseam_database_term'
FAILOVER_GAP = 'cassiaseam_last_failover_gap_seconds'
TARGET_AGE = 'cassiaseam_target_age_seconds'
MEMBERS = 'cassiaseam_members'
CONFIGURED = 'cassiaseam_configured_databases'
NEWEST_SHARD = 'cassiaseam_newest_configuration_version'

_DATABASE = ('database',)
NODE_METRICS = (
    MetricSpec(OWNED, 'Databases that this daemon owns.', MetricType.GAUGE),
    MetricSpec(PRIMARY_KNOWN, '1 when a primary is in charge.', MetricType.GAUGE, _DATABASE),
    MetricSpec(TERM, 'Term of the primary in charge.', MetricType.GAUGE, _DATABASE),
    MetricSpec(
        FAILOVER_GAP, 'Length of the latest gap without writes.', MetricType.GAUGE, _DATABASE
    ),
    MetricSpec(
        TARGET_AGE,
        'Age of the applied data of a target.',
        MetricType.GAUGE,
        ('database', 'target'),
    ),
    MetricSpec(MEMBERS, 'VMs by status in this view.', MetricType.GAUGE, ('status',)),
    MetricSpec(CONFIGURED, 'Databases in the configuration in force.', MetricType.GAUGE),
    MetricSpec(NEWEST_SHARD, 'Highest version of a shard in force.', MetricType.GAUGE),
)


def define_node_metrics(registry: MetricsRegistry) -> None:
    """Define the gauges of this module in a registry."""
    define_metrics(registry, NODE_METRICS)


def collect_node_metrics(node: Node, registry: MetricsRegistry) -> None:
    """Update all gauges; removes label sets of databases that the daemon no longer owns."""
    for spec in NODE_METRICS:
        registry.reset_gauge(spec.name)
    _collect_groups(node, registry)
    configuration = node.state.configuration
    if configuration is not None:
        registry.set_gauge(CONFIGURED, len(configuration.databases))
        registry.set_gauge(NEWEST_SHARD, max(configuration.list_versions()))
    membership = node.state.membership
    records = membership.members.values() if membership else ()
    statuses = [record.status for record in records]
    for status in MemberStatus:
        registry.set_gauge(MEMBERS, statuses.count(status), status=status.name.lower())


def _collect_groups(node: Node, registry: MetricsRegistry) -> None:
    now = node.clock()
    registry.set_gauge(OWNED, len(node.state.groups))
    for database, group in node.state.groups.items():
        registry.set_gauge(PRIMARY_KNOWN, int(bool(group.primary)), database=database)
        registry.set_gauge(TERM, group.term, database=database)
        if group.last_failover_gap_s is not None:
            registry.set_gauge(FAILOVER_GAP, group.last_failover_gap_s, database=database)
        for target, view in group.targets.items():
            if view.fresh_as_of is not None:
                age_s = max(0, now - view.fresh_as_of)
                registry.set_gauge(TARGET_AGE, age_s, database=database, target=target)
