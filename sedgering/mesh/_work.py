"""How long work takes at a target: by route, and over all of them."""

import collections
from collections.abc import Collection

from sedgering import base

__all__ = ['WorkTimes']

#: Weight of the newest work time in the moving means.
MEAN_WEIGHT = 0.1
#: Work time assumed of a target that has not been seen.
FIRST_WORK_MS = 100.0
#: Newest work times of a route that quantiles are taken of: about a second
#: at fifty calls a second, enough to follow a target that turns slow.
SAMPLES = 64
#: Work times of a route that must be known before its quantiles are used.
LEAST_SAMPLES = 8
#: New work times after which quantiles are computed again.
REFRESH_AFTER = 8
#: Quantile of a route of which too little is known, as a multiple of the
#: mean: that of work whose logarithm deviates by 0.5 to 0.8.
UNKNOWN_QUANTILE = 1.6


class _RouteWork:
    """Work times of one route."""

    def __init__(self, elapsed_ms: float):
        self.mean_ms = elapsed_ms
        self.samples: collections.deque[float] = collections.deque(
            maxlen=SAMPLES
        )
        self.quantile_ms: float | None = None
        self._fresh = 0

    def note(self, elapsed_ms: float, share: float) -> None:
        """Take in one work time."""
        self.mean_ms += MEAN_WEIGHT * (elapsed_ms - self.mean_ms)
        self.samples.append(elapsed_ms)
        self._fresh += 1
        if len(self.samples) < LEAST_SAMPLES:
            return
        if self.quantile_ms is None or self._fresh >= REFRESH_AFTER:
            self._fresh = 0
            ordered = sorted(self.samples)
            self.quantile_ms = ordered[int(share * len(ordered))]


class WorkTimes:
    """Recent work times at one target.

    Parameters
    ----------
    share : float
        Of the quantile that :meth:`find_quantile_ms` tells.
    """

    def __init__(self, share: float):
        self.share = share
        self.mean_ms = FIRST_WORK_MS
        self._routes: dict[base.RouteName, _RouteWork] = {}

    def note(self, route: base.RouteName, elapsed_ms: float) -> None:
        """Take in the work time of one call."""
        self.mean_ms += MEAN_WEIGHT * (elapsed_ms - self.mean_ms)
        known = self._routes.get(route)
        if known is None:
            known = self._routes[route] = _RouteWork(elapsed_ms)
        known.note(elapsed_ms, self.share)

    def find_told_ms(self, route: base.RouteName) -> float:
        """Return the mean of a route; 0 when it has not been seen."""
        known = self._routes.get(route)
        return known.mean_ms if known is not None else 0.0

    def find_mean_ms(self, route: base.RouteName) -> float:
        """Return the mean of a route, or of all where it is unknown."""
        return self.find_told_ms(route) or self.mean_ms

    def find_quantile_ms(self, route: base.RouteName) -> float:
        """Return a time within which most calls of a route end."""
        known = self._routes.get(route)
        if known is None or known.quantile_ms is None:
            return UNKNOWN_QUANTILE * self.find_mean_ms(route)
        return known.quantile_ms

    def retain(self, routes: Collection[base.RouteName]) -> None:
        """Forget routes that are no longer in force."""
        for route in [name for name in self._routes if name not in routes]:
            del self._routes[route]
