"""Executors of the effects of membership, the time line and the platform records."""

import time

from absl import logging

from cassiaseam.configuration.model import OwnershipChanged
from cassiaseam.daemon.node import Node, executes
from cassiaseam.daemon.target_service import TargetService
from cassiaseam.membership.messages import MemberChanged, SendDatagram
from cassiaseam.peers.datagrams import MembershipProtocol
from cassiaseam.reducer.common import RecordTimeline
from cassiaseam.reducer.target_io import (
    ClaimTerm,
    RecordPrimary,
    TermClaim,
    TermClaimAnswered,
)
from cassiaseam.timeline.buffer import TimelineBuffer


@executes(OwnershipChanged)
def change_ownership(node: Node, effect: OwnershipChanged) -> None:
    """Tell the group and owner roles that this daemon owns a database or no longer does."""
    logging.info('event=ownership_changed database=%s owns=%s', effect.database, effect.owns)
    node.dispatch(effect)
    if not effect.owns:
        node.services[TargetService].close_channels(effect.database)


@executes(SendDatagram)
def send_datagram(node: Node, effect: SendDatagram) -> None:
    """Send a membership datagram."""
    protocol = node.services.get(MembershipProtocol)
    if protocol is not None:
        protocol.send(effect.address, effect.datagram)


@executes(MemberChanged)
def log_member_change(node: Node, effect: MemberChanged) -> None:
    """Log a change in the view of the members."""
    record = effect.record
    logging.info(
        'event=member_changed vm=%s status=%s leaving=%s cause=%r',
        record.vm,
        record.status.name.lower(),
        record.leaving,
        effect.cause,
    )


@executes(RecordTimeline)
def record_timeline(node: Node, effect: RecordTimeline) -> None:
    """Put a decision on the time line."""
    buffer = node.services.get(TimelineBuffer)
    if buffer is not None:
        buffer.append_record(effect.record, time.time())


@executes(ClaimTerm)
def refuse_term_claim(node: Node, effect: ClaimTerm) -> None:
    """Answer that the platform is unavailable, which a daemon without a platform always is."""
    node.dispatch(TermClaimAnswered(effect.database, effect.term, TermClaim.UNAVAILABLE))


@executes(RecordPrimary)
def skip_primary_record(node: Node, effect: RecordPrimary) -> None:
    """Leave the primary unrecorded on a daemon without a platform."""
