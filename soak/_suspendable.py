"""Runs a program whose host can be suspended, as its clocks show it.

    python -m soak._suspendable MODULE [ARGUMENT ...]

While a host is suspended its steady clock stands still, and the clock that
counts from boot and the time of day do not.  No process may suspend the
host, so the program is stopped, and its steady clock leaves that time out if
it was told so before (SIGUSR1).
"""

import runpy
import signal
import sys
import time

__all__ = ['SuspendedClock']

#: A steady clock that is not read for so long was stopped: the event loop of
#: a daemon reads it ten times a second.
LEAST_GAP_S = 0.25


class SuspendedClock:
    """The steady clock of a host that may be suspended."""

    def __init__(self):
        self._read_s = time.monotonic
        self._last_s = self._read_s()
        self._left_out_s = 0.0
        self._is_told = False

    def tell(self, *_signal) -> None:
        """Leave out the next time for which the program is stopped."""
        self._is_told = True

    def read_s(self) -> float:
        """Return the time without that of suspensions."""
        now_s = self._read_s()
        gap_s = now_s - self._last_s
        self._last_s = now_s
        if self._is_told and gap_s > LEAST_GAP_S:
            self._is_told = False
            self._left_out_s += gap_s
        return now_s - self._left_out_s


def main(arguments: list[str]) -> None:
    """Run a module under the clock."""
    clock = SuspendedClock()
    signal.signal(signal.SIGUSR1, clock.tell)
    time.monotonic = clock.read_s
    sys.argv = arguments
    runpy.run_module(arguments[0], run_name='__main__', alter_sys=True)


if __name__ == '__main__':
    main(sys.argv[1:])
