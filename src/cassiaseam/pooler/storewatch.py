"""Follows the configuration and the target records in the store."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from result import Err
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import deferLater

from cassiaseam.pooler.events import (
    ConfigurationRead,
    StoreContact,
    TargetChanged,
    TargetRemoved,
    TargetsListed,
)
from cassiaseam.pooler.storeport import Change, HistoryGone, Listing

# Pauses in seconds after a failed call; they double up to the longest.
FIRST_PAUSE_S = 0.25
LONGEST_PAUSE_S = 1.0
# Targets register one after the other while a deployment starts; for this time in seconds after
# the start of the daemon, changes of targets are read together, with a pause after each reading.
START_S = 8.0
START_PAUSE_S = 0.6


Reader = Callable[[tuple[Change, ...]], None]


@dataclass(frozen=True, slots=True)
class StoreKinds:
    """Names of the kinds of objects that a daemon reads.

    Attributes:
        config: Kind of the configuration, which is watched.
        config_name: Name of the object that holds the configuration.
        targets: Kind of the target records, which are watched.
        vms: Kind of the records of VMs, which are listed now and then.
        sizes: Kind of the sizes of groups, which are listed at the start and after a change.
    """

    config: str
    config_name: str
    targets: str
    vms: str
    sizes: str


def sleep_with_spread(reactor: Any, rng: random.Random, seconds: float) -> Deferred[None]:
    """Wait for half to one and a half of a time, so that the VMs do not call together."""
    return deferLater(reactor, seconds * (0.5 + rng.random()), lambda: None)


def select_news(changes: tuple[Change, ...], revision: int) -> tuple[Change, ...]:
    """Return the changes after a revision.

    An answer that may be late can repeat older ones, which would bring back a target that has
    left. The revision of a deleted object is the one of its last content.
    """
    return tuple(
        change
        for change in changes
        if change.deleted or not change.revision or change.revision > revision
    )


class StoreWatcher:
    """Keeps one list and one watch per kind going.

    Attributes:
        watch_s: Seconds that a watch waits for a change.
        reachable: Whether the latest call per kind was answered.
    """

    def __init__(
        self,
        reactor: Any,
        environment: Any,
        dispatch: Callable[[Any], None],
        log: Callable[..., None],
        rng: random.Random,
        watch_s: float,
    ):
        self.reactor = reactor
        self.environment = environment
        self.store = environment.store
        self.dispatch = dispatch
        self.log = log
        self.rng = rng
        self.watch_s = watch_s
        self.reachable: dict[str, bool] = {}
        self.started_at = reactor.seconds()

    def start(self) -> None:
        """Begin to follow both kinds."""
        kinds = self.environment.kinds
        for kind, listed, changed in (
            (kinds.config, self.read_config, self.read_config),
            (kinds.targets, self.read_target_list, self.read_target_changes),
        ):
            self.keep_following(kind, listed, changed)

    def keep_following(self, kind: str, listed: Reader, changed: Reader) -> None:
        """Follow a kind, and begin anew after an exception in the reading of an object."""

        def restart(failure: Any) -> None:
            self.log('store_watch_failed', kind=kind, cause=failure.getTraceback())
            self.reactor.callLater(LONGEST_PAUSE_S, self.keep_following, kind, listed, changed)

        ensureDeferred(self.follow(kind, listed, changed)).addErrback(restart)

    async def follow(self, kind: str, listed: Reader, changed: Reader) -> None:
        """List a kind, then watch it; list again when changes may have been missed."""
        pause_s = FIRST_PAUSE_S
        while True:
            listing = await self.store.list_objects(kind)
            if isinstance(listing, Err):
                self.note_contact(kind, False, listing.err_value.reason)
                await self.sleep(pause_s)
                pause_s = min(pause_s * 2, LONGEST_PAUSE_S)
                continue
            pause_s = FIRST_PAUSE_S
            self.note_contact(kind, True)
            listed(listing.ok_value.changes)
            await self.watch(kind, listing.ok_value.revision, changed)

    async def watch(self, kind: str, revision: int, changed: Reader) -> None:
        """Take over changes until the history is gone or too many calls have failed."""
        failures = 0
        while True:
            late = kind == self.environment.kinds.targets
            seen = await self.store.watch_objects(kind, revision, self.watch_s, late)
            if isinstance(seen, Err):
                self.note_contact(kind, False, seen.err_value.reason)
                failures += 1
                await self.sleep(min(FIRST_PAUSE_S * 2 ** (failures - 1), LONGEST_PAUSE_S))
                continue
            failures = 0
            self.note_contact(kind, True)
            if isinstance(seen.ok_value, HistoryGone):
                self.log('store_history_gone', kind=kind, revision=revision)
                return
            listing: Listing = seen.ok_value
            news = select_news(listing.changes, revision)
            revision = max(revision, listing.revision)
            if news:
                changed(news)
                await self.wait_for_more(kind)

    async def wait_for_more(self, kind: str) -> None:
        """Let changes of targets gather while the deployment starts; each call has a price."""
        starting = self.reactor.seconds() - self.started_at < START_S
        if starting and kind == self.environment.kinds.targets:
            await self.sleep(START_PAUSE_S)

    def note_contact(self, kind: str, answered: bool, reason: str = '') -> None:
        """Report whether the store answers to at least one of the kinds."""
        if not answered:
            self.log('store_call_failed', kind=kind, cause=reason)
        self.reachable[kind] = answered
        self.dispatch(StoreContact(any(self.reachable.values())))

    def sleep(self, seconds: float) -> Deferred[None]:
        """Wait for a time with some spread."""
        return sleep_with_spread(self.reactor, self.rng, seconds)

    def read_config(self, changes: tuple[Change, ...]) -> None:
        """Decode the newest configuration among the changes."""
        for change in reversed(changes):
            if change.name != self.environment.kinds.config_name or change.deleted:
                continue
            decoded = self.environment.decode_config(change.spec)
            if isinstance(decoded, Err):
                self.log('configuration_refused', cause=decoded.err_value)
                continue
            self.dispatch(ConfigurationRead(decoded.ok_value))
            return

    def read_target_list(self, changes: tuple[Change, ...]) -> None:
        """Decode all target records."""
        records = []
        for change in changes:
            decoded = self.environment.decode_target(change.name, change.spec)
            if isinstance(decoded, Err):
                self.log('target_record_refused', cause=decoded.err_value)
            else:
                records.append(decoded.ok_value)
        self.dispatch(TargetsListed(tuple(records)))

    def read_target_changes(self, changes: tuple[Change, ...]) -> None:
        """Decode changed target records."""
        for change in changes:
            if change.deleted:
                self.dispatch(TargetRemoved(change.name))
                continue
            decoded = self.environment.decode_target(change.name, change.spec)
            if isinstance(decoded, Err):
                self.log('target_record_refused', cause=decoded.err_value)
                self.dispatch(TargetRemoved(change.name))
            else:
                self.dispatch(TargetChanged(decoded.ok_value))
