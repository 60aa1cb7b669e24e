"""Decisions of the relay: whether to relay a session, to which peers, and when to close others.

Load pattern: a primary and about half of the VMs are partitioned from the replicas for several
seconds. When more than half of the VMs of a data centre are not ready, the load balancer keeps
sending callers to all of them, although a peer reaches a majority.
"""

import zlib

from cassiaseam.pooler import routing
from cassiaseam.pooler.events import PeerRecord
from cassiaseam.pooler.relay.state import RelayState, UnresponsivePeer
from cassiaseam.pooler.state import GroupView, PoolerState

# Peers that are asked for one session. With `service.ATTEMPT_TIMEOUT_S`, a caller waits for at
# most 0.3 s before it is refused.
MAX_ATTEMPTS = 3
# Limit of sessions that a VM relays, and of sessions that peers relay to it. A relayed session
# takes two descriptors and at most 64 kB of buffers; the smallest VMs have 1,600 and 152 MB.
MAX_OUTGOING = 200
MAX_INCOMING = 300
# Seconds for which a peer is not asked again for a group that it has refused. A partition lasts
# several seconds, and a refusal within a data centre takes less than 1 ms.
REFUSED_BACKOFF_S = 1.0
# Seconds without a refusal after which the next one of the same peer and group is logged again.
REFUSAL_LOG_INTERVAL_S = 10.0
# Backoff of a peer that did not answer; it doubles with each consecutive failure.
INITIAL_BACKOFF_S = 1.0
MAX_BACKOFF_S = 30.0
# Seconds for which an acceptance is evidence that the relay works, and interval between probes
# while there is such evidence.
ACCEPTANCE_VALID_S = 2.0
PROBE_INTERVAL_S = 1.0
# Interval between probes while no peer is known to accept sessions. It is a part of the time since
# the group was lost, up to `PROBE_INTERVAL_S`: when no VM reaches a majority for long, 112 VMs
# would otherwise open 3,360 connections per second in vain.
SEARCH_INTERVAL_S = 0.1
SEARCH_INTERVAL_RATIO = 0.25
# Peers that are asked at once while none is known to accept sessions.
PROBES_AT_ONCE = 3
# Seconds without a majority after which idle sessions are closed while the relay works, and the
# time over which these closes are spread, so that callers do not all reconnect at once.
CLOSE_DELAY_S = 0.05
CLOSE_SPREAD_S = 0.3


def choose_relay_peers(
    state: PoolerState, group: GroupView | None, session_id: int, now: float
) -> tuple[PeerRecord, ...]:
    """Return the peers to ask for a new session, or none if it is served here.

    The rank spreads the sessions of one VM over the peers of a data centre. If all peers nearby
    may be in the same partition, the last attempt goes to a peer that is known to accept sessions.
    """
    relay = state.relay
    if not relay.enabled or group is None or group.majority_unreachable_since is None:
        return ()
    if len(relay.outgoing) >= MAX_OUTGOING:
        return ()
    ranked = rank_peers(state, group.name, session_id, now)
    chosen = ranked[:MAX_ATTEMPTS]
    if not any(is_accepting(relay, group.name, record.vm, now) for record in chosen):
        known = [r for r in ranked if is_accepting(relay, group.name, r.vm, now)]
        chosen = chosen[: MAX_ATTEMPTS - 1] + known[:1] if known else chosen
    return tuple(chosen)


def rank_peers(state: PoolerState, group: str, salt: int, now: float) -> list[PeerRecord]:
    """Return the peers that may be asked, nearest first, then by rendezvous rank."""
    records = [
        peer.record
        for peer in state.peers.values()
        if now >= peer.backoff_until and may_ask(state.relay, group, peer.record.vm, now)
    ]
    return sorted(
        records,
        key=lambda record: (
            find_distance(state, record.place),
            zlib.crc32(f'{state.vm} {salt} {record.vm}'.encode()),
        ),
    )


def find_distance(state: PoolerState, place: str) -> int:
    """Return 0 for the data centre of this VM, 1 for another one of its region, otherwise 2."""
    if place == state.place:
        return 0
    return 1 if state.regions.get(place) == state.regions.get(state.place) else 2


def may_ask(relay: RelayState, group: str, vm: str, now: float) -> bool:
    """Return whether a peer is in no backoff of the relay."""
    unresponsive = relay.unresponsive.get(vm)
    if unresponsive is not None and now < unresponsive.until:
        return False
    return now >= relay.refusing_until.get((group, vm), 0)


def is_accepting(relay: RelayState, group: str, vm: str, now: float) -> bool:
    """Return whether a peer accepted sessions of a group recently."""
    return now < relay.accepting_until.get(group, {}).get(vm, 0)


def is_relay_working(relay: RelayState, group: str, now: float) -> bool:
    """Return whether a peer accepted sessions of a group recently and this VM may relay more."""
    if not relay.enabled or len(relay.outgoing) >= MAX_OUTGOING:
        return False
    return any(now < until for until in relay.accepting_until.get(group, {}).values())


def find_close_delay_s(
    relay: RelayState, group: str, session_id: int, default_s: float, now: float
) -> float:
    """Return the seconds without a majority after which an idle session is closed.

    Args:
        relay: State of the relay.
        group: Database group of the session.
        session_id: Number of the session; it spreads the closes.
        default_s: Delay in seconds while the relay does not work.
        now: Monotonic time in seconds.
    """
    if not is_relay_working(relay, group, now):
        return default_s
    spread = zlib.crc32(str(session_id).encode()) / 2**32
    return CLOSE_DELAY_S + spread * CLOSE_SPREAD_S


def choose_probes(state: PoolerState, group: GroupView, now: float) -> list[PeerRecord]:
    """Return the peers to ask now whether they accept sessions of a group without a majority."""
    if not state.relay.enabled or group.majority_unreachable_since is None:
        return []
    working = is_relay_working(state.relay, group.name, now)
    interval_s = find_probe_interval_s(working, now - group.majority_unreachable_since)
    probed_at = state.relay.probed_at.get(group.name)
    if probed_at is not None and now - probed_at < interval_s:
        return []
    ranked = rank_peers(state, group.name, 0, now)
    if working:
        return [r for r in ranked if is_accepting(state.relay, group.name, r.vm, now)][:1]
    return ranked[:PROBES_AT_ONCE]


def find_probe_interval_s(working: bool, lost_s: float) -> float:
    """Return the seconds between probes for a group that was lost `lost_s` seconds ago."""
    if working:
        return PROBE_INTERVAL_S
    return min(max(lost_s * SEARCH_INTERVAL_RATIO, SEARCH_INTERVAL_S), PROBE_INTERVAL_S)


def find_refusal(state: PoolerState, group_name: str, version: int, now: float) -> str:
    """Return why this VM accepts no session of a group from a peer, or '' if it does.

    A peer with another version of the configuration is refused. A caller must not be answered by
    an older version after a newer one.
    """
    group = state.groups.get(group_name)
    if state.stopping_since is not None:
        return 'stopping'
    if group is None or state.config is None:
        return 'unknown_group'
    if version != state.config.version:
        return 'other_version'
    if group.majority_unreachable_since is not None or routing.is_majority_unreachable(group, now):
        return 'group_lost'
    return 'full' if len(state.relay.incoming) >= MAX_INCOMING else ''


def find_answer_refusal(cause: str, asked_version: int, version: int) -> str:
    """Return why a session is not relayed to a peer that answered, or '' if it is.

    Between the request and an acceptance, this VM may apply another version. Its own callers are
    then served under that one, and the accepted session must not be served under the former one.

    Args:
        cause: Why the peer refuses, or '' if it accepts.
        asked_version: Version that the request named.
        version: Version in force on this VM.
    """
    if not cause and asked_version != version:
        return 'other_version'
    return cause


def is_refusal_logged(relay: RelayState, group: str, vm: str, now: float) -> bool:
    """Return whether to log the refusal of a peer: once while it keeps refusing a group."""
    refusing_until = relay.refusing_until.get((group, vm))
    return refusing_until is None or now - refusing_until > REFUSAL_LOG_INTERVAL_S


def record_answer(
    relay: RelayState, group: str, vm: str, cause: str, responded: bool, now: float
) -> None:
    """Record whether a peer accepts sessions of a group; `cause` is '' if it does."""
    if responded:
        relay.unresponsive.pop(vm, None)
    accepting = relay.accepting_until.setdefault(group, {})
    if not cause:
        relay.refusing_until.pop((group, vm), None)
        accepting[vm] = now + ACCEPTANCE_VALID_S
        return
    accepting.pop(vm, None)
    if responded:
        relay.refusing_until[group, vm] = now + REFUSED_BACKOFF_S
        return
    known = relay.unresponsive.get(vm)
    failures = known.failures if known is not None else 0
    backoff_s = min(INITIAL_BACKOFF_S * 2**failures, MAX_BACKOFF_S)
    relay.unresponsive[vm] = UnresponsivePeer(failures + 1, now + backoff_s)


def may_close_relayed(
    stopping_s: float | None,
    outstanding: bool,
    in_transaction: bool,
    grace_s: float,
    transaction_grace_s: float,
    limit_s: float,
) -> bool:
    """Return whether a stopping VM closes a relayed session now.

    A session between an answer and the next statement is closed after the same time as an idle
    session of this VM. One with a statement or a transaction may continue.

    Args:
        stopping_s: Seconds since the stop request, or None.
        outstanding: Whether a statement has no complete answer.
        in_transaction: Whether the latest answer reported an open transaction.
        grace_s: Seconds for which idle sessions stay open.
        transaction_grace_s: Seconds for which open transactions without a statement stay open.
        limit_s: Seconds after which all sessions are closed.
    """
    if stopping_s is None or stopping_s < grace_s:
        return False
    if stopping_s >= limit_s:
        return True
    if outstanding:
        return False
    return not in_transaction or stopping_s >= transaction_grace_s
