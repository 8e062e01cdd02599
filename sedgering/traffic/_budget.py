"""Retries that this proxy may spend, over all requests."""

import threading

__all__ = ['RetryBudget', 'make_retry_budget']

#: Retries that may be saved up.
LARGEST_BALANCE = 20.0


class RetryBudget:
    """A token bucket that requests fill and retries empty.

    Parameters
    ----------
    floor_per_s : float
        Retries allowed each second however few requests there are.
    now_ms : int
        Time of the start.

    Notes
    -----
    Under overload every request fails at first, and retries would
    multiply the load.  With the budget, attempts are at most requests
    times (1 + share), plus the floor.
    """

    def __init__(self, floor_per_s: float, now_ms: int):
        self.floor_per_s = floor_per_s
        self._balance = floor_per_s
        self._at_ms = now_ms
        self._lock = threading.Lock()

    def deposit(self, share_percent: int) -> None:
        """Note a request, which earns a share of a retry."""
        with self._lock:
            self._add(share_percent / 100)

    def take(self, now_ms: int) -> bool:
        """Spend one retry; say whether there was one."""
        with self._lock:
            self._add((now_ms - self._at_ms) * self.floor_per_s / 1000)
            self._at_ms = now_ms
            if self._balance < 1:
                return False
            self._balance -= 1
            return True

    def _add(self, amount: float) -> None:
        self._balance = min(LARGEST_BALANCE, self._balance + amount)


def make_retry_budget(floor_per_s: float, now_ms: int) -> RetryBudget:
    """Make the budget of a proxy that has just started."""
    return RetryBudget(floor_per_s, now_ms)
