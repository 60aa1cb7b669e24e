"""Logs input that a process refuses, once and not with every read."""

from collections.abc import Callable, Collection
from typing import Any

# Entries whose refusal is remembered; further ones are not logged one by one.
MAX_REFUSALS = 200
MAX_CAUSE_CHARS = 200


class RefusalLog:
    """Logs each refused entry when it appears and when its problem changes.

    Attributes:
        log: Callback that writes a log line.
        causes: Logged cause per event and name of the entry.
        is_full: Whether there are refused entries that are not logged.
    """

    def __init__(self, log: Callable[..., None]):
        self.log = log
        self.causes: dict[tuple[str, str], str] = {}
        self.is_full = False

    def report(self, event: str, name: str, cause: str, **fields: Any) -> None:
        """Log that an entry is refused, unless that is known.

        Args:
            event: Name of the log event, which stands for the kind of the entries.
            name: Name of the entry among those of its kind.
            cause: Why it is refused.
            fields: Further fields of the log line.
        """
        cause = cause[:MAX_CAUSE_CHARS]
        known = self.causes.get((event, name))
        if known == cause:
            return
        if known is None and len(self.causes) >= MAX_REFUSALS:
            if not self.is_full:
                self.is_full = True
                self.log('refusals_not_logged', refused=event, limit=MAX_REFUSALS)
            return
        self.causes[event, name] = cause
        self.log(event, cause=cause, **fields)

    def forget(self, event: str, name: str) -> None:
        """Forget an entry that is accepted or gone, so that its next refusal is logged."""
        if self.causes and self.causes.pop((event, name), None) is not None:
            self.is_full = False

    def retain(self, event: str, names: Collection[str]) -> None:
        """Forget the entries of a kind that a list no longer has."""
        for known_event, name in list(self.causes):
            if known_event == event and name not in names:
                self.forget(event, name)
