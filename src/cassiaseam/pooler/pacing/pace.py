"""Pace of one target: a limit of statements in flight that follows how the target answers.

The limit grows additively with good answers, and exponentially during a warm-up. It shrinks by a
factor on `BUSY`, on failures and on answers that take far longer than the target usually needs.
All functions are free of input and output; the present time is an argument.
"""

import enum
import math
from collections import deque
from dataclasses import dataclass, field

# Limit at the beginning of a warm-up, and the least limit: one statement is always allowed.
MIN_LIMIT = 1.0
# Factors of the limit after a refusal or loss, and after a failed statement. A failure rate of 20%
# still leaves a limit of about 3.6 with the milder factor.
BUSY_FACTOR = 0.5
FAILURE_FACTOR = 0.7
# Bounds of the factor after a slow answer, which is the longest acceptable time over its time.
SLOW_FACTORS = (0.5, 0.9)
# A slow answer takes longer than both this multiple of the usual time and this part of the latency
# objective of its route. A target with 4 slots and a full queue of 32 takes 9 times the usual.
SLOW_FACTOR = 3.0
SLOW_OBJECTIVE_RATIO = 0.1
# Weights of an answer in the usual time. The time follows faster answers at once and slower ones
# over about a hundred answers, so that a queue does not become the usual.
FASTER_WEIGHT = 0.2
SLOWER_WEIGHT = 0.01
# Seconds without a bad answer after which a limit is lifted even if few statements were answered.
REST_S = 2.0
# Minimum interval in seconds between two increases of the limit by reports of the target.
REPORT_INTERVAL_S = 0.1
# Minimum interval in seconds between two lines about the beginning of a warm-up of one target.
LOG_INTERVAL_S = 1.0
# Number of latest answers from which the rate of the target is taken.
RECENT_ANSWERS = 16


class Stage(enum.Enum):
    """Stage of the pace of a target."""

    UNUSED = 'unused'
    WARMING = 'warming'
    CUT = 'cut'
    FULL = 'full'


class StartCause(enum.Enum):
    """Why a warm-up begins."""

    FIRST_USE = 'first_use'
    RECOVERED = 'recovered'
    PROMOTED = 'promoted'


class CutCause(enum.Enum):
    """Why a limit is cut."""

    BUSY = 'busy'
    FAILED = 'failed'
    LOST = 'lost'
    SLOW = 'slow'


CUT_FACTORS = {
    CutCause.BUSY: BUSY_FACTOR,
    CutCause.LOST: BUSY_FACTOR,
    CutCause.FAILED: FAILURE_FACTOR,
    CutCause.SLOW: SLOW_FACTORS[0],
}
# Causes of a cut that a report of free slots disproves.
LOAD_CAUSES = frozenset((CutCause.BUSY, CutCause.SLOW))


@dataclass(frozen=True, slots=True)
class PaceChange:
    """Change of a pace that a log line tells.

    Attributes:
        stage: New stage.
        cause: Why a warm-up began or the limit was cut, or ''.
        limit: New limit in statements.
        took_s: Seconds since the warm-up or the first cut, for a full share.
    """

    stage: Stage
    cause: str
    limit: float
    took_s: float = 0


@dataclass(slots=True)
class Pace:
    """Pace of one target on this VM.

    Attributes:
        stage: Current stage.
        limit: Limit of statements in flight.
        began_at: Time at which the warm-up began or a full limit was first cut.
        answered: Whether a good answer arrived since the warm-up began.
        bad_at: Time of the latest bad answer, or of the beginning of the warm-up.
        cut_at: Time of the latest cut; answers to older statements do not cut again.
        cut_cause: Cause of the latest cut, or None.
        reported_at: Time of the latest report that raised the limit.
        primary_term: Latest term in which the target was seen as the primary.
        usual_s: Usual service time in seconds per kind of statement.
        recent: Time and service time in seconds of the latest answers.
        backlog_since: Time since which statements wait for the target, or None.
        cuts: Number of cuts per cause.
        changes: Changes that were not logged yet.
        logged_at: Time of the latest line about a beginning.
        is_cut_logged: Whether the cut in force was logged.
    """

    stage: Stage = Stage.UNUSED
    limit: float = MIN_LIMIT
    began_at: float = 0
    answered: bool = False
    bad_at: float = -math.inf
    cut_at: float = -math.inf
    cut_cause: CutCause | None = None
    reported_at: float = -math.inf
    primary_term: int = 0
    usual_s: dict[str, float] = field(default_factory=dict)
    recent: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=RECENT_ANSWERS)
    )
    backlog_since: float | None = None
    cuts: dict[CutCause, int] = field(default_factory=dict)
    changes: list[PaceChange] = field(default_factory=list)
    logged_at: float = -math.inf
    is_cut_logged: bool = False


def begin(pace: Pace, cause: StartCause, now: float) -> None:
    """Begin a warm-up.

    Load pattern: all VMs send what has waited to a target that has just started or recovered.
    """
    pace.stage = Stage.WARMING
    pace.limit = MIN_LIMIT
    pace.began_at = now
    pace.answered = False
    pace.bad_at = now
    pace.cut_at = now
    pace.cut_cause = None
    pace.recent.clear()
    pace.is_cut_logged = False
    if now - pace.logged_at >= LOG_INTERVAL_S:
        pace.logged_at = now
        pace.changes.append(PaceChange(pace.stage, cause.value, pace.limit))


def cut(
    pace: Pace,
    cause: CutCause,
    full: float,
    sent_at: float,
    now: float,
    factor: float | None = None,
) -> None:
    """Cut the limit after a bad answer, at most once per round trip.

    Load pattern: a burst fills the queue of a target, and all its refusals arrive together.

    Args:
        pace: Pace of the target.
        cause: Why the limit is cut.
        full: Full share in statements.
        sent_at: Time at which the statement was sent.
        now: Present time.
        factor: Factor of the limit, or None for the one of the cause.
    """
    pace.bad_at = now
    if sent_at < pace.cut_at:
        return
    if pace.stage is Stage.FULL:
        pace.began_at = now
    pace.stage = Stage.CUT
    if factor is None:
        factor = CUT_FACTORS[cause]
    pace.limit = max(min(pace.limit, full) * factor, MIN_LIMIT)
    pace.cut_at = now
    pace.cut_cause = cause
    pace.cuts[cause] = pace.cuts.get(cause, 0) + 1
    # Single slow or failed statements are usual and would fill the log.
    if not pace.is_cut_logged and pace.limit <= full / 2:
        pace.is_cut_logged = True
        pace.changes.append(PaceChange(pace.stage, cause.value, pace.limit))


def record_success(
    pace: Pace,
    kind: str,
    elapsed_s: float,
    objective_s: float,
    full: float,
    is_cautious: bool,
    now: float,
) -> None:
    """Grow the limit after an answer in the usual time, or cut it after a slow one.

    Args:
        pace: Pace of the target.
        kind: Kind of the statement; each kind has a usual time of its own.
        elapsed_s: Service time of the statement in seconds.
        objective_s: Latency objective of its route in seconds.
        full: Full share in statements.
        is_cautious: Whether the record of the target says that it is still warming up.
        now: Present time.
    """
    acceptable_s = find_acceptable_s(pace.usual_s.get(kind), objective_s)
    update_usual(pace, kind, elapsed_s)
    pace.recent.append((now, elapsed_s))
    pace.answered = True
    if elapsed_s > acceptable_s:
        factor = min(max(acceptable_s / elapsed_s, SLOW_FACTORS[0]), SLOW_FACTORS[1])
        cut(pace, CutCause.SLOW, full, now - elapsed_s, now, factor)
    elif pace.stage is Stage.WARMING and not is_cautious:
        raise_limit(pace, 1, full, now)
    elif pace.stage is not Stage.FULL:
        raise_limit(pace, 1 / pace.limit, full, now)


def find_acceptable_s(usual_s: float | None, objective_s: float) -> float:
    """Return the time in seconds beyond which an answer is slow; the first of a kind is not."""
    if usual_s is None:
        return math.inf
    return max(usual_s * SLOW_FACTOR, objective_s * SLOW_OBJECTIVE_RATIO)


def update_usual(pace: Pace, kind: str, elapsed_s: float) -> None:
    """Update the usual service time of a kind of statement."""
    usual_s = pace.usual_s.setdefault(kind, elapsed_s)
    weight = FASTER_WEIGHT if elapsed_s < usual_s else SLOWER_WEIGHT
    pace.usual_s[kind] = usual_s + (elapsed_s - usual_s) * weight


def raise_limit(pace: Pace, step: float, full: float, now: float) -> None:
    """Raise the limit by a step, up to the full share."""
    pace.limit = min(pace.limit + step, full)
    if pace.limit < full:
        return
    was_logged = pace.stage is Stage.WARMING or pace.is_cut_logged
    pace.stage = Stage.FULL
    pace.is_cut_logged = False
    if was_logged:
        pace.changes.append(PaceChange(pace.stage, '', pace.limit, now - pace.began_at))


def record_report(
    pace: Pace, running: int, slots: int, full: float, sent_at: float, now: float
) -> None:
    """Raise the limit after a status with free slots, which tells of the load of all VMs.

    Args:
        pace: Pace of the target.
        running: Statements that the target runs for all VMs.
        slots: Statements that it can run at a time.
        full: Full share in statements.
        sent_at: Time at which the status was requested.
        now: Present time.
    """
    is_warm = pace.stage is Stage.WARMING and pace.answered
    is_load = pace.stage is Stage.CUT and pace.cut_cause in LOAD_CAUSES
    if running >= slots or sent_at < pace.cut_at or not (is_warm or is_load):
        return
    if now - pace.reported_at >= REPORT_INTERVAL_S:
        pace.reported_at = now
        raise_limit(pace, 1, full, now)


def end_by_time(pace: Pace, full: float, now: float) -> None:
    """Lift a limit that is older than `REST_S` without another bad answer.

    Load pattern: a VM with few statements would need many seconds to grow a limit by its answers.
    """
    is_warm = pace.stage is Stage.WARMING and pace.answered
    if (is_warm or pace.stage is Stage.CUT) and now - pace.bad_at >= REST_S:
        raise_limit(pace, full, full, now)
