"""Scaling of the configuration role: shard size, CPU time, memory and traffic of changes."""

import random
from collections.abc import Iterator
from functools import partial

from cassiaseam.configuration.document import (
    SHARD_COUNT,
    compress_document,
    decode_shard_document,
    decompress_document,
    encode_shard_document,
)
from cassiaseam.configuration.messages import ShardReceived
from cassiaseam.configuration.model import (
    DatabaseConfig,
    DatabaseConfigured,
    DatabaseRemoved,
    TargetConfig,
)
from cassiaseam.membership.records import update_eligibility
from cassiaseam.reducer.registry import reduce_event
from cassiaseam_load.cluster_simulation import (
    ClusterSimulation,
    fill_members,
    make_record,
)
from cassiaseam_load.configuration_benchmark import SIZES, measure_dissemination
from cassiaseam_load.slope_registry import Point, measures_role
from cassiaseam_load.slope_support import MS_PER_S, US_PER_S, measure_cpu_s, trace_memory

ROLE = 'configuration'
SHARD_DATABASES = (10, 39, 156)
ALL_DATABASES = (640, 1280, 2560)
NODES = (200, 700, 1400)
PLACES = 11
TARGETS = 3
REPEATS = 20
FOLLOW_UP_EVENTS = (DatabaseConfigured, DatabaseRemoved)


def make_databases(count: int) -> tuple[DatabaseConfig, ...]:
    """Return `count` databases, each with targets in three places."""
    databases = []
    for number in range(count):
        places = [(number + step) % PLACES for step in range(TARGETS)]
        targets = (
            TargetConfig(
                f't{number}-{place}', f'10.{place}.{number % 200}.7', 3306, f'place-{place}'
            )
            for place in places
        )
        databases.append(DatabaseConfig(f'database-{number}', tuple(targets)))
    return tuple(databases)


def split_into_shards(databases: tuple[DatabaseConfig, ...]) -> list[ShardReceived]:
    """Return one event per shard, with the databases spread evenly over the shards."""
    events = []
    for number in range(SHARD_COUNT):
        part = databases[number::SHARD_COUNT]
        document = compress_document(encode_shard_document(part))
        events.append(ShardReceived(number, 1, part, document, 'store'))
    return events


def build_simulation(nodes: int) -> ClusterSimulation:
    """Return a simulation of one daemon that knows `nodes` members, of which only itself runs."""
    simulation = ClusterSimulation(random.Random(1))
    own = make_record(0, 'place-0')
    simulation.start_node(own)
    fill_members(simulation)
    membership = simulation.nodes[own.vm].state.membership
    for number in range(1, nodes):
        record = make_record(number, f'place-{number % PLACES}')
        membership.members[record.vm] = record
        update_eligibility(membership, record.vm)
    return simulation


def apply_shards(simulation: ClusterSimulation, events: list[ShardReceived]) -> None:
    """Apply shards and the follow-up events at the first daemon."""
    vm = next(iter(simulation.nodes))
    state = simulation.nodes[vm].state
    pending = list(events)
    while pending:
        event = pending.pop(0)
        effects = reduce_event(state, event, simulation.now)
        pending.extend(effect for effect in effects if isinstance(effect, FOLLOW_UP_EVENTS))


@measures_role(ROLE)
def measure_configuration() -> Iterator[Point]:
    """Measure shards by number of databases, and changes by number of daemons."""
    for databases in SHARD_DATABASES:
        yield from measure_shard(databases)
    for all_databases in ALL_DATABASES:
        yield from measure_start(all_databases)
    shards = split_into_shards(make_databases(ALL_DATABASES[-1]))
    for known in NODES:
        spent_s = measure_cpu_s(partial(apply_shards, build_simulation(known), shards))
        quantity = 'processor time to apply 2,560 databases, by members'
        yield Point(ROLE, quantity, known, spent_s * MS_PER_S, 'ms')
    for nodes in SIZES:
        spread = measure_dissemination(nodes)
        yield Point(ROLE, 'time until in force at all nodes', nodes, spread.all_s, 's')
        yield Point(ROLE, 'bytes sent per node and change', nodes, spread.sent_bytes, 'bytes')
        yield Point(ROLE, 'copies sent per node and change', nodes, spread.copies, 'copies')


def measure_shard(databases: int) -> Iterator[Point]:
    """Measure the compressed size and the decoding time of one shard."""
    document = compress_document(encode_shard_document(make_databases(databases)))
    yield Point(ROLE, 'compressed shard, by its databases', databases, len(document), 'bytes')

    def decode() -> None:
        for _ in range(REPEATS):
            decode_shard_document(7, 1, decompress_document(document).unwrap())

    spent_us = measure_cpu_s(decode) / REPEATS * US_PER_S
    yield Point(ROLE, 'time to decode a shard, by its databases', databases, spent_us, 'us')


def measure_start(databases: int) -> Iterator[Point]:
    """Measure the memory of configuration and rankings at one of 1,400 members."""
    simulation = build_simulation(NODES[-1])
    with trace_memory() as read_bytes:
        apply_shards(simulation, split_into_shards(make_databases(databases)))
        yield Point(ROLE, 'heap of configuration and rankings', databases, read_bytes(), 'bytes')
