"""Calls of the VMs to the platform, in virtual time.

A call opens a connection, is written once the connection stands, and arrives later. The VM ends it
after a time limit; a call that was written by then may still arrive.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from cassiaseam.httpio import CONNECT_TIMEOUT_S
from cassiaseam.platform.store import (
    PROMOTION_DELIVERY_MS,
    PROMOTION_LIMIT_S,
    READ_LIMIT_S,
    WRITE_LIMIT_S,
)
from cassiaseam.pooler.events import (
    DutyReadFailed,
    DutyWritten,
    PromotionAnswered,
    WriteOutcome,
)

LATENCY_S = 0.004
# Seconds after which the kernel of a VM ends a connection whose written promotion call was not
# delivered.
DELIVERY_LIMIT_S = PROMOTION_DELIVERY_MS / 1000
# Parts of a promotion call that a fault can delay.
CONNECTION = 'connection'
DELIVERY = 'delivery'


@dataclass
class PlatformCall:
    """One call on a connection of its own.

    Attributes:
        vm: The VM that makes the call.
        limit_s: Seconds after which the VM ends it.
        arrive: Carries the call out at the platform.
        fail: Returns the event for a call without an answer, from a reason and whether the call
            may have been carried out.
        holds: Time per part of the call until which it is delayed.
        send_by: Time after which the call must not be written, or None.
        delivery_limit_s: Seconds after which a written call is delivered no more, or None.
        written: Whether the call was written.
        ended: Whether the VM has the outcome.
    """

    vm: Any
    limit_s: float
    arrive: Callable
    fail: Callable
    holds: dict[str, float]
    send_by: float | None = None
    delivery_limit_s: float | None = None
    written: bool = False
    ended: bool = False

    def start(self):
        """Open the connection and start the time limits."""
        world = self.vm.world
        stands_at = max(world.now, self.holds.get(CONNECTION, 0)) + 2 * LATENCY_S
        world.at(stands_at, lambda: self.vm.run(self.write))
        world.after(CONNECT_TIMEOUT_S, lambda: self.vm.run_timer(self.end_connecting))
        world.after(self.limit_s, lambda: self.vm.run_timer(self.time_out))

    def write(self):
        """Write the call on the connection, unless the VM has ended it."""
        if self.ended:
            return
        world = self.vm.world
        if self.send_by is not None and world.now > self.send_by:
            self.end(self.fail('the connection stood too late', False))
            return
        self.written = True
        arrives_at = max(world.now, self.holds.get(DELIVERY, 0)) + LATENCY_S
        limit_s = self.delivery_limit_s
        if limit_s is not None and arrives_at > world.now + limit_s:
            world.after(limit_s, lambda: self.vm.run(self.lose))
        else:
            world.at(arrives_at, lambda: self.arrive(self))

    def answer(self, event):
        """Send the answer of the platform to the VM."""
        self.vm.world.after(LATENCY_S, lambda: self.vm.run(lambda: self.end(event)))

    def end_connecting(self):
        if not self.written and not self.ended:
            self.end(self.fail('the connection did not open', False))

    def time_out(self):
        if not self.ended:
            self.end(self.fail('no answer in time', self.written))

    def lose(self):
        self.end(self.fail('connection lost', True))

    def end(self, event):
        """Give the VM the outcome, once."""
        if not self.ended:
            self.ended = True
            self.vm.dispatch(event)


def build_promotion_answer(effect, accepted, reason='', may_have_run=False, answered=True):
    """Return the outcome of a promotion call; one that was sent and not answered may arrive."""
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
    world.note(
        'call decided', vm.name, f'token {effect.fencing_token} {effect.group}/{effect.target}'
    )

    def fail(reason, may_have_run):
        sent = 'may arrive' if may_have_run else 'not sent'
        world.note('call ended', vm.name, f'token {effect.fencing_token} {reason}, {sent}')
        return build_promotion_answer(effect, False, reason, may_have_run, answered=False)

    PlatformCall(
        vm,
        PROMOTION_LIMIT_S,
        lambda call: world.platform.accept_promotion(call, effect),
        fail,
        vm.promotion_holds,
        effect.send_by,
        DELIVERY_LIMIT_S,
    ).start()


def read_duty(vm, effect):
    """Read the duty record."""

    def fail(reason, may_have_run):
        return DutyReadFailed()

    PlatformCall(vm, READ_LIMIT_S, vm.world.platform.read_duty, fail, {}).start()


def write_duty(vm, effect):
    """Write the duty record."""

    def fail(reason, may_have_run):
        outcome = WriteOutcome.UNKNOWN if may_have_run else WriteOutcome.CONFLICT
        return DutyWritten(effect.record, outcome)

    PlatformCall(
        vm,
        WRITE_LIMIT_S,
        lambda call: vm.world.platform.write_duty(call, effect),
        fail,
        {},
    ).start()
