"""What a target has shown of its version: failures and times to answer."""

import math

import msgspec

from sedgering import base

__all__ = ['Evidence', 'RouteEvidence', 'bucket_of', 'merge_routes']

#: Buckets of times to answer for each doubling.
BUCKETS_PER_OCTAVE = 4
#: A time of 2**(this / BUCKETS_PER_OCTAVE) ms and more: 35 minutes.
LAST_BUCKET = 84
#: Routes told of one target; a set is seldom called on more.
ROUTES_LIMIT = 64


class RouteEvidence(msgspec.Struct, array_like=True):
    """Calls on one route.

    Parameters
    ----------
    runs, failures : int
        Calls that were sent, and those of them that failed.
    times : dict of int to int
        Calls by bucket of their time to answer; see :func:`bucket_of`.
    """

    runs: int = 0
    failures: int = 0
    times: dict[int, int] = {}

    def note(self, is_failure: bool, elapsed_ms: float) -> None:
        """Count one call."""
        self.runs += 1
        self.failures += is_failure
        if not is_failure:
            bucket = bucket_of(elapsed_ms)
            self.times[bucket] = self.times.get(bucket, 0) + 1

    def add(self, other: 'RouteEvidence') -> None:
        """Add the calls of another target."""
        self.runs += other.runs
        self.failures += other.failures
        for bucket, count in other.times.items():
            self.times[bucket] = self.times.get(bucket, 0) + count

    def count_slower(self, bucket: int) -> int:
        """Return how many calls took longer than those of a bucket."""
        return sum(
            count for other, count in self.times.items() if other > bucket
        )

    def find_median_bucket(self) -> int | None:
        """Return the bucket of the median; None without answers."""
        half = sum(self.times.values()) / 2
        for bucket in sorted(self.times):
            half -= self.times[bucket]
            if half <= 0:
                return bucket
        return None


class Evidence(msgspec.Struct, array_like=True):
    """What one target has shown since an order was seen.

    Parameters
    ----------
    version : str
        Of its software.
    order_revision : int
        Of the order.
    running : int
        Calls under way at it now.
    is_stopped : bool
        Whether its daemon has stopped the trial by itself.
    routes : dict of str to RouteEvidence
        By route.
    """

    version: base.SoftwareVersion
    order_revision: int
    running: int = 0
    is_stopped: bool = False
    routes: dict[base.RouteName, RouteEvidence] = {}

    def note(
        self, route: base.RouteName, is_failure: bool, elapsed_ms: float
    ) -> None:
        """Count one call."""
        known = self.routes.get(route)
        if known is None:
            if len(self.routes) >= ROUTES_LIMIT:
                return
            known = self.routes[route] = RouteEvidence()
        known.note(is_failure, elapsed_ms)

    @property
    def runs(self) -> int:
        """Calls on all routes."""
        return sum(item.runs for item in self.routes.values())

    @property
    def failures(self) -> int:
        """Failures on all routes."""
        return sum(item.failures for item in self.routes.values())


def bucket_of(elapsed_ms: float) -> int:
    """Return the bucket of a time to answer."""
    exponent = math.log2(max(1.0, elapsed_ms))
    return min(LAST_BUCKET, int(exponent * BUCKETS_PER_OCTAVE))


def merge_routes(
    evidence: list[Evidence],
) -> dict[base.RouteName, RouteEvidence]:
    """Add up what several targets have shown, by route."""
    merged: dict[base.RouteName, RouteEvidence] = {}
    for item in evidence:
        for route, known in item.routes.items():
            merged.setdefault(route, RouteEvidence()).add(known)
    return merged
