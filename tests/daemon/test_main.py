import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

import pymysql
import pytest
import yaml

from cassiaseam.daemon.main import main

START_PATTERN = 'event=daemon_started'


def write_settings(folder, group, platform=None, **changes):
    platform_port = platform.port if platform else 9
    (folder / 'shop').write_text('secret')
    targets = [
        {'name': target.name, 'host': target.host, 'port': target.port, 'place': 'p1'}
        for target in group.list_target_configs()
    ]
    document = {
        'vm': 'vm1',
        'place': 'p1',
        'region': 'r1',
        'listen': {
            'callers': '127.0.0.1:0',
            'peers': '127.0.0.1:0',
            'admin': '127.0.0.1:0',
        },
        'platform': {'url': f'http://127.0.0.1:{platform_port}'},
        'users': [{'name': 'shop', 'password_file': 'shop', 'databases': ['orders']}],
        'databases': {'orders': {'targets': targets}},
        'limits': {'drain': '5s'},
        **changes,
    }
    path = folder / 'settings.yaml'
    path.write_text(yaml.safe_dump(document))
    return path


@pytest.fixture
def program(tmp_path, group, platform):
    command = [sys.executable, '-m', 'cassiaseam.daemon.main', '--settings']
    command.append(str(write_settings(tmp_path, group, platform)))
    process = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
    yield process
    if process.poll() is None:
        process.kill()
    process.wait(5)
    process.stderr.close()


def wait_for_ports(process):
    for line in process.stderr:
        if START_PATTERN in line:
            ports = dict(pair.split('=') for pair in line.split() if 'port=' in pair)
            return int(ports['callers_port']), int(ports['admin_port'])
    raise AssertionError('the daemon did not start')


def connect(port):
    return pymysql.connect(
        host='127.0.0.1',
        port=port,
        user='shop',
        password='secret',
        database='orders',
        ssl_disabled=True,
    )


def read_health(port, path):
    try:
        with urllib.request.urlopen(f'http://127.0.0.1:{port}/{path}', timeout=5) as reply:
            return reply.status
    except urllib.error.HTTPError as error:
        return error.code


def wait_until(condition):
    for _ in range(200):
        if condition():
            return True
        time.sleep(0.01)
    return False


def test_sigterm_lets_an_open_transaction_commit_and_exits_with_zero(program):
    port, admin_port = wait_for_ports(program)
    connection = connect(port)
    cursor = connection.cursor()
    cursor.execute('SELECT 1')
    assert read_health(admin_port, 'readyz') == 200
    program.send_signal(signal.SIGTERM)
    assert wait_until(lambda: read_health(admin_port, 'readyz') == 503)
    connection.commit()
    assert program.wait(10) == 0


def test_all_settings_problems_are_reported_together(tmp_path, group, capsys):
    path = write_settings(tmp_path, group, place='', users='nobody')
    assert main(['--settings', str(path)]) == 2
    shown = capsys.readouterr().err
    assert 'place' in shown
    assert 'users' in shown


def test_daemon_exits_with_an_error_when_the_callers_port_is_in_use(tmp_path, group, platform):
    with socket.create_server(('127.0.0.1', 0)) as taken:
        address = f'127.0.0.1:{taken.getsockname()[1]}'
        listen = {'callers': address, 'peers': '127.0.0.1:0', 'admin': '127.0.0.1:0'}
        path = write_settings(tmp_path, group, platform, listen=listen)
        command = [sys.executable, '-m', 'cassiaseam.daemon.main', '--settings', str(path)]
        ended = subprocess.run(command, capture_output=True, text=True, timeout=20, check=False)
    assert ended.returncode == 1
    assert 'event=daemon_start_failed' in ended.stderr
