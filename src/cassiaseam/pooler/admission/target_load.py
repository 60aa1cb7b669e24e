"""Load and quality of targets, from their answers, their reports and from other VMs.

Load pattern: a VM sends a group about one to five statements per second, so a target that is slow
or fails is noticed late by a single VM. Each VM adds its observations to its sample requests. The
VM that samples for the place sums them up and returns the sums with its responses.
"""

import dataclasses
import math

from cassiaseam.pooler.admission.load_state import Evidence, TargetReport
from cassiaseam.pooler.commands import TargetFailure, TargetReply
from cassiaseam.pooler.state import GroupView, Job, PoolerState, Purpose, TargetState

# Time constant in seconds with which observations lose weight. A place of the crowded deployment
# observes about nine statements per target in it, and a target that has recovered is used again
# after a few of them.
EVIDENCE_DECAY_S = 3.0
# Observations below this weight are not sent.
MIN_SENT_WEIGHT = 0.05
# Age in seconds from which a report of running statements is not sent. Targets beyond the nearest
# majority are polled rarely, and a report has lost its weight by then.
MAX_REPORT_AGE_S = 5.0
# Statements that a target queues beyond its slots before it answers BUSY.
TARGET_QUEUE_LIMIT = 32
# Round trips in seconds to a target in another place of the region and in another region.
OTHER_PLACE_ROUND_TRIP_S = 0.0028
OTHER_REGION_ROUND_TRIP_S = 0.016

FAILURES = frozenset((TargetFailure.FAILED, TargetFailure.TIMED_OUT))


def decay(evidence: Evidence, now: float) -> Evidence:
    """Let the sums of an evidence decay up to now, and return it."""
    factor = math.exp(-max(now - evidence.at, 0) / EVIDENCE_DECAY_S)
    evidence.at = now
    evidence.served *= factor
    evidence.failed *= factor
    evidence.time_s *= factor
    return evidence


def add(evidence: Evidence, served: float, failed: float, time_s: float, now: float) -> None:
    """Add observations to an evidence."""
    decay(evidence, now)
    evidence.served += served
    evidence.failed += failed
    evidence.time_s += time_s


def sum_up(target: TargetState, now: float) -> Evidence:
    """Return the sum of what this VM and its place have observed of a target."""
    own, place = decay(target.load.own, now), decay(target.load.place, now)
    return Evidence(
        now, own.served + place.served, own.failed + place.failed, own.time_s + place.time_s
    )


def find_round_trip_s(state: PoolerState, target: TargetState) -> float:
    """Return the expected round trip to a target in seconds beyond that within a place."""
    place = target.record.place
    if place == state.place:
        return 0
    if state.regions.get(place) == state.regions.get(state.place):
        return OTHER_PLACE_ROUND_TRIP_S
    return OTHER_REGION_ROUND_TRIP_S


def record_answer(
    state: PoolerState, target: TargetState, job: Job, reply: TargetReply, now: float
) -> None:
    """Record the answer of a target to a statement.

    Only reads that a replica may serve count, so that the times of the targets are comparable:
    statements of the primary route are several times shorter.
    """
    if reply.failure is TargetFailure.BUSY:
        target.load.busy_at = now
        record_running(target, target.record.slots + TARGET_QUEUE_LIMIT, now)
    operation = job.operation
    if job.purpose is not Purpose.STATEMENT or operation is None or job.sent_at is None:
        return
    if operation.needs_primary:
        return
    failed = reply.failure in FAILURES
    if reply.failure is not None and not failed:
        return
    time_s = 0 if failed else max(now - job.sent_at - find_round_trip_s(state, target), 0)
    record(target, not failed, failed, time_s, now)


def record_hedge(target: TargetState, job: Job, now: float) -> None:
    """Record a read that is run elsewhere because its answer is late; it counts as failed.

    Load pattern: a target that is healthy but loses answers. It answers all polls, so that only
    the missing answers tell.
    """
    if job.sent_at is not None:
        record(target, 0, 1, 0, now)


def record(target: TargetState, served: float, failed: float, time_s: float, now: float) -> None:
    """Add observations of this VM to those that it knows and to those that it sends."""
    for evidence in (target.load.own, target.load.unsent):
        add(evidence, served, failed, time_s, now)


def count_own_statements(target: TargetState) -> int:
    """Return the number of jobs of this VM that run on a target."""
    return sum(connection.job is not None for connection in target.connections.values())


def record_running(target: TargetState, running: int, at: float) -> None:
    """Record the number of statements that ran on a target at a time, unless a newer is known."""
    load = target.load
    if load.reported_at is not None and at < load.reported_at:
        return
    load.others = max(running - count_own_statements(target), 0)
    load.reported_at = at


def take_unsent_reports(state: PoolerState, group: GroupView, now: float) -> dict:
    """Return the `TargetReport` per target for a sample request, and mark them as sent."""
    if not state.adaptive_admission:
        return {}
    reports = {}
    for name, target in group.targets.items():
        unsent = decay(target.load.unsent, now)
        if unsent.served + unsent.failed >= MIN_SENT_WEIGHT:
            reports[name] = TargetReport(unsent.served, unsent.failed, unsent.time_s)
        target.load.unsent = Evidence(now)
    return reports


def build_reports(state: PoolerState, group: GroupView, now: float) -> dict:
    """Return the `TargetReport` per target for a sample response."""
    if not state.adaptive_admission:
        return {}
    reports = {}
    for name, target in group.targets.items():
        load, known = target.load, sum_up(target, now)
        report = TargetReport(known.served, known.failed, known.time_s)
        if load.reported_at is not None and now - load.reported_at < MAX_REPORT_AGE_S:
            running = round(load.others) + count_own_statements(target)
            report = dataclasses.replace(
                report, running=running, age_s=max(now - load.reported_at, 0)
            )
        reports[name] = report
    return reports


def merge_request(group: GroupView, reports: dict[str, TargetReport], now: float) -> None:
    """Add the observations in the sample request of a VM of the place."""
    for name, report in reports.items():
        target = group.targets.get(name)
        if target is not None:
            add(target.load.place, report.served, report.failed, report.time_s, now)


def merge_response(group: GroupView, reports: dict[str, TargetReport], now: float) -> None:
    """Adopt the sums of the place in a sample response, and newer reports of targets.

    They contain the observations that this VM has sent, so those count twice. The ratios on which
    decisions depend change little by that.
    """
    for name, report in reports.items():
        target = group.targets.get(name)
        if target is None:
            continue
        target.load.place = Evidence(now, report.served, report.failed, report.time_s)
        if report.running is not None:
            record_running(target, report.running, now - report.age_s)
