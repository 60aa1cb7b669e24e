"""What a VM knows of the duty to promote."""

from dataclasses import dataclass

from cassiaseam.pooler.events import DutyRecord


@dataclass(slots=True)
class DutyView:
    """What this daemon knows of the duty record, and its own claim.

    A call is counted in `calls` until it is answered or given up. One that was sent and given up
    may still arrive until `unanswered_until`. As long as either holds, the duty is neither
    released nor claimed again.

    Attributes:
        process: Random id of this process, with which the nonces of its claims begin, or '' before
            its first claim.
        revision: Revision that was last seen.
        record: Record at that revision, or None.
        seen_at: Time at which the revision was first seen.
        asked_at: Time at which the read or the claim under way was sent, or None.
        nonce: Unique id of the claim under way or held, or ''.
        token: Fencing token of the claim held, or 0.
        claimed_at: Time at which the claim was sent.
        lifted: Whether fences were lifted under the claim, which is not released then.
        calls: Calls of the platform that are not answered yet.
        called_at: Time of the latest call of the platform.
        unanswered_until: Time until which a call that got no answer may still reach the platform.
        acted_at: Time at which a call of the platform was last sent or answered, or None.
    """

    process: str = ''
    revision: int = -1
    record: DutyRecord | None = None
    seen_at: float = 0
    asked_at: float | None = None
    nonce: str = ''
    token: int = 0
    claimed_at: float = 0
    lifted: bool = False
    calls: int = 0
    called_at: float = 0
    unanswered_until: float = 0
    acted_at: float | None = None
