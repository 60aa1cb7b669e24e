"""State of one monitored database group."""

from dataclasses import dataclass, field

from cassiaseam.configuration.model import DatabaseConfig
from cassiaseam.messages import TargetStatus
from cassiaseam.positions import ZERO_POSITION, LogPosition


@dataclass(slots=True)
class TargetView:
    """What the owner knows of one target.

    Attributes:
        status: Latest status, or None before the first one.
        status_started_at: Time in seconds at which the poll of `status` started.
        answered_at: Time in seconds of the latest answer.
        poll_started_at: Start of the poll under way, or None.
        failures: Polls that failed in a row.
        fresh_as_of: Time in seconds as of which its applied data is known to be complete.
    """

    status: TargetStatus | None = None
    status_started_at: float = 0
    answered_at: float = 0
    poll_started_at: float | None = None
    failures: int = 0
    fresh_as_of: float | None = None


@dataclass(frozen=True, slots=True)
class QuorumSample:
    """Highest position held by a majority-polled group.

    Attributes:
        started_at: Start in seconds of the oldest poll in the sample.
        position: Highest `last` position among a majority of the instances.
        term: Highest fenced term among them.
    """

    started_at: float
    position: LogPosition = ZERO_POSITION
    term: int = 0


@dataclass(slots=True)
class GroupState:
    """State of one database group at its owner.

    Attributes:
        config: Configuration in force.
        targets: View per target name.
        term: Term of the primary that is in charge, or 0.
        primary: Name of the primary in charge, or ''.
        samples: Recent quorum samples, oldest first; bounded.
        failover: State of a promotion under way (`cassiaseam.group.failover`), or None.
        last_failover_at: Time in seconds at which the latest promotion ended, or None.
        last_failover_gap_s: Length in seconds of the latest gap without writes, or None.
    """

    config: DatabaseConfig
    targets: dict[str, TargetView] = field(default_factory=dict)
    term: int = 0
    primary: str = ''
    samples: list[QuorumSample] = field(default_factory=list)
    failover: object | None = None
    last_failover_at: float | None = None
    last_failover_gap_s: float | None = None
