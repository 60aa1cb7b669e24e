"""Periodic work on each tick, readiness, and shutdown."""

import traceback

from cassiaseam.pooler import (
    completion,
    connections,
    discovery,
    failover,
    group_size_sync,
    operations,
    routing,
    sample_sharing,
    sessions,
    targets,
)
from cassiaseam.pooler.accounts import full_targets, grace
from cassiaseam.pooler.admission import placement, poll_backoff, shedding
from cassiaseam.pooler.commands import SessionState
from cassiaseam.pooler.events import PoolerStopping, PoolerTick, WriteLog
from cassiaseam.pooler.relay.decisions import find_close_delay_s
from cassiaseam.pooler.state import CallerSession, GroupView, PoolerState, TargetState
from cassiaseam.pooler.target_use.causes import PollCause
from cassiaseam.reducer.registry import handles

# Interval in seconds between ticks while statements, polls or promotions are in progress. Ticks
# expire and retry them, so this bounds the delay.
TICK_INTERVAL_S = 0.02
# Interval in seconds between ticks while nothing is in progress, and minimum interval between
# sweeps of an idle group.
IDLE_TICK_INTERVAL_S = 0.1
IDLE_SWEEP_INTERVAL_S = 0.08
# Maximum delay of a tick in seconds. After a longer one, measured silence is no evidence that a
# target is down.
MAX_TICK_DELAY_S = 0.4
# Seconds without a reply after which a target is probed for its status, and the interval between
# probes.
PROBE_DELAY_S = 0.25
PROBE_INTERVAL_S = 0.25
# Seconds without a majority of a group after which its idle sessions are closed. The load balancer
# has removed the VM by then.
CLOSE_SESSIONS_AFTER_S = 2.2
# Seconds after the stop request within which open transactions have to end.
TRANSACTION_GRACE_S = 3.0


@handles(PoolerTick)
def handle_tick(state: PoolerState, event: PoolerTick, now: float) -> list:
    """Sweep the groups that are due, and close idle transactions and sessions."""
    effects = sessions.resolve_pending_sessions(state, now) + group_size_sync.check_records(
        state, now
    )
    if event.suspended_s > MAX_TICK_DELAY_S:
        reset_silence_timers(state, now)
        effects.append(WriteLog('process_resumed', {'pause_ms': round(event.suspended_s * 1000)}))
    for group in list(state.groups.values()):
        if not is_sweep_due(group, now):
            continue
        group.swept_at = now
        try:
            effects += sweep_group(state, group, now)
        except Exception:
            # An error in one group must not affect the other groups or the next tick.
            fields = {'group': group.name, 'cause': traceback.format_exc(), 'level': 'error'}
            effects.append(WriteLog('group_sweep_failed', fields))
    effects += grace.end_changed_sessions(state, now)
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
        effects += full_targets.fail_stranded_jobs(state, group, target, now)
    sample_sharing.expire_sample_requests(state, group, now)
    effects += sample_sharing.poll_for_waiters(state, group, now)
    effects += shedding.refuse_hopeless_operations(state, group, now)
    effects += operations.expire_operations(state, group, now)
    effects += probe_targets(state, group, now)
    effects += placement.log_avoided_targets(state, group, now)
    effects += failover.check_primary(state, group, now)
    return effects + update_majority_reachability(group, now)


def is_sweep_due(group: GroupView, now: float) -> bool:
    """Return whether a group is swept now: on every tick while active, otherwise rarely.

    Load pattern: many groups per VM, most of which are idle at any given moment.
    """
    return is_active(group) or now - group.swept_at >= IDLE_SWEEP_INTERVAL_S


def is_active(group: GroupView) -> bool:
    """Return whether a group has work in progress that a tick may have to expire or retry."""
    if group.operations or group.sample_waiters or group.promotion is not None:
        return True
    if group.sample_request is not None and not group.sample_request.expired:
        return True
    if group.without_primary_since is not None:
        return True
    return any(
        target.queue or target.silent_since is not None or target.unreachable_since is not None
        for target in group.targets.values()
    )


def find_tick_interval_s(state: PoolerState) -> float:
    """Return the interval in seconds until the next tick."""
    if state.stopping_since is not None or any(
        is_active(group) for group in state.groups.values()
    ):
        return TICK_INTERVAL_S
    waiting = any(not session.accepted for session in state.sessions.values())
    waiting = waiting or bool(state.accounts.changed_since)
    return TICK_INTERVAL_S if waiting else IDLE_TICK_INTERVAL_S


def reset_silence_timers(state: PoolerState, now: float) -> None:
    """Restart the silence timers after this process was suspended."""
    for group in state.groups.values():
        for target in group.targets.values():
            if target.silent_since is not None:
                target.silent_since = now
            if target.unreachable_since is not None:
                target.unreachable_since = now


def probe_targets(state: PoolerState, group: GroupView, now: float) -> list:
    """Poll the status of targets that are silent, unreachable or disconnected."""
    effects: list = []
    for name, target in group.targets.items():
        if target.status_job is not None or now < target.next_probe_at:
            continue
        silent = target.silent_since is not None and now - target.silent_since > PROBE_DELAY_S
        # While a majority is reachable, a full target is retried only when a statement needs it.
        at_limit = (
            group.majority_unreachable_since is not None
            and connections.is_at_connection_limit(target, now)
        )
        lost = target.unreachable_since is not None or (
            name == group.monitor.primary and target.disconnected_at is not None
        )
        causes = {
            PollCause.SILENT_TARGET: silent,
            PollCause.UNREACHABLE_TARGET: lost,
            PollCause.FULL_TARGET: at_limit,
            PollCause.UNKNOWN_CONNECTION_COUNT: is_count_probe_due(target, now),
        }
        cause = next((it for it, holds in causes.items() if holds), None)
        if cause is not None:
            target.next_probe_at = now + PROBE_INTERVAL_S
            effects += connections.submit_status_poll(state, group, name, cause, now)
    return effects


def is_count_probe_due(target: TargetState, now: float) -> bool:
    """Return whether a target is probed for its connection count, which is not urgent."""
    if poll_backoff.is_backing_off(target, now):
        return False
    due_at = target.next_probe_at + poll_backoff.find_probe_delay_s(target, PROBE_INTERVAL_S)
    return now >= due_at and connections.is_usage_unknown(target, now)


def update_majority_reachability(group: GroupView, now: float) -> list:
    """Update since when this VM reaches no majority of a group, and log changes."""
    cut_off = routing.is_majority_unreachable(group, now)
    if cut_off == (group.majority_unreachable_since is not None):
        return []
    group.majority_unreachable_since = now if cut_off else None
    return [WriteLog('group_lost' if cut_off else 'group_regained', {'group': group.name})]


def is_ready(state: PoolerState) -> bool:
    """Return whether this VM is ready for new callers."""
    if not sessions.is_configured(state) or state.stopping_since is not None:
        return False
    return all(group.majority_unreachable_since is None for group in state.groups.values())


def should_close_session(state: PoolerState, session: CallerSession, now: float) -> bool:
    """Return whether to close an idle session, so that its caller reconnects to another VM."""
    if sessions.is_closing_sessions(state, now) or sessions.is_relay_outdated(state, session):
        return True
    route = sessions.find_route(state, session)
    group = state.groups.get(route.group) if route else None
    since = group.majority_unreachable_since if group else None
    if since is None:
        return False
    delay_s = find_close_delay_s(
        state.relay, group.name, session.session_id, CLOSE_SESSIONS_AFTER_S, now
    )
    return now - since > delay_s


def end_idle_transactions(state: PoolerState, now: float) -> list:
    """Roll back transactions that exceed the idle timeout."""
    effects: list = []
    if state.config is None:
        return effects
    for session in list(state.sessions.values()):
        transaction = session.transaction
        if transaction is None or session.current is not None:
            continue
        if now - transaction.last_used_at > state.config.transaction_idle_s:
            effects += completion.release_transaction(state, session, 'idle', now)
    return effects


@handles(PoolerStopping)
def begin_shutdown(state: PoolerState, event: PoolerStopping, now: float) -> list:
    """Begin a graceful shutdown; idle sessions are closed after `sessions.STOP_GRACE_S`.

    Statements that are outstanding, and those that arrive later, get their final answer before the
    process ends, also if their own deadline is later.
    """
    if state.stopping_since is not None:
        return []
    state.stopping_since = now
    state.answer_by = now + event.answer_within_s
    for group in state.groups.values():
        for operation in group.operations:
            operation.deadline = min(operation.deadline, state.answer_by)
    return []


def close_idle_sessions(state: PoolerState, now: float) -> list:
    """Close idle sessions while the daemon stops or no majority of their group is reachable."""
    effects: list = []
    for session in list(state.sessions.values()):
        if session.current is not None or session.waiting or not session.accepted:
            continue
        if not should_close_session(state, session, now):
            continue
        if session.state is SessionState.IDLE:
            effects += sessions.close_session(state, session)
        elif state.stopping_since is None:
            continue
        elif now - state.stopping_since > TRANSACTION_GRACE_S and session.transaction:
            effects += completion.release_transaction(state, session, 'stopping', now)
    return effects


def is_shutdown_complete(state: PoolerState, now: float, limit_s: float, flushed: bool) -> bool:
    """Return whether a stopping daemon may exit.

    Args:
        state: State of the daemon.
        now: Monotonic time in seconds.
        limit_s: Maximum time in seconds after the stop request.
        flushed: Whether all answers were flushed to their callers.
    """
    if state.stopping_since is None:
        return False
    waited_s = now - state.stopping_since
    if waited_s > limit_s:
        return True
    return waited_s > sessions.STOP_GRACE_S and not state.sessions and flushed
