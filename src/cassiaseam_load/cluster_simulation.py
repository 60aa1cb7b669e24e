"""Discrete-event simulation of many daemons in one process, with simulated clock and network."""

import heapq
import itertools
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from cassiaseam.configuration import handlers
from cassiaseam.configuration.messages import (
    SendShards,
    SendVersions,
    ShardReceived,
    VersionsReceived,
)
from cassiaseam.configuration.model import DatabaseConfigured, DatabaseRemoved
from cassiaseam.configuration.state import create_configuration
from cassiaseam.membership.messages import (
    Address,
    Datagram,
    HeartbeatReceived,
    MemberRecord,
    MembershipTick,
    MemberStatus,
    SendDatagram,
)
from cassiaseam.membership.records import update_eligibility
from cassiaseam.membership.state import MembershipSettings, create_membership
from cassiaseam.peers.datagrams import decode_datagram, encode_datagram
from cassiaseam.reducer.node_state import NodeState
from cassiaseam.reducer.registry import reduce_event

ROLES = handlers.HANDLER_MODULES
TICK_S = 0.2
UDP_HEADER_BYTES = 28
_PORT = 7000


@dataclass(slots=True)
class SimulatedNetwork:
    """Latency, loss and partitions of the simulated network.

    Attributes:
        latency_s: One-way delay of a message in seconds.
        jitter_s: Maximum additional random delay in seconds; it also reorders messages.
        loss: Share of datagrams that are lost.
        duplicates: Share of datagrams that are delivered twice.
        is_cut: Returns whether messages from a sender to a receiver are lost.
    """

    latency_s: float = 0.002
    jitter_s: float = 0.001
    loss: float = 0
    duplicates: float = 0
    is_cut: Callable[[str, str], bool] = lambda sender, receiver: False


@dataclass(slots=True)
class SimulatedNode:
    """Simulated daemon.

    Attributes:
        state: State of the daemon.
        run: Number of restarts; events scheduled for earlier runs are dropped.
        is_running: Whether the daemon handles events.
    """

    state: NodeState
    run: int = 0
    is_running: bool = True


@dataclass(slots=True)
class Traffic:
    """Datagram and CPU time counters of all daemons.

    Attributes:
        is_counted: Whether datagrams are encoded and counted.
        datagrams: Number of datagrams sent.
        sent_bytes: Bytes of datagrams sent, including UDP and IP headers.
        largest_bytes: Size of the largest datagram in bytes, without headers.
        cpu_s: CPU time of the reducer and the codec in seconds.
    """

    is_counted: bool = False
    datagrams: int = 0
    sent_bytes: int = 0
    largest_bytes: int = 0
    cpu_s: float = 0


@dataclass(slots=True)
class ClusterSimulation:
    """Daemons that exchange messages in simulated time.

    Attributes:
        rng: Random number generator of the network.
        network: Latency, loss and partitions of the network.
        now: Simulated time in seconds.
        nodes: Daemons by VM.
        by_address: VM by address.
        traffic: Counters of datagrams and CPU time.
        on_effect: Called with `(vm, effect)` for effects that the simulation does not handle.
    """

    rng: random.Random
    network: SimulatedNetwork = field(default_factory=SimulatedNetwork)
    now: float = 0
    nodes: dict[str, SimulatedNode] = field(default_factory=dict)
    by_address: dict[Address, str] = field(default_factory=dict)
    traffic: Traffic = field(default_factory=Traffic)
    on_effect: Callable[[str, Any], None] = lambda vm, effect: None
    queue: list[tuple[float, int, str, int, Any]] = field(default_factory=list)
    order: Any = field(default_factory=itertools.count)

    def start_node(self, record: MemberRecord, settings: MembershipSettings | None = None) -> None:
        """Start a daemon that knows no other member, or restart it with empty state."""
        state = NodeState(record.vm, record.place, random.Random(self.rng.random()))
        state.membership = create_membership(record, self.now, settings)
        state.configuration = create_configuration()
        before = self.nodes.get(record.vm)
        run = before.run + 1 if before else 0
        self.nodes[record.vm] = SimulatedNode(state, run)
        self.by_address[record.address] = record.vm
        self.schedule(self.rng.random() * TICK_S, record.vm, MembershipTick())

    def stop_node(self, vm: str) -> None:
        """Stop a daemon abruptly; it handles no further events."""
        self.nodes[vm].is_running = False

    def list_running(self) -> list[SimulatedNode]:
        """Return the running daemons."""
        return [node for node in self.nodes.values() if node.is_running]

    def schedule(self, delay_s: float, vm: str, event: Any) -> None:
        """Schedule an event of a daemon after a delay."""
        entry = (self.now + delay_s, next(self.order), vm, self.nodes[vm].run, event)
        heapq.heappush(self.queue, entry)

    def run_until(self, end: float) -> None:
        """Handle all events up to `end`, in simulated seconds."""
        while self.queue and self.queue[0][0] <= end:
            self.now, _, vm, run, event = heapq.heappop(self.queue)
            node = self.nodes[vm]
            if node.is_running and node.run == run:
                if isinstance(event, MembershipTick):
                    self.schedule(TICK_S, vm, event)
                self.dispatch(vm, event)
        self.now = max(self.now, end)

    def dispatch(self, vm: str, event: Any) -> None:
        """Reduce an event at a daemon and carry out its effects."""
        started_at = time.process_time()
        if isinstance(event, bytes):
            event = HeartbeatReceived(decode_datagram(event), self.find_address(vm))
        effects = reduce_event(self.nodes[vm].state, event, self.now)
        self.traffic.cpu_s += time.process_time() - started_at
        for effect in effects:
            self.carry_out(vm, effect)

    def find_address(self, vm: str) -> Address:
        """Return the peer address of a VM."""
        membership = self.nodes[vm].state.membership
        return membership.own.address

    def carry_out(self, vm: str, effect: Any) -> None:
        """Carry out an effect of a daemon."""
        if isinstance(effect, SendDatagram):
            self.send_datagram(vm, effect.address, effect.datagram)
        elif isinstance(effect, SendVersions):
            self.send_message(
                vm, effect.vm, (VersionsReceived(vm, effect.versions, effect.wanted),)
            )
        elif isinstance(effect, SendShards):
            received = (
                ShardReceived(shard.number, shard.version, (), shard.document, vm)
                for shard in effect.shards
            )
            self.send_message(vm, effect.vm, received)
        elif isinstance(effect, DatabaseConfigured | DatabaseRemoved):
            self.dispatch(vm, effect)
        else:
            self.on_effect(vm, effect)

    def send_datagram(self, sender: str, address: Address, datagram: Datagram) -> None:
        """Send a datagram over the network, which may delay, duplicate or lose it."""
        if self.traffic.is_counted:
            self.count_datagram(datagram)
        receiver = self.by_address.get(address)
        if receiver is None or self.network.is_cut(sender, receiver):
            return
        if self.rng.random() < self.network.loss:
            return
        event = HeartbeatReceived(datagram, self.find_address(sender))
        self.schedule(self.draw_delay(), receiver, event)
        if self.rng.random() < self.network.duplicates:
            self.schedule(self.draw_delay() * 3, receiver, event)

    def count_datagram(self, datagram: Datagram) -> None:
        """Count a datagram and the CPU time to encode and decode it."""
        started_at = time.process_time()
        encoded = encode_datagram(datagram)
        decode_datagram(encoded)
        self.traffic.cpu_s += time.process_time() - started_at
        self.traffic.datagrams += 1
        self.traffic.sent_bytes += len(encoded) + UDP_HEADER_BYTES
        self.traffic.largest_bytes = max(self.traffic.largest_bytes, len(encoded))

    def send_message(self, sender: str, receiver: str, events: Iterable[Any]) -> None:
        """Deliver messages in order, as over TCP, or drop them if either direction is cut."""
        node = self.nodes.get(receiver)
        if node is None or not node.is_running or self.network.is_cut(sender, receiver):
            return
        if self.network.is_cut(receiver, sender):
            return
        delay_s = self.draw_delay()
        for event in events:
            self.schedule(delay_s, receiver, event)

    def draw_delay(self) -> float:
        """Return a random delay of one message in seconds."""
        return self.network.latency_s + self.rng.random() * self.network.jitter_s


def make_record(number: int, place: str, incarnation: int = 1) -> MemberRecord:
    """Return a member record with an address derived from `number`."""
    host = f'10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}'
    alive = MemberStatus.ALIVE
    return MemberRecord(f'vm-{number:04d}', incarnation, alive, place, host, _PORT)


def fill_members(simulation: ClusterSimulation) -> None:
    """Make every daemon know all others, as in a converged cluster."""
    records = [node.state.membership.own for node in simulation.nodes.values()]
    for node in simulation.nodes.values():
        membership = node.state.membership
        membership.has_joined = True
        membership.is_ready = True
        membership.members.update((record.vm, record) for record in records)
        for record in records:
            update_eligibility(membership, record.vm)
