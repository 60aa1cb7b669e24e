"""Notices as events, and the effect that sends one. Times are in seconds."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromotionNotice:
    """Event: a VM calls the platform to promote a target, and relies on its fences.

    Attributes:
        group: Database group.
        target: Target to promote.
        term: Term of the fences.
        base_term: Highest term that the VM knew when it fenced.
        fencing_token: Fencing token of the claim of the VM.
        valid_s: Seconds within which the promotion takes effect, if it does.
    """

    group: str
    target: str
    term: int
    base_term: int
    fencing_token: int
    valid_s: float


@dataclass(frozen=True, slots=True)
class FencesLifted:
    """Event: a VM lifted the fences of a group, on which no promotion relies any more.

    Attributes:
        group: Database group.
        term: Highest term of the lifted fences.
        fencing_token: Fencing token of the claim of the VM.
    """

    group: str
    term: int
    fencing_token: int


@dataclass(frozen=True, slots=True)
class SendNotice:
    """Effect: send a notice to other VMs.

    Attributes:
        notice: The notice, which the other VMs get as their event.
        addresses: IP address and UDP port of each VM.
    """

    notice: PromotionNotice | FencesLifted
    addresses: tuple[tuple[str, int], ...]
