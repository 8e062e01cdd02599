"""Share of calls that end in time, learned from earlier ones."""

from collections.abc import Collection
import math

from sedgering import base

__all__ = ['EndTimes']

#: Weight of the newest call in the moving averages: about the last hundred
#: calls count, which are some seconds of a route at one daemon.
NEWEST_WEIGHT = 0.02
#: Spread of a route without calls, as the standard deviation of the
#: logarithm; typical of work whose times vary widely.
DEFAULT_SPREAD = 0.7
#: Smallest spread that is used: a few similar calls prove no certainty.
MIN_SPREAD = 0.2
#: Bound of a single error, as a logarithm: a call that ends at once, or after
#: a hundred times the expected time, counts like one at the bound.
MAX_ERROR = math.log(20)
MIN_MS = 1.0


class _EstimateErrors:
    """Errors of the expected times of the calls of one route.

    Mean and variance of the logarithm of the elapsed over the expected time.
    """

    __slots__ = ('mean', 'variance')

    def __init__(self):
        self.mean = 0.0
        self.variance = DEFAULT_SPREAD**2

    def note(self, error: float) -> None:
        """Add the error of one call."""
        deviation = error - self.mean
        self.mean += NEWEST_WEIGHT * deviation
        self.variance += NEWEST_WEIGHT * (
            deviation * deviation - self.variance
        )


class EndTimes:
    """Distribution of the elapsed times of calls around the expected ones.

    It covers both the spread of the work of a route and the errors of the
    estimates.  A call that is expected to take half of its time limit ends
    late far more often on a route where some calls take ten times the mean.
    """

    def __init__(self):
        self._routes: dict[base.RouteName, _EstimateErrors] = {}

    def note(
        self, route: base.RouteName, expected_ms: float, elapsed_ms: float
    ) -> None:
        """Add a call that was answered.

        Parameters
        ----------
        route : str
            Route of the call.
        expected_ms : float
            Time that was estimated when it was sent.
        elapsed_ms : float
            Time that it took.
        """
        ratio = max(MIN_MS, elapsed_ms) / max(MIN_MS, expected_ms)
        error = min(MAX_ERROR, max(-MAX_ERROR, math.log(ratio)))
        errors = self._routes.get(route)
        if errors is None:
            errors = self._routes[route] = _EstimateErrors()
        errors.note(error)

    def find_share(
        self, route: base.RouteName, expected_ms: float, limit_ms: float
    ) -> float:
        """Return the share of such calls that end within a limit, 0 to 1.

        Parameters
        ----------
        route : str
            Route of the call.
        expected_ms : float
            Estimated time.
        limit_ms : float
            Time within which the call should end.
        """
        if limit_ms <= 0:
            return 0.0
        ratio = limit_ms / max(MIN_MS, expected_ms)
        if not ratio:
            # A limit so small that the quotient is rounded to 0.
            return 0.0
        errors = self._routes.get(route)
        mean, spread = 0.0, DEFAULT_SPREAD
        if errors is not None:
            mean = errors.mean
            spread = max(MIN_SPREAD, math.sqrt(errors.variance))
        return 0.5 * math.erfc(
            (mean - math.log(ratio)) / spread / math.sqrt(2)
        )

    def retain(self, routes: Collection[base.RouteName]) -> None:
        """Forget routes that are no longer in force."""
        for route in self._routes.keys() - set(routes):
            del self._routes[route]
