"""Signals sent to a daemon during and after its startup."""

import contextlib
import errno
import os
import random
import signal
import socket
import subprocess
import sys
import time

import pytest
import yaml
from test_main import write_settings

STARTED = b'event=daemon_started'
START_TIMEOUT_S = 20
# Seconds until a signal has been delivered to the process.
SIGNAL_DELIVERY_S = 0.1


# Below the ephemeral port range of the kernel: a free port of that range was taken by another
# process before the daemon listened on it.
LISTEN_PORTS = range(20_000, 32_000)


def find_port():
    while True:
        port = random.choice(LISTEN_PORTS)
        with contextlib.suppress(OSError), socket.create_server(('127.0.0.1', port)):
            return port


def write_pooler_settings(folder):
    document = {
        'vm': 'vm1',
        'place': 'p1',
        'environment': 'platform',
        'listen': {
            'callers': f'127.0.0.1:{find_port()}',
            'readiness': f'127.0.0.1:{find_port()}',
        },
        'store': f'127.0.0.1:{find_port()}',
        'promotions': f'127.0.0.1:{find_port()}',
    }
    path = folder / 'pooler.yaml'
    path.write_text(yaml.safe_dump(document))
    return path


@pytest.fixture(params=['pooler', 'owner'])
def settings(request, tmp_path):
    """Role and settings file of a daemon."""
    if request.param == 'pooler':
        return request.param, write_pooler_settings(tmp_path)
    group, platform = (request.getfixturevalue(name) for name in ('group', 'platform'))
    return request.param, write_settings(tmp_path, group, platform)


class Daemon:
    """Daemon that reads its settings from a pipe, which blocks it in the middle of its startup."""

    def __init__(self, role, path):
        self.path = path
        self.document = path.read_text()
        path.unlink()
        os.mkfifo(path)
        command = [sys.executable, '-m', 'cassiaseam.daemon.main', '--role', role]
        self.process = subprocess.Popen(
            [*command, '--settings', str(path)], stdout=subprocess.PIPE, stderr=subprocess.STDOUT
        )

    def wait_for_reader(self):
        """Return the write end of the pipe once the daemon reads its settings."""
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end and self.process.poll() is None:
            try:
                return os.open(self.path, os.O_WRONLY | os.O_NONBLOCK)
            except OSError as error:
                assert error.errno == errno.ENXIO, error
            time.sleep(0.005)
        raise AssertionError('the daemon does not read its settings')

    def send_while_reading_settings(self, number):
        """Send a signal while the daemon waits for its settings, then write the settings."""
        with os.fdopen(self.wait_for_reader(), 'w') as pipe:
            self.process.send_signal(number)
            time.sleep(SIGNAL_DELIVERY_S)
            replacement = self.path.with_suffix('.later')
            replacement.write_text(self.document)
            replacement.replace(self.path)
            pipe.write(self.document)


@pytest.fixture
def daemon(settings):
    started = Daemon(*settings)
    yield started
    process = started.process
    if process.poll() is None:
        process.kill()
    process.wait(5)
    process.stdout.close()


def test_sighup_during_the_start_does_not_end_the_daemon(daemon):
    # Soak seed 7004: SIGHUP during startup ended a daemon, which was not restarted.
    daemon.send_while_reading_settings(signal.SIGHUP)
    process = daemon.process
    for line in process.stdout:
        if STARTED in line:
            break
    time.sleep(0.3)
    assert process.poll() is None


def test_sigterm_during_the_start_stops_the_daemon_cleanly(daemon):
    daemon.send_while_reading_settings(signal.SIGTERM)
    daemon.process.stdout.read()
    assert daemon.process.wait(START_TIMEOUT_S) == 0


@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGINT])
def test_running_daemon_stops_cleanly_on_signal(daemon, number):
    # A SIGINT handler installed before the reactor kept the reactor from installing its own.
    with os.fdopen(daemon.wait_for_reader(), 'w') as pipe:
        pipe.write(daemon.document)
    for line in daemon.process.stdout:
        if STARTED in line:
            break
    daemon.process.send_signal(number)
    daemon.process.stdout.read()
    assert daemon.process.wait(START_TIMEOUT_S) == 0
