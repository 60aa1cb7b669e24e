"""What passing time brings about."""

import traceback

from cassiaseam.pooler import (
    connections,
    discovery,
    endings,
    failover,
    group_size_sync,
    operations,
    routing,
    sessions,
    sharing,
    targets,
)
from cassiaseam.pooler.commands import SessionState
from cassiaseam.pooler.events import PoolerStopping, PoolerTick, WriteLog
from cassiaseam.pooler.state import CallerSession, GroupView, PoolerState
from cassiaseam.reducer.registry import handles

# Seconds between ticks while statements, polls or promotions are under way; ticks expire and retry
# them, so this bounds how late that is.
TICK_S = 0.02
# The same while nothing is under way, and between two looks at a group without work.
QUIET_TICK_S = 0.1
QUIET_SWEEP_S = 0.08
# Seconds by which a tick may be late before silence of the targets proves nothing.
OWN_PAUSE_S = 0.4
# Seconds without a reply after which a target is asked for its status, and the pause between two
# such questions.
PROBE_AFTER_S = 0.25
PROBE_PAUSE_S = 0.25
# Seconds without a majority of a group after which its idle sessions are closed; the load balancer
# has taken the VM out by then.
MOVE_AFTER_S = 2.2
# Seconds after the stop request that open transactions have to end.
TRANSACTION_GRACE_S = 3.0


@handles(PoolerTick)
def handle_tick(state: PoolerState, event: PoolerTick, now: float) -> list:
    """Expire, retry, probe and close what is due."""
    effects = sessions.refuse_late_sessions(state, now) + group_size_sync.check_records(state, now)
    if event.suspended_s > OWN_PAUSE_S:
        forget_silence(state, now)
        effects.append(WriteLog('process_resumed', {'pause_ms': round(event.suspended_s * 1000)}))
    for group in list(state.groups.values()):
        if not is_due(group, now):
            continue
        group.swept_at = now
        try:
            effects += sweep_group(state, group, now)
        except Exception:
            # The other groups and the next tick must not suffer from one group.
            fields = {'group': group.name, 'cause': traceback.format_exc(), 'level': 'error'}
            effects.append(WriteLog('group_sweep_failed', fields))
    effects += end_idle_transactions(state, now)
    return effects + close_idle_sessions(state, now)


def sweep_group(state: PoolerState, group: GroupView, now: float) -> list:
    """Expire, retry, probe and close what is due in one group."""
    effects = discovery.remove_missing_targets(state, group, now)
    effects += group_size_sync.track_size(state, group, now)
    for target in list(group.targets.values()):
        effects += targets.close_stuck_connections(state, group, target, now)
        effects += connections.start_jobs(state, target, now)
        effects += connections.close_idle_connections(state, target, now)
    sharing.expire_questions(state, group, now)
    effects += operations.expire_operations(state, group, now)
    effects += probe_targets(state, group, now)
    effects += failover.check_primary(state, group, now)
    return effects + note_reach(group, now)


def is_due(group: GroupView, now: float) -> bool:
    """Return whether a group is looked at now: at every tick while it has work, else rarely.

    Load pattern: many groups per VM, most of them without a statement at a given moment.
    """
    return is_active(group) or now - group.swept_at >= QUIET_SWEEP_S


def is_active(group: GroupView) -> bool:
    """Return whether a group has something under way that a tick may have to end or repeat."""
    if group.operations or group.waiting_vms or group.promotion is not None:
        return True
    if group.question is not None and not group.question.expired:
        return True
    if group.without_primary_since is not None:
        return True
    return any(
        target.queue or target.silent_since is not None or target.failing_since is not None
        for target in group.targets.values()
    )


def find_tick_pause_s(state: PoolerState) -> float:
    """Return the time in seconds until the next tick."""
    if state.stopping_since is not None or any(is_active(it) for it in state.groups.values()):
        return TICK_S
    waiting = any(not session.accepted for session in state.sessions.values())
    return TICK_S if waiting else QUIET_TICK_S


def forget_silence(state: PoolerState, now: float) -> None:
    """Start measuring anew after this process stood still."""
    for group in state.groups.values():
        for target in group.targets.values():
            if target.silent_since is not None:
                target.silent_since = now
            if target.failing_since is not None:
                target.failing_since = now


def probe_targets(state: PoolerState, group: GroupView, now: float) -> list:
    """Ask targets that owe replies, or that this VM has lost, for their status."""
    effects: list = []
    for name, target in group.targets.items():
        if target.status_job is not None or now < target.next_probe_at:
            continue
        silent = target.silent_since is not None and now - target.silent_since > PROBE_AFTER_S
        # A VM that reaches a majority tries a full target again when a statement needs it.
        shut_out = group.cut_off_since is not None and connections.is_shut_out(target, now)
        lost = target.failing_since is not None or (
            name == group.monitor.primary and target.lost_at is not None
        )
        if silent or lost or shut_out:
            target.next_probe_at = now + PROBE_PAUSE_S
            effects += connections.submit_status_poll(state, group, name, now)
    return effects


def note_reach(group: GroupView, now: float) -> list:
    """Remember since when this VM reaches no majority of a group."""
    cut_off = routing.is_cut_off(group, now)
    if cut_off == (group.cut_off_since is not None):
        return []
    group.cut_off_since = now if cut_off else None
    return [WriteLog('group_lost' if cut_off else 'group_regained', {'group': group.name})]


def is_ready(state: PoolerState) -> bool:
    """Return whether this VM takes new callers."""
    if not sessions.is_configured(state) or state.stopping_since is not None:
        return False
    return all(group.cut_off_since is None for group in state.groups.values())


def is_moving(state: PoolerState, session: CallerSession, now: float) -> bool:
    """Return whether an idle session is closed, so that its caller connects elsewhere."""
    if sessions.is_closing(state, now):
        return True
    route = sessions.find_route(state, session)
    group = state.groups.get(route.group) if route else None
    since = group.cut_off_since if group else None
    return since is not None and now - since > MOVE_AFTER_S


def end_idle_transactions(state: PoolerState, now: float) -> list:
    """End transactions whose caller rests for too long."""
    effects: list = []
    if state.config is None:
        return effects
    for session in list(state.sessions.values()):
        transaction = session.transaction
        if transaction is None or session.current is not None:
            continue
        if now - transaction.last_used_at > state.config.transaction_idle_s:
            effects += endings.release_transaction(state, session, 'idle', now)
    return effects


@handles(PoolerStopping)
def begin_stop(state: PoolerState, event: PoolerStopping, now: float) -> list:
    """Let what is under way end; idle sessions are closed after a moment."""
    if state.stopping_since is None:
        state.stopping_since = now
    return []


def close_idle_sessions(state: PoolerState, now: float) -> list:
    """Close sessions without work while the daemon stops or their group is out of reach."""
    effects: list = []
    for session in list(state.sessions.values()):
        if session.current is not None or session.waiting or not session.accepted:
            continue
        if not is_moving(state, session, now):
            continue
        if session.state is SessionState.IDLE:
            effects += sessions.close_session(state, session)
        elif state.stopping_since is None:
            continue
        elif now - state.stopping_since > TRANSACTION_GRACE_S and session.transaction:
            effects += endings.release_transaction(state, session, 'stopping', now)
    return effects


def is_finished(state: PoolerState, now: float, limit_s: float, flushed: bool) -> bool:
    """Return whether a stopping daemon has nothing left to do.

    Args:
        state: State of the daemon.
        now: Time in seconds.
        limit_s: Seconds that the daemon has after the stop request.
        flushed: Whether all answers have left the process.
    """
    if state.stopping_since is None:
        return False
    waited_s = now - state.stopping_since
    if waited_s > limit_s:
        return True
    return waited_s > sessions.STOP_GRACE_S and not state.sessions and flushed
