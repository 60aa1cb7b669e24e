"""Event handlers of the relay."""

from cassiaseam.pooler.events import PeersListed, PoolerTick, WriteLog
from cassiaseam.pooler.relay import decisions
from cassiaseam.pooler.relay.events import (
    AcceptRelay,
    IncomingRelayEnded,
    PeerAnswered,
    ProbeRelay,
    RefuseRelay,
    RelayEnded,
    RelayRequested,
    SessionRelayed,
)
from cassiaseam.pooler.state import PoolerState
from cassiaseam.reducer.registry import handles


@handles(RelayRequested)
def answer_relay_request(state: PoolerState, event: RelayRequested, now: float) -> list:
    """Accept the session of a peer if this VM reaches a majority of the group."""
    cause = decisions.find_refusal(state, event.group, event.version, now)
    if cause:
        state.relay.counters['incoming_refused', cause] += 1
        return [RefuseRelay(event.connection_id, cause)]
    state.relay.incoming.add(event.connection_id)
    return [AcceptRelay(event.connection_id, event.version)]


@handles(IncomingRelayEnded)
def end_incoming_relay(state: PoolerState, event: IncomingRelayEnded, now: float) -> list:
    """Remove the connection of a peer."""
    state.relay.incoming.discard(event.connection_id)
    return []


@handles(PeerAnswered)
def apply_peer_answer(state: PoolerState, event: PeerAnswered, now: float) -> list:
    """Record whether a peer accepts sessions, and log a refusal."""
    relay = state.relay
    logged = decisions.is_refusal_logged(relay, event.group, event.vm, now)
    decisions.record_answer(relay, event.group, event.vm, event.cause, event.responded, now)
    if not event.cause:
        return []
    relay.counters['refused', event.cause] += 1
    if not logged:
        return []
    fields = {'peer': event.vm, 'group': event.group, 'cause': event.cause}
    return [WriteLog('relay_refused', fields)]


@handles(SessionRelayed)
def log_relayed_session(state: PoolerState, event: SessionRelayed, now: float) -> list:
    """Count and log a session that a peer accepted."""
    state.relay.counters['relayed', ''] += 1
    fields = {
        'session': event.session_id,
        'group': event.group,
        'peer': event.vm,
        'attempts': event.attempts,
        'took_ms': round(event.took_s * 1000),
    }
    return [WriteLog('session_relayed', fields)]


@handles(RelayEnded)
def end_relay(state: PoolerState, event: RelayEnded, now: float) -> list:
    """Remove, count and log a relayed session that ended."""
    state.relay.outgoing.discard(event.session_id)
    state.relay.counters['ended', event.cause] += 1
    fields = {
        'session': event.session_id,
        'peer': event.vm,
        'cause': event.cause,
        'outstanding': int(event.outstanding),
    }
    return [WriteLog('relay_ended', fields)]


@handles(PoolerTick)
def probe_peers(state: PoolerState, event: PoolerTick, now: float) -> list:
    """Ask peers whether they accept sessions of the groups without a majority."""
    if not state.relay.enabled or state.config is None:
        return []
    effects: list = []
    for group in state.groups.values():
        probes = decisions.choose_probes(state, group, now)
        if probes:
            state.relay.probed_at[group.name] = now
        version = state.config.version
        effects += [ProbeRelay(record, group.name, version) for record in probes]
    return effects


@handles(PeersListed)
def forget_removed_peers(state: PoolerState, event: PeersListed, now: float) -> list:
    """Remove what is known about VMs without a record."""
    listed = {record.vm for record in event.records}
    relay = state.relay
    relay.unresponsive = {
        vm: backoff for vm, backoff in relay.unresponsive.items() if vm in listed
    }
    relay.refusing_until = {
        key: until for key, until in relay.refusing_until.items() if key[1] in listed
    }
    relay.accepting_until = {
        group: {vm: until for vm, until in accepting.items() if vm in listed}
        for group, accepting in relay.accepting_until.items()
    }
    return []
