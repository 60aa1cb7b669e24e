"""State that concerns the other VMs: who they are, and questions for samples between them."""

from dataclasses import dataclass

from cassiaseam.pooler.events import PeerRecord


@dataclass(slots=True)
class PeerState:
    """What this VM knows of another one.

    Attributes:
        record: Where it answers questions.
        silent_until: Time before which it is not asked.
        failures: Questions in a row that it did not answer.
    """

    record: PeerRecord
    silent_until: float = 0
    failures: int = 0


@dataclass(slots=True)
class SampleQuestion:
    """The latest question for a sample of a group.

    Attributes:
        nonce: Number that the answer carries.
        vm: VM that was asked.
        sent_at: Time at which it was asked.
        expired: Whether this VM has gone on without the answer.
    """

    nonce: int
    vm: str
    sent_at: float
    expired: bool = False


@dataclass(frozen=True, slots=True)
class WaitingVm:
    """Another VM that waits for a sample of a group.

    Attributes:
        host: IP number of the VM.
        port: UDP port of the VM.
        nonce: Number of its question.
        since: Earliest start of the sample.
        until: Time until which it waits.
    """

    host: str
    port: int
    nonce: int
    since: float
    until: float
