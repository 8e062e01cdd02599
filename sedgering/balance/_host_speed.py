"""How long work takes on a host, now and on average."""

from collections.abc import Collection

from sedgering import base

__all__ = ['MomentSpeed', 'NormalWork']

#: For how long a reported slowness may hold: the load of other processes on
#: the host of a target changes several times a second.
LIFETIME_S = 0.6
NORMAL_PERCENT = 100.0
#: Weight of the newest report in the average slowness: a target sends dozens
#: of reports a second, and other daemons receive a few of them.
AVERAGE_WEIGHT = 0.02
#: Weight of the newest work time in a mean; the same as in the admission gate.
WORK_WEIGHT = 0.1


class MomentSpeed:
    """Last reported and average slowness of the host of a target."""

    __slots__ = (
        '_reported_percent',
        '_reported_s',
        'is_known',
        'average_percent',
    )

    def __init__(self):
        #: Whether the target has reported any slowness.
        self.is_known = False
        #: Moving average of the reports.
        self.average_percent = NORMAL_PERCENT
        self._reported_percent = NORMAL_PERCENT
        self._reported_s = 0.0

    def note(self, slowness_percent: int, now_s: float) -> None:
        """Add a report of the time work takes, in percent of the usual."""
        deviation = slowness_percent - self.average_percent
        self.average_percent += AVERAGE_WEIGHT * deviation
        self._reported_percent = slowness_percent
        self._reported_s = now_s
        self.is_known = True

    def find_percent(self, now_s: float) -> float:
        """Estimate the time that work begun now takes, in percent.

        The last report loses weight with its age, in favour of the average.
        """
        weight = 1 - (now_s - self._reported_s) / LIFETIME_S
        if weight <= 0:
            return self.average_percent
        deviation = self._reported_percent - self.average_percent
        return self.average_percent + deviation * weight


class NormalWork:
    """Work time of each route at a target, at its normal speed."""

    def __init__(self):
        #: Mean over all routes; 0 while there are no calls.
        self.mean_ms = 0.0
        self._routes: dict[base.RouteName, float] = {}

    def note(
        self, route: base.RouteName, elapsed_ms: float, slowness_percent: float
    ) -> None:
        """Add the work time of one call, and the slowness during it."""
        normal_ms = elapsed_ms * NORMAL_PERCENT / slowness_percent
        self.mean_ms = _update_mean(self.mean_ms, normal_ms)
        self._routes[route] = _update_mean(
            self._routes.get(route, 0.0), normal_ms
        )

    def find_ms(self, route: base.RouteName) -> float:
        """Return the mean of a route; 0 if it has had no calls."""
        return self._routes.get(route, 0.0)

    def retain(self, routes: Collection[base.RouteName]) -> None:
        """Forget routes that are no longer in force."""
        for route in self._routes.keys() - set(routes):
            del self._routes[route]


def _update_mean(mean_ms: float, newest_ms: float) -> float:
    """Update a moving average; the first value starts it."""
    return (
        mean_ms + WORK_WEIGHT * (newest_ms - mean_ms) if mean_ms else newest_ms
    )
