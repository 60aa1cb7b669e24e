"""Hybrid logical clock: stamps that respect causality and stay near wall time."""

from dataclasses import dataclass

Stamp = tuple[int, int]

MAX_DRIFT_S = 60.0


@dataclass(slots=True)
class HybridClock:
    """State of the clock of one process.

    Attributes:
        wall_ms: Highest wall time in milliseconds that was seen or issued.
        counter: Number of stamps issued within `wall_ms`.
    """

    wall_ms: int = 0
    counter: int = 0


def issue_stamp(clock: HybridClock, now: float) -> Stamp:
    """Return a stamp above every stamp that was issued or observed before.

    Args:
        clock: Changed in place.
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
    """Advance the clock past a stamp that came with a message.

    A stamp more than `MAX_DRIFT_S` ahead is not adopted: one VM with a wrong clock would
    otherwise move the stamps of all daemons into the future.

    Args:
        clock: Changed in place.
        stamp: Stamp of the sender.
        now: Wall time in seconds since the epoch.

    Returns:
        Whether the stamp was within the allowed drift.
    """
    if stamp[0] > (now + MAX_DRIFT_S) * 1000:
        return False
    clock.wall_ms, clock.counter = max((clock.wall_ms, clock.counter), stamp)
    return True
