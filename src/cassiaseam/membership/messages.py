"""Datagrams, events and effects of the membership role."""

import enum
from dataclasses import dataclass

Address = tuple[str, int]


class MemberStatus(enum.IntEnum):
    """Status of a VM as a daemon sees it; a higher value wins at the same incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class DatagramKind(enum.Enum):
    """Kinds of membership datagrams.

    `PROBE` is a ping without piggybacked records; its ACK has none either.
    """

    PING = 'ping'
    PROBE = 'probe'
    ACK = 'ack'
    PING_REQUEST = 'pingRequest'
    JOIN = 'join'
    PAGE = 'page'


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """State of one VM as daemons exchange it.

    Attributes:
        vm: Name of the VM.
        incarnation: Only the VM itself raises it; a higher value overrides a lower one.
        status: Status at that incarnation.
        leaving: Whether the daemon announced that it is shutting down.
        place: Place of the VM.
        host: IP address.
        port: Peer port, for TCP and UDP.
    """

    vm: str
    incarnation: int
    status: MemberStatus
    place: str
    host: str
    port: int
    leaving: bool = False

    def overrides(self, other: 'MemberRecord') -> bool:
        """Return whether this record is newer than `other` of the same VM."""
        return (self.incarnation, self.status) > (other.incarnation, other.status)

    @property
    def address(self) -> Address:
        """Return the address of the daemon."""
        return (self.host, self.port)


@dataclass(frozen=True, slots=True)
class Datagram:
    """One membership datagram.

    Attributes:
        kind: Kind of request or answer.
        sender: Name of the VM that sent it.
        incarnation: Incarnation of the sender.
        sequence: Sequence number chosen by the pinging daemon; repeated in the ACK.
        subject: VM that was pinged or is to be pinged, or ''.
        digest: Hash of the configuration versions active at the sender.
        updates: Piggybacked records.
        stamp: Timestamp of the sender's hybrid logical clock; set when the datagram is sent.
    """

    kind: DatagramKind
    sender: str
    incarnation: int
    sequence: int = 0
    subject: str = ''
    digest: int = 0
    updates: tuple[MemberRecord, ...] = ()
    stamp: tuple[int, int] = (0, 0)


@dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """Event: a datagram arrived from `address`."""

    datagram: Datagram
    address: Address


@dataclass(frozen=True, slots=True)
class MembershipTick:
    """Event: timer of the failure detector, several times per probe period."""


@dataclass(frozen=True, slots=True)
class ListedVm:
    """One entry of the platform's list.

    Attributes:
        vm: Name of the VM.
        place: Place of the VM.
        host: IP address.
        port: Peer port.
        leaving: Whether the platform is about to remove the VM.
    """

    vm: str
    place: str
    host: str
    port: int
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class VmListReceived:
    """Event: the platform's list of VMs was read."""

    listed: tuple[ListedVm, ...]


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """Event: this daemon shuts down; `done` is set once nothing is in flight."""

    done: bool = False


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Effect: send a datagram to `address`."""

    address: Address
    datagram: Datagram


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """Effect: the status of a VM changed in this daemon's view."""

    record: MemberRecord
    cause: str
