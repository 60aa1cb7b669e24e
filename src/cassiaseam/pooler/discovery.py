"""Applies configuration and target records from the store."""

import dataclasses

from cassiaseam.pooler import connections, quorum, sessions, targets
from cassiaseam.pooler.accounts import revocation
from cassiaseam.pooler.admission import headroom
from cassiaseam.pooler.events import (
    ConfigurationRead,
    StoreReachability,
    TargetChanged,
    TargetRemoved,
    TargetsListed,
    WriteLog,
)
from cassiaseam.pooler.model import RoutingConfig, TargetRecord
from cassiaseam.pooler.relay import versions
from cassiaseam.pooler.state import GroupView, PoolerState, TargetState
from cassiaseam.pooler.store_era import get_store_era
from cassiaseam.pooler.target_use.causes import CloseCause, PollCause
from cassiaseam.reducer.registry import handles

# Seconds after which a target whose record is missing is removed.
MISSING_TARGET_TIMEOUT_S = 5.0
# Targets that announced their leave and are gone, of which a restore may bring back the record.
MAX_DEPARTED_TARGETS = 1000


@handles(ConfigurationRead)
def apply_configuration(state: PoolerState, event: ConfigurationRead, now: float) -> list:
    """Apply a configuration unless it is as old as the current one or older."""
    if state.config is not None and event.config.version <= state.config.version:
        if event.config.version == state.config.version:
            return []
        fields = {'version': event.config.version, 'in_force': state.config.version}
        return [WriteLog('configuration_ignored', fields)]
    config, kept = keep_accounts(state.config, event.config)
    state.config = config
    log = WriteLog(
        'configuration_applied',
        {'version': event.config.version, 'routes': len(event.config.routes)},
    )
    effects = [log, *kept, *revocation.close_unused_connections(state)]
    effects += revocation.apply_accounts(state, now)
    effects += versions.apply_version(state)
    return effects + sessions.resolve_pending_sessions(state, now)


def keep_accounts(
    known: RoutingConfig | None, read: RoutingConfig
) -> tuple[RoutingConfig, list[WriteLog]]:
    """Keep the accounts in force if a configuration has none, and log it.

    A configuration without accounts would admit every caller. An empty list of accounts admits
    none.
    """
    if known is None or known.accounts is None or read.accounts is not None:
        return read, []
    log = WriteLog('accounts_kept', {'version': read.version, 'in_force': known.version})
    return dataclasses.replace(read, accounts=known.accounts), [log]


@handles(TargetsListed)
def apply_target_list(state: PoolerState, event: TargetsListed, now: float) -> list:
    """Apply all records, and mark targets without one as missing."""
    effects: list = []
    era = get_store_era(state)
    is_restored = state.targets_known and state.target_list_era != era
    state.target_list_era = era
    names = {record.name for record in event.records}
    for record in event.records:
        if is_restored and is_superseded(state, record):
            effects.append(build_target_log('target_record_superseded', record))
        else:
            effects.extend(apply_record(state, record, now))
    for name in list(state.target_groups):
        if name not in names:
            effects += mark_missing(state, name, now)
    state.targets_known = True
    return effects + sessions.resolve_pending_sessions(state, now)


def is_superseded(state: PoolerState, record: TargetRecord) -> bool:
    """Return whether a record in the first list after a restore is older than what is known.

    A target that announced its leave serves no new requests until it ends, so a record of the same
    incarnation that does not say so was written before. A later change of the record counts.
    """
    if state.departed.get(record.name) == record.incarnation:
        return True
    group = state.groups.get(state.target_groups.get(record.name, ''))
    if group is None:
        return False
    known = group.targets[record.name].record
    return known.leaving and not record.leaving and known.incarnation == record.incarnation


@handles(TargetChanged)
def apply_target_change(state: PoolerState, event: TargetChanged, now: float) -> list:
    """Apply a changed record."""
    return apply_record(state, event.record, now)


@handles(TargetRemoved)
def apply_target_removal(state: PoolerState, event: TargetRemoved, now: float) -> list:
    """Mark a target whose record was removed as missing."""
    return mark_missing(state, event.name, now)


@handles(StoreReachability)
def handle_store_contact(state: PoolerState, event: StoreReachability, now: float) -> list:
    """Record whether the store is reachable."""
    if state.store_reachable == event.reachable:
        return []
    state.store_reachable = event.reachable
    if event.reachable:
        # Targets get the full timeout again to renew records that expired during the outage.
        state.sizes.differing.clear()
        for group in state.groups.values():
            for target in group.targets.values():
                if target.missing_since is not None:
                    target.missing_since = now
    return [WriteLog('store_regained' if event.reachable else 'store_lost', {})]


def apply_record(state: PoolerState, record: TargetRecord, now: float) -> list:
    """Add a target or update it."""
    group = state.groups.get(record.group)
    if group is None:
        group = GroupView(record.group, quorum.build_monitor(record.group))
        group.floor = state.sizes.find_record(record.group).size
        state.groups[record.group] = group
    former_group = state.target_groups.get(record.name)
    effects: list = []
    if former_group not in {None, record.group}:
        effects += remove_target(state, record.name, now)
    target = group.targets.get(record.name)
    if target is None:
        return effects + add_target(state, group, record, now)
    known = target.record
    target.record = record
    target.missing_since = None
    if (record.incarnation, record.host, record.port) != (
        known.incarnation,
        known.host,
        known.port,
    ):
        effects += reset_restarted_target(state, group, target, now)
    track_leaving(target, now)
    if record.leaving and not known.leaving:
        effects.append(build_target_log('target_leaving', record))
    if record.is_primary != known.is_primary or record.leaving != known.leaving:
        effects += refresh_role(state, group, target, now)
    return effects


def refresh_role(state: PoolerState, group: GroupView, target: TargetState, now: float) -> list:
    """Poll the role of a target, or only reset the known primary while the group is not in use.

    Load pattern: after a promotion all VMs learn of the new primary at the same moment. If each of
    them connected at once, VMs without a statement would use up its connections.
    """
    name = target.record.name
    if target.connections or group.operations or group.promotion is not None:
        return connections.submit_status_poll(state, group, name, PollCause.ROLE_CHANGE, now)
    if target.record.is_primary != (name == group.monitor.primary):
        group.monitor.primary = ''
    return []


def add_target(state: PoolerState, group: GroupView, record: TargetRecord, now: float) -> list:
    """Add a target to its group."""
    target = TargetState(
        record, reported_connections=headroom.find_initial_connection_count(state)
    )
    group.targets[record.name] = target
    if state.targets_known and not group.floor and not record.leaving:
        target.joined_at = now
    track_leaving(target, now)
    state.target_groups[record.name] = group.name
    quorum.mark_new_targets(group, state.sizes.find_record(group.name).size, now)
    quorum.refresh_members(group, now)
    return [build_target_log('target_added', record)]


def track_leaving(target: TargetState, now: float) -> None:
    """Track since when a target is leaving."""
    if not target.record.leaving:
        target.leaving_since = None
    elif target.leaving_since is None:
        target.leaving_since = now


def reset_restarted_target(
    state: PoolerState, group: GroupView, target: TargetState, now: float
) -> list:
    """Discard the state and the connections of the former incarnation of a target."""
    name = target.record.name
    effects = [build_target_log('target_restarted', target.record)]
    was_in_use = bool(target.connections)
    cause = CloseCause.TARGET_RESTARTED
    effects += close_connections(state, group, target, cause, now)
    count = headroom.find_initial_connection_count(state)
    fresh = TargetState(target.record, reported_connections=count)
    track_leaving(fresh, now)
    fresh.joined_at = target.joined_at
    fresh.history = target.history
    fresh.fence = target.fence
    fresh.distrusted_until = now + quorum.RESTART_DISTRUST_S
    group.targets[name] = fresh
    quorum.reset_status(group, name)
    if was_in_use or group.operations:
        poll_cause = PollCause.TARGET_RESTART
        effects += connections.submit_status_poll(state, group, name, poll_cause, now)
    return effects


def mark_missing(state: PoolerState, name: str, now: float) -> list:
    """Mark a target as missing; its record may come back after an outage of the store."""
    group = state.groups.get(state.target_groups.get(name, ''))
    target = group.targets.get(name) if group else None
    if target is None or target.missing_since is not None:
        return []
    target.missing_since = now
    return [build_target_log('target_missing', target.record)]


def remove_missing_targets(state: PoolerState, group: GroupView, now: float) -> list:
    """Remove targets whose records have been missing for `MISSING_TARGET_TIMEOUT_S`."""
    effects: list = []
    for name, target in list(group.targets.items()):
        missing = target.missing_since
        if (
            missing is not None
            and now - missing > MISSING_TARGET_TIMEOUT_S
            and state.store_reachable
        ):
            effects += remove_target(state, name, now)
    quorum.refresh_members(group, now)
    return effects


def remove_target(state: PoolerState, name: str, now: float) -> list:
    """Close the connections to a target and remove it."""
    group = state.groups[state.target_groups.pop(name)]
    target = group.targets[name]
    effects = [build_target_log('target_removed', target.record)]
    cause = CloseCause.TARGET_REMOVED
    effects += close_connections(state, group, target, cause, now)
    del group.targets[name]
    if target.record.leaving:
        state.departed[name] = target.record.incarnation
        if len(state.departed) > MAX_DEPARTED_TARGETS:
            del state.departed[next(iter(state.departed))]
    if target.record.leaving and group.size > len(group.targets):
        group.size -= 1
    if group.monitor.primary == name:
        group.monitor.primary = ''
    quorum.refresh_members(group, now)
    return effects


def close_connections(
    state: PoolerState, group: GroupView, target: TargetState, cause: CloseCause, now: float
) -> list:
    """Close all connections to a target and fail their jobs."""
    effects: list = []
    jobs = []
    reason = cause.value.replace('_', ' ')
    for connection in list(target.connections.values()):
        effects += connections.close_connection(state, target, connection, cause)
        if connection.job is not None:
            jobs.append(connection.job)
    # Prevents further jobs from being queued at the target while its jobs fail.
    target.unreachable_since = now
    target.connect_backoff_until = now + connections.RECONNECT_BACKOFF_S
    effects += targets.fail_queued_jobs(state, group, target, reason, now)
    for job in jobs:
        effects.extend(targets.fail_job(state, group, job, reason, now))
    return effects


def build_target_log(kind: str, record: TargetRecord) -> WriteLog:
    """Return the log line for a change of a target."""
    return WriteLog(
        kind,
        {
            'target': record.name,
            'group': record.group,
            'address': f'{record.host}:{record.port}',
            'place': record.place,
            'primary': record.is_primary,
            'leaving': record.leaving,
        },
    )
