"""Events and effects of the relay. Times are in seconds on the monotonic clock."""

from dataclasses import dataclass

from cassiaseam.pooler.events import PeerRecord


@dataclass(frozen=True, slots=True)
class RelayRequested:
    """Event: a peer asks on a connection whether it may relay a session of a group.

    Attributes:
        connection_id: Connection of the peer.
        group: Database group.
        version: Version of the configuration that the peer has in force.
    """

    connection_id: int
    group: str
    version: int


@dataclass(frozen=True, slots=True)
class IncomingRelayEnded:
    """Event: a connection of a peer was closed."""

    connection_id: int


@dataclass(frozen=True, slots=True)
class PeerAnswered:
    """Event: a peer answered whether it accepts sessions of a group, or did not answer.

    Attributes:
        vm: Name of the peer.
        group: Database group.
        cause: Why it refuses or could not be asked, or '' if it accepts.
        responded: Whether it answered.
    """

    vm: str
    group: str
    cause: str
    responded: bool


@dataclass(frozen=True, slots=True)
class SessionRelayed:
    """Event: a peer accepted a session, and its bytes are passed on.

    Attributes:
        session_id: Session of the caller.
        vm: Name of the peer.
        group: Database group.
        attempts: Number of peers that were asked.
        took_s: Seconds from the request of the caller.
    """

    session_id: int
    vm: str
    group: str
    attempts: int
    took_s: float


@dataclass(frozen=True, slots=True)
class RelayEnded:
    """Event: a relayed session ended, or no peer accepted it.

    Attributes:
        session_id: Session of the caller.
        cause: Which side closed it, or 'no_peer'.
        vm: Name of the peer, or '' if none accepted it.
        outstanding: Whether a statement had no complete answer.
    """

    session_id: int
    cause: str
    vm: str = ''
    outstanding: bool = False


@dataclass(frozen=True, slots=True)
class RelaySession:
    """Effect: relay a session to the first of these peers that accepts it.

    Attributes:
        session_id: Session of the caller.
        group: Database group.
        peers: Peers to ask, in this order.
        version: Version of the configuration in force, which the peer must have too.
    """

    session_id: int
    group: str
    peers: tuple[PeerRecord, ...]
    version: int


@dataclass(frozen=True, slots=True)
class ProbeRelay:
    """Effect: ask a peer whether it accepts sessions of a group."""

    peer: PeerRecord
    group: str
    version: int


@dataclass(frozen=True, slots=True)
class AcceptRelay:
    """Effect: accept the session that a peer relays on a connection under a version."""

    connection_id: int
    version: int


@dataclass(frozen=True, slots=True)
class RefuseRelay:
    """Effect: refuse the session on a connection, and close the connection."""

    connection_id: int
    cause: str
