"""Other VMs of the deployment, as the store lists them.

A list is old and holds VMs that have ended. It only says whom to ask; a VM that does not answer
is passed over for a while.
"""

import zlib

from cassiaseam.pooler.events import PeersListed
from cassiaseam.pooler.peer_state import PeerState
from cassiaseam.pooler.state import PoolerState
from cassiaseam.reducer.registry import handles

# Seconds for which a VM that did not answer is not asked again; they double with each further
# failure up to the longest.
FIRST_PAUSE_S = 2.0
LONGEST_PAUSE_S = 30.0


@handles(PeersListed)
def apply_peer_list(state: PoolerState, event: PeersListed, now: float) -> list:
    """Take over the list of VMs and keep what is known of those that stay."""
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
    """Return the VM of this place that samples a group for the others, or None for this VM.

    All VMs of a place rank each other alike, so that their questions meet at one of them.
    """
    own_rank = rank_vm(state.vm, group)
    best: PeerState | None = None
    best_rank = own_rank
    for peer in state.peers.values():
        if peer.record.place != state.place or now < peer.silent_until:
            continue
        rank = rank_vm(peer.record.vm, group)
        if rank > best_rank:
            best, best_rank = peer, rank
    return best


def rank_vm(vm: str, group: str) -> int:
    """Return the rank of a VM for a group, the same on all VMs."""
    return zlib.crc32(f'{group} {vm}'.encode())


def note_silent(peer: PeerState, now: float) -> None:
    """Pass a VM over for a while that did not answer."""
    pause_s = min(FIRST_PAUSE_S * 2**peer.failures, LONGEST_PAUSE_S)
    peer.failures += 1
    peer.silent_until = now + pause_s


def note_answer(peer: PeerState) -> None:
    """Remember that a VM answers."""
    peer.failures = 0
    peer.silent_until = 0
