"""The event loop of a daemon: its clock, and how often it asks for I/O."""

import asyncio
import functools
import selectors
import time

__all__ = ['BootTimeLoop']

#: Turns in a row that run what is ready without a look at the sockets.  A call
#: passes some ten turns, of which three wait for a socket.
TURNS_WITHOUT_LOOK = 6


class _SparingSelector(selectors.EpollSelector):
    """Looks at the sockets when nothing else is ready, or each few turns.

    The loop asks for I/O each turn, also when callbacks are ready; what they
    begin is ready in the next turn, and each look is a system call.
    """

    def __init__(self):
        super().__init__()
        self._turns = 0

    def select(self, timeout=None):
        """Return what is ready; nothing at once where others wait to run.

        Parameters
        ----------
        timeout : float or None
            Longest wait; 0 where callbacks are ready.
        """
        if timeout == 0 and self._turns < TURNS_WITHOUT_LOOK:
            self._turns += 1
            return []
        self._turns = 0
        return super().select(timeout)


class BootTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose time goes on while its host is suspended.

    The steady clock stands still meanwhile, and all deadlines would last
    longer by that time: callers that have gone would be worked for, and
    targets given more time than is left.  So a suspension is to a daemon what
    a process is that was stopped.
    """

    #: Return the seconds since the host was booted.  Without a frame of Python
    #: in between: the loop reads its clock five times a turn.
    time = functools.partial(time.clock_gettime, time.CLOCK_BOOTTIME)

    def __init__(self):
        super().__init__(_SparingSelector())
