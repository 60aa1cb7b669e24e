"""Backoff from a replica that lags behind the position that reads need.

Load pattern: replicas apply their log several seconds late, while reads accept data of 1.5 s. Each
VM offered its reads to every replica again after a fixed short time: 800 refusals a second in one
deployment, most of them on a new connection that occupies a slot of the replica.
"""

# Seconds for which a replica is avoided after its first refusal, and their maximum as they double.
MIN_BACKOFF_S = 0.15
MAX_BACKOFF_S = 1.2


def find_backoff_s(refusals: int, adaptive: bool) -> float:
    """Return for how many seconds reads that need a later position avoid a replica.

    Args:
        refusals: Reads that it refused in a row because it lags behind.
        adaptive: Whether the time grows with the refusals.
    """
    if not adaptive:
        return MIN_BACKOFF_S
    return min(MIN_BACKOFF_S * 2 ** min(max(refusals - 1, 0), 10), MAX_BACKOFF_S)
