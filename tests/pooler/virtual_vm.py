"""VM of the virtual deployment: runs the reducer and executes effects in virtual time."""

import dataclasses
import math
import random

import virtual_calls
from fake_target import ConnectionState
from virtual_calls import LATENCY_S

from cassiaseam.pooler import duty
from cassiaseam.pooler.commands import Forward, LiftFence, TargetFailure, TargetReply
from cassiaseam.pooler.events import (
    AcceptCaller,
    AnswerCaller,
    CallPromotion,
    CloseCaller,
    CloseConnection,
    CommandAnswered,
    ConnectionLost,
    ConnectionReady,
    ConnectionRefused,
    LeaseReadFailed,
    LeaseWritten,
    OpenConnection,
    PoolerTick,
    ReadLease,
    RefuseCaller,
    SampleReceived,
    SampleRequested,
    SendCommands,
    SendSample,
    SendSampleRequest,
    StoreEraObserved,
    StoreListed,
    WriteLease,
    WriteLog,
    WriteOutcome,
)
from cassiaseam.pooler.group_sizes import (
    ReadSizes,
    SizesRead,
    SizesReadFailed,
    SizeWritten,
    WriteSize,
)
from cassiaseam.pooler.notices.events import SendNotice
from cassiaseam.pooler.state import PoolerState
from cassiaseam.reducer.registry import reduce_event
from cassiaseam.store_revisions import get_era, join_revision

EXECUTION_S = 0.005
TICK_S = 0.02
# A process that resumes handles ready connections before expired timers.
TIMER_DELAY_AFTER_RESUME_S = 0.0001


class VirtualVm:
    """A daemon: its state and its connections to targets.

    Attributes:
        promotion_holds: Time until which each part of its promotion calls is delayed.
        read_delay_s: Delay in seconds of responses to reads of the lease record.
        freezes: Seconds for which the VM freezes at the next occurrence of a step: 'claim' (before
            it writes the lease record), 'claimed' (after its claim is written) or 'call' (after it
            starts a promotion call).
    """

    def __init__(self, world, name, place):
        self.world = world
        self.name = name
        self.state = PoolerState(name, place, random.Random(f'{name}-{world.seed}'))
        self.links = {}
        self.frozen_until = -math.inf
        self.store_cut = False
        self.last_tick = 0
        self.promotion_holds = {}
        self.read_delay_s = 0
        self.freezes = {}

    def run(self, action):
        """Run an action now, or when the VM is no longer frozen."""
        world = self.world
        if world.now < self.frozen_until:
            world.at(self.frozen_until, lambda: self.run(action))
        else:
            action()

    def run_timer(self, action):
        """Run the action of an expired timer; on resume, I/O that is ready comes first."""
        world = self.world
        if world.now < self.frozen_until:
            world.at(
                self.frozen_until + TIMER_DELAY_AFTER_RESUME_S, lambda: self.run_timer(action)
            )
        else:
            action()

    def relies_on_fence(self, target):
        """Return whether a promotion under a valid lease relies on the fence of a target."""
        if not duty.is_lease_valid(self.state, self.world.now):
            return False
        promotions = [group.promotion for group in self.state.groups.values()]
        return any(it is not None and target.name in it.fenced_positions for it in promotions)

    def freeze_at_moment(self, moment):
        """Freeze the VM if a fault is scheduled for this step."""
        for_s = self.freezes.pop(moment, 0)
        if for_s:
            self.world.record_step('frozen', self.name, f'at {moment} for {for_s:.3f} s')
            self.world.freeze(self.name, for_s)

    def dispatch(self, event):
        """Reduce an event now, or when the VM is no longer frozen."""
        world = self.world
        if world.now < self.frozen_until:
            world.at(self.frozen_until, lambda: self.dispatch(event))
            return
        self.execute(reduce_event(self.state, event, world.now))

    def execute(self, effects):
        """Execute effects in order."""
        for effect in effects:
            EXECUTORS[type(effect)](self, effect)

    def tick(self):
        world = self.world
        if world.now < self.frozen_until:
            world.at(self.frozen_until, self.tick)
            return
        late_s = world.now - self.last_tick - TICK_S
        self.last_tick = world.now
        self.dispatch(PoolerTick(suspended_s=late_s))
        world.after(TICK_S, self.tick)

    def open_target(self, effect):
        world = self.world
        target = world.targets[effect.record.name]
        number = effect.connection_id
        if target.down:
            refused = ConnectionRefused(number, 'refused')
            world.after(LATENCY_S, lambda: self.dispatch(refused))
        elif target.mute or (self.name, target.name) in world.cuts:
            refused = ConnectionRefused(number, 'timed out')
            world.after(1.0, lambda: self.dispatch(refused))
        elif world.count_connections(target) >= target.max_connections:
            full = TargetReply(failure=TargetFailure.TOO_MANY_CONNECTIONS, message='full')
            world.refused_connections += 1
            refused = ConnectionRefused(number, 'full', full)
            world.after(2 * LATENCY_S, lambda: self.dispatch(refused))
        else:
            self.links[number] = (target, ConnectionState(effect.account), target.incarnation)
            world.opened_connections += 1
            ready = ConnectionReady(number, TargetReply(position=target.visible))
            world.complete_handshake(target, lambda: self.dispatch(ready))

    def send_commands(self, effect):
        for command in effect.commands:
            self.world.after(LATENCY_S, lambda it=command: self.deliver(effect, it))

    def deliver(self, effect, command):
        """Run a command on its target and send the reply."""
        world = self.world
        number = effect.connection_id
        link = self.links.get(number)
        if link is None:
            return
        target, connection, incarnation = link
        if target.down or target.incarnation != incarnation:
            self.lose(number)
            return
        if target.mute or (self.name, target.name) in world.cuts:
            return
        if isinstance(command, LiftFence):
            world.record_fence_lift(self, target)
        answer = target.run(connection, command)
        if isinstance(command, Forward) and target.drop_answers > 0:
            target.drop_answers -= 1
            return
        if not world.is_lossy(self.name, target.name):
            answered = CommandAnswered(number, answer)
            world.after(LATENCY_S + EXECUTION_S, lambda: self.answer(number, answered, target))

    def answer(self, number, event, target):
        if number in self.links and (self.name, target.name) not in self.world.cuts:
            self.dispatch(event)

    def lose(self, number):
        if self.links.pop(number, None) is not None:
            self.dispatch(ConnectionLost(number, 'reset'))

    def close_target(self, effect):
        self.links.pop(effect.connection_id, None)

    def read_duty(self, effect):
        if self.store_cut:
            self.world.after(0.5, lambda: self.dispatch(LeaseReadFailed()))
            return
        virtual_calls.read_duty(self, effect)

    def write_duty(self, effect):
        if not effect.record.released:
            self.freeze_at_moment('claim')
        if self.store_cut:
            lost = LeaseWritten(effect.record, WriteOutcome.UNKNOWN)
            self.world.after(0.5, lambda: self.dispatch(lost))
            return
        if effect.revision and get_era(effect.revision) != self.state.store_era:
            refused = LeaseWritten(effect.record, WriteOutcome.CONFLICT)
            self.world.after(0, lambda: self.dispatch(refused))
            return
        virtual_calls.write_duty(self, effect)

    def follow_store(self):
        """Learn the era of the store and from which revision on its changes are known."""
        platform = self.world.platform
        self.dispatch(StoreEraObserved(platform.era))
        self.dispatch(StoreListed(join_revision(platform.era, platform.revision)))

    def read_sizes(self, effect):
        world = self.world
        world.size_calls.append((world.now, self.name, effect))
        found = SizesReadFailed() if self.store_cut else SizesRead(tuple(world.sizes.values()))
        world.after(LATENCY_S, lambda: self.dispatch(found))

    def write_size(self, effect):
        world = self.world
        world.size_calls.append((world.now, self.name, effect))
        known = world.sizes.get(effect.record.group)
        written = None
        if not self.store_cut and effect.record.revision == (known.revision if known else 0):
            written = dataclasses.replace(effect.record, revision=world.platform.take_revision())
            world.sizes[written.group] = written
        world.after(LATENCY_S, lambda: self.dispatch(SizeWritten(written)))

    def call_promotion(self, effect):
        virtual_calls.call_promotion(self, effect)
        self.freeze_at_moment('call')

    def send_sample_request(self, effect):
        """Send a request to a peer, whose host is its name."""
        asked = SampleRequested(
            self.name,
            0,
            effect.nonce,
            effect.group,
            effect.max_age_s,
            effect.loads,
            effect.accepts_busy,
        )
        self.world.send_datagram(self.name, effect.host, asked)

    def send_sample_response(self, effect):
        offered = SampleReceived(
            effect.nonce,
            effect.group,
            effect.positions,
            effect.group_size,
            effect.connections,
            effect.loads,
        )
        self.world.send_datagram(self.name, effect.host, offered)

    def send_notice(self, effect):
        """Send a notice to the peers, whose hosts are their names."""
        for host, _ in effect.addresses:
            self.world.send_datagram(self.name, host, effect.notice)

    def answer_caller(self, effect):
        self.world.record_answer(self, effect)

    def ignore(self, effect):
        """Ignore an effect that no test checks."""

    def close_caller(self, effect):
        self.world.closed.append((self.name, effect.session_id))

    def refuse_caller(self, effect):
        self.world.refused.append((self.name, effect.session_id, effect.error.kind))
        self.world.refusals.append(effect.error)

    def write_log(self, effect):
        self.world.log_lines.append(
            (round(self.world.now, 3), self.name, effect.kind, effect.fields)
        )


EXECUTORS = {
    OpenConnection: VirtualVm.open_target,
    SendCommands: VirtualVm.send_commands,
    CloseConnection: VirtualVm.close_target,
    ReadLease: VirtualVm.read_duty,
    WriteLease: VirtualVm.write_duty,
    CallPromotion: VirtualVm.call_promotion,
    ReadSizes: VirtualVm.read_sizes,
    WriteSize: VirtualVm.write_size,
    SendSampleRequest: VirtualVm.send_sample_request,
    SendSample: VirtualVm.send_sample_response,
    SendNotice: VirtualVm.send_notice,
    AnswerCaller: VirtualVm.answer_caller,
    AcceptCaller: VirtualVm.ignore,
    RefuseCaller: VirtualVm.refuse_caller,
    CloseCaller: VirtualVm.close_caller,
    WriteLog: VirtualVm.write_log,
}
