"""State of the peers and of the sample requests between VMs."""

from dataclasses import dataclass

from cassiaseam.pooler.events import PeerRecord


@dataclass(slots=True)
class PeerState:
    """State of a peer on this VM.

    Attributes:
        record: Address and place of the peer.
        backoff_until: Time before which no request is sent to it.
        failures: Consecutive requests that it did not answer.
    """

    record: PeerRecord
    backoff_until: float = 0
    failures: int = 0


@dataclass(slots=True)
class SampleRequest:
    """The latest sample request for a group, sent to a peer.

    Attributes:
        nonce: Number that the response must repeat.
        vm: Name of the peer.
        sent_at: Time at which the request was sent.
        expired: Whether the request has timed out.
        busy_until: Time at which the peer is asked again after it answered that the targets are
            too busy, or 0.
    """

    nonce: int
    vm: str
    sent_at: float
    expired: bool = False
    busy_until: float = 0


@dataclass(frozen=True, slots=True)
class SampleWaiter:
    """A peer that waits for a sample of a group.

    Attributes:
        host: IP address of the peer.
        port: UDP port of the peer.
        nonce: Nonce of its request.
        since: Earliest acceptable start time of the sample.
        until: Time at which its request expires.
        accepts_busy: Whether it may be told that the targets are too busy; it has not been yet.
    """

    host: str
    port: int
    nonce: int
    since: float
    until: float
    accepts_busy: bool = False
