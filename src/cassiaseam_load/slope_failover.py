"""Scaling of failover: simulated time of each step by network latency."""

import heapq
import itertools
import random
import statistics
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from cassiaseam.configuration.model import (
    DatabaseConfig,
    DatabaseConfigured,
    OwnershipChanged,
    TargetConfig,
)
from cassiaseam.daemon.timers import TIMER_RESOLUTION_S
from cassiaseam.group.monitoring import request_poll
from cassiaseam.messages import TargetRole, TargetStatus
from cassiaseam.positions import LogPosition
from cassiaseam.reducer import roles
from cassiaseam.reducer.common import RecordTimeline, Tick
from cassiaseam.reducer.node_state import NodeState
from cassiaseam.reducer.registry import reduce_event
from cassiaseam.reducer.target_io import (
    ClaimTerm,
    FenceAnswered,
    FenceTarget,
    FollowAnswered,
    FollowPrimary,
    PollTarget,
    PromoteAnswered,
    PromoteTarget,
    TargetStatusReceived,
    TermClaim,
    TermClaimAnswered,
)
from cassiaseam_load.slope_registry import Point, measures_role

ROLE = 'failover'
DATABASE = 'orders'
TARGETS = ('t0', 't1', 't2')
LATENCIES_MS = (1.5, 8, 16)
RUNS = 20
MS_PER_S = 1e3
WARM_UP_S = 20.0
TIMEOUT_S = 20.0
# Processing time of a platform call; claiming a term takes two calls.
PLATFORM_S = 0.005
WRITE_INTERVAL_S = 0.1
ROLE_MODULES = (roles,)
STEPS = ('promotion_started', 'term_chosen', 'target_chosen', 'primary_promoted')


@dataclass(slots=True)
class SimulatedTarget:
    """Database instance that implements the terms of section 5.2 of the design page.

    Attributes:
        name: Name of the target.
        follows: Primary that it follows, or '' if it is a primary.
        term: Term in which it follows or is the primary.
        fenced_term: Highest term whose fence it granted.
        lost_at: Time in seconds from which it does not answer, or None.
    """

    name: str
    follows: str
    term: int = 1
    fenced_term: int = 1
    lost_at: float | None = None

    def read_status(self, contact_age_s: float) -> TargetStatus:
        """Return the status of the target."""
        position = LogPosition(1, 1)
        role = TargetRole.REPLICA if self.follows else TargetRole.PRIMARY
        return TargetStatus(
            self.name,
            '1',
            self.term,
            self.fenced_term,
            position,
            position,
            role,
            self.follows,
            contact_age_s,
        )


@dataclass(slots=True)
class FailoverSimulation:
    """Simulation of an owner and a group whose primary stops answering.

    Attributes:
        latency_s: One-way delay of a message in seconds, also to the platform.
        is_used: Whether a write waits for acknowledgement every `WRITE_INTERVAL_S`.
        now: Simulated time in seconds.
        lost_at: Time in seconds at which the primary stops answering.
        reached: Time in seconds at which each step was reached.
    """

    latency_s: float
    is_used: bool
    rng: random.Random
    now: float = 0
    lost_at: float = 0
    state: NodeState | None = None
    targets: dict[str, SimulatedTarget] = field(default_factory=dict)
    reached: dict[str, float] = field(default_factory=dict)
    queue: list[tuple[float, int, Any]] = field(default_factory=list)
    order: Any = field(default_factory=itertools.count)

    def run(self) -> dict[str, float]:
        """Run the failover and return the seconds from the loss of the primary to each step."""
        self.state = NodeState('vm-1', 'place-a', self.rng)
        self.targets = {
            target: SimulatedTarget(target, '' if target == TARGETS[0] else TARGETS[0])
            for target in TARGETS
        }
        configs = tuple(TargetConfig(name, '127.0.0.1', 3306, 'place-a') for name in TARGETS)
        self.lost_at = WARM_UP_S + self.rng.random() * 5
        self.targets[TARGETS[0]].lost_at = self.lost_at
        self.dispatch(DatabaseConfigured(DatabaseConfig(DATABASE, configs)))
        self.dispatch(OwnershipChanged(DATABASE, owns=True))
        if self.is_used:
            self.schedule(0, None)
        while STEPS[-1] not in self.reached and self.now < self.lost_at + TIMEOUT_S:
            self.advance()
        return {step: at - self.lost_at for step, at in self.reached.items()}

    def advance(self) -> None:
        """Advance to the next message or timer and handle it."""
        due_at = self.state.group_due[0][0]
        if self.queue and self.queue[0][0] <= due_at:
            self.now, _, event = heapq.heappop(self.queue)
            if event is None:
                self.request_write()
            else:
                self.dispatch(event)
            return
        # Same resolution as the daemon's timer.
        self.now = max(self.now + TIMER_RESOLUTION_S, due_at)
        self.dispatch(Tick())

    def request_write(self) -> None:
        """Request a poll, as a write does while it waits for acknowledgement."""
        self.carry_out(request_poll(self.state.groups[DATABASE], self.now))
        self.schedule(WRITE_INTERVAL_S, None)

    def schedule(self, delay_s: float, event: Any) -> None:
        """Schedule an event after a delay."""
        heapq.heappush(self.queue, (self.now + delay_s, next(self.order), event))

    def dispatch(self, event: Any) -> None:
        """Reduce an event and carry out its effects."""
        self.carry_out(reduce_event(self.state, event, self.now))

    def carry_out(self, effects: list[Any]) -> None:
        """Carry out effects and record the time of each step."""
        for effect in effects:
            if isinstance(effect, RecordTimeline):
                if self.now >= self.lost_at:
                    self.reached.setdefault(effect.record.kind, self.now)
            elif isinstance(effect, ClaimTerm):
                claimed = TermClaimAnswered(DATABASE, effect.term, TermClaim.CLAIMED, effect.term)
                self.schedule(2 * (PLATFORM_S + 2 * self.latency_s), claimed)
            elif isinstance(effect, tuple(_ANSWERS)):
                self.send_to_target(effect)

    def send_to_target(self, effect: Any) -> None:
        """Run an operation on a target and schedule its answer, unless the target is lost."""
        target = self.targets[effect.target]
        if target.lost_at is None or self.now + self.latency_s < target.lost_at:
            answer = _ANSWERS[type(effect)](self, target, effect)
            self.schedule(2 * self.latency_s, answer)

    def find_contact_age_s(self, target: SimulatedTarget) -> float:
        """Return the seconds since a replica last heard from its primary."""
        primary = self.targets.get(target.follows)
        if primary is None or primary.lost_at is None:
            return 0
        return max(self.now + self.latency_s - primary.lost_at, 0)


def _poll(simulation: FailoverSimulation, target: SimulatedTarget, effect: PollTarget) -> Any:
    status = target.read_status(simulation.find_contact_age_s(target))
    return TargetStatusReceived(DATABASE, target.name, simulation.now, status)


def _fence(simulation: FailoverSimulation, target: SimulatedTarget, effect: FenceTarget) -> Any:
    target.fenced_term = effect.term
    status = target.read_status(simulation.find_contact_age_s(target))
    return FenceAnswered(DATABASE, target.name, effect.term, granted=True, status=status)


def _promote(
    simulation: FailoverSimulation, target: SimulatedTarget, effect: PromoteTarget
) -> Any:
    target.term, target.follows = effect.term, ''
    return PromoteAnswered(DATABASE, target.name, effect.term, succeeded=True)


def _follow(simulation: FailoverSimulation, target: SimulatedTarget, effect: FollowPrimary) -> Any:
    target.term, target.follows = effect.term, effect.primary
    return FollowAnswered(DATABASE, target.name, effect.primary, effect.term, succeeded=True)


_ANSWERS = {
    PollTarget: _poll,
    FenceTarget: _fence,
    PromoteTarget: _promote,
    FollowPrimary: _follow,
}


@measures_role(ROLE)
def measure_failover() -> Iterator[Point]:
    """Measure the median time to each step and the longest failover of used and unused groups."""
    for latency_ms in LATENCIES_MS:
        for label, is_used in (('used', True), ('unused', False)):
            runs = [
                FailoverSimulation(latency_ms / MS_PER_S, is_used, random.Random(seed)).run()
                for seed in range(RUNS)
            ]
            for step in STEPS:
                middle_s = statistics.median(run[step] for run in runs)
                yield Point(ROLE, f'{label} group, median to {step}', latency_ms, middle_s, 's')
            longest_s = max(run[STEPS[-1]] for run in runs)
            yield Point(ROLE, f'{label} group, longest gap', latency_ms, longest_s, 's')
