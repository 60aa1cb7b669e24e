"""Targets that fail every statement although they answer and report a good status.

Load pattern: a primary that fails all statements for some seconds. It answers status polls, so
that silence never shows it, and reads that need the primary are retried until they time out.
"""

from dataclasses import dataclass, field

# A target counts as failing after this many failed statements in a row, over this time in seconds,
# of at least this many sessions. A caller whose own statements always fail is no evidence.
MIN_FAILURES = 5
MIN_DURATION_S = 0.8
MIN_SESSIONS = 2


@dataclass(slots=True)
class FailureStreak:
    """Failed statements of a target since its latest successful one.

    Attributes:
        count: Number of failed statements.
        since: Time of the first of them.
        sessions: Sessions of callers that sent them.
    """

    count: int = 0
    since: float = 0
    sessions: set[int] = field(default_factory=set)

    def is_long(self) -> bool:
        """Return whether enough statements of different sessions failed in a row."""
        return self.count >= MIN_FAILURES and len(self.sessions) >= MIN_SESSIONS


def record_outcome(streak: FailureStreak, session_id: int, failed: bool, now: float) -> None:
    """Extend the streak by a failed statement, or end it after a successful one."""
    if not failed:
        streak.count = 0
        streak.sessions.clear()
        return
    if streak.count == 0:
        streak.since = now
    streak.count += 1
    if len(streak.sessions) < MIN_SESSIONS:
        streak.sessions.add(session_id)


def is_failing(streak: FailureStreak, now: float) -> bool:
    """Return whether a target fails every statement."""
    return streak.is_long() and now - streak.since >= MIN_DURATION_S
