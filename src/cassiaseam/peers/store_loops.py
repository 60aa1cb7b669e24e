"""Loops that bring the platform's VM list and configuration into the reducer."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from absl import logging

from cassiaseam.configuration.document import (
    SHARD_PREFIX,
    compress_document,
    decode_shard_document,
    decompress_document,
    parse_shard_key,
    read_confirmation_stamp,
)
from cassiaseam.configuration.messages import ShardReceived, ShardRejected
from cassiaseam.daemon.node import Node
from cassiaseam.membership.messages import ListedVm, VmListReceived
from cassiaseam.objectstore.client import PlatformClient
from cassiaseam.objectstore.model import ObjectBatch, StoredObject, VmDocument
from cassiaseam.peers.messages import EncodedShard
from cassiaseam.peers.stamps import MessageStamps

# The list has about 120 bytes per VM; a period that grows with it keeps the traffic of each
# daemon at about 530 bytes/s, because the pauses are three quarters of the period on average.
VM_LIST_PERIOD_PER_VM_S = 0.3
MIN_VM_LIST_PERIOD_S = 5.0
REGISTERED_PAUSE_S = 0.5
WATCH_WAIT_S = 25.0
MAX_PAUSE_S = 15.0


class StoreLoops:
    """Reads of the platform on behalf of one daemon.

    Attributes:
        node: Daemon that gets the events.
        client: Client of the platform.
        own: Entry of this VM in the list.
        stamps: Clock that is advanced past the confirmations of applied shards.
        listed: Latest list of VMs.
        tasks: Tasks under way.
        watch: Task of the watch, or None.
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
        """Run a coroutine until it ends or the loops are stopped; errors are logged."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.finish_task)
        return task

    def finish_task(self, task: 'asyncio.Task[Any]') -> None:
        """Forget a task."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logging.error('event=task_failed error=%r', task.exception())

    async def stop(self) -> None:
        """Cancel all tasks."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def draw_pause(self, longest_s: float) -> float:
        """Return a random pause, so that daemons do not call at the same time."""
        return longest_s * (1 + self.node.state.rng.random()) / 2

    async def refresh_vm_list(self) -> None:
        """Read the VM list again and again, and enter this VM when its entry is not right."""
        while True:
            longest_s = await self.refresh_vm_list_once()
            await asyncio.sleep(self.draw_pause(longest_s))

    async def refresh_vm_list_once(self) -> float:
        """Read the VM list and return after how many seconds it is due again, at most."""
        listed = await self.client.list_vms()
        if listed.is_err():
            return MIN_VM_LIST_PERIOD_S
        self.listed = listed.unwrap()
        self.node.dispatch(VmListReceived(tuple(map(convert_vm, self.listed))))
        # An entry of an earlier run may still say that this VM leaves.
        if self.own not in listed.unwrap():
            await self.client.register_vm(self.own)
            # VMs that start at the same time enter the list after each other's first reading.
            return REGISTERED_PAUSE_S
        members = len(self.node.state.membership.members)
        return max(MIN_VM_LIST_PERIOD_S, members * VM_LIST_PERIOD_PER_VM_S)

    async def read_store(self) -> int:
        """Read every shard, trying until the store answers; return its revision."""
        pause_s = 0.5
        while True:
            found = await self.client.list_objects(SHARD_PREFIX)
            if found.is_ok():
                self.apply_batch(found.unwrap())
                return found.unwrap().revision
            await asyncio.sleep(self.draw_pause(pause_s))
            pause_s = min(MAX_PAUSE_S, pause_s * 2)

    def set_watching(self, is_active: bool) -> None:
        """Start or stop the watch."""
        if is_active and self.watch is None:
            self.watch = self.start_task(self.watch_store())
        elif not is_active and self.watch is not None:
            self.watch.cancel()
            self.watch = None

    async def watch_store(self) -> None:
        """Follow the changes of all shards with one call at a time."""
        revision = await self.read_store()
        pause_s = 0.5
        while True:
            found = await self.client.watch_objects(SHARD_PREFIX, revision, WATCH_WAIT_S)
            if found.is_ok():
                pause_s = 0.5
                self.apply_batch(found.unwrap())
                revision = max(revision, found.unwrap().revision)
            else:
                await asyncio.sleep(self.draw_pause(pause_s))
                pause_s = min(MAX_PAUSE_S, pause_s * 2)

    def apply_batch(self, batch: ObjectBatch) -> None:
        """Give the shards of a batch to the reducer."""
        for stored in batch:
            self.apply_object(stored)

    def apply_object(self, stored: StoredObject) -> None:
        """Give one shard of the store to the reducer."""
        number = parse_shard_key(stored.key)
        if number is not None and self.is_newer(number, stored.version):
            document = compress_document(stored.value)
            self.apply_document(
                EncodedShard(number, stored.version, document), stored.value, 'store'
            )

    def apply_peer_shard(self, vm: str, shard: EncodedShard) -> None:
        """Give a shard of a peer to the reducer."""
        if not self.is_newer(shard.number, shard.version):
            return
        unpacked = decompress_document(shard.document)
        document = unpacked.unwrap() if unpacked.is_ok() else None
        self.apply_document(shard, document, vm)

    def is_newer(self, number: int, version: int) -> bool:
        """Return whether a shard would be applied, which saves decoding it."""
        shards = self.node.state.configuration.shards
        return number < len(shards) and version > shards[number].version

    def apply_document(self, shard: EncodedShard, document: Any, source: str) -> None:
        """Validate a document and give it to the reducer."""
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


def convert_vm(vm: VmDocument) -> ListedVm:
    """Return an entry of the VM list as the membership role uses it."""
    return ListedVm(vm.name, vm.place, vm.host, vm.peer_port, vm.state == 'leaving')
