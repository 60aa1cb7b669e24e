"""State of the pooler role."""

import enum
import math
import random
from collections import deque
from dataclasses import KW_ONLY, dataclass, field

from cassiaseam.group.state import GroupState
from cassiaseam.pooler.accounts.state import AccountsState
from cassiaseam.pooler.admission.failure_streaks import FailureStreak
from cassiaseam.pooler.admission.fairness import AccountUse
from cassiaseam.pooler.admission.load_state import RetryBudget, TargetLoad
from cassiaseam.pooler.admission.mode import Admission
from cassiaseam.pooler.commands import Command, SessionState, Statement, TargetReply
from cassiaseam.pooler.duty_state import LeaseState
from cassiaseam.pooler.evidence.fence_history import FenceHistory
from cassiaseam.pooler.evidence.log_history import LogHistory
from cassiaseam.pooler.group_sizes import GroupSizesState
from cassiaseam.pooler.metrics import Histogram
from cassiaseam.pooler.model import Route, RoutingConfig, TargetRecord
from cassiaseam.pooler.pacing.pace import Pace
from cassiaseam.pooler.peer_state import PeerState, SampleRequest, SampleWaiter
from cassiaseam.pooler.quotas.quota_state import QuotaState, Token
from cassiaseam.pooler.relay.state import RelayState
from cassiaseam.pooler.target_use.causes import PollCause, TargetUse
from cassiaseam.positions import LogPosition


class Purpose(enum.Enum):
    """Purpose of a job."""

    CONTROL = 'control'
    STATEMENT = 'statement'
    BEGIN = 'begin'


@dataclass(slots=True)
class Operation:
    """Statement of a caller, from its arrival to its final answer.

    Attributes:
        session_id: Session of the caller.
        statement: The statement.
        route: Route in force when the statement or its transaction began.
        arrived_at: Time at which it arrived.
        deadline: Time by which its final answer is due.
        started_at: Time at which its transaction or, outside of one, the statement arrived.
        is_write: Whether it may change data.
        needs_primary: Whether only the primary may run it.
        needs_confirmation: Whether its answer waits until a majority confirms the primary.
        attempts: Number of times that it was sent to a target.
        last_target: Target of the latest attempt, or ''.
        tried: Targets that could not run it, with the time of the refusal.
        jobs: Jobs that are queued or run for it; more than one while a read is hedged.
        retry_at: Time of the next attempt while none is in flight, or None.
        reply: Successful reply that awaits confirmation.
        reply_target: Target of `reply`.
        sent_term: Term of the primary that this VM knew when it last chose the target.
        commit: Position of a commit that awaits a majority, or None.
        sent_at: Time at which it was first sent, or None.
        floor: Position that its latest target had to hold, or None.
        replied_at: Time at which `reply` arrived.
        token: Unspent quota token for its next attempt, or None.
        token_asked_at: Time since which it waits for a token, or None.
        may_have_run: Whether an attempt of it may have run although its answer was lost.
        done: Whether it has its final answer.
    """

    session_id: int
    statement: Statement
    route: Route
    arrived_at: float
    deadline: float
    started_at: float
    is_write: bool = False
    needs_primary: bool = False
    needs_confirmation: bool = False
    attempts: int = 0
    last_target: str = ''
    tried: dict[str, float] = field(default_factory=dict)
    jobs: list['Job'] = field(default_factory=list)
    retry_at: float | None = None
    reply: TargetReply | None = None
    reply_target: str = ''
    sent_term: int = 0
    commit: LogPosition | None = None
    sent_at: float | None = None
    floor: LogPosition | None = None
    replied_at: float = 0
    token: Token | None = None
    token_asked_at: float | None = None
    may_have_run: bool = False
    done: bool = False


@dataclass(slots=True)
class Job:
    """Command that is queued for a target or runs on a connection to it.

    Attributes:
        target: Name of the target.
        command: The command.
        purpose: Purpose of the job.
        created_at: Time at which it was queued.
        operation: Operation that it belongs to, or None.
        account: Client account whose connection it needs, or ''.
        connection_id: Connection that it runs on, or 0 while it is queued.
        sent_at: Time at which the command was sent, or None.
        cancelled: Whether its reply is discarded.
        token: Quota token that it spends when it is sent, or None without a limit.
        poll_cause: Why the status is polled, or None for other commands.
    """

    target: str
    command: Command
    purpose: Purpose
    created_at: float
    operation: Operation | None = None
    account: str = ''
    connection_id: int = 0
    sent_at: float | None = None
    cancelled: bool = False
    token: Token | None = None
    poll_cause: PollCause | None = None


@dataclass(slots=True)
class TransactionState:
    """Open transaction of a session.

    Attributes:
        statement: The BEGIN statement of the caller.
        route: Route in force when it began.
        started_at: Time at which it began.
        connection_id: Connection that it is pinned to, or 0 before its first statement.
        target: Target of the connection.
        has_written: Whether a write was sent.
        confirmed: Whether its reads need no further confirmation of the primary.
        last_used_at: Time of the latest statement or answer.
    """

    statement: Statement
    route: Route
    started_at: float
    connection_id: int = 0
    target: str = ''
    has_written: bool = False
    confirmed: bool = False
    last_used_at: float = 0


@dataclass(slots=True)
class CallerSession:
    """Session of a caller.

    Attributes:
        session_id: Number of the session.
        database: Database that the caller connected to.
        key_digest: Digest of the key that the caller sent.
        account: Name of the client account of the caller, or ''.
        state: State reported in the latest answer.
        variables: Acknowledged SET values by variable name.
        prepared: PREPARE statements by name.
        transaction: Open transaction, or None.
        current: Operation in progress, or None.
        waiting: Statements that are queued behind the current operation.
        last_commit: Position of the latest commit of the session.
        accepted: Whether the caller was told that the session is open.
        relayable: Whether it may be relayed to another VM instead of being accepted.
        relayed_version: Version of the configuration under which a peer relays it, or None.
    """

    session_id: int
    database: str
    key_digest: bytes
    account: str = ''
    state: SessionState = SessionState.IDLE
    variables: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, Statement] = field(default_factory=dict)
    transaction: TransactionState | None = None
    current: Operation | None = None
    waiting: deque[Statement] = field(default_factory=deque)
    last_commit: LogPosition | None = None
    accepted: bool = False
    relayable: bool = True
    relayed_version: int | None = None


@dataclass(slots=True)
class Connection:
    """Connection to a target.

    Attributes:
        connection_id: Number of the connection.
        target: Name of the target.
        opened_at: Time at which it was requested.
        account: Client account that the target was told, or ''.
        ready: Whether it is ready for commands.
        ready_at: Time since which it is ready.
        job: Job that runs on it, or None.
        setup: Unanswered commands that were sent ahead of the job.
        pinned_to: Session whose open transaction runs on it, or 0.
        variables: Session variables that are set on it.
        prepared: Names that are prepared on it.
        idle_since: Time at which it became idle.
        closing: Whether to close it as soon as it is idle.
    """

    connection_id: int
    target: str
    opened_at: float
    account: str = ''
    ready: bool = False
    ready_at: float = 0
    job: Job | None = None
    setup: deque[Command] = field(default_factory=deque)
    pinned_to: int = 0
    variables: dict[str, str] = field(default_factory=dict)
    prepared: set[str] = field(default_factory=set)
    idle_since: float = 0
    closing: bool = False


@dataclass(slots=True)
class TargetState:
    """State of one target on this VM, besides its reported status.

    Attributes:
        record: Latest record of the target.
        connections: Connections to it that are open or being opened.
        queue: Jobs that wait for a connection.
        status_job: Status poll that is queued or in flight, or None.
        poll_again: Why another poll follows the one in flight, or None.
        next_poll_at: Time before which no further status poll is sent.
        busy_polls: Status polls in a row that it was too busy to answer.
        poll_backoff_s: Mean backoff in seconds after the latest of these.
        next_probe_at: Time before which no further probe is sent because it is silent.
        silent_since: Time of the oldest command that is unanswered since the latest reply.
        unreachable_since: Time since which connection attempts fail, or None.
        disconnected_at: Time at which the last connection to it was lost, or None.
        connect_backoff_until: Time before which no connection is opened.
        full_since: Time since which it refuses connections because it has too many, or None.
        full_refusals: Consecutive connections that it refused because it has too many.
        missing_since: Time since which its record is missing from the store, or None.
        leaving_since: Time since which it is known to leave, or None.
        joined_at: Time at which it joined a group whose targets were known, or None.
        history: What it has reported of its log.
        fence: Newest fence that it has reported.
        distrusted_until: Time before which its statuses are no evidence, after a restart.
        missing_position: Floor of the latest read that it refused because it lags behind.
        lagging_until: Time before which reads that need `missing_position` are not sent to it.
        lag_refusals: Reads that it refused in a row because it lags behind.
        reported_connections: Connections from all VMs, as last reported.
        connections_known_at: Time as of which the target reported them, or refused a connection
            because it has too many, or None.
        service_time_s: Moving average of the time per statement in seconds.
        failure_rate: Moving average of the share of failed statements.
        failure_streak: Failed statements since the latest successful one.
        pace: Limit of statements in flight, with adaptive admission.
        load: Load and quality of its answers, for the placement of reads.
    """

    record: TargetRecord
    connections: dict[int, Connection] = field(default_factory=dict)
    queue: deque[Job] = field(default_factory=deque)
    status_job: Job | None = None
    poll_again: PollCause | None = None
    next_poll_at: float = 0
    busy_polls: int = 0
    poll_backoff_s: float = 0
    next_probe_at: float = 0
    silent_since: float | None = None
    unreachable_since: float | None = None
    disconnected_at: float | None = None
    connect_backoff_until: float = 0
    full_since: float | None = None
    full_refusals: int = 0
    missing_since: float | None = None
    leaving_since: float | None = None
    joined_at: float | None = None
    history: LogHistory = field(default_factory=LogHistory)
    fence: FenceHistory = field(default_factory=FenceHistory)
    distrusted_until: float = 0
    missing_position: LogPosition | None = None
    lagging_until: float = 0
    lag_refusals: int = 0
    reported_connections: int = 0
    connections_known_at: float | None = None
    service_time_s: float = 0.02
    failure_rate: float = 0
    failure_streak: FailureStreak = field(default_factory=FailureStreak)
    pace: Pace = field(default_factory=Pace)
    load: TargetLoad = field(default_factory=TargetLoad)


class PromotionStage(enum.Enum):
    """Stage of a promotion."""

    AWAIT_LEASE = 'await_duty'
    DEMOTE = 'demote'
    FENCE = 'fence'
    CATCH_UP = 'catch_up'
    PROMOTE = 'promote'
    AWAIT_PRIMARY = 'await'


@dataclass(slots=True)
class Promotion:
    """Promotion that this daemon attempts.

    Attributes:
        cause: Why it was started.
        started_at: Time at which it was started.
        planned: Whether the primary is alive and hands over.
        stage: Current stage.
        stage_started_at: Time at which the stage began.
        sent_at: Time at which the commands of the stage were last sent.
        token: Fencing token, or 0 before this daemon holds the promotion lease.
        term: Term of the fences.
        base_term: Highest term that this VM knew when it chose the term of the fences.
        old_primary: Primary to replace, or ''.
        final_position: Last position of a demoted primary, or None.
        fenced_positions: Position of each target that granted the fence.
        chosen: Target to promote, or ''.
        announced_at: Time of the latest notice to the other VMs, or None.
    """

    cause: str
    started_at: float
    planned: bool
    stage: PromotionStage
    stage_started_at: float
    sent_at: float = -1
    token: int = 0
    term: int = 0
    base_term: int = 0
    old_primary: str = ''
    final_position: LogPosition | None = None
    fenced_positions: dict[str, LogPosition] = field(default_factory=dict)
    chosen: str = ''
    announced_at: float | None = None


@dataclass(frozen=True, slots=True)
class PendingPromotion:
    """Promotion of this VM or another one that relies on fences and may take effect.

    Attributes:
        target: Target to promote.
        term: Term of the fences.
        base_term: Highest term that was known when the fences were sent.
        fencing_token: Fencing token of the claim.
        until: Time after which the promotion takes no effect any more.
    """

    target: str
    term: int
    base_term: int
    fencing_token: int
    until: float


@dataclass(slots=True)
class GroupView:
    """State of one database group on this VM.

    Attributes:
        name: Name of the group.
        monitor: Statuses, samples and the current primary.
        targets: Targets by name.
        size: Number of targets over which majorities are counted.
        shrunk_at: Time since which fewer targets than `size` are known, or None.
        floor: Recorded number of targets that are not leaving, or 0 once as many were known.
        logged_size: Size in the latest log line about it.
        operations: Operations without a final answer.
        without_primary_since: Time since which no primary works, or None.
        promotion: Promotion that this daemon attempts, or None.
        pending_promotion: Latest promotion that some VM has called the platform for, or None.
        retry_promotion_at: Time before which no promotion is started.
        fenced_since: Time since which a target is fenced above the current term, or None.
        last_survey_at: Time of the latest poll of all targets.
        swept_at: Time at which a tick last processed the group.
        demote_until: Time until which demote commands are sent to a former primary.
        demote_sent_at: Time of the latest demote command.
        promotion_not_before: Time from which the primary may be replaced, or None without a cause.
        primary_adopted_at: Time since which this VM knows that the primary leads.
        former_primary: Former primary that may still accept writes, or ''.
        majority_unreachable_since: Time since which this VM reaches no majority, or None.
        unconfirmed: Latest commit with an unknown outcome because no majority held it, or None.
        sample_request: Latest sample request to another VM, or None once it is answered.
        samples_locally_until: Time until which this VM takes its samples itself.
        sample_waiters: Other VMs that wait for a sample.
        retry_budget: Budget for retries after busy targets.
        targets_judged_at: Time of the latest check whether reads avoid a target.
    """

    name: str
    monitor: GroupState
    targets: dict[str, TargetState] = field(default_factory=dict)
    size: int = 0
    shrunk_at: float | None = None
    floor: int = 0
    logged_size: int = 0
    operations: list[Operation] = field(default_factory=list)
    without_primary_since: float | None = None
    promotion: Promotion | None = None
    pending_promotion: PendingPromotion | None = None
    retry_promotion_at: float = 0
    fenced_since: float | None = None
    last_survey_at: float = -1
    swept_at: float = -1
    demote_until: float = 0
    demote_sent_at: float = -1
    promotion_not_before: float | None = None
    primary_adopted_at: float = 0
    former_primary: str = ''
    majority_unreachable_since: float | None = None
    unconfirmed: LogPosition | None = None
    sample_request: SampleRequest | None = None
    samples_locally_until: float = 0
    sample_waiters: list[SampleWaiter] = field(default_factory=list)
    retry_budget: RetryBudget = field(default_factory=RetryBudget)
    targets_judged_at: float = -1


@dataclass(slots=True)
class PoolerState:
    """State of the pooler role of one daemon.

    Attributes:
        vm: Name of the VM.
        place: Place of the VM.
        regions: Region per place.
        rng: Random number generator.
        started_at: Time at which the daemon started.
        config: Configuration in force, or None before the first one.
        groups: Database groups by name.
        target_groups: Group name per target name.
        sessions: Sessions of callers.
        accounts: State of the client accounts.
        connections: Connections to targets.
        prepared_names: Prepared name on the targets, per template and whether it writes.
        next_connection_id: Id of the next connection.
        stopping_since: Time at which the daemon was told to stop, or None.
        answer_by: Time by which each statement has its final answer because the daemon stops.
        store_reachable: Whether the store answers.
        store_era: Newest era of the store that an answer named, or None before the first answer.
        first_revision: Revision of the first list in that era, or None before it.
        first_listed_at: Time of that list.
        lease: State of the promotion lease on this VM.
        targets_known: Whether the target records were read.
        target_list_era: Era of the store of the latest list of targets.
        departed: Incarnation per target that announced its leave and is gone, oldest first.
        sizes: Recorded sizes of the groups.
        peers: Other VMs by name.
        relay: State of the relay of sessions to other VMs.
        counters: Number of final answers per route and outcome.
        latencies: Latency histogram from arrival to final answer, per route.
        commands_sent: Number of commands sent to targets per kind.
        target_use: Number of status polls and connections by cause.
        admission: Mode of admission.
        account_use: Recent use of targets per client account, with adaptive admission.
        shed: Number of early refusals per route.
        quotas: State of the quotas, or None on a deployment without them.
    """

    vm: str
    place: str
    rng: random.Random
    keyword_only: KW_ONLY
    started_at: float = 0
    regions: dict[str, str] = field(default_factory=dict)
    config: RoutingConfig | None = None
    groups: dict[str, GroupView] = field(default_factory=dict)
    target_groups: dict[str, str] = field(default_factory=dict)
    sessions: dict[int, CallerSession] = field(default_factory=dict)
    accounts: AccountsState = field(default_factory=AccountsState)
    connections: dict[int, Connection] = field(default_factory=dict)
    prepared_names: dict[tuple[str, bool], str] = field(default_factory=dict)
    next_connection_id: int = 1
    stopping_since: float | None = None
    answer_by: float = math.inf
    store_reachable: bool = False
    store_era: int | None = None
    first_revision: int | None = None
    first_listed_at: float = 0
    targets_known: bool = False
    target_list_era: int = 0
    departed: dict[str, str] = field(default_factory=dict)
    sizes: GroupSizesState = field(default_factory=GroupSizesState)
    peers: dict[str, PeerState] = field(default_factory=dict)
    relay: RelayState = field(default_factory=RelayState)
    lease: LeaseState = field(default_factory=LeaseState)
    counters: dict[tuple[str, str], int] = field(default_factory=dict)
    commands_sent: dict[str, int] = field(default_factory=dict)
    target_use: TargetUse = field(default_factory=TargetUse)
    latencies: dict[str, Histogram] = field(default_factory=dict)
    admission: Admission = Admission.FIXED
    account_use: AccountUse = field(default_factory=AccountUse)
    shed: dict[str, int] = field(default_factory=dict)
    quotas: QuotaState | None = None

    @property
    def adaptive_admission(self) -> bool:
        """Return whether admission, pacing and placement follow the load."""
        return self.admission is Admission.ADAPTIVE
