"""Benchmark of the failure detector: detection and dissemination time, traffic and CPU time.

Times are simulated. CPU time covers the reducer and the encoding and decoding of each datagram,
but not the socket system calls.
"""

import heapq
import math
import random
from dataclasses import dataclass

from cassiaseam.configuration.model import (
    DatabaseConfig,
    DatabaseConfigured,
    TargetConfig,
)
from cassiaseam.membership.messages import MemberStatus
from cassiaseam.membership.ranking import compute_score
from cassiaseam_load.cluster_simulation import (
    TICK_S,
    ClusterSimulation,
    fill_members,
    make_record,
)

SIZES = (20, 200, 700, 1400)
PLACES = 11
DATABASES_PER_NODE = 2500 / 1400
STEADY_S = 10.0
FAILURE_TIMEOUT_S = 60.0
STAGES = ('first', 'half', 'all', 'dead')
_RANKED = 3


@dataclass(frozen=True, slots=True)
class MembershipFigures:
    """Figures for one number of daemons; times count from the failure of one VM.

    Attributes:
        nodes: Number of daemons.
        detected_s: Seconds until the first daemon no longer considers the VM alive.
        seen_by_half_s: Seconds until half of the daemons no longer consider it alive.
        seen_by_all_s: Seconds until no daemon considers it alive.
        dead_at_all_s: Seconds until all daemons have declared it dead.
        sent_bytes_per_s: Bytes per second sent per node in the steady state, including UDP and
            IP headers.
        datagrams_per_s: Datagrams per second sent per node in the steady state.
        largest_datagram_bytes: Size of the largest datagram, including the failure phase.
        cpu_percent: CPU time per node in the steady state, in percent of a core.
        false_suspicions: Members that daemons do not consider alive after the steady state.
    """

    nodes: int
    detected_s: float
    seen_by_half_s: float
    seen_by_all_s: float
    dead_at_all_s: float
    sent_bytes_per_s: float
    datagrams_per_s: float
    largest_datagram_bytes: int
    cpu_percent: float
    false_suspicions: int


def build_cluster(node_count: int, seed: int) -> ClusterSimulation:
    """Return a converged cluster whose daemons have their databases configured."""
    simulation = ClusterSimulation(random.Random(seed))
    for number in range(node_count):
        simulation.start_node(make_record(number, f'place-{number % PLACES}'))
    fill_members(simulation)
    configure_databases(simulation, max(3, round(node_count * DATABASES_PER_NODE)))
    return simulation


def configure_databases(simulation: ClusterSimulation, count: int) -> None:
    """Configure each database at its owner and successors; other daemons do not ping for it."""
    by_place: dict[str, list[str]] = {}
    for vm, node in simulation.nodes.items():
        by_place.setdefault(node.state.place, []).append(vm)
    for number in range(count):
        places = [f'place-{(number + offset) % PLACES}' for offset in range(_RANKED)]
        targets = (TargetConfig(f't-{place}', '10.0.0.1', 3306, place) for place in places)
        config = DatabaseConfig(f'database-{number}', tuple(targets))
        candidates = [member for place in places for member in by_place[place]]
        for ranked in rank_members(config.name, candidates):
            simulation.dispatch(ranked, DatabaseConfigured(config))


def rank_members(database: str, members: list[str]) -> list[str]:
    """Return the highest-ranked members for a database: its owner and first successors."""
    return heapq.nlargest(_RANKED, members, key=lambda vm: compute_score(database, vm))


def measure_membership(node_count: int, seed: int = 1) -> MembershipFigures:
    """Measure a steady state and then the failure of one VM."""
    simulation = build_cluster(node_count, seed)
    simulation.run_until(2)
    simulation.traffic.is_counted = True
    simulation.traffic.cpu_s = 0
    simulation.run_until(simulation.now + STEADY_S)
    steady = simulation.traffic
    per_node_s = node_count * STEADY_S
    rates = (steady.sent_bytes / per_node_s, steady.datagrams / per_node_s)
    cpu_percent = steady.cpu_s / per_node_s * 100
    false_suspicions = sum(
        len(node.state.membership.changed_at) for node in simulation.nodes.values()
    )
    times = measure_failure(simulation)
    return MembershipFigures(
        node_count, *times, *rates, steady.largest_bytes, cpu_percent, false_suspicions
    )


def measure_failure(simulation: ClusterSimulation) -> tuple[float, float, float, float]:
    """Stop a VM that owns a database and return the seconds until each of `STAGES`."""
    owners = sorted(
        vm for vm, node in simulation.nodes.items() if node.state.membership.ranking.owned
    )
    killed = simulation.rng.choice(owners)
    simulation.run_until(simulation.now + simulation.rng.random())
    simulation.stop_node(killed)
    killed_at = simulation.now
    found: dict[str, float] = {}
    while len(found) < len(STAGES) and simulation.now - killed_at < FAILURE_TIMEOUT_S:
        simulation.run_until(simulation.now + TICK_S / 4)
        for reached in find_completed_stages(simulation, killed):
            found.setdefault(reached, simulation.now - killed_at)
    return tuple(found.get(stage, math.inf) for stage in STAGES)


def find_completed_stages(simulation: ClusterSimulation, killed: str) -> list[str]:
    """Return the detection stages that the cluster has reached."""
    statuses = [node.state.membership.members[killed].status for node in simulation.list_running()]
    not_alive = sum(status is not MemberStatus.ALIVE for status in statuses)
    stages = {
        'first': not_alive > 0,
        'half': not_alive * 2 >= len(statuses),
        'all': not_alive == len(statuses),
        'dead': all(status is MemberStatus.DEAD for status in statuses),
    }
    return [stage for stage, is_reached in stages.items() if is_reached]


def main() -> None:
    """Print the figures for each number of daemons."""
    for node_count in SIZES:
        print(measure_membership(node_count))  # noqa: WPS421


if __name__ == '__main__':
    main()
