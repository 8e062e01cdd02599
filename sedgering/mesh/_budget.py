"""Retries that this daemon may add to the load of each target set."""

import collections

from sedgering import base

__all__ = ['RetryWindow']

#: Parts of the window; counts older than the window are dropped by parts.
PARTS = 20


class _Counts:
    """Requests and retries to one target set in a sliding window."""

    def __init__(self):
        self.parts: collections.deque[list[int]] = collections.deque()
        self.requests = 0
        self.retries = 0

    def advance(self, part: int) -> list[int]:
        while self.parts and self.parts[0][0] <= part - PARTS:
            _number, requests, retries = self.parts.popleft()
            self.requests -= requests
            self.retries -= retries
        if not self.parts or self.parts[-1][0] != part:
            self.parts.append([part, 0, 0])
        return self.parts[-1]


class RetryWindow:
    """Allows retries as a share of the requests of a sliding window.

    All daemons share one budget for each target set.  Each spends the
    share of what it sends itself, and its part of the fixed allowance.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request.
    extra : float
        Retries allowed besides, over all daemons.
    window_s : float
        Length of the window.
    """

    def __init__(self, ratio: float, extra: float, window_s: float):
        self.ratio = ratio
        self.extra = extra
        self.window_s = window_s
        self.daemons = 1
        self._counts: dict[base.TargetSetName, _Counts] = {}

    def note_request(
        self, target_set: base.TargetSetName, now_s: float
    ) -> None:
        """Count the first arrival of a request."""
        counts, part = self._find(target_set, now_s)
        part[1] += 1
        counts.requests += 1

    def take(
        self,
        target_set: base.TargetSetName,
        now_s: float,
        share: float = 1.0,
    ) -> bool:
        """Spend one retry; say whether there was one.

        Parameters
        ----------
        target_set : str
            To which the request is sent again.
        now_s : float
            Time of the event loop.
        share : float
            Of all that is allowed, how much may be spent on such retries.
        """
        counts, part = self._find(target_set, now_s)
        allowed = self.ratio * counts.requests + self.extra / self.daemons
        if counts.retries + 1 > share * allowed:
            return False
        part[2] += 1
        counts.retries += 1
        return True

    def _find(self, target_set, now_s) -> tuple[_Counts, list[int]]:
        counts = self._counts.setdefault(target_set, _Counts())
        return counts, counts.advance(int(now_s * PARTS / self.window_s))
