"""Room on the link of a target's host for the answers that will leave it.

A download is done when its last byte has left.  On a narrow link that is
long after the target has finished: eight hosts with 7.5 Mbit/s each carry
60 Mbit/s, and 74 downloads a second of 90 kB ask for 53.  So the link is
admitted to like the slots of the target: what it could not carry in time is
refused before the work is done.
"""

from collections.abc import Callable

from sedgering import base
from sedgering import transport

__all__ = ['AnswerRoom']

#: Answers that take less time on the link are not asked for room.
ASK_FROM_MS = 10.0
#: Weight of the newest answer in the size of a route's answers: sizes vary by
#: a factor of five, and about the last twenty count.
SIZE_WEIGHT = 0.05
#: Backlog of the link up to which a call is taken that misses its goal in any
#: case: one that may still be in time must not wait behind it for long.
LATE_BACKLOG_MS = 150.0


class AnswerRoom:
    """Answers that have been promised, and those that wait to be sent.

    Parameters
    ----------
    pacer : LinkPacer or None
        Writes the answers; None where the link is wide: there is always
        room.
    now_s : callable
        Time of the event loop.
    """

    def __init__(
        self, pacer: transport.LinkPacer | None, now_s: Callable[[], float]
    ):
        self.pacer = pacer
        self.now_s = now_s
        self._promised_bytes = 0.0
        self._sizes: dict[base.RouteName, float] = {}

    @property
    def wait_ms(self) -> float:
        """Time until an answer that is ready last would begin to leave."""
        if self.pacer is None:
            return 0.0
        promised_s = self._promised_bytes / self.pacer.bytes_per_s
        return (promised_s + self.pacer.wait_s) * 1000

    @property
    def backlog_ms(self) -> float:
        """Time for which the answers that wait will keep the link busy."""
        return 0.0 if self.pacer is None else self.pacer.wait_s * 1000

    def has_room(
        self, route: base.RouteName, work_ms: float, goal_s: float
    ) -> bool:
        """Say whether the answer to a call can leave in time.

        Parameters
        ----------
        route : str
            Of the call.
        work_ms : float
            Expected at the target; what is promised leaves meanwhile.
        goal_s : float
            Time of the event loop at which the answer is wanted.
        """
        transfer_ms = self._find_transfer_ms(route)
        if transfer_ms < ASK_FROM_MS:
            return True
        wait_ms = self.wait_ms
        left_ms = (goal_s - self.now_s()) * 1000
        if left_ms <= work_ms + transfer_ms:
            return wait_ms <= LATE_BACKLOG_MS
        return max(wait_ms, work_ms) + transfer_ms <= left_ms

    def promise(self, route: base.RouteName) -> float:
        """Keep room for an answer; return its expected size in bytes."""
        size_bytes = self._sizes.get(route, 0.0)
        self._promised_bytes += size_bytes
        return size_bytes

    def end(
        self, route: base.RouteName, promised: float, size_bytes: int | None
    ) -> None:
        """Give room back: the answer is about to be sent, or there is none.

        Parameters
        ----------
        route : str
            Of the call.
        promised : float
            What :meth:`promise` returned.
        size_bytes : int or None
            Of the answer; None without one.
        """
        self._promised_bytes = max(0.0, self._promised_bytes - promised)
        if size_bytes is None:
            return
        old = self._sizes.get(route, size_bytes)
        self._sizes[route] = old + SIZE_WEIGHT * (size_bytes - old)

    def retain(self, routes: frozenset[base.RouteName]) -> None:
        """Forget routes that are no longer in force."""
        for route in self._sizes.keys() - routes:
            del self._sizes[route]

    def _find_transfer_ms(self, route: base.RouteName) -> float:
        if self.pacer is None:
            return 0.0
        return self._sizes.get(route, 0.0) / self.pacer.bytes_per_s * 1000
