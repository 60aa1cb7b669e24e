"""Owner and group roles together while targets are killed, frozen and drained."""

from dataclasses import replace

import pytest
from group_model import DATABASE, World

from cassiaseam.configuration.model import DatabaseConfigured, TargetState
from cassiaseam.errors import RESPONSES, RunState
from cassiaseam.messages import Request, RequestKind, ResultSet
from cassiaseam.positions import LogPosition
from cassiaseam.reducer import target_io
from cassiaseam.reducer.common import AnswerRequest, RecordTimeline, RequestArrived
from cassiaseam.reducer.registry import reduce_event

STATEMENT_S = 0.002
CONNECTION_EFFECTS = (
    target_io.OpenConnection,
    target_io.ResetConnection,
    target_io.RunStatement,
)


class OwnerGroupSimulation(World):
    """Simulation whose reads and writes pass through the owner role."""

    def __init__(self, **fields):
        self.answers, self.requests, self.executed = {}, {}, {}
        super().__init__(**fields)

    def dispatch(self, owner, event):
        for effect in reduce_event(self.owners[owner], event, self.now):
            if isinstance(effect, AnswerRequest):
                self.check_answer(effect.answer)
            elif isinstance(effect, CONNECTION_EFFECTS):
                self.serve(owner, effect)
            elif isinstance(effect, target_io.ClaimTerm):
                self.claim_term(owner, effect)
            elif isinstance(effect, RecordTimeline):
                self.records.append(effect.record)
            elif not isinstance(effect, target_io.RecordPrimary | target_io.CloseConnection):
                self.send(owner, effect, self.now)

    def serve(self, owner, effect):
        target = self.targets[effect.target]
        incarnation = target.incarnation

        def arrive():
            if target.frozen:
                self.schedule(0.05, arrive)
            elif self.is_connected(owner, target.name):
                alive = target.running and target.incarnation == incarnation
                self.dispatch(owner, self.end(effect, target, alive))

        self.schedule(STATEMENT_S, arrive)

    def end(self, effect, target, alive):
        base = (DATABASE, target.name, effect.connection_id)
        if isinstance(effect, target_io.OpenConnection):
            if alive:
                return target_io.ConnectionOpened(*base, str(target.incarnation))
            return target_io.ConnectionFailed(*base, 'refused')
        if isinstance(effect, target_io.ResetConnection):
            return target_io.ConnectionReset(*base, alive)
        failure, position = None, None
        if not alive:
            failure = target_io.StatementFailure.LOST
        elif effect.mode is target_io.ExecutionMode.WRITE:
            if target.commit(effect.request_id):
                position = target.last()
                self.executed[effect.request_id] = (position, target.log[-1])
            else:
                failure = target_io.StatementFailure.READ_ONLY
        return target_io.StatementFinished(
            *base, effect.request_id, ResultSet(), failure, position=position
        )

    def check_answer(self, answer):
        request = self.requests[answer.request_id]
        assert answer.request_id not in self.answers
        assert self.now <= request.deadline + 0.02
        self.answers[answer.request_id] = (self.now, answer)
        if request.kind is not RequestKind.WRITE:
            return
        if answer.error is not None:
            if RESPONSES[answer.error.kind].ran is RunState.NO:
                assert answer.request_id not in self.executed
            return
        position, entry = self.executed[answer.request_id]
        self.committed.append((self.now, position, entry))
        self.highest_committed = LogPosition(
            max(self.highest_committed.term, position.term),
            max(self.highest_committed.offset, position.offset),
        )

    def write(self, owner):
        for kind, age_s in ((RequestKind.WRITE, None), (RequestKind.READ, 1.0)):
            request_id = f'r{len(self.requests)}'
            request = Request(
                request_id,
                'entry-1',
                'caller',
                'session-1',
                DATABASE,
                kind,
                deadline=self.now + 3,
                floor=self.highest_committed,
                max_age_s=age_s,
            )
            self.requests[request_id] = request
            self.dispatch(owner, RequestArrived(request))

    def acknowledge(self, owner):
        """Do nothing: the owner role acknowledges writes."""

    def count(self, kind, since, until):
        times = [
            answered_at
            for request_id, (answered_at, answer) in self.answers.items()
            if self.requests[request_id].kind is kind and answer.error is None
        ]
        return sum(since <= answered_at < until for answered_at in times)


def kill(simulation):
    simulation.targets[simulation.group().primary].running = False


def freeze(simulation):
    simulation.targets[simulation.group().primary].frozen = True


def drain(simulation):
    name = simulation.group().primary
    targets = tuple(
        replace(target, state=TargetState.DRAINING) if target.name == name else target
        for target in simulation.config.targets
    )
    simulation.dispatch(
        'vm1', DatabaseConfigured(replace(simulation.config, targets=targets, version=1))
    )


@pytest.mark.parametrize('fault', [kill, freeze, drain])
@pytest.mark.parametrize('seed', [1, 2])
def test_writes_resume_and_reads_continue_after_the_loss_of_the_primary(fault, seed):
    simulation = OwnerGroupSimulation(seed=seed)
    simulation.run_for(3)
    former = simulation.group().primary
    assert simulation.count(RequestKind.WRITE, 0, simulation.now) > 20
    lost_at = simulation.now
    fault(simulation)
    simulation.run_for(8)
    assert simulation.group().primary != former
    assert simulation.count(RequestKind.WRITE, lost_at + 4, simulation.now) > 20
    for second in range(8):
        begun = lost_at + second
        assert simulation.count(RequestKind.READ, begun, begun + 1) > 5
    late = [r for r in simulation.requests.values() if r.deadline < simulation.now - 0.02]
    assert all(request.request_id in simulation.answers for request in late)
