import asyncio
import time
from dataclasses import replace

import pytest

from cassiaseam.entry.classification import classify_statement
from cassiaseam.entry.forwarding import OWNERSHIP_MOVE_DELAYS_S, Forwarder, ForwardingLimits
from cassiaseam.entry.passed_over_owners import (
    MAX_PASSED_OVER_OWNERS,
    PASSED_OVER_TTL_S,
    PassedOverOwners,
)
from cassiaseam.entry.retries import RetryBudget
from cassiaseam.entry.session_state import SessionState, raise_floor
from cassiaseam.entry.statements import StatementRunner
from cassiaseam.errors import OWNER_CUT_OFF, OWNER_LINK_LOST, ErrorKind, RequestError
from cassiaseam.messages import Answer, Request, RequestKind, ResultSet
from cassiaseam.positions import LogPosition


class Owners:
    """Owners by VM name, each with the error that it returns, or None for a result."""

    def __init__(self, **errors):
        self.errors = errors
        self.asked = []
        self.passed_over = []

    async def send_request(self, vm, request, now):
        self.asked.append((vm, request.kind.value))
        self.passed_over.append(request.passed_over)
        error = self.errors[vm]
        if error == 'never':
            await asyncio.Event().wait()
        if isinstance(error, ErrorKind):
            error = RequestError(error)
        if error is not None and request.kind not in {RequestKind.BEGIN, RequestKind.ROLLBACK}:
            return Answer(request.request_id, error=error)
        return Answer(request.request_id, ResultSet(), target='a', position=LogPosition(1, 1))


def build_forwarder(owners, limits=None):
    ranked = list(owners.errors)
    return Forwarder('vm1', lambda _: ranked, owners, time.monotonic, limits, peers=owners)


def build_request(kind, **changes):
    deadline = time.monotonic() + 5
    request = Request('r1', 'vm1', 'shop', 's1', 'orders', RequestKind(kind), 'x', deadline)
    return replace(request, **changes)


cut_off = RequestError(ErrorKind.NO_PRIMARY, detail={'cause': OWNER_CUT_OFF})
UNKNOWN = ErrorKind.OUTCOME_UNKNOWN
KEYED = {'idempotency_key': 'k'}
ROUNDS = 1 + len(OWNERSHIP_MOVE_DELAYS_S)


@pytest.mark.parametrize(
    ('kind', 'changes', 'first', 'second', 'expected', 'asked'),
    [
        ('write', {}, ErrorKind.NOT_OWNER, None, None, 2),
        ('write', {}, ErrorKind.PEER_UNREACHABLE, None, None, 2),
        ('write', {}, ErrorKind.SHUTTING_DOWN, None, None, 2),
        ('begin', {}, None, None, None, 1),
        ('write', {}, cut_off, None, None, 2),
        ('write', {}, ErrorKind.NO_PRIMARY, None, ErrorKind.NO_PRIMARY, 1),
        ('write', {}, cut_off, ErrorKind.NOT_OWNER, ErrorKind.NO_PRIMARY, 2),
        ('write', {}, ErrorKind.OVERLOADED, None, ErrorKind.OVERLOADED, 1),
        ('write', {}, UNKNOWN, None, UNKNOWN, 1),
        ('write', KEYED, UNKNOWN, None, None, 2),
        ('write', KEYED, UNKNOWN, ErrorKind.NOT_OWNER, UNKNOWN, 2),
        ('read', {}, UNKNOWN, None, None, 2),
        ('read', {'repeatable': False}, UNKNOWN, None, ErrorKind.PEER_UNREACHABLE, 1),
        ('read', {}, UNKNOWN, UNKNOWN, ErrorKind.PEER_UNREACHABLE, 2),
        ('write', {}, ErrorKind.NOT_OWNER, ErrorKind.NOT_OWNER, ErrorKind.NOT_OWNER, 2 * ROUNDS),
        ('commit', {}, ErrorKind.PEER_UNREACHABLE, None, ErrorKind.PEER_UNREACHABLE, 1),
    ],
)
def test_request_is_retried_only_when_it_cannot_run_twice(
    kind, changes, first, second, expected, asked
):
    owners = Owners(vm1=first, vm2=second)
    request = build_request(kind, **changes)
    owned = asyncio.run(build_forwarder(owners).forward_request(request))
    error = owned.answer.error
    assert (error.kind if error else None) is expected
    assert len(owners.asked) == asked


class MovingOwners(Owners):
    """All daemons deny ownership until `heir` takes over, after some denials.

    Attributes:
        denials: Number of further denials until the takeover.
    """

    def __init__(self, ranked, heir, denials):
        super().__init__(**dict.fromkeys(ranked, ErrorKind.NOT_OWNER))
        self.heir = heir
        self.denials = denials

    async def send_request(self, vm, request, now):
        answer = await super().send_request(vm, request, now)
        self.denials -= 1
        if not self.denials:
            self.errors[self.heir] = None
        return answer


@pytest.mark.parametrize(
    ('kind', 'heir', 'denials', 'changes', 'expected', 'asked'),
    [
        ('write', 'vm1', 2, {}, None, 3),
        ('write', 'vm2', 2, {}, None, 4),
        ('write', 'vm3', 2, {}, None, 5),
        ('read', 'vm2', 4, {}, None, 6),
        ('write', 'vm2', 2, {'remaining_s': 0.04}, ErrorKind.NOT_OWNER, 2),
        ('write', 'vm1', 4, {'remaining_s': 0.1}, ErrorKind.NOT_OWNER, 4),
        ('commit', 'vm1', 1, {'owner': 'vm1'}, ErrorKind.NOT_OWNER, 1),
    ],
)
def test_request_waits_for_the_next_owner_while_ownership_moves(
    kind, heir, denials, changes, expected, asked
):
    # While a daemon that had started again took a database over, the former owner and the next
    # one both refused requests, and the entry answered its callers with that refusal.
    owners = MovingOwners(('vm1', 'vm2'), heir, denials)
    deadline = time.monotonic() + changes.get('remaining_s', 5)
    forwarder = Forwarder(
        'vm1', lambda _: list(owners.errors), owners, time.monotonic, peers=owners
    )
    request = build_request(kind, deadline=deadline)
    owned = asyncio.run(forwarder.forward_request(request, changes.get('owner', '')))
    error = owned.answer.error
    assert (error.kind if error else None) is expected
    assert len(owners.asked) == asked
    assert forwarder.total_in_flight == 0


no_target = RequestError(ErrorKind.NO_TARGET, detail={'cause': OWNER_CUT_OFF})
link_lost = RequestError(UNKNOWN, detail={'cause': OWNER_LINK_LOST})


@pytest.mark.parametrize(
    ('kind', 'changes', 'first', 'passed_over'),
    [
        ('write', {}, ErrorKind.PEER_UNREACHABLE, [(), ('vm1',)]),
        ('begin', {'transaction_id': 't'}, 'never', [()]),
        ('write', {}, cut_off, [(), ('vm1',)]),
        ('read', {}, no_target, [(), ('vm1',)]),
        ('read', {}, link_lost, [(), ('vm1',)]),
        ('write', KEYED, link_lost, [(), ('vm1',)]),
        ('write', {}, link_lost, [()]),
        ('read', {}, UNKNOWN, [(), ()]),
        ('write', {}, ErrorKind.NO_PRIMARY, [()]),
        ('write', {}, ErrorKind.SHUTTING_DOWN, [(), ()]),
        ('write', {}, ErrorKind.NOT_OWNER, [(), ()]),
    ],
)
def test_retry_lists_only_passed_over_owners_that_cannot_serve(kind, changes, first, passed_over):
    owners = Owners(vm1=first, vm2=None)
    deadline = time.monotonic() + (0.05 if first == 'never' else 5)
    request = build_request(kind, deadline=deadline, **changes)
    asyncio.run(build_forwarder(owners).forward_request(request))
    assert owners.passed_over == passed_over


def test_passed_over_owner_is_retried_once_per_ttl():
    owners = Owners(vm1=ErrorKind.PEER_UNREACHABLE, vm2=None)
    forwarder = build_forwarder(owners)
    now = time.monotonic()
    forwarder.clock = lambda: now

    def ask():
        owners.asked.clear()
        owners.passed_over.clear()
        asyncio.run(forwarder.forward_request(build_request('write')))
        return [vm for vm, _ in owners.asked], owners.passed_over[-1]

    assert ask() == (['vm1', 'vm2'], ('vm1',))
    assert ask() == (['vm2'], ('vm1',))
    assert forwarder.find_first_owner('orders') == 'vm2'
    now += PASSED_OVER_TTL_S
    assert ask() == (['vm1', 'vm2'], ('vm1',))
    assert ask() == (['vm2'], ('vm1',))
    owners.errors['vm1'] = None
    now += PASSED_OVER_TTL_S
    assert ask() == (['vm1'], ())
    assert ask() == (['vm1'], ())


def test_recovered_owner_serves_when_no_other_daemon_adopts():
    owners = Owners(vm1=ErrorKind.PEER_UNREACHABLE, vm2=None)
    forwarder = build_forwarder(owners)
    asyncio.run(forwarder.forward_request(build_request('write')))
    owners.errors.update(vm1=None, vm2=ErrorKind.NOT_OWNER)
    for _ in range(2):
        owned = asyncio.run(forwarder.forward_request(build_request('write')))
        assert owned.answer.error is None
    assert [vm for vm, _ in owners.asked] == ['vm1', 'vm2', 'vm2', 'vm1', 'vm1']


def test_all_owners_are_tried_when_all_were_passed_over():
    passed_over_owners = PassedOverOwners()
    for vm in ('vm1', 'vm2'):
        passed_over_owners.add_owner('orders', vm, 0)
    assert passed_over_owners.skip_owners('orders', ['vm1', 'vm2', 'vm3'], 1) == ['vm1', 'vm2']
    assert passed_over_owners.skip_owners('orders', ['vm1', 'vm2'], 1) == []


def test_number_of_passed_over_owners_is_bounded():
    passed_over_owners = PassedOverOwners()
    for number in range(MAX_PASSED_OVER_OWNERS + 10):
        passed_over_owners.add_owner(f'd{number}', 'vm1', 0)
    assert len(passed_over_owners.retry_at) == MAX_PASSED_OVER_OWNERS


@pytest.mark.parametrize(
    ('kind', 'changes', 'expected'),
    [
        ('read', {}, ErrorKind.DEADLINE_EXCEEDED),
        ('write', {}, UNKNOWN),
        ('write', {'transaction_id': 't'}, ErrorKind.DEADLINE_EXCEEDED),
        ('commit', {'transaction_id': 't'}, UNKNOWN),
    ],
)
def test_unresponsive_owner_does_not_delay_a_caller_past_its_deadline(kind, changes, expected):
    request = build_request(kind, deadline=time.monotonic() + 0.02, **changes)
    forwarder = build_forwarder(Owners(vm1='never'))
    owned = asyncio.run(forwarder.forward_request(request))
    assert owned.answer.error.kind is expected
    assert forwarder.total_in_flight == 0


@pytest.mark.parametrize('limits', [ForwardingLimits(1, 9), ForwardingLimits(9, 1)])
def test_requests_over_a_limit_are_rejected_without_waiting(limits):
    async def scenario():
        forwarder = build_forwarder(Owners(vm1='never'), limits)
        first = asyncio.create_task(forwarder.forward_request(build_request('read')))
        await asyncio.sleep(0)
        refused = await forwarder.forward_request(build_request('read'))
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        return refused.answer.error.kind, forwarder.total_in_flight

    assert asyncio.run(scenario()) == (ErrorKind.OVERLOADED, 0)


def test_retry_budget_limits_retries_to_a_ratio_of_requests():
    budget = RetryBudget()
    taken = 0
    for _ in range(1000):
        budget.record_request()
        taken += budget.acquire_retry()
    assert taken <= 1000 * 0.1 + 10


@pytest.mark.parametrize(
    ('error', 'statement_kind', 'commit_kind', 'survives'),
    [
        (ErrorKind.STATEMENT_FAILED, ErrorKind.STATEMENT_FAILED, ErrorKind.STATEMENT_FAILED, True),
        (ErrorKind.OVERLOADED, ErrorKind.OVERLOADED, ErrorKind.TRANSACTION_ABORTED, True),
        (
            RequestError(ErrorKind.STATEMENT_FAILED, mysql_code=1213),
            ErrorKind.STATEMENT_FAILED,
            ErrorKind.STATEMENT_FAILED,
            False,
        ),
        (
            ErrorKind.PEER_UNREACHABLE,
            ErrorKind.TRANSACTION_ABORTED,
            ErrorKind.TRANSACTION_ABORTED,
            False,
        ),
        (UNKNOWN, ErrorKind.TRANSACTION_ABORTED, UNKNOWN, False),
    ],
)
def test_lost_owner_aborts_the_transaction_but_not_the_session(
    error, statement_kind, commit_kind, survives
):
    async def run(sql):
        owners = Owners(vm2=error, vm1=None)
        state = SessionState('s1', 'vm1', time.monotonic(), 'shop', 'orders')
        runner = StatementRunner(state, build_forwarder(owners), time.monotonic)
        for text in ('BEGIN', sql):
            answer = await runner.run_statement(text, classify_statement(text), {})
        return answer.error.kind, state.transaction is not None

    assert asyncio.run(run('UPDATE t SET a = 1')) == (statement_kind, survives)
    assert asyncio.run(run('COMMIT')) == (commit_kind, False)


@pytest.mark.parametrize('steps', [[(1, 10), (2, 5)], [(2, 5), (1, 10)], [(2, 10), (1, 1)]])
def test_floor_never_decreases(steps):
    state = SessionState('s1', 'vm1', 0)
    for step in steps:
        raise_floor(state, 'orders', LogPosition(*step))
        assert state.floors['orders'].covers(LogPosition(*step))
    assert state.floors['orders'] == LogPosition(2, 10)
