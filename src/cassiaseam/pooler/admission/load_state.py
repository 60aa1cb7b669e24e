"""State of the placement of reads and of the retry budget on this VM."""

from dataclasses import dataclass, field

# Maximum number of saved retries, which a VM has at its start too. It lets the few statements that
# a VM sends a group per second pass a short burst of other VMs.
RETRY_RESERVE = 5.0


@dataclass(slots=True)
class Evidence:
    """Decaying sums over the answers of a target to reads that a replica may serve.

    Attributes:
        at: Time to which the sums have decayed.
        served: Number of reads that it served.
        failed: Number of reads that failed on it.
        time_s: Sum of the answer times of the served reads in seconds, without the network.
    """

    at: float = 0
    served: float = 0
    failed: float = 0
    time_s: float = 0


@dataclass(slots=True)
class TargetLoad:
    """What this VM knows about the load of a target.

    Attributes:
        own: Evidence from the statements of this VM.
        place: Evidence from the statements of other VMs of the place.
        unsent: The part of `own` that was not yet sent to the VM that samples for the place.
        others: Statements of other VMs that ran on the target at `reported_at`.
        reported_at: Time of the newest report of its running statements, or None.
        busy_at: Time at which it last refused a statement because it is busy, or None.
        avoided: Whether a log line tells that reads avoid it.
    """

    own: Evidence = field(default_factory=Evidence)
    place: Evidence = field(default_factory=Evidence)
    unsent: Evidence = field(default_factory=Evidence)
    others: float = 0
    reported_at: float | None = None
    busy_at: float | None = None
    avoided: bool = False


@dataclass(frozen=True, slots=True)
class TargetReport:
    """What one VM tells another about a target.

    Attributes:
        served: Number of reads that it served, decayed.
        failed: Number of reads that failed on it, decayed.
        time_s: Sum of the answer times of the served reads in seconds, decayed.
        running: Statements that ran on it, as recently reported, or None.
        age_s: Age of `running` in seconds.
    """

    served: float = 0
    failed: float = 0
    time_s: float = 0
    running: int | None = None
    age_s: float = 0


@dataclass(slots=True)
class RetryBudget:
    """Budget of a VM for retries of statements of one group after a busy target.

    Attributes:
        tokens: Retries that may be made now.
        at: Time to which the decaying counts apply.
        recent_attempts: Decaying count of first attempts.
        recent_refusals: Decaying count of operations that were refused as overloaded.
        attempts: Number of first attempts.
        retries: Number of retries that were paid from the budget.
        refused: Number of operations that were refused because it was spent.
    """

    tokens: float = RETRY_RESERVE
    at: float = 0
    recent_attempts: float = 0
    recent_refusals: float = 0
    attempts: int = 0
    retries: int = 0
    refused: int = 0
