"""Timers of a daemon in the pooler role while the time of day is set."""

import subprocess
import sys
from pathlib import Path

import pytest
from test_signals import START_LIMIT_S, write_pooler_settings
from timers_after_clock_step import TIMER_S, TIMERS

from cassiaseam.pooler.ticks import MAX_TICK_DELAY_S, TICK_INTERVAL_S

PROGRAM = Path(__file__).with_name('timers_after_clock_step.py')
STEP_S = 3.0


@pytest.fixture(scope='module', params=[-STEP_S, STEP_S], ids=['back', 'ahead'])
def fired_after_s(request, tmp_path_factory):
    """Seconds after which each timer fired while the time of day was set."""
    path = write_pooler_settings(tmp_path_factory.mktemp('settings'))
    command = [sys.executable, str(PROGRAM), str(path), str(request.param)]
    ended = subprocess.run(
        command, stdout=subprocess.PIPE, text=True, timeout=START_LIMIT_S, check=True
    )
    lines = [line.split() for line in ended.stdout.splitlines()]
    return {words[0]: float(words[1]) for words in lines if words[0] in (*TIMERS, 'planned')}


@pytest.mark.parametrize('timer', TIMERS)
def test_timer_fires_in_time_while_the_time_of_day_is_set(fired_after_s, timer):
    # Timers ran on the time of day: set back by 3 s they stood still for 3 s, set ahead by 3 s
    # they fired at once. A tick that is later than OWN_PAUSE_S counts as a pause of the process.
    assert TIMER_S == TICK_INTERVAL_S
    assert TIMER_S <= fired_after_s[timer] <= TIMER_S + MAX_TICK_DELAY_S


def test_planned_time_of_a_timer_is_on_the_clock_of_the_decisions(fired_after_s):
    # It was a time of day, which cannot be compared with the times in the state.
    assert TIMER_S <= fired_after_s['planned'] <= TIMER_S + MAX_TICK_DELAY_S
