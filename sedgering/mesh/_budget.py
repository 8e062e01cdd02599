"""Limits the retries that this daemon adds to the load of a target set."""

import collections
from collections.abc import Collection

from sedgering import base

__all__ = ['RetryWindow']

#: Buckets of the window; old counts are dropped bucket by bucket.
BUCKETS = 20


class _Counts:
    """Requests and retries to one target set in a sliding window."""

    def __init__(self):
        self.buckets: collections.deque[list[int]] = collections.deque()
        self.requests = 0
        self.retries = 0

    def advance(self, bucket: int) -> list[int]:
        while self.buckets and self.buckets[0][0] <= bucket - BUCKETS:
            _number, requests, retries = self.buckets.popleft()
            self.requests -= requests
            self.retries -= retries
        if not self.buckets or self.buckets[-1][0] != bucket:
            self.buckets.append([bucket, 0, 0])
        return self.buckets[-1]


class RetryWindow:
    """Allows retries as a share of the requests in a sliding window.

    All daemons share one budget for each target set.  Each daemon uses the
    share for its own requests, and its part of the fixed allowance.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    extra : float
        Fixed number of additional retries per window, over all daemons.
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
        """Count the first attempt of a request."""
        counts, bucket = self._find(target_set, now_s)
        bucket[1] += 1
        counts.requests += 1

    def take(
        self,
        target_set: base.TargetSetName,
        now_s: float,
        share: float = 1.0,
    ) -> bool:
        """Take one retry from the budget; return whether it allowed one.

        Parameters
        ----------
        target_set : str
            Target set that the request is sent to again.
        now_s : float
            Time of the event loop.
        share : float
            Share of the budget that retries of this kind may use.
        """
        counts, bucket = self._find(target_set, now_s)
        allowed = self.ratio * counts.requests + self.extra / self.daemons
        if counts.retries + 1 > share * allowed:
            return False
        bucket[2] += 1
        counts.retries += 1
        return True

    def retain(
        self, target_sets: Collection[base.TargetSetName], now_s: float
    ) -> None:
        """Drop unused target sets that are no longer configured.

        What counts in the present window stays: a later version may name the
        target set again.
        """
        for name in self._counts.keys() - set(target_sets):
            counts, _bucket = self._find(name, now_s)
            if not counts.requests and not counts.retries:
                del self._counts[name]

    def _find(self, target_set, now_s) -> tuple[_Counts, list[int]]:
        counts = self._counts.setdefault(target_set, _Counts())
        return counts, counts.advance(int(now_s * BUCKETS / self.window_s))
