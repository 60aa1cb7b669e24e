"""Data of plans and of the configuration shards that they change.

Times are seconds since the epoch, because plans are shared by all VMs.
"""

import enum
from dataclasses import dataclass, field
from datetime import UTC, datetime
from typing import Any

from cassiaseam.configuration.model import DatabaseConfig

PLAN_LIFETIME_S = 900.0


class PlanState(enum.Enum):
    """Progress of a plan.

    `CONFIRMING` is stored before the shard is written, so that a plan cannot be cancelled
    while its shard update is under way.
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
        database: Database concerned.
        field: Name of the changed value.
        before: Text of the value now, or ''.
        after: Text of the value once the plan is in force, or ''.
        target: Target concerned, or ''.
        daemon: VM whose daemon changes its work, or ''.
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
        replica_share_before: Expected share, now, of the reads that accept an age and are
            served by replicas.
        replica_share_after: The same once the plan is in force.
        expected_gap_s: Expected time in seconds without writes.
    """

    connections_opened: int = 0
    connections_closed: int = 0
    replica_share_before: float = 0
    replica_share_after: float = 0
    expected_gap_s: float = 0


@dataclass(frozen=True, slots=True)
class Plan:
    """What an intent changes; takes effect when it is confirmed.

    Attributes:
        intent: The intent as JSON.
        database: Database that changes.
        shard: Number of the configuration shard.
        base_version: Version of the shard that the plan was made for.
        base_plan: Id of the plan that led to the base version, or ''.
        created_at: Time at which the plan was made.
        expires_at: Time from which the plan cannot be confirmed.
        after: Configuration of the database once in force; None removes it.
        changes: What changes, for people.
        costs: Estimated effects.
        risks: What may go wrong, for people.
        plan_id: Key of the plan, given when it is stored.
        operator: Team whose operator made the plan.
        state: Progress.
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
    """Mark in a shard of the plan that wrote it.

    Attributes:
        plan: Id of the plan.
        operator: Team that confirmed it.
        at: Time in ISO form, UTC.
        stamp: Clock stamp of the confirmation; daemons advance their clocks past it.
    """

    plan: str
    operator: str
    at: str
    stamp: tuple[int, int] = (0, 0)


@dataclass(frozen=True, slots=True)
class ShardState:
    """One configuration shard as it is stored now.

    Attributes:
        shard: Number of the shard.
        version: Version of the object; 0 when it does not exist.
        databases: Configuration per database.
        confirmed: Mark of the plan that wrote this version, or None.
        history: Plans that led to this version, newest first, down to the one that replaced
            the base version of the plan in question; may be incomplete.
    """

    shard: int
    version: int = 0
    databases: dict[str, DatabaseConfig] = field(default_factory=dict)
    confirmed: Confirmed | None = None
    history: tuple[Plan, ...] = ()


@dataclass(frozen=True, slots=True)
class ClusterView:
    """What a daemon knows of the cluster; used for estimates only.

    Attributes:
        members: Names of the VMs that are alive.
        owners: Owner VM per database.
        primaries: Primary per database.
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
    """Everything that planning looks at."""

    shard: ShardState
    cluster: ClusterView = field(default_factory=ClusterView)


def format_time(at: float) -> str:
    """Return a time in ISO form, UTC, with seconds."""
    return datetime.fromtimestamp(at, UTC).isoformat(timespec='seconds')
