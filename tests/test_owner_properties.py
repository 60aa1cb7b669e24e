"""Properties of the owner role under late, lost and reordered messages and failing targets."""

from dataclasses import replace

import pytest
from faulty_owner_harness import FaultyOwnerHarness
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from owner_harness import NAMES, make_config

from cassiaseam.configuration.model import TargetState
from cassiaseam.messages import RequestKind

STEPS = st.lists(
    st.tuples(st.integers(0, 23), st.integers(0, 11), st.integers(0, 11)),
    min_size=100,
    max_size=200,
)
# Most actions are deliveries; otherwise few requests run to completion.
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


def apply_step(harness, action, pick, outcome):
    name = NAMES[pick % 3]
    deadline = harness.now + (0.05, 0.5, 3, 10)[outcome % 4]
    caller = f'caller-{pick % 2}'
    if action == 'deliver':
        harness.deliver(pick, outcome)
    elif action == 'read':
        max_age_s = (None, 1.0)[outcome % 2]
        harness.send_request(
            RequestKind.READ, deadline=deadline, caller=caller, max_age_s=max_age_s
        )
    elif action == 'read_after_write':
        entry, floor = harness.find_acknowledged()
        fields = {'deadline': deadline, 'floor': floor, 'max_age_s': 5.0}
        harness.send_request(RequestKind.READ, required_entry=entry, **fields)
    elif action == 'write':
        harness.send_request(RequestKind.WRITE, deadline=deadline, caller=caller)
    elif action == 'keyed_write':
        key = f'key-{len(harness.requests)}'
        harness.send_request(RequestKind.WRITE, deadline=deadline, idempotency_key=key)
    elif action == 'begin':
        harness.begin(deadline=deadline, session_id='session-0')
    elif action == 'statement':
        kinds = (RequestKind.WRITE, RequestKind.READ, RequestKind.COMMIT, RequestKind.ROLLBACK)
        transaction_id = harness.transactions[-1 - pick % min(2, len(harness.transactions))]
        harness.send_request(
            kinds[outcome % 4],
            deadline=deadline,
            transaction_id=transaction_id,
            session_id=f'session-{pick // 11}',
        )
    elif action == 'status':
        harness.poll_target(name, delay=outcome == 0)
    elif action == 'poll':
        harness.poll_group(replicated=('', 'b', 'c', NAMES)[outcome % 4])
    elif action == 'replicate':
        harness.replicate_to(name)
    elif action == 'time':
        harness.run_for((0.001, 0.005, 0.02, 0.1, 1.0)[outcome % 5])
    else:
        inject_fault(harness, name, pick, outcome)


def inject_fault(harness, name, pick, outcome):
    if outcome < 3:
        harness.promote(name)
    elif outcome < 6:
        harness.restart(name)
    elif outcome < 8:
        harness.cancel(pick)
    elif outcome < 9:
        harness.disconnect_caller(pick)
    else:
        drained = tuple(
            replace(target, state=TargetState.DRAINING if target.name == name else target.state)
            for target in harness.config.targets
        )
        targets = drained if outcome < 11 else harness.config.targets
        harness.configure(replace(harness.config, targets=targets))


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
def test_faults_never_violate_a_guarantee_to_callers(slots, steps):
    harness = FaultyOwnerHarness(make_config(slots=slots, connections=8, queue_limit=8))
    for action, pick, outcome in steps:
        apply_step(harness, ACTIONS[action], pick, outcome)
        harness.run_for(0)
    harness.run_for(60)
    for target in harness.state.targets.values():
        assert target.running == target.running_writes == 0 or harness.pending
    assert not harness.state.pending_requests
    assert not harness.state.transactions
