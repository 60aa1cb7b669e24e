"""Harness that checks every effect of the owner role against targets on a faulty network."""

from collections import Counter
from dataclasses import dataclass, field

from owner_harness import NAMES, ModelTarget, OwnerHarness

from cassiaseam.configuration.model import DatabaseConfigured
from cassiaseam.errors import RESPONSES, RunState
from cassiaseam.group.state import QuorumSample
from cassiaseam.messages import RequestKind, TargetRole
from cassiaseam.owner.expiry import find_next_due
from cassiaseam.positions import LogPosition
from cassiaseam.reducer.common import AnswerRequest, EntryLost, RequestCancelled, SessionClosed
from cassiaseam.reducer.target_io import (
    CloseConnection,
    ConnectionFailed,
    ConnectionOpened,
    ConnectionReset,
    ExecutionMode,
    OpenConnection,
    ResetConnection,
    RunStatement,
    StatementFailure,
    StatementFinished,
    TargetStatusReceived,
)

IN_TRANSACTION = {ExecutionMode.IN_TRANSACTION, ExecutionMode.COMMIT, ExecutionMode.ROLLBACK}
COMMITTING = {ExecutionMode.WRITE, ExecutionMode.KEYED_WRITE, ExecutionMode.COMMIT}
NOT_EXECUTED = {StatementFailure.READ_ONLY, StatementFailure.NOT_SENT}


@dataclass
class LogTarget(ModelTarget):
    """Target with a log of `(term, request id)`."""

    log: list = field(default_factory=list)

    def report(self, primary):
        self.offset = len(self.log)
        self.last_term = self.log[-1][0] if self.log else 0
        return super().report(primary)


@dataclass
class ModelConnection:
    """Connection as seen by its target."""

    target: str
    incarnation: str
    transaction: str | None = None
    session: str = ''
    finished: bool = False
    clean: bool = True
    ready: bool = False
    running: RunStatement | None = None
    counted: bool = False


class FaultyOwnerHarness(OwnerHarness):
    """Harness in which any message can be late or lost and any target can fail."""

    def __init__(self, config):
        self.connections = {}
        self.closed = {}
        self.pending = []
        self.requests = {}
        self.cancelled = set()
        self.possibly_executed = set()
        self.executed = Counter()
        self.running = Counter()
        self.running_writes = Counter()
        self.transactions = ['t0']
        super().__init__(config, auto_connect=False)
        self.targets = {name: LogTarget(name, log=[(1, 'first')]) for name in NAMES}
        self.targets['a'].role = TargetRole.PRIMARY
        self.poll()

    # Requests.

    def send_request(self, kind, required_entry=None, **fields):
        request_id = f'q{len(self.requests)}'
        self.requests[request_id] = {'kind': kind, 'required_entry': required_entry, **fields}
        self.request(kind, request_id=request_id, **fields)

    def begin(self, **fields):
        transaction_id = f't{len(self.transactions)}'
        self.transactions.append(transaction_id)
        self.send_request(RequestKind.BEGIN, transaction_id=transaction_id, **fields)

    # Effects.

    def handle_effect(self, effect):
        if isinstance(effect, AnswerRequest):
            super().handle_effect(effect)
            self.check_answer(effect.answer.request_id)
        elif isinstance(effect, OpenConnection):
            target = self.targets[effect.target]
            used = [link for link in self.connections.values() if link.target == effect.target]
            limit = self.config.targets[0].connections // 2
            assert len(used) < limit, 'more connections than half of those of the target'
            link = ModelConnection(effect.target, target.incarnation)
            self.connections[effect.connection_id] = link
            self.pending.append(effect)
        elif isinstance(effect, CloseConnection):
            self.close(effect.connection_id)
        elif isinstance(effect, ResetConnection):
            self.pending.append(effect)
        elif isinstance(effect, RunStatement):
            self.check_statement(effect)
            self.pending.append(effect)

    def close(self, connection_id):
        link = self.connections.pop(connection_id, None)
        if link is not None:
            self.closed[connection_id] = link

    def check_statement(self, run):
        link = self.connections[run.connection_id]
        request = self.requests[run.request_id]
        assert link.ready and link.running is None, 'connection is not ready'
        link.running = run
        if run.mode in IN_TRANSACTION:
            assert link.transaction == request['transaction_id'], 'foreign transaction'
            assert link.session == request['session_id'], 'foreign session'
            assert not link.finished, 'statement after the end of its transaction'
            link.finished = run.mode is not ExecutionMode.IN_TRANSACTION
        else:
            assert link.clean and link.transaction is None, 'no reset before reuse'
        if run.mode in {ExecutionMode.BEGIN, ExecutionMode.KEYED_BEGIN}:
            link.transaction, link.clean = request['transaction_id'], False
            link.session = request['session_id']
        if run.mode is ExecutionMode.WRITE:
            assert run.request_id not in self.possibly_executed, 'write sent twice'
        self.possibly_executed.add(run.request_id)
        if not self.is_alive(link):
            return
        slots = self.config.targets[0].slots
        link.counted = True
        self.running[run.target] += 1
        self.running_writes[run.target] += run.mode is not ExecutionMode.READ
        assert self.running[run.target] <= slots, 'more statements than slots'
        limit = max(1, slots - 1)
        assert self.running_writes[run.target] <= limit, 'writes occupy all slots'

    def check_answer(self, request_id):
        answer, request = self.answers[request_id], self.requests[request_id]
        assert self.now <= request['deadline'], 'answer after the deadline'
        assert request_id not in self.cancelled, 'answer to a cancelled request'
        if answer.error is not None:
            if RESPONSES[answer.error.kind].ran is RunState.NO:
                assert not self.executed[request_id], f'ran, but answered {answer.error}'
            return
        autocommit = 'transaction_id' not in request and request['kind'] is RequestKind.WRITE
        if autocommit or (request['kind'] is RequestKind.COMMIT):
            self.check_durable(self.find_stored_key(request) or request_id)

    def find_stored_key(self, request):
        key = request.get('idempotency_key')
        return None if key is None else f'{request.get("caller", "caller")}/{key}'

    def check_durable(self, entry):
        holders = [t for t in self.targets.values() if entry in {name for _, name in t.log}]
        assert len(holders) >= 2, f'{entry} acknowledged without a majority'

    # Targets.

    def deliver(self, pick, outcome):
        if not self.pending:
            return
        message = self.pending.pop(pick % len(self.pending))
        if isinstance(message, OpenConnection):
            self.deliver_open(message, outcome)
        elif isinstance(message, ResetConnection):
            self.deliver_reset(message, outcome)
        elif isinstance(message, RunStatement):
            self.deliver_statement(message, outcome)
        else:
            self.deliver_status(message)

    def deliver_open(self, message, outcome):
        link = self.connections.get(message.connection_id)
        base = ('db', message.target, message.connection_id)
        if link is None or (outcome != 7 and self.is_alive(link)):
            if link is not None:
                link.ready = True
            self.send(ConnectionOpened(*base, self.targets[message.target].incarnation))
        else:
            self.close(message.connection_id)
            self.send(ConnectionFailed(*base, 'refused'))

    def deliver_reset(self, message, outcome):
        link = self.connections.get(message.connection_id)
        succeeded = link is not None and self.is_alive(link) and outcome != 7
        if succeeded:
            link.clean, link.transaction, link.finished = True, None, False
        self.send(ConnectionReset('db', message.target, message.connection_id, succeeded))

    def is_alive(self, link):
        return self.targets[link.target].incarnation == link.incarnation

    def deliver_statement(self, run, outcome):
        link = self.connections.get(run.connection_id)
        open_link = link is not None and self.is_alive(link)
        link = link or self.closed[run.connection_id]
        if link.counted:
            self.running[run.target] -= 1
            self.running_writes[run.target] -= run.mode is not ExecutionMode.READ
        link.running = None
        link.counted = False
        failure, position, replayed = None, None, False
        if outcome == 8:
            failure = StatementFailure.NOT_SENT
        elif outcome == 6 or (not open_link and not (outcome % 2 and self.is_alive(link))):
            failure = StatementFailure.LOST
        elif outcome == 9:
            failure = StatementFailure.SQL_ERROR
        elif run.mode in COMMITTING:
            failure, position, replayed = self.execute(run)
        if failure is None and (outcome in {7, 10} or not open_link):
            failure = StatementFailure.LOST if outcome == 7 else StatementFailure.TIMEOUT
        if failure in NOT_EXECUTED:
            self.possibly_executed.discard(run.request_id)
        if failure is not None:
            link.clean = False
        if failure is None and run.mode is ExecutionMode.READ:
            self.check_floor(run)
        self.send(
            StatementFinished(
                'db',
                run.target,
                run.connection_id,
                run.request_id,
                failure=failure,
                position=position if failure is None else None,
                replayed=replayed,
            )
        )

    def execute(self, run):
        target = self.targets[run.target]
        if target.role is not TargetRole.PRIMARY or target.fenced_term > target.term:
            return StatementFailure.READ_ONLY, None, False
        entry = run.idempotency_key or run.request_id
        if run.idempotency_key and entry in {name for _, name in target.log}:
            return None, None, True
        answer = self.answers.get(run.request_id)
        answered_with_error = answer is not None and answer.error is not None
        if answered_with_error:
            assert RESPONSES[answer.error.kind].ran is not RunState.NO, 'ran after "not run"'
        self.executed[run.request_id] += 1
        target.log.append((target.term, entry))
        return None, LogPosition(target.term, len(target.log)), False

    def check_floor(self, run):
        required = self.requests[run.request_id]['required_entry']
        names = {name for _, name in self.targets[run.target].log}
        assert required is None or required in names, 'read misses an acknowledged write'

    def poll_target(self, name, delay):
        status = self.targets[name].report(self.group.primary)
        message = (name, self.now, status)
        if delay:
            self.pending.append(message)
        else:
            self.deliver_status(message)

    def deliver_status(self, message):
        name, started_at, status = message
        view = self.group.targets[name]
        if started_at >= view.status_started_at:
            view.status, view.status_started_at, view.answered_at = status, started_at, self.now
            view.fresh_as_of = started_at
            if status.role is TargetRole.PRIMARY and status.term > self.group.term:
                self.group.term, self.group.primary = status.term, name
        self.send(TargetStatusReceived('db', name, started_at, status))

    def poll_group(self, replicated):
        self.run_for(0.0001)
        for name in NAMES:
            if name in replicated:
                self.replicate_to(name)
            self.poll_target(name, delay=False)
        top = max(view.status.last for view in self.group.targets.values())
        self.group.samples = [QuorumSample(self.now, top, self.group.term)]

    def replicate_to(self, name):
        primary = max(self.targets.values(), key=lambda t: (t.role is TargetRole.PRIMARY, t.term))
        target = self.targets[name]
        if target is not primary and target.fenced_term <= primary.term:
            target.term = target.fenced_term = primary.term
            target.role = TargetRole.REPLICA
            target.log = list(primary.log)

    def promote(self, left_out):
        voters = [target for target in self.targets.values() if target.name != left_out]
        term = max(target.fenced_term for target in self.targets.values()) + 1
        chosen = max(voters, key=lambda t: (t.log[-1][0], len(t.log)))
        for target in voters:
            target.fenced_term = term
            target.role = TargetRole.FENCED
        chosen.term, chosen.role = term, TargetRole.PRIMARY

    def restart(self, name):
        target = self.targets[name]
        target.incarnation = str(int(target.incarnation) + 1)
        self.running[name] = self.running_writes[name] = 0
        for link in (*self.connections.values(), *self.closed.values()):
            link.counted = link.counted and link.target != name

    def find_acknowledged(self):
        for request_id, answer in reversed(self.answers.items()):
            request = self.requests[request_id]
            autocommit = 'transaction_id' not in request and request['kind'] is RequestKind.WRITE
            if answer.error is None and autocommit:
                return self.find_stored_key(request) or request_id, answer.position
        return None, LogPosition(0, 0)

    def cancel(self, pick):
        waiting = [name for name in self.requests if name not in self.answers]
        if waiting:
            request_id = waiting[pick % len(waiting)]
            self.cancelled.add(request_id)
            self.send(RequestCancelled('db', request_id))

    def disconnect_caller(self, pick):
        for request_id in self.requests:
            if pick % 2 and request_id not in self.answers:
                self.cancelled.add(request_id)
        self.send(EntryLost('entry-1') if pick % 2 else SessionClosed('db', 'session-0'))

    def configure(self, config):
        self.group.config = config
        self.send(DatabaseConfigured(config))

    def run_for(self, seconds):
        end = self.now + seconds
        while True:
            due = find_next_due(self.node)
            if due is None or due > end:
                break
            self.now = max(self.now, due)
            self.advance(0)
        self.now = end
        for request_id, request in self.requests.items():
            answered = request_id in self.answers or request_id in self.cancelled
            assert answered or request['deadline'] > self.now, f'{request_id} has no answer'
