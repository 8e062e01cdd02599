"""Which share of calls ends within their time, as earlier ones show."""

from collections.abc import Collection
import math

from sedgering import base

__all__ = ['EndTimes']

#: Weight of the newest call: about the last hundred count, some seconds of
#: a route at one daemon.
NEWEST_WEIGHT = 0.02
#: Spread of a route of which nothing is known, as the deviation of the
#: logarithm: that of work which varies widely.
UNKNOWN_SPREAD = 0.7
#: Least spread that is believed: a few calls alike prove no certainty.
LEAST_SPREAD = 0.2
#: A call that ends at once, or after a hundred times what was expected, says
#: no more than one at these bounds.
MOST_ERROR = math.log(20)
LEAST_MS = 1.0


class _Errors:
    """By how much calls of one route have missed what was expected.

    As mean and variance of the logarithm of the time over the expected one.
    """

    __slots__ = ('mean', 'variance')

    def __init__(self):
        self.mean = 0.0
        self.variance = UNKNOWN_SPREAD**2

    def note(self, error: float) -> None:
        """Take in one call."""
        gap = error - self.mean
        self.mean += NEWEST_WEIGHT * gap
        self.variance += NEWEST_WEIGHT * (gap * gap - self.variance)


class EndTimes:
    """How the ends of calls lie about the time that was expected.

    Work of a route is spread, and estimates are off; both show in what its
    calls took.  What is expected to take half of its time ends late far more
    often on a route of which some calls take ten times the mean.
    """

    def __init__(self):
        self._routes: dict[base.RouteName, _Errors] = {}

    def note(
        self, route: base.RouteName, expected_ms: float, elapsed_ms: float
    ) -> None:
        """Take in a call that was answered.

        Parameters
        ----------
        route : str
            Of the call.
        expected_ms : float
            Time that was estimated when it was sent.
        elapsed_ms : float
            Time that it took.
        """
        ratio = max(LEAST_MS, elapsed_ms) / max(LEAST_MS, expected_ms)
        error = min(MOST_ERROR, max(-MOST_ERROR, math.log(ratio)))
        known = self._routes.get(route)
        if known is None:
            known = self._routes[route] = _Errors()
        known.note(error)

    def find_share(
        self, route: base.RouteName, expected_ms: float, limit_ms: float
    ) -> float:
        """Return the share of such calls that end within a time, 0 to 1.

        Parameters
        ----------
        route : str
            Of the call.
        expected_ms : float
            Time that is estimated.
        limit_ms : float
            Time that it has.
        """
        if limit_ms <= 0:
            return 0.0
        ratio = limit_ms / max(LEAST_MS, expected_ms)
        known = self._routes.get(route)
        mean, spread = 0.0, UNKNOWN_SPREAD
        if known is not None:
            mean = known.mean
            spread = max(LEAST_SPREAD, math.sqrt(known.variance))
        return 0.5 * math.erfc(
            (mean - math.log(ratio)) / spread / math.sqrt(2)
        )

    def retain(self, routes: Collection[base.RouteName]) -> None:
        """Forget routes that are no longer in force."""
        for route in self._routes.keys() - set(routes):
            del self._routes[route]
