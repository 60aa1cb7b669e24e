"""Lists and writes the records of the shares in the store."""

from result import Err

from cassiaseam.daemon.node import Node, executes
from cassiaseam.pooler.events import WriteOutcome
from cassiaseam.pooler.quotas.arithmetic import SHARES
from cassiaseam.pooler.quotas.events import (
    ListShares,
    SharesListed,
    SharesListFailed,
    ShareWritten,
    WriteShare,
)
from cassiaseam.pooler.size_client import RecordClient
from cassiaseam.pooler.store_watcher import report_nameless_entries

NAME_PREFIX = 'share-'
SHARE_INDEXES = {f'{NAME_PREFIX}{index}': index for index in range(SHARES)}


class ShareClient(RecordClient):
    """Client for the records of the shares."""

    failure_event = 'quota_call_failed'

    async def list_shares(self, allow_stale: bool) -> None:
        """List the records; a stale copy may be seconds old and costs a tenth of the price."""
        kind = self.environment.kinds.shares
        listing = await self.environment.store.list_objects(kind, allow_stale=allow_stale)
        if isinstance(listing, Err):
            self.log('quota_shares_list_failed', cause=listing.err_value.reason)
            self.dispatch(SharesListFailed())
            return
        report_nameless_entries(self.refusals, kind, listing.ok_value)
        changes = listing.ok_value.changes
        self.refusals.retain('quota_share_refused', {change.name for change in changes})
        records = {}
        for change in changes:
            index = read_share_index(change.name)
            if index is None:
                continue
            decoded = self.environment.decode_share(change.spec)
            if isinstance(decoded, Err):
                # Keep the revision, so that a valid record can replace this one.
                self.refusals.report(
                    'quota_share_refused', change.name, decoded.err_value, share=index
                )
                records[index] = (change.revision, None)
            else:
                self.refusals.forget('quota_share_refused', change.name)
                records[index] = (change.revision, decoded.ok_value)
        self.dispatch(SharesListed(records, allow_stale))

    async def write_share(self, effect: WriteShare) -> None:
        """Write a record if it still has the expected revision."""
        written = await self.environment.store.write_share(
            f'{NAME_PREFIX}{effect.index}', effect.record, effect.revision
        )
        if written.outcome is not WriteOutcome.WRITTEN:
            fields = {'share': effect.index, 'outcome': written.outcome.value}
            self.log('quota_share_not_written', **fields)
        self.dispatch(
            ShareWritten(
                effect.index, effect.record, effect.sent_at, written.outcome, written.revision
            )
        )


def read_share_index(name: str) -> int | None:
    """Return the number of the share in the name of an object, or None.

    Another spelling of the number, such as `share-03`, names no share: its record would stand in
    for that of `share-3`.
    """
    return SHARE_INDEXES.get(name)


@executes(ListShares)
def list_shares(node: Node, effect: ListShares) -> None:
    """List the records of the shares."""
    client = node.services[ShareClient]
    client.start(client.list_shares(effect.allow_stale), SharesListFailed())


@executes(WriteShare)
def write_share(node: Node, effect: WriteShare) -> None:
    """Write the record of a share."""
    client = node.services[ShareClient]
    failed = ShareWritten(effect.index, effect.record, effect.sent_at, WriteOutcome.UNKNOWN)
    client.start(client.write_share(effect), failed)
