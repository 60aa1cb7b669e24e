"""Runs a daemon of the pooler role, sets its time of day and prints when timers fire.

Arguments: settings file, seconds by which the time of day is set ahead (negative: back) while the
timers wait. Prints one line per timer, its name and the seconds after which it fired, and one line
with the seconds after which `getDelayedCalls` says that the first one fires.
"""

import sys
import time

TIMER_S = 0.02
TIMERS = ('call_later', 'reset', 'delay')


class TimeOfDay:
    """Replaces `time.time`."""

    def __init__(self):
        self.read = time.time
        self.offset_s = 0.0

    def __call__(self):
        return self.read() + self.offset_s


class TimerMeasurement:
    """Timers of 20 ms that wait while the time of day is set."""

    def __init__(self, reactor):
        self.reactor = reactor
        self.started_at = self.read_clock()
        self.fired = 0

    def read_clock(self):
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def start(self):
        timer = self.reactor.callLater(TIMER_S, self.note, 'call_later')
        self.reactor.callLater(1, self.note, 'reset').reset(TIMER_S)
        self.reactor.callLater(TIMER_S / 2, self.note, 'delay').delay(TIMER_S / 2)
        for call in self.reactor.getDelayedCalls():
            if call is timer:
                print('planned', call.getTime() - self.started_at, flush=True)

    def note(self, name):
        print(name, self.read_clock() - self.started_at, flush=True)
        self.fired += 1
        if self.fired == len(TIMERS):
            self.reactor.stop()


def main():
    path, step_s = sys.argv[1:]
    # Twisted keeps a reference to the function, so it is replaced before Twisted is imported.
    time_of_day = time.time = TimeOfDay()
    from cassiaseam.daemon.main import main as run_daemon
    from cassiaseam.pooler.runtime import PoolerRuntime

    start_daemon = PoolerRuntime.start

    def start_and_measure(runtime):
        start_daemon(runtime)
        TimerMeasurement(runtime.reactor).start()
        time_of_day.offset_s = float(step_s)

    PoolerRuntime.start = start_and_measure
    return run_daemon(['--role', 'pooler', '--settings', path])


if __name__ == '__main__':
    sys.exit(main())
