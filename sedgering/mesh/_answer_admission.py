"""Admission control for large answers on the link of a target's host.

A download is done when its last byte has left the host.  On a narrow link
that is long after the target has finished: eight hosts with 7.5 Mbit/s each
carry 60 Mbit/s, and 74 downloads a second of 90 kB need 53 Mbit/s.  So the
link is subject to admission control like the slots of the target: a call
whose answer could not be sent in time is refused before the work is done.
"""

from collections.abc import Callable

from sedgering import base
from sedgering import transport

__all__ = ['AnswerAdmission']

#: Answers that take less time on the link are not limited.
MIN_TRANSFER_MS = 10.0
#: Weight of the newest answer in the average size of a route's answers: sizes
#: vary by a factor of five, and roughly the last twenty answers count.
SIZE_WEIGHT = 0.05
#: Backlog of the link up to which a call is accepted that misses its goal in
#: any case.  A longer one would delay calls that can still be in time.
MAX_LATE_BACKLOG_MS = 150.0


class AnswerAdmission:
    """Tracks answers that are expected and those that wait to be sent.

    Parameters
    ----------
    pacer : LinkPacer or None
        Writes the answers; None on a wide link, which is not limited.
    now_s : callable
        Returns the event loop time in seconds.
    """

    def __init__(
        self, pacer: transport.LinkPacer | None, now_s: Callable[[], float]
    ):
        self.pacer = pacer
        self.now_s = now_s
        self._reserved_bytes = 0.0
        self._sizes: dict[base.RouteName, float] = {}

    @property
    def wait_ms(self) -> float:
        """Wait of an answer behind all queued and expected ones."""
        if self.pacer is None:
            return 0.0
        reserved_s = self._reserved_bytes / self.pacer.bytes_per_s
        return (reserved_s + self.pacer.wait_s) * 1000

    @property
    def backlog_ms(self) -> float:
        """Time for which the queued answers keep the link busy."""
        return 0.0 if self.pacer is None else self.pacer.wait_s * 1000

    def can_send_in_time(
        self, route: base.RouteName, work_ms: float, goal_s: float
    ) -> bool:
        """Return whether the answer to a call can be sent in time.

        Parameters
        ----------
        route : str
            Route of the call.
        work_ms : float
            Expected work time at the target; answers expected earlier are
            sent meanwhile.
        goal_s : float
            Latency goal of the call, in seconds of event loop time.
        """
        transfer_ms = self._estimate_transfer_ms(route)
        if transfer_ms < MIN_TRANSFER_MS:
            return True
        wait_ms = self.wait_ms
        left_ms = (goal_s - self.now_s()) * 1000
        if left_ms <= work_ms + transfer_ms:
            return wait_ms <= MAX_LATE_BACKLOG_MS
        return max(wait_ms, work_ms) + transfer_ms <= left_ms

    def reserve(self, route: base.RouteName) -> float:
        """Reserve capacity for an answer; return its expected bytes."""
        size_bytes = self._sizes.get(route, 0.0)
        self._reserved_bytes += size_bytes
        return size_bytes

    def release(
        self,
        route: base.RouteName,
        reserved_bytes: float,
        size_bytes: int | None,
    ) -> None:
        """Release a reservation once the answer is ready or the call failed.

        Parameters
        ----------
        route : str
            Route of the call.
        reserved_bytes : float
            Return value of :meth:`reserve`.
        size_bytes : int or None
            Size of the answer; None without one.
        """
        self._reserved_bytes = max(0.0, self._reserved_bytes - reserved_bytes)
        if size_bytes is None:
            return
        average = self._sizes.get(route, size_bytes)
        self._sizes[route] = average + SIZE_WEIGHT * (size_bytes - average)

    def retain(self, routes: frozenset[base.RouteName]) -> None:
        """Remove routes that are no longer configured."""
        for route in self._sizes.keys() - routes:
            del self._sizes[route]

    def _estimate_transfer_ms(self, route: base.RouteName) -> float:
        if self.pacer is None:
            return 0.0
        return self._sizes.get(route, 0.0) / self.pacer.bytes_per_s * 1000
