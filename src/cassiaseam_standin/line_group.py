"""Stand-in for a database group that speaks the line protocol of the platform.

Commits replicate to the other targets after a short delay, unless the pair is cut. A target
becomes primary only by a promotion.
"""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from cassiaseam_standin.line_target import LineTarget

REPLICATION_DELAY_S = 0.005
PROMOTION_DELAY_S = 0.15
STEP_DOWN_DELAY_S = 0.5


@dataclass(frozen=True, slots=True)
class TermStart:
    """A promotion that took effect, at a time in seconds on the clock of the event loop."""

    at: float
    target: str
    term: int


@dataclass(frozen=True, slots=True)
class SupersededCommit:
    """A write committed in a term older than the newest promoted term at that time."""

    at: float
    target: str
    term: int
    newest_term: int
    text: str


class LineGroup:
    """One database group.

    Attributes:
        announce: Publishes the changed record of a target.
        cuts: Pairs of targets that do not replicate.
        term_starts: Promotions that took effect, oldest first.
        superseded_commits: Writes committed by former primaries after the next promotion.
    """

    def __init__(self, name: str, places: tuple[str, ...], max_connections: int = 60):
        self.name = name
        self.max_connections = max_connections
        self.cuts: set[tuple[str, str]] = set()
        self.term_starts: list[TermStart] = []
        self.superseded_commits: list[SupersededCommit] = []
        self.incarnations = itertools.count(1_700_000_000_000)
        self.announce: Callable[[LineTarget], None] = _do_nothing
        self.targets = {
            f'{name}-{index}': LineTarget(self, f'{name}-{index}', place, index == 0)
            for index, place in enumerate(places)
        }

    def find_newest_term(self) -> int:
        """Return the highest term of any target."""
        return max(target.term for target in self.targets.values())

    def find_primary(self) -> LineTarget | None:
        """Return the running primary with the highest term, or None."""
        leading = [
            candidate
            for candidate in self.targets.values()
            if candidate.is_primary and candidate.is_running
        ]
        return max(leading, key=lambda candidate: candidate.term, default=None)

    def replicate(self) -> None:
        """Send the log of every running primary to the other targets."""
        loop = asyncio.get_running_loop()
        for primary in self.targets.values():
            if not primary.is_primary or not primary.is_running:
                continue
            for target in self.targets.values():
                if target is not primary:
                    count = len(primary.log)
                    loop.call_later(REPLICATION_DELAY_S, target.receive, primary, count)

    def accept_promotion(self, name: str) -> bool:
        """Promote a target after a delay; return whether it is running."""
        target = self.targets.get(name)
        if target is None or not target.is_running:
            return False
        if not target.is_primary:
            asyncio.get_running_loop().call_later(PROMOTION_DELAY_S, self.promote, target)
        return True

    def promote(self, target: LineTarget) -> None:
        """Make a target the primary of the next term."""
        if not target.is_running or target.is_primary:
            return
        target.term = self.find_newest_term() + 1
        target.is_primary = True
        loop = asyncio.get_running_loop()
        self.term_starts.append(TermStart(loop.time(), target.name, target.term))
        for other in self.targets.values():
            other.fenced = 0
            if other is target or (target.name, other.name) in self.cuts:
                continue
            if other.is_primary:
                loop.call_later(STEP_DOWN_DELAY_S, self.replace, other, target)
            else:
                other.term = target.term
        self.announce(target)
        self.replicate()

    def record_superseded_commit(self, target: LineTarget, text: str) -> None:
        """Record a commit whose term has been superseded by a promotion."""
        newest = self.term_starts[-1].term if self.term_starts else 0
        if target.term < newest:
            now = asyncio.get_running_loop().time()
            commit = SupersededCommit(now, target.name, target.term, newest, text)
            self.superseded_commits.append(commit)

    def replace(self, former: LineTarget, successor: LineTarget) -> None:
        """Demote a former primary that has reached its successor."""
        if former.is_primary and former.term < successor.term:
            former.step_down()
            self.announce(former)
            self.replicate()


def _do_nothing(target: LineTarget) -> None:
    """Ignore a change; the default of `announce`."""
