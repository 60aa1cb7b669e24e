"""Runs administration APIs of several daemons on one store, in a process of its own.

Prints the ports as one JSON line and exits when its standard input is closed. All values are fixed
except the ports and the certificate files, which are given as arguments.
"""

import asyncio
import json
import os
import random
import sys
import threading
import traceback
from pathlib import Path

from operations_fakes import FakeStore, build_config, put_database
from twisted.internet import asyncioreactor

TOKENS = {
    'viewer': ('watch', ('*',)),
    'operator': ('orders-team', ('orders',)),
    'administrator': ('root-team', ('*',)),
}


def build_backend(vm, store, daemons, plans):
    from cassiaseam.admin.backend import NodeBackend
    from cassiaseam.daemon.node import Node
    from cassiaseam.group.state import GroupState
    from cassiaseam.messages import TimelineRecord
    from cassiaseam.observability.metrics import MetricSpec, MetricsRegistry, MetricType
    from cassiaseam.reducer.node_state import NodeState
    from cassiaseam.timeline.buffer import TimelineBuffer

    state = NodeState(vm, 'gyor-a', random.Random(1))
    if vm == 'vm-1':
        state.groups['orders'] = GroupState(build_config(), term=4, primary='t1')
        state.groups['labels'] = GroupState(build_config('labels'))
    timeline = TimelineBuffer(vm, 'gyor-a', 'run-1', 100)
    timeline.append_record(TimelineRecord('promotion', 'orders', 4, '<b>'), 1_800_000_000)
    timeline.append_record(TimelineRecord('drain', 'labels'), 1_800_000_001)
    metrics = MetricsRegistry()
    metrics.define_metric(MetricSpec('cassiaseam_up', 'up', MetricType.GAUGE))
    metrics.set_gauge('cassiaseam_up', 1)
    backend = NodeBackend(Node(state), plans, timeline, metrics, lambda: daemons)

    def read_configuration(node, now):
        objects = store.objects.items()
        shards = {key.removeprefix('config/'): it.version for key, it in objects}
        return {'shards': shards if vm != 'vm-behind' else {}}

    backend.sections['configuration'] = read_configuration
    backend.sections['broken'] = lambda node, now: 1 / 0
    backend.readiness['drain'] = lambda node, now: 'leaving' if vm == 'vm-2' else ''
    if vm == 'vm-failing':
        backend.readiness['broken'] = lambda node, now: 1 / 0
    return backend


def build_service(vm, store, vms, certificate, key, uses_tls):
    """Build the service as the daemon does; its certificate is self-signed."""
    from twisted.internet import reactor

    from cassiaseam.admin.service import AdminService
    from cassiaseam.daemon.node import Node
    from cassiaseam.reducer.node_state import NodeState
    from cassiaseam.settings.loader import Secrets
    from cassiaseam.settings.model import Settings
    from cassiaseam.timeline.buffer import TimelineBuffer

    files = {'certificate_file': certificate, 'key_file': key, 'authority_file': certificate}
    settings = Settings.model_validate(
        {
            'vm': vm,
            'place': 'a',
            'region': 'r',
            'listen': dict.fromkeys(('callers', 'peers', 'admin'), '127.0.0.1:0'),
            'platform': {'url': 'http://127.0.0.1:1'},
            'tokens': [{'team': 'root', 'role': 'administrator', 'token_file': 'unused'}],
            'tls': {'admin': files} if uses_tls else {},
        }
    )
    node = Node(NodeState(vm, 'a', random.Random(1)))
    timeline = TimelineBuffer(vm, 'a', 'run', 16)
    secrets = Secrets(tokens=('administrator',))
    return AdminService(node, settings, secrets, store, timeline, lambda: vms, reactor)


async def start_services(store, certificate, key):
    """Start services with and without TLS, and one that queries both; return its port."""
    from cassiaseam.objectstore.model import VmDocument

    vms = []
    for vm, uses_tls in (('vm-tls', True), ('vm-plain', False), ('vm-asked', True)):
        service = build_service(vm, store, vms, certificate, key, uses_tls)
        port = await service.start()
        listed = {'name': vm, 'place': 'a', 'host': '127.0.0.1', 'peer_port': 1}
        vms.append(VmDocument(**listed, admin_port=port))
    return port


class FailingPlans:
    async def list_plans(self, now):
        raise RuntimeError('secret detail of the program')


async def serve(loop, reactor, certificate, key):
    from cassiaseam.admin.access import AccessTable
    from cassiaseam.admin.api import AdminApi
    from cassiaseam.admin.fanout import DaemonClient
    from cassiaseam.admin.server import listen_for_administration
    from cassiaseam.plans.model import ClusterView
    from cassiaseam.plans.store import PlanStore
    from cassiaseam.settings.model import CertificateSettings, Role, TokenSettings
    from cassiaseam.settings.units import Address

    store = FakeStore()
    await put_database(store, build_config())
    await put_database(store, build_config('labels'))
    settings = [
        TokenSettings(team=team, role=Role(role), databases=databases, token_file='unused')
        for role, (team, databases) in TOKENS.items()
    ]
    access = AccessTable(settings, list(TOKENS))
    daemon_client = DaemonClient(reactor)
    ports = {}
    daemons = {'vm-gone': Address('127.0.0.1', 1)}
    for vm in ('vm-1', 'vm-2', 'vm-behind', 'vm-failing'):
        plans = FailingPlans() if vm == 'vm-failing' else PlanStore(store)
        known = daemons if vm == 'vm-1' else {}
        if vm == 'vm-behind':
            plans = PlanStore(store, lambda name: ClusterView(owners={name: 'vm-1'}))
            known = {'vm-1': Address('127.0.0.1', ports['vm-1'])}
        api = AdminApi(build_backend(vm, store, known, plans), access, daemon_client)
        listening = listen_for_administration(api, Address('127.0.0.1', 0), reactor)
        ports[vm] = (await listening.asFuture(loop)).getHost().port
        if vm == 'vm-2':
            daemons[vm] = Address('127.0.0.1', ports[vm])
    tls = CertificateSettings(certificate_file=certificate, key_file=key)
    listening = listen_for_administration(api, Address('127.0.0.1', 0), reactor, tls)
    ports['tls'] = (await listening.asFuture(loop)).getHost().port
    ports['service'] = await start_services(store, certificate, key)
    print(json.dumps(ports), flush=True)


def end_on_failure(task):
    if task.exception():
        traceback.print_exception(task.exception())
        os._exit(1)


def end_with_input():
    sys.stdin.read()
    os._exit(0)


def main():
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    from twisted.internet import reactor

    certificate, key = map(Path, sys.argv[1:])
    serving = loop.create_task(serve(loop, reactor, certificate, key))
    serving.add_done_callback(end_on_failure)
    threading.Thread(target=end_with_input, daemon=True).start()
    reactor.run()


if __name__ == '__main__':
    main()
