"""Keeps the record of this VM in the store and lists those of the others.

The list may be old and a record may outlive its VM: a VM that does not answer is passed over (see
`peers`), and its record is deleted once it has not answered for long. A VM whose record was
deleted by mistake writes it again.
"""

import random
from collections.abc import Callable
from typing import Any

from result import Err
from twisted.internet.defer import Deferred, ensureDeferred

from cassiaseam.pooler.events import PeerRecord, PeersListed, WriteOutcome
from cassiaseam.pooler.storeport import Change
from cassiaseam.pooler.storewatch import sleep_with_spread

# Pauses in seconds before the first lists of a daemon: the VMs of a deployment start together, and
# each of them registers after its first list. The last pause repeats.
LIST_PAUSES_S = (0.5, 4.0, 8.0, 20.0)
# Seconds in which a list may lack a record that was written: lists may be some seconds old.
LIST_DELAY_S = 10.0
# Failed questions in a row after which a record is deleted; the pauses between them add up to
# several minutes.
ABANDONED_FAILURES = 10


class VmDirectory:
    """Registers this VM and follows the records of the others.

    Attributes:
        own: Record of this VM.
        registered_at: Time at which the record was written, or None.
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

    def start(self) -> None:
        """Begin to list."""
        self.keep_listing(LIST_PAUSES_S[-1])

    def keep_listing(self, restart_pause_s: float) -> None:
        """List again and again, and begin anew after an exception."""

        def restart(failure: Any) -> None:
            self.log('vm_directory_failed', cause=failure.getTraceback(), level='error')
            self.reactor.callLater(restart_pause_s, self.keep_listing, restart_pause_s)

        ensureDeferred(self.list_repeatedly()).addErrback(restart)

    async def list_repeatedly(self) -> None:
        """List the records with growing pauses."""
        for pause_s in LIST_PAUSES_S:
            await self.sleep(pause_s)
            await self.list_once()
        while True:
            await self.sleep(LIST_PAUSES_S[-1])
            await self.list_once()

    async def list_once(self) -> None:
        """Read the records, and bring the one of this VM up to date."""
        listing = await self.store.list_objects(self.environment.kinds.vms, may_be_old=True)
        if isinstance(listing, Err):
            self.log('vm_list_failed', cause=listing.err_value.reason)
            return
        records = []
        own_change = None
        for change in listing.ok_value.changes:
            if change.name == self.own.vm:
                own_change = change
            decoded = self.environment.decode_vm(change.name, change.spec)
            if isinstance(decoded, Err):
                self.log('vm_record_refused', cause=decoded.err_value)
            else:
                records.append(decoded.ok_value)
        self.dispatch(PeersListed(tuple(records)))
        await self.register(own_change, self.own in records)
        await self.delete_abandoned(listing.ok_value.changes)

    async def register(self, known: Change | None, up_to_date: bool) -> None:
        """Write the record of this VM unless the list has it or may not show it yet."""
        now = self.reactor.seconds()
        if up_to_date:
            return
        if self.registered_at is not None and now - self.registered_at < LIST_DELAY_S:
            return
        written = await self.store.write_vm(self.own, known.revision if known else 0)
        if written.outcome is not WriteOutcome.UNKNOWN:
            self.registered_at = now
        self.log('vm_registered', outcome=written.outcome.value)

    async def delete_abandoned(self, changes: tuple[Change, ...]) -> None:
        """Delete the records of VMs that have not answered for long."""
        for change in changes:
            if self.count_failures(change.name) < ABANDONED_FAILURES:
                continue
            deleted = await self.store.delete_vm(change.name, change.revision)
            cause = deleted.err_value.reason if isinstance(deleted, Err) else ''
            self.log('vm_record_deleted', vm_name=change.name, cause=cause)

    def sleep(self, seconds: float) -> Deferred[None]:
        """Wait for a time with some spread."""
        return sleep_with_spread(self.reactor, self.rng, seconds)
