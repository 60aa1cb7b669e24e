"""Scaling of platform calls by daemons, failovers and changes, counted by the stand-in."""

import asyncio
import json
import random
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterator
from functools import partial
from pathlib import Path
from urllib.request import urlopen

from twisted.internet.asyncioreactor import AsyncioSelectorReactor

from cassiaseam.configuration.document import SHARD_COUNT, encode_shard_document, format_shard_key
from cassiaseam.objectstore.client import PlatformClient
from cassiaseam.objectstore.model import VmDocument
from cassiaseam.objectstore.terms import claim_term, record_primary
from cassiaseam.plans.intents import parse_intent
from cassiaseam.plans.store import PlanStore
from cassiaseam.reducer.target_io import ClaimTerm, RecordPrimary
from cassiaseam_load.slope_configuration import make_databases
from cassiaseam_load.slope_registry import Point, measures_role
from cassiaseam_load.slope_support import LOOPBACK
from cassiaseam_standin.cluster import ClusterShape, start_cluster
from cassiaseam_standin.group_launcher import start_platform

ROLE = 'platform client'
CHANGES = (5, 10, 20)
FAILOVERS = (10, 20, 40)
DAEMONS = (1, 2, 3)
LISTED_VMS = (100, 400, 1600)
CLAIM_TIMEOUT_S = 20.0
START_WINDOW_S = 4.0
STEADY_WINDOW_S = 12.0
READS = 'GET'
WRITES = 'PUT'

Scenario = Callable[[PlatformClient], Awaitable[None]]


def read_counters(port: int) -> dict[str, int]:
    """Return the number of platform calls per method and route."""
    url = f'http://{LOOPBACK}:{port}/counters'
    with urlopen(url) as response:
        return json.loads(response.read())


def sum_calls(before: dict[str, int], after: dict[str, int], method: str) -> int:
    """Return the calls with a method between two readings, without reads of the counters."""
    return sum(
        count - before.get(route, 0)
        for route, count in after.items()
        if route.startswith(f'{method} ') and not route.endswith('/counters')
    )


def list_calls(
    action: str, size: float, before: dict[str, int], after: dict[str, int]
) -> Iterator[Point]:
    """Yield the number of reads and of writes between two readings."""
    yield Point(ROLE, f'reads {action}', size, sum_calls(before, after, READS), 'calls')
    yield Point(ROLE, f'writes {action}', size, sum_calls(before, after, WRITES), 'calls')


@measures_role(ROLE)
def measure_platform() -> Iterator[Point]:
    """Count platform calls of changes, failovers, cluster starts and the steady state."""
    platform = asyncio.run(start_platform())
    try:
        run_scenario(platform.port, store_shards)
        for changes in CHANGES:
            before = read_counters(platform.port)
            run_scenario(platform.port, partial(make_changes, changes))
            yield from list_calls('of changes', changes, before, read_counters(platform.port))
        for failovers in FAILOVERS:
            before = read_counters(platform.port)
            run_scenario(platform.port, partial(fail_over, failovers))
            yield from list_calls('of failovers', failovers, before, read_counters(platform.port))
    finally:
        platform.kill()
    for vms in LISTED_VMS:
        yield Point(ROLE, 'size of the VM list', vms, measure_vm_list(vms), 'bytes')
    yield from measure_clusters()


def run_scenario(port: int, scenario: Scenario) -> None:
    """Run a scenario with a new platform client."""

    async def run() -> None:
        reactor = AsyncioSelectorReactor(asyncio.get_running_loop())
        client = PlatformClient(f'http://{LOOPBACK}:{port}', reactor, random.Random(1))
        try:
            await scenario(client)
        finally:
            await client.close()

    asyncio.run(run())


async def store_shards(client: PlatformClient) -> None:
    """Write all configuration shards."""
    for number in range(SHARD_COUNT):
        document = encode_shard_document(make_databases(1))
        await client.write_object(format_shard_key(number), document, 0)


async def make_changes(count: int, client: PlatformClient) -> None:
    """Plan and confirm `count` limit changes sequentially.

    Raises:
        ValueError: A change was refused.
    """
    store = PlanStore(client, static=make_databases(1))
    for number in range(count):
        document = {'kind': 'set_limits', 'database': 'database-0', 'queue_limit': 100 + number}
        now = time.time()
        plan = await store.create_plan(parse_intent(document).unwrap(), 'operator', now)
        if plan.is_err():
            raise ValueError(plan.unwrap_err())
        confirmed = await store.confirm_plan(plan.unwrap().plan_id, 'operator', time.time())
        if confirmed.is_err():
            raise ValueError(confirmed.unwrap_err())


async def fail_over(count: int, client: PlatformClient) -> None:
    """Claim and record a term for each of `count` databases without earlier records."""

    async def promote(number: int) -> None:
        database = f'group-{count}-{number}'
        await claim_term(client, ClaimTerm(database, 2, 'vm-1/1', CLAIM_TIMEOUT_S))
        await record_primary(client, RecordPrimary(database, 2, 'a'), 'vm-1')

    await asyncio.gather(*(promote(number) for number in range(count)))


def measure_vm_list(vms: int) -> int:
    """Return the size in bytes of a VM list response body."""
    listed = [
        VmDocument(
            name=f'vm-{number:04d}',
            place=f'place-{number % 11}',
            host=f'10.{number % 200}.7.{number % 250}',
            peer_port=7000,
            admin_port=8000,
            state='live',
        ).model_dump()
        for number in range(vms)
    ]
    return len(json.dumps(listed))


def measure_clusters() -> Iterator[Point]:
    """Count the calls of small clusters at startup and in the steady state.

    At these sizes, every daemon watches the store and reads the VM list at the shortest interval.
    """
    for daemons in DAEMONS:
        with tempfile.TemporaryDirectory() as folder:
            yield from asyncio.run(measure_cluster(daemons, Path(folder)))


async def measure_cluster(daemons: int, folder: Path) -> list[Point]:
    """Count the platform calls of one cluster."""
    shape = ClusterShape(places=('p-a',), daemons=daemons, log_level='error')
    cluster = await start_cluster(shape, folder)
    try:
        await asyncio.sleep(START_WINDOW_S)
        port = cluster.platform.port
        started = await asyncio.to_thread(read_counters, port)
        await asyncio.sleep(STEADY_WINDOW_S)
        ended = await asyncio.to_thread(read_counters, port)
    finally:
        cluster.stop()
    points = list(list_calls('of the first 4 s', daemons, {}, started))
    points.extend(list_calls('of 12 s of a steady state', daemons, started, ended))
    return points
