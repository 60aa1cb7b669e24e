"""Backoff of status polls that a target is too busy to answer.

Load pattern: a target whose queue is full answers BUSY to polls as well. Each answer resumes the
reads that wait for a status, and each of them polls again: a poll per round trip from every VM,
which keeps the queue full. In one deployment, 123 VMs sent 17,000 polls a second.
"""

from cassiaseam.pooler.commands import TargetFailure, TargetReply
from cassiaseam.pooler.state import PoolerState, TargetState

# Mean backoff in seconds after the first BUSY; it doubles with each further one up to the longest.
# A full queue of 16 statements of 9 ms drains from two slots in 0.07 s.
MIN_BACKOFF_S = 0.02
LONGEST_BACKOFF_S = 0.08
# The same with many VMs: the longest mean backoff grows with their number, so that together they
# send a busy target no more than `MAX_POLLS_PER_S`, until its jitter reaches 0.25 s.
LONGEST_SHARED_BACKOFF_S = 1 / 6
MAX_POLLS_PER_S = 240
# Doublings of the interval between probes of a busy target for its connection count.
MAX_PROBE_DOUBLINGS = 2
# Seconds after the end of its backoff for which a target still counts as busy. They cover the next
# poll; a target that answers nothing any more is not busy.
BUSY_EVIDENCE_S = 0.06


def record_poll_reply(
    state: PoolerState, target: TargetState, reply: TargetReply, now: float
) -> None:
    """Start, extend or end the backoff of a target that replied to a poll."""
    if reply.failure is not TargetFailure.BUSY:
        target.busy_polls = 0
        return
    backoff_s = MIN_BACKOFF_S
    if target.busy_polls:
        backoff_s = min(target.poll_backoff_s * 2, find_longest_backoff_s(len(state.peers) + 1))
    target.poll_backoff_s = backoff_s
    target.busy_polls += 1
    target.next_poll_at = now + backoff_s * (0.5 + state.rng.random())


def find_longest_backoff_s(vms: int) -> float:
    """Return the longest mean backoff in seconds.

    Load pattern: each of many VMs polls the same busy primary to confirm its reads.
    """
    return min(max(LONGEST_BACKOFF_S, vms / MAX_POLLS_PER_S), LONGEST_SHARED_BACKOFF_S)


def find_probe_delay_s(target: TargetState, interval_s: float) -> float:
    """Return by how many seconds the next probe for a connection count is delayed.

    Load pattern: all VMs were refused by a target that is then too busy to report its connections.

    Args:
        target: The target.
        interval_s: Interval in seconds between probes of a target that is not busy.
    """
    return interval_s * (2 ** min(target.busy_polls, MAX_PROBE_DOUBLINGS) - 1)


def is_backing_off(target: TargetState, now: float) -> bool:
    """Return whether a target was too busy for the latest poll and is not polled again yet."""
    return target.busy_polls > 0 and now < target.next_poll_at


def is_busy(target: TargetState, now: float) -> bool:
    """Return whether a target was too busy for the latest poll, a short time ago."""
    return target.busy_polls > 0 and now < target.next_poll_at + BUSY_EVIDENCE_S
