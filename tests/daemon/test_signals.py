"""Signals that reach a daemon while it starts."""

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
START_LIMIT_S = 20
# Time in seconds after which the process has been interrupted by a signal.
SIGNAL_DELIVERY_S = 0.1


# Below the ports that the kernel gives to outgoing connections: one of those was taken by another
# process before the daemon listened on it.
PORTS = range(20_000, 32_000)


def find_port():
    while True:
        port = random.choice(PORTS)
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
    """A daemon whose settings are a pipe, so that it can be stopped in the middle of its start."""

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
        """Return the writing end of the pipe once the daemon reads its settings."""
        end = time.monotonic() + START_LIMIT_S
        while time.monotonic() < end and self.process.poll() is None:
            try:
                return os.open(self.path, os.O_WRONLY | os.O_NONBLOCK)
            except OSError as error:
                assert error.errno == errno.ENXIO, error
            time.sleep(0.005)
        raise AssertionError('the daemon does not read its settings')

    def send_while_reading_settings(self, number):
        """Send a signal while the daemon waits for its settings, then let it have them."""
        with os.fdopen(self.wait_for_reader(), 'w') as pipe:
            self.process.send_signal(number)
            time.sleep(SIGNAL_DELIVERY_S)
            later = self.path.with_suffix('.later')
            later.write_text(self.document)
            later.replace(self.path)
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


def test_reload_request_during_the_start_does_not_end_the_daemon(daemon):
    # Soak seed 7004: SIGHUP during the start ended a daemon, which did not come back.
    daemon.send_while_reading_settings(signal.SIGHUP)
    process = daemon.process
    for line in process.stdout:
        if STARTED in line:
            break
    time.sleep(0.3)
    assert process.poll() is None


def test_stop_request_during_the_start_ends_the_daemon_orderly(daemon):
    daemon.send_while_reading_settings(signal.SIGTERM)
    daemon.process.stdout.read()
    assert daemon.process.wait(START_LIMIT_S) == 0


@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGINT])
def test_started_daemon_ends_orderly(daemon, number):
    # A handler of SIGINT that was installed before the reactor kept the reactor from its own.
    with os.fdopen(daemon.wait_for_reader(), 'w') as pipe:
        pipe.write(daemon.document)
    for line in daemon.process.stdout:
        if STARTED in line:
            break
    daemon.process.send_signal(number)
    daemon.process.stdout.read()
    assert daemon.process.wait(START_LIMIT_S) == 0
