"""Events and effects of the pooler role. Times are in seconds on the monotonic clock."""

import enum
import math
from dataclasses import dataclass, field

from cassiaseam.errors import RequestError
from cassiaseam.pooler.admission.load_state import TargetReport
from cassiaseam.pooler.commands import Command, SessionState, Statement, TargetReply
from cassiaseam.pooler.model import RoutingConfig, TargetRecord
from cassiaseam.positions import LogPosition


@dataclass(frozen=True, slots=True)
class CallerConnected:
    """Event: a caller requested a session on a database.

    Attributes:
        session_id: Session of the caller.
        database: Database that the caller connects to.
        key_digest: Digest of the key that the caller sent; see `accounts.keys`.
        relayable: Whether the session may be relayed to another VM.
        relayed_version: Version of the configuration under which a peer relays the session, or
            None if the caller connected to this VM.
    """

    session_id: int
    database: str
    key_digest: bytes
    relayable: bool = True
    relayed_version: int | None = None


@dataclass(frozen=True, slots=True)
class StatementArrived:
    """Event: a caller sent a statement."""

    session_id: int
    statement: Statement


@dataclass(frozen=True, slots=True)
class StatementMalformed:
    """Event: a caller sent a statement that cannot be parsed."""

    session_id: int
    request_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """Event: the connection of a caller was closed."""

    session_id: int


@dataclass(frozen=True, slots=True)
class ConnectionReady:
    """Event: a connection to a target is ready for commands."""

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
    """Event: a target replied to the oldest command on a connection."""

    connection_id: int
    reply: TargetReply


@dataclass(frozen=True, slots=True)
class ConnectionLost:
    """Event: an open connection to a target was lost."""

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
    """Event: a target record was removed or no longer describes a target."""

    name: str


@dataclass(frozen=True, slots=True)
class StoreReachability:
    """Event: the store became reachable or unreachable."""

    reachable: bool


@dataclass(frozen=True, slots=True)
class StoreEraObserved:
    """Event: an answer of the store named the era that it is from."""

    era: int


@dataclass(frozen=True, slots=True)
class StoreListed:
    """Event: the store returned a list that is complete up to a revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """Record in the store that names the VM which may promote targets.

    Attributes:
        holder: Name of the VM.
        nonce: Unique id of the claim.
        released: Whether the holder has released the promotion lease.
        era: Era of the store in which the holder decided to write it. A record that came back with
            a copy, or that was written late, has a former era.
    """

    holder: str
    nonce: str
    released: bool
    era: int = 0


@dataclass(frozen=True, slots=True)
class LeaseRead:
    """Event: the lease record was read; `revision` is 0 when it does not exist."""

    revision: int
    record: LeaseRecord | None


class WriteOutcome(enum.Enum):
    """Outcome of a conditional write."""

    WRITTEN = 'written'
    CONFLICT = 'conflict'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class LeaseWritten:
    """Event: a conditional write of the lease record completed."""

    record: LeaseRecord
    outcome: WriteOutcome
    revision: int = 0


@dataclass(frozen=True, slots=True)
class LeaseReadFailed:
    """Event: the lease record could not be read."""


@dataclass(frozen=True, slots=True)
class PeerRecord:
    """Address at which another VM of the deployment answers sample requests.

    Attributes:
        vm: Name of the VM.
        place: Place of the VM.
        host: IP address.
        port: UDP port, and TCP port for relayed sessions.
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
    """Sample as reported by another VM.

    Attributes:
        age_s: Seconds since the sample started.
        position: Position that covers every commit acknowledged before the sample started.
        term: Highest fenced term in the sample.
    """

    age_s: float
    position: LogPosition
    term: int


@dataclass(frozen=True, slots=True)
class SampleRequested:
    """Event: another VM requests a sample that is at most `max_age_s` old.

    `loads` is what it observed of the targets since its previous request.
    """

    host: str
    port: int
    nonce: int
    group: str
    max_age_s: float
    loads: dict[str, TargetReport] = field(default_factory=dict)
    accepts_busy: bool = False


@dataclass(frozen=True, slots=True)
class SampleReceived:
    """Event: the sample response of another VM arrived.

    Attributes:
        nonce: Nonce of the request.
        group: Database group.
        positions: Samples, oldest first; none if the targets are too busy to answer the other VM.
        group_size: Number of targets over which the other VM counts majorities.
        connections: Connections from all VMs per target, as last reported to the other VM.
        loads: What the other VM and its place observed of the targets.
    """

    nonce: int
    group: str
    positions: tuple[AgedPosition, ...]
    group_size: int
    connections: dict[str, int]
    loads: dict[str, TargetReport] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PromotionAnswered:
    """Event: a promotion call was answered, or ended without an answer.

    Attributes:
        group: Group of the target.
        target: Target to promote.
        accepted: Whether the platform accepted the call.
        reason: Why the platform did not accept it.
        may_have_run: Whether the target may be promoted although the call was not accepted.
        may_arrive: Whether the unanswered call may still reach the platform.
        fencing_token: Fencing token of the call.
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
    """Event: the tick interval has elapsed."""

    suspended_s: float = 0


@dataclass(frozen=True, slots=True)
class PoolerStopping:
    """Event: the daemon was told to stop.

    Attributes:
        answer_within_s: Seconds within which each statement gets its final answer.
    """

    answer_within_s: float = math.inf


@dataclass(frozen=True, slots=True)
class AcceptCaller:
    """Effect: confirm to a caller that its session is open."""

    session_id: int


@dataclass(frozen=True, slots=True)
class RefuseCaller:
    """Effect: refuse a session with an error and close the connection of the caller."""

    session_id: int
    error: RequestError


@dataclass(frozen=True, slots=True)
class AnswerCaller:
    """Effect: send the final answer to a statement.

    Attributes:
        session_id: Session of the caller.
        rows: Rows returned by the target.
        signature: Signature of the target, or '' when the pooler itself answers.
        error: Error that is sent instead of a result, or None.
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
class OpenConnection:
    """Effect: open a connection to a target.

    Attributes:
        connection_id: Number of the connection.
        record: Record of the target.
        account: Name of the client account whose statements it carries, or ''.
    """

    connection_id: int
    record: TargetRecord
    account: str = ''


@dataclass(frozen=True, slots=True)
class SendCommands:
    """Effect: send commands on a connection; each results in one `CommandAnswered`."""

    connection_id: int
    commands: tuple[Command, ...]


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Effect: close a connection to a target; it emits no further events."""

    connection_id: int


@dataclass(frozen=True, slots=True)
class ReadLease:
    """Effect: read the lease record."""


@dataclass(frozen=True, slots=True)
class WriteLease:
    """Effect: write the lease record if it still has `revision`; 0 creates it."""

    record: LeaseRecord
    revision: int


@dataclass(frozen=True, slots=True)
class CallPromotion:
    """Effect: ask the platform to promote a target to primary of its group.

    Attributes:
        group: Database group.
        target: Target to promote.
        holder: Name of the VM that holds the promotion lease.
        fencing_token: Fencing token; it increases with every change of the holder.
        send_by: Time by which the call must be sent; a later one may arrive after another VM has
            taken over the lease.
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
class SendSampleRequest:
    """Effect: request a sample that is at most `max_age_s` old from another VM."""

    host: str
    port: int
    nonce: int
    group: str
    max_age_s: float
    loads: dict[str, TargetReport] = field(default_factory=dict)
    accepts_busy: bool = False


@dataclass(frozen=True, slots=True)
class SendSample:
    """Effect: send a sample response to another VM, with the fields of `SampleReceived`."""

    host: str
    port: int
    nonce: int
    group: str
    positions: tuple[AgedPosition, ...]
    group_size: int
    connections: dict[str, int]
    loads: dict[str, TargetReport] = field(default_factory=dict)
