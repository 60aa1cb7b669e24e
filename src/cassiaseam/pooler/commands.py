"""Statements of callers, and commands and replies exchanged with targets."""

import enum
from dataclasses import dataclass

from cassiaseam.positions import LogPosition


class StatementKind(enum.Enum):
    """Kind of a caller's statement."""

    BEGIN = 'begin'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'
    READ = 'read'
    WRITE = 'write'
    SET = 'set'
    PREPARE = 'prepare'
    EXECUTE = 'execute'
    DEALLOCATE = 'deallocate'


@dataclass(frozen=True, slots=True)
class Statement:
    """One statement of a caller.

    Attributes:
        request_id: Id assigned by the caller.
        kind: Kind of the statement.
        text: Text as sent by the caller.
        name: Name of a variable or prepared statement, or ''.
        argument: Value of SET, statement template of PREPARE, arguments of EXECUTE, or ''.
        writes: For PREPARE, whether the prepared statement writes.
        read_only: For BEGIN, whether the transaction is read-only.
    """

    request_id: str
    kind: StatementKind
    text: str
    name: str = ''
    argument: str = ''
    writes: bool = False
    read_only: bool = False


class SessionState(enum.Enum):
    """Transaction state of a session, as reported in replies."""

    IDLE = 'idle'
    IN_TRANSACTION = 'in_transaction'
    FAILED_TRANSACTION = 'failed_transaction'


@dataclass(frozen=True, slots=True)
class Forward:
    """Run a caller's statement, with only its prepared name replaced.

    Attributes:
        statement: The statement.
        floor: Position that the log of the target must have reached, or None.
        prepared_name: Name under which the template is prepared on the connection, or ''.
    """

    statement: Statement
    floor: LogPosition | None = None
    prepared_name: str = ''


@dataclass(frozen=True, slots=True)
class Begin:
    """Begin a transaction on a connection."""

    read_only: bool
    floor: LogPosition | None = None


@dataclass(frozen=True, slots=True)
class Rollback:
    """Roll back the transaction of a connection."""


@dataclass(frozen=True, slots=True)
class SetVariable:
    """Set a session variable on a connection."""

    name: str
    setting: str


@dataclass(frozen=True, slots=True)
class Prepare:
    """Prepare a statement template on a connection."""

    name: str
    template: str
    writes: bool


@dataclass(frozen=True, slots=True)
class ClearSession:
    """Discard the session variables and prepared statements of a connection."""


@dataclass(frozen=True, slots=True)
class ReadStatus:
    """Read the status of a target."""


@dataclass(frozen=True, slots=True)
class Fence:
    """Stop a replica from receiving log entries of terms below `term`."""

    term: int


@dataclass(frozen=True, slots=True)
class LiftFence:
    """Lift the fence of a replica, so that it receives log entries again."""


@dataclass(frozen=True, slots=True)
class Demote:
    """Demote a primary whose term is below `term` to a replica."""

    term: int


Command = (
    Forward
    | Begin
    | Rollback
    | SetVariable
    | Prepare
    | ClearSession
    | ReadStatus
    | Fence
    | LiftFence
    | Demote
)
CONTROL_COMMANDS = (ReadStatus, Fence, LiftFence, Demote)


class TargetFailure(enum.Enum):
    """Reason why a target did not execute a command."""

    BUSY = 'busy'
    BEHIND = 'behind'
    READ_ONLY = 'read_only'
    WRONG_TARGET = 'wrong_target'
    TOO_MANY_CONNECTIONS = 'too_many_connections'
    UNKNOWN_NAME = 'unknown_name'
    FAILED = 'failed'
    TIMED_OUT = 'timed_out'
    REJECTED = 'rejected'


# Failures which guarantee that no part of the command has run.
NOT_RUN = frozenset(
    (
        TargetFailure.BUSY,
        TargetFailure.BEHIND,
        TargetFailure.READ_ONLY,
        TargetFailure.WRONG_TARGET,
        TargetFailure.UNKNOWN_NAME,
    )
)


@dataclass(frozen=True, slots=True)
class ReportedStatus:
    """Status that a target reports.

    Attributes:
        is_primary: Whether it is the primary of `term`.
        term: Term that it follows or leads.
        last: Last log entry that it has received.
        fenced_term: Term of its fence, or 0.
        lag_s: Replication lag of its applied data in seconds.
        running: Statements that are running on it.
        connections: Open connections to it.
    """

    is_primary: bool
    term: int
    last: LogPosition
    fenced_term: int
    lag_s: float
    running: int
    connections: int


@dataclass(frozen=True, slots=True)
class TargetReply:
    """Reply of a target to one command.

    Attributes:
        rows: Rows as the target sent them.
        signature: Proof that the target ran the command, or ''.
        failure: Why the command was not executed, or None.
        message: Error message of the failure.
        session_state: State of the connection after the command.
        position: Last log entry that the target has applied, or None.
        status: Decoded status for commands that return one.
    """

    rows: tuple[str, ...] = ()
    signature: str = ''
    failure: TargetFailure | None = None
    message: str = ''
    session_state: SessionState = SessionState.IDLE
    position: LogPosition | None = None
    status: ReportedStatus | None = None
