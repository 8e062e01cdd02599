"""Circuit that stops asking a platform which keeps failing."""

import enum
import random

__all__ = ['Circuit', 'CircuitState']


class CircuitState(enum.Enum):
    """Whether calls pass."""

    CLOSED = 'closed'
    OPEN = 'open'
    HALF_OPEN = 'half open'


class Circuit:
    """Lets calls pass until too many fail in a row, then one at a time.

    Parameters
    ----------
    failure_limit : int
        Consecutive failures that open the circuit.
    open_ms, max_open_ms : int
        Shortest and longest time for which it stays open; the time
        doubles with each failed probe.
    rng : random.Random
        Jitter, so that many processes do not probe at the same moment.

    Notes
    -----
    Not thread-safe by itself; its owner holds a lock.
    """

    def __init__(
        self,
        failure_limit: int,
        open_ms: int,
        max_open_ms: int,
        rng: random.Random,
    ):
        self.failure_limit = failure_limit
        self.open_ms = open_ms
        self.max_open_ms = max_open_ms
        self.rng = rng
        self.state = CircuitState.CLOSED
        self._failures = 0
        self._reopenings = 0
        self._retry_at_ms = 0

    def allow(self, now_ms: int) -> bool:
        """Say whether a call may pass now; an open circuit admits probes."""
        if self.state is CircuitState.CLOSED:
            return True
        if now_ms < self._retry_at_ms:
            return False
        # One probe passes; its record() decides.  A probe whose owner
        # died without a record is followed by another one later.
        self.state = CircuitState.HALF_OPEN
        self._retry_at_ms = now_ms + self._pause_ms()
        return True

    def record(self, succeeded: bool, now_ms: int) -> None:
        """Learn how a call ended."""
        if succeeded:
            self.state = CircuitState.CLOSED
            self._failures = 0
            self._reopenings = 0
            return
        self._failures += 1
        if self.state is CircuitState.HALF_OPEN:
            self._reopenings += 1
            self._open(now_ms)
        elif self._failures >= self.failure_limit:
            self._open(now_ms)

    def _open(self, now_ms: int) -> None:
        self.state = CircuitState.OPEN
        self._retry_at_ms = now_ms + self._pause_ms()

    def _pause_ms(self) -> int:
        longest = min(self.max_open_ms, self.open_ms << self._reopenings)
        return self.rng.randint(longest // 2, longest)
