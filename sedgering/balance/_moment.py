"""How long work takes on a host at this moment, and usually."""

from collections.abc import Collection

from sedgering import base

__all__ = ['MomentSpeed', 'UsualWork']

#: For how long what was told may hold: whoever shares a host with a target
#: comes and goes some times a second.
LIFETIME_S = 0.6
USUAL_PERCENT = 100.0
#: Weight of the newest figure in the usual one: a target tells dozens a
#: second, and other daemons hear a few of them.
USUAL_WEIGHT = 0.02
#: Weight of the newest work time, as in the means of the gate.
WORK_WEIGHT = 0.1


class MomentSpeed:
    """What a target told of the speed of its host, with its age."""

    __slots__ = ('_told_percent', '_told_s', 'is_known', 'usual_percent')

    def __init__(self):
        #: Whether it has told any.
        self.is_known = False
        #: Mean of what it tells.
        self.usual_percent = USUAL_PERCENT
        self._told_percent = USUAL_PERCENT
        self._told_s = 0.0

    def note(self, slowness_percent: int, now_s: float) -> None:
        """Take in how long work takes, in percent of the usual time."""
        gap = slowness_percent - self.usual_percent
        self.usual_percent += USUAL_WEIGHT * gap
        self._told_percent = slowness_percent
        self._told_s = now_s
        self.is_known = True

    def find_percent(self, now_s: float) -> float:
        """Estimate how long work takes that begins now.

        The older what was told, the likelier it holds no more.
        """
        weight = 1 - (now_s - self._told_s) / LIFETIME_S
        if weight <= 0:
            return self.usual_percent
        gap = self._told_percent - self.usual_percent
        return self.usual_percent + gap * weight


class UsualWork:
    """How long work of each route takes at a target at its usual speed."""

    def __init__(self):
        #: Of all routes; 0 while nothing is known.
        self.mean_ms = 0.0
        self._routes: dict[base.RouteName, float] = {}

    def note(
        self, route: base.RouteName, elapsed_ms: float, slowness_percent: float
    ) -> None:
        """Take in the work time of one call, and the speed meanwhile."""
        usual_ms = elapsed_ms * USUAL_PERCENT / slowness_percent
        self.mean_ms = _move(self.mean_ms, usual_ms)
        self._routes[route] = _move(self._routes.get(route, 0.0), usual_ms)

    def find_ms(self, route: base.RouteName) -> float:
        """Return the mean of a route; 0 when it has not been seen."""
        return self._routes.get(route, 0.0)

    def retain(self, routes: Collection[base.RouteName]) -> None:
        """Forget routes that are no longer in force."""
        for route in self._routes.keys() - set(routes):
            del self._routes[route]


def _move(mean_ms: float, newest_ms: float) -> float:
    """Move a mean towards a new value; the first one starts it."""
    return (
        mean_ms + WORK_WEIGHT * (newest_ms - mean_ms) if mean_ms else newest_ms
    )
