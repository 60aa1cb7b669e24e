"""Virtual deployment whose targets have slots and a queue, under an open load."""

import math
import random
from collections import Counter, deque
from dataclasses import replace

from pooler_world import World, is_success
from virtual_calls import LATENCY_S
from virtual_vm import VirtualVm

from cassiaseam.pooler.admission.mode import Admission
from cassiaseam.pooler.commands import (
    Forward,
    ReadStatus,
    StatementKind,
    TargetFailure,
    TargetReply,
)
from cassiaseam.pooler.events import CommandAnswered, ConfigurationRead

QUEUE_LIMIT = 32


class LoadedTarget:
    """Slots and queue in front of a fake target.

    Attributes:
        service_s: Time in seconds that a statement occupies a slot.
        failing: Share of the statements that fail.
        answers: Number of answers per failure or None.
        used_s: Time in seconds for which slots were occupied by statements.
        handshake_s: Time in seconds that opening a connection occupies a slot, or 0.
        poll_s: Time in seconds that a status poll occupies a slot, or 0.
        handshakes: Number of connections that were opened, if they occupy slots.
        polls: Number of status polls per failure or None, if they occupy slots.
    """

    def __init__(
        self, world, target, slots, service_s, queue_limit=QUEUE_LIMIT, handshake_s=0, poll_s=0
    ):
        self.world, self.target, self.slots = world, target, slots
        self.service_s = service_s
        self.queue_limit = queue_limit
        self.handshake_s, self.poll_s = handshake_s, poll_s
        self.handshakes = 0
        self.polls = Counter()
        self.waiting_handshakes = 0
        self.failing = 0
        self.running = 0
        self.queue = deque()
        self.answers = Counter()
        self.used_s = 0
        self.peak = 0

    def accept(self, statement, send):
        """Run a statement in a slot, or answer BUSY."""

        def finish():
            if self.world.rng.random() < self.failing:
                self.reply(TargetReply(failure=TargetFailure.FAILED), send)
            else:
                self.reply(self.target.run(*statement), send)

        def start():
            service_s = self.service_s * (0.5 + self.world.rng.random())
            self.used_s += service_s
            self.occupy(service_s, finish)

        if not self.enqueue(start):
            self.reply(TargetReply(failure=TargetFailure.BUSY), send)

    def accept_poll(self, poll, send):
        """Answer a status poll from a slot, or BUSY."""

        def finish():
            self.polls[None] += 1
            send(self.target.run(*poll))

        if not self.enqueue(lambda: self.occupy(self.poll_s, finish)):
            self.polls[TargetFailure.BUSY] += 1
            send(TargetReply(failure=TargetFailure.BUSY))

    def accept_connection(self, report):
        """Open a connection in a slot; while it waits, it takes no place in the queue."""

        def start():
            self.waiting_handshakes -= 1
            self.handshakes += 1
            self.occupy(self.handshake_s, report)

        self.waiting_handshakes += 1
        self.queue.append(start)
        self.start_waiting()

    def enqueue(self, start):
        """Start work in a free slot or queue it, and return whether there was room."""
        waiting = len(self.queue) - self.waiting_handshakes
        if self.running >= self.slots and waiting >= self.queue_limit:
            return False
        self.queue.append(start)
        self.start_waiting()
        self.peak = max(self.peak, len(self.queue) - self.waiting_handshakes)
        return True

    def start_waiting(self):
        """Start queued work in the free slots."""
        while self.queue and self.running < self.slots:
            self.queue.popleft()()

    def occupy(self, seconds, finish):
        """Occupy a slot for a time."""
        self.running += 1

        def leave():
            self.running -= 1
            finish()
            self.start_waiting()

        self.world.after(seconds, leave)

    def reply(self, reply, send):
        self.answers[reply.failure] += 1
        send(reply)


class LoadedWorld(World):
    """World with targets that take time."""

    def __init__(
        self,
        admission=Admission.ADAPTIVE,
        slots=4,
        service_s=0.015,
        routes=None,
        queue_limit=QUEUE_LIMIT,
        handshake_s=0,
        poll_s=0,
        reports_running=False,
        **args,
    ):
        """Build a deployment.

        Args:
            admission: Mode of admission of all VMs.
            slots: Statements that each target runs at a time.
            service_s: Mean time in seconds that a statement occupies a slot.
            routes: Routes by name; those of `World` by default.
            queue_limit: Statements that each target queues.
            handshake_s: Time in seconds that opening a connection occupies a slot, or 0.
            poll_s: Time in seconds that a status poll occupies a slot, or 0 if targets answer
                polls regardless of their load.
            reports_running: Whether targets report how many statements run on them, or none.
            **args: Further arguments of `World`.
        """
        super().__init__(**args)
        self.admission, self.slots, self.routes = admission, slots, routes
        self.servers = {
            name: LoadedTarget(self, target, slots, service_s, queue_limit, handshake_s, poll_s)
            for name, target in self.targets.items()
        }
        for server in self.servers.values() if reports_running else ():
            server.target.count_running = lambda server=server: server.running
        self.lingering = []
        for vm in self.vms.values():
            vm.state.admission = admission
            self.prepare_vm(vm)
        self.next_session = 1
        self.idle = {}

    def prepare_vm(self, vm):
        """Put the slots in front of the targets of a VM that has started."""
        vm.deliver = lambda effect, command: self.deliver(vm, effect, command)
        if self.routes:
            config = replace(vm.state.config, version=2, routes=self.routes)
            vm.dispatch(ConfigurationRead(config))
        for target in vm.state.groups['g'].targets.values():
            target.record = replace(target.record, slots=self.slots)

    def complete_handshake(self, target, report):
        server = self.servers[target.name]
        if not server.handshake_s:
            super().complete_handshake(target, report)
            return

        def send():
            self.after(LATENCY_S, report)

        self.after(LATENCY_S, lambda: server.accept_connection(send))

    def count_connections(self, target):
        lingering = sum(it is target and self.now < until for it, until in self.lingering)
        return super().count_connections(target) + lingering

    def lose_power(self, down_s, linger_s):
        """Take all VMs down at once; targets keep their connections for `linger_s` seconds."""
        for vm in self.vms.values():
            vm.frozen_until = math.inf
            until = self.now + linger_s
            self.lingering += [(link[0], until) for link in vm.links.values()]
            vm.links = {}
        self.idle = {}
        self.after(down_s, self.return_power)

    def return_power(self):
        """Start all VMs again, with empty states."""
        for name, former in list(self.vms.items()):
            vm = VirtualVm(self, name, former.state.place)
            self.vms[name] = vm
            vm.state.admission = self.admission
            vm.state.started_at = self.now
            vm.last_tick = self.now
            vm.follow_store()
            self.start_vm(vm, former.state.config, self.targets)
            self.prepare_vm(vm)
        self.list_peers()

    def deliver(self, vm, effect, command):
        link = vm.links.get(effect.connection_id)
        is_loaded = isinstance(command, Forward) or (
            isinstance(command, ReadStatus) and link and self.servers[link[0].name].poll_s
        )
        if link is None or not is_loaded:
            type(vm).deliver(vm, effect, command)
            return
        target, connection, incarnation = link
        if target.down or target.incarnation != incarnation:
            vm.lose(effect.connection_id)
            return
        if target.mute or (vm.name, target.name) in self.cuts:
            return

        def send(reply):
            answered = CommandAnswered(effect.connection_id, reply)
            self.after(LATENCY_S, lambda: vm.answer(effect.connection_id, answered, target))

        server = self.servers[target.name]
        accept = server.accept if isinstance(command, Forward) else server.accept_poll
        accept((connection, command), send)

    def start_load(self, vm, route, per_s, until, kind=StatementKind.READ):
        """Send statements of a route on a VM at random times until a time."""
        rng = random.Random(f'{vm} {route} {self.seed} {self.now}')

        def send():
            if self.now < until:
                if self.now >= self.vms[vm].frozen_until:
                    self.send_new(vm, route, kind)
                self.after(rng.expovariate(per_s), send)

        self.after(rng.expovariate(per_s), send)

    def send_new(self, vm, route, kind=StatementKind.READ):
        """Send a statement in a session without one."""
        pool = self.idle.setdefault((vm, route), [])
        free = next((it for it in pool if self.calls[(vm, it)].answer is not None), None)
        if free is None:
            free, self.next_session = self.next_session, self.next_session + 1
            pool.append(free)
            self.connect(vm, free, route)
        return self.send(vm, free, kind, f'{free}-{self.now}')

    def list_changes(self, target=None):
        """Return the log lines about paces as time, VM, event and fields."""
        return [
            line
            for line in self.log_lines
            if line[2].startswith('target_pace') and target in {None, line[3]['target']}
        ]

    def count_busy(self):
        return sum(it.answers[TargetFailure.BUSY] for it in self.servers.values())

    def count_served(self, since=0, within_s=0.5):
        """Return the number of calls since a time, and of those answered in time."""
        calls = [it for it in self.history if it.sent_at >= since]
        good = [it for it in calls if is_success(it) and it.answered_at - it.sent_at <= within_s]
        return len(calls), len(good)
