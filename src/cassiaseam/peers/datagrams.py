"""Codec and UDP protocol of membership datagrams."""

from collections import Counter
from collections.abc import Callable
from typing import Any

from absl import logging
from twisted.internet.protocol import DatagramProtocol

from cassiaseam.membership.messages import (
    Address,
    Datagram,
    DatagramKind,
    MemberRecord,
    MemberStatus,
)
from cassiaseam.peers.schema import load_schema
from cassiaseam.peers.stamps import NO_STAMP, MessageStamps
from cassiaseam.timeline.clock import Stamp

MAX_DATAGRAM_BYTES = 1200
_STATUS_NAMES = {status: status.name.lower() for status in MemberStatus}
_STATUS_BY_NAME = {name: status for status, name in _STATUS_NAMES.items()}


class MalformedDatagram(Exception):
    """Received bytes are not a valid membership datagram."""


def encode_datagram(datagram: Datagram, stamp: Stamp = NO_STAMP) -> bytes:
    """Encode a datagram and the stamp of its sender in packed form."""
    message = load_schema().Datagram.new_message(
        kind=datagram.kind.value,
        sender=datagram.sender,
        incarnation=datagram.incarnation,
        sequence=datagram.sequence,
        subject=datagram.subject,
        digest=datagram.digest,
        stampMs=stamp[0],
        stampCounter=stamp[1],
    )
    listed = message.init('updates', len(datagram.updates))
    for index, record in enumerate(datagram.updates):
        _fill_record(listed[index], record)
    return message.to_bytes_packed()


def _fill_record(target: Any, record: MemberRecord) -> None:
    target.vm = record.vm
    target.incarnation = record.incarnation
    target.status = _STATUS_NAMES[record.status]
    target.leaving = record.leaving
    target.place = record.place
    target.host = record.host
    target.port = record.port


def _read_record(source: Any) -> MemberRecord:
    return MemberRecord(
        vm=source.vm,
        incarnation=source.incarnation,
        status=_STATUS_BY_NAME[str(source.status)],
        place=source.place,
        host=source.host,
        port=source.port,
        leaving=source.leaving,
    )


def decode_datagram(encoded: bytes) -> Datagram:
    """Decode a packed datagram.

    Raises:
        MalformedDatagram: The datagram is too long or invalid.
    """
    if len(encoded) > MAX_DATAGRAM_BYTES:
        raise MalformedDatagram(f'{len(encoded)} bytes')
    try:
        return _read_datagram(load_schema().Datagram.from_bytes_packed(encoded))
    except Exception as error:
        raise MalformedDatagram(f'{len(encoded)} bytes: {error}') from error


def _read_datagram(source: Any) -> Datagram:
    return Datagram(
        kind=DatagramKind(str(source.kind)),
        sender=source.sender,
        incarnation=source.incarnation,
        sequence=source.sequence,
        subject=source.subject,
        digest=source.digest,
        updates=tuple(_read_record(record) for record in source.updates),
        stamp=(source.stampMs, source.stampCounter),
    )


class MembershipProtocol(DatagramProtocol):
    """UDP protocol of the membership role.

    Attributes:
        on_datagram: Called with `(datagram, address)`.
        stamps: Stamps outgoing datagrams and advances the clock by incoming ones.
        counters: `datagrams_sent`, `datagrams_received`, `datagram_bytes_sent`,
            `malformed_datagrams`.
    """

    def __init__(
        self,
        on_datagram: Callable[[Datagram, Address], None],
        stamps: MessageStamps | None = None,
    ):
        self.on_datagram = on_datagram
        self.stamps = stamps or MessageStamps()
        self.counters: Counter[str] = Counter()

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Decode one datagram; a malformed one is counted and dropped."""
        self.counters['datagrams_received'] += 1
        try:
            decoded = decode_datagram(datagram)
        except MalformedDatagram as error:
            self.counters['malformed_datagrams'] += 1
            logging.warning('event=malformed_datagram address=%s reason=%r', addr, str(error))
            return
        self.stamps.observe(decoded.stamp)
        self.on_datagram(decoded, (addr[0], addr[1]))

    def send(self, address: Address, datagram: Datagram) -> None:
        """Send a datagram; a send error is treated as packet loss."""
        encoded = encode_datagram(datagram, self.stamps.issue())
        self.counters['datagrams_sent'] += 1
        self.counters['datagram_bytes_sent'] += len(encoded)
        if self.transport is None:
            return
        try:
            self.transport.write(encoded, address)
        except OSError as error:
            self.counters['datagrams_not_sent'] += 1
            logging.warning('event=datagram_not_sent address=%s reason=%r', address, str(error))
