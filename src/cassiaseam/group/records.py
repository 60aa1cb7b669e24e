"""Time line records of the group role."""

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
    """Return the effect that puts a decision on the time line.

    The term is the one of the promotion under way, otherwise the one in charge.
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
