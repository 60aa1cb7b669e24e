from owner_world import OwnerWorld, make_config

from cassiaseam.errors import ErrorKind
from cassiaseam.messages import RequestKind
from cassiaseam.positions import ZERO_POSITION, LogPosition
from cassiaseam.reducer.target_io import ExecutionMode

READ, WRITE, BEGIN = RequestKind.READ, RequestKind.WRITE, RequestKind.BEGIN
COMMIT = RequestKind.COMMIT


def test_read_within_age_goes_to_a_replica_and_carries_its_position():
    world = OwnerWorld()
    request_id = world.request(max_age_s=5, floor=ZERO_POSITION)
    run = world.finish()
    answer = world.answers[request_id]
    assert run.target in {'b', 'c'}
    assert answer.replica
    assert answer.position == LogPosition(1, 10)


def test_read_without_age_goes_to_the_primary():
    world = OwnerWorld()
    world.request(floor=ZERO_POSITION)
    assert world.finish().target == 'a'


def test_write_is_answered_only_after_a_majority_holds_it():
    world = OwnerWorld()
    request_id = world.request(WRITE)
    world.commit()
    world.poll()
    assert request_id not in world.answers
    world.replicate(['b'])
    world.now += 0.01
    world.poll()
    assert world.answers[request_id].position == LogPosition(1, 11)


def test_transaction_runs_on_one_connection_that_is_reset_before_reuse():
    world = OwnerWorld()
    fields = {'transaction_id': 't1'}
    world.request(BEGIN, **fields)
    runs = [world.finish()]
    world.request(WRITE, **fields)
    runs.append(world.finish())
    committed = world.request(COMMIT, **fields)
    runs.append(world.commit())
    world.replicate()
    world.now += 0.01
    world.poll()
    assert world.answers[committed].error is None
    assert len({run.connection_id for run in runs}) == 1
    assert [run.mode for run in runs] == [
        ExecutionMode.BEGIN,
        ExecutionMode.IN_TRANSACTION,
        ExecutionMode.COMMIT,
    ]
    late = world.request(WRITE, **fields)
    assert world.error(late) is ErrorKind.TRANSACTION_ABORTED


def test_same_key_of_two_callers_never_gives_one_the_outcome_of_the_other():
    world = OwnerWorld()
    keys = []
    for caller in ('dealer', 'clerk'):
        world.request(WRITE, caller=caller, idempotency_key='order-1')
        keys.append(world.finish(position=LogPosition(1, 11)).idempotency_key)
    assert keys == ['dealer/order-1', 'clerk/order-1']


def test_replayed_outcome_in_an_inherited_log_waits_for_an_entry_of_the_new_term():
    """Guards against a replay that a later primary with an entry of a term in between drops."""
    world = OwnerWorld()
    world.fail_over('b', 3)
    world.poll()
    request_id = world.request(WRITE, idempotency_key='order-1')
    world.finish(position=LogPosition(1, 10), replayed=True)
    world.now += 0.01
    world.poll()
    assert request_id not in world.answers
    world.targets['b'].last_term, world.targets['b'].offset = 3, 11
    world.replicate()
    world.now += 0.01
    world.poll()
    assert world.answers[request_id].error is None


def test_commit_runs_although_writes_that_wait_for_its_locks_occupy_all_slots():
    world = OwnerWorld(config=make_config(slots=2))
    fields = {'transaction_id': 't1'}
    world.request(BEGIN, **fields)
    world.finish()
    world.request(WRITE, **fields)
    world.finish()
    world.request(WRITE)
    assert [run.mode for run in world.statements] == [ExecutionMode.WRITE]
    world.request(COMMIT, **fields)
    modes = [run.mode for run in world.statements]
    assert modes == [ExecutionMode.WRITE, ExecutionMode.COMMIT]
