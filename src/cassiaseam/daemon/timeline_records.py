"""Timeline records, including those that do not come from the reducer."""

import asyncio
import time

from cassiaseam.daemon.node import Node
from cassiaseam.messages import TimelineRecord
from cassiaseam.timeline.buffer import TimelineBuffer
from cassiaseam.timeline.bursts import RefusalBursts

REFUSAL_CHECK_INTERVAL_S = 1.0


def append_to_timeline(node: Node, record: TimelineRecord) -> None:
    """Stamp a record and append it to the timeline, if the daemon has one."""
    buffer = node.services.get(TimelineBuffer)
    if buffer is not None:
        buffer.append_record(record, time.time())


async def record_refusal_bursts(node: Node, refusals: RefusalBursts) -> None:
    """Append bursts of refusals to the timeline when they are due; never returns."""
    while True:
        await asyncio.sleep(REFUSAL_CHECK_INTERVAL_S)
        for record in refusals.pop_due_records(node.clock()):
            append_to_timeline(node, record)
