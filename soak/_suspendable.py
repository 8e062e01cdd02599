"""Runs a module under a monotonic clock that can leave out suspensions.

    python -m soak._suspendable MODULE [ARGUMENT ...]

While a host is suspended, its monotonic clock stands still, but the boot
time clock and the wall clock go on.  A test process may not suspend the host.
Instead the program is stopped with SIGSTOP, and its monotonic clock leaves
out that time if the program received SIGUSR1 before.
"""

import runpy
import signal
import sys
import time

__all__ = ['SuspendedClock']

#: A program that has not read its clock for this long was stopped: the event
#: loop of a daemon reads the clock ten times a second.
MIN_STOP_S = 0.25


class SuspendedClock:
    """Monotonic clock of a host that may be suspended."""

    def __init__(self):
        self._read_monotonic_s = time.monotonic
        self._last_read_s = self._read_monotonic_s()
        self._suspended_s = 0.0
        self._expects_stop = False

    def expect_stop(self, *_signal) -> None:
        """Leave out the next period in which the program is stopped."""
        self._expects_stop = True

    def read_s(self) -> float:
        """Return the monotonic time in seconds, without suspensions."""
        now_s = self._read_monotonic_s()
        gap_s = now_s - self._last_read_s
        self._last_read_s = now_s
        if self._expects_stop and gap_s > MIN_STOP_S:
            self._expects_stop = False
            self._suspended_s += gap_s
        return now_s - self._suspended_s


def main(arguments: list[str]) -> None:
    """Run a module with `time.monotonic` replaced by the clock."""
    clock = SuspendedClock()
    signal.signal(signal.SIGUSR1, clock.expect_stop)
    time.monotonic = clock.read_s
    sys.argv = arguments
    runpy.run_module(arguments[0], run_name='__main__', alter_sys=True)


if __name__ == '__main__':
    main(sys.argv[1:])
