"""Commands by which a VM steers targets: fences and demotions."""

from cassiaseam.pooler import connections, quorum
from cassiaseam.pooler.commands import Command, Demote, Fence, LiftFence
from cassiaseam.pooler.state import GroupView, Job, PoolerState, Purpose

# Pause in seconds between two requests to a former primary to step down.
DEMOTE_FORMER_PAUSE_S = 0.5


def send_control(
    state: PoolerState, group: GroupView, name: str, command: Command, now: float
) -> list:
    """Send a command of our own to a target."""
    return connections.submit_job(state, group, Job(name, command, Purpose.CONTROL, now), now)


def cancel_unsent_commands(group: GroupView) -> None:
    """Drop the commands that wait for a connection."""
    for target in group.targets.values():
        for job in target.queue:
            if isinstance(job.command, Demote | Fence | LiftFence):
                job.cancelled = True


def lift_fences(state: PoolerState, group: GroupView, now: float) -> list:
    """Let all fenced replicas receive again."""
    effects: list = []
    for name, view in group.monitor.targets.items():
        if name not in group.targets or view.status is None:
            continue
        if quorum.is_fenced(view.status):
            effects += send_control(state, group, name, LiftFence(), now)
    return effects


def demote_former_primary(state: PoolerState, group: GroupView, now: float) -> list:
    """Tell a former primary that comes back into reach to step down."""
    former = group.former_primary
    if now > group.demote_until or former not in group.targets or not group.monitor.primary:
        return []
    view = group.monitor.targets.get(former)
    stepped_down = (
        view is not None and view.status is not None and view.status.term >= group.monitor.term
    )
    if stepped_down or now - group.demote_sent_at < DEMOTE_FORMER_PAUSE_S:
        return []
    group.demote_sent_at = now
    return send_control(state, group, former, Demote(group.monitor.term), now)
