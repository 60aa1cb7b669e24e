"""Cluster state as seen by a node, for plans, status and requests to other daemons."""

from collections.abc import Iterable
from typing import Any

from cassiaseam.admin.backend import register_status_section
from cassiaseam.daemon.node import Node
from cassiaseam.membership.messages import MemberStatus
from cassiaseam.membership.ranking import rank_owners
from cassiaseam.objectstore.model import VmDocument
from cassiaseam.plans.model import ClusterView
from cassiaseam.settings.model import LatencySettings
from cassiaseam.settings.units import Address


def build_cluster_view(node: Node, latency: LatencySettings, database: str) -> ClusterView:
    """Return this node's view of one database and of the VMs that are alive."""
    state = node.state
    membership = state.membership
    configuration = state.configuration
    config = configuration.databases.get(database) if configuration else None
    if config is None:
        # The databases of the settings file apply until the platform holds a configuration.
        config = state.database_configs.get(database)
    ranked: list[str] = []
    if membership is not None and config is not None:
        ranked = rank_owners(membership, config, node.clock())
    group = state.groups.get(database)
    return ClusterView(
        members=frozenset(list_members(node, MemberStatus.ALIVE)),
        owners={database: ranked[0]} if ranked else {},
        primaries={database: group.primary} if group else {},
        between_places_s=latency.between_places,
        between_regions_s=latency.between_regions,
        connection_open_s=latency.connection_open,
    )


def list_members(node: Node, status: MemberStatus) -> list[str]:
    """Return the VMs that have a given status in this daemon's view."""
    membership = node.state.membership
    members = membership.members if membership else {}
    return sorted(vm for vm, record in members.items() if record.status is status)


def list_admin_addresses(node: Node, vms: Iterable[VmDocument]) -> dict[str, Address]:
    """Return the administration addresses of the listed VMs that have not left.

    Includes dead VMs, so that status and timeline report them as unreachable.

    Args:
        node: Node of this daemon.
        vms: Last known VM list of the platform.
    """
    left = set(list_members(node, MemberStatus.LEFT))
    listed = (vm for vm in vms if vm.admin_port and vm.name not in left)
    return {vm.name: Address(vm.host, vm.admin_port) for vm in listed}


@register_status_section('configuration')
def read_configuration(node: Node, now: float) -> dict[str, Any]:
    """Return the shard versions in force; `cassiaseam confirm --wait` polls them."""
    configuration = node.state.configuration
    if configuration is None:
        return {'shards': {}, 'databases': 0}
    versions = enumerate(configuration.list_versions())
    return {
        'shards': {str(number): version for number, version in versions if version},
        'databases': len(configuration.databases),
    }


@register_status_section('members')
def read_members(node: Node, now: float) -> dict[str, Any]:
    """Return the number of members that are alive, and the names of the others by status."""
    listed = {status.name.lower(): list_members(node, status) for status in MemberStatus}
    alive = listed.pop('alive')
    return {'alive': len(alive), **listed}
