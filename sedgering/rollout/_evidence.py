"""Results of the calls to one target: failures and latencies."""

import math

import msgspec

from sedgering import base

__all__ = [
    'Evidence',
    'RouteEvidence',
    'compute_latency_bucket',
    'merge_routes',
]

#: Latency buckets for each doubling of the latency.
BUCKETS_PER_OCTAVE = 4
#: Holds all latencies from 2**(LAST_BUCKET / BUCKETS_PER_OCTAVE) ms on, which
#: is 35 minutes.
LAST_BUCKET = 84
#: Routes counted at one target; a target set is seldom called on more.
ROUTES_LIMIT = 64


class RouteEvidence(msgspec.Struct, array_like=True):
    """Results of the calls on one route.

    Parameters
    ----------
    runs, failures : int
        Calls that were sent, and those of them that failed.
    calls_by_bucket : dict of int to int
        Answered calls by latency bucket; see
        :func:`compute_latency_bucket`.
    """

    runs: int = 0
    failures: int = 0
    calls_by_bucket: dict[int, int] = {}

    def note(self, is_failure: bool, elapsed_ms: float) -> None:
        """Record the result of one call."""
        self.runs += 1
        self.failures += is_failure
        if not is_failure:
            bucket = compute_latency_bucket(elapsed_ms)
            self.calls_by_bucket[bucket] = (
                self.calls_by_bucket.get(bucket, 0) + 1
            )

    def add(self, other: 'RouteEvidence') -> None:
        """Add the counts of another target."""
        self.runs += other.runs
        self.failures += other.failures
        for bucket, count in other.calls_by_bucket.items():
            self.calls_by_bucket[bucket] = (
                self.calls_by_bucket.get(bucket, 0) + count
            )

    def count_slower(self, bucket: int) -> int:
        """Return how many calls are in a slower bucket than this one."""
        return sum(
            count
            for other, count in self.calls_by_bucket.items()
            if other > bucket
        )

    def find_median_bucket(self) -> int | None:
        """Return the bucket of the median latency; None without answers."""
        remaining = sum(self.calls_by_bucket.values()) / 2
        for bucket in sorted(self.calls_by_bucket):
            remaining -= self.calls_by_bucket[bucket]
            if remaining <= 0:
                return bucket
        return None

    def find_median_bound(self, confidence: float) -> int | None:
        """Return a bucket that the true median does not exceed.

        Of `n` independent calls all are below their median with probability
        ``2**-n``; the smallest order statistic of sufficient confidence is
        taken.

        Parameters
        ----------
        confidence : float
            Probability that the bound holds, 0 to 1.

        Returns
        -------
        int or None
            None if there are too few calls.
        """
        count = sum(self.calls_by_bucket.values())
        below_share = 0.0
        rank = 0
        for number in range(count):
            below_share += math.comb(count, number) / 2**count
            rank = number + 1
            if below_share >= confidence:
                break
        if below_share < confidence:
            return None
        for bucket in sorted(self.calls_by_bucket):
            rank -= self.calls_by_bucket[bucket]
            if rank <= 0:
                return bucket
        return None


class Evidence(msgspec.Struct, array_like=True):
    """Results of the calls to one target since an order was first seen.

    Parameters
    ----------
    version : str
        Version of its software.
    order_revision : int
        Revision of the order.
    running : int
        Calls in progress at the target now.
    is_stopped : bool
        Whether its daemon has stopped the trial on its own.
    routes : dict of str to RouteEvidence
        Results by route.
    """

    version: base.SoftwareVersion
    order_revision: int
    running: int = 0
    is_stopped: bool = False
    routes: dict[base.RouteName, RouteEvidence] = {}

    def note(
        self, route: base.RouteName, is_failure: bool, elapsed_ms: float
    ) -> None:
        """Record the result of one call."""
        counts = self.routes.get(route)
        if counts is None:
            if len(self.routes) >= ROUTES_LIMIT:
                return
            counts = self.routes[route] = RouteEvidence()
        counts.note(is_failure, elapsed_ms)

    def add(self, other: 'Evidence') -> None:
        """Add the results of another daemon beside the same target."""
        self.is_stopped |= other.is_stopped
        for route, counts in other.routes.items():
            self.routes.setdefault(route, RouteEvidence()).add(counts)

    @property
    def runs(self) -> int:
        """Number of calls on all routes."""
        return sum(item.runs for item in self.routes.values())

    @property
    def failures(self) -> int:
        """Number of failures on all routes."""
        return sum(item.failures for item in self.routes.values())


def compute_latency_bucket(elapsed_ms: float) -> int:
    """Return the latency bucket of an elapsed time."""
    exponent = math.log2(max(1.0, elapsed_ms))
    return min(LAST_BUCKET, int(exponent * BUCKETS_PER_OCTAVE))


def merge_routes(
    evidence: list[Evidence],
) -> dict[base.RouteName, RouteEvidence]:
    """Sum the results of several targets by route."""
    merged: dict[base.RouteName, RouteEvidence] = {}
    for item in evidence:
        for route, counts in item.routes.items():
            merged.setdefault(route, RouteEvidence()).add(counts)
    return merged
