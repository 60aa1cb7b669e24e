"""Harness that drives the owner role of one database with model targets."""

import itertools
import random
from dataclasses import dataclass, field, replace

from cassiaseam.configuration.model import DatabaseConfig, OwnershipChanged, TargetConfig
from cassiaseam.group.state import GroupState, QuorumSample, TargetView
from cassiaseam.messages import Answer, Request, RequestKind, ResultSet, TargetRole, TargetStatus
from cassiaseam.owner import handlers
from cassiaseam.positions import LogPosition
from cassiaseam.reducer.common import AnswerRequest, RequestArrived, Tick
from cassiaseam.reducer.node_state import NodeState
from cassiaseam.reducer.registry import HANDLERS
from cassiaseam.reducer.target_io import (
    ConnectionOpened,
    ConnectionReset,
    OpenConnection,
    ResetConnection,
    RunStatement,
    StatementFinished,
    TargetStatusReceived,
)

OWNER_HANDLERS = {
    event_type: [handler for handler in registered if handler.__module__ == handlers.__name__]
    for event_type, registered in HANDLERS.items()
}
NAMES = ('a', 'b', 'c')


def make_config(slots=3, connections=12, **fields):
    targets = tuple(
        TargetConfig(name, '127.0.0.1', 3306, f'place-{name}', slots, connections)
        for name in NAMES
    )
    return DatabaseConfig('db', targets, **fields)


@dataclass
class ModelTarget:
    """State that a target reports."""

    name: str
    term: int = 1
    fenced_term: int = 1
    offset: int = 10
    last_term: int = 1
    incarnation: str = '1'
    leaving: bool = False
    role: TargetRole = TargetRole.REPLICA

    def report(self, primary):
        position = LogPosition(self.last_term, self.offset)
        return TargetStatus(
            self.name,
            self.incarnation,
            self.term,
            self.fenced_term,
            position,
            position,
            self.role,
            follows='' if self.name == primary else primary,
            leaving=self.leaving,
        )


@dataclass
class OwnerHarness:
    """Daemon that owns database `db`, whose initial primary is target `a`."""

    config: DatabaseConfig = field(default_factory=make_config)
    now: float = 100.0
    auto_connect: bool = True

    def __post_init__(self):
        self.node = NodeState('vm-1', 'place-a', random.Random(1))
        self.group = GroupState(self.config)
        self.group.targets = {name: TargetView() for name in NAMES}
        self.node.groups['db'] = self.group
        self.targets = {name: ModelTarget(name) for name in NAMES}
        self.targets['a'].role = TargetRole.PRIMARY
        self.group.primary, self.group.term = 'a', 1
        self.ids = itertools.count()
        self.answers: dict[str, Answer] = {}
        self.statements: list[RunStatement] = []
        self.effects = []
        self.send(OwnershipChanged('db', owns=True))
        self.poll()

    @property
    def state(self):
        return self.node.databases.get('db')

    def send(self, event):
        effects = []
        for handler in OWNER_HANDLERS[type(event)]:
            effects.extend(handler(self.node, event, self.now))
        self.effects.extend(effects)
        for effect in effects:
            self.handle_effect(effect)
        return effects

    def handle_effect(self, effect):
        if isinstance(effect, AnswerRequest):
            request_id = effect.answer.request_id
            assert request_id not in self.answers, f'two answers to {request_id}'
            self.answers[request_id] = effect.answer
        elif isinstance(effect, RunStatement):
            self.statements.append(effect)
        elif self.auto_connect and isinstance(effect, OpenConnection):
            incarnation = self.targets[effect.target].incarnation
            self.send(ConnectionOpened('db', effect.target, effect.connection_id, incarnation))
        elif self.auto_connect and isinstance(effect, ResetConnection):
            self.send(ConnectionReset('db', effect.target, effect.connection_id, succeeded=True))

    def poll(self, names=NAMES, started_at=None):
        started_at = self.now if started_at is None else started_at
        for name in names:
            view = self.group.targets[name]
            status = self.targets[name].report(self.group.primary)
            view.status, view.status_started_at, view.answered_at = status, started_at, self.now
            view.fresh_as_of, view.failures, view.unanswered_since = started_at, 0, None
        if len(names) * 2 > len(NAMES):
            top = max(self.group.targets[name].status.last for name in names)
            self.group.samples = [QuorumSample(started_at, top, self.group.term)]
        for name in names:
            status = self.group.targets[name].status
            self.send(TargetStatusReceived('db', name, started_at, status))

    def replicate(self, names=NAMES):
        primary = self.targets[self.group.primary]
        for name in names:
            target = self.targets[name]
            target.term = target.fenced_term = primary.term
            target.offset, target.last_term = primary.offset, primary.last_term

    def fail_over(self, primary, term):
        for target in self.targets.values():
            target.fenced_term = target.term = term
            target.role = TargetRole.REPLICA
        self.targets[primary].role = TargetRole.PRIMARY
        self.group.primary, self.group.term = primary, term

    def request(self, kind=RequestKind.READ, **fields):
        fields.setdefault('deadline', self.now + 5)
        fields.setdefault('session_opened_at', self.now - 1)
        number = next(self.ids)
        request = Request(f'r{number}', 'entry-1', 'caller', 'session-1', 'db', kind)
        request = replace(request, **fields)
        self.send(RequestArrived(request))
        return request.request_id

    def finish(self, failure=None, position=None, index=-1, **fields):
        run = self.statements.pop(index)
        result_set = ResultSet(affected_rows=1) if failure is None else None
        self.send(
            StatementFinished(
                'db',
                run.target,
                run.connection_id,
                run.request_id,
                result_set,
                failure,
                position=position,
                **fields,
            )
        )
        return run

    def commit(self, index=-1):
        primary = self.targets[self.statements[index].target]
        primary.offset += 1
        primary.last_term = primary.term
        return self.finish(position=LogPosition(primary.term, primary.offset), index=index)

    def advance(self, seconds):
        self.now += seconds
        self.send(Tick())

    def error(self, request_id):
        answer = self.answers.get(request_id)
        return answer.error.kind if answer is not None and answer.error is not None else None
