"""Starts `cassiaseamd` processes on loopback, each with its own settings file."""

import asyncio
import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import yaml

from cassiaseam_standin.group_control import LOOPBACK

DAEMON_MODULE = 'cassiaseam.daemon.main'
WATCHED_DAEMON_MODULE = 'cassiaseam_standin.watched_daemon'
READY_TIMEOUT_S = 20.0
READY_POLL_S = 0.05
STOP_TIMEOUT_S = 40.0


class DaemonError(Exception):
    """A daemon failed to start."""


@dataclass(slots=True)
class DaemonPorts:
    """Ports of one daemon."""

    callers: int
    peers: int
    admin: int


@dataclass(slots=True)
class DaemonProcess:
    """One daemon process.

    Attributes:
        vm: Name of its VM.
        place: Place of its VM.
        ports: Ports that it listens on.
        settings_file: Settings file.
        process: Running process, or None.
        exit_with_parent: Whether the process exits when this one exits, also after a crash.
    """

    vm: str
    place: str
    ports: DaemonPorts
    settings_file: Path
    process: subprocess.Popen[bytes] | None = None
    exit_with_parent: bool = True

    @property
    def log_file(self) -> Path:
        """Return the log file."""
        return self.settings_file.with_suffix('.log')

    def write_settings(self, settings: dict[str, Any]) -> None:
        """Write the settings file."""
        self.settings_file.write_text(yaml.safe_dump(settings, sort_keys=False))

    def start(self) -> None:
        """Start the process; its log is appended to `log_file`."""
        module = WATCHED_DAEMON_MODULE if self.exit_with_parent else DAEMON_MODULE
        command = [sys.executable, '-m', module, '--settings', str(self.settings_file)]
        source = subprocess.PIPE if self.exit_with_parent else subprocess.DEVNULL
        with self.log_file.open('ab') as log:
            self.process = subprocess.Popen(command, stdin=source, stdout=log, stderr=log)

    async def wait_until_listening(self) -> None:
        """Wait until the daemon accepts callers.

        Raises:
            DaemonError: The process exited, or does not listen in time.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + READY_TIMEOUT_S
        while loop.time() < end_s:
            if self.process.poll() is not None:
                raise DaemonError(f'{self.vm} ended with code {self.process.returncode}')
            if await self.accepts_callers():
                return
            await asyncio.sleep(READY_POLL_S)
        raise DaemonError(f'{self.vm} does not listen on port {self.ports.callers}')

    async def accepts_callers(self) -> bool:
        """Return whether the port for callers accepts connections."""
        try:
            _, writer = await asyncio.open_connection(LOOPBACK, self.ports.callers)
        except OSError:
            return False
        writer.close()
        return True

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to this process only."""
        if self.process is not None:
            self.process.send_signal(signal_number)

    def kill(self) -> None:
        """Kill the process."""
        if self.process is not None:
            self.process.kill()
            self.process.wait(STOP_TIMEOUT_S)
            self.close_process()

    def freeze(self) -> None:
        """Suspend the process; its connections stay open."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self.send_signal(signal.SIGCONT)

    async def stop(self) -> int:
        """Shut down gracefully and return the exit code."""
        self.send_signal(signal.SIGTERM)
        code = await asyncio.to_thread(self.process.wait, STOP_TIMEOUT_S)
        self.close_process()
        return code

    def close_process(self) -> None:
        """Release the resources of a process that has exited."""
        if self.process.stdin is not None:
            self.process.stdin.close()
        self.process = None
