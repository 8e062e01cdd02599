"""Detects that the process was stopped, and corrects deadlines."""

import asyncio
from collections.abc import Callable
import logging

__all__ = ['PauseDetector']

LOG = logging.getLogger(__name__)

#: Interval between ticks of the timer.
TICK_S = 0.1
#: Delay of a tick above which the process counts as stopped meanwhile: a busy
#: event loop delays ticks by some tens of milliseconds, a stopped process by
#: seconds.
PAUSE_THRESHOLD_S = 0.5
#: How long after a pause requests count as read late, and how long they wait:
#: if their connections have been closed, that is read meanwhile.
SETTLE_S = 0.05


class PauseDetector:
    """Measures how long the process was stopped until just now.

    A request that is read right after a pause may have arrived long ago, and
    its sender may have gone. Its time is counted from the start of the pause,
    and it is held briefly, so that a connection closed during the pause is
    detected before anything is sent.
    """

    def __init__(self):
        self._loop = asyncio.get_running_loop()
        self._tick_s = self._loop.time()
        self._lag_s = 0.0
        self._settled_s = 0.0
        self._longest_lag_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def start(self, on_tick: Callable[[float], None]) -> None:
        """Start the timer; it runs until :meth:`stop`.

        Parameters
        ----------
        on_tick : callable
            Called with the time after each tick; periodic checks that use it
            need no timer of their own.
        """
        self._timer = self._loop.call_later(TICK_S, self._tick, on_tick)

    def stop(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _tick(self, on_tick: Callable[[float], None]) -> None:
        # Scheduled first, so that an exception in `on_tick` cannot stop the
        # timer.
        self.start(on_tick)
        now_s = self._loop.time()
        self.note_tick(now_s)
        on_tick(now_s)

    def note_tick(self, now_s: float) -> None:
        """Process one tick."""
        lag_s = now_s - self._tick_s - TICK_S
        self._tick_s = now_s
        self._longest_lag_s = max(self._longest_lag_s, lag_s)
        if lag_s > PAUSE_THRESHOLD_S:
            self._lag_s = lag_s
            self._settled_s = now_s + SETTLE_S
            LOG.warning('resumed', extra={'age_ms': int(lag_s * 1000)})

    def find_lag_s(self) -> float:
        """Return how long a request that is read now may have been unread."""
        now_s = self._loop.time()
        lag_s = now_s - self._tick_s - TICK_S
        if lag_s > PAUSE_THRESHOLD_S:
            return lag_s
        return self._lag_s if now_s < self._settled_s else 0.0

    def take_longest_lag_s(self) -> float:
        """Return the longest delay of a tick since the last call."""
        late_s = self._loop.time() - self._tick_s - TICK_S
        longest_s = max(0.0, self._longest_lag_s, late_s)
        self._longest_lag_s = 0.0
        return longest_s

    async def settle(self) -> float:
        """Wait `SETTLE_S` after a pause; return its length in seconds."""
        lag_s = self.find_lag_s()
        if lag_s:
            await asyncio.sleep(SETTLE_S)
        return lag_s
