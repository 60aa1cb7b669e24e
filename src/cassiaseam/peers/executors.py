"""Executors of effects on peers and the platform."""

from typing import TYPE_CHECKING

from absl import logging

from cassiaseam.configuration.messages import (
    ReadStore,
    SendShards,
    SendVersions,
    SetWatching,
)
from cassiaseam.configuration.model import (
    DatabaseConfigured,
    DatabaseRemoved,
    OwnershipChanged,
)
from cassiaseam.daemon.node import Node, executes
from cassiaseam.daemon.timeline_records import append_to_timeline
from cassiaseam.membership.messages import MemberChanged, SendDatagram
from cassiaseam.messages import TimelineRecord
from cassiaseam.objectstore.terms import claim_term, record_primary
from cassiaseam.peers.messages import ConfigDigest, ConfigShards
from cassiaseam.peers.transport import PeerTransport
from cassiaseam.reducer.common import AnswerRequest
from cassiaseam.reducer.target_io import ClaimTerm, RecordPrimary

if TYPE_CHECKING:
    from cassiaseam.peers.services import PeerServices


def find_services(node: Node) -> 'PeerServices':
    """Return the network services of a node."""
    from cassiaseam.peers.services import PeerServices  # noqa: PLC0415

    return node.services[PeerServices]


@executes(SendDatagram)
def send_datagram(node: Node, effect: SendDatagram) -> None:
    """Send a membership datagram."""
    find_services(node).protocol.send(effect.address, effect.datagram)


@executes(MemberChanged)
def log_member_change(node: Node, effect: MemberChanged) -> None:
    """Log the new status of a VM and record it on the time line."""
    record = effect.record
    status = record.status.name.lower()
    logging.info(
        'event=member_changed vm=%s status=%s leaving=%s incarnation=%d cause=%s',
        record.vm,
        status,
        record.leaving,
        record.incarnation,
        effect.cause,
    )
    fields = {'member': record.vm, 'incarnation': str(record.incarnation)}
    if record.leaving:
        fields['leaving'] = 'yes'
    entry = TimelineRecord(f'member_{status}', cause=effect.cause, fields=fields)
    append_to_timeline(node, entry)


@executes(OwnershipChanged)
def dispatch_ownership(node: Node, effect: OwnershipChanged) -> None:
    """Record a gained or lost database and dispatch the change to the roles of this daemon."""
    logging.info('event=ownership_changed database=%s owns=%s', effect.database, effect.owns)
    kind = 'ownership_gained' if effect.owns else 'ownership_lost'
    append_to_timeline(node, TimelineRecord(kind, effect.database))
    node.dispatch(effect)


@executes(DatabaseConfigured)
def dispatch_configured(node: Node, effect: DatabaseConfigured) -> None:
    """Record a configuration that came into force and dispatch it to all roles."""
    fields = {'version': str(effect.config.version)}
    entry = TimelineRecord('configuration_in_force', effect.config.name, fields=fields)
    append_to_timeline(node, entry)
    node.dispatch(effect)


@executes(DatabaseRemoved)
def dispatch_removed(node: Node, effect: DatabaseRemoved) -> None:
    """Record the removal of a database and dispatch it to all roles."""
    append_to_timeline(node, TimelineRecord('configuration_removed', effect.database))
    node.dispatch(effect)


@executes(AnswerRequest)
def answer_request(node: Node, effect: AnswerRequest) -> None:
    """Send the final answer to the entry daemon of a request."""
    node.services[PeerTransport].send_answer(effect.entry, effect.answer)


@executes(SendVersions)
def send_versions(node: Node, effect: SendVersions) -> None:
    """Send the configuration versions in force to a peer."""
    digest = ConfigDigest(effect.versions, effect.wanted)
    node.services[PeerTransport].send_message(effect.vm, digest)


@executes(SendShards)
def send_shards(node: Node, effect: SendShards) -> None:
    """Send configuration shards to a peer."""
    node.services[PeerTransport].send_message(effect.vm, ConfigShards(effect.shards))


@executes(SetWatching)
def set_watching(node: Node, effect: SetWatching) -> None:
    """Start or stop the watch on the store."""
    find_services(node).loops.set_watching(effect.is_active)


@executes(ReadStore)
def read_store(node: Node, effect: ReadStore) -> None:
    """Read all configuration shards from the store."""
    loops = find_services(node).loops
    loops.start_task(loops.read_store())


@executes(ClaimTerm)
def start_term_claim(node: Node, effect: ClaimTerm) -> None:
    """Claim a term on the platform in the background."""
    services = find_services(node)

    async def run_claim() -> None:
        node.dispatch(await claim_term(services.client, effect))

    services.loops.start_task(run_claim())


@executes(RecordPrimary)
def start_primary_record(node: Node, effect: RecordPrimary) -> None:
    """Record the primary of a term on the platform in the background."""
    services = find_services(node)
    work = record_primary(services.client, effect, services.settings.vm)
    services.loops.start_task(work)
