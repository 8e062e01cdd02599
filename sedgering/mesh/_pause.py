"""Notices that the process stood still, and allows for the time lost."""

import asyncio
from collections.abc import Callable
import logging

__all__ = ['PauseWatch']

LOG = logging.getLogger(__name__)

#: Between two ticks.
TICK_S = 0.1
#: A tick that is later than this was held up: a busy loop is late by some
#: tens of milliseconds, a stopped process by seconds.
LATE_S = 0.5
#: For how long after a pause requests are taken as read late, and how long
#: they wait: the ends of their connections, if any, are read meanwhile.
SETTLE_S = 0.05


class PauseWatch:
    """Tells how long the process stood still, if it did just now.

    A request that is read right after a pause may have arrived long ago,
    and its sender may be gone.  Its time is counted from the start of the
    pause, and it waits a moment, so that a connection that was closed
    meanwhile is seen to be closed before anything is sent.
    """

    def __init__(self):
        self._loop = asyncio.get_running_loop()
        self._tick_s = self._loop.time()
        self._lag_s = 0.0
        self._until_s = 0.0
        self._longest_lag_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def start(self, on_tick: Callable[[float], None]) -> None:
        """Beat again and again, until :meth:`stop`.

        Parameters
        ----------
        on_tick : callable
            Called with the time after each tick: what else is looked at so
            often wakes the process up no second time.
        """
        self._timer = self._loop.call_later(TICK_S, self._tick, on_tick)

    def stop(self) -> None:
        """Beat no more."""
        if self._timer is not None:
            self._timer.cancel()

    def _tick(self, on_tick: Callable[[float], None]) -> None:
        # First of all, so that no defect of others ends the tick.
        self.start(on_tick)
        now_s = self._loop.time()
        self.note_tick(now_s)
        on_tick(now_s)

    def note_tick(self, now_s: float) -> None:
        """Take in one tick."""
        lag_s = now_s - self._tick_s - TICK_S
        self._tick_s = now_s
        self._longest_lag_s = max(self._longest_lag_s, lag_s)
        if lag_s > LATE_S:
            self._lag_s = lag_s
            self._until_s = now_s + SETTLE_S
            LOG.warning('resumed', extra={'age_ms': int(lag_s * 1000)})

    def find_lag_s(self) -> float:
        """Return for how long a request read now may have waited unread."""
        now_s = self._loop.time()
        lag_s = now_s - self._tick_s - TICK_S
        if lag_s > LATE_S:
            return lag_s
        return self._lag_s if now_s < self._until_s else 0.0

    def take_longest_lag_s(self) -> float:
        """Return by how much the latest tick since the last call was late."""
        late_s = self._loop.time() - self._tick_s - TICK_S
        longest_s = max(0.0, self._longest_lag_s, late_s)
        self._longest_lag_s = 0.0
        return longest_s

    async def settle(self) -> float:
        """Wait a moment after a pause; return its length in seconds."""
        lag_s = self.find_lag_s()
        if lag_s:
            await asyncio.sleep(SETTLE_S)
        return lag_s
