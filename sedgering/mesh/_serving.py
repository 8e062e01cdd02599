"""Until when a daemon answers: its end bounds the requests that it took."""

import asyncio
import math

__all__ = ['ServingTime']


class ServingTime:
    """Bounds the requests of a daemon by its own end.

    A request may have more time left than the daemon that took it.  Without
    a bound it ends with its connection, and its caller learns nothing; with
    it, it ends with an answer, and what it still asks for is asked for the
    time that the answer can be used.
    """

    def __init__(self):
        #: Time of the event loop at which the last answers are given; endless
        #: until the daemon leaves.
        self.end_s = math.inf
        #: Whether callers should have stopped: what comes now is not begun
        #: unless it ends in time.
        self.is_over = False
        self._limits: set[asyncio.Timeout] = set()

    def would_break_off(self, deadline_s: float) -> bool:
        """Whether a request that is whole only now may be cut short.

        One whose own time ends before the daemon, such as the call of a
        target that has work under way, is served.

        Parameters
        ----------
        deadline_s : float
            Time of the event loop at which the request ends.
        """
        return self.is_over and deadline_s >= self.end_s

    def limit(self, deadline_s: float) -> asyncio.Timeout:
        """Make a timeout that ends with the daemon at the latest.

        Parameters
        ----------
        deadline_s : float
            Time of the event loop at which the request ends otherwise.
        """
        timeout = asyncio.timeout_at(min(deadline_s, self.end_s))
        self._limits.add(timeout)
        return timeout

    def forget(self, timeout: asyncio.Timeout) -> None:
        """Note that a request has ended."""
        self._limits.discard(timeout)

    def end_at(self, end_s: float) -> None:
        """Let all requests end at the latest then, present and later ones."""
        self.end_s = end_s
        for timeout in self._limits:
            # One that expires just now can't be moved any more.
            if timeout.when() > end_s and not timeout.expired():
                timeout.reschedule(end_s)
