"""Executor of the effects that concern the time line."""

import time

from cassiaseam.daemon.node import Node, executes
from cassiaseam.reducer.common import RecordTimeline
from cassiaseam.timeline.buffer import TimelineBuffer


@executes(RecordTimeline)
def record_timeline(node: Node, effect: RecordTimeline) -> None:
    """Stamp a decision and put it on the time line."""
    node.services[TimelineBuffer].append_record(effect.record, time.time())
