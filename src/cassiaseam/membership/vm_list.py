"""Merging of the platform's VM list and of database configurations into the membership."""

from cassiaseam.configuration.model import DatabaseConfigured, DatabaseRemoved
from cassiaseam.membership.dissemination import make_datagram
from cassiaseam.membership.messages import (
    DatagramKind,
    ListedVm,
    MemberRecord,
    MemberStatus,
    SendDatagram,
    VmListReceived,
)
from cassiaseam.membership.ranking import register_database, remove_database
from cassiaseam.membership.records import (
    change_eligibility,
    queue_update,
    report_ownership,
)
from cassiaseam.membership.state import MembershipState, choose_members
from cassiaseam.reducer.node_state import NodeState
from cassiaseam.reducer.registry import Effect, handles


@handles(VmListReceived)
def handle_vm_list(state: NodeState, event: VmListReceived, now: float) -> list[Effect]:
    """Add unknown VMs of the list, update the leaving ones and join on the first list.

    The list may be stale, so it neither revives a dead member nor declares a live one dead.
    """
    membership: MembershipState = state.membership
    was_leaving = membership.listed_leaving
    membership.listed_at = now
    membership.is_ready = True
    membership.listed = {listed.vm for listed in event.listed}
    membership.listed_leaving = {listed.vm for listed in event.listed if listed.leaving}
    added = [listed for listed in event.listed if listed.vm not in membership.members]
    for listed in added:
        membership.members[listed.vm] = make_listed_record(listed)
    changed = was_leaving ^ membership.listed_leaving
    changed.update((membership.own.vm, *(new.vm for new in added)))
    # Report once for the whole list, because intermediate states may show false ownership.
    databases: set[str] = set()
    for vm in sorted(changed):
        databases |= change_eligibility(membership, vm)
    return report_ownership(membership, databases) + join_through_seeds(state)


def make_listed_record(listed: ListedVm) -> MemberRecord:
    """Return a record that any record issued by the VM itself overrides."""
    return MemberRecord(listed.vm, 0, MemberStatus.ALIVE, listed.place, listed.host, listed.port)


def join_through_seeds(state: NodeState) -> list[Effect]:
    """Ask random members for their records, once."""
    membership: MembershipState = state.membership
    others = len(membership.members) > 1
    if membership.has_joined or not others:
        return []
    membership.has_joined = True
    queue_update(membership, membership.own)
    seeds = choose_members(membership, state.rng, membership.settings.seeds, set())
    return [
        SendDatagram(
            seed.address, make_datagram(membership, DatagramKind.JOIN, first=membership.own)
        )
        for seed in seeds
    ]


@handles(DatabaseConfigured)
def handle_database_configured(
    state: NodeState, event: DatabaseConfigured, now: float
) -> list[Effect]:
    """Rank the owners of a new or changed database."""
    membership: MembershipState | None = state.membership
    if membership is None:
        return []
    register_database(membership.ranking, event.config, registered=True)
    return report_ownership(membership, {event.config.name})


@handles(DatabaseRemoved)
def handle_database_removed(state: NodeState, event: DatabaseRemoved, now: float) -> list[Effect]:
    """Give up a database that is no longer configured."""
    membership: MembershipState | None = state.membership
    if membership is None:
        return []
    remove_database(membership.ranking, event.database)
    return report_ownership(membership, {event.database})
