"""Timers of a daemon in the pooler role when the wall clock is stepped."""

import subprocess
import sys
from pathlib import Path

import pytest
from test_signals import START_TIMEOUT_S, write_pooler_settings
from timers_after_clock_step import TIMER_S, TIMERS

from cassiaseam.pooler.ticks import MAX_TICK_DELAY_S, TICK_INTERVAL_S

PROGRAM = Path(__file__).with_name('timers_after_clock_step.py')
CLOCK_STEP_S = 3.0


@pytest.fixture(scope='module', params=[-CLOCK_STEP_S, CLOCK_STEP_S], ids=['back', 'ahead'])
def fired_after_s(request, tmp_path_factory):
    """Seconds after which each timer fired although the wall clock was stepped."""
    path = write_pooler_settings(tmp_path_factory.mktemp('settings'))
    command = [sys.executable, str(PROGRAM), str(path), str(request.param)]
    ended = subprocess.run(
        command, stdout=subprocess.PIPE, text=True, timeout=START_TIMEOUT_S, check=True
    )
    lines = [line.split() for line in ended.stdout.splitlines()]
    return {words[0]: float(words[1]) for words in lines if words[0] in (*TIMERS, 'planned')}


@pytest.mark.parametrize('timer', TIMERS)
def test_timer_fires_on_time_when_the_wall_clock_is_stepped(fired_after_s, timer):
    # Timers used the wall clock: after a step of 3 s back they did not fire for 3 s, after a step
    # of 3 s ahead they fired at once. A tick that is more than OWN_PAUSE_S late counts as a pause
    # of the process.
    assert TIMER_S == TICK_INTERVAL_S
    assert TIMER_S <= fired_after_s[timer] <= TIMER_S + MAX_TICK_DELAY_S


def test_planned_time_of_a_timer_is_not_a_wall_clock_time(fired_after_s):
    # The planned time was wall-clock time, which cannot be compared with the times in the state.
    assert TIMER_S <= fired_after_s['planned'] <= TIMER_S + MAX_TICK_DELAY_S
