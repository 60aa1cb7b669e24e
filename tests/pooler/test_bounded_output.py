"""Log output never blocks the daemon and is limited in rate and size."""

import os

import pytest

from cassiaseam.observability import bounded_output
from cassiaseam.observability.bounded_output import BoundedOutput


class FakeClock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_all(reader):
    text = b''
    while True:
        try:
            chunk = os.read(reader, 1 << 16)
        except BlockingIOError:
            return text.decode()
        if not chunk:
            return text.decode()
        text += chunk


def test_line_has_timestamp_and_prefix(pipe):
    reader, writer = pipe
    clock = FakeClock()
    output = BoundedOutput(clock, writer, 'vm=a ')
    clock.now = 1.5
    output.write_line('event=x')
    assert read_all(reader) == 't=1.500 vm=a event=x\n'


def test_lines_above_the_rate_limit_are_dropped_and_counted(pipe, monkeypatch):
    monkeypatch.setattr(bounded_output, 'BURST_LINES', 3)
    reader, writer = pipe
    clock = FakeClock()
    output = BoundedOutput(clock, writer)
    for number in range(5):
        output.write_line(f'event=x number={number}')
    clock.now = 1
    output.write_line('event=y')
    lines = read_all(reader).splitlines()
    assert [line.split(' ', 1)[1] for line in lines] == [
        'event=x number=0',
        'event=x number=1',
        'event=x number=2',
        'event=log_lines_dropped count=2',
        'event=y',
    ]


def test_full_pipe_drops_lines_without_blocking(pipe, monkeypatch):
    monkeypatch.setattr(bounded_output, 'MAX_BUFFERED_LINES', 10)
    reader, writer = pipe
    output = BoundedOutput(FakeClock(), writer)
    for _ in range(500):
        output.write_line('x' * 1000)
    assert len(output.buffered) <= 10
    assert output.dropped > 0
    while output.buffered:
        assert read_all(reader)
        output.flush()


def test_closed_pipe_does_not_raise():
    reader, writer = os.pipe()
    output = BoundedOutput(FakeClock(), writer)
    os.close(reader)
    output.write_line('event=x')
    os.close(writer)
    assert output.dropped == 1
