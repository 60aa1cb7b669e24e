"""Guards against figures that hide a stall or count late answers as useful."""

import pytest

from cassiaseam_load.figures import Figure, format_figure
from cassiaseam_load.goals import find_missed_goal
from cassiaseam_load.recorder import Recorder, read_percentile_ms


def test_latency_is_measured_from_the_due_time():
    recorder = Recorder()
    recorder.record_answer(is_read=True, due_s=10, now_s=12.5)
    assert read_percentile_ms(recorder.reads, 99) == pytest.approx(2500, rel=0.01)


@pytest.mark.parametrize(
    ('acks', 'since', 'until', 'gap'),
    [
        ([], 0, 5, 5),
        ([1, 2, 3, 4], 0, 5, 1),
        ([1, 4], 0, 5, 3),
        ([4, 1], 0, 5, 3),
        ([0.5, 1], 0, 5, 4),
        ([4.5], 0, 5, 4.5),
        ([1, 2, 9], 0, 5, 3),
    ],
)
def test_gap_includes_both_ends_of_the_window(acks, since, until, gap):
    recorder = Recorder(write_acks_s=acks)
    assert recorder.find_longest_write_gap_s(since, until) == gap


@pytest.mark.parametrize(
    ('due', 'answered', 'useful'), [(1, 1.5, 1), (1, 2.5, 0), (4.5, 5.1, 0), (0, 0.4, 0)]
)
def test_late_answers_and_those_outside_the_window_are_not_useful(due, answered, useful):
    recorder = Recorder()
    recorder.record_answer(is_read=True, due_s=due, now_s=answered)
    assert recorder.count_useful(0.5, 5) == useful


@pytest.mark.parametrize(
    ('name', 'measured', 'missed'),
    [
        ('replica_read_share', 0.94, True),
        ('replica_read_share', 0.95, False),
        ('failover_gap_ms_killed', 2001, True),
        ('failover_gap_ms_killed', 2000, False),
        ('idle_rss_mb', 10**9, False),
    ],
)
def test_only_missed_goals_give_a_warning(name, measured, missed):
    assert (find_missed_goal(Figure(name, 'w', measured, 'u')) is not None) == missed


def test_figure_line_keeps_an_absent_baseline():
    line = format_figure(Figure('f', 'w', 1.23456789, 'ms'))
    assert (
        line == '{"figure": "f", "workload": "w", "value": 1.2346, "unit": "ms", "baseline": null}'
    )
