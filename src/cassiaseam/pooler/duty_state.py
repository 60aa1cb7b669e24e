"""State of the promotion lease on this VM."""

from dataclasses import dataclass

from cassiaseam.pooler.events import LeaseRecord


@dataclass(slots=True)
class LeaseState:
    """Lease record as last seen, and the claim of this daemon.

    `platform_calls` counts a call until it is answered or abandoned. An abandoned call may still
    arrive until `call_may_arrive_until`. In both cases the lease is neither released nor claimed
    again.

    Attributes:
        process_id: Random id of this process and prefix of the nonces of its claims, or '' before
            its first claim.
        revision: Revision that was last seen.
        record: Record at that revision, or None.
        revision_seen_at: Time at which the revision was first seen.
        request_sent_at: Time at which the read or claim in flight was sent, or None.
        nonce: Unique id of the claim in flight or held, or ''.
        token: Fencing token of the lease held, or 0.
        claimed_at: Time at which the claim was sent.
        era: Era of the store in which the claim was sent.
        fences_lifted: Whether fences were lifted under the lease, which is not released then.
        platform_calls: Calls of the platform that are not answered yet.
        last_call_at: Time of the latest call of the platform.
        call_may_arrive_until: Time until which an unanswered call may still reach the platform.
        last_activity_at: Time at which a platform call was last sent or answered, or None.
    """

    process_id: str = ''
    revision: int = -1
    record: LeaseRecord | None = None
    revision_seen_at: float = 0
    request_sent_at: float | None = None
    nonce: str = ''
    token: int = 0
    claimed_at: float = 0
    era: int = 0
    fences_lifted: bool = False
    platform_calls: int = 0
    last_call_at: float = 0
    call_may_arrive_until: float = 0
    last_activity_at: float | None = None
