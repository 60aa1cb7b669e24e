"""Background tasks that feed the VM list and configuration of the platform to the reducer."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from absl import logging

from cassiaseam.configuration.document import (
    SHARD_PREFIX,
    compress_document,
    decode_shard_document,
    decompress_document,
    format_shard_key,
    parse_shard_key,
    read_confirmation_stamp,
)
from cassiaseam.configuration.messages import ShardReceived, ShardRejected
from cassiaseam.daemon.node import Node
from cassiaseam.membership.messages import ListedVm, VmListReceived
from cassiaseam.objectstore.client import PlatformClient
from cassiaseam.objectstore.model import ObjectBatch, StoredObject, VmDocument
from cassiaseam.observability.logs import log_event
from cassiaseam.peers.messages import EncodedShard
from cassiaseam.peers.stamps import MessageStamps
from cassiaseam.store_revisions import get_era

# The list has about 120 bytes per VM. A period proportional to its length keeps the traffic of
# each daemon at about 530 bytes/s; with jitter, the average delay is three quarters of the period.
VM_LIST_PERIOD_PER_VM_S = 0.3
MIN_VM_LIST_PERIOD_S = 5.0
REGISTRATION_RECHECK_DELAY_S = 0.5
WATCH_TIMEOUT_S = 25.0
MAX_BACKOFF_S = 15.0
# Seconds after which a daemon writes a shard again that a restore of the store has replaced.
MAX_REWRITE_DELAY_S = 1.0


class StoreLoops:
    """Background reads of the platform for one daemon.

    Attributes:
        node: Node that receives the events.
        client: Client of the platform.
        own: Entry of this VM for the VM list.
        stamps: Clock that is advanced past the confirmation stamps of applied shards.
        listed: Most recently read VM list.
        tasks: Running tasks.
        watch: Task that watches the store, or None.
    """

    def __init__(
        self,
        node: Node,
        client: PlatformClient,
        own: VmDocument,
        stamps: MessageStamps | None = None,
    ):
        self.node = node
        self.client = client
        self.own = own
        self.stamps = stamps or MessageStamps()
        self.listed: tuple[VmDocument, ...] = ()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.watch: asyncio.Task[None] | None = None

    def start_task(self, work: Coroutine[Any, Any, Any]) -> 'asyncio.Task[Any]':
        """Run a coroutine as a task that `stop` cancels; its errors are logged."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.finish_task)
        return task

    def finish_task(self, task: 'asyncio.Task[Any]') -> None:
        """Remove a finished task and log its error."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logging.error('event=task_failed error=%r', task.exception())

    async def stop(self) -> None:
        """Cancel all tasks."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def add_jitter(self, max_delay_s: float) -> float:
        """Return a random delay of half to all of the maximum, to spread the calls of daemons."""
        return max_delay_s * (1 + self.node.state.rng.random()) / 2

    async def refresh_vm_list(self) -> None:
        """Read the VM list periodically and register this VM if its entry is missing or stale."""
        while True:
            max_delay_s = await self.refresh_vm_list_once()
            await asyncio.sleep(self.add_jitter(max_delay_s))

    async def refresh_vm_list_once(self) -> float:
        """Read the VM list once and return the maximum delay in seconds until the next read."""
        listed = await self.client.list_vms()
        if listed.is_err():
            return MIN_VM_LIST_PERIOD_S
        self.listed = listed.unwrap()
        self.node.dispatch(VmListReceived(tuple(map(convert_vm, self.listed))))
        # An entry of an earlier run may still list this VM as leaving.
        if self.own not in listed.unwrap():
            await self.client.register_vm(self.own)
            # VMs that start at the same time register only after the others' first read.
            return REGISTRATION_RECHECK_DELAY_S
        members = len(self.node.state.membership.members)
        return max(MIN_VM_LIST_PERIOD_S, members * VM_LIST_PERIOD_PER_VM_S)

    async def read_store(self) -> int:
        """Read all shards, retrying until the store answers, and return its revision."""
        pause_s = 0.5
        while True:
            found = await self.client.list_objects(SHARD_PREFIX)
            if found.is_ok():
                self.apply_batch(found.unwrap())
                self.rewrite_lost_shards(found.unwrap())
                return found.unwrap().revision
            await asyncio.sleep(self.add_jitter(pause_s))
            pause_s = min(MAX_BACKOFF_S, pause_s * 2)

    def set_watching(self, is_active: bool) -> None:
        """Start or stop the watch on the store."""
        if is_active and self.watch is None:
            self.watch = self.start_task(self.watch_store())
        elif not is_active and self.watch is not None:
            self.watch.cancel()
            self.watch = None

    async def watch_store(self) -> None:
        """Apply changes of all shards by long polling.

        All shards are read again after a failed poll and in a new era of the store, because a
        restore may have given the revisions below the watched one to other changes.
        """
        pause_s = 0.5
        while True:
            revision = await self.read_store()
            found = await self.client.watch_objects(SHARD_PREFIX, revision, WATCH_TIMEOUT_S)
            while found.is_ok() and get_era(found.unwrap().revision) == get_era(revision):
                pause_s = 0.5
                self.apply_batch(found.unwrap())
                revision = max(revision, found.unwrap().revision)
                found = await self.client.watch_objects(SHARD_PREFIX, revision, WATCH_TIMEOUT_S)
            if found.is_err():
                await asyncio.sleep(self.add_jitter(pause_s))
                pause_s = min(MAX_BACKOFF_S, pause_s * 2)

    def apply_batch(self, batch: ObjectBatch) -> None:
        """Apply the shards of a batch."""
        for stored in batch:
            self.apply_object(stored)

    def apply_object(self, stored: StoredObject) -> None:
        """Apply one shard read from the store."""
        number = parse_shard_key(stored.key)
        if number is not None and self.is_newer(number, stored.version):
            document = compress_document(stored.value)
            self.apply_document(
                EncodedShard(number, stored.version, document), stored.value, 'store'
            )

    def apply_peer_shard(self, vm: str, shard: EncodedShard) -> None:
        """Apply one shard received from a peer."""
        if not self.is_newer(shard.number, shard.version):
            return
        unpacked = decompress_document(shard.document)
        document = unpacked.unwrap() if unpacked.is_ok() else None
        self.apply_document(shard, document, vm)

    def is_newer(self, number: int, version: int) -> bool:
        """Return whether a shard is newer than the applied one; older ones need no decoding."""
        shards = self.node.state.configuration.shards
        return number < len(shards) and version > shards[number].version

    def apply_document(self, shard: EncodedShard, document: Any, source: str) -> None:
        """Validate a shard document and dispatch it to the reducer."""
        if self.is_superseded(shard, document):
            logging.warning('event=shard_superseded source=%s shard=%d', source, shard.number)
            self.start_task(
                self.rewrite_shard(shard.number, shard.version, get_era(shard.version))
            )
            return
        decoded = decode_shard_document(shard.number, shard.version, document)
        if decoded.is_err():
            reason = decoded.unwrap_err().message
            logging.error('event=shard_rejected source=%s reason=%r', source, reason)
            self.node.dispatch(ShardRejected(shard.number, shard.version, reason))
            return
        self.stamps.observe(read_confirmation_stamp(document))
        self.node.dispatch(
            ShardReceived(shard.number, shard.version, decoded.unwrap(), shard.document, source)
        )

    def is_superseded(self, shard: EncodedShard, document: Any) -> bool:
        """Return whether a restored store has a shard from before the one that is applied.

        Versions do not tell the order then; the stamps of the confirmations do.
        """
        applied = self.node.state.configuration.shards[shard.number]
        if not applied.version or get_era(applied.version) == get_era(shard.version):
            return False
        return self.read_applied_stamp(shard.number) > read_confirmation_stamp(document)

    def read_applied_stamp(self, number: int) -> tuple[int, int]:
        """Return the stamp of the confirmation of the applied shard."""
        applied = self.node.state.configuration.shards[number]
        unpacked = decompress_document(applied.document)
        return read_confirmation_stamp(unpacked.unwrap() if unpacked.is_ok() else None)

    def rewrite_lost_shards(self, batch: ObjectBatch) -> None:
        """Write the applied shards again that a restored store lacks."""
        listed = {stored.key for stored in batch}
        era = get_era(batch.revision)
        for number, shard in enumerate(self.node.state.configuration.shards):
            is_older = shard.version and get_era(shard.version) < era
            if is_older and format_shard_key(number) not in listed:
                self.start_task(self.rewrite_shard(number, 0, era))

    async def rewrite_shard(self, number: int, version: int, era: int) -> None:
        """Write the applied shard over the older one, or none, that a restored store has.

        The daemons that know the newer shard do so at random times; the first write counts.

        Args:
            number: Number of the shard.
            version: Version of the older shard, or 0.
            era: Era of the store that has it.
        """
        await asyncio.sleep(self.add_jitter(MAX_REWRITE_DELAY_S))
        applied = self.node.state.configuration.shards[number]
        if get_era(applied.version) >= era:
            return
        document = decompress_document(applied.document).unwrap()
        written = await self.client.write_object(format_shard_key(number), document, version)
        outcome = 'written' if written.is_ok() else written.unwrap_err().message
        log_event('shard_rewritten', shard=number, outcome=outcome)
        if written.is_ok():
            self.apply_document(
                EncodedShard(number, written.unwrap(), applied.document), document, 'store'
            )


def convert_vm(vm: VmDocument) -> ListedVm:
    """Convert an entry of the VM list to the form of the membership role."""
    return ListedVm(vm.name, vm.place, vm.host, vm.peer_port, vm.state == 'leaving')
