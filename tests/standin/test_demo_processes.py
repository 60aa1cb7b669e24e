import json
import subprocess
import sys
from dataclasses import asdict, replace

import pytest

from cassiaseam_standin.demo_processes import end_processes, read_process, save_processes

WAITING = (sys.executable, '-c', 'input()')


@pytest.fixture
def process():
    started = subprocess.Popen(WAITING, stdin=subprocess.PIPE)
    # The child shows the command line of this process until exec has replaced it.
    while 'input()' not in read_process('vm-1', started.pid).command:
        pass
    yield started
    started.stdin.close()
    started.wait(10)


def test_process_that_the_demo_started_is_ended(process, tmp_path):
    file = tmp_path / 'processes.json'
    save_processes(file, {'vm-1': process.pid})
    assert end_processes(file) == []
    assert process.wait(10) == -15


@pytest.mark.parametrize(
    ('changed', 'report'),
    [({'command': 'other'}, 'left alone'), ({'started': 1}, 'left alone')],
)
def test_process_under_an_id_that_is_used_again_gets_no_signal(process, tmp_path, changed, report):
    file = tmp_path / 'processes.json'
    saved = replace(read_process('vm-1', process.pid), **changed)
    file.write_text(json.dumps([asdict(saved)]))
    (line,) = end_processes(file)
    assert report in line
    assert process.poll() is None


def test_ended_process_is_reported(process, tmp_path):
    file = tmp_path / 'processes.json'
    save_processes(file, {'vm-1': process.pid})
    process.stdin.close()
    process.wait(10)
    assert end_processes(file) == [f'vm-1: process {process.pid} had ended already']
