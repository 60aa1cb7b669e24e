"""Summary of an owned database for the status API."""

from dataclasses import dataclass

from cassiaseam.owner.state import DatabaseState


@dataclass(frozen=True, slots=True)
class TargetSummary:
    """Resource usage of one target.

    Attributes:
        connections: Connections in use or idle, including those being opened or closed.
        running: Statements in flight.
        accepting: Whether new statements are sent to the target.
        drain_age_s: Seconds since its drain began, or None.
    """

    connections: int
    running: int
    accepting: bool
    drain_age_s: float | None


@dataclass(frozen=True, slots=True)
class DatabaseSummary:
    """State of one owned database.

    Attributes:
        owns: Whether new requests are accepted.
        reads_waiting: Reads that wait for a slot.
        reads_parked: Reads that wait for a poll.
        writes_waiting: Writes and BEGIN requests that wait.
        committing: Writes that wait for a majority.
        open_transactions: Open transactions, including those whose BEGIN waits.
        writes_blocked_s: Seconds for which writes could not be sent, or None.
        replica_read_share: Share of the reads that a replica answered, or None before the first.
        targets: Resource usage of every target by name.
    """

    owns: bool
    reads_waiting: int
    reads_parked: int
    writes_waiting: int
    committing: int
    open_transactions: int
    writes_blocked_s: float | None
    replica_read_share: float | None
    targets: dict[str, TargetSummary]


def describe_database(state: DatabaseState, now: float) -> DatabaseSummary:
    """Return the summary of one database for the status API."""
    share = None
    if state.reads_served:
        share = state.replica_reads_served / state.reads_served
    blocked_at = state.writes_blocked_at
    return DatabaseSummary(
        owns=state.owns,
        reads_waiting=state.replica_reads.size + state.primary_reads.size,
        reads_parked=len(state.parked),
        writes_waiting=state.writes.size + state.begins.size,
        committing=len(state.committing),
        open_transactions=len(state.transactions),
        writes_blocked_s=None if blocked_at is None else now - blocked_at,
        replica_read_share=share,
        targets={name: describe_target(state, name, now) for name in state.targets},
    )


def describe_target(state: DatabaseState, name: str, now: float) -> TargetSummary:
    """Return the summary of one target."""
    pool = state.targets[name]
    drain_started_at = pool.drain_started_at
    return TargetSummary(
        connections=len(pool.connections),
        running=pool.running,
        accepting=pool.breaker.closed and drain_started_at is None,
        drain_age_s=None if drain_started_at is None else now - drain_started_at,
    )
