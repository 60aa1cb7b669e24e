"""In-memory target with a replicated log of values, in virtual time."""

from collections import Counter
from dataclasses import dataclass, field

from cassiaseam.pooler.commands import (
    Begin,
    ClearSession,
    Demote,
    Fence,
    Forward,
    LiftFence,
    Prepare,
    ReadStatus,
    ReportedStatus,
    Rollback,
    SessionState,
    SetVariable,
    StatementKind,
    TargetFailure,
    TargetReply,
)
from cassiaseam.pooler.model import TargetRecord
from cassiaseam.positions import LogPosition

APPLY_DELAY_S = 0.02
GROUP = 'g'


@dataclass
class ConnectionState:
    """Transaction and session state of a connection on a target."""

    account: str = ''
    open: bool = False
    read_only: bool = False
    writes: list = field(default_factory=list)
    variables: dict = field(default_factory=dict)
    prepared: dict = field(default_factory=dict)


class FakeTarget:
    """In-memory target with a replicated log of values."""

    def __init__(self, world, name, place, is_primary):
        self.world = world
        self.name = name
        self.place = place
        self.is_primary = is_primary
        self.term = 1
        self.fenced = 0
        self.log = []
        self.applied = 0
        self.down = False
        self.mute = False
        self.blank = False
        self.drop_answers = 0
        self.busy = 0
        self.polls_busy_until = 0
        self.count_running = lambda: 0
        self.apply_delay_s = APPLY_DELAY_S
        self.failing_share = 0
        self.leaving = False
        self.incarnation = 1
        self.max_connections = 100
        self.runs = Counter()

    def get_record(self):
        return TargetRecord(
            self.name,
            GROUP,
            '10.0.0.1',
            1,
            self.place,
            5,
            self.leaving,
            self.is_primary,
            str(self.incarnation),
        )

    @property
    def last(self):
        return LogPosition(self.log[-1][0] if self.log else 0, len(self.log))

    @property
    def visible(self):
        count = len(self.log) if self.is_primary else self.applied
        return LogPosition(self.log[count - 1][0] if count else 0, count)

    def get_status(self):
        used = self.world.count_connections(self)
        running = self.count_running()
        return ReportedStatus(self.is_primary, self.term, self.last, self.fenced, 0, running, used)

    def run(self, connection, command):
        """Execute a command and return its reply."""
        handler = HANDLERS[type(command)]
        return handler(self, connection, command)

    def reply(self, connection, **fields):
        state = SessionState.IN_TRANSACTION if connection.open else SessionState.IDLE
        return TargetReply(session_state=state, position=self.visible, **fields)

    def fail(self, connection, failure):
        state = SessionState.FAILED_TRANSACTION if connection.open else SessionState.IDLE
        return TargetReply(
            failure=failure, message=failure.value, session_state=state, position=self.visible
        )

    def is_behind(self, floor):
        return floor is not None and not self.visible.covers(floor)

    def run_statement(self, connection, command):
        statement = command.statement
        kind = statement.kind
        if self.busy > 0:
            self.busy -= 1
            state = SessionState.IN_TRANSACTION if connection.open else SessionState.IDLE
            return TargetReply(failure=TargetFailure.BUSY, session_state=state)
        if self.failing_share and self.world.rng.random() < self.failing_share:
            return self.fail(connection, TargetFailure.FAILED)
        if self.is_behind(command.floor):
            return self.fail(connection, TargetFailure.BEHIND)
        writes = kind is StatementKind.WRITE
        if self.has_lost_lead(connection, kind):
            return self.fail(connection, TargetFailure.READ_ONLY)
        if writes and not (self.is_primary and not connection.read_only):
            return self.fail(connection, TargetFailure.READ_ONLY)
        self.world.runs.append((self.world.now, self.name, statement))
        self.world.account_runs.append((self.world.now, connection.account, statement))
        if kind is StatementKind.COMMIT:
            if connection.writes and not self.is_primary:
                return self.fail(connection, TargetFailure.READ_ONLY)
            values, connection.writes = connection.writes, []
            connection.open = connection.read_only = False
            self.commit(values)
            return self.reply(connection, signature='signed')
        if writes and connection.open:
            connection.writes.append(statement.text)
        elif writes:
            self.commit([statement.text])
        rows = tuple(value for _, value in self.log[: self.visible.offset])
        return self.reply(connection, rows=rows, signature='signed')

    def has_lost_lead(self, connection, kind):
        """Return whether a transaction that may write is at a target that leads no longer."""
        if self.is_primary or not connection.open or connection.read_only:
            return False
        return kind is not StatementKind.COMMIT or bool(connection.writes)

    def begin(self, connection, command):
        if self.is_behind(command.floor):
            return self.fail(connection, TargetFailure.BEHIND)
        if not command.read_only and not self.is_primary:
            return self.fail(connection, TargetFailure.READ_ONLY)
        connection.open, connection.read_only = True, command.read_only
        return self.reply(connection)

    def roll_back(self, connection, command):
        connection.open, connection.writes = False, []
        return self.reply(connection)

    def set_variable(self, connection, command):
        connection.variables[command.name] = command.setting
        return self.reply(connection)

    def prepare(self, connection, command):
        connection.prepared[command.name] = (command.template, command.writes)
        return self.reply(connection)

    def clear(self, connection, command):
        connection.variables, connection.prepared = {}, {}
        return self.reply(connection)

    def read_status(self, connection, command):
        if self.world.now < self.polls_busy_until:
            return TargetReply(failure=TargetFailure.BUSY, session_state=SessionState.IDLE)
        return self.reply(connection, status=self.get_status())

    def fence(self, connection, command):
        if command.term > max(self.term, self.fenced) and not self.is_primary:
            self.fenced = command.term
        return self.reply(connection, status=self.get_status())

    def lift_fence(self, connection, command):
        self.fenced = 0
        self.world.replicate()
        return self.reply(connection, status=self.get_status())

    def demote(self, connection, command):
        if self.is_primary and self.term < command.term:
            self.is_primary = False
            self.applied = len(self.log)
            self.world.announce(self)
        return self.reply(connection, status=self.get_status())

    def commit(self, values):
        for value in values:
            self.log.append((self.term, value))
            self.world.committed[value] += 1
            if self.term < self.world.platform.promoted_term:
                self.world.late_commits.add(value)
        if values:
            self.world.replicate()

    def receive(self, primary, count):
        """Replicate the log of a primary up to `count` entries and apply it later."""
        if self.down or self.is_primary or self.fenced > primary.term or self.blank:
            return
        if self.term > primary.term or (primary.name, self.name) in self.world.cuts:
            return
        self.term = primary.term
        shared = 0
        pairs = zip(self.log, primary.log[:count], strict=False)
        for own, other in pairs:
            if own != other:
                break
            shared += 1
        if shared < len(self.log) and count <= len(self.log) and shared == count:
            return
        self.log = list(primary.log[:count])
        self.applied = min(self.applied, shared)
        self.world.after(self.apply_delay_s, lambda: self.apply(count))

    def apply(self, count):
        if not self.is_primary:
            self.applied = max(self.applied, min(count, len(self.log)))


HANDLERS = {
    Forward: FakeTarget.run_statement,
    Begin: FakeTarget.begin,
    Rollback: FakeTarget.roll_back,
    SetVariable: FakeTarget.set_variable,
    Prepare: FakeTarget.prepare,
    ClearSession: FakeTarget.clear,
    ReadStatus: FakeTarget.read_status,
    Fence: FakeTarget.fence,
    LiftFence: FakeTarget.lift_fence,
    Demote: FakeTarget.demote,
}
