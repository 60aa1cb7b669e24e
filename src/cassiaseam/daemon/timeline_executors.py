"""Executor of timeline effects."""

from cassiaseam.daemon.node import Node, executes
from cassiaseam.daemon.timeline_records import append_to_timeline
from cassiaseam.reducer.common import RecordTimeline


@executes(RecordTimeline)
def record_timeline(node: Node, effect: RecordTimeline) -> None:
    """Stamp a decision and append it to the timeline."""
    append_to_timeline(node, effect.record)
