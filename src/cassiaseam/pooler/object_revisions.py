"""Which changes of a watch are newer than what a list or an earlier change has shown.

A list of several pages is no state that the store ever had: each page shows its objects as of its
own revision. A watch from the lowest of these revisions misses nothing, but repeats changes that a
later page has shown already. A reply that may be stale repeats changes as well. The revision of
each object decides whether a change is applied, so that no object goes back.
"""

from itertools import pairwise

from cassiaseam.pooler.store_types import Change, Listing


class ObjectRevisions:
    """Revisions of the objects of one kind, from a list on.

    Attributes:
        position: Revision up to which all changes have been seen.
        known: Revision per object that exists.
        pages: Pages of the list, or none if its names are in an order that does not tell on which
            page a missing object would be.
    """

    def __init__(self, listing: Listing):
        self.position = listing.revision
        self.known = {change.name: change.revision for change in listing.changes}
        names = [change.name for change in listing.changes]
        is_ordered = all(first < second for first, second in pairwise(names))
        self.pages = listing.pages if is_ordered else ()

    def select_newer(self, reply: Listing) -> tuple[Change, ...]:
        """Return the changes of a watch that are newer than what is known, and record them."""
        newer = tuple(change for change in reply.changes if self.record(change))
        self.position = max(self.position, reply.revision)
        return newer

    def record(self, change: Change) -> bool:
        """Record a change and return whether it is newer than what is known of its object.

        A deletion carries the revision of the last content of the object. An object that was
        created again since has a higher one. Without a revision, a change counts as newer.
        """
        known = self.known.get(change.name, 0)
        if change.deleted:
            if change.revision and change.revision < known:
                return False
            self.known.pop(change.name, None)
            return True
        shown = max(self.position, known, self.find_page_revision(change.name))
        if change.revision and change.revision <= shown:
            return False
        self.known[change.name] = change.revision
        return True

    def find_page_revision(self, name: str) -> int:
        """Return the revision of the page that shows an object, or that it did not exist."""
        for page in self.pages:
            if not page.last_name or name <= page.last_name:
                return page.revision
        return 0
