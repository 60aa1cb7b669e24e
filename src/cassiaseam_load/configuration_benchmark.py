"""Benchmark of the time and traffic until a configuration change is in force at every daemon.

One watcher per place receives the new shard from the store, as from a long poll. Times are
simulated with `SimulatedNetwork` and exclude the time to open connections.
"""

import math
import random
from dataclasses import dataclass

from cassiaseam.configuration.document import (
    SHARD_COUNT,
    compress_document,
    encode_shard_document,
)
from cassiaseam.configuration.messages import SendShards, SendVersions, ShardReceived
from cassiaseam.configuration.model import DatabaseConfig, TargetConfig
from cassiaseam.membership.ranking import find_config_watchers
from cassiaseam.peers.codec import encode_message
from cassiaseam.peers.messages import ConfigDigest, ConfigShards
from cassiaseam_load.cluster_simulation import ClusterSimulation, fill_members, make_record

SIZES = (20, 200, 700, 1400)
PLACES = 11
DATABASES = 2500
TARGETS = 3
TIMEOUT_S = 30.0
STEP_S = 0.01
_SHARD = 7


@dataclass(frozen=True, slots=True)
class SpreadFigures:
    """Dissemination time and traffic of one configuration change.

    Attributes:
        nodes: Number of daemons.
        half_s: Seconds until the change is in force at half of the daemons.
        all_s: Seconds until the change is in force at all daemons.
        document_bytes: Compressed size of the shard in bytes.
        sent_bytes: Bytes sent per node for the change, without TCP headers.
        copies: Number of shard documents sent per node.
    """

    nodes: int
    half_s: float
    all_s: float
    document_bytes: int
    sent_bytes: float
    copies: float


class CountingSimulation(ClusterSimulation):
    """Simulation that counts the messages and bytes of the configuration role."""

    def __init__(self, seed: int):
        super().__init__(random.Random(seed))
        self.sent_bytes = 0
        self.copies = 0

    def carry_out(self, vm: str, effect: object) -> None:
        """Count a configuration message, then deliver it."""
        if isinstance(effect, SendVersions):
            digest = ConfigDigest(effect.versions, effect.wanted)
            self.sent_bytes += len(encode_message(0, digest, 0))
        elif isinstance(effect, SendShards):
            self.sent_bytes += len(encode_message(0, ConfigShards(effect.shards), 0))
            self.copies += len(effect.shards)
        super().carry_out(vm, effect)


def make_document() -> bytes:
    """Return the compressed document of a shard when there are `DATABASES` databases."""
    databases = []
    for number in range(DATABASES // SHARD_COUNT):
        targets = (
            TargetConfig(f't{number}-{place}', f'10.{place}.0.{number}', 3306, f'place-{place}')
            for place in range(TARGETS)
        )
        databases.append(DatabaseConfig(f'database-{number}', tuple(targets)))
    return compress_document(encode_shard_document(tuple(databases)))


def measure_dissemination(node_count: int, seed: int = 1) -> SpreadFigures:
    """Measure the dissemination of one change among daemons that are otherwise in sync."""
    simulation = CountingSimulation(seed)
    for number in range(node_count):
        simulation.start_node(make_record(number, f'place-{number % PLACES}'))
    fill_members(simulation)
    # Wait for the initial version exchange of the started daemons, which must not be counted.
    simulation.run_until(3)
    simulation.sent_bytes = 0
    document = make_document()
    event = ShardReceived(_SHARD, 1, (), document, 'store')
    started_at = simulation.now
    for vm in find_first_watchers(simulation):
        simulation.schedule(0, vm, event)
    reached = {'half': math.inf, 'all': math.inf}
    while math.isinf(reached['all']) and simulation.now - started_at < TIMEOUT_S:
        simulation.run_until(simulation.now + STEP_S)
        in_force = count_in_force(simulation)
        elapsed_s = simulation.now - started_at
        if in_force * 2 >= node_count:
            reached['half'] = min(reached['half'], elapsed_s)
        if in_force == node_count:
            reached['all'] = elapsed_s
    simulation.run_until(simulation.now + 2)
    return SpreadFigures(
        node_count,
        reached['half'],
        reached['all'],
        len(document),
        simulation.sent_bytes / node_count,
        simulation.copies / node_count,
    )


def find_first_watchers(simulation: ClusterSimulation) -> list[str]:
    """Return one watcher per place."""
    node = next(iter(simulation.nodes.values()))
    membership = node.state.membership
    return [find_config_watchers(membership, place)[0] for place in membership.ranking.eligible]


def count_in_force(simulation: ClusterSimulation) -> int:
    """Return the number of daemons that have applied the change."""
    return sum(
        node.state.configuration.shards[_SHARD].version == 1 for node in simulation.nodes.values()
    )


def main() -> None:
    """Print the figures for each number of daemons."""
    for node_count in SIZES:
        print(measure_dissemination(node_count))  # noqa: WPS421


if __name__ == '__main__':
    main()
