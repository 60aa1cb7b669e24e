"""Rate-limited, non-blocking log output."""

import os
from collections import deque
from collections.abc import Callable

# Token bucket: sustained rate and burst size.
MAX_LINES_PER_S = 200.0
BURST_LINES = 1000
# Lines buffered while the descriptor would block.
MAX_BUFFERED_LINES = 2000
STANDARD_OUTPUT = 1


class BoundedOutput:
    """Writes lines to a file descriptor without blocking.

    Lines above the rate limit are dropped, and so are the oldest buffered lines while the reader
    is slow. A later line reports how many were dropped.

    Attributes:
        dropped: Lines dropped since the last report.
    """

    def __init__(
        self, clock: Callable[[], float], descriptor: int = STANDARD_OUTPUT, prefix: str = ''
    ):
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.clock = clock
        self.prefix = prefix
        self.buffered: deque[bytes] = deque()
        self.dropped = 0
        self.tokens = float(BURST_LINES)
        self.refilled_at = clock()

    def write_line(self, line: str) -> None:
        """Write a line, or drop it when the rate limit is exceeded."""
        now = self.clock()
        self.tokens = min(BURST_LINES, self.tokens + (now - self.refilled_at) * MAX_LINES_PER_S)
        self.refilled_at = now
        if self.tokens < 1:
            self.dropped += 1
            return
        self.tokens -= 1
        if self.dropped:
            self._buffer_line(f'event=log_lines_dropped count={self.dropped}', now)
            self.dropped = 0
        self._buffer_line(line, now)
        self.flush()

    def _buffer_line(self, line: str, now: float) -> None:
        self.buffered.append(f't={now:.3f} {self.prefix}{line}\n'.encode('utf-8', 'replace'))
        if len(self.buffered) > MAX_BUFFERED_LINES:
            self.buffered.popleft()
            self.dropped += 1

    def flush(self) -> None:
        """Write buffered lines until the descriptor would block."""
        while self.buffered:
            line = self.buffered[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the descriptor.
                self.dropped += len(self.buffered)
                self.buffered.clear()
                return
            if written < len(line):
                self.buffered[0] = line[written:]
                return
            self.buffered.popleft()
