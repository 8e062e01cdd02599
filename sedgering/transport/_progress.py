"""Rate at which data of one connection makes progress."""

import math

__all__ = ['ProgressRate']

#: The rate is a mean over half of this time at least, if progress has been
#: recorded so often.
RATE_WINDOW_S = 1.0


class ProgressRate:
    """Rate at which data is sent or received.

    Parameters
    ----------
    patience_s : float
        Time without progress after which none is expected.
    """

    def __init__(self, patience_s: float):
        self.patience_s = patience_s
        #: Time and progress, at the start of the window and later.
        self._start = self._next_start = (0.0, 0)
        self._done_bytes = 0
        self._changed_s = 0.0

    def restart(self, now_s: float, done_bytes: int) -> None:
        """Begin to measure."""
        self._start = self._next_start = (now_s, done_bytes)
        self._done_bytes = done_bytes
        self._changed_s = now_s

    def note(self, now_s: float, done_bytes: int) -> None:
        """Record how much has been sent or received up to now."""
        if done_bytes != self._done_bytes:
            self._done_bytes = done_bytes
            self._changed_s = now_s
        if now_s - self._next_start[0] >= RATE_WINDOW_S / 2:
            self._start = self._next_start
            self._next_start = (now_s, done_bytes)

    def find_duration_s(self, now_s: float, size_bytes: int) -> float:
        """Return the time that more data takes at this rate.

        Infinite if nothing has made progress for some time.
        """
        if now_s - self._changed_s >= self.patience_s:
            return math.inf
        start_s, start_bytes = self._start
        done_bytes = self._done_bytes - start_bytes
        if not done_bytes:
            # Too early for a rate.
            return 0.0
        return size_bytes * (now_s - start_s) / done_bytes
