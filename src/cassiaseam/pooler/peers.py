"""Peers: the other VMs of the deployment, as the store lists them.

A list may be stale and contain VMs that no longer run. It is only used to choose whom to ask; a
peer that does not respond is skipped during a backoff period.
"""

import zlib

from cassiaseam.pooler.events import PeersListed
from cassiaseam.pooler.peer_state import PeerState
from cassiaseam.pooler.state import PoolerState
from cassiaseam.reducer.registry import handles

# Backoff of a peer that did not respond; it doubles with each consecutive failure.
INITIAL_BACKOFF_S = 2.0
MAX_BACKOFF_S = 30.0
# Doublings after which the backoff has reached its maximum; 2**1024 does not fit into a float.
MAX_DOUBLINGS = 4


@handles(PeersListed)
def apply_peer_list(state: PoolerState, event: PeersListed, now: float) -> list:
    """Replace the list of peers, keeping the state of those whose record is unchanged."""
    known = state.peers
    state.peers = {}
    for record in event.records:
        if record.vm == state.vm:
            continue
        peer = known.get(record.vm)
        if peer is None or peer.record != record:
            peer = PeerState(record)
        state.peers[record.vm] = peer
    return []


def choose_sampler(state: PoolerState, group: str, now: float) -> PeerState | None:
    """Return the peer of this place that samples a group for the others, or None for this VM.

    This is rendezvous hashing: all VMs of a place compute the same ranks and choose the same VM.
    """
    own_rank = rank_vm(state.vm, group)
    best: PeerState | None = None
    best_rank = own_rank
    for peer in state.peers.values():
        if peer.record.place != state.place or now < peer.backoff_until:
            continue
        rank = rank_vm(peer.record.vm, group)
        if rank > best_rank:
            best, best_rank = peer, rank
    return best


def rank_vm(vm: str, group: str) -> int:
    """Return the rendezvous hash of a VM for a group; it is the same on all VMs."""
    return zlib.crc32(f'{group} {vm}'.encode())


def mark_unresponsive(peer: PeerState, now: float) -> None:
    """Start or extend the backoff of a peer that did not respond."""
    doublings = min(peer.failures, MAX_DOUBLINGS)
    backoff_s = min(INITIAL_BACKOFF_S * 2**doublings, MAX_BACKOFF_S)
    peer.failures += 1
    peer.backoff_until = now + backoff_s


def mark_responsive(peer: PeerState) -> None:
    """Reset the backoff of a peer that responded."""
    peer.failures = 0
    peer.backoff_until = 0
