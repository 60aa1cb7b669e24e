"""Slot time of targets that many VMs spend on the connections of several client accounts."""

import dataclasses

import pytest
from accounts_world import build_directory
from loaded_world import LoadedWorld

from cassiaseam.pooler.commands import StatementKind
from cassiaseam.pooler.events import CallerConnected, ConfigurationRead

MIX = (
    ('orders', StatementKind.READ, 0.15),
    ('prices', StatementKind.READ, 0.15),
    ('stock', StatementKind.READ, 0.58),
    ('stock', StatementKind.WRITE, 0.12),
)
SLOTS = 2
HANDSHAKE_S = 0.012
OBJECTIVE_S = 0.5


class ChurnWorld(LoadedWorld):
    """Deployment whose sessions belong to accounts in turn."""

    def __init__(self, accounts, **fields):
        super().__init__(**fields)
        self.keys = {f'key {number}'.encode(): f'a{number}' for number in range(accounts)}
        for vm in self.vms.values():
            directory = build_directory(self.keys)
            config = dataclasses.replace(vm.state.config, version=5, accounts=directory)
            vm.dispatch(ConfigurationRead(config))

    def connect(self, vm, session, database):
        key = list(self.keys)[session % len(self.keys)]
        self.vms[vm].dispatch(CallerConnected(session, database, key))


@pytest.mark.parametrize(
    ('vms', 'limit', 'accounts', 'per_s'),
    [(41, 73, 1, 430), (41, 73, 2, 430), (41, 73, 6, 320), (92, 163, 2, 430), (92, 163, 6, 320)],
)
def test_accounts_do_not_spend_the_slots_on_replaced_connections(vms, limit, accounts, per_s):
    # Each VM replaced an idle connection of one account by one of another account. All VMs
    # together filled the slots with that; the slower the targets were, the more accounts waited,
    # and the more connections were replaced.
    world = ChurnWorld(
        accounts,
        slots=SLOTS,
        service_s=0.009,
        queue_limit=16,
        handshake_s=HANDSHAKE_S,
        poll_s=0.0005,
        vms=vms,
        max_connections=limit,
        shared=True,
        seed=1,
    )
    start, end = 2, 4
    world.run_until(0.5)
    for vm in world.vms:
        for route, kind, share in MIX:
            world.start_load(vm, route, share * per_s / vms, end, kind)
    world.run_until(start)
    opened = -sum(server.handshakes for server in world.servers.values())
    world.run_until(end)
    opened += sum(server.handshakes for server in world.servers.values())
    world.run_until(end + OBJECTIVE_S)
    count, good = world.count_served(start, OBJECTIVE_S)
    slot_time_s = SLOTS * len(world.targets) * (end - start)
    figures = {'served': good / count, 'openings': opened * HANDSHAKE_S / slot_time_s}
    assert figures['served'] >= 0.9, figures
    assert figures['openings'] <= 0.35, figures
