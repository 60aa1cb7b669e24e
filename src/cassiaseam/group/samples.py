"""Quorum samples, and the data age of targets derived from them."""

from operator import itemgetter

from cassiaseam.group.quorum import count_majority, is_trusted
from cassiaseam.group.state import GroupState, QuorumSample, TargetView
from cassiaseam.messages import TargetStatus
from cassiaseam.positions import LogPosition

SAMPLE_LIMIT = 128
# Minimum time between retained samples. It lets the bounded history cover several seconds even if
# polls are milliseconds apart.
SAMPLE_SPACING_S = 0.05


def add_quorum_samples(group: GroupState, members_are_fixed: bool = True) -> None:
    """Derive samples from the latest statuses and update the data age of every target.

    A majority holds every write that was acknowledged before the polls started. Of `answered`
    instances at least `answered - (instances - majority)` hold it, so the position of that rank
    covers the write. More answers than a majority therefore give a lower position.

    Args:
        group: State of the group.
        members_are_fixed: Whether all daemons count a majority over the same instances. Otherwise
            only the highest position of a majority is used, because fewer instances than a local
            majority may hold a write.
    """
    polled = [
        (view.status_started_at, view.status)
        for name, view in group.targets.items()
        if view.status is not None and is_trusted(group, name)
    ]
    majority = count_majority(group)
    if len(polled) < majority:
        return
    polled.sort(key=itemgetter(0), reverse=True)
    changed = False
    max_answered = len(polled) if members_are_fixed else majority
    for answered in range(majority, max_answered + 1):
        started_at = polled[answered - 1][0]
        # A sample without a later start would equal the previous one.
        if started_at <= group.sampled_at.get(answered, -1):
            continue
        group.sampled_at[answered] = started_at
        rank = answered - (len(group.targets) - majority) if members_are_fixed else 1
        statuses = [status for _, status in polled[:answered]]
        changed |= add_sample(group, _build_sample(started_at, statuses, rank))
    if changed:
        for view in group.targets.values():
            update_freshness(group, view)


def _build_sample(started_at: float, statuses: list[TargetStatus], rank: int) -> QuorumSample:
    # Sort by tuples, because ordered data classes cost a call per comparison.
    statuses.sort(key=_get_sort_key, reverse=True)
    term = max([status.fenced_term for status in statuses])
    return QuorumSample(started_at, statuses[rank - 1].last, term)


def _get_sort_key(status: TargetStatus) -> tuple[int, int]:
    return status.last.term, status.last.offset


def update_freshness(group: GroupState, view: TargetView) -> None:
    """Update the time as of which the applied data of a target is complete."""
    if view.status is None:
        return
    for sample in reversed(group.samples):
        if view.fresh_as_of is not None and sample.started_at <= view.fresh_as_of:
            return
        if view.status.applied.covers(sample.position):
            view.fresh_as_of = sample.started_at
            return


def record_primary_position(group: GroupState, started_at: float, position: LogPosition) -> None:
    """Add a position to the history from which the lag of replicas is measured."""
    history = group.primary_positions
    if len(history) > 1 and history[-1][0] - history[-2][0] < SAMPLE_SPACING_S:
        history.pop()
    history.append((started_at, position))
    if len(history) > SAMPLE_LIMIT:
        del history[0]


def add_sample(group: GroupState, sample: QuorumSample) -> bool:
    """Insert a sample, possibly from another VM, and return whether the history changed.

    A sample that is not newer than the latest one only lowers the positions of earlier samples.
    """
    samples = group.samples
    if not samples or sample.started_at > samples[-1].started_at:
        if len(samples) > 1 and samples[-1].started_at - samples[-2].started_at < SAMPLE_SPACING_S:
            samples.pop()
        samples.append(sample)
        if len(samples) > SAMPLE_LIMIT:
            del samples[0]
        return True
    return _lower_samples(samples, sample)


def _lower_samples(samples: list[QuorumSample], sample: QuorumSample) -> bool:
    # A position that covers all writes up to a time also covers those of every earlier time.
    changed = False
    for index in range(len(samples) - 1, -1, -1):
        known = samples[index]
        if known.started_at > sample.started_at:
            continue
        if known.position <= sample.position:
            break
        samples[index] = QuorumSample(known.started_at, sample.position, sample.term)
        changed = True
    return changed
