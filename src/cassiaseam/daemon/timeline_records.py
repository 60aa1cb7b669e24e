"""Records of a shell that are no decisions of a reducer."""

import asyncio
import time

from cassiaseam.daemon.node import Node
from cassiaseam.messages import TimelineRecord
from cassiaseam.timeline.buffer import TimelineBuffer
from cassiaseam.timeline.bursts import RefusalBursts

REFUSAL_CHECK_S = 1.0


def append_to_timeline(node: Node, record: TimelineRecord) -> None:
    """Stamp a record and put it on the time line, if the daemon has one."""
    buffer = node.services.get(TimelineBuffer)
    if buffer is not None:
        buffer.append_record(record, time.time())


async def record_refusals(node: Node, refusals: RefusalBursts) -> None:
    """Put bursts of refusals on the time line as they become due; never returns."""
    while True:
        await asyncio.sleep(REFUSAL_CHECK_S)
        for record in refusals.pop_due_records(node.clock()):
            append_to_timeline(node, record)
