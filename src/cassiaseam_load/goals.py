"""Goals for figures; a figure that misses its goal causes a warning, not a failure."""

from dataclasses import dataclass

from cassiaseam_load.figures import Figure


@dataclass(frozen=True, slots=True)
class Goal:
    """Inclusive bound of a figure.

    Attributes:
        bound: Worst value that still meets the goal.
        is_minimum: Whether the bound is a minimum; otherwise it is a maximum.
    """

    bound: float
    is_minimum: bool = False

    def is_met(self, measured: float) -> bool:
        """Return whether a value is within the bound."""
        return measured >= self.bound if self.is_minimum else measured <= self.bound


GOALS: dict[str, Goal] = {
    'replica_read_share': Goal(0.95, is_minimum=True),
    'failover_gap_ms_killed': Goal(2000),
    'failover_gap_ms_frozen': Goal(2000),
    'failover_gap_ms_cut': Goal(2000),
    'goodput_ratio_overload': Goal(0.9, is_minimum=True),
    'read_p99_ratio_write_overload': Goal(1.5),
    'decision_us': Goal(20),
}


def find_missed_goal(figure: Figure) -> str | None:
    """Return a warning if a figure misses its goal, else None."""
    goal = GOALS.get(figure.figure)
    if goal is None or goal.is_met(figure.value):
        return None
    side = 'at least' if goal.is_minimum else 'at most'
    measured = f'{figure.figure} of {figure.workload} is {figure.value:.4g} {figure.unit}'
    return f'warning: {measured}, goal {side} {goal.bound:g}'
