"""Workloads that model the two deployments the project is built for."""

from dataclasses import dataclass

STATEMENTS_PER_KEYED_WRITE = 4


@dataclass(frozen=True, slots=True)
class Workload:
    """Request mix and the capacity of the group that serves it.

    Attributes:
        name: Name of the workload in figures.
        places: Places, each with one target and one daemon.
        databases: Names of the databases.
        slots: Number of statements that a target runs concurrently.
        connections: Number of connections that a target accepts.
        statement_ms: Service time of a statement in milliseconds.
        latency_ms: Additional delay of each answer of a target in milliseconds.
        read_share: Share of reads among the requests.
        bounded_staleness_share: Share of reads that accept data up to `max_age_ms` old.
        max_age_ms: Maximum age of data in milliseconds that bounded-staleness reads accept.
        keyed_share: Share of writes that carry an idempotency key.
    """

    name: str
    places: tuple[str, ...]
    databases: tuple[str, ...]
    slots: int
    connections: int
    statement_ms: float
    latency_ms: float
    read_share: float
    bounded_staleness_share: float
    max_age_ms: int
    keyed_share: float

    @property
    def read_capacity_per_s(self) -> float:
        """Return the read throughput per second of all replica slots of one database."""
        return (len(self.places) - 1) * self.slots * 1000 / self.statement_ms

    @property
    def write_capacity_per_s(self) -> float:
        """Return the write throughput per second of one primary.

        A stand-in target runs one write transaction at a time, regardless of its slots. A keyed
        write takes four statements: the key, the write itself, its counters and the commit.
        """
        statements = 1 + (STATEMENTS_PER_KEYED_WRITE - 1) * self.keyed_share
        return 1000 / (self.statement_ms * statements)


PUMPA_CORE = Workload(
    name='pumpa-core',
    places=('gyor-a', 'budapest-a', 'debrecen-a'),
    databases=('orders', 'pumps', 'invoices'),
    slots=5,
    connections=75,
    statement_ms=40,
    latency_ms=1.5,
    read_share=0.7,
    bounded_staleness_share=0.9,
    max_age_ms=5000,
    keyed_share=0.2,
)

LABEL_CATALOGUE = Workload(
    name='label-catalogue',
    places=('huye-a', 'kigali-b', 'nairobi-c'),
    databases=('labels', 'glossary', 'jobs'),
    slots=2,
    connections=75,
    statement_ms=20,
    latency_ms=1.5,
    read_share=0.9,
    bounded_staleness_share=0.95,
    max_age_ms=2000,
    keyed_share=0.2,
)

WORKLOADS: dict[str, Workload] = {
    workload.name: workload for workload in (PUMPA_CORE, LABEL_CATALOGUE)
}
