"""Event loop of a daemon: its clock, and how often it polls for I/O."""

import asyncio
import functools
import selectors
import time

__all__ = ['BootTimeLoop']

#: Most iterations in a row that run ready callbacks without polling the
#: sockets.  A call takes about ten iterations, three of which wait for a
#: socket.
SKIPPED_POLLS_LIMIT = 6


class _SkippingSelector(selectors.EpollSelector):
    """Polls the sockets when no callback is ready, or every few iterations.

    The event loop polls in each iteration, even when callbacks are ready.
    Each poll is a system call, and callbacks often schedule further ones for
    the next iteration.
    """

    def __init__(self):
        super().__init__()
        self._skipped_polls = 0

    def select(self, timeout=None):
        """Return the ready sockets, or an empty list when polling is skipped.

        Parameters
        ----------
        timeout : float or None
            Longest wait in seconds; 0 when callbacks are ready.
        """
        if timeout == 0 and self._skipped_polls < SKIPPED_POLLS_LIMIT:
            self._skipped_polls += 1
            return []
        self._skipped_polls = 0
        return super().select(timeout)


class BootTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock advances while the host is suspended.

    The monotonic clock stops during a suspension, which would extend all
    deadlines by its length: the daemon would work for callers that have given
    up, and grant targets more time than remains.  With this clock, a
    suspension of the host has the same effect as stopping the process.
    """

    #: Return the seconds since the host was booted.  A partial avoids a Python
    #: frame: the event loop reads its clock five times per iteration.
    time = functools.partial(time.clock_gettime, time.CLOCK_BOOTTIME)

    def __init__(self):
        super().__init__(_SkippingSelector())
