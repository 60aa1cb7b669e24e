"""Resource usage of a process, read from the `/proc` file system."""

import os
from dataclasses import dataclass
from pathlib import Path

TICKS_PER_S = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
# Field indexes after the process name in /proc/<pid>/stat; see proc(5).
_USER_TICKS = 11
_SYSTEM_TICKS = 12


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Resource usage of one process.

    Attributes:
        cpu_s: CPU time in seconds since the start of the process.
        transferred_bytes: Bytes of read and write system calls on sockets and files since the
            start of the process, without `send` and `recv` calls.
        resident_bytes: Current resident set size in bytes.
    """

    cpu_s: float
    transferred_bytes: int
    resident_bytes: int


def read_process_usage(pid: int) -> ProcessUsage:
    """Return the resource usage of a process.

    Raises:
        OSError: The process has ended.
    """
    folder = Path('/proc') / str(pid)
    fields = (folder / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
    counts = dict(line.split(': ') for line in (folder / 'io').read_text().splitlines())
    pages = int((folder / 'statm').read_text().split()[1])
    transferred = int(counts['rchar']) + int(counts['wchar'])
    return ProcessUsage(ticks / TICKS_PER_S, transferred, pages * PAGE_BYTES)
