"""Data model of plans and of the configuration shards that they change.

Times are seconds since the epoch, because all VMs share the plans.
"""

import enum
from dataclasses import dataclass, field
from datetime import UTC, datetime
from typing import Any

from cassiaseam.configuration.model import DatabaseConfig

PLAN_LIFETIME_S = 900.0


class PlanState(enum.Enum):
    """Lifecycle state of a plan.

    `CONFIRMING` is stored before the shard is written, so that a plan cannot be cancelled
    while its shard update is in flight.
    """

    PENDING = 'pending'
    CONFIRMING = 'confirming'
    CONFIRMED = 'confirmed'
    REFUSED = 'refused'
    CANCELLED = 'cancelled'
    EXPIRED = 'expired'


@dataclass(frozen=True, slots=True)
class PlanChange:
    """One value that a plan changes.

    Attributes:
        database: Affected database.
        field: Name of the changed value.
        before: Text of the current value, or ''.
        after: Text of the value once the plan is in force, or ''.
        target: Affected target, or ''.
        daemon: VM whose daemon is affected, or ''.
    """

    database: str
    field: str
    before: str
    after: str
    target: str = ''
    daemon: str = ''


@dataclass(frozen=True, slots=True)
class PlanCosts:
    """Estimated effects of a plan.

    Attributes:
        connections_opened: Connections to targets that daemons may open.
        connections_closed: Connections to targets that daemons close.
        replica_share_before: Share of bounded-staleness reads that replicas are expected to
            serve now.
        replica_share_after: The same share once the plan is in force.
        expected_gap_s: Expected write outage in seconds.
    """

    connections_opened: int = 0
    connections_closed: int = 0
    replica_share_before: float = 0
    replica_share_after: float = 0
    expected_gap_s: float = 0


@dataclass(frozen=True, slots=True)
class Plan:
    """Configuration change for an intent; takes effect when it is confirmed.

    Attributes:
        intent: The intent as JSON.
        database: Affected database.
        shard: Number of the configuration shard.
        base_version: Version of the shard that the plan is based on.
        base_plan: ID of the plan that led to the base version, or ''.
        created_at: Creation time.
        expires_at: Time from which the plan can no longer be confirmed.
        after: Configuration of the database once in force; None removes it.
        changes: Human-readable changes.
        costs: Estimated effects.
        risks: Human-readable risks.
        plan_id: ID of the plan, assigned when it is stored.
        operator: Team whose operator made the plan.
        state: Lifecycle state.
        decided_by: Team that confirmed or cancelled the plan, or ''.
        decided_at: Time of that decision, or 0.
        reason: Why the plan was refused, or ''.
        shard_version: Version of the shard with the change, or 0.
    """

    intent: dict[str, Any]
    database: str
    shard: int
    base_version: int
    base_plan: str
    created_at: float
    expires_at: float
    after: DatabaseConfig | None
    changes: tuple[PlanChange, ...]
    costs: PlanCosts = field(default_factory=PlanCosts)
    risks: tuple[str, ...] = ()
    plan_id: str = ''
    operator: str = ''
    state: PlanState = PlanState.PENDING
    decided_by: str = ''
    decided_at: float = 0
    reason: str = ''
    shard_version: int = 0


@dataclass(frozen=True, slots=True)
class Confirmed:
    """Record in a shard of the plan that wrote it.

    Attributes:
        plan: ID of the plan.
        operator: Team that confirmed it.
        at: ISO 8601 time in UTC.
        stamp: Hybrid clock timestamp of the confirmation; daemons advance their clocks past it.
    """

    plan: str
    operator: str
    at: str
    stamp: tuple[int, int] = (0, 0)


@dataclass(frozen=True, slots=True)
class ShardState:
    """Current stored state of one configuration shard.

    Attributes:
        shard: Number of the shard.
        version: Version of the object; 0 if it does not exist.
        databases: Configuration by database.
        confirmed: Plan that wrote this version, or None.
        history: Plans that led to this version, newest first, back to the one that replaced
            the base version of the plan being decided; may be incomplete.
    """

    shard: int
    version: int = 0
    databases: dict[str, DatabaseConfig] = field(default_factory=dict)
    confirmed: Confirmed | None = None
    history: tuple[Plan, ...] = ()


@dataclass(frozen=True, slots=True)
class ClusterView:
    """State of the cluster as seen by one daemon; used for estimates only.

    Attributes:
        members: Names of the VMs that are alive.
        owners: Owner VM by database.
        primaries: Primary by database.
        between_places_s: One-way latency in seconds between places.
        between_regions_s: One-way latency in seconds between regions.
        connection_open_s: Time in seconds to open a connection to a target.
    """

    members: frozenset[str] = frozenset()
    owners: dict[str, str] = field(default_factory=dict)
    primaries: dict[str, str] = field(default_factory=dict)
    between_places_s: float = 0.0015
    between_regions_s: float = 0.008
    connection_open_s: float = 0.012


@dataclass(frozen=True, slots=True)
class PlanView:
    """Input of planning: the shard of the database and the state of the cluster."""

    shard: ShardState
    cluster: ClusterView = field(default_factory=ClusterView)


def format_time(at: float) -> str:
    """Format a time as ISO 8601 in UTC, to the second."""
    return datetime.fromtimestamp(at, UTC).isoformat(timespec='seconds')
