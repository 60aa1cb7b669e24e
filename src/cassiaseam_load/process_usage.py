"""Resource use of a process from the `/proc` file system."""

import os
from dataclasses import dataclass
from pathlib import Path

TICKS_PER_S = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
# Positions after the process name in /proc/<pid>/stat, see proc(5).
_USER_TICKS = 11
_SYSTEM_TICKS = 12


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Totals of one process since its start.

    Attributes:
        cpu_s: Processor time in seconds.
        moved_bytes: Bytes passed to read and write system calls, of sockets and files alike.
            Calls of `send` and `recv` are not part of it.
        resident_bytes: Memory in use.
    """

    cpu_s: float
    moved_bytes: int
    resident_bytes: int


def read_process_usage(pid: int) -> ProcessUsage:
    """Return the totals of a process; raises OSError when it has ended."""
    folder = Path('/proc') / str(pid)
    fields = (folder / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
    counts = dict(line.split(': ') for line in (folder / 'io').read_text().splitlines())
    pages = int((folder / 'statm').read_text().split()[1])
    moved = int(counts['rchar']) + int(counts['wchar'])
    return ProcessUsage(ticks / TICKS_PER_S, moved, pages * PAGE_BYTES)
