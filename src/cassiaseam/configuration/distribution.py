"""Distribution of configuration shards between the store and the daemons.

A daemon that applies a shard sends its versions to a few random members. Members that lack the
shard pull it, so that each daemon receives a document about once. Digests on heartbeats repair
missed updates.
"""

from cassiaseam.configuration.messages import (
    ReadStore,
    SendShards,
    SendVersions,
    SetWatching,
    ShardReceived,
    ShardRejected,
    VersionsReceived,
)
from cassiaseam.configuration.model import DatabaseConfigured, DatabaseRemoved
from cassiaseam.configuration.state import ConfigurationState, Pull, Shard, find_changed
from cassiaseam.membership.messages import HeartbeatReceived, MembershipTick
from cassiaseam.membership.ranking import find_config_watchers
from cassiaseam.membership.state import choose_members
from cassiaseam.peers.messages import EncodedShard
from cassiaseam.reducer.node_state import NodeState
from cassiaseam.reducer.registry import Effect, handles

PUSH_FANOUT = 4
STARTUP_PEER_COUNT = 3
# While a change spreads, digests differ on many heartbeats; one comparison per interval suffices.
COMPARE_INTERVAL_S = 0.5
PULL_TIMEOUT_S = 1.0
WATCH_CHECK_INTERVAL_S = 1.0


@handles(ShardReceived)
def handle_shard(state: NodeState, event: ShardReceived, now: float) -> list[Effect]:
    """Apply a shard if its version is higher, and notify other members."""
    configuration: ConfigurationState = state.configuration
    known = configuration.shards[event.number]
    if event.version <= known.version:
        return []
    names = frozenset(config.name for config in event.databases)
    changed = find_changed(configuration.databases, event.databases)
    removed = sorted(known.names - names)
    for database in removed:
        configuration.databases.pop(database)
    configuration.databases.update((config.name, config) for config in event.databases)
    configuration.shards[event.number] = Shard(event.version, event.document, names)
    configuration.pulls.pop(event.number, None)
    state.membership.digest = configuration.compute_digest()
    effects: list[Effect] = [DatabaseRemoved(name) for name in removed]
    effects.extend(DatabaseConfigured(config) for config in changed)
    effects.extend(push_versions(state, event.source))
    return effects


def push_versions(state: NodeState, source: str) -> list[Effect]:
    """Send the active versions to random members."""
    versions = state.configuration.list_versions()
    chosen = choose_members(state.membership, state.rng, PUSH_FANOUT, {source})
    return [SendVersions(member.vm, versions, wanted=False) for member in chosen]


@handles(ShardRejected)
def handle_rejected_shard(state: NodeState, event: ShardRejected, now: float) -> list[Effect]:
    """Record an unreadable version, so that it is not pulled again."""
    rejected = state.configuration.rejected
    rejected[event.number] = max(event.version, rejected.get(event.number, 0))
    return []


@handles(VersionsReceived)
def handle_versions(state: NodeState, event: VersionsReceived, now: float) -> list[Effect]:
    """Send newer shards that the peer wants, and pull those that are newer at the peer."""
    configuration: ConfigurationState = state.configuration
    pairs = list(zip(configuration.shards, event.versions, strict=False))
    effects: list[Effect] = []
    newer_here = [number for number, (own, other) in enumerate(pairs) if own.version > other]
    if event.wanted and newer_here:
        encoded = (encode_shard(configuration, number) for number in newer_here)
        effects.append(SendShards(event.vm, tuple(encoded)))
    newer_at_peer = [
        number
        for number, (own, other) in enumerate(pairs)
        if other > own.version and may_pull(configuration, number, other, now)
    ]
    for number in newer_at_peer:
        configuration.pulls[number] = Pull(event.versions[number], now)
    if newer_at_peer:
        effects.append(SendVersions(event.vm, configuration.list_versions(), wanted=True))
    return effects


def encode_shard(configuration: ConfigurationState, number: int) -> EncodedShard:
    """Return a shard in the form that peers exchange."""
    shard = configuration.shards[number]
    return EncodedShard(number, shard.version, shard.document)


def may_pull(configuration: ConfigurationState, number: int, version: int, now: float) -> bool:
    """Return whether a version is not known to be unreadable and no pull of it is in flight."""
    if version <= configuration.rejected.get(number, 0):
        return False
    pull = configuration.pulls.get(number)
    if pull is None or version > pull.version:
        return True
    return now - pull.requested_at >= PULL_TIMEOUT_S


@handles(HeartbeatReceived)
def handle_digest(state: NodeState, event: HeartbeatReceived, now: float) -> list[Effect]:
    """Exchange versions with a member whose digest differs."""
    configuration: ConfigurationState = state.configuration
    datagram = event.datagram
    is_known = datagram.sender in state.membership.members
    if not is_known or datagram.digest == state.membership.digest:
        return []
    last = configuration.compared_at
    if last is not None and now - last < COMPARE_INTERVAL_S:
        return []
    configuration.compared_at = now
    return [SendVersions(datagram.sender, configuration.list_versions(), wanted=True)]


@handles(MembershipTick)
def handle_configuration_tick(state: NodeState, event: MembershipTick, now: float) -> list[Effect]:
    """Read from the store and several peers after the start, and update the store watch."""
    configuration: ConfigurationState = state.configuration
    effects: list[Effect] = []
    if not configuration.has_read_store:
        configuration.has_read_store = True
        state.membership.digest = configuration.compute_digest()
        effects.append(ReadStore())
    effects.extend(request_peer_shards(state))
    checked_at = configuration.watch_checked_at
    if checked_at is None or now - checked_at >= WATCH_CHECK_INTERVAL_S:
        configuration.watch_checked_at = now
        effects.extend(update_watching(state))
    return effects


def request_peer_shards(state: NodeState) -> list[Effect]:
    """Request shards from members until `STARTUP_PEER_COUNT` were asked since the start."""
    configuration: ConfigurationState = state.configuration
    missing = STARTUP_PEER_COUNT - len(configuration.asked_peers)
    if missing <= 0:
        return []
    chosen = choose_members(state.membership, state.rng, missing, configuration.asked_peers)
    configuration.asked_peers.update(member.vm for member in chosen)
    versions = configuration.list_versions()
    return [SendVersions(member.vm, versions, wanted=True) for member in chosen]


def update_watching(state: NodeState) -> list[Effect]:
    """Start or stop watching the store, depending on the eligible members of this place."""
    watchers = find_config_watchers(state.membership, state.place)
    is_active = state.vm in watchers
    if is_active == state.configuration.is_watching:
        return []
    state.configuration.is_watching = is_active
    return [SetWatching(is_active)]
