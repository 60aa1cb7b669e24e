"""Reads and writes the sizes of groups in the store."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from result import Err
from twisted.internet.defer import ensureDeferred

from cassiaseam.daemon.node import Node, executes
from cassiaseam.observability.refusals import RefusalLog
from cassiaseam.pooler.events import WriteOutcome
from cassiaseam.pooler.group_sizes import (
    ReadSizes,
    SizeRecord,
    SizesRead,
    SizesReadFailed,
    SizeWritten,
    WriteSize,
)
from cassiaseam.pooler.store_watcher import report_nameless_entries


class RecordClient:
    """Client for records of this project in the store; each call ends in one event.

    Attributes:
        failure_event: Name of the log line about an exception in a call.
        refusals: Refused records.
    """

    failure_event = 'size_call_failed'

    def __init__(
        self, environment: Any, dispatch: Callable[[Any], None], log: Callable[..., None]
    ):
        self.environment = environment
        self.dispatch = dispatch
        self.log = log
        self.refusals = RefusalLog(log)

    def start(self, call: Any, failed: Any) -> None:
        """Run a call; on an exception, log it and dispatch the event `failed`."""

        def report(failure: Any) -> None:
            self.log(self.failure_event, cause=failure.getTraceback(), level='error')
            self.dispatch(failed)

        ensureDeferred(call).addErrback(report)


class SizeClient(RecordClient):
    """Client for the sizes of groups."""

    async def read(self) -> None:
        """Read all sizes, from a copy that may be seconds old and costs a tenth of the price."""
        kind = self.environment.kinds.sizes
        listing = await self.environment.store.list_objects(kind, allow_stale=True)
        if isinstance(listing, Err):
            self.log('sizes_read_failed', cause=listing.err_value.reason)
            self.dispatch(SizesReadFailed())
            return
        report_nameless_entries(self.refusals, kind, listing.ok_value)
        changes = listing.ok_value.changes
        self.refusals.retain('size_record_refused', {change.name for change in changes})
        records = []
        for change in changes:
            decoded = self.environment.decode_size(change.name, change.revision, change.spec)
            if isinstance(decoded, Err):
                # Keep the revision, so that a valid record can replace this one.
                self.refusals.report(
                    'size_record_refused', change.name, decoded.err_value, group=change.name
                )
                records.append(SizeRecord(change.name, 0, change.revision))
            else:
                self.refusals.forget('size_record_refused', change.name)
                records.append(decoded.ok_value)
        self.dispatch(SizesRead(tuple(records)))

    async def write(self, record: SizeRecord) -> None:
        """Write a size if its record still has the expected revision."""
        written = await self.environment.store.write_size(record)
        if written.outcome is WriteOutcome.WRITTEN:
            self.dispatch(SizeWritten(replace(record, revision=written.revision)))
            return
        fields = {'group': record.group, 'size': record.size, 'outcome': written.outcome.value}
        self.log('size_write_failed', **fields)
        self.dispatch(SizeWritten(None))


@executes(ReadSizes)
def read_sizes(node: Node, effect: ReadSizes) -> None:
    """Read the sizes of all groups."""
    size_client = node.services[SizeClient]
    size_client.start(size_client.read(), SizesReadFailed())


@executes(WriteSize)
def write_size(node: Node, effect: WriteSize) -> None:
    """Write the size of a group."""
    size_client = node.services[SizeClient]
    size_client.start(size_client.write(effect.record), SizeWritten(None))
