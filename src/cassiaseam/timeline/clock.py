"""Hybrid logical clock: timestamps that respect causality and stay close to wall time."""

from dataclasses import dataclass

Stamp = tuple[int, int]

MAX_DRIFT_S = 60.0


@dataclass(slots=True)
class HybridClock:
    """Hybrid logical clock of one process.

    Attributes:
        wall_ms: Highest wall time in milliseconds that was observed or issued.
        counter: Logical counter within `wall_ms`.
    """

    wall_ms: int = 0
    counter: int = 0


def issue_stamp(clock: HybridClock, now: float) -> Stamp:
    """Return a timestamp greater than all previously issued or observed ones.

    Args:
        clock: Clock; modified in place.
        now: Wall time in seconds since the epoch; may jump backwards.
    """
    now_ms = int(now * 1000)
    if now_ms > clock.wall_ms:
        clock.wall_ms = now_ms
        clock.counter = 0
    else:
        clock.counter += 1
    return (clock.wall_ms, clock.counter)


def observe_stamp(clock: HybridClock, stamp: Stamp, now: float) -> bool:
    """Advance the clock past the timestamp of a received message.

    Ignores a timestamp more than `MAX_DRIFT_S` ahead: otherwise one VM with a wrong clock would
    move the timestamps of all daemons into the future.

    Args:
        clock: Clock; modified in place.
        stamp: Timestamp of the sender.
        now: Wall time in seconds since the epoch.

    Returns:
        Whether the timestamp was within the allowed drift.
    """
    if stamp[0] > (now + MAX_DRIFT_S) * 1000:
        return False
    clock.wall_ms, clock.counter = max((clock.wall_ms, clock.counter), stamp)
    return True
