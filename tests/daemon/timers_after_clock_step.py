"""Runs a daemon in the pooler role, steps its wall clock and prints when timers fire.

Arguments: settings file, seconds by which the wall clock is stepped ahead (negative: back) while
the timers are pending. Prints one line per timer with its name and the seconds after which it
fired, and one line with the seconds after which the first one is due by `getDelayedCalls`.
"""

import sys
import time

TIMER_S = 0.02
TIMERS = ('call_later', 'reset', 'delay')


class AdjustableWallClock:
    """Replaces `time.time`."""

    def __init__(self):
        self.read_unadjusted = time.time
        self.offset_s = 0.0

    def __call__(self):
        return self.read_unadjusted() + self.offset_s


class TimerMeasurement:
    """Timers of 20 ms that are pending while the wall clock is stepped."""

    def __init__(self, reactor):
        self.reactor = reactor
        self.started_at = self.read_clock()
        self.fired = 0

    def read_clock(self):
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def start(self):
        timer = self.reactor.callLater(TIMER_S, self.report_fired, 'call_later')
        self.reactor.callLater(1, self.report_fired, 'reset').reset(TIMER_S)
        self.reactor.callLater(TIMER_S / 2, self.report_fired, 'delay').delay(TIMER_S / 2)
        for call in self.reactor.getDelayedCalls():
            if call is timer:
                print('planned', call.getTime() - self.started_at, flush=True)

    def report_fired(self, name):
        print(name, self.read_clock() - self.started_at, flush=True)
        self.fired += 1
        if self.fired == len(TIMERS):
            self.reactor.stop()


def main():
    path, clock_step_s = sys.argv[1:]
    # Twisted keeps a reference to `time.time`, so it is replaced before Twisted is imported.
    wall_clock = time.time = AdjustableWallClock()
    from cassiaseam.daemon.main import main as run_daemon
    from cassiaseam.pooler.runtime import PoolerRuntime

    start_daemon = PoolerRuntime.start

    def start_and_measure(runtime):
        start_daemon(runtime)
        TimerMeasurement(runtime.reactor).start()
        wall_clock.offset_s = float(clock_step_s)

    PoolerRuntime.start = start_and_measure
    return run_daemon(['--role', 'pooler', '--settings', path])


if __name__ == '__main__':
    sys.exit(main())
