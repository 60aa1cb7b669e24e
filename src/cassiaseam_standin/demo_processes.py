"""Records the processes of a running demo, and terminates them later."""

import json
import os
import shlex
import signal
import sys
from dataclasses import asdict, dataclass
from pathlib import Path

PROC = Path('/proc')
# Fields of /proc/<pid>/stat after the command name, which may contain spaces; `starttime` is
# field 22 of proc(5) and the command name is field 2.
START_TIME_INDEX = 19


@dataclass(frozen=True, slots=True)
class DemoProcess:
    """One process of the demo.

    Attributes:
        name: Name of the VM or target, or `platform`.
        pid: Process id.
        command: Command line.
        started: Start time in clock ticks since boot; differs if the id was reused.
    """

    name: str
    pid: int
    command: str
    started: int


def read_process(name: str, pid: int) -> DemoProcess | None:
    """Return the process with an id, or None if there is none."""
    try:
        command = (PROC / str(pid) / 'cmdline').read_bytes()
        stat = (PROC / str(pid) / 'stat').read_text()
    except OSError:
        return None
    started = int(stat.rpartition(')')[2].split()[START_TIME_INDEX])
    text = command.rstrip(b'\0').replace(b'\0', b' ').decode('utf-8', 'replace')
    return DemoProcess(name, pid, text, started)


def save_processes(file: Path, pids: dict[str, int]) -> None:
    """Save the processes of a demo to a file."""
    found = (read_process(name, pid) for name, pid in pids.items())
    file.write_text(json.dumps([asdict(process) for process in found if process is not None]))


def end_processes(file: Path) -> list[str]:
    """Send SIGTERM to the processes that `save_processes` saved.

    A process whose command line or start time differs has reused the id and gets no signal.

    Returns:
        One line per process that got no signal.
    """
    reports = []
    listed = [DemoProcess(**entry) for entry in json.loads(file.read_text())]
    for saved in listed:
        running = read_process(saved.name, saved.pid)
        if running is None or not running.command:
            reports.append(f'{saved.name}: process {saved.pid} had ended already')
        elif running != saved:
            reports.append(
                f'{saved.name}: process {saved.pid} is now {running.command!r}; left alone'
            )
        else:
            os.kill(saved.pid, signal.SIGTERM)
    return reports


def write_environment(file: Path, admin_url: str, token_file: Path) -> None:
    """Write a shell file that points the `cassiaseam` command at the demo."""
    source = Path(__file__).resolve().parents[1]
    python = shlex.quote(sys.executable)
    run = f'PYTHONPATH={shlex.quote(str(source))} {python} -m cassiaseam.cli'
    lines = (
        f'export CASSIASEAM_API={shlex.quote(admin_url)}',
        f'export CASSIASEAM_TOKEN_FILE={shlex.quote(str(token_file))}',
        f'cassiaseam() {{ {run} "$@"; }}',
        '',
    )
    file.write_text('\n'.join(lines))
