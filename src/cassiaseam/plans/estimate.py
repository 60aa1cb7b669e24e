"""Cost estimates for configuration changes."""

from cassiaseam.configuration.model import DatabaseConfig, TargetConfig, TargetState
from cassiaseam.plans.model import ClusterView

# An owner may use half of the connections of each target (docs/design.md, decision 2).
OWNER_CONNECTION_DIVISOR = 2
# One-way latencies between regions in a planned promotion: the last log entries reach the
# replica (1), then fence and promote (2 each).
PROMOTION_REGION_LATENCIES = 5
# One-way latencies between regions in a change of owner: first connection and status poll (2
# each).
OWNER_REGION_LATENCIES = 4
CLAIM_PLACE_LATENCIES = 2


def list_active_targets(config: DatabaseConfig | None) -> list[TargetConfig]:
    """Return the targets that accept new work."""
    if config is None:
        return []
    return [target for target in config.targets if target.state is TargetState.ACTIVE]


def count_owner_connections(config: DatabaseConfig | None) -> int:
    """Return the maximum number of connections of an owner to all active targets."""
    active = list_active_targets(config)
    return sum(max(1, target.connections // OWNER_CONNECTION_DIVISOR) for target in active)


def estimate_replica_share(config: DatabaseConfig | None, primary: str) -> float:
    """Return the expected share of bounded-staleness reads that replicas serve.

    Such reads prefer replicas over the primary, so the share is 1 if a service accepts stale data
    and at least one replica is active.

    Args:
        config: Configuration, or None for a database that does not exist.
        primary: Name of the primary, or '' if unknown.
    """
    if config is None or not config.max_age_s:
        return 0
    active = [target.name for target in list_active_targets(config)]
    replicas = len(active) - (primary in active or not primary)
    return float(replicas > 0)


def estimate_promotion_gap_s(cluster: ClusterView) -> float:
    """Return the expected write outage of a planned promotion in seconds."""
    claim = CLAIM_PLACE_LATENCIES * cluster.between_places_s
    return claim + PROMOTION_REGION_LATENCIES * cluster.between_regions_s


def estimate_owner_gap_s(cluster: ClusterView) -> float:
    """Return the expected write outage of a change of owner in seconds."""
    return cluster.connection_open_s + OWNER_REGION_LATENCIES * cluster.between_regions_s
