"""Configuration and targets as the pooler role uses them."""

import enum
from dataclasses import dataclass, field


class Consistency(enum.Enum):
    """Which commits a read on a route has to see."""

    PRIMARY = 'primary'
    BOUNDED_AGE = 'bounded_age'
    READ_YOUR_WRITES = 'read_your_writes'


@dataclass(frozen=True, slots=True)
class Route:
    """Rules for callers of one database.

    Attributes:
        name: Name of the route.
        database: Name that callers connect to.
        group: Database group that serves it.
        consistency: Which commits a read has to see.
        statement_timeout_s: Time limit of one statement in seconds.
        latency_objective_s: Time in seconds within which an operation is to be answered.
        max_age_s: Accepted age of data in seconds.
        priority: 0 is the most important.
    """

    name: str
    database: str
    group: str
    consistency: Consistency
    statement_timeout_s: float
    latency_objective_s: float
    max_age_s: float = 0
    priority: int = 0


@dataclass(frozen=True, slots=True)
class GroupLimits:
    """Limits of one database group.

    Attributes:
        max_connections: Connections that a target accepts from all VMs together.
        sync_replicas: Replicas that hold a commit before the primary reports it.
    """

    max_connections: int
    sync_replicas: int = 0


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """The configuration of the operators.

    Attributes:
        version: Only grows.
        routes: Route per database name.
        groups: Limits per database group.
        transaction_idle_s: Time in seconds after which an idle transaction may be ended.
    """

    version: int
    routes: dict[str, Route] = field(default_factory=dict)
    groups: dict[str, GroupLimits] = field(default_factory=dict)
    transaction_idle_s: float = 3.0


@dataclass(frozen=True, slots=True)
class TargetRecord:
    """What a target says of itself.

    Attributes:
        name: Unique id of the target.
        group: Database group that it belongs to.
        host: IP number.
        port: TCP port.
        place: Place of the target.
        slots: Statements that it runs at the same time.
        leaving: Whether it ends soon and takes no new work.
        is_primary: Whether it sees itself as the primary.
        incarnation: Changes with each start of the target.
        warming_s: Seconds for which it remains slow after its start.
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
