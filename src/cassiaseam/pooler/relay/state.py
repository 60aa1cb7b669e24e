"""State of the relay of sessions on one VM."""

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True)
class UnresponsivePeer:
    """Backoff of a peer that did not answer on its relay port.

    Attributes:
        failures: Consecutive connections that failed or were not answered.
        until: Time before which it is not asked.
    """

    failures: int
    until: float


@dataclass(slots=True)
class RelayState:
    """State of the relay.

    It is separate from the backoff of sample requests, because a peer without a relay port
    answers those.

    Attributes:
        enabled: Whether the settings enable the relay.
        outgoing: Sessions that this VM relays to a peer, or tries to.
        incoming: Connections of peers over which they relay sessions to this VM.
        unresponsive: Backoff per peer that did not answer.
        refusing_until: Time before which a peer is not asked for a group that it refused.
        accepting_until: Per group and peer, time until which its acceptance is recent.
        probed_at: Time of the latest probes per group.
        counters: Number of relayed and refused sessions, and of ends per cause.
    """

    enabled: bool = False
    outgoing: set[int] = field(default_factory=set)
    incoming: set[int] = field(default_factory=set)
    unresponsive: dict[str, UnresponsivePeer] = field(default_factory=dict)
    refusing_until: dict[tuple[str, str], float] = field(default_factory=dict)
    accepting_until: dict[str, dict[str, float]] = field(default_factory=dict)
    probed_at: dict[str, float] = field(default_factory=dict)
    counters: Counter[tuple[str, str]] = field(default_factory=Counter)
