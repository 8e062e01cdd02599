"""Work times at a target, per route and over all routes."""

import collections
from collections.abc import Collection

from sedgering import base

__all__ = ['WorkTimes']

#: Weight of the newest work time in the moving averages.
MEAN_WEIGHT = 0.1
#: Work time assumed for a target before its first call ends.
INITIAL_WORK_MS = 100.0
#: Work times of a route over which quantiles are computed: about a second
#: at fifty calls a second, recent enough to follow a target that slows down.
MAX_SAMPLES = 64
#: Minimum number of work times of a route for its quantile to be used.
MIN_SAMPLES = 8
#: Number of new work times after which the quantile is computed again.
REFRESH_SAMPLES = 8
#: Quantile assumed for a route with too few work times, as a multiple of its
#: mean: that of a log-normal distribution with a sigma of 0.5 to 0.8.
DEFAULT_QUANTILE_FACTOR = 1.6


class _RouteWork:
    """Work times of one route."""

    def __init__(self, elapsed_ms: float):
        self.mean_ms = elapsed_ms
        self.samples: collections.deque[float] = collections.deque(
            maxlen=MAX_SAMPLES
        )
        self.quantile_ms: float | None = None
        self._unprocessed = 0

    def note(self, elapsed_ms: float, quantile: float) -> None:
        """Add one work time and refresh the quantile if it is due."""
        self.mean_ms += MEAN_WEIGHT * (elapsed_ms - self.mean_ms)
        self.samples.append(elapsed_ms)
        self._unprocessed += 1
        if len(self.samples) < MIN_SAMPLES:
            return
        if self.quantile_ms is None or self._unprocessed >= REFRESH_SAMPLES:
            self._unprocessed = 0
            ordered = sorted(self.samples)
            self.quantile_ms = ordered[int(quantile * len(ordered))]


class WorkTimes:
    """Recent work times at one target.

    Parameters
    ----------
    quantile : float
        Quantile that :meth:`find_quantile_ms` returns, from 0 to 1.
    """

    def __init__(self, quantile: float):
        self.quantile = quantile
        self.mean_ms = INITIAL_WORK_MS
        self._routes: dict[base.RouteName, _RouteWork] = {}

    def note(self, route: base.RouteName, elapsed_ms: float) -> None:
        """Add the work time of one call."""
        self.mean_ms += MEAN_WEIGHT * (elapsed_ms - self.mean_ms)
        route_work = self._routes.get(route)
        if route_work is None:
            route_work = self._routes[route] = _RouteWork(elapsed_ms)
        route_work.note(elapsed_ms, self.quantile)

    def find_reported_ms(self, route: base.RouteName) -> float:
        """Return the moving average of a route; 0 if no call has ended."""
        route_work = self._routes.get(route)
        return route_work.mean_ms if route_work is not None else 0.0

    def find_mean_ms(self, route: base.RouteName) -> float:
        """Return the moving average of a route, or of all if it has none."""
        return self.find_reported_ms(route) or self.mean_ms

    def find_quantile_ms(self, route: base.RouteName) -> float:
        """Return the time within which the set share of calls ends."""
        route_work = self._routes.get(route)
        if route_work is None or route_work.quantile_ms is None:
            return DEFAULT_QUANTILE_FACTOR * self.find_mean_ms(route)
        return route_work.quantile_ms

    def find_known_ms(self, route: base.RouteName, quantile: float) -> float:
        """Return a quantile of the recent calls of a route; 0 if none ended.

        Parameters
        ----------
        route : str
            Route of the calls.
        quantile : float
            From 0 to 1; the longest of a few calls stands for a high one.
        """
        route_work = self._routes.get(route)
        if route_work is None:
            return 0.0
        ordered = sorted(route_work.samples)
        return ordered[int(quantile * len(ordered))]

    def retain(self, routes: Collection[base.RouteName]) -> None:
        """Remove routes that are no longer configured."""
        for route in [name for name in self._routes if name not in routes]:
            del self._routes[route]
