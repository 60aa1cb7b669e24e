"""Timeline records of the group role."""

from cassiaseam.group.state import GroupState
from cassiaseam.messages import TimelineRecord
from cassiaseam.reducer.common import RecordTimeline
from cassiaseam.reducer.node_state import NodeState


def record_decision(
    node_state: NodeState,
    group: GroupState,
    kind: str,
    cause: str,
    **fields: str,
) -> RecordTimeline:
    """Return the effect that records a decision on the timeline.

    The term is that of the active promotion, otherwise that of the current primary.
    """
    term = group.failover.term if group.failover else group.term
    return RecordTimeline(
        TimelineRecord(
            kind=kind,
            database=group.config.name,
            term=term,
            cause=cause,
            fields=fields,
            vm=node_state.vm,
            place=node_state.place,
        ),
    )
