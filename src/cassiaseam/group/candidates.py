"""Selection of the target to promote among the instances that granted a term."""

from cassiaseam.group.quorum import count_majority, is_trusted
from cassiaseam.group.state import GroupState
from cassiaseam.messages import TargetStatus


def list_counted_grants(group: GroupState) -> dict[str, TargetStatus]:
    """Return the grants that count towards a majority.

    A grant counts only after a poll has shown the same incarnation. Otherwise a restart that lost
    the log would go undetected.
    """
    counted = {}
    for name, status in group.failover.grants.items():
        known = group.targets[name].status
        if known is None or known.incarnation != status.incarnation:
            continue
        if is_trusted(group, name):
            counted[name] = status
    return counted


def choose_candidate(group: GroupState) -> str:
    """Return the target to promote; the grants must contain a majority.

    A candidate is safe when its log is at least as long as those of a majority of the grantors,
    because every majority contains a log with each acknowledged write. Among safe candidates,
    avoided targets rank last, then the most advanced log wins.
    """
    failover = group.failover
    grants = list_counted_grants(group)
    majority = count_majority(group)
    safe = [
        name
        for name, status in grants.items()
        if sum(other.last <= status.last for other in grants.values()) >= majority
    ]
    return max(
        safe,
        key=lambda name: (
            name not in failover.avoided,
            grants[name].last,
            name == failover.preferred,
            name,
        ),
    )
