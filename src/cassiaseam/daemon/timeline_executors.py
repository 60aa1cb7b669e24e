"""Executor of the effects that concern the time line."""

from cassiaseam.daemon.node import Node, executes
from cassiaseam.daemon.timeline_records import append_to_timeline
from cassiaseam.reducer.common import RecordTimeline


@executes(RecordTimeline)
def record_timeline(node: Node, effect: RecordTimeline) -> None:
    """Stamp a decision and put it on the time line."""
    append_to_timeline(node, effect.record)
