"""Property tests of the guarantees to callers: reducers of several VMs under random faults."""

import os
from itertools import count, groupby

import pytest
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st
from pooler_world import INDETERMINATE_ERRORS, MAX_AGE_S, ROUTES, World, get_error, is_success
from virtual_calls import CONNECTION, DELIVERY

from cassiaseam.pooler.commands import StatementKind
from cassiaseam.pooler.model import Consistency

# Set POOLER_EXAMPLES=10000 to run more examples with a random seed.
EXAMPLES = int(os.environ.get('POOLER_EXAMPLES', '60'))
CALLERS_UNTIL_S = 11.0
# The longest fault ends at 13 s, which leaves 4 s for recovery.
END_S = 17.0
FAULTS_FROM_S = 1.0
FAULTS_UNTIL_S = 7.0
# Seconds by which an answer may exceed the statement timeout, because its VM was suspended or
# polled late.
ANSWER_SLACK_S = 0.1

TIMES = st.floats(FAULTS_FROM_S, FAULTS_UNTIL_S)
DURATIONS = st.floats(0.05, 3.0)
# Durations that may exceed the time after which another VM takes over the promotion lease.
LONG_DURATIONS = st.floats(0.05, 6.0)
TARGETS = st.sampled_from(['t0', 't1', 't2'])
VMS = st.sampled_from(['vm0', 'vm1'])
MOMENTS = st.sampled_from(['claim', 'claimed', 'call'])
CALL_PARTS = st.sampled_from([CONNECTION, DELIVERY])
# The platform executes an unanswered write at once or seconds later.
WRITE_DELAYS = st.one_of(st.just(0.0), st.floats(1.0, 6.0))
READ_DELAYS = st.floats(0.1, 3.0)
# The platform specifies some hundred milliseconds; slow targets take longer.
LEAD_DELAYS = st.floats(0.3, 1.5)
FAULTS = st.one_of(
    st.tuples(st.just('crash'), TIMES, TARGETS, DURATIONS),
    st.tuples(st.just('mute'), TIMES, TARGETS, DURATIONS),
    st.tuples(st.just('freeze'), TIMES, VMS, DURATIONS),
    st.tuples(st.just('cut_store'), TIMES, VMS, DURATIONS),
    st.tuples(st.just('cut_vm'), TIMES, VMS, TARGETS, DURATIONS),
    st.tuples(st.just('cut_targets'), TIMES, TARGETS, TARGETS, DURATIONS),
    st.tuples(st.just('leave'), TIMES, TARGETS),
    st.tuples(st.just('drop_answers'), TIMES, TARGETS, st.integers(1, 4)),
    st.tuples(st.just('lose_promotion_answers'), TIMES, st.integers(1, 3)),
    st.tuples(st.just('cut_peers'), TIMES, VMS, DURATIONS),
    st.tuples(st.just('lose_datagrams'), TIMES, st.integers(1, 20)),
    st.tuples(st.just('hold_promotions'), TIMES, VMS, CALL_PARTS, LONG_DURATIONS),
    st.tuples(st.just('freeze_holder'), TIMES, VMS, MOMENTS, LONG_DURATIONS),
    st.tuples(st.just('late_duty_writes'), TIMES, WRITE_DELAYS, st.integers(1, 3)),
    st.tuples(st.just('slow_duty_reads'), TIMES, VMS, READ_DELAYS, DURATIONS),
    st.tuples(st.just('slow_promotions'), TIMES, LEAD_DELAYS, DURATIONS),
)


def apply_fault(world, fault):
    kind, _, *arguments = fault
    if kind in {'cut_vm', 'cut_targets'}:
        world.cut(*arguments)
    elif kind == 'leave':
        target = world.targets[arguments[0]]
        target.leaving = True
        world.announce(target)
        world.after(3.0, lambda: return_target(world, target))
    elif kind == 'cut_peers':
        name, for_s = arguments
        for other in set(world.vms) - {name}:
            world.cut(name, other, for_s)
    elif kind == 'lose_datagrams':
        world.datagrams_to_drop += arguments[0]
    elif kind == 'drop_answers':
        world.targets[arguments[0]].drop_answers += arguments[1]
    elif kind == 'freeze_holder':
        world.freeze_holder(*arguments)
        world.at(FAULTS_UNTIL_S, world.vms[arguments[0]].freezes.clear)
    else:
        owner = world if hasattr(world, kind) else world.platform
        getattr(owner, kind)(*arguments)


def return_target(world, target):
    target.leaving = False
    world.announce(target)


class Callers:
    """Callers that write values, read them back and check the answers."""

    def __init__(self, world):
        self.world = world
        self.numbers = count()
        self.acknowledged = {}
        self.rejected = set()
        self.checked_reads = 0
        for vm in world.vms:
            for session, database in enumerate(ROUTES, start=1):
                world.connect(vm, session, database)
                self.step(vm, session, database, [])

    def step(self, vm, session, database, own_writes):
        """Send the next statement of a session."""
        world = self.world
        # A caller sends nothing more on a closed session.
        if world.now > CALLERS_UNTIL_S or (vm, session) in world.closed:
            return
        chosen = world.rng.random()
        if chosen < 0.4 and database != 'prices':
            value = f'{vm}-{session}-{next(self.numbers)}'
            call = world.send(vm, session, StatementKind.WRITE, value)
            self.wait(call, lambda: self.end_write(call, value, database, own_writes))
        elif chosen < 0.55 and database != 'prices':
            self.run_transaction(vm, session, database, own_writes)
        else:
            call = world.send(vm, session, StatementKind.READ)
            self.wait(call, lambda: self.end_read(call, database, own_writes))

    def wait(self, call, done):
        if call.answer is not None:
            done()
        else:
            self.world.after(0.005, lambda: self.wait(call, done))

    def schedule_next(self, call, database, own_writes):
        pause_s = 0.02 + self.world.rng.random() * 0.1
        self.world.after(pause_s, lambda: self.step(call.vm, call.session, database, own_writes))

    def end_write(self, call, value, database, own_writes):
        self.record_outcome(call, [value], own_writes)
        self.schedule_next(call, database, own_writes)

    def record_outcome(self, call, values, own_writes):
        if is_success(call):
            for value in values:
                self.acknowledged[value] = call.answered_at
                own_writes.append(value)
        elif get_error(call) not in INDETERMINATE_ERRORS:
            self.rejected.update(values)

    def end_read(self, call, database, own_writes):
        self.check_read(call, database, own_writes)
        self.schedule_next(call, database, own_writes)

    def check_read(self, call, database, own_writes):
        if not is_success(call):
            return
        self.checked_reads += 1
        seen = set(call.answer.rows)
        consistency = ROUTES[database]
        limit = call.begun_at
        if consistency is not Consistency.PRIMARY:
            limit -= MAX_AGE_S
        required = {value for value, at in self.acknowledged.items() if at < limit}
        assert required <= seen, f'{call} lacks {required - seen}'
        if consistency is Consistency.READ_YOUR_WRITES:
            assert set(own_writes) <= seen, f'{call} lacks own {set(own_writes) - seen}'

    def list_statements(self, value):
        """Return the kind and text of each statement of the next transaction."""
        return [
            (StatementKind.BEGIN, ''),
            (StatementKind.READ, ''),
            (StatementKind.WRITE, value),
            (StatementKind.COMMIT, ''),
        ]

    def run_transaction(self, vm, session, database, own_writes):
        world = self.world
        value = f'{vm}-{session}-{next(self.numbers)}'
        begun_at = world.now
        kinds = self.list_statements(value)

        def run(index):
            kind, text = kinds[index]
            call = world.send(vm, session, kind, text, begun_at=begun_at)
            self.wait(call, lambda: end(call, index))

        def end(call, index):
            kind = kinds[index][0]
            if kind is StatementKind.READ:
                self.check_read(call, database, own_writes)
            if call.answer.error is not None:
                self.record_outcome(call, [value], own_writes)
                if kind is not StatementKind.COMMIT:
                    rolled_back = world.send(vm, session, StatementKind.ROLLBACK)
                    assert rolled_back.answer.error is None, rolled_back
                self.schedule_next(call, database, own_writes)
            elif kind is StatementKind.COMMIT:
                self.record_outcome(call, [value], own_writes)
                self.schedule_next(call, database, own_writes)
            else:
                world.after(0.02, lambda: run(index + 1))

        run(0)


def play(faults, seed, shared=False, callers_class=Callers):
    world = World(seed=seed, shared=shared)
    world.run_until(0.5)
    callers = callers_class(world)
    for fault in faults:
        world.at(fault[1], lambda item=fault: apply_fault(world, item))
    world.run_until(END_S)
    return world, callers


def check_promises(world, callers):
    primary = world.find_primary()
    assert primary is not None
    kept = [value for _, value in primary.log]
    lost = set(callers.acknowledged) - set(kept)
    assert not lost, f'acknowledged and lost: {lost}'
    assert len(set(kept)) == len(kept), 'a write took effect twice'
    broken = callers.rejected & set(kept)
    assert not broken, f'promised not to be kept: {broken}'
    for call in world.history:
        assert call.answer is not None, f'no answer: {call}'


def check_tokens(world):
    """Check that fencing tokens never decrease at the platform and belong to one holder each."""
    seen = 0
    holders = {}
    for arrival in world.platform.arrivals:
        if arrival.token < seen:
            pytest.fail(f'a lower token followed a higher one: {world.describe_promotions()}')
        seen = arrival.token
        if holders.setdefault(seen, arrival.holder) != arrival.holder:
            pytest.fail(f'two holders used one token: {world.describe_promotions()}')


# Seconds within which two VMs must not promote alternately; the users' bench checks the same.
ALTERNATION_WINDOW_S = 3.0


def check_turns(world):
    """Check that two VMs do not promote alternately within `ALTERNATION_WINDOW_S`."""
    arrivals = world.platform.arrivals
    for index, later in enumerate(arrivals):
        recent = [item for item in arrivals[:index] if later.at - item.at <= ALTERNATION_WINDOW_S]
        holders = [holder for holder, _ in groupby(item.holder for item in recent)]
        if holders[-1:] != [later.holder] and later.holder in holders:
            pytest.fail(f'two VMs promoted in turn: {world.describe_promotions()}')


def check_late_commits(world, callers):
    """Check that no acknowledged write was committed by an old primary after a promotion."""
    late = set(callers.acknowledged) & world.late_commits
    if late:
        trace = world.describe_promotions()
        pytest.fail(f'acknowledged and committed at a replaced primary: {late} {trace}')


def check_fences(world):
    """Check that no VM lifted a fence that the promotion of another VM relied on."""
    if world.broken_fences:
        pytest.fail(f'{world.broken_fences} {world.describe_promotions()}')


@settings(
    max_examples=EXAMPLES,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
    derandomize='POOLER_EXAMPLES' not in os.environ,
)
@given(faults=st.lists(FAULTS, max_size=4), seed=st.integers(0, 10**6), shared=st.booleans())
# A planned promotion without fences lost writes that a primary of an intermediate term had
# acknowledged.
@example(
    faults=[
        ('crash', 1.0, 't0', 0.5),
        ('crash', 2.0, 't2', 1.0),
        ('mute', 1.5, 't1', 3.0),
        ('leave', 2.0, 't0'),
    ],
    seed=0,
    shared=False,
)
# A promotion call of vm1 arrived after its timeout, 0.5 s after the platform had seen a higher
# token.
@example(
    faults=[('leave', 1.65, 't0'), ('hold_promotions', 1.26, 'vm1', 'delivery', 4.29)],
    seed=757841,
    shared=True,
)
# A VM that was suspended before it wrote its promotion call sent the call after another VM had
# promoted.
@example(
    faults=[('leave', 3.88, 't0'), ('freeze_holder', 3.56, 'vm0', 'call', 3.49)],
    seed=396565,
    shared=True,
)
@example(
    faults=[('mute', 2.89, 't0', 0.58), ('freeze_holder', 2.21, 'vm1', 'call', 4.24)],
    seed=237589,
    shared=True,
)
def test_promises_hold_under_faults(faults, seed, shared):
    world, callers = play(faults, seed, shared)
    check_tokens(world)
    check_turns(world)
    check_fences(world)
    check_late_commits(world, callers)
    check_promises(world, callers)


@pytest.mark.parametrize('shared', [False, True])
def test_all_callers_are_served_without_faults(shared):
    world, callers = play([], 1, shared)
    check_promises(world, callers)
    failed = [call for call in world.history if call.answer.error is not None]
    assert not failed
    assert callers.checked_reads > 100
