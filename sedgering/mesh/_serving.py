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
        self._limits: set[asyncio.Timeout] = set()

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
            if timeout.when() > end_s:
                timeout.reschedule(end_s)
