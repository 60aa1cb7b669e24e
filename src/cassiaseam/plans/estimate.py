"""Estimates of what a change of a database costs."""

from cassiaseam.configuration.model import DatabaseConfig, TargetConfig, TargetState
from cassiaseam.plans.model import ClusterView

# An owner uses half of the connections of each target (docs/design.md, decision 2).
OWNER_SHARE = 2
# Planned promotion: last entries reach the replica, then fence and promote, one round trip each.
PROMOTION_REGION_LEGS = 5
# A change of owner: opening the first connection and one status poll, one round trip each.
OWNER_REGION_LEGS = 4
CLAIM_PLACE_LEGS = 2


def list_active_targets(config: DatabaseConfig | None) -> list[TargetConfig]:
    """Return the targets that receive work."""
    if config is None:
        return []
    return [target for target in config.targets if target.state is TargetState.ACTIVE]


def count_owner_connections(config: DatabaseConfig | None) -> int:
    """Return the connections that an owner may hold to all active targets."""
    active = list_active_targets(config)
    return sum(max(1, target.connections // OWNER_SHARE) for target in active)


def estimate_replica_share(config: DatabaseConfig | None, primary: str) -> float:
    """Return the expected share on replicas of the reads that accept an age.

    Replicas come before the primary for such reads, so the share is 1 as long as a service
    accepts an age and at least one replica is active.

    Args:
        config: Configuration, or None for a database that does not exist.
        primary: Name of the primary, or '' when unknown.
    """
    if config is None or not config.max_age_s:
        return 0
    active = [target.name for target in list_active_targets(config)]
    replicas = len(active) - (primary in active or not primary)
    return float(replicas > 0)


def estimate_promotion_gap_s(cluster: ClusterView) -> float:
    """Return the expected time in seconds without writes of a planned promotion."""
    claim = CLAIM_PLACE_LEGS * cluster.between_places_s
    return claim + PROMOTION_REGION_LEGS * cluster.between_regions_s


def estimate_owner_gap_s(cluster: ClusterView) -> float:
    """Return the expected time in seconds without writes of a change of owner."""
    return cluster.connection_open_s + OWNER_REGION_LEGS * cluster.between_regions_s
