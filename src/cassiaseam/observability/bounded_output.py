"""Log lines on standard output that are bounded in number and never block the daemon."""

import os
from collections import deque
from collections.abc import Callable

# Lines a second on average, and lines at once, that are written.
LINES_PER_S = 200.0
BURST_LINES = 1000
# Lines kept while the output takes none.
MAX_KEPT_LINES = 2000
STANDARD_OUTPUT = 1


class BoundedOutput:
    """Writes lines to a file descriptor without waiting.

    Lines beyond the rate, and the oldest ones while the reader is slow, are dropped; a line with
    their number follows.

    Attributes:
        dropped: Lines dropped since the last line that told their number.
    """

    def __init__(
        self, clock: Callable[[], float], descriptor: int = STANDARD_OUTPUT, prefix: str = ''
    ):
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.clock = clock
        self.prefix = prefix
        self.kept: deque[bytes] = deque()
        self.dropped = 0
        self.tokens = float(BURST_LINES)
        self.refilled_at = clock()

    def write_line(self, line: str) -> None:
        """Write a line, or count it as dropped."""
        now = self.clock()
        self.tokens = min(BURST_LINES, self.tokens + (now - self.refilled_at) * LINES_PER_S)
        self.refilled_at = now
        if self.tokens < 1:
            self.dropped += 1
            return
        self.tokens -= 1
        if self.dropped:
            self._keep(f'event=log_lines_dropped count={self.dropped}', now)
            self.dropped = 0
        self._keep(line, now)
        self.flush()

    def _keep(self, line: str, now: float) -> None:
        self.kept.append(f't={now:.3f} {self.prefix}{line}\n'.encode('utf-8', 'replace'))
        if len(self.kept) > MAX_KEPT_LINES:
            self.kept.popleft()
            self.dropped += 1

    def flush(self) -> None:
        """Write kept lines as far as the reader takes them."""
        while self.kept:
            line = self.kept[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody can read the lines any longer.
                self.dropped += len(self.kept)
                self.kept.clear()
                return
            if written < len(line):
                self.kept[0] = line[written:]
                return
            self.kept.popleft()
