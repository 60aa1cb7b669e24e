"""Finds the process behind a loopback connection, by the socket tables of Linux.

Targets are told the account of a connection, so that its first message does not name the VM.
"""

from collections.abc import Iterable
from pathlib import Path

LOOPBACK_HEX = '0100007F'


def find_owner(pids: Iterable[int], local_port: int, remote_port: int) -> int | None:
    """Return the process among `pids` that connects from a loopback port to another, or None."""
    owners = (pid for pid in pids if owns_connection(pid, local_port, remote_port))
    return next(owners, None)


def owns_connection(pid: int, local_port: int, remote_port: int) -> bool:
    """Return whether a process has the socket of a connection; false if the process has ended."""
    process = Path(f'/proc/{pid}')
    ends = [f'{LOOPBACK_HEX}:{port:04X}' for port in (local_port, remote_port)]
    try:
        rows = [line.split() for line in (process / 'net' / 'tcp').read_text().splitlines()]
        entries = list((process / 'fd').iterdir())
    except OSError:
        return False
    links = {f'socket:[{fields[9]}]' for fields in rows if fields[1:3] == ends}
    return any(is_link_to(entry, links) for entry in entries)


def is_link_to(entry: Path, links: set[str]) -> bool:
    """Return whether an open file is one that `links` names; false if it has been closed."""
    try:
        return str(entry.readlink()) in links
    except OSError:
        return False
