"""Log lines never block the daemon and are bounded in number."""

import os

import pytest

from cassiaseam.observability import bounded_output
from cassiaseam.observability.bounded_output import BoundedOutput


class Time:
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


def test_lines_carry_time_and_prefix(pipe):
    reader, writer = pipe
    clock = Time()
    output = BoundedOutput(clock, writer, 'vm=a ')
    clock.now = 1.5
    output.write_line('event=x')
    assert read_all(reader) == 't=1.500 vm=a event=x\n'


def test_lines_beyond_the_rate_are_counted(pipe, monkeypatch):
    monkeypatch.setattr(bounded_output, 'BURST_LINES', 3)
    reader, writer = pipe
    clock = Time()
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


def test_reader_that_does_not_read_costs_lines_but_no_time(pipe, monkeypatch):
    monkeypatch.setattr(bounded_output, 'MAX_BUFFERED_LINES', 10)
    reader, writer = pipe
    output = BoundedOutput(Time(), writer)
    for _ in range(500):
        output.write_line('x' * 1000)
    assert len(output.buffered) <= 10
    assert output.dropped > 0
    while output.buffered:
        assert read_all(reader)
        output.flush()


def test_closed_reader_ends_nothing():
    reader, writer = os.pipe()
    output = BoundedOutput(Time(), writer)
    os.close(reader)
    output.write_line('event=x')
    os.close(writer)
    assert output.dropped == 1
