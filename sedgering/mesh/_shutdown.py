"""Decides when a leaving daemon has no more requests to expect."""

import asyncio
from collections.abc import Iterator

from sedgering import transport

__all__ = ['RequestWait', 'answer_overdue']

#: Interval between checks while the daemon shuts down.
CHECK_INTERVAL_S = 0.05
#: Consecutive checks without a request, 0.3 s in all, after which a leaving
#: daemon ends. By then, peers that would send more calls have been refused and
#: skip this daemon for 2 s. Checks are counted instead of time, because time
#: also passes while the process is stopped.
IDLE_CHECKS = 6
#: The same once the services that are used until the end do not listen either.
LAST_IDLE_CHECKS = 1
#: Checks for answers that are due once the time is over, and the interval
#: between two.  An event loop that is late passes the ends of the requests and
#: its own end at once.
OVERDUE_CHECKS = 20
OVERDUE_INTERVAL_S = 0.01
#: Time without requests of any caller after which kept connections are closed.
#: Callers that go on sending are told to close with their next response.
QUIET_S = 0.5


class RequestWait:
    """Waits for the requests that a leaving daemon can still expect.

    A request may be on its way on any connection whose caller was not told
    that it closes. What arrives is answered, or refused as not run.

    Parameters
    ----------
    services : tuple of Service
        Those whose connections count.
    awaited_until_s : float
        Time of the event loop until which requests that have not begun to
        arrive are awaited.
    end_s : float
        Time of the event loop at which the wait ends in any case.
    """

    def __init__(
        self,
        services: tuple[transport.Service, ...],
        awaited_until_s: float,
        end_s: float,
    ):
        self.services = services
        self.awaited_until_s = awaited_until_s
        self.end_s = end_s

    async def run(self, checks: int = IDLE_CHECKS) -> None:
        """Wait until no request is under way or expected.

        Parameters
        ----------
        checks : int
            Number of consecutive checks that have to find none.
        """
        idle_checks = 0
        while self._now_s < self.end_s and idle_checks < checks:
            # First the pause: the request of a connection that was accepted
            # last may still be on its way.
            await self._pause()
            idle_checks = 0 if self._is_busy() else idle_checks + 1

    async def close_connections(self) -> None:
        """Close all connections, each once its requests are answered."""
        while True:
            closed = [item.close_idle() for item in self._list_connections()]
            if all(closed) or self._now_s >= self.end_s:
                return
            await self._pause()

    @property
    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    async def _pause(self) -> None:
        left_s = max(0.0, self.end_s - self._now_s)
        await asyncio.sleep(min(CHECK_INTERVAL_S, left_s))

    def _is_busy(self) -> bool:
        if any(not item.is_idle for item in self._list_connections()):
            return True
        now_s = self._now_s
        return now_s < self.awaited_until_s and any(
            service.awaits_request(now_s, QUIET_S) for service in self.services
        )

    def _list_connections(self) -> Iterator:
        for service in self.services:
            yield from list(service.connections)


async def answer_overdue(services: tuple[transport.Service, ...]) -> None:
    """Let the event loop answer what has arrived and is due.

    Parameters
    ----------
    services : tuple of Service
        Those whose requests all end before the daemon does.
    """
    for _ in range(OVERDUE_CHECKS):
        if not any(
            connection.owes_answer
            for service in services
            for connection in service.connections
        ):
            return
        await asyncio.sleep(OVERDUE_INTERVAL_S)
