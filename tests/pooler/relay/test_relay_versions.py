"""Sessions that a peer relays, after this VM has applied another version of the configuration."""

from dataclasses import replace

import pytest
from pooler_world import GROUP, World, get_error, is_success

from cassiaseam.errors import ErrorKind, RunState
from cassiaseam.pooler.commands import StatementKind
from cassiaseam.pooler.events import CallerConnected, ConfigurationRead
from cassiaseam.pooler.relay import decisions

RELAYED = 1
DIRECT = 2


class RelayedWorld(World):
    """Virtual deployment of one VM with a relayed session and one of its own."""

    def __init__(self):
        super().__init__(vms=1)
        self.run_until(0.5)
        self.vm = self.vms['vm0']
        self.state = self.vm.state
        self.vm.dispatch(CallerConnected(RELAYED, 'orders', b'', False, 1))
        self.connect('vm0', DIRECT, 'orders')
        self.answers = []

    def apply_version(self, version, **changes):
        config = replace(self.state.config, version=version, **changes)
        self.vm.dispatch(ConfigurationRead(config))

    def record_answer(self, vm, effect):
        super().record_answer(vm, effect)
        self.answers.append(effect)

    def run(self, kind, session=RELAYED, for_s=0.3, **fields):
        call = self.send('vm0', session, kind, **fields)
        self.run_until(self.now + for_s)
        return call

    def list_lines(self, kind):
        return [fields for _, _, logged, fields in self.log_lines if logged == kind]


@pytest.mark.parametrize(('version', 'closed'), [(1, []), (2, [('vm0', RELAYED)])])
def test_idle_relayed_session_is_closed_in_the_event_that_changes_the_version(version, closed):
    # A statement before the next tick ran under a version that the relaying VM had not seen.
    world = RelayedWorld()
    assert is_success(world.run(StatementKind.READ))
    world.apply_version(version)
    assert world.closed == closed
    assert [line['version'] for line in world.list_lines('session_closed')] == [2] * len(closed)
    assert is_success(world.run(StatementKind.READ, DIRECT))


@pytest.mark.parametrize(
    ('kind', 'fields'),
    [
        (StatementKind.SET, {'name': 'a', 'argument': '1'}),
        (StatementKind.PREPARE, {'name': 'p', 'argument': 'read'}),
        (StatementKind.BEGIN, {}),
        (StatementKind.READ, {}),
        (StatementKind.WRITE, {}),
    ],
)
def test_statement_behind_the_one_in_flight_is_refused_and_leaves_nothing(kind, fields):
    # SET, PREPARE and BEGIN were acknowledged under the new version, READ and WRITE ran under it.
    world = RelayedWorld()
    session = world.state.sessions[RELAYED]
    assert is_success(world.run(StatementKind.READ))
    first = world.send('vm0', RELAYED, StatementKind.READ)
    second = world.send('vm0', RELAYED, kind, **fields)
    world.apply_version(2)
    assert not world.closed
    world.record_answer = lambda vm, effect: world.answers.append(effect)
    world.run_until(world.now + 0.3)
    served, refused = world.answers[-2:]
    assert served.error is None
    assert (refused.error.kind, refused.error.ran) == (ErrorKind.NO_TARGET, RunState.NO)
    assert not (session.variables or session.prepared or session.transaction)
    assert world.closed == [('vm0', RELAYED)]
    assert first.statement.request_id != second.statement.request_id
    failed = world.list_lines('request_failed')
    assert [line['request_id'] for line in failed] == [second.statement.request_id]


@pytest.mark.parametrize('end', [StatementKind.COMMIT, StatementKind.ROLLBACK])
def test_open_transaction_keeps_its_route_and_ends_the_session(end):
    # A route that the new version drops must not abort a transaction that is open.
    world = RelayedWorld()
    world.run(StatementKind.BEGIN)
    assert is_success(world.run(StatementKind.WRITE))
    world.apply_version(2, routes={})
    assert is_success(world.run(StatementKind.WRITE))
    assert not world.closed
    ended = world.run(end, for_s=0.0 if end is StatementKind.ROLLBACK else 0.3)
    assert get_error(ended) is None
    assert ended.answer is not None
    assert world.closed == [('vm0', RELAYED)]


def test_failed_transaction_of_a_former_version_ends_with_the_session():
    # ROLLBACK of a failed transaction is answered without an operation, and left the session open.
    world = RelayedWorld()
    world.run(StatementKind.BEGIN)
    assert is_success(world.run(StatementKind.WRITE))
    world.apply_version(2)
    for name in list(world.targets):
        world.cut('vm0', name, 5.0)
    failed = world.run(StatementKind.WRITE, for_s=1.2)
    assert get_error(failed) is ErrorKind.TRANSACTION_ABORTED
    assert not world.closed
    assert get_error(world.run(StatementKind.ROLLBACK, for_s=0.0)) is None
    assert world.closed == [('vm0', RELAYED)]


def test_acceptances_for_a_former_version_are_forgotten():
    # Sessions were closed early so that peers take them, although those refuse the new one.
    world = RelayedWorld()
    relay = world.state.relay
    relay.enabled = True
    decisions.record_answer(relay, GROUP, 'vm1', '', True, world.now)
    assert decisions.find_close_delay_s(relay, GROUP, RELAYED, 2.2, world.now) < 1
    world.apply_version(2)
    assert decisions.find_close_delay_s(relay, GROUP, RELAYED, 2.2, world.now) == 2.2


@pytest.mark.parametrize('kind', [StatementKind.READ, StatementKind.WRITE])
def test_statement_in_flight_is_answered_before_its_session_ends(kind):
    # A session that is closed in the middle of a statement leaves its outcome unknown.
    world = RelayedWorld()
    assert is_success(world.run(StatementKind.READ))
    call = world.send('vm0', RELAYED, kind)
    world.apply_version(2)
    assert not world.closed
    world.run_until(world.now + 0.3)
    assert is_success(call)
    assert world.closed == [('vm0', RELAYED)]
