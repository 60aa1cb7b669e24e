"""One odd entry among good ones costs only itself, in lists, watches and single objects."""

import json

import pytest
from result import Err
from store_calls import StoreCalls

from cassiaseam.platform import records
from cassiaseam.platform.json_parts import Unreadable, decode_parts
from cassiaseam.pooler.events import LeaseRecord, WriteOutcome

DEEP = b'[' * 100_000 + b']' * 100_000
DEEP_FIELDS = b'{"a":' * 100_000 + b'1' + b'}' * 100_000
GOOD = {
    'service': 'g',
    'address': '10.0.0.1:80',
    'zone': 'p0',
    'state': 'ready',
    'databaseRole': 'replica',
}
GOOD_SPEC = json.dumps(GOOD).encode()
# Specs of one entry, as the store passes them on.
ODD_SPECS = {
    'deep arrays': DEEP,
    'deep objects': DEEP_FIELDS,
    'deep beside text': b'{"a": "x]}\\"", "b": [' + DEEP + b', "[{"]}',
    'long integer': b'9' * 5000,
    'long integer in a field': b'{"version": ' + b'9' * 5000 + b'}',
    'long port': GOOD_SPEC.replace(b':80"', b':' + b'9' * 5000 + b'"'),
    'port out of range': GOOD_SPEC.replace(b':80"', b':70000"'),
    'infinite': GOOD_SPEC[:-1] + b', "coldRemainingMs": Infinity}',
    'not a number': GOOD_SPEC[:-1] + b', "coldRemainingMs": NaN}',
    'large float': GOOD_SPEC[:-1] + b', "slots": 1e400}',
    'no UTF-8': GOOD_SPEC.replace(b'"p0"', b'"\xff\xfe"'),
    'no UTF-8 in an unread field': GOOD_SPEC[:-1] + b', "version": "\xff"}',
    'no UTF-8 outside a string': b'\xff\xfe',
    'surrogate': GOOD_SPEC.replace(b'"p0"', b'"\\ud800"'),
    'control character': GOOD_SPEC.replace(b'"p0"', b'"\x01"'),
    'bad escape': GOOD_SPEC.replace(b'"p0"', b'"\\x"'),
    'list': b'[1]',
    'null': b'null',
    'bool': b'true',
    'empty': b'""',
    'long text': b'"' + b'x' * 10**6 + b'"',
}


def make_object(name, spec=GOOD_SPEC, revision=5, more=b''):
    meta = b'{"name": %s, "revision": %d%s}' % (json.dumps(name).encode(), revision, more)
    return b'{"meta": %s, "spec": %s, "status": null}' % (meta, spec)


def make_page(*items, at=9, has_more=b'false', word=b'items'):
    return b'{"%s": [%s], "hasMore": %s, "at": %d}' % (word, b','.join(items), has_more, at)


def list_pages(*pages):
    """Return the result of a list whose pages are given."""
    calls = StoreCalls()
    results = calls.run(calls.store.list_objects('servers'))
    for page in pages:
        assert not results
        calls.answer(page)
    return results[0]


def name_valid_targets(listing):
    decoded = [records.decode_target(change.name, change.spec) for change in listing.changes]
    return [found.ok_value.name for found in decoded if not isinstance(found, Err)]


@pytest.mark.parametrize('spec', ODD_SPECS.values(), ids=ODD_SPECS)
def test_odd_spec_in_a_list_costs_only_its_entry(spec):
    # The decoder raised, or the whole page counted as unreadable as long as the entry stood.
    page = make_page(make_object('a'), make_object('b', spec), make_object('c'))
    listing = list_pages(page).ok_value
    assert name_valid_targets(listing) == ['a', 'c']
    assert [(change.name, change.revision) for change in listing.changes] == [
        ('a', 5),
        ('b', 5),
        ('c', 5),
    ]


@pytest.mark.parametrize('spec', ODD_SPECS.values(), ids=ODD_SPECS)
def test_odd_spec_in_a_watch_costs_only_its_entry(spec):
    calls = StoreCalls()
    results = calls.run(calls.store.watch_objects('servers', 5, 10))
    events = [
        b'{"object": %s, "deleted": false}' % make_object('a'),
        b'{"object": %s, "deleted": false}' % make_object('b', spec),
        b'{"object": %s, "deleted": true}' % make_object('c'),
    ]
    calls.answer(make_page(*events, word=b'events'))
    listing = results[0].ok_value
    assert listing.revision == 9
    assert [(change.name, change.deleted) for change in listing.changes] == [
        ('a', False),
        ('b', False),
        ('c', True),
    ]
    assert name_valid_targets(listing) == ['a', 'c']


NAMELESS = {
    'no object': b'7',
    'nested list': DEEP,
    'no meta': b'{"spec": {}}',
    'meta is no object': b'{"meta": [1], "spec": {}}',
    'surrogate': make_object('\ud800'),
    'empty name': make_object(''),
    'number': make_object(7),
    'long name': make_object('n' * 10**6),
    'no UTF-8': make_object('NAME').replace(b'NAME', b'\xff'),
}


@pytest.mark.parametrize('entry', NAMELESS.values(), ids=NAMELESS)
def test_entry_without_a_usable_name_is_counted_and_costs_only_itself(entry):
    # A name with a lone surrogate ended the list when the next page was asked for.
    pages = (
        make_page(make_object('a'), entry, has_more=b'true'),
        make_page(entry, make_object('c')),
    )
    listing = list_pages(*pages).ok_value
    assert name_valid_targets(listing) == ['a', 'c']
    assert listing.nameless == 2


@pytest.mark.parametrize(
    'more', [b', "finalizers": ' + DEEP, b', "createdRevision": ' + b'9' * 5000]
)
def test_name_and_revision_are_known_if_another_field_beside_them_is_odd(more):
    page = make_page(make_object('a', more=more), make_object('b'))
    listing = list_pages(page).ok_value
    assert [(change.name, change.revision) for change in listing.changes] == [('a', 5), ('b', 5)]
    assert name_valid_targets(listing) == ['a', 'b']


def test_page_whose_entries_are_all_odd_does_not_end_the_list():
    # The list ended there: targets of later pages counted as gone.
    odd = make_page(make_object('a', DEEP), make_object('b', b'9' * 5000), has_more=b'true')
    listing = list_pages(odd, make_page(make_object('c'))).ok_value
    assert name_valid_targets(listing) == ['c']


@pytest.mark.parametrize(
    'page',
    [
        make_page(DEEP, b'{"meta": 1}', has_more=b'true'),
        make_page(has_more=b'true'),
        make_page(make_object('a'), has_more=b'true'),
        make_page(make_object('c'), has_more=b'1'),
        make_page(make_object('c'), has_more=b'9' * 5000),
        make_page(make_object('c'), at=1 << 50),
        make_page(make_object('c'))[:-20],
        make_page(make_object('c', b'[[}')),
        make_page(make_object('c', b'"\\" ')),
        b'{"items": ' + DEEP + b', "at": ' + b'9' * 5000,
        DEEP[:100_000],
        b'9' * 5000,
        b'\xff\xfe',
        b'null',
        b'',
        b'"' + b'\\"' * 500_000,
    ],
    ids=range(16),
)
def test_unreadable_page_is_an_error_and_not_the_end_of_the_list(page):
    # The first page names `a`, so another page that ends with `a` does not get the list further.
    result = list_pages(make_page(make_object('a'), has_more=b'true'), page)
    assert isinstance(result, Err)


@pytest.mark.parametrize(
    'body',
    [b'', b'null', DEEP, b'9' * 5000, b'\xff', b'{"events": 7, "at": 9}', make_page(at=1 << 50)],
    ids=range(7),
)
def test_unreadable_answer_of_a_watch_is_an_error(body):
    calls = StoreCalls()
    results = calls.run(calls.store.watch_objects('servers', 5, 10))
    calls.answer(body)
    assert isinstance(results[0], Err)


LEASE_SPEC = json.dumps(records.encode_duty(LeaseRecord('vm', 'n', released=True))).encode()


@pytest.mark.parametrize(
    'spec', [DEEP, b'9' * 5000, b'{"era": 1e400}', b'"\xff"', LEASE_SPEC.replace(b'0', b'1e400')]
)
def test_odd_lease_record_keeps_its_revision(spec):
    # Without the revision no VM could replace the record.
    calls = StoreCalls()
    results = calls.run(calls.store.read_duty())
    calls.answer(make_object('promotion', spec))
    snapshot = results[0].ok_value
    assert (snapshot.revision, snapshot.record) == (5, None)
    assert 0 < len(snapshot.problem) <= 200


@pytest.mark.parametrize('body', [DEEP, b'9' * 5000, b'{"meta": {}}', b'7', b'\xff'])
def test_object_without_a_revision_is_no_lease_record_and_no_written_record(body):
    # Revision 0 stands for a record that does not exist.
    calls = StoreCalls()
    read = calls.run(calls.store.read_duty())
    calls.answer(body)
    written = calls.run(calls.store.write_duty(LeaseRecord('vm', 'n', released=False), 0))
    calls.answer(body)
    assert isinstance(read[0], Err)
    assert written[0].outcome is WriteOutcome.UNKNOWN


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        (b'[1, [[%s]], {"a": %s}]' % (DEEP, DEEP), [1, 'odd', 'odd']),
        (b' [ %s , "]" ,{} ] ' % DEEP, ['odd', ']', {}]),
        (b'{"a": [], "b": %s, "c": {}}' % (b'9' * 5000), {'a': [], 'b': 'odd', 'c': {}}),
        (b'[%s' % DEEP, 'odd'),
        (b'[%s] x' % DEEP, 'odd'),
        (b'[%s 1]' % DEEP, 'odd'),
        (b'{"a" %s}' % DEEP, 'odd'),
        (b'{%s}' % DEEP, 'odd'),
    ],
)
def test_parts_of_a_text_are_told_apart(text, expected):
    def mark_odd(found):
        if isinstance(found, Unreadable):
            return 'odd'
        if isinstance(found, list):
            return [mark_odd(part) for part in found]
        return (
            found
            if not isinstance(found, dict)
            else {name: mark_odd(part) for name, part in found.items()}
        )

    assert mark_odd(decode_parts(text, 1)) == expected
