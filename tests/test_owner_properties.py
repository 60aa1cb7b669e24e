"""Properties of the owner role under late, lost and reordered messages and failing targets."""

from dataclasses import replace

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from owner_faults import FaultyWorld
from owner_world import NAMES, make_config

from cassiaseam.configuration.model import TargetState
from cassiaseam.messages import RequestKind

STEPS = st.lists(
    st.tuples(st.integers(0, 23), st.integers(0, 11), st.integers(0, 11)),
    min_size=100,
    max_size=200,
)
# Messages are delivered most of the time; otherwise little runs to its end.
ACTIONS = (
    *('deliver',) * 9,
    'read',
    'read_after_write',
    'write',
    'keyed_write',
    'begin',
    'statement',
    'statement',
    'poll',
    'poll',
    'poll',
    'replicate',
    'time',
    'time',
    'time',
    'fault',
)


def take_step(world, action, pick, outcome):
    name = NAMES[pick % 3]
    deadline = world.now + (0.05, 0.5, 3, 10)[outcome % 4]
    caller = f'caller-{pick % 2}'
    if action == 'deliver':
        world.deliver(pick, outcome)
    elif action == 'read':
        max_age_s = (None, 1.0)[outcome % 2]
        world.arrive(RequestKind.READ, deadline=deadline, caller=caller, max_age_s=max_age_s)
    elif action == 'read_after_write':
        entry, floor = world.find_acknowledged()
        fields = {'deadline': deadline, 'floor': floor, 'max_age_s': 5.0}
        world.arrive(RequestKind.READ, needs=entry, **fields)
    elif action == 'write':
        world.arrive(RequestKind.WRITE, deadline=deadline, caller=caller)
    elif action == 'keyed_write':
        key = f'key-{len(world.requests)}'
        world.arrive(RequestKind.WRITE, deadline=deadline, idempotency_key=key)
    elif action == 'begin':
        world.begin(deadline=deadline, session_id='session-0')
    elif action == 'statement':
        kinds = (RequestKind.WRITE, RequestKind.READ, RequestKind.COMMIT, RequestKind.ROLLBACK)
        transaction_id = world.transactions[-1 - pick % min(2, len(world.transactions))]
        world.arrive(
            kinds[outcome % 4],
            deadline=deadline,
            transaction_id=transaction_id,
            session_id=f'session-{pick // 11}',
        )
    elif action == 'status':
        world.take_status(name, delay=outcome == 0)
    elif action == 'poll':
        world.poll_group(replicated=('', 'b', 'c', NAMES)[outcome % 4])
    elif action == 'replicate':
        world.replicate_to(name)
    elif action == 'time':
        world.elapse((0.001, 0.005, 0.02, 0.1, 1.0)[outcome % 5])
    else:
        inject_fault(world, name, pick, outcome)


def inject_fault(world, name, pick, outcome):
    if outcome < 3:
        world.promote(name)
    elif outcome < 6:
        world.restart(name)
    elif outcome < 8:
        world.cancel(pick)
    elif outcome < 9:
        world.lose_caller(pick)
    else:
        drained = tuple(
            replace(target, state=TargetState.DRAINING if target.name == name else target.state)
            for target in world.config.targets
        )
        targets = drained if outcome < 11 else world.config.targets
        world.configure(replace(world.config, targets=targets))


@pytest.mark.parametrize('slots', [1, 3])
@settings(
    max_examples=100,
    deadline=None,
    derandomize=True,
    # Shrinking a failure of this length takes minutes.
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
    database=None,
)
@given(steps=STEPS)
def test_no_fault_breaks_a_promise_to_a_caller(slots, steps):
    world = FaultyWorld(make_config(slots=slots, connections=8, queue_limit=8))
    for action, pick, outcome in steps:
        take_step(world, ACTIONS[action], pick, outcome)
        world.elapse(0)
    world.elapse(60)
    for target in world.state.targets.values():
        assert target.running == target.running_writes == 0 or world.pending
    assert not world.state.works
    assert not world.state.transactions
