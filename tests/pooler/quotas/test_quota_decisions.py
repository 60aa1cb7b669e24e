"""Decisions of quotas one by one: leases of shares, buckets, lifetimes and refusals."""

import random
from dataclasses import replace

import pytest
from quota_world import LATENCY_S, World

from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.platform.line_protocol import encode_error
from cassiaseam.platform.records import decode_share, encode_share
from cassiaseam.pooler.accounts.directory import Account
from cassiaseam.pooler.datagrams import decode_datagram, encode_datagram
from cassiaseam.pooler.events import StoreEraObserved, WriteOutcome
from cassiaseam.pooler.quotas import shares
from cassiaseam.pooler.quotas.arithmetic import (
    SHARES,
    Bucket,
    QuotaTerms,
    find_operation_bound,
    find_token_lifetime_s,
    issue_tokens,
)
from cassiaseam.pooler.quotas.events import (
    SendTokenRequest,
    SendTokens,
    ShareWritten,
    TokensReceived,
    TokensRequested,
)
from cassiaseam.pooler.quotas.shares import Share, ShareRecord, StoreView
from cassiaseam.pooler.quotas.store_client import read_share_index
from cassiaseam.store_revisions import join_revision

LIMIT = Account('a', 0, 60, 30)
RECORD = ShareRecord('vm1', 'p1', 'vm1', 1, 'n', era=2)
OLD_RECORD = ShareRecord('vm0', 'p0', 'vm0', 1, 'n', era=1)
RELEASED = ShareRecord('vm1', 'p1', 'vm1', 1, 'n', era=2, released=True)
OLD_RELEASED = ShareRecord('vm1', 'p1', 'vm1', 1, 'n', era=1, released=True)
OWN = ShareRecord('vm0', 'p0', 'vm0', 1, 'n', era=2)
REVISION = join_revision(2, 5)
SECOND_ERA = StoreView(2, join_revision(2, 7), 100)
FIRST_ERA = StoreView(0, join_revision(0, 7), 100)


@pytest.mark.parametrize(
    ('record', 'revision', 'store', 'seen_at', 'now', 'available'),
    [
        (RECORD, REVISION, SECOND_ERA, 101, 113, False),
        (RECORD, REVISION, SECOND_ERA, 101, 114, True),
        (RELEASED, REVISION, SECOND_ERA, 101, 101, True),
        (OWN, REVISION, SECOND_ERA, 101, 101, True),
        # Records of a former era may have been replaced before the restore.
        (OLD_RELEASED, REVISION, SECOND_ERA, 100, 112, False),
        (OLD_RECORD, REVISION, SECOND_ERA, 100, 112, False),
        (OLD_RECORD, REVISION, SECOND_ERA, 110, 113, True),
        (OLD_RECORD, join_revision(2, 9), SECOND_ERA, 110, 113, False),
        (None, 0, SECOND_ERA, 0, 112, False),
        (None, 0, SECOND_ERA, 0, 113, True),
        (None, 0, FIRST_ERA, 0, 100, True),
        # The first era is 0; a store of era 1 has been restored and may lack a claim.
        (None, 0, StoreView(1, join_revision(1, 7), 100), 0, 112, False),
        (None, 0, StoreView(2, None, 0), 0, 113, False),
    ],
)
def test_share_is_available_once_its_former_lease_has_ended(
    record, revision, store, seen_at, now, available
):
    """A claim before that lets two VMs issue the tokens of one share."""
    share = Share(0, record, revision, seen_at)
    assert shares.is_available(share, store, 'vm0', ('vm0', 1), now) is available


@pytest.mark.parametrize(
    ('written_era', 'answered_after_s', 'held'),
    [(1, 0.1, True), (1, 12.1, False), (2, 0.1, False)],
)
def test_lease_counts_from_the_sending_of_the_write(written_era, answered_after_s, held):
    """A late answer, or one of another era, must not give a lease."""
    world = World([LIMIT], vms=1)
    vm = world.vms['vm0']
    sent_at = world.now = 50
    vm.dispatch(StoreEraObserved(1))
    record = ShareRecord('vm0', 'p0', 'vm0', 1, 'n', era=1)
    world.now = sent_at + answered_after_s
    revision = join_revision(written_era, 9)
    vm.dispatch(ShareWritten(0, record, sent_at, WriteOutcome.WRITTEN, revision))
    share = vm.state.quotas.shares[0]
    assert shares.is_held(share, world.now) is held
    assert not held or share.valid_until == sent_at + shares.LEASE_VALIDITY_S


@pytest.mark.parametrize('rate', [0.5, 5, 60, 300])
@pytest.mark.parametrize('burst', [0, 10, 300])
def test_lifetime_keeps_the_sum_below_the_bound(rate, burst):
    """The bound must follow from the lifetime and the capacities alone."""
    terms, account = QuotaTerms(5, 0.1, 20), Account('a', 0, rate, burst)
    life_s = find_token_lifetime_s(terms, account)
    assert 0 < life_s <= terms.window_s
    assert rate * (5 + life_s) + burst + SHARES < find_operation_bound(terms, account)


def test_shares_together_hold_the_burst():
    """Fragments of tokens in the shares must not cost a part of the burst."""
    for burst in range(40):
        account = Account('a', 0, 1, burst)
        buckets = [Bucket(1000, 0) for _ in range(SHARES)]
        issues = [issue_tokens(bucket, account, 1000, 1000, 1, 0) for bucket in buckets]
        assert burst <= sum(issue.count for issue in issues) <= burst + SHARES


def test_requests_for_an_empty_bucket_are_spread():
    """VMs that are all told the same time would all ask for the same token."""
    bucket = Bucket(0, 0)
    times = [issue_tokens(bucket, LIMIT, 1, 1, 1, 0).retry_s for _ in range(50)]
    assert times[0] == pytest.approx(0.1)
    assert len(set(times)) > 8
    assert max(times) <= 1.1


@pytest.mark.parametrize('delay_s', [0.1, 5, 10])
@pytest.mark.parametrize('repeated', [False, True])
def test_late_and_repeated_responses_give_no_extra_tokens(delay_s, repeated):
    """The lifetime counts from the request, and a nonce is answered once."""
    world = World([LIMIT], vms=2)
    world.run_until(8)
    vm = world.vms['vm0']
    vm.state.quotas.accounts.clear()
    sent = []
    vm.execute = sent.append
    for share in vm.state.quotas.shares:
        shares.forget_ownership(share)
    vm.start_operation('a')
    request = next(it for it in sent if isinstance(it, SendTokenRequest))
    operation = vm.operations[0]
    world.now += delay_s
    for _ in range(1 + repeated):
        vm.dispatch(TokensReceived(request.nonce, 1, 0.2, 0))
    vm.dispatch(TokensReceived(random.getrandbits(48), 9, 5, 0))
    assert len(vm.state.quotas.accounts['a'].tokens) == 1
    vm.advance(operation)
    assert vm.answered['granted'] == int(delay_s < 0.15)


def test_holder_uses_its_own_share_without_a_message():
    """A datagram to itself would cost a round trip through the network stack."""
    world = World([LIMIT], vms=1)
    world.load('a', 20, 6, 10)
    world.run_until(10)
    assert world.count('granted') > 60
    assert world.messages == 0


def test_silent_holder_is_left_out_after_one_timeout():
    """Each operation would wait for a dead holder until its lease is taken over."""
    world = World([LIMIT], vms=12)
    world.run_until(8)
    vm = world.vms[world.list_held()[0][1]]
    world.kill(vm.name)
    other = next(it for it in world.vms.values() if it.alive and it.state.place == 'p0')
    other.start_operation('a')
    world.run_until(8 + 0.1 + 4 * LATENCY_S)
    assert other.answered['granted'] == 1
    other.start_operation('a')
    world.run_until(world.now + 0.05)
    assert other.answered['granted'] == 2


def test_account_that_disappears_keeps_its_limit():
    """Its open sessions go on for a while, and must not run without a limit."""
    world = World([LIMIT])
    world.load('a', 300, 8, 30)
    world.run_until(20)
    world.accounts.clear()
    world.version += 1
    for vm in world.vms.values():
        vm.state.config = world.build_config()
    world.run_until(30)
    world.check_bound({'a': [(0, LIMIT)]})


@pytest.mark.parametrize(
    ('effect', 'event'),
    [
        (
            SendTokenRequest('10.0.0.1', 9, 5, 2, 'a', 1, 3),
            TokensRequested('10.0.0.1', 9, 5, 2, 'a', 1, 3),
        ),
        (SendTokens('10.0.0.1', 9, 5, 2, 0.25, 0), TokensReceived(5, 2, 0.25, 0)),
        (SendTokens('h', 9, 5, 0, 0, 0, held=False), TokensReceived(5, 0, 0, 0, held=False)),
    ],
)
def test_datagrams_keep_their_fields(effect, event):
    """A field that is lost would change what a holder or a requester decides."""
    datagram = encode_datagram(effect)
    assert decode_datagram(datagram, '10.0.0.1', 9) == event
    assert len(datagram) < 110


def test_record_of_a_share_keeps_its_fields():
    """The era and the address decide who may claim the share."""
    record = replace(RELEASED, host='10.0.0.1')
    assert decode_share(encode_share(record)).ok_value == record
    assert decode_share({'holder': 'vm1'}).is_err()


def test_refusal_names_the_time_of_the_next_attempt():
    """Callers rely on the word and on `retry_after_ms`."""
    error = RequestError(ErrorKind.QUOTA_EXCEEDED, 'limit', retry_after_s=0.4)
    line = encode_error(error).decode()
    assert line.startswith('ERROR TOOMANY kind=quota_exceeded ran=no retry_after_ms=400')


@pytest.mark.parametrize(
    ('name', 'index'),
    [
        ('share-3', 3),
        ('share-03', None),
        ('share-\u0663', None),
        ('share-' + '9' * 5000, None),
        ('share-', None),
        ('3', None),
    ],
    ids=range(6),
)
def test_only_the_exact_name_names_a_share(name, index):
    # `share-03` stood in for `share-3`, and a number of 5,000 digits ended the list.
    assert read_share_index(name) == index
