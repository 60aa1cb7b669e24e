"""Control commands to targets: fences and demotions."""

from cassiaseam.pooler import connections, quorum
from cassiaseam.pooler.commands import Command, Demote, Fence, LiftFence
from cassiaseam.pooler.notices import decisions as notices
from cassiaseam.pooler.state import GroupView, Job, PoolerState, Purpose

# Seconds between two requests to a former primary to step down.
DEMOTE_FORMER_INTERVAL_S = 0.5


def send_control_command(
    state: PoolerState, group: GroupView, name: str, command: Command, now: float
) -> list:
    """Send a control command to a target."""
    return connections.submit_job(state, group, Job(name, command, Purpose.CONTROL, now), now)


def cancel_unsent_commands(group: GroupView) -> None:
    """Cancel the fences and demotions that wait for a connection."""
    for target in group.targets.values():
        for job in target.queue:
            if isinstance(job.command, Demote | Fence | LiftFence):
                job.cancelled = True


def lift_fences(state: PoolerState, group: GroupView, now: float) -> list:
    """Lift the fences of all fenced targets, and tell the other VMs."""
    effects: list = []
    lifted_term = 0
    for name, view in group.monitor.targets.items():
        if name not in group.targets or view.status is None:
            continue
        if quorum.is_fenced(view.status):
            effects += send_control_command(state, group, name, LiftFence(), now)
            lifted_term = max(lifted_term, view.status.fenced_term)
    if not lifted_term:
        return effects
    notices.record_lift(group, lifted_term, now)
    return effects + notices.announce_lift(state, group, lifted_term)


def demote_former_primary(state: PoolerState, group: GroupView, now: float) -> list:
    """Tell a former primary to step down, for when it becomes reachable again."""
    former = group.former_primary
    if now > group.demote_until or former not in group.targets or not group.monitor.primary:
        return []
    view = group.monitor.targets.get(former)
    stepped_down = (
        view is not None and view.status is not None and view.status.term >= group.monitor.term
    )
    if stepped_down or now - group.demote_sent_at < DEMOTE_FORMER_INTERVAL_S:
        return []
    group.demote_sent_at = now
    return send_control_command(state, group, former, Demote(group.monitor.term), now)
