"""Client of the platform's store: eras of its answers."""

import pytest
from result import Err
from store_calls import StoreCalls

from cassiaseam.pooler.events import LeaseRecord, StoreEraObserved, WriteOutcome
from cassiaseam.pooler.store_types import ListedPage, WriteResult
from cassiaseam.store_revisions import get_number, join_revision

LIST = '{"items": [], "hasMore": false, "at": 7}'


@pytest.mark.parametrize(
    ('status', 'era', 'expected'), [(200, None, 0), (200, 4, 4), (503, 5, 5), (410, 6, 6)]
)
def test_each_answer_tells_the_era_of_the_store(status, era, expected):
    calls = StoreCalls()
    calls.run(calls.store.watch_objects('config', 7, 10))
    calls.answer(LIST, status, era)
    assert calls.events == [StoreEraObserved(expected)]


def make_list(at, has_more=False):
    name = f'c{at}'
    item = f'{{"meta": {{"name": "{name}", "revision": {at}}}, "spec": {{}}}}'
    return f'{{"items": [{item}], "hasMore": {str(has_more).lower()}, "at": {at}}}'


def test_list_of_two_eras_is_not_taken_as_one():
    # The second page came from the restored store, so that the list had never existed.
    calls = StoreCalls()
    results = calls.run(calls.store.list_objects('config'))
    calls.answer(make_list(7, has_more=True), era=1)
    calls.answer(make_list(8), era=2)
    assert 'restored between two pages' in results[0].err_value.reason


@pytest.mark.parametrize(('first', 'second'), [(7, 9), (9, 7)])
def test_list_of_two_pages_is_complete_up_to_the_lower_revision(first, second):
    # The watch began at the revision of the last page and missed what was written between the
    # pages. With a stale copy, the last page may be the older one.
    calls = StoreCalls()
    results = calls.run(calls.store.list_objects('servers'))
    calls.answer(make_list(first, has_more=True), era=1)
    calls.answer(make_list(second), era=1)
    listing = results[0].ok_value
    assert listing.revision == join_revision(1, 7)
    pages = (
        ListedPage(f'c{first}', join_revision(1, first)),
        ListedPage('', join_revision(1, second)),
    )
    assert listing.pages == pages


def test_answer_from_a_copy_of_a_former_era_is_not_used():
    # A reply that may be stale brought back what the restore had replaced.
    calls = StoreCalls()
    calls.run(calls.store.list_objects('config'))
    calls.answer(make_list(7), era=2)
    results = calls.run(calls.store.list_objects('config', allow_stale=True))
    calls.answer(make_list(9), era=1)
    assert results[0].err_value.reason == 'answer of era 1 after era 2'


def test_watch_from_a_former_era_ends_when_another_call_shows_the_restore():
    # The watch would have waited for a change above its revision, past those of the new era.
    calls = StoreCalls()
    watched = calls.run(calls.store.watch_objects('config', join_revision(1, 7), 10))
    calls.answer('', era=None, send=False)
    calls.run(calls.store.list_objects('servers'))
    calls.answer(make_list(3), era=2)
    assert watched[0].err_value.reason == 'the store was restored'


def test_revisions_of_a_later_era_are_higher():
    calls = StoreCalls()
    listings = []
    for at, era in ((90, 1), (3, 2)):
        results = calls.run(calls.store.list_objects('config'))
        calls.answer(make_list(at), era=era)
        listings.append(results[0].ok_value)
    assert listings[0].revision < listings[1].revision
    assert listings[0].changes[0].revision < listings[1].changes[0].revision
    assert get_number(listings[1].revision) == 3


def test_write_that_expects_a_revision_of_a_former_era_is_not_sent():
    # The restored store had given the revision out to another content, which was overwritten.
    calls = StoreCalls()
    calls.run(calls.store.list_objects('config'))
    calls.answer(make_list(7), era=2)
    calls.reactor.tcpClients.clear()
    record = LeaseRecord('vm0', 'n', released=False)
    results = calls.run(calls.store.write_duty(record, join_revision(1, 7)))
    assert results == [WriteResult(WriteOutcome.CONFLICT)]
    assert not calls.reactor.tcpClients


def test_answer_whose_era_is_malformed_counts_as_a_failed_call():
    # The call is logged and repeated; an exception would end the watch.
    calls = StoreCalls()
    results = calls.run(calls.store.list_objects('config'))
    calls.answer(LIST, era='1.5')
    assert isinstance(results[0], Err)
    assert "'1.5' is not a valid number" in results[0].err_value.reason
    assert calls.events == []
