"""Platform calls of the VMs in virtual time.

A call opens a connection, is written once the connection is established, and arrives later. It
times out on the VM; a call that was written before may still arrive.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from cassiaseam.httpio import CONNECT_TIMEOUT_S
from cassiaseam.platform.store import (
    PROMOTION_TCP_USER_TIMEOUT_MS,
    PROMOTION_TIMEOUT_S,
    READ_TIMEOUT_S,
    WRITE_TIMEOUT_S,
)
from cassiaseam.pooler.events import (
    LeaseReadFailed,
    LeaseWritten,
    PromotionAnswered,
    StoreEraObserved,
    WriteOutcome,
)

LATENCY_S = 0.004
# The kernel of a VM aborts a connection whose written promotion call is undelivered for this time.
DELIVERY_TIMEOUT_S = PROMOTION_TCP_USER_TIMEOUT_MS / 1000
# Parts of a promotion call that a fault can delay.
CONNECTION = 'connection'
DELIVERY = 'delivery'


@dataclass
class PlatformCall:
    """A platform call on its own connection.

    Attributes:
        vm: The VM that makes the call.
        timeout_s: Timeout of the call in seconds.
        arrive: Executes the call on the platform.
        fail: Returns the event for an unanswered call, from a reason and whether the call may have
            been executed.
        holds: Time until which each part of the call is delayed.
        send_by: Time after which the call must not be written, or None.
        delivery_timeout_s: Seconds after which a written call is no longer delivered, or None.
        names_era: Whether the answer names the era of the store.
        written: Whether the call was written.
        ended: Whether the VM has received the outcome.
    """

    vm: Any
    timeout_s: float
    arrive: Callable
    fail: Callable
    holds: dict[str, float]
    send_by: float | None = None
    delivery_timeout_s: float | None = None
    names_era: bool = False
    written: bool = False
    ended: bool = False

    def start(self):
        """Open the connection and start the timeouts."""
        world = self.vm.world
        connected_at = max(world.now, self.holds.get(CONNECTION, 0)) + 2 * LATENCY_S
        world.at(connected_at, lambda: self.vm.run(self.write))
        world.after(CONNECT_TIMEOUT_S, lambda: self.vm.run_timer(self.expire_connect))
        world.after(self.timeout_s, lambda: self.vm.run_timer(self.expire_call))

    def write(self):
        """Write the call on the connection unless it has ended."""
        if self.ended:
            return
        world = self.vm.world
        if self.send_by is not None and world.now > self.send_by:
            self.end(self.fail('connected after the send deadline', False))
            return
        self.written = True
        arrives_at = max(world.now, self.holds.get(DELIVERY, 0)) + LATENCY_S
        timeout_s = self.delivery_timeout_s
        if timeout_s is not None and arrives_at > world.now + timeout_s:
            world.after(timeout_s, lambda: self.vm.run(self.lose))
        else:
            world.at(arrives_at, lambda: self.arrive(self))

    def answer(self, event):
        """Send the response of the platform to the VM."""
        era = self.vm.world.platform.era
        self.vm.world.after(LATENCY_S, lambda: self.vm.run(lambda: self.receive(event, era)))

    def receive(self, event, era):
        """Dispatch the era and the outcome; an answer of a former era counts as lost."""
        if self.ended or not self.names_era:
            self.end(event)
            return
        if era < (self.vm.state.store_era or 0):
            self.end(self.fail('answer of a former era', True))
            return
        self.vm.dispatch(StoreEraObserved(era))
        self.end(event)

    def expire_connect(self):
        if not self.written and not self.ended:
            self.end(self.fail('connect timeout', False))

    def expire_call(self):
        if not self.ended:
            self.end(self.fail('no answer in time', self.written))

    def lose(self):
        self.end(self.fail('connection lost', True))

    def end(self, event):
        """Dispatch the outcome to the VM once."""
        if not self.ended:
            self.ended = True
            self.vm.dispatch(event)


def build_promotion_answer(effect, accepted, reason='', may_have_run=False, answered=True):
    """Return the outcome of a promotion call; an unanswered one may still arrive."""
    return PromotionAnswered(
        effect.group,
        effect.target,
        accepted,
        reason,
        may_have_run,
        may_arrive=may_have_run and not answered,
        fencing_token=effect.fencing_token,
    )


def call_promotion(vm, effect):
    """Make a promotion call."""
    world = vm.world
    world.promotion_calls.append((world.now, effect))
    world.record_step(
        'call decided', vm.name, f'token {effect.fencing_token} {effect.group}/{effect.target}'
    )

    def fail(reason, may_have_run):
        sent = 'may arrive' if may_have_run else 'not sent'
        world.record_step('call ended', vm.name, f'token {effect.fencing_token} {reason}, {sent}')
        return build_promotion_answer(effect, False, reason, may_have_run, answered=False)

    PlatformCall(
        vm,
        PROMOTION_TIMEOUT_S,
        lambda call: world.platform.handle_promotion(call, effect),
        fail,
        vm.promotion_holds,
        effect.send_by,
        DELIVERY_TIMEOUT_S,
    ).start()


def read_duty(vm, effect):
    """Read the lease record."""

    def fail(reason, may_have_run):
        return LeaseReadFailed()

    PlatformCall(vm, READ_TIMEOUT_S, vm.world.platform.read_duty, fail, {}, names_era=True).start()


def write_duty(vm, effect):
    """Write the lease record."""

    def fail(reason, may_have_run):
        outcome = WriteOutcome.UNKNOWN if may_have_run else WriteOutcome.CONFLICT
        return LeaseWritten(effect.record, outcome)

    PlatformCall(
        vm,
        WRITE_TIMEOUT_S,
        lambda call: vm.world.platform.write_duty(call, effect),
        fail,
        {},
        names_era=True,
    ).start()
