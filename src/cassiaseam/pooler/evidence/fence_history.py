"""Fences that targets have reported, also after they ended.

A promotion relies on its fences until it takes effect. A fenced target that restarts, or that the
new primary does not reach when the promotion ends its fence, receives from the former primary
again and holds entries that the promoted target lacks. It reports neither a fence nor the new term
then. The promise of a fence therefore outlasts it: the target counts as holder of a commit of an
older term only once no promotion can rely on the fence any more.

A target whose fence was lifted on purpose reports the same. The VM that lifts it tells the others
(`pooler.notices`); a VM that is not told waits until the promise is over.
"""

from dataclasses import dataclass

from cassiaseam.pooler.commands import ReportedStatus

# Seconds after the first report of a fence for which a promotion may rely on it. The promotion was
# claimed before it fenced, and takes effect before another VM may take over its lease; see
# `LEASE_TAKEOVER_S` of `pooler.duty`.
FENCE_RELIANCE_S = 3.5
# Seconds after a notice of lifted fences for which a target may still report its fence, because
# the command that lifts it is under way.
LIFT_DELIVERY_S = 1.0


@dataclass(slots=True)
class FenceHistory:
    """The newest fence that a target reported, over all incarnations that this VM knows.

    Attributes:
        term: Term of the fence, or 0 without one.
        granted_in: Term that the target was in when it reported the fence.
        reported_at: Time of the first report of the fence.
        has_ended: Whether the target has reported since that it is not fenced.
        lifted_term: Highest term of fences that were lifted on purpose.
        lifted_at: Time at which this VM lifted them or was told so, or None.
    """

    term: int = 0
    granted_in: int = 0
    reported_at: float = 0
    has_ended: bool = False
    lifted_term: int = 0
    lifted_at: float | None = None

    def forget(self) -> None:
        """Record that no promotion relies on the fence any more."""
        self.term = 0


def track_fence(fence: FenceHistory, reported: ReportedStatus, now: float) -> None:
    """Note the fence that a target reports, or that it is not fenced.

    A fence that is reported again after it ended is a new one, although its term may be the same.
    """
    if reported.fenced_term <= reported.term:
        fence.has_ended = True
        return
    if is_being_lifted(fence, reported.fenced_term, now):
        return
    if reported.fenced_term > fence.term or fence.has_ended:
        fence.term = max(fence.term, reported.fenced_term)
        fence.granted_in = reported.term
        fence.reported_at = now
        fence.has_ended = False


def record_lift(fence: FenceHistory, term: int, now: float) -> None:
    """Note that fences up to a term were lifted on purpose."""
    if fence.term <= term:
        fence.forget()
    fence.lifted_term = term
    fence.lifted_at = now


def is_being_lifted(fence: FenceHistory, term: int, now: float) -> bool:
    """Return whether the command that lifts a fence of a term may not have arrived yet."""
    if fence.lifted_at is None or now - fence.lifted_at > LIFT_DELIVERY_S:
        return False
    return term <= fence.lifted_term


def is_promise_in_force(fence: FenceHistory, term: int, now: float) -> bool:
    """Return whether the promise of a fence excludes a status of `term`, in force or ended."""
    return term < fence.term and now - fence.reported_at <= FENCE_RELIANCE_S


def is_promoted_after(fence: FenceHistory, reported: ReportedStatus) -> bool:
    """Return whether a report shows that a promotion took effect after the fence.

    The platform numbers terms by itself, and the term of a fence may be above that of the next
    primary.
    """
    return bool(fence.term) and reported.is_primary and reported.term > fence.granted_in
