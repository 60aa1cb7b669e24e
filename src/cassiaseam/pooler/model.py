"""Configuration and target records of the pooler role."""

import enum
from dataclasses import dataclass, field

from cassiaseam.pooler.accounts.directory import AccountDirectory


class Consistency(enum.Enum):
    """Read consistency of a route."""

    PRIMARY = 'primary'
    BOUNDED_AGE = 'bounded_age'
    READ_YOUR_WRITES = 'read_your_writes'


@dataclass(frozen=True, slots=True)
class Route:
    """Routing rule of one database.

    Attributes:
        name: Name of the route.
        database: Database name that callers connect to.
        group: Database group that serves the route.
        consistency: Read consistency.
        statement_timeout_s: Timeout of one statement in seconds.
        latency_objective_s: Latency objective of an operation in seconds.
        max_age_s: Maximum accepted staleness of data in seconds.
        priority: Priority; 0 is the highest.
        allows_anonymous: Whether callers need no key.
    """

    name: str
    database: str
    group: str
    consistency: Consistency
    statement_timeout_s: float
    latency_objective_s: float
    max_age_s: float = 0
    priority: int = 0
    allows_anonymous: bool = False


@dataclass(frozen=True, slots=True)
class GroupLimits:
    """Limits of one database group.

    Attributes:
        max_connections: Connection limit of a target, shared by all VMs.
        sync_replicas: Replicas that hold a commit before the primary acknowledges it.
    """

    max_connections: int
    sync_replicas: int = 0


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """Configuration set by the operators.

    Attributes:
        version: Monotonically increasing version.
        routes: Route per database name.
        groups: Limits per database group.
        transaction_idle_s: Idle timeout of a transaction in seconds.
        accounts: Client accounts, or None for a deployment without accounts.
    """

    version: int
    routes: dict[str, Route] = field(default_factory=dict)
    groups: dict[str, GroupLimits] = field(default_factory=dict)
    transaction_idle_s: float = 3.0
    accounts: AccountDirectory | None = None


@dataclass(frozen=True, slots=True)
class TargetRecord:
    """Record that a target publishes about itself.

    Attributes:
        name: Unique id of the target.
        group: Database group that it belongs to.
        host: IP address.
        port: TCP port.
        place: Place of the target.
        slots: Statements that it runs concurrently.
        leaving: Whether it shuts down soon and takes no new work.
        is_primary: Whether it considers itself the primary.
        incarnation: Id that changes with each start of the target.
        warming_s: Warm-up time in seconds after its start, during which it is slow.
    """

    name: str
    group: str
    host: str
    port: int
    place: str
    slots: int
    leaving: bool
    is_primary: bool
    incarnation: str
    warming_s: float = 0
