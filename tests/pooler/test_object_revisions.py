"""Lists of several pages and the changes that follow them.

A watch from the revision of the last page missed what was written between two pages: a new target
was never counted (LOST, review/1), and a leaving one got requests (DRAIN, review/5).
"""

from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiaseam.pooler.object_revisions import ObjectRevisions
from cassiaseam.pooler.store_types import Change, ListedPage, Listing

# Pages (a to c) as of 10 and (d and further) as of 20.
PAGES = (ListedPage('c', 10), ListedPage('', 20))
LISTED = Listing(
    (Change('a', 'a4', False, 4), Change('c', 'c9', False, 9), Change('d', 'd15', False, 15)),
    10,
    pages=PAGES,
)
# Changes of the next watch, and which of them are applied.
CHANGES = {
    'new object on the first page': ([Change('b', '', False, 12)], [0]),
    'change on the first page': ([Change('a', '', False, 12)], [0]),
    'change that the second page shows': ([Change('d', '', False, 12)], []),
    'change after the second page': ([Change('d', '', False, 21)], [0]),
    'object that the second page lacks': ([Change('e', '', False, 12)], []),
    'the same, created again': ([Change('e', '', False, 12), Change('e', '', False, 21)], [1]),
    'deletion': ([Change('a', '', True, 4)], [0]),
    'deletion before a new creation': ([Change('d', '', True, 11)], []),
    'deletion and creation': ([Change('a', '', True, 4), Change('a', '', False, 13)], [0, 1]),
    'creation, then a repeated deletion': (
        [Change('a', '', True, 4), Change('a', '', False, 13), Change('a', '', True, 4)],
        [0, 1],
    ),
    'change without a revision': ([Change('d', '', False, 0)], [0]),
}


@pytest.mark.parametrize('case', CHANGES, ids=str)
def test_change_is_applied_only_if_no_page_has_shown_it(case):
    changes, expected = CHANGES[case]
    newer = ObjectRevisions(LISTED).select_newer(Listing(tuple(changes), 30))
    assert newer == tuple(changes[index] for index in expected)


def test_repeated_changes_of_a_stale_reply_are_not_applied():
    revisions = ObjectRevisions(LISTED)
    revisions.select_newer(Listing((Change('b', '', False, 22), Change('b', '', True, 22)), 25))
    assert revisions.select_newer(Listing((Change('b', '', False, 22),), 23)) == ()
    assert revisions.position == 25


def test_page_of_a_missing_object_is_unknown_if_names_are_in_another_order():
    changes = (Change('d', '', False, 15), Change('a', '', False, 4))
    revisions = ObjectRevisions(Listing(changes, 10, pages=PAGES))
    change = Change('e', '', False, 12)
    assert revisions.select_newer(Listing((change,), 30)) == (change,)


@dataclass
class HistoryStore:
    """Store that can answer as of each of its revisions.

    Attributes:
        states: Objects per revision, from revision 0 on, each as its revision per name.
        events: Change of each revision from 1 on.
    """

    states: list = field(default_factory=lambda: [{}])
    events: list = field(default_factory=list)

    def write(self, name, delete):
        revision = len(self.states)
        state = dict(self.states[-1])
        if delete and name not in state:
            return
        if delete:
            self.events.append(Change(name, None, True, state.pop(name)))
        else:
            state[name] = revision
            self.events.append(Change(name, revision, False, revision))
        self.states.append(state)

    def list_pages(self, revisions, page_size):
        """Return a list whose pages were read at the given revisions, the last one repeated."""
        changes, pages, after, index = [], [], '', 0
        while True:
            at = min(revisions[min(index, len(revisions) - 1)], len(self.states) - 1)
            state = self.states[at]
            names = sorted(name for name in state if name > after)
            page = names[:page_size]
            changes += [Change(name, state[name], False, state[name]) for name in page]
            if len(names) <= page_size:
                pages.append(ListedPage('', at))
                return Listing(tuple(changes), min(it.revision for it in pages), 0, tuple(pages))
            after = page[-1]
            pages.append(ListedPage(after, at))
            index += 1

    def watch(self, since, until):
        return Listing(tuple(self.events[since:until]), until)


WRITES = st.lists(
    st.tuples(st.sampled_from('abcdef'), st.sampled_from([False, False, True])), max_size=30
)


@given(
    writes=WRITES,
    read_at=st.lists(st.integers(0, 30), min_size=1, max_size=4),
    page_size=st.integers(1, 3),
    replies=st.lists(st.tuples(st.integers(0, 5), st.integers(1, 10)), max_size=12),
)
def test_watcher_reaches_the_state_of_the_store_and_no_object_goes_back(
    writes, read_at, page_size, replies
):
    # Pages may be read at any revisions, also a later one from an older copy. Each reply may begin
    # some revisions before the asked one and end below it, as a stale reply does.
    store = HistoryStore()
    for name, delete in writes:
        store.write(name, delete)
    listing = store.list_pages(read_at, page_size)
    revisions = ObjectRevisions(listing)
    state = {change.name: change.revision for change in listing.changes}
    deleted = {}
    end = len(store.events)
    spans = [(max(revisions.position - back, 0), count) for back, count in replies]
    for start, count in [*spans, (None, end)]:
        since = revisions.position if start is None else min(start, revisions.position)
        until = min(since + count, end)
        for change in revisions.select_newer(store.watch(since, until)):
            assert change.deleted or change.revision > state.get(change.name, 0), 'went back'
            assert change.deleted or change.revision > deleted.get(change.name, 0), 'came back'
            if change.deleted:
                deleted[change.name] = max(state.pop(change.name, 0), change.revision)
            else:
                state[change.name] = change.revision
    assert state == store.states[-1]
