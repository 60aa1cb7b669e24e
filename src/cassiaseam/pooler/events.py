"""Events and effects of the pooler role; times are seconds on the monotonic clock."""

import enum
from dataclasses import dataclass, field

from cassiaseam.errors import RequestError
from cassiaseam.pooler.commands import Command, SessionState, Statement, TargetReply
from cassiaseam.pooler.model import RoutingConfig, TargetRecord
from cassiaseam.positions import LogPosition


@dataclass(frozen=True, slots=True)
class CallerConnected:
    """Event: a caller asked for a session on a database."""

    session_id: int
    database: str
    caller: str


@dataclass(frozen=True, slots=True)
class StatementArrived:
    """Event: a caller sent a statement."""

    session_id: int
    statement: Statement


@dataclass(frozen=True, slots=True)
class StatementMalformed:
    """Event: a caller sent a statement that cannot be read."""

    session_id: int
    request_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class CallerLost:
    """Event: the connection of a caller ended."""

    session_id: int


@dataclass(frozen=True, slots=True)
class ConnectionReady:
    """Event: a connection to a target accepts commands."""

    connection_id: int
    reply: TargetReply


@dataclass(frozen=True, slots=True)
class ConnectionRefused:
    """Event: a connection could not be opened; `reply` is set when the target refused it."""

    connection_id: int
    reason: str
    reply: TargetReply | None = None


@dataclass(frozen=True, slots=True)
class CommandAnswered:
    """Event: the oldest command on a connection was answered."""

    connection_id: int
    reply: TargetReply


@dataclass(frozen=True, slots=True)
class ConnectionLost:
    """Event: an open connection to a target ended."""

    connection_id: int
    reason: str


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """Event: the store returned the configuration."""

    config: RoutingConfig


@dataclass(frozen=True, slots=True)
class TargetsListed:
    """Event: the store returned all target records."""

    records: tuple[TargetRecord, ...]


@dataclass(frozen=True, slots=True)
class TargetChanged:
    """Event: a target record was written."""

    record: TargetRecord


@dataclass(frozen=True, slots=True)
class TargetRemoved:
    """Event: a target record was removed or does not describe a target any longer."""

    name: str


@dataclass(frozen=True, slots=True)
class StoreContact:
    """Event: the store became reachable or unreachable."""

    reachable: bool


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """The record in the store that says which VM may promote targets.

    Attributes:
        holder: Name of the VM.
        nonce: Unique per claim.
        released: Whether the holder has finished.
    """

    holder: str
    nonce: str
    released: bool


@dataclass(frozen=True, slots=True)
class LeaseRead:
    """Event: the duty record was read; a missing one has revision 0."""

    revision: int
    record: LeaseRecord | None


class WriteOutcome(enum.Enum):
    """What became of a conditional write."""

    WRITTEN = 'written'
    CONFLICT = 'conflict'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class LeaseWritten:
    """Event: a conditional write of the duty record ended."""

    record: LeaseRecord
    outcome: WriteOutcome
    revision: int = 0


@dataclass(frozen=True, slots=True)
class LeaseReadFailed:
    """Event: the duty record could not be read."""


@dataclass(frozen=True, slots=True)
class PeerRecord:
    """Where another VM of the deployment answers questions.

    Attributes:
        vm: Name of the VM.
        place: Place of the VM.
        host: IP number.
        port: UDP port.
    """

    vm: str
    place: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class PeersListed:
    """Event: the store returned the records of all VMs."""

    records: tuple[PeerRecord, ...]


@dataclass(frozen=True, slots=True)
class AgedPosition:
    """A sample as another VM tells it.

    Attributes:
        age_s: Seconds since the sample started.
        position: Position that covers every commit acknowledged before that.
        term: Highest fenced term in the sample.
    """

    age_s: float
    position: LogPosition
    term: int


@dataclass(frozen=True, slots=True)
class SampleAsked:
    """Event: another VM needs a sample that is not older than `max_age_s`."""

    host: str
    port: int
    nonce: int
    group: str
    max_age_s: float


@dataclass(frozen=True, slots=True)
class SampleOffered:
    """Event: another VM answered a question for a sample.

    Attributes:
        nonce: Number of the question.
        group: Database group.
        positions: Samples, oldest first.
        group_size: Number of targets of which the other VM takes a majority.
        connections: Connections of all VMs per target, as the other VM last heard.
    """

    nonce: int
    group: str
    positions: tuple[AgedPosition, ...]
    group_size: int
    connections: dict[str, int]


@dataclass(frozen=True, slots=True)
class PromotionAnswered:
    """Event: a call to promote a target was answered, or got no answer.

    Attributes:
        group: Group of the target.
        target: Target to promote.
        accepted: Whether the platform promotes it.
        reason: Why it does not.
        may_have_run: Whether it may be promoted although the call was not accepted.
        may_arrive: Whether the call was sent and not answered, and may reach the platform later.
        fencing_token: Token that the call carried.
    """

    group: str
    target: str
    accepted: bool
    reason: str = ''
    may_have_run: bool = False
    may_arrive: bool = False
    fencing_token: int = 0


@dataclass(frozen=True, slots=True)
class PoolerTick:
    """Event: a short interval has passed."""

    suspended_s: float = 0


@dataclass(frozen=True, slots=True)
class PoolerStopping:
    """Event: the daemon was told to stop."""


@dataclass(frozen=True, slots=True)
class AcceptCaller:
    """Effect: tell a caller that its session is open."""

    session_id: int


@dataclass(frozen=True, slots=True)
class RefuseCaller:
    """Effect: tell a caller why it gets no session and close its connection."""

    session_id: int
    error: RequestError


@dataclass(frozen=True, slots=True)
class AnswerCaller:
    """Effect: send the final answer to a statement.

    Attributes:
        session_id: Session of the caller.
        rows: Rows of the target.
        signature: Signature of the target, or '' for an answer of the pooler itself.
        error: Reason why there is no result.
        session_state: State of the session.
    """

    session_id: int
    session_state: SessionState
    rows: tuple[str, ...] = ()
    signature: str = ''
    error: RequestError | None = None


@dataclass(frozen=True, slots=True)
class CloseCaller:
    """Effect: close the connection of a caller."""

    session_id: int


@dataclass(frozen=True, slots=True)
class OpenTarget:
    """Effect: open a connection to a target."""

    connection_id: int
    record: TargetRecord


@dataclass(frozen=True, slots=True)
class SendCommands:
    """Effect: send commands on a connection; each gets one `CommandAnswered`."""

    connection_id: int
    commands: tuple[Command, ...]


@dataclass(frozen=True, slots=True)
class CloseTarget:
    """Effect: close a connection to a target; no further event of it follows."""

    connection_id: int


@dataclass(frozen=True, slots=True)
class ReadLease:
    """Effect: read the duty record."""


@dataclass(frozen=True, slots=True)
class WriteLease:
    """Effect: write the duty record if it still has `revision`; 0 creates it."""

    record: LeaseRecord
    revision: int


@dataclass(frozen=True, slots=True)
class CallPromotion:
    """Effect: make a target the primary of its group.

    Attributes:
        group: Database group.
        target: Target to promote.
        holder: Name of the VM that holds the duty.
        fencing_token: Grows with every change of the holder.
        send_by: Time after which the call must not be sent any more, because the claim may have
            been taken over when it arrives.
    """

    group: str
    target: str
    holder: str
    fencing_token: int
    send_by: float


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Effect: write one log line."""

    kind: str
    fields: dict[str, object] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class AskSample:
    """Effect: ask another VM for a sample that is not older than `max_age_s`."""

    host: str
    port: int
    nonce: int
    group: str
    max_age_s: float


@dataclass(frozen=True, slots=True)
class OfferSample:
    """Effect: answer the question of another VM; the fields are those of `SampleOffered`."""

    host: str
    port: int
    nonce: int
    group: str
    positions: tuple[AgedPosition, ...]
    group_size: int
    connections: dict[str, int]
