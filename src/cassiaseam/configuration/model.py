"""Configuration of one database as the roles use it."""

import enum
from dataclasses import dataclass, field


class TargetState(enum.Enum):
    """Target state requested by operators."""

    ACTIVE = 'active'
    DRAINING = 'draining'


@dataclass(frozen=True, slots=True)
class TargetConfig:
    """One target of a database group.

    Attributes:
        name: Unique within the database.
        host: IP address.
        port: TCP port of the MySQL protocol.
        place: Place of the target.
        slots: Maximum number of concurrent statements.
        connections: Maximum number of connections from all daemons together.
        state: State requested by operators.
    """

    name: str
    host: str
    port: int
    place: str
    slots: int = 5
    connections: int = 75
    state: TargetState = TargetState.ACTIVE


@dataclass(frozen=True, slots=True)
class DatabaseConfig:
    """One database group.

    Attributes:
        name: Name that callers use.
        targets: All instances of the group.
        max_age_s: Accepted data age in seconds per service (login name of the caller); '*' is the
            default.
        queue_limit: Maximum number of queued requests, for reads and for writes each.
        drain_limit_s: Seconds after which open transactions on a draining target are aborted.
        owner: VM that operators chose as owner, or '' for the ranked one.
        granted: Login names that may use the database; empty means all.
        version: Version of the shard that contains this configuration.
        queue_discipline: Order in which queued requests start; only the settings file sets it.
    """

    name: str
    targets: tuple[TargetConfig, ...]
    max_age_s: dict[str, float] = field(default_factory=dict)
    queue_limit: int = 256
    drain_limit_s: float = 30.0
    owner: str = ''
    granted: tuple[str, ...] = ()
    version: int = 0
    queue_discipline: str = 'separate'

    def find_accepted_age(self, caller: str) -> float | None:
        """Return the accepted data age in seconds that operators set for a service, or None."""
        return self.max_age_s.get(caller, self.max_age_s.get('*'))


@dataclass(frozen=True, slots=True)
class DatabaseConfigured:
    """Event: a configuration of a database became active on this daemon."""

    config: DatabaseConfig


@dataclass(frozen=True, slots=True)
class DatabaseRemoved:
    """Event: a database is no longer configured."""

    database: str


@dataclass(frozen=True, slots=True)
class OwnershipChanged:
    """Event: this daemon became or stopped being the owner of a database."""

    database: str
    owns: bool
