"""Platform of the virtual deployment: the lease record and the promotion API, with faults."""

from dataclasses import dataclass

from virtual_calls import build_promotion_answer

from cassiaseam.pooler.events import LeaseRead, LeaseWritten, WriteOutcome
from cassiaseam.store_revisions import get_number, join_revision

# Delay between an accepted call and the promotion; the platform states some hundred milliseconds.
PROMOTION_DELAY_S = 0.3
# Delay after which a former primary that can reach the new one steps down.
STEP_DOWN_DELAY_S = 1.0
# Restore of `restore_at_claim`: age of the copy, time for which the store is away, and time for
# which the holder does not reach it.
LOST_CLAIM_AGE_S = 1.0
LOST_CLAIM_AWAY_S = 0.05
LOST_CLAIM_CUT_S = 20.0


@dataclass(frozen=True)
class Arrival:
    """A promotion call that arrived at the platform."""

    at: float
    holder: str
    token: int
    target: str


class VirtualPlatform:
    """Executes the calls of the VMs in the order of their arrival.

    Attributes:
        lease: The lease record, or None.
        duty_revision: Revision of the record, 0 without one.
        era: Number that rises by one with each restore of the store.
        revision: Revision of the latest write.
        arrivals: Promotion calls in the order of their arrival.
        promoted_term: Newest term of a promotion that has taken effect, or 0.
        lost_promotion_answers: Number of next promotion calls whose response is lost.
        promotion_delay_s: Seconds between an accepted call and the promotion of the target.
    """

    def __init__(self, world):
        self.world = world
        self.era = 1
        self.revision = 0
        self.copies = []
        self.lease = None
        self.duty_revision = 0
        self.arrivals = []
        self.promoted_term = 0
        self.lost_promotion_answers = 0
        self.promotion_delay_s = PROMOTION_DELAY_S
        self.late_writes = []
        self.lose_next_claim = False

    def take_revision(self):
        """Keep a copy of the store before a write, and return the revision of the write."""
        copy = (self.revision, self.duty_revision, self.lease, dict(self.world.sizes))
        self.copies.append((self.world.now, copy))
        self.revision += 1
        return join_revision(self.era, self.revision)

    def read_revision(self, revision):
        """Return the revision of an object as an answer of the current era gives it."""
        return join_revision(self.era, get_number(revision)) if revision else 0

    def restore(self, age_s):
        """Return to the state of `age_s` seconds ago and begin an era."""
        former = self.revision
        while self.copies and self.copies[-1][0] > self.world.now - age_s:
            _, copy = self.copies.pop()
            self.revision, self.duty_revision, self.lease, self.world.sizes = copy
        self.era += 1
        self.world.record_step('restored', 'store', f'revision {former} to {self.revision}')

    def read_duty(self, call):
        """Read the current record; the response may be delayed."""
        found = LeaseRead(self.read_revision(self.duty_revision), self.lease)
        self.world.after(call.vm.read_delay_s, lambda: call.answer(found))

    def write_duty(self, call, effect):
        """Write the record, or write it later without a response."""
        if self.late_writes:
            late_s = self.late_writes.pop()
            self.world.record_step('write delayed', call.vm.name, f'by {late_s:.3f} s')
            self.world.after(late_s, lambda: self.store_duty(call.vm, effect))
        else:
            call.answer(self.store_duty(call.vm, effect))

    def store_duty(self, vm, effect):
        """Perform the conditional write and return the outcome."""
        if get_number(effect.revision) != get_number(self.duty_revision):
            return LeaseWritten(effect.record, WriteOutcome.CONFLICT)
        self.duty_revision = self.take_revision()
        self.lease = effect.record
        kind = 'released' if effect.record.released else 'claimed'
        self.world.record_step(kind, vm.name, f'revision {self.duty_revision}')
        if not effect.record.released:
            vm.freeze_at_moment('claimed')
            if self.lose_next_claim:
                self.lose_next_claim = False
                self.world.cut_store(vm.name, LOST_CLAIM_CUT_S)
                self.world.restore_store(LOST_CLAIM_AGE_S, LOST_CLAIM_AWAY_S)
        return LeaseWritten(effect.record, WriteOutcome.WRITTEN, self.duty_revision)

    def handle_promotion(self, call, effect):
        """Handle a promotion call that has arrived."""
        world = self.world
        token = effect.fencing_token
        self.arrivals.append(Arrival(world.now, effect.holder, token, effect.target))
        world.record_step(
            'call arrived', effect.holder, f'token {token} {effect.group}/{effect.target}'
        )
        target = world.targets[effect.target]
        if target.down:
            call.answer(build_promotion_answer(effect, False, 'not running'))
            return
        lost = self.lost_promotion_answers > 0
        self.lost_promotion_answers -= lost
        if not target.is_primary:
            world.after(self.promotion_delay_s, lambda: self.promote(target))
        call.answer(build_promotion_answer(effect, not lost, may_have_run=lost, answered=not lost))

    def promote(self, target):
        """Make a target the primary of the next term."""
        world = self.world
        if target.down:
            return
        newest = max(other.term for other in world.targets.values())
        target.term = newest + 1
        target.is_primary = True
        self.promoted_term = target.term
        world.record_step('promoted', target.name, f'term {target.term}')
        for other in world.targets.values():
            other.fenced = 0
            reachable = (target.name, other.name) not in world.cuts
            if other is not target and reachable and not other.mute:
                world.after(STEP_DOWN_DELAY_S, lambda former=other: self.step_down(former, target))
                if not other.is_primary:
                    other.term = target.term
        world.announce(target)
        world.replicate()

    def step_down(self, former, successor):
        """Demote a former primary to a replica of its successor."""
        if former.is_primary and former.term < successor.term:
            former.is_primary = False
            former.applied = 0
            self.world.announce(former)
            self.world.replicate()

    # faults

    def lose_promotion_answers(self, count):
        self.lost_promotion_answers += count

    def late_duty_writes(self, late_s, count):
        """Delay the next writes of the record and lose their responses."""
        self.late_writes += [late_s] * count

    def restore_at_claim(self):
        """Lose the next claim by a restore right after it, and cut its holder off the store."""
        self.lose_next_claim = True

    def slow_promotions(self, promotion_delay_s, for_s):
        """Increase the delay of promotions that are accepted during the fault."""
        self.promotion_delay_s = promotion_delay_s

        def heal():
            self.promotion_delay_s = PROMOTION_DELAY_S

        self.world.after(for_s, heal)
