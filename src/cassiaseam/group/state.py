"""State of one monitored database group."""

import enum
from dataclasses import dataclass, field

from cassiaseam.configuration.model import DatabaseConfig
from cassiaseam.messages import TargetStatus
from cassiaseam.positions import ZERO_POSITION, LogPosition


@dataclass(slots=True)
class TargetView:
    """State of one target, as the owner's polls show it.

    Attributes:
        status: Latest status, or None before the first one.
        status_started_at: Time in seconds at which the poll of `status` started.
        answered_at: Time in seconds of the latest answer.
        poll_started_at: Start in seconds of the poll in flight, or None.
        failures: Consecutive failed polls.
        fresh_as_of: Time in seconds as of which its applied data is known to be complete, or None.
        last_poll_at: Start in seconds of the latest poll.
        unanswered_since: Start in seconds of the first poll since the latest answer that has no
            answer yet, or None.
        catch_up_position: Position that the target must reach before its status counts towards a
            majority again, or None; set when a restart lost log entries.
        former_incarnation: Incarnation before the latest detected restart, or ''.
        follow_sent_at: Time in seconds of the latest request to follow a primary, or None.
    """

    status: TargetStatus | None = None
    status_started_at: float = 0
    answered_at: float = 0
    poll_started_at: float | None = None
    failures: int = 0
    fresh_as_of: float | None = None
    last_poll_at: float = -1
    unanswered_since: float | None = None
    catch_up_position: LogPosition | None = None
    former_incarnation: str = ''
    follow_sent_at: float | None = None


@dataclass(frozen=True, slots=True)
class QuorumSample:
    """Position that covers every write acknowledged before the sample started.

    Attributes:
        started_at: Start in seconds of the oldest poll in the sample.
        position: Highest `last` position among a majority of the instances; lower if more
            instances than a majority answered (`cassiaseam.group.samples`).
        term: Highest fenced term among them.
    """

    started_at: float
    position: LogPosition = ZERO_POSITION
    term: int = 0


class Stage(enum.Enum):
    """Stage of an active promotion."""

    CLAIM = 'claim'
    CATCH_UP = 'catch_up'
    FENCE = 'fence'
    PROMOTE = 'promote'


@dataclass(slots=True)
class Failover:
    """State of an active promotion.

    Attributes:
        term: Term that the new primary will lead.
        promoter: Unique name of this attempt. An instance grants a term to one promoter only, so
            a restarted daemon cannot reuse the grants of an earlier attempt.
        cause: Why the promotion was started.
        started_at: Time in seconds of the start.
        planned: Whether the promotion first waits for a replica to catch up with the current
            primary.
        preferred: Target to prefer among equally advanced ones, or ''.
        avoided: Targets that are chosen only if no other safe candidate exists.
        stage: Active stage.
        stage_started_at: Time in seconds at which the stage started.
        sent_at: Time in seconds at which the messages of the stage were last sent.
        fenced_at: Time in seconds at which the first fences were sent.
        grants: Status with which each instance granted the term.
        refused: Instances that refused the term.
        unreached: Instances that the latest fence did not reach.
        majority_at: Time in seconds at which a majority had granted the term, or None.
        chosen: Target to promote, or ''.
    """

    term: int
    promoter: str
    cause: str
    started_at: float
    planned: bool = False
    preferred: str = ''
    avoided: frozenset[str] = frozenset()
    stage: Stage = Stage.CLAIM
    stage_started_at: float = 0
    sent_at: float = 0
    fenced_at: float = 0
    grants: dict[str, TargetStatus] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    unreached: set[str] = field(default_factory=set)
    majority_at: float | None = None
    chosen: str = ''


@dataclass(slots=True)
class GroupState:
    """State of one database group at its owner.

    Attributes:
        config: Active configuration.
        targets: State per target name.
        term: Term of the current primary, or 0.
        primary: Name of the current primary, or ''.
        samples: Recent quorum samples, oldest first; bounded.
        failover: State of the active promotion, or None.
        last_failover_at: Time in seconds at which the latest promotion ended, or None.
        last_failover_gap_s: Length in seconds of the latest gap without writes, or None.
        failovers: Number of primary changes since this daemon started to monitor the group.
        known_term: Highest term reported by any instance, promoter or the platform.
        known_position: Highest `last` position that any instance has reported.
        primary_positions: Recent `last` positions of the current primary, each with the start of
            its poll in seconds; bounded.
        primary_contact_at: Time in seconds at which the primary was last confirmed, or None.
        no_primary_since: Time in seconds since which no primary is confirmed, or None.
        suspicious: Whether polls fail or replicas lose their primary; the group is polled faster.
        failed_attempts: Consecutive failed promotions.
        retry_at: Time in seconds before which no promotion is started.
        term_marked_at: Time in seconds of the latest `MarkTerm`, or None.
        open_writes: Writes and open transactions at the primary. The owner role sets it; a
            planned promotion waits for them for a short time.
        draining: Names of the targets that operators drain.
        sampled_at: Start in seconds of the latest sample by number of answers.
        idle_phase_s: Offset in seconds of the idle rounds; spreads the polls of all groups.
        next_round_at: Time in seconds of the next round of polls.
        fast_poll_until: Time in seconds until which the group is polled at the fast interval.
        poll_requested_at: Time in seconds of the latest request for a poll.
        due_heap: `NodeState.group_due`, shared by all groups of the daemon.
        due_at: Time in seconds of the valid entry of this group in `due_heap`, or None.
        fenced_above_since: Time in seconds since which a reachable instance is fenced above the
            current term, or None.
        taken_over_at: Time in seconds at which this daemon took over the database while another
            daemon had failed, or None. The failed daemon may still hold locks on the primary.
        oldest_write_at: Start in seconds of the oldest write in flight at the primary, or None.
            The owner role sets it while `taken_over_at` is set.
    """

    config: DatabaseConfig
    targets: dict[str, TargetView] = field(default_factory=dict)
    term: int = 0
    primary: str = ''
    samples: list[QuorumSample] = field(default_factory=list)
    failover: Failover | None = None
    last_failover_at: float | None = None
    last_failover_gap_s: float | None = None
    failovers: int = 0
    known_term: int = 0
    known_position: LogPosition = ZERO_POSITION
    primary_positions: list[tuple[float, LogPosition]] = field(default_factory=list)
    primary_contact_at: float | None = None
    no_primary_since: float | None = None
    suspicious: bool = False
    failed_attempts: int = 0
    retry_at: float = 0
    term_marked_at: float | None = None
    open_writes: int = 0
    draining: frozenset[str] = frozenset()
    sampled_at: dict[int, float] = field(default_factory=dict)
    idle_phase_s: float = 0
    next_round_at: float = 0
    fast_poll_until: float = 0
    poll_requested_at: float = -1
    due_heap: list[tuple[float, str]] = field(default_factory=list)
    due_at: float | None = None
    fenced_above_since: float | None = None
    taken_over_at: float | None = None
    oldest_write_at: float | None = None
