"""Bounds requests by the time at which a leaving daemon stops."""

import asyncio
import math

from sedgering import base
from sedgering.mesh import _work

__all__ = ['ServingDeadline']

#: Quantile of the recent work times of a route that has to fit into the time
#: that the daemon has left.
WORK_QUANTILE = 0.75


class ServingDeadline:
    """Bounds the requests of a daemon by its own end.

    A request may have more time left than the daemon that accepted it.
    Without a bound its connection is cut, and the caller learns nothing.
    With the bound it gets an answer, and its attempts are limited to the time
    in which their answers can still be used.
    """

    def __init__(self):
        #: Time of the event loop at which the last answers are sent; infinite
        #: until the daemon leaves.
        self.end_s = math.inf
        #: Whether callers should have stopped: later requests are accepted
        #: only if they end in time.
        self.is_over = False
        self._limits: set[asyncio.Timeout] = set()

    def is_too_late(self, deadline_s: float) -> bool:
        """Whether a request that is complete only now is refused in any case.

        A request whose own deadline is before the end of the daemon, such as
        the call of a target that has work in flight, is served.

        Parameters
        ----------
        deadline_s : float
            Deadline of the request, as time of the event loop.
        """
        return self.is_over and deadline_s >= self.end_s

    def would_cut_off(
        self,
        deadline_s: float,
        now_s: float,
        work: _work.WorkTimes,
        route: base.RouteName,
        wait_ms: float = 0.0,
    ) -> bool:
        """Whether work that begins now is likely to be cut off by the end.

        Work whose own deadline is before the end of the daemon is not, nor
        that of a route whose calls are not known.

        Parameters
        ----------
        deadline_s, now_s : float
            Deadline of the request and present time, of the event loop.
        work : WorkTimes
            Recent times of the calls of each route.
        route : str
            Route of the request.
        wait_ms : float
            Time before the work begins.
        """
        if deadline_s < self.end_s:
            return False
        work_ms = work.find_known_ms(route, WORK_QUANTILE)
        return now_s + (wait_ms + work_ms) / 1000 > self.end_s

    def find_left_ms(self, now_s: float) -> float:
        """Return the time until the last answers; infinite until it leaves."""
        return max(0.0, self.end_s - now_s) * 1000

    def limit(self, deadline_s: float) -> asyncio.Timeout:
        """Make a timeout that ends with the daemon at the latest.

        Parameters
        ----------
        deadline_s : float
            Deadline of the request, as time of the event loop.
        """
        timeout = asyncio.timeout_at(min(deadline_s, self.end_s))
        self._limits.add(timeout)
        return timeout

    def forget(self, timeout: asyncio.Timeout) -> None:
        """Drop the timeout of a request that has ended."""
        self._limits.discard(timeout)

    def end_at(self, end_s: float) -> None:
        """Bound all present and later requests by a time of the event loop."""
        self.end_s = end_s
        for timeout in self._limits:
            # A timeout that is expiring cannot be rescheduled.
            if timeout.when() > end_s and not timeout.expired():
                timeout.reschedule(end_s)
