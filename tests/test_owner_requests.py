from owner_harness import OwnerHarness, make_config

from cassiaseam.errors import ErrorKind
from cassiaseam.messages import RequestKind
from cassiaseam.positions import ZERO_POSITION, LogPosition
from cassiaseam.reducer.target_io import ExecutionMode

READ, WRITE, BEGIN = RequestKind.READ, RequestKind.WRITE, RequestKind.BEGIN
COMMIT = RequestKind.COMMIT


def test_read_within_age_goes_to_a_replica_and_carries_its_position():
    harness = OwnerHarness()
    request_id = harness.request(max_age_s=5, floor=ZERO_POSITION)
    run = harness.finish()
    answer = harness.answers[request_id]
    assert run.target in {'b', 'c'}
    assert answer.replica
    assert answer.position == LogPosition(1, 10)


def test_read_without_age_goes_to_the_primary():
    harness = OwnerHarness()
    harness.request(floor=ZERO_POSITION)
    assert harness.finish().target == 'a'


def test_write_is_answered_only_after_a_majority_holds_it():
    harness = OwnerHarness()
    request_id = harness.request(WRITE)
    harness.commit()
    harness.poll()
    assert request_id not in harness.answers
    harness.replicate(['b'])
    harness.now += 0.01
    harness.poll()
    assert harness.answers[request_id].position == LogPosition(1, 11)


def test_transaction_runs_on_one_connection_that_is_reset_before_reuse():
    harness = OwnerHarness()
    fields = {'transaction_id': 't1'}
    harness.request(BEGIN, **fields)
    runs = [harness.finish()]
    harness.request(WRITE, **fields)
    runs.append(harness.finish())
    committed = harness.request(COMMIT, **fields)
    runs.append(harness.commit())
    harness.replicate()
    harness.now += 0.01
    harness.poll()
    assert harness.answers[committed].error is None
    assert len({run.connection_id for run in runs}) == 1
    assert [run.mode for run in runs] == [
        ExecutionMode.BEGIN,
        ExecutionMode.IN_TRANSACTION,
        ExecutionMode.COMMIT,
    ]
    late = harness.request(WRITE, **fields)
    assert harness.error(late) is ErrorKind.TRANSACTION_ABORTED


def test_idempotency_keys_of_two_callers_do_not_collide():
    harness = OwnerHarness()
    keys = []
    for caller in ('dealer', 'clerk'):
        harness.request(WRITE, caller=caller, idempotency_key='order-1')
        keys.append(harness.finish(position=LogPosition(1, 11)).idempotency_key)
    assert keys == ['dealer/order-1', 'clerk/order-1']


def test_replayed_outcome_in_an_inherited_log_waits_for_an_entry_of_the_new_term():
    """A later primary with an entry of a term in between could drop the replayed outcome."""
    harness = OwnerHarness()
    harness.fail_over('b', 3)
    harness.poll()
    request_id = harness.request(WRITE, idempotency_key='order-1')
    harness.finish(position=LogPosition(1, 10), replayed=True)
    harness.now += 0.01
    harness.poll()
    assert request_id not in harness.answers
    harness.targets['b'].last_term, harness.targets['b'].offset = 3, 11
    harness.replicate()
    harness.now += 0.01
    harness.poll()
    assert harness.answers[request_id].error is None


def test_commit_runs_while_writes_blocked_on_its_locks_fill_all_slots():
    harness = OwnerHarness(config=make_config(slots=2))
    fields = {'transaction_id': 't1'}
    harness.request(BEGIN, **fields)
    harness.finish()
    harness.request(WRITE, **fields)
    harness.finish()
    harness.request(WRITE)
    assert [run.mode for run in harness.statements] == [ExecutionMode.WRITE]
    harness.request(COMMIT, **fields)
    modes = [run.mode for run in harness.statements]
    assert modes == [ExecutionMode.WRITE, ExecutionMode.COMMIT]
