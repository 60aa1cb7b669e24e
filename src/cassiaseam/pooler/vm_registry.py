"""Registers this VM in the store and lists the records of the other VMs.

The list may be stale and a record may outlive its VM: a VM that does not answer is skipped (see
`peers`), and its record is deleted after `DELETE_AFTER_FAILURES` failed requests in a row. A VM
whose record was deleted by mistake writes it again.
"""

import random
from collections.abc import Callable
from typing import Any

from result import Err
from twisted.internet.defer import Deferred, ensureDeferred

from cassiaseam.observability.refusals import RefusalLog
from cassiaseam.pooler.events import PeerRecord, PeersListed, WriteOutcome
from cassiaseam.pooler.store_types import Change
from cassiaseam.pooler.store_watcher import report_nameless_entries, sleep_with_jitter

# Seconds before each of the first lists; the last interval repeats. The VMs of a deployment start
# at the same time, and each of them registers after its first list.
LIST_INTERVALS_S = (0.5, 4.0, 8.0, 20.0)
# Seconds for which a list may lack a record that was written, because lists may be stale.
LIST_STALENESS_S = 10.0
# Failed requests in a row after which a record is deleted; with the delays between them, they take
# several minutes.
DELETE_AFTER_FAILURES = 10


class VmRegistry:
    """Registers this VM and tracks the records of the others.

    Attributes:
        own: Record of this VM.
        registered_at: Time at which the record was written, or None.
        refusals: Refused records of VMs.
    """

    def __init__(
        self,
        reactor: Any,
        environment: Any,
        own: PeerRecord,
        dispatch: Callable[[Any], None],
        log: Callable[..., None],
        rng: random.Random,
        count_failures: Callable[[str], int],
    ):
        self.reactor = reactor
        self.environment = environment
        self.store = environment.store
        self.own = own
        self.dispatch = dispatch
        self.log = log
        self.rng = rng
        self.count_failures = count_failures
        self.registered_at: float | None = None
        self.refusals = RefusalLog(log)

    def start(self) -> None:
        """Start the listing loop."""
        self.run_listing_loop(LIST_INTERVALS_S[-1])

    def run_listing_loop(self, restart_pause_s: float) -> None:
        """List the records periodically, and restart the loop after an exception."""

        def restart(failure: Any) -> None:
            self.log('vm_directory_failed', cause=failure.getTraceback(), level='error')
            self.reactor.callLater(restart_pause_s, self.run_listing_loop, restart_pause_s)

        ensureDeferred(self.list_periodically()).addErrback(restart)

    async def list_periodically(self) -> None:
        """List the records at growing intervals."""
        for pause_s in LIST_INTERVALS_S:
            await self.sleep(pause_s)
            await self.list_once()
        while True:
            await self.sleep(LIST_INTERVALS_S[-1])
            await self.list_once()

    async def list_once(self) -> None:
        """List the records, write that of this VM, and delete those of abandoned VMs."""
        listing = await self.store.list_objects(self.environment.kinds.vms, allow_stale=True)
        if isinstance(listing, Err):
            self.log('vm_list_failed', cause=listing.err_value.reason)
            return
        report_nameless_entries(self.refusals, self.environment.kinds.vms, listing.ok_value)
        changes = listing.ok_value.changes
        self.refusals.retain('vm_record_refused', {change.name for change in changes})
        records = []
        own_change = None
        for change in changes:
            if change.name == self.own.vm:
                own_change = change
            decoded = self.environment.decode_vm(change.name, change.spec)
            if isinstance(decoded, Err):
                self.refusals.report('vm_record_refused', change.name, decoded.err_value)
            else:
                self.refusals.forget('vm_record_refused', change.name)
                records.append(decoded.ok_value)
        self.dispatch(PeersListed(tuple(records)))
        await self.register(own_change, self.own in records)
        await self.delete_abandoned(changes)

    async def register(self, known: Change | None, up_to_date: bool) -> None:
        """Write the record of this VM unless the list has it or may be too stale to have it."""
        now = self.reactor.seconds()
        if up_to_date:
            return
        if self.registered_at is not None and now - self.registered_at < LIST_STALENESS_S:
            return
        written = await self.store.write_vm(self.own, known.revision if known else 0)
        if written.outcome is not WriteOutcome.UNKNOWN:
            self.registered_at = now
        self.log('vm_registered', outcome=written.outcome.value)

    async def delete_abandoned(self, changes: tuple[Change, ...]) -> None:
        """Delete the records of VMs after `DELETE_AFTER_FAILURES` failed requests in a row."""
        for change in changes:
            if self.count_failures(change.name) < DELETE_AFTER_FAILURES:
                continue
            deleted = await self.store.delete_vm(change.name, change.revision)
            cause = deleted.err_value.reason if isinstance(deleted, Err) else ''
            self.log('vm_record_deleted', vm_name=change.name, cause=cause)

    def sleep(self, seconds: float) -> Deferred[None]:
        """Sleep for a time with jitter."""
        return sleep_with_jitter(self.reactor, self.rng, seconds)
