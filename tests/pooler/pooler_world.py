"""Virtual deployment: reducers of several VMs with in-memory targets, in virtual time.

Messages between VMs and targets take `LATENCY_S` and are lost during a partition between them. The
targets replicate asynchronously and are promoted only by a call of a VM.
"""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass

from fake_target import APPLY_DELAY_S, GROUP, FakeTarget
from virtual_calls import LATENCY_S
from virtual_platform import VirtualPlatform
from virtual_vm import TICK_S, VirtualVm

from cassiaseam.errors import ErrorKind
from cassiaseam.pooler import (
    connections,
    discovery,
    failover,
    group_size_sync,
    operations,
    peers,
    sample_sharing,
    sessions,
    store_era,
    targets,
    ticks,
)
from cassiaseam.pooler.commands import (
    Statement,
)
from cassiaseam.pooler.duty import LEASE_TAKEOVER_S
from cassiaseam.pooler.events import (
    AnswerCaller,
    CallerConnected,
    CallerDisconnected,
    ConfigurationRead,
    PeerRecord,
    PeersListed,
    StatementArrived,
    StoreReachability,
    TargetChanged,
    TargetsListed,
)
from cassiaseam.pooler.group_sizes import SizeRecord, SizesRead
from cassiaseam.pooler.model import (
    Consistency,
    GroupLimits,
    Route,
    RoutingConfig,
)
from cassiaseam.pooler.target_use.causes import PollCause

HANDLER_MODULES = (
    discovery,
    failover,
    operations,
    peers,
    group_size_sync,
    sessions,
    sample_sharing,
    store_era,
    targets,
    ticks,
)
REPLICATION_DELAY_S = 0.006
STATEMENT_TIMEOUT_S = 1.0
MAX_AGE_S = 1.5
ROUTES = {
    'orders': Consistency.PRIMARY,
    'prices': Consistency.BOUNDED_AGE,
    'stock': Consistency.READ_YOUR_WRITES,
}


def build_config(version=1, max_connections=100, names=tuple(ROUTES)):
    """Return a configuration with one route per consistency level."""
    routes = {
        name: Route(name, name, GROUP, ROUTES[name], STATEMENT_TIMEOUT_S, 0.5, MAX_AGE_S)
        for name in names
    }
    return RoutingConfig(version, routes, {GROUP: GroupLimits(max_connections)})


@dataclass
class Call:
    """A statement of a caller and its answer."""

    vm: str
    session: int
    statement: Statement
    sent_at: float
    begun_at: float
    answer: AnswerCaller | None = None
    answered_at: float = 0


class World:
    """Targets, VMs and the platform in virtual time."""

    def __init__(
        self,
        vms=2,
        target_count=3,
        seed=0,
        max_connections=100,
        shared=False,
        listed=None,
        sizes=None,
    ):
        """Build a deployment.

        Args:
            vms: Number of VMs.
            target_count: Number of targets.
            seed: Seed of the random number generators.
            max_connections: Connection limit of each target.
            shared: Whether all VMs are in one place and know their peers.
            listed: Names of the targets that each VM lists at its start; all by default.
            sizes: Recorded sizes of groups; the number of targets by default.
        """
        self.seed = seed
        self.rng = random.Random(seed)
        self.now = 0
        self.heap = []
        self.order = itertools.count()
        self.platform = VirtualPlatform(self)
        self.sizes = {}
        for name, size in ({GROUP: target_count} if sizes is None else sizes).items():
            revision = self.platform.take_revision()
            self.sizes[name] = SizeRecord(name, size, revision, self.platform.era)
        self.size_calls = []
        self.cuts = set()
        self.lossy = {}
        self.record_delays = {}
        self.committed = Counter()
        self.late_commits = set()
        self.runs = []
        self.account_runs = []
        self.log_lines = []
        self.promotion_steps = []
        self.broken_fences = []
        self.closed = []
        self.refused = []
        self.refusals = []
        self.promotion_calls = []
        self.opened_connections = 0
        self.refused_connections = 0
        self.calls = {}
        self.history = []
        self.targets = {
            f't{index}': FakeTarget(self, f't{index}', f'p{index}', index == 0)
            for index in range(target_count)
        }
        self.datagrams_to_drop = 0
        places = 1 if shared else vms
        self.vms = {
            f'vm{index}': VirtualVm(self, f'vm{index}', f'p{index % places}')
            for index in range(vms)
        }
        for target in self.targets.values():
            target.max_connections = max_connections
        # The VMs have followed the store for long enough to take over a lease.
        self.now = -2 * LEASE_TAKEOVER_S
        for vm in self.vms.values():
            vm.follow_store()
        self.now = 0
        for vm in self.vms.values():
            names = (listed or {}).get(vm.name, self.targets)
            self.start_vm(vm, build_config(max_connections=max_connections), names)
        if shared:
            self.list_peers()

    def start_vm(self, vm, config, names):
        """Send a VM what it reads from the store at its start, and start its ticks."""
        vm.dispatch(StoreReachability(True))
        vm.dispatch(SizesRead(tuple(self.sizes.values())))
        vm.dispatch(ConfigurationRead(config))
        vm.dispatch(TargetsListed(tuple(self.targets[name].get_record() for name in names)))
        self.after(TICK_S * self.rng.random(), vm.tick)

    def complete_handshake(self, target, report):
        """Report that a connection to a target is ready, once it is."""
        self.after(2 * LATENCY_S, report)

    def list_peers(self):
        """Send the list of all VMs to each VM."""
        records = tuple(
            PeerRecord(vm.name, vm.state.place, vm.name, 0) for vm in self.vms.values()
        )
        for vm in self.vms.values():
            vm.dispatch(PeersListed(records))

    def send_datagram(self, sender, receiver, event):
        """Deliver a datagram unless it is dropped."""
        if self.datagrams_to_drop > 0:
            self.datagrams_to_drop -= 1
        elif (sender, receiver) not in self.cuts:
            self.after(LATENCY_S / 10, lambda: self.vms[receiver].dispatch(event))

    def at(self, time, action):
        heapq.heappush(self.heap, (time, next(self.order), action))

    def after(self, delay, action):
        self.at(self.now + delay, action)

    def run_until(self, end):
        """Run all scheduled actions up to a time."""
        while self.heap and self.heap[0][0] <= end:
            self.now, _, action = heapq.heappop(self.heap)
            action()
        self.now = end

    def count_connections(self, target):
        """Return the number of connections of all VMs to a target."""
        links = (link for vm in self.vms.values() for link in vm.links.values())
        return sum(link[0] is target for link in links)

    def is_lossy(self, vm, target):
        return self.lossy.get((vm, target), 0) > self.now

    def replicate(self):
        """Send the log of every primary to the other targets."""
        for primary in self.targets.values():
            if primary.is_primary and not primary.down:
                self.send_log(primary)

    def send_log(self, primary):
        count = len(primary.log)
        for target in self.targets.values():
            if target is not primary and not primary.mute and not target.mute:
                self.after(REPLICATION_DELAY_S, lambda it=target: it.receive(primary, count))

    def announce(self, target):
        """Send the changed record of a target to all VMs."""
        record = target.get_record()
        for vm in self.vms.values():
            if not vm.store_cut:
                late_s = self.record_delays.get(vm.name, 0) + LATENCY_S
                self.after(late_s, lambda it=vm: it.dispatch(TargetChanged(record)))

    def record_step(self, kind, who, text):
        """Record a step of a promotion for the trace of a failed check."""
        self.promotion_steps.append(f'{self.now:.3f} {who} {kind}: {text}')

    def record_fence_lift(self, vm, target):
        """Record a fence that is lifted while a promotion of another VM relies on it."""
        self.record_step('lifts fence', vm.name, f'{target.name}, term {target.fenced}')
        if not target.fenced:
            return
        for other in self.vms.values():
            if other is not vm and other.relies_on_fence(target):
                text = f'{vm.name} lifted the fence of {target.name}, {other.name} counts on it'
                self.broken_fences.append(f'{self.now:.3f} {text}')

    def describe_promotions(self):
        """Return the steps of all promotions, one per line."""
        return '\n'.join(['', *self.promotion_steps])

    # faults

    def crash(self, name, down_s):
        target = self.targets[name]
        if target.down:
            return
        target.down = True
        for vm in self.vms.values():
            for number, link in list(vm.links.items()):
                if link[0] is target:
                    self.after(LATENCY_S, lambda it=vm, lost=number: it.lose(lost))
        self.after(down_s, lambda: self.restart(target))

    def restart(self, target):
        target.down = False
        target.incarnation += 1
        target.fenced = 0
        newest = max(other.term for other in self.targets.values())
        if target.is_primary and newest > target.term:
            target.is_primary = False
            target.applied = 0
        self.announce(target)
        self.replicate()

    def wipe(self, name, blank_s, known_after_s):
        """Restart a replica without its log, and send it the log of the shortest other one.

        Args:
            name: Name of the target.
            blank_s: Seconds after which it has the log.
            known_after_s: Seconds after which each VM gets its changed record.
        """
        target = self.targets[name]
        if target.down or target.is_primary:
            return
        target.incarnation += 1
        target.term = target.fenced = target.applied = 0
        target.log, target.blank = [], True
        others = [it for it in self.targets.values() if it is not target]

        def transfer():
            source = min(others, key=lambda it: it.last)
            target.log, target.term, target.blank = list(source.log), source.term, False
            target.applied = len(target.log)
            self.replicate()

        self.after(blank_s, transfer)
        self.after(known_after_s, lambda: self.announce(target))

    def apply_late(self, name, delay_s, for_s):
        """Let a target apply what it receives later."""
        target = self.targets[name]
        target.apply_delay_s = delay_s

        def heal():
            target.apply_delay_s = APPLY_DELAY_S

        self.after(for_s, heal)

    def delay_records(self, name, late_s, for_s):
        """Let a VM learn of changed target records later."""
        self.record_delays[name] = late_s
        self.after(for_s, lambda: self.record_delays.pop(name, None))

    def mute(self, name, for_s):
        target = self.targets[name]
        target.mute = True

        def unmute():
            target.mute = False
            self.replicate()

        self.after(for_s, unmute)

    def cut(self, left, right, for_s):
        pairs = {(left, right), (right, left)}
        self.cuts |= pairs

        def heal():
            self.cuts.difference_update(pairs)
            self.replicate()

        self.after(for_s, heal)

    def split(self, vm, target, for_s):
        """Leave a VM and a target on one side, without the store, and the others on the other."""
        names = {*self.vms, *self.targets} - {vm, target}
        for other in names:
            self.cut(vm, other, for_s)
            self.cut(target, other, for_s)
        self.cut_store(vm, for_s)

    def hide_handover(self, vm, name, for_s):
        """Let a target leave unseen by a VM, and apply late, while the others are apart."""
        self.cut_store(vm, for_s)
        self.apply_late(name, for_s, for_s)
        self.cut(*sorted(set(self.targets) - {name})[:2], for_s)
        self.targets[name].leaving = True
        self.announce(self.targets[name])

    def freeze(self, name, for_s):
        self.vms[name].frozen_until = max(self.vms[name].frozen_until, self.now + for_s)

    def freeze_holder(self, name, moment, for_s):
        """Freeze a VM at the next occurrence of a step; see `VirtualVm.freezes`."""
        self.vms[name].freezes[moment] = for_s

    def hold_promotions(self, name, part, for_s):
        """Delay the promotion calls of a VM until the fault ends.

        The part 'connection' delays their connections, 'delivery' the arrival of written calls.
        """
        self.vms[name].promotion_holds[part] = self.now + for_s

    def slow_duty_reads(self, name, delay_s, for_s):
        """Delay the responses to reads of the lease record until the fault ends."""
        self.vms[name].read_delay_s = delay_s

        def heal():
            self.vms[name].read_delay_s = 0

        self.after(for_s, heal)

    def cut_store(self, name, for_s):
        vm = self.vms[name]
        vm.store_cut = True
        vm.dispatch(StoreReachability(False))

        def heal():
            vm.store_cut = False
            vm.follow_store()
            vm.dispatch(StoreReachability(True))
            for target in self.targets.values():
                vm.dispatch(TargetChanged(target.get_record()))

        self.after(for_s, heal)

    def restore_store(self, age_s, away_s):
        """Take the store away and bring it back from a copy that is `age_s` seconds old."""
        self.after(away_s, lambda: self.platform.restore(away_s + age_s))
        for name, vm in self.vms.items():
            if not vm.store_cut:
                self.cut_store(name, away_s)

    # callers

    def connect(self, vm, session, database):
        self.vms[vm].dispatch(CallerConnected(session, database, b'key'))

    def disconnect(self, vm, session):
        self.vms[vm].dispatch(CallerDisconnected(session))

    def send(self, vm, session, kind, text='', begun_at=None, **fields):
        """Send a statement and return the call."""
        number = f'r{len(self.history)}'
        statement = Statement(number, kind, text or kind.value, **fields)
        begun_at = self.now if begun_at is None else begun_at
        call = Call(vm, session, statement, self.now, begun_at)
        self.calls[(vm, session)] = call
        self.history.append(call)
        self.vms[vm].dispatch(StatementArrived(session, statement))
        return call

    def record_answer(self, vm, effect):
        call = self.calls.get((vm.name, effect.session_id))
        assert call is not None and call.answer is None, f'answer to nothing: {effect}'
        call.answer = effect
        call.answered_at = self.now

    def find_primary(self):
        leading = [it for it in self.targets.values() if it.is_primary and not it.down]
        return max(leading, key=lambda it: it.term, default=None)


def poll_targets(vm):
    """Let a VM poll all targets of the group."""
    for name in vm.state.groups[GROUP].targets:
        group = vm.state.groups[GROUP]
        cause = PollCause.OWN_SAMPLE
        poll = connections.submit_status_poll(vm.state, group, name, cause, vm.world.now)
        vm.execute(poll)


def is_success(call):
    """Return whether a call was answered with the signature of a target."""
    return call.answer is not None and call.answer.error is None and call.answer.signature != ''


def get_error(call):
    """Return the error kind of a call, or None."""
    if call.answer is None or call.answer.error is None:
        return None
    return call.answer.error.kind


# Errors after which a write may or may not have been committed.
INDETERMINATE_ERRORS = frozenset((ErrorKind.OUTCOME_UNKNOWN, ErrorKind.STATEMENT_TIMEOUT))
