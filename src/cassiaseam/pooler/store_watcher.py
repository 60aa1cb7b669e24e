"""Lists and watches the configuration and the target records in the store."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from result import Err
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import deferLater

from cassiaseam.observability.refusals import RefusalLog
from cassiaseam.pooler.events import (
    ConfigurationRead,
    StoreListed,
    StoreReachability,
    TargetChanged,
    TargetRemoved,
    TargetsListed,
)
from cassiaseam.pooler.model import TargetRecord
from cassiaseam.pooler.object_revisions import ObjectRevisions
from cassiaseam.pooler.store_types import Change, HistoryGone, Listing
from cassiaseam.store_revisions import get_era, get_number

# Exponential backoff after a failed call.
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 1.0
# Targets register one after the other while a deployment starts. During this time after the start
# of the daemon, each change of targets is followed by a delay, so that one call reads several.
STARTUP_S = 8.0
STARTUP_BATCH_DELAY_S = 0.6
# While the store does not answer, only the watcher of the configuration retries, because each call
# is charged, also a refused one. The other watchers check for its success at this interval, and
# retry themselves after the maximum, in case the store fails for one kind only.
PROBE_CHECK_INTERVAL_S = 0.1
MAX_PROBE_WAIT_S = 5.0


ChangeHandler = Callable[[tuple[Change, ...]], None]


@dataclass(frozen=True, slots=True)
class StoreKinds:
    """Names of the object kinds that a daemon reads.

    Attributes:
        config: Kind of the configuration, which is watched.
        config_name: Name of the object that holds the configuration.
        targets: Kind of the target records, which are watched.
        vms: Kind of the VM records, which are listed periodically.
        sizes: Kind of the group sizes, which are listed at the start and after a change.
        shares: Kind of the quota shares, which are listed periodically.
    """

    config: str
    config_name: str
    targets: str
    vms: str
    sizes: str
    shares: str = ''


def sleep_with_jitter(reactor: Any, rng: random.Random, seconds: float) -> Deferred[None]:
    """Wait for 0.5 to 1.5 times `seconds`, so that the calls of the VMs do not coincide."""
    return deferLater(reactor, seconds * (0.5 + rng.random()), lambda: None)


def describe_revision(revision: int) -> dict[str, int]:
    """Return the fields of a log line for a revision."""
    return {'era': get_era(revision), 'revision': get_number(revision)}


def report_nameless_entries(refusals: RefusalLog, kind: str, listing: Listing) -> None:
    """Log how many entries in the list of a kind have no usable name, if that has changed."""
    if listing.nameless:
        cause = f'{listing.nameless} entries without a usable name'
        refusals.report('store_entries_refused', kind, cause, kind=kind)
    else:
        refusals.forget('store_entries_refused', kind)


def is_history_gone(reply: Listing | HistoryGone, revision: int) -> bool:
    """Return whether a watch from a revision may have missed changes.

    An answer of another era lacks what that era wrote below the number of the revision.
    """
    return isinstance(reply, HistoryGone) or get_era(reply.revision) != get_era(revision)


class StoreWatcher:
    """Lists and watches each kind and dispatches its changes as events.

    Attributes:
        watch_timeout_s: Seconds that a watch waits for a change.
        reachable: Whether the latest call succeeded, per kind.
        refusals: Refused records, by kind of log line and name.
    """

    def __init__(
        self,
        reactor: Any,
        environment: Any,
        dispatch: Callable[[Any], None],
        log: Callable[..., None],
        rng: random.Random,
        watch_timeout_s: float,
    ):
        self.reactor = reactor
        self.environment = environment
        self.store = environment.store
        self.dispatch = dispatch
        self.log = log
        self.rng = rng
        self.watch_timeout_s = watch_timeout_s
        self.reachable: dict[str, bool] = {}
        self.refusals = RefusalLog(log)
        self.started_at = reactor.seconds()

    def start(self) -> None:
        """Start to follow both kinds."""
        kinds = self.environment.kinds
        for kind, on_list, on_change in (
            (kinds.config, self.handle_config, self.handle_config),
            (kinds.targets, self.handle_target_list, self.handle_target_changes),
        ):
            self.follow_with_restart(kind, on_list, on_change)

    def follow_with_restart(
        self, kind: str, on_list: ChangeHandler, on_change: ChangeHandler
    ) -> None:
        """Follow a kind, and restart after an exception in the handling of a change."""

        def restart(failure: Any) -> None:
            self.log('store_watch_failed', kind=kind, cause=failure.getTraceback())
            self.reactor.callLater(
                MAX_BACKOFF_S, self.follow_with_restart, kind, on_list, on_change
            )

        ensureDeferred(self.follow(kind, on_list, on_change)).addErrback(restart)

    async def follow(self, kind: str, on_list: ChangeHandler, on_change: ChangeHandler) -> None:
        """List a kind, then watch it; list it again after a lost watch or lost history.

        While a watch is lost, the store may have been restored from a copy. Only a list shows what
        was written then at a revision below the one that the watch had reached.

        A store that drops its history before a watch can begin is listed after a backoff.
        """
        backoff_s = INITIAL_BACKOFF_S
        while True:
            listing = await self.store.list_objects(kind)
            if isinstance(listing, Err):
                self.report_reachability(kind, False, listing.err_value.reason)
                await self.sleep(backoff_s)
                await self.wait_for_probe(kind)
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
                continue
            revision = listing.ok_value.revision
            self.log('store_listed', kind=kind, **describe_revision(revision))
            self.dispatch(StoreListed(revision))
            self.report_reachability(kind, True)
            report_nameless_entries(self.refusals, kind, listing.ok_value)
            on_list(listing.ok_value.changes)
            if await self.watch(kind, listing.ok_value, on_change):
                backoff_s = INITIAL_BACKOFF_S
                continue
            if backoff_s > INITIAL_BACKOFF_S:
                await self.sleep(backoff_s)
            backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)

    async def watch(self, kind: str, listing: Listing, on_change: ChangeHandler) -> bool:
        """Watch a kind and handle its changes until a call fails or its history is gone.

        Returns:
            Whether the store had the changes since the list.
        """
        revisions = ObjectRevisions(listing)
        has_answered = False
        while True:
            revision = revisions.position
            allow_stale = kind == self.environment.kinds.targets
            reply = await self.store.watch_objects(
                kind, revision, self.watch_timeout_s, allow_stale
            )
            if isinstance(reply, Err):
                self.report_reachability(kind, False, reply.err_value.reason)
                await self.sleep(INITIAL_BACKOFF_S)
                await self.wait_for_probe(kind)
                return True
            self.report_reachability(kind, True)
            if is_history_gone(reply.ok_value, revision):
                self.log('store_history_gone', kind=kind, **describe_revision(revision))
                return has_answered
            has_answered = True
            changed: Listing = reply.ok_value
            if changed.nameless:
                report_nameless_entries(self.refusals, kind, changed)
            newer_changes = revisions.select_newer(changed)
            if newer_changes:
                on_change(newer_changes)
                await self.batch_startup_changes(kind)

    async def wait_for_probe(self, kind: str) -> None:
        """Wait until the watcher of the configuration reaches the store again."""
        probe = self.environment.kinds.config
        if kind == probe:
            return
        give_up_at = self.reactor.seconds() + MAX_PROBE_WAIT_S
        while not self.reachable.get(probe, True) and self.reactor.seconds() < give_up_at:
            await deferLater(self.reactor, PROBE_CHECK_INTERVAL_S, lambda: None)

    async def batch_startup_changes(self, kind: str) -> None:
        """Delay the next watch of targets during startup, because the store charges per call."""
        starting = self.reactor.seconds() - self.started_at < STARTUP_S
        if starting and kind == self.environment.kinds.targets:
            await self.sleep(STARTUP_BATCH_DELAY_S)

    def report_reachability(self, kind: str, answered: bool, reason: str = '') -> None:
        """Report whether the latest call succeeded for at least one kind."""
        if not answered:
            self.log('store_call_failed', kind=kind, cause=reason)
        self.reachable[kind] = answered
        self.dispatch(StoreReachability(any(self.reachable.values())))

    def sleep(self, seconds: float) -> Deferred[None]:
        """Wait for a time with jitter."""
        return sleep_with_jitter(self.reactor, self.rng, seconds)

    def handle_config(self, changes: tuple[Change, ...]) -> None:
        """Dispatch the newest valid configuration among the changes."""
        for change in reversed(changes):
            if change.name != self.environment.kinds.config_name or change.deleted:
                continue
            decoded = self.environment.decode_config(change.spec)
            if isinstance(decoded, Err):
                self.refusals.report('configuration_refused', change.name, decoded.err_value)
                continue
            self.refusals.forget('configuration_refused', change.name)
            self.dispatch(ConfigurationRead(decoded.ok_value))
            return

    def handle_target_list(self, changes: tuple[Change, ...]) -> None:
        """Dispatch all valid target records."""
        decoded = [self.decode_target(change) for change in changes]
        self.refusals.retain('target_record_refused', {change.name for change in changes})
        self.dispatch(TargetsListed(tuple(record for record in decoded if record is not None)))

    def handle_target_changes(self, changes: tuple[Change, ...]) -> None:
        """Dispatch changed target records; one that has become invalid counts as removed."""
        for change in changes:
            if change.deleted:
                self.refusals.forget('target_record_refused', change.name)
                self.dispatch(TargetRemoved(change.name))
                continue
            record = self.decode_target(change)
            if record is None:
                self.dispatch(TargetRemoved(change.name))
            else:
                self.dispatch(TargetChanged(record))

    def decode_target(self, change: Change) -> TargetRecord | None:
        """Return the record of a target, or None if it is invalid."""
        decoded = self.environment.decode_target(change.name, change.spec)
        if isinstance(decoded, Err):
            self.refusals.report('target_record_refused', change.name, decoded.err_value)
            return None
        self.refusals.forget('target_record_refused', change.name)
        return decoded.ok_value
